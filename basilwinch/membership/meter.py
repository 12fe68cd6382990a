"""Estimate of the bytes of a node's platform traffic."""

from basilwinch.store import KeyValueStore

__all__ = ["MeteredStore"]

# HTTP and JSON around each call and each event of the etcd gateway, with TCP/IP headers. Values
# are encoded as base64.
_CALL_OVERHEAD_BYTES = 600
_EVENT_OVERHEAD_BYTES = 200


class MeteredStore:
    """Key-value store that estimates the bytes of its calls and charges them to a byte budget.

    :param store: key-value store that runs the calls
    :ivar spend: function that charges bytes; set to :meth:`Outbox.spend` once the node has one
    :ivar bytes: estimated bytes so far
    """

    def __init__(self, store: KeyValueStore):
        self._store = store
        self.bytes = 0
        self.spend = lambda part, size: None

    def _count(self, overhead: int, *values) -> None:
        size = overhead + sum(4 * len(value) // 3 for value in values)
        self.bytes += size
        self.spend("platform", size)

    async def get(self, key):
        """Return the pair of a key, or None."""
        pair = await self._store.get(key)
        self._count(_CALL_OVERHEAD_BYTES, pair.value if pair else b"")
        return pair

    async def scan(self, prefix, limit=1000, after=""):
        """Return a page of the pairs whose keys have a prefix."""
        page = await self._store.scan(prefix, limit, after)
        self._count(_CALL_OVERHEAD_BYTES, *(pair.value for pair in page.items))
        return page

    async def transact(self, compares, puts, deletes=()):
        """Run a transaction."""
        self._count(_CALL_OVERHEAD_BYTES, *(pair.value for pair in puts))
        return await self._store.transact(compares, puts, deletes)

    def watch(self, prefix, from_revision=0):
        """Watch the keys with a prefix."""
        return _MeteredWatch(self, self._store.watch(prefix, from_revision))


class _MeteredWatch:
    def __init__(self, meter: MeteredStore, watch):
        self._meter = meter
        self._watch = watch

    async def __aenter__(self):
        self._meter._count(_CALL_OVERHEAD_BYTES)
        self._events = await self._watch.__aenter__()
        return self

    async def __aexit__(self, *details):
        return await self._watch.__aexit__(*details)

    def __aiter__(self):
        return self

    async def __anext__(self):
        event = await anext(self._events)
        self._meter._count(_EVENT_OVERHEAD_BYTES, event.value or b"")
        return event
