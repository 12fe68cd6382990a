"""Group commit of claims and outcomes, one key for each order."""

import random
from collections import deque
from collections.abc import Callable

import trio

from basilwinch.exception import (
    LEASE_LOST,
    PLATFORM_AMBIGUOUS,
    PLATFORM_UNAVAILABLE,
    Failure,
    PlatformError,
)
from basilwinch.order.claim import Claim
from basilwinch.order.contact import PlatformContact
from basilwinch.order.outcome import OrderConfig
from basilwinch.store import Compare, KeyValue, KeyValueStore

__all__ = ["ClaimWriter", "Entry"]

# A lease is shared by all records of this part of the retention, so that ageing costs one call for
# each node and period instead of one delete for each order.
_LEASE_SHARE = 0.25
_RETRY_S = 0.25
_FIRST_RETRY_S = 0.01
_FAILURES_TO_GIVE_UP = 3


class Entry:
    """A record to create, and what became of it.

    :param key: key of the order
    :param claim: the record
    :param timed: whether the record may expire
    """

    __slots__ = ("key", "claim", "timed", "written", "found", "failure", "ambiguous", "settled")

    def __init__(self, key: str, claim: Claim, timed: bool):
        self.key = key
        self.claim = claim
        self.timed = timed
        #: Whether this record is durable.
        self.written = False
        #: The record that was there before, a :class:`~basilwinch.store.KeyValue`.
        self.found: KeyValue | None = None
        self.failure: Failure | None = None
        #: Whether some write of it may still have taken effect.
        self.ambiguous = False
        self.settled = trio.Event()


class ClaimWriter:
    """Writes the records of a node.

    A task that wants a claim becomes the writer if none is active and writes for all that wait, so
    a claim waits for at most the write in progress. Outcomes need no condition and share the next
    write of claims.

    :param config: :class:`~basilwinch.order.OrderConfig`
    :param store: the key-value service
    :param contact: told about each call
    :param rng: generator of retry delays
    :param clock: wall clock in seconds
    """

    __slots__ = (
        "_config",
        "_store",
        "contact",
        "_rng",
        "_clock",
        "_entries",
        "_outcomes",
        "_failed",
        "_writing",
        "_ended",
        "_retry_at",
        "_failures",
        "_lease",
        "_lease_until",
        "writes",
    )

    def __init__(
        self,
        config: OrderConfig,
        store: KeyValueStore,
        contact: PlatformContact,
        rng: random.Random,
        clock: Callable[[], float],
    ):
        self._config = config
        self._store = store
        self.contact = contact
        self._rng = rng
        self._clock = clock
        self._entries: deque[Entry] = deque()
        self._outcomes: dict[str, tuple[Claim, bool]] = {}
        self._failed: list[Entry] = []
        self._writing = False
        self._ended = trio.Event()
        self._retry_at = 0.0
        self._failures = 0
        self._lease = 0
        self._lease_until = 0.0
        #: Writes sent to the key-value service.
        self.writes = 0

    async def create(self, entry: Entry, deadline: float, is_refusable=lambda: False) -> None:
        """Create a record if its key does not exist; the entry then tells what happened.

        :param deadline: trio time until which failed writes are repeated
        :param is_refusable: returns whether to stop earlier, after a failed write
        """
        while True:
            entry.settled = trio.Event()
            self._entries.append(entry)
            while not entry.settled.is_set():
                if self._writing:
                    # Whoever wakes first writes for those whose entry came too late.
                    await self._ended.wait()
                else:
                    await self._write_group()
            if entry.failure is None:
                return
            # A node that was paused must not give up because its first call afterwards is lost.
            late = trio.current_time() >= deadline and self._failures >= _FAILURES_TO_GIVE_UP
            if late or is_refusable():
                return
            if entry.failure.kind not in (PLATFORM_UNAVAILABLE, PLATFORM_AMBIGUOUS):
                return

    def add_outcome(self, key: str, claim: Claim, timed: bool) -> None:
        """Write a record later, together with claims; :meth:`flush` bounds the delay."""
        self._outcomes[key] = (claim, timed)

    def pending_outcome(self, key: str) -> Claim | None:
        """Return an outcome that is not durable yet."""
        found = self._outcomes.get(key)
        return found[0] if found else None

    async def flush(self) -> None:
        """Write the outcomes that wait, unless a write is in progress."""
        if self._outcomes and not self._writing and trio.current_time() >= self._retry_at:
            await self._write_group()

    async def read(self, key: str) -> KeyValue | None:
        """Return a record.

        :raises PlatformError: if it cannot be read
        """
        return await self._observe(self._store.get, key)

    async def replace(self, found: KeyValue, claim: Claim) -> bool:
        """Replace a record if it has not changed since it was read; keeps its lease.

        :raises PlatformError: if that failed or is not known
        """
        put = KeyValue(found.key, claim.to_bytes(), 0, found.lease)
        compare = Compare(found.key, found.mod_revision)
        self.writes += 1
        result = await self._observe(self._store.transact, [compare], [put])
        return result.succeeded

    async def probe(self) -> None:
        """Read one key if no call has succeeded for ``probe_s``, so that outages are noticed."""
        last = self.contact.last_success
        if last is not None and self._clock() - last < self._config.probe_s:
            return
        try:
            await self.read(self._config.prefix)
        except PlatformError:
            return

    async def _write_group(self) -> None:
        self._writing = True
        group = []
        try:
            # After a failure the node tries again with one write for all that wait, so an outage
            # costs the same few calls however many orders are held.
            await trio.sleep_until(self._retry_at)
            # Two claims of one key cannot share a write; the second one waits for the next.
            keys = set()
            for _ in range(len(self._entries)):
                if len(group) >= self._config.group:
                    break
                entry = self._entries.popleft()
                if entry.key in keys:
                    self._entries.append(entry)
                else:
                    keys.add(entry.key)
                    group.append(entry)
            with trio.CancelScope(shield=True):
                await self._write_split(group)
        finally:
            self._writing = False
            for entry in group:
                if not entry.written and entry.found is None and entry.failure is None:
                    entry.ambiguous = True
                    entry.failure = PLATFORM_AMBIGUOUS.because("the write was interrupted")
                entry.settled.set()
            for entry in self._failed:
                entry.settled.set()
            self._failed.clear()
            self._ended.set()
            self._ended = trio.Event()

    async def _write_split(self, group: list[Entry]) -> None:
        """Write a group; on a failed condition halve it until the duplicates are found."""
        try:
            if await self._transact(group):
                for entry in group:
                    entry.written, entry.failure = True, None
            elif len(group) == 1:
                await self._read_back(group[0])
            else:
                half = len(group) // 2
                await self._write_split(group[:half])
                await self._write_split(group[half:])
        except PlatformError as error:
            ambiguous = error.failure.kind is not PLATFORM_UNAVAILABLE
            # A single lost call is repeated soon, an outage is probed slowly.
            self._failures += 1
            delay = min(_RETRY_S, _FIRST_RETRY_S * 4 ** (self._failures - 1))
            self._retry_at = trio.current_time() + self._rng.uniform(0.5, 1.0) * delay
            if not ambiguous:
                # The calls of the others that wait would fail alike.
                self._failed.extend(self._entries)
                group = [*group, *self._entries]
                self._entries.clear()
            for entry in group:
                if not entry.written and entry.found is None:
                    entry.failure = error.failure
                    entry.ambiguous |= ambiguous

    async def _read_back(self, entry: Entry) -> None:
        """Find out whether the existing record is this one, from a write whose answer was lost."""
        found = await self.read(entry.key)
        if found is None:
            # It expired between the two calls; the next attempt creates it.
            entry.failure = PLATFORM_UNAVAILABLE.because("the record changed meanwhile")
            return
        entry.failure = None
        if Claim.from_bytes(found.value).id == entry.claim.id:
            entry.written = True
        else:
            entry.found = found

    async def _transact(self, group: list[Entry]) -> bool:
        lease = await self._current_lease()
        # From here to the call there is no wait, so the holder's limit on the age of a claim also
        # limits how late the record can be attached to the lease.
        now = self._clock()
        for entry in group:
            if not entry.ambiguous:
                entry.claim.time = now
        room = self._config.group - len(group)
        outcomes = dict(list(self._outcomes.items())[:room]) if room > 0 else {}
        compares = [Compare(entry.key, 0) for entry in group]
        puts = [(entry.key, entry.claim, entry.timed) for entry in group]
        puts += [(key, claim, timed) for key, (claim, timed) in outcomes.items()]
        if not puts:
            return True
        values = [
            KeyValue(key, claim.to_bytes(), 0, lease if timed else 0) for key, claim, timed in puts
        ]
        self.writes += 1
        try:
            result = await self._observe(self._store.transact, compares, values)
        except PlatformError as error:
            if error.failure.kind is LEASE_LOST:
                self._lease = 0
                raise PlatformError(PLATFORM_UNAVAILABLE.because("the lease was lost")) from error
            raise
        self._failures = 0
        if result.succeeded:
            for key, written in outcomes.items():
                if self._outcomes.get(key) is written:
                    del self._outcomes[key]
        return result.succeeded

    async def _current_lease(self) -> int:
        """Return the lease of the current period.

        It lasts for the period in which records are attached, the oldest claim that is still sent,
        the retention and the skew of the clocks, so no record disappears while its id is accepted.

        :raises PlatformError: ``PLATFORM_UNAVAILABLE``, because no record was written
        """
        config = self._config
        while not self._lease or self._clock() >= self._lease_until:
            period = config.retention_s * _LEASE_SHARE
            ttl = period + config.send_limit_s + config.retention_s + 4 * config.skew_s
            until = self._clock() + period
            self.writes += 1
            try:
                grant = await self._observe(self._store.grant, ttl)
            except PlatformError as error:
                failure = PLATFORM_UNAVAILABLE.because(f"no lease: {error.failure.reason}")
                raise PlatformError(failure) from error
            self._lease, self._lease_until = grant.lease, until
        return self._lease

    async def _observe(self, call, *arguments):
        """Make a call to the key-value service and note what it tells about its state."""
        started = self._clock()
        try:
            result = await call(*arguments)
        except PlatformError as error:
            # An ambiguous call says neither that the service is down nor that it is up.
            if error.failure.kind is PLATFORM_UNAVAILABLE:
                self.contact.fail(self._clock())
            raise
        self.contact.succeed(started, self._clock(), getattr(result, "revision", 0))
        return result
