"""Holder of a lease: acquires it, renews it, and stops its task before the lease expires."""

import json
import re

import structlog
import trio

from basilwinch.exception import (
    LEASE_LOST,
    PLATFORM_AMBIGUOUS,
    Failure,
    PlatformError,
)
from basilwinch.record import Record
from basilwinch.store import Compare, KeyValue, KeyValueStore

__all__ = ["LEASE_KEY_PREFIX", "HeldLease", "LeaseConfig", "LeaseHolder"]

LEASE_KEY_PREFIX = "basilwinch/lease/"
# Fencing tokens of a later era of the store are higher, as revisions stay below 2 to this power.
_REVISION_BITS = 32
_FENCE_BASE = re.compile(rb"[0-9]{1,18}")
_RETRY_PAUSE_S = 0.1  # after a failed renewal


class LeaseConfig(Record):
    """Settings of a lease.

    :param name: name of the task
    :param owner: name of this node
    :param ttl_s: time to live of the lease on the platform in seconds
    :param margin_s: seconds before the earliest end of the lease at which the holder stops; covers
        clock drift and the time between a check and the sending of an order
    :param longest_order_s: longest time in seconds after which an order sent to a backend server
        can still take effect
    """

    __slots__ = ("name", "owner", "ttl_s", "margin_s", "longest_order_s")
    _defaults = {"ttl_s": 10.0, "margin_s": 2.0, "longest_order_s": 5.0}


class HeldLease:
    """A lease while it is held.

    Check it immediately before each order to a backend server is sent, without waiting in between,
    so that a process that was paused notices the end of its lease. The holder cannot detect a pause
    between the check and the order. Servers that check fencing tokens refuse such an order once
    they have seen a newer token. The others are protected if the pause and the order together take
    less than ``ttl_s + margin_s + longest_order_s``.

    After a restore of the store the lease is not valid until its holder has found it there again.

    :param fence: fencing token; increases with each holder
    :param valid_until: time at which the holder stops unless the lease is renewed
    :param unfenced_orders_from: time from which orders may be sent to servers that do not check
        fencing tokens, because no order of an earlier holder can take effect any more
    :param history: :class:`~basilwinch.store.StoreHistory` of the store
    :param lease: id of the lease on the platform
    :param value: value of the lease key, which no other holder writes
    :param condition: condition that holds for a write while the lease key is this holder's
    """

    __slots__ = (
        "fence",
        "valid_until",
        "unfenced_orders_from",
        "lease",
        "value",
        "condition",
        "_history",
        "_found_in",
        "_ended",
    )

    def __init__(
        self,
        fence,
        valid_until,
        unfenced_orders_from,
        history,
        lease: int,
        value: bytes,
        condition: Compare,
    ):
        self.fence = fence
        self.condition = condition
        self.lease = lease
        self.value = value
        self._history = history
        self._found_in = history.number
        self.valid_until = valid_until
        self.unfenced_orders_from = unfenced_orders_from
        self._ended = False

    def check(self, now: float) -> Failure | None:
        """Return a ``LEASE_LOST`` failure if the lease may have ended, else None."""
        if not self.is_found:
            return LEASE_LOST.because(
                f"the lease with fencing token {self.fence} may be lost in a restore of the store"
            )
        if self._ended or now >= self.valid_until:
            return LEASE_LOST.because(
                f"the lease with fencing token {self.fence} has ended or was not renewed in time"
            )
        return None

    def check_order(self, checks_fencing: bool, now: float) -> Failure | None:
        """Return a failure if an order must not be sent to a server now, else None.

        :param checks_fencing: whether the server refuses old fencing tokens. A server that does not
            must get no order before ``unfenced_orders_from``; its state must be read back first.
        """
        failure = self.check(now)
        if failure is None and not checks_fencing and now < self.unfenced_orders_from:
            wait_s = self.unfenced_orders_from - now
            reason = "an order of the previous holder may still take effect"
            return LEASE_LOST.because(reason, retry_after=wait_s)
        return failure

    @property
    def is_found(self) -> bool:
        """Whether the lease was acquired or found again in the store's current history."""
        return self._found_in == self._history.number

    def record_found(self, history: int, item: KeyValue) -> None:
        """Record that the lease is in the store after a restore.

        :param history: number of the history in which it was looked for
        :param item: its key
        """
        self._found_in = history
        self.lease = item.lease
        self.condition = Compare(item.key, item.mod_revision)

    def end(self) -> None:
        """Mark the lease as ended."""
        self._ended = True


class LeaseHolder:
    """Competes for a lease and runs a task while it holds it.

    The fencing token is the revision of the last change of the lease key plus a stored base. The
    base is 0 unless the platform was restored from an older state, after which revisions are lower
    than before. The base then raises the tokens above those that servers have seen
    (:meth:`record_fence`). A store that names its era raises them by that alone, also above those
    of holders that this node has never heard of.

    ``is_known_held`` is a function without arguments that returns whether this node knows, without
    a call, of a holder; a node that knows of one reads nothing. ``get_delay_s`` returns the seconds
    that this node leaves to others when the lease is free, so that not all nodes of a large fleet
    compete. ``key`` is the key of the lease on the platform.

    :param config: :class:`LeaseConfig`
    :param store: key-value service
    :param rng: :class:`random.Random` for ids and delays
    """

    def __init__(self, config: LeaseConfig, store: KeyValueStore, rng):
        self._config = config
        self._store = store
        self._rng = rng
        self.is_known_held = lambda: False
        self.get_delay_s = lambda: 0.0
        self.key = f"{LEASE_KEY_PREFIX}{config.name}/holder"
        self._fence_base_key = f"{LEASE_KEY_PREFIX}{config.name}/base"
        self._highest_fence = 0
        self._held: HeldLease | None = None
        self._wait_scope = trio.CancelScope()
        store.history.subscribe(self._end_wait)
        self._log = structlog.get_logger("lease").bind(lease=config.name, owner=config.owner)

    @classmethod
    def from_config(cls, config: LeaseConfig, store: KeyValueStore, rng) -> "LeaseHolder":
        """Build a holder from its settings.

        :raises ValueError: if the margin leaves no time to renew
        """
        if not 0 < config.margin_s < config.ttl_s / 2:
            raise ValueError(
                f"margin_s must be above 0 and below half of ttl_s = {config.ttl_s:g} s, "
                f"got {config.margin_s:g} s"
            )
        return cls(config, store, rng)

    def record_fence(self, fence: int) -> None:
        """Record a fencing token that a server has seen.

        If it is higher than the token held, the lease is released and acquired again with a token
        above it. Call this method with the token from a ``FENCED`` reply.
        """
        self._highest_fence = max(self._highest_fence, fence)
        if self._held and self._held.fence < self._highest_fence:
            self._held.end()

    async def run(self, task) -> None:
        """Compete for the lease until cancelled; run ``await task(held)`` whenever it is held.

        The task is cancelled before the lease ends. When it returns, the lease is released.

        :param task: async function of a :class:`HeldLease`
        """
        while True:
            try:
                acquired = await self._acquire()
                if acquired is None:
                    await self._wait_for_release()
                    continue
                await self._run_task(task, acquired)
            except PlatformError as error:
                self._log.warning("lease acquisition or watch failed", reason=error.failure.reason)
            await trio.sleep(self._config.ttl_s / 4 * self._rng.uniform(0.5, 1.5))

    async def _acquire(self) -> HeldLease | None:
        """Return the acquired lease, or None if it was not acquired."""
        history = self._store.history
        # The holder of a lease that a restore has lost may not have noticed yet.
        while trio.current_time() < history.began_at + self._config.ttl_s:
            await trio.sleep_until(history.began_at + self._config.ttl_s)
        if delay_s := self.get_delay_s():
            await trio.sleep(delay_s)
        if self.is_known_held() or await self._store.get(self.key) is not None:
            return None
        fence_base = await self._read_fence_base()
        # Taken before the call: the time to live on the platform starts later, so valid_until is
        # never too late.
        started_at = trio.current_time()
        grant = await self._store.grant(self._config.ttl_s)
        token = f"{self._rng.getrandbits(64):016x}"
        value = json.dumps({"owner": self._config.owner, "token": token}).encode()
        compares = [Compare(self.key, 0), Compare(self._fence_base_key, fence_base.mod_revision)]
        put = KeyValue(self.key, value, 0, grant.lease)
        try:
            result = await self._store.transact(compares, [put])
            revision = result.revision if result.succeeded else 0
        except PlatformError as error:
            if error.failure.kind is not PLATFORM_AMBIGUOUS:
                raise
            found = await self._store.get(self.key)
            revision = found.mod_revision if found and found.value == value else 0
        if not revision:
            return None
        fence = (history.era << _REVISION_BITS) + revision + int(fence_base.value)
        ttl_s = min(grant.ttl_s, self._config.ttl_s)
        valid_until = started_at + ttl_s - self._config.margin_s
        wait_s = self._config.ttl_s + self._config.longest_order_s
        unfenced_from = trio.current_time() + wait_s
        condition = Compare(self.key, revision)
        held = HeldLease(fence, valid_until, unfenced_from, history, grant.lease, value, condition)
        if fence <= self._highest_fence:
            await self._raise_fence_base(fence_base, fence)
            await self._release(held)
            return None
        self._highest_fence = fence
        if held.check(trio.current_time()) is not None:
            # The answer came so late, or this process was paused, that another node may hold it.
            self._log.warning("lease ended before its acquisition was known", fence=fence)
            await self._release(held)
            return None
        self._held = held
        self._log.info("lease acquired", fence=fence)
        return held

    async def _read_fence_base(self) -> KeyValue:
        found = await self._store.get(self._fence_base_key)
        if found is None:
            return KeyValue(self._fence_base_key, b"0", 0)
        if not _FENCE_BASE.fullmatch(found.value):
            # The base that was lost is not known. This node raises it again if it has seen it.
            self._log.error("fencing token base malformed, taken for 0", value=found.value[:40])
            return KeyValue(self._fence_base_key, b"0", found.mod_revision)
        return found

    async def _raise_fence_base(self, fence_base: KeyValue, fence: int):
        value = str(int(fence_base.value) + self._highest_fence - fence + 1).encode()
        put = KeyValue(self._fence_base_key, value, 0)
        await self._store.transact([Compare(self._fence_base_key, fence_base.mod_revision)], [put])
        self._log.warning(
            "fencing token base raised", highest_seen=self._highest_fence, fence_base=int(value)
        )

    async def _run_task(self, task, held: HeldLease):
        try:
            async with trio.open_nursery() as nursery:

                async def run_task():
                    try:
                        await task(held)
                    except PlatformError as error:
                        self._log.warning("lease task failed", reason=error.failure.reason)
                    nursery.cancel_scope.cancel()

                nursery.start_soon(self._renew, held, nursery.cancel_scope)
                nursery.start_soon(run_task)
        finally:
            held.end()
            self._held = None
            self._log.info("lease ended", fence=held.fence)
            # Shielded, so that a stopping node releases the lease for the next holder.
            with trio.CancelScope(shield=True):
                await self._release(held)

    async def _renew(self, held: HeldLease, scope: trio.CancelScope):
        """Renew the lease until it cannot be renewed in time, then cancel the task.

        After a restore of the store it is looked for there and renewed at once.
        """
        renew_interval_s = (self._config.ttl_s - self._config.margin_s) / 4
        while True:
            renew_at = min(trio.current_time() + renew_interval_s, held.valid_until)
            while trio.current_time() < renew_at and held.check(trio.current_time()) is None:
                # Waits in short steps, so that a call of ``end()`` cancels the task promptly.
                await trio.sleep(min(0.1, renew_at - trio.current_time()))
            if held.is_found and held.check(trio.current_time()) is not None:
                break
            with trio.move_on_at(held.valid_until):
                started_at = trio.current_time()
                try:
                    if not held.is_found and not await self._find(held):
                        break
                    grant = await self._store.keep_alive(held.lease)
                except PlatformError as error:
                    if error.failure.kind is LEASE_LOST:
                        break
                    await trio.sleep(_RETRY_PAUSE_S)
                    continue
                ttl_s = min(grant.ttl_s, self._config.ttl_s)
                held.valid_until = max(held.valid_until, started_at + ttl_s - self._config.margin_s)
            if trio.current_time() >= held.valid_until:
                break
        held.end()
        scope.cancel()

    async def _find(self, held: HeldLease) -> bool:
        """Look for a lease after a restore of the store; return whether it is still held.

        Its id may have been given to another node, so the value of its key decides.
        """
        asked_in = self._store.history.number
        found = await self._store.get(self.key)
        is_own = found is not None and found.value == held.value
        if is_own:
            held.record_found(asked_in, found)
        self._log.info("lease checked after a restore of the store", found=is_own)
        return is_own

    async def _release(self, held: HeldLease):
        """Release the lease early; if that fails, it expires by itself."""
        with trio.move_on_after(min(1.0, self._config.margin_s)):
            try:
                if held.is_found or await self._find(held):
                    await self._store.revoke(held.lease)
            except PlatformError as error:
                self._log.info(
                    "lease release failed, lease will expire", reason=error.failure.reason
                )

    def _end_wait(self) -> None:
        """Look for the lease key again, as a restore may have lost it without an event."""
        self._wait_scope.cancel()

    async def _wait_for_release(self):
        """Wait until the lease key is deleted, for at most 2 to 4 times ``ttl_s``.

        A waiting watch makes no calls. A random delay follows unless the key was already deleted.
        """
        wait_s = self._config.ttl_s * self._rng.uniform(2, 4)
        with trio.move_on_after(wait_s) as self._wait_scope:
            async with self._store.watch(self.key) as events:
                if not self.is_known_held() and await self._store.get(self.key) is None:
                    return
                async for event in events:
                    if event.value is None:
                        break
        # The random delay keeps the waiting nodes from competing at the same moment.
        await trio.sleep(self._rng.uniform(0, self._config.ttl_s / 10))
