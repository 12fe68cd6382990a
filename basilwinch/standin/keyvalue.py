"""In-memory key-value store with fault injection and call counters."""

import bisect
import collections
import contextlib
from contextlib import asynccontextmanager

import trio

from basilwinch.exception import (
    HISTORY_COMPACTED,
    LEASE_LOST,
    PLATFORM_AMBIGUOUS,
    PLATFORM_REFUSED,
    PLATFORM_UNAVAILABLE,
    PlatformError,
)
from basilwinch.store.history import StoreHistory
from basilwinch.store.interface import (
    Compare,
    KeyValue,
    LeaseGrant,
    Page,
    Transaction,
    WatchEvent,
)

__all__ = ["MAX_TRANSACTION_OPERATIONS", "MAX_VALUE_BYTES", "MemoryKeyValueStore"]

MAX_VALUE_BYTES = 1_000_000
# Default limit of etcd (--max-txn-ops) on the compares, and on the changes, of a transaction.
MAX_TRANSACTION_OPERATIONS = 128


class _Lease:
    __slots__ = ("ttl_s", "expires_at", "keys")

    def __init__(self, ttl_s: float, expires_at: float, keys=()):
        self.ttl_s = ttl_s
        self.expires_at = expires_at
        self.keys = set(keys)


class MemoryKeyValueStore:
    """Implements :class:`~basilwinch.store.KeyValueStore` in memory, on trio's clock.

    Each call waits ``latency_s``, half before its effect and half after it. ``calls`` counts the
    calls by kind, where opening a watch is one call; ``open_watches`` is the number of open ones.

    :param latency_s: duration of a call without faults in seconds
    :param max_retained_events: number of events retained for watches from a past revision
    """

    def __init__(self, latency_s: float = 0.002, max_retained_events: int = 10_000):
        self.latency_s = latency_s
        self.history = StoreHistory()  # names no era, so that only its clients' data show a restore
        self.revision = 1
        self.calls = collections.Counter()
        self.open_watches = 0
        self._added_latency_s = 0.0
        self._down = False
        self._lost_answers = 0
        self._lost_requests = 0
        self._write_delays_s: list[float] = []
        self._epoch = 0
        self._pairs: dict[str, KeyValue] = {}
        self._keys: list[str] = []
        self._leases: dict[int, _Lease] = {}
        self._last_lease = 0
        self._events = collections.deque(maxlen=max_retained_events)
        self._event_count = 0
        self._compacted = 0
        self._changed = trio.Event()

    # Fault injection.

    def slow(self, seconds: float) -> None:
        """Add ``seconds`` to the latency of each call; 0 restores normal latency."""
        self._added_latency_s = seconds

    def down(self) -> None:
        """Start an outage: refuse all calls and break open watches.

        Calls that already took effect lose their answer; calls that would take effect during the
        outage are refused.
        """
        self._down = True
        self._epoch += 1
        self._notify()

    def up(self) -> None:
        """End the outage; leases that ran out during it have expired."""
        self._down = False

    def lose_answers(self, count: int) -> None:
        """Lose the answers of the next ``count`` writes, which still take effect."""
        self._lost_answers = count

    def lose_requests(self, count: int) -> None:
        """Lose the next ``count`` writes before they take effect, as an ambiguous failure."""
        self._lost_requests = count

    def delay_writes(self, *delays_s: float) -> None:
        """Let the next transactions fail as ambiguous, and carry them out only after these times.

        Each is carried out if its conditions hold then, and its leases exist.

        :param delays_s: seconds, one for each transaction
        """
        self._write_delays_s = list(delays_s)

    def snapshot(self) -> tuple:
        """Return a copy of the state for :meth:`restore`."""
        leases = {
            lease: (lease_state.ttl_s, frozenset(lease_state.keys))
            for lease, lease_state in self._leases.items()
        }
        return self.revision, dict(self._pairs), leases

    def restore(self, snapshot: tuple) -> None:
        """Restore an earlier state, including its revision, and break open watches.

        Leases of the snapshot get their full time to live, as in a restored etcd.
        """
        now = trio.current_time()
        self.revision, pairs, leases = snapshot
        self._pairs = dict(pairs)
        self._keys = sorted(pairs)
        self._leases = {
            lease: _Lease(ttl_s, now + ttl_s, keys) for lease, (ttl_s, keys) in leases.items()
        }
        self._events.clear()
        self._compacted = self.revision
        self._epoch += 1
        self._notify()

    # Calls.

    async def get(self, key: str) -> KeyValue | None:
        """Return the entry of a key, or None."""
        async with self._call("get", writes=False):
            return self._pairs.get(key)

    async def scan(self, prefix: str, limit: int = 1000, after: str = "") -> Page:
        """Return up to ``limit`` entries with a prefix, ordered by key, after the key ``after``."""
        async with self._call("scan", writes=False):
            start = bisect.bisect_left(self._keys, prefix)
            if after >= prefix:
                start = max(start, bisect.bisect_right(self._keys, after))
            keys = self._keys[start : start + limit + 1]
            keys = [key for key in keys if key.startswith(prefix)]
            items = [self._pairs[key] for key in keys[:limit]]
        return Page(items, len(keys) > limit)

    async def transact(
        self, compares: list[Compare], puts: list[KeyValue], deletes: list[str] = ()
    ) -> Transaction:
        """Apply all changes atomically if all conditions hold, else none."""
        self._check_sizes(compares, puts, deletes)
        async with self._call("transact", writes=True):
            if self._write_delays_s:
                delay_s = self._write_delays_s.pop(0)
                trio.lowlevel.spawn_system_task(
                    self._transact_late, delay_s, compares, puts, deletes
                )
                raise PlatformError(PLATFORM_AMBIGUOUS.because("no answer to the write"))
            return self._transact(compares, puts, deletes)

    async def _transact_late(self, delay_s: float, compares, puts, deletes) -> None:
        await trio.sleep(delay_s)
        self._expire()
        with contextlib.suppress(PlatformError):
            self._transact(compares, puts, deletes)

    async def grant(self, ttl_s: float) -> LeaseGrant:
        """Grant a lease with a time to live of ``ttl_s`` seconds."""
        async with self._call("grant", writes=True):
            self._last_lease += 1
            lease = self._last_lease
            self._leases[lease] = _Lease(ttl_s, trio.current_time() + ttl_s)
            self._notify()
        return LeaseGrant(lease, ttl_s)

    async def keep_alive(self, lease: int) -> LeaseGrant:
        """Renew a lease.

        :raises PlatformError: ``LEASE_LOST`` if it expired or was revoked
        """
        async with self._call("keep_alive", writes=True):
            lease_state = self._require_lease(lease)
            lease_state.expires_at = trio.current_time() + lease_state.ttl_s
        return LeaseGrant(lease, lease_state.ttl_s)

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        async with self._call("revoke", writes=True):
            self._require_lease(lease)
            self._end_lease(lease)

    @asynccontextmanager
    async def watch(self, prefix: str, from_revision: int = 0):
        """Watch keys with a prefix, starting at a revision (0 for the next change).

        :raises PlatformError: ``HISTORY_COMPACTED`` if events from that revision are not retained
        """
        async with self._call("watch", writes=False):
            position = self._find_start_position(from_revision)
            watch = _Watch(self, prefix, from_revision, position, self._epoch)
        self.open_watches += 1
        try:
            yield watch
        finally:
            self.open_watches -= 1

    @asynccontextmanager
    async def _call(self, kind: str, writes: bool):
        self.calls[kind] += 1
        delay = (self.latency_s + self._added_latency_s) / 2
        await trio.sleep(delay)
        if self._down:
            raise PlatformError(PLATFORM_UNAVAILABLE.because("the key-value service is down"))
        if writes and self._lost_requests:
            self._lost_requests -= 1
            raise PlatformError(PLATFORM_AMBIGUOUS.because("connection broke during the write"))
        self._expire()
        lost = writes and self._lost_answers > 0
        self._lost_answers -= lost
        epoch = self._epoch
        yield
        await trio.sleep(delay)
        if lost or epoch != self._epoch:
            failure_kind = PLATFORM_AMBIGUOUS if writes else PLATFORM_UNAVAILABLE
            raise PlatformError(failure_kind.because("connection broke before the answer arrived"))

    @staticmethod
    def _check_sizes(compares, puts, deletes):
        if max(len(compares), len(puts) + len(deletes)) > MAX_TRANSACTION_OPERATIONS:
            reason = (
                f"transaction has more than {MAX_TRANSACTION_OPERATIONS} compares "
                f"or more than {MAX_TRANSACTION_OPERATIONS} changes"
            )
            raise PlatformError(PLATFORM_REFUSED.because(reason))
        for put in puts:
            if len(put.value) > MAX_VALUE_BYTES:
                reason = f"value of {put.key} has {len(put.value)} bytes, limit {MAX_VALUE_BYTES}"
                raise PlatformError(PLATFORM_REFUSED.because(reason))

    def _transact(self, compares, puts, deletes) -> Transaction:
        for compare in compares:
            found = self._pairs.get(compare.key)
            if (found.mod_revision if found else 0) != compare.mod_revision:
                return Transaction(False, self.revision)
        for put in puts:
            if put.lease:
                self._require_lease(put.lease)
        deletes = [key for key in deletes if key in self._pairs]
        if puts or deletes:
            self.revision += 1
        for key in deletes:
            self._delete(key)
        for put in puts:
            self._put(put)
        if puts or deletes:
            self._notify()
        return Transaction(True, self.revision)

    def _put(self, put: KeyValue):
        old = self._pairs.get(put.key)
        if old is None:
            bisect.insort(self._keys, put.key)
        elif old.lease:
            self._leases[old.lease].keys.discard(put.key)
        if put.lease:
            self._leases[put.lease].keys.add(put.key)
        value = bytes(put.value)
        self._pairs[put.key] = KeyValue(put.key, value, self.revision, put.lease)
        self._append_event(WatchEvent(put.key, value, self.revision))

    def _delete(self, key: str):
        old = self._pairs.pop(key)
        del self._keys[bisect.bisect_left(self._keys, key)]
        if old.lease in self._leases:
            self._leases[old.lease].keys.discard(key)
        self._append_event(WatchEvent(key, None, self.revision))

    def _append_event(self, event: WatchEvent):
        if len(self._events) == self._events.maxlen:
            self._compacted = max(self._compacted, self._events[0].mod_revision)
        self._events.append(event)
        self._event_count += 1

    def _require_lease(self, lease: int) -> _Lease:
        lease_state = self._leases.get(lease)
        if lease_state is None:
            raise PlatformError(
                LEASE_LOST.because(
                    f"lease {lease} does not exist: it expired, was revoked or was never granted"
                )
            )
        return lease_state

    def _expire(self):
        now = trio.current_time()
        for lease in [
            lease for lease, lease_state in self._leases.items() if lease_state.expires_at <= now
        ]:
            self._end_lease(lease)

    def _end_lease(self, lease: int):
        keys = sorted(self._leases.pop(lease).keys)
        if not keys:
            return
        self.revision += 1
        for key in keys:
            self._delete(key)
        self._notify()

    def _find_next_expiry(self) -> float:
        return min(
            (lease_state.expires_at for lease_state in self._leases.values()), default=float("inf")
        )

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()

    def _find_start_position(self, from_revision: int) -> int:
        if not from_revision:
            return self._event_count
        if from_revision <= self._compacted:
            reason = (
                f"events up to revision {self._compacted} were compacted, asked for {from_revision}"
            )
            raise PlatformError(HISTORY_COMPACTED.because(reason))
        return self._event_count - len(self._events)


class _Watch:
    """Iterator over the events of one watch; cancelling a wait loses no event."""

    __slots__ = ("_store", "_prefix", "_from_revision", "_position", "_epoch")

    def __init__(self, store, prefix: str, from_revision: int, position: int, epoch: int):
        self._store = store
        self._prefix = prefix
        self._from_revision = from_revision
        self._position = position
        self._epoch = epoch

    def __aiter__(self):
        return self

    async def __anext__(self) -> WatchEvent:
        store = self._store
        await trio.lowlevel.checkpoint()
        while True:
            if self._epoch != store._epoch:
                raise PlatformError(
                    PLATFORM_UNAVAILABLE.because("watch broke in an outage or a restore")
                )
            store._expire()
            event = self._take_next_match()
            if event is not None:
                await trio.sleep(store._added_latency_s)
                return event
            with trio.move_on_at(store._find_next_expiry()):
                await store._changed.wait()

    def _take_next_match(self) -> WatchEvent | None:
        store = self._store
        first = store._event_count - len(store._events)
        if self._position < first:
            raise PlatformError(
                HISTORY_COMPACTED.because(
                    f"watch at event {self._position}, oldest retained event is {first}"
                )
            )
        while self._position < store._event_count:
            event = store._events[self._position - first]
            self._position += 1
            if event.key.startswith(self._prefix) and event.mod_revision >= self._from_revision:
                return event
        return None
