"""Holder of a lease: acquires it, renews it, and stops before it ends."""

import json

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

__all__ = ["LEASE_ROOT", "HeldLease", "LeaseConfig", "LeaseHolder"]

LEASE_ROOT = "basilwinch/lease/"


class LeaseConfig(Record):
    """Settings of a lease.

    :param name: name of the task
    :param owner: name of this node
    :param ttl_s: time to live of the platform lease in seconds
    :param margin_s: the holder stops so long before its lease can end; covers the difference
        between the clocks' rates and the time between a check and the sending of an order
    :param longest_order_s: longest time that an order, once sent, can still take effect
    """

    __slots__ = ("name", "owner", "ttl_s", "margin_s", "longest_order_s")
    _defaults = {"ttl_s": 10.0, "margin_s": 2.0, "longest_order_s": 5.0}


class HeldLease:
    """A lease while it is held.

    Check it right before each order is sent, without waiting in between. A process that was paused
    then finds that its time has passed, although it has not been told. A pause between the check
    and the order cannot be found by the holder: servers that check fencing tokens refuse the order;
    the others are protected if pause and order together take less than ``ttl_s + margin_s +
    longest_order_s``.

    :param fence: fencing token; grows with each holder
    :param valid_until: time at which the holder stops unless the lease is renewed
    :param unfenced_from: time from which no order of an earlier holder can take effect any more
    """

    __slots__ = ("fence", "valid_until", "unfenced_from", "_ended")

    def __init__(self, fence: int, valid_until: float, unfenced_from: float):
        self.fence = fence
        self.valid_until = valid_until
        self.unfenced_from = unfenced_from
        self._ended = False

    def check(self, now: float) -> Failure | None:
        """Return ``LEASE_LOST`` if the lease may have ended, else None."""
        if self._ended or now >= self.valid_until:
            return LEASE_LOST.because(f"the lease with fencing token {self.fence} has ended")
        return None

    def check_order(self, checks_fencing: bool, now: float) -> Failure | None:
        """Return a failure if an order must not be sent to a server now, else None.

        :param checks_fencing: whether the server refuses old fencing tokens. One that does not must
            get no order before ``unfenced_from``, and its state must be read back first.
        """
        failure = self.check(now)
        if failure is None and not checks_fencing and now < self.unfenced_from:
            wait = self.unfenced_from - now
            reason = "orders of the last holder may still be on their way"
            return LEASE_LOST.because(reason, retry_after=wait)
        return failure

    def end(self) -> None:
        """Give the lease up."""
        self._ended = True


class LeaseHolder:
    """Competes for a lease and runs a task while it holds it.

    The fencing token is the revision of the last change of the lease key, plus a base that is 0
    unless the platform was restored from an older state: its revisions then start again lower, and
    the base lifts the tokens above those that servers have seen (:meth:`raise_floor`).

    :param config: :class:`LeaseConfig`
    :param store: key-value service
    :param rng: :class:`random.Random` for ids and waits
    """

    def __init__(self, config: LeaseConfig, store: KeyValueStore, rng):
        self._config = config
        self._store = store
        self._rng = rng
        self._key = f"{LEASE_ROOT}{config.name}/holder"
        self._base_key = f"{LEASE_ROOT}{config.name}/base"
        self._floor = 0
        self._held: HeldLease | None = None
        self._log = structlog.get_logger("lease").bind(lease=config.name, owner=config.owner)

    @classmethod
    def from_config(cls, config: LeaseConfig, store: KeyValueStore, rng) -> "LeaseHolder":
        """Build a holder from its settings.

        :raises ValueError: if the margin leaves no time to renew
        """
        if not 0 < config.margin_s < config.ttl_s / 2:
            raise ValueError("margin_s must be above 0 and below half of ttl_s")
        return cls(config, store, rng)

    def raise_floor(self, fence: int) -> None:
        """Note a fencing token that a server has seen.

        If it is higher than the token held, the lease is given up and acquired anew with a token
        above it. Call it with the token from a ``FENCED`` reply.
        """
        self._floor = max(self._floor, fence)
        if self._held and self._held.fence < self._floor:
            self._held.end()

    async def run(self, task) -> None:
        """Compete for the lease forever; run ``await task(held)`` whenever it is held.

        The task is cancelled before the lease ends. When it returns, the lease is released.

        :param task: async function of a :class:`HeldLease`
        """
        while True:
            try:
                acquired = await self._acquire()
                if acquired is None:
                    await self._wait_for_release()
                    continue
                await self._hold(task, *acquired)
            except PlatformError as error:
                self._log.warning("lease not available", reason=error.failure.reason)
            await trio.sleep(self._config.ttl_s / 4 * self._rng.uniform(0.5, 1.5))

    async def _acquire(self) -> tuple[HeldLease, int] | None:
        """Return the lease held now, with its platform id, or None if another node holds it."""
        if await self._store.get(self._key) is not None:
            return None
        base = await self._read_base()
        # The platform's time to live starts after this moment.
        start = trio.current_time()
        grant = await self._store.grant(self._config.ttl_s)
        token = f"{self._rng.getrandbits(64):016x}"
        value = json.dumps({"owner": self._config.owner, "token": token}).encode()
        compares = [Compare(self._key, 0), Compare(self._base_key, base.mod_revision)]
        put = KeyValue(self._key, value, 0, grant.lease)
        try:
            outcome = await self._store.transact(compares, [put])
            revision = outcome.revision if outcome.succeeded else 0
        except PlatformError as error:
            if error.failure.kind is not PLATFORM_AMBIGUOUS:
                raise
            pair = await self._store.get(self._key)
            revision = pair.mod_revision if pair and pair.value == value else 0
        if not revision:
            return None
        fence = revision + int(base.value)
        if fence <= self._floor:
            await self._raise_base(base, fence)
            await self._release(grant.lease)
            return None
        self._floor = fence
        ttl_s = min(grant.ttl_s, self._config.ttl_s)
        valid_until = start + ttl_s - self._config.margin_s
        wait = self._config.ttl_s + self._config.longest_order_s
        self._held = HeldLease(fence, valid_until, trio.current_time() + wait)
        self._log.info("lease acquired", fence=fence)
        return self._held, grant.lease

    async def _read_base(self) -> KeyValue:
        pair = await self._store.get(self._base_key)
        return pair or KeyValue(self._base_key, b"0", 0)

    async def _raise_base(self, base: KeyValue, fence: int):
        value = str(int(base.value) + self._floor - fence + 1).encode()
        put = KeyValue(self._base_key, value, 0)
        await self._store.transact([Compare(self._base_key, base.mod_revision)], [put])
        self._log.warning("fencing tokens lifted", seen=self._floor, base=int(value))

    async def _hold(self, task, held: HeldLease, lease: int):
        try:
            async with trio.open_nursery() as nursery:

                async def work():
                    try:
                        await task(held)
                    except PlatformError as error:
                        self._log.warning("task failed", reason=error.failure.reason)
                    nursery.cancel_scope.cancel()

                nursery.start_soon(self._renew, held, lease, nursery.cancel_scope)
                nursery.start_soon(work)
        finally:
            held.end()
            self._held = None
            self._log.info("lease given up", fence=held.fence)
            # Also when this node stops, so that the next holder need not wait for the end.
            with trio.CancelScope(shield=True):
                await self._release(lease)

    async def _renew(self, held: HeldLease, lease: int, scope: trio.CancelScope):
        """Renew the lease until it cannot be renewed in time, then cancel the task."""
        pause = (self._config.ttl_s - self._config.margin_s) / 4
        while True:
            wake = min(trio.current_time() + pause, held.valid_until)
            while trio.current_time() < wake and held.check(trio.current_time()) is None:
                # Short waits let a lease that was given up end soon.
                await trio.sleep(min(0.1, wake - trio.current_time()))
            if held.check(trio.current_time()) is not None:
                break
            with trio.move_on_at(held.valid_until):
                start = trio.current_time()
                try:
                    grant = await self._store.keep_alive(lease)
                except PlatformError as error:
                    if error.failure.kind is LEASE_LOST:
                        break
                    continue
                ttl_s = min(grant.ttl_s, self._config.ttl_s)
                held.valid_until = max(held.valid_until, start + ttl_s - self._config.margin_s)
        held.end()
        scope.cancel()

    async def _release(self, lease: int):
        """Release the lease early; if that fails, it ends by itself."""
        with trio.move_on_after(min(1.0, self._config.margin_s)):
            try:
                await self._store.revoke(lease)
            except PlatformError as error:
                self._log.info("lease left to expire", reason=error.failure.reason)

    async def _wait_for_release(self):
        """Wait until the lease key is gone; the watch costs no calls while it waits."""
        with trio.move_on_after(self._config.ttl_s * self._rng.uniform(2, 4)):
            async with self._store.watch(self._key) as events:
                if await self._store.get(self._key) is None:
                    return
                async for event in events:
                    if event.value is None:
                        break
        # Without a random wait all waiting nodes would ask at once.
        await trio.sleep(self._rng.uniform(0, self._config.ttl_s / 10))
