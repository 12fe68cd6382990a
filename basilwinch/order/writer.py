"""Group commit of claims and outcomes, with one key per order."""

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
from basilwinch.order.outage import OutageTracker
from basilwinch.order.outcome import OrderConfig
from basilwinch.store import Compare, KeyValue, KeyValueStore

__all__ = ["ClaimEntry", "ClaimWriter"]

# Records written within this part of the retention time share a lease, so that expiry costs one
# call for each node and period instead of one delete for each order.
_LEASE_PERIOD_RETENTION_RATIO = 0.25
_MAX_RETRY_DELAY_S = 0.25
_FIRST_RETRY_DELAY_S = 0.01
_MIN_CONSECUTIVE_FAILURES_TO_GIVE_UP = 3


class ClaimEntry:
    """A record to create, and the result.

    :param key: key of the order
    :param claim: the record
    :param can_expire: whether the record is attached to a lease
    """

    __slots__ = (
        "key",
        "claim",
        "can_expire",
        "written",
        "existing",
        "failure",
        "ambiguous",
        "finished",
    )

    def __init__(self, key: str, claim: Claim, can_expire: bool):
        self.key = key
        self.claim = claim
        self.can_expire = can_expire
        #: Whether this record is durable.
        self.written = False
        #: The record that already existed, a :class:`~basilwinch.store.KeyValue`.
        self.existing: KeyValue | None = None
        self.failure: Failure | None = None
        #: Whether a failed write of this record may have taken effect.
        self.ambiguous = False
        self.finished = trio.Event()


class ClaimWriter:
    """Writes the records of a node.

    A task that creates a claim becomes the writer if none is active, and writes the entries of all
    waiting tasks. A claim thus waits for at most the write in progress. Outcomes have no
    condition of their own and are written together with the next claims.

    :param config: :class:`~basilwinch.order.OrderConfig`
    :param store: the key-value service
    :param outages: records the result of each call
    :param rng: generator of retry delays
    :param clock: wall clock in seconds
    """

    __slots__ = (
        "_config",
        "_store",
        "outages",
        "_rng",
        "_clock",
        "_entries",
        "_pending_outcomes",
        "_failed_entries",
        "_writing",
        "_write_ended",
        "_retry_at",
        "_consecutive_failures",
        "_lease_id",
        "_lease_renew_at",
        "writes",
    )

    def __init__(
        self,
        config: OrderConfig,
        store: KeyValueStore,
        outages: OutageTracker,
        rng: random.Random,
        clock: Callable[[], float],
    ):
        self._config = config
        self._store = store
        self.outages = outages
        self._rng = rng
        self._clock = clock
        self._entries: deque[ClaimEntry] = deque()
        self._pending_outcomes: dict[str, tuple[Claim, bool]] = {}
        self._failed_entries: list[ClaimEntry] = []
        self._writing = False
        self._write_ended = trio.Event()
        self._retry_at = 0.0
        self._consecutive_failures = 0
        self._lease_id = 0
        self._lease_renew_at = 0.0
        #: Writes sent to the key-value service.
        self.writes = 0

    async def create(self, entry: ClaimEntry, deadline: float, should_stop=lambda: False) -> None:
        """Create a record if its key does not exist; the entry holds the result.

        :param deadline: trio time after which retries stop, once
            ``_MIN_CONSECUTIVE_FAILURES_TO_GIVE_UP`` calls in a row have failed
        :param should_stop: returns whether to stop retrying before the deadline
        """
        while True:
            entry.finished = trio.Event()
            self._entries.append(entry)
            while not entry.finished.is_set():
                if self._writing:
                    # The first task to wake writes the entries that came too late for this write.
                    await self._write_ended.wait()
                else:
                    await self._write_group()
            if entry.failure is None:
                return
            # A node that was paused must not give up because its first call afterwards fails.
            exhausted = (
                trio.current_time() >= deadline
                and self._consecutive_failures >= _MIN_CONSECUTIVE_FAILURES_TO_GIVE_UP
            )
            if exhausted or should_stop():
                return
            if entry.failure.kind not in (PLATFORM_UNAVAILABLE, PLATFORM_AMBIGUOUS):
                return

    def add_outcome(self, key: str, claim: Claim, can_expire: bool) -> None:
        """Queue a record to be written with the next claims; :meth:`flush` limits the delay."""
        self._pending_outcomes[key] = (claim, can_expire)

    def get_pending_outcome(self, key: str) -> Claim | None:
        """Return an outcome that is not durable yet."""
        pending = self._pending_outcomes.get(key)
        return pending[0] if pending else None

    async def flush(self) -> None:
        """Write the queued outcomes, unless a write is in progress."""
        if self._pending_outcomes and not self._writing and trio.current_time() >= self._retry_at:
            await self._write_group()

    async def read(self, key: str) -> KeyValue | None:
        """Return a record.

        :raises PlatformError: if it cannot be read
        """
        return await self._call_store(self._store.get, key)

    async def replace(self, existing: KeyValue, claim: Claim) -> bool:
        """Replace a record if it has not changed since it was read; keep its lease.

        :returns: whether the record was replaced
        :raises PlatformError: if the write failed or its result is not known
        """
        put = KeyValue(existing.key, claim.to_bytes(), 0, existing.lease)
        compare = Compare(existing.key, existing.mod_revision)
        self.writes += 1
        result = await self._call_store(self._store.transact, [compare], [put])
        return result.succeeded

    async def probe(self) -> None:
        """Read one key if no call succeeded for ``probe_interval_s``, to notice outages."""
        last_success_at = self.outages.last_success_at
        if (
            last_success_at is not None
            and self._clock() - last_success_at < self._config.probe_interval_s
        ):
            return
        try:
            await self.read(self._config.prefix)
        except PlatformError:
            return

    async def _write_group(self) -> None:
        self._writing = True
        group = []
        try:
            # After a failure the node retries one write for all waiting entries, so the number of
            # calls in an outage does not depend on the number of orders.
            await trio.sleep_until(self._retry_at)
            # Two claims of the same key cannot share a write; the second waits for the next one.
            keys = set()
            for _ in range(len(self._entries)):
                if len(group) >= self._config.max_group_size:
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
                if not entry.written and entry.existing is None and entry.failure is None:
                    entry.ambiguous = True
                    entry.failure = PLATFORM_AMBIGUOUS.because("the write was interrupted")
                entry.finished.set()
            for entry in self._failed_entries:
                entry.finished.set()
            self._failed_entries.clear()
            self._write_ended.set()
            self._write_ended = trio.Event()

    async def _write_split(self, group: list[ClaimEntry]) -> None:
        """Write a group; if a condition fails, halve the group until the duplicates are found."""
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
            # A single failed call is retried soon; in an outage the delay grows fourfold each time.
            self._consecutive_failures += 1
            delay = min(
                _MAX_RETRY_DELAY_S, _FIRST_RETRY_DELAY_S * 4 ** (self._consecutive_failures - 1)
            )
            self._retry_at = trio.current_time() + self._rng.uniform(0.5, 1.0) * delay
            if not ambiguous:
                # The waiting entries would fail in the same way.
                self._failed_entries.extend(self._entries)
                group = [*group, *self._entries]
                self._entries.clear()
            for entry in group:
                if not entry.written and entry.existing is None:
                    entry.failure = error.failure
                    entry.ambiguous |= ambiguous

    async def _read_back(self, entry: ClaimEntry) -> None:
        """Find out whether the existing record is from an unacknowledged write of this entry."""
        existing = await self.read(entry.key)
        if existing is None:
            # The record expired between the two calls; the next attempt creates it.
            entry.failure = PLATFORM_UNAVAILABLE.because(
                "the existing record expired before it could be read"
            )
            return
        entry.failure = None
        if Claim.from_bytes(existing.value).id == entry.claim.id:
            entry.written = True
        else:
            entry.existing = existing

    async def _transact(self, group: list[ClaimEntry]) -> bool:
        lease_id = await self._get_lease_id()
        # There is no wait between here and the call, so the limit on the age of a claim also limits
        # how late the record can be attached to the lease.
        now = self._clock()
        for entry in group:
            if not entry.ambiguous:
                entry.claim.time = now
        remaining = self._config.max_group_size - len(group)
        outcomes = dict(list(self._pending_outcomes.items())[:remaining]) if remaining > 0 else {}
        compares = [Compare(entry.key, 0) for entry in group]
        puts = [(entry.key, entry.claim, entry.can_expire) for entry in group]
        puts += [(key, claim, can_expire) for key, (claim, can_expire) in outcomes.items()]
        if not puts:
            return True
        values = [
            KeyValue(key, claim.to_bytes(), 0, lease_id if can_expire else 0)
            for key, claim, can_expire in puts
        ]
        self.writes += 1
        try:
            result = await self._call_store(self._store.transact, compares, values)
        except PlatformError as error:
            if error.failure.kind is LEASE_LOST:
                self._lease_id = 0
                raise PlatformError(
                    PLATFORM_UNAVAILABLE.because("the lease of the order records has expired")
                ) from error
            raise
        self._consecutive_failures = 0
        if result.succeeded:
            for key, written in outcomes.items():
                if self._pending_outcomes.get(key) is written:
                    del self._pending_outcomes[key]
        return result.succeeded

    async def _get_lease_id(self) -> int:
        """Return the id of the lease of the current period.

        Its time to live covers the period in which records are attached, the largest age of a
        claim that is sent, the retention time and the clock skew, so that no record expires while
        its id is accepted.

        :raises PlatformError: ``PLATFORM_UNAVAILABLE``, because no record was written
        """
        config = self._config
        while not self._lease_id or self._clock() >= self._lease_renew_at:
            period_s = config.retention_s * _LEASE_PERIOD_RETENTION_RATIO
            ttl_s = (
                period_s + config.max_send_age_s + config.retention_s + 4 * config.max_clock_skew_s
            )
            renew_at = self._clock() + period_s
            self.writes += 1
            try:
                grant = await self._call_store(self._store.grant, ttl_s)
            except PlatformError as error:
                failure = PLATFORM_UNAVAILABLE.because(
                    f"no lease for order records: {error.failure.reason}"
                )
                raise PlatformError(failure) from error
            self._lease_id, self._lease_renew_at = grant.lease, renew_at
        return self._lease_id

    async def _call_store(self, call, *arguments):
        """Call the key-value service and record whether it is up."""
        started_at = self._clock()
        try:
            result = await call(*arguments)
        except PlatformError as error:
            # An ambiguous failure shows neither that the service is down nor that it is up.
            if error.failure.kind is PLATFORM_UNAVAILABLE:
                self.outages.record_failure(self._clock())
            raise
        self.outages.record_success(started_at, self._clock(), getattr(result, "revision", 0))
        return result
