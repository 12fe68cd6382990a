"""Bytes of a node's platform traffic."""

from basilwinch.store import KeyValueStore

__all__ = ["MeteredStore"]

# HTTP and JSON around each call and each event of the etcd gateway, with TCP/IP headers; values
# travel as base64.
_CALL_BYTES = 600
_EVENT_BYTES = 200


class MeteredStore:
    """Counts the bytes of a node's platform traffic, estimated from sizes, into its budget.

    :param store: key-value service
    :ivar spend: :meth:`Outbox.spend` of the node, once it exists
    :ivar bytes: bytes so far
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
        """Return a key."""
        pair = await self._store.get(key)
        self._count(_CALL_BYTES, pair.value if pair else b"")
        return pair

    async def scan(self, prefix, limit=1000, after=""):
        """Return keys with a prefix."""
        page = await self._store.scan(prefix, limit, after)
        self._count(_CALL_BYTES, *(pair.value for pair in page.items))
        return page

    async def transact(self, compares, puts, deletes=()):
        """Apply changes."""
        self._count(_CALL_BYTES, *(pair.value for pair in puts))
        return await self._store.transact(compares, puts, deletes)

    def watch(self, prefix, from_revision=0):
        """Watch keys with a prefix."""
        return _MeteredWatch(self, self._store.watch(prefix, from_revision))


class _MeteredWatch:
    def __init__(self, meter: MeteredStore, watch):
        self._meter = meter
        self._watch = watch

    async def __aenter__(self):
        self._meter._count(_CALL_BYTES)
        self._events = await self._watch.__aenter__()
        return self

    async def __aexit__(self, *details):
        return await self._watch.__aexit__(*details)

    def __aiter__(self):
        return self

    async def __anext__(self):
        event = await anext(self._events)
        self._meter._count(_EVENT_BYTES, event.value or b"")
        return event
