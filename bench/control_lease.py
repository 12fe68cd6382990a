"""Orders of a lease holder that is paused and resumes believing that it still holds the lease."""

from random import Random

import trio

from basilwinch.exception import FENCED
from basilwinch.lease import LeaseConfig, LeaseHolder
from basilwinch.standin import MemoryKeyValueStore

__all__ = ["run_lease"]

_NODES = 3
_ORDER_GAP_S = 0.2
_CONFIG = {"name": "placement", "ttl_s": 10.0, "margin_s": 2.0, "longest_order_s": 5.0}


class _Server:
    """A server that takes orders; ``checks`` tells whether it refuses an old fencing token."""

    def __init__(self, checks: bool):
        self.checks = checks
        self.highest = 0
        self.applied = 0
        self.refused = 0
        self.stale = 0

    def take(self, fence: int):
        """Apply an order, or refuse it with ``FENCED``."""
        if self.checks and fence < self.highest:
            self.refused += 1
            return FENCED.because(f"token {fence}, {self.highest} was seen")
        self.stale += fence < self.highest
        self.highest = max(self.highest, fence)
        self.applied += 1
        return None


class _Node:
    """A process that competes for the lease and can be paused.

    A paused process neither sends nor receives. It resumes at the point where it waited, and its
    first act is the next order.
    """

    def __init__(self, index: int, store, servers, rng: Random, nursery: trio.Nursery):
        self.index = index
        self._store = store
        self._servers = servers
        self._rng = rng
        self._nursery = nursery
        self._paused_until = 0.0
        self.holds = False
        config = LeaseConfig(owner=f"entry-{index}", **_CONFIG)
        self._holder = LeaseHolder.from_config(config, self, rng)

    def pause(self, seconds: float) -> None:
        """Let the process stand still."""
        self._paused_until = trio.current_time() + seconds

    async def _wait_while_paused(self) -> None:
        # A pause is not interrupted by the end of the lease; the process learns of it afterwards.
        with trio.CancelScope(shield=True):
            await trio.sleep_until(max(self._paused_until, trio.current_time()))

    def __getattr__(self, name):
        """Pass a call to the key-value service, with the pauses around it."""
        method = getattr(self._store, name)
        if name == "watch":
            return method

        async def call(*arguments):
            await self._wait_while_paused()
            try:
                return await method(*arguments)
            finally:
                await self._wait_while_paused()

        return call

    async def run(self) -> None:
        """Compete until cancelled."""
        await self._holder.run(self._send_orders)

    async def _send_orders(self, held) -> None:
        self.holds = True
        try:
            while True:
                await trio.sleep(_ORDER_GAP_S)
                await self._wait_while_paused()
                for server in self._servers:
                    if held.check_order(server.checks, trio.current_time()) is None:
                        delay = self._rng.uniform(0, _CONFIG["longest_order_s"])
                        self._nursery.start_soon(self._deliver, server, held.fence, delay)
        finally:
            self.holds = False

    async def _deliver(self, server: _Server, fence: int, delay_s: float) -> None:
        await trio.sleep(delay_s)
        failure = server.take(fence)
        if failure is not None:
            # The token of the reply is not read: an old holder must stop by its own clock.
            return


async def run_lease(seed: int, seconds: float) -> dict:
    """Run three nodes with pauses, outages and lost answers.

    :returns: orders applied, refused and stale by whether the servers check the token
    """
    rng = Random(f"lease/{seed}")
    async with trio.open_nursery() as nursery:
        store = MemoryKeyValueStore()
        servers = [_Server(checks) for checks in (True, True, False, False)]
        nodes = [
            _Node(index, store, servers, Random(f"lease/{seed}/{index}"), nursery)
            for index in range(_NODES)
        ]
        for node in nodes:
            nursery.start_soon(node.run)
        end = trio.current_time() + seconds
        pauses = 0
        while trio.current_time() < end:
            await trio.sleep(rng.uniform(10, 25))
            for node in nodes:
                if node.holds:
                    # From shorter than the margin to longer than lease and order together.
                    node.pause(rng.choice((1.0, 3.0, 9.0, 11.0, 20.0, 40.0)))
                    pauses += 1
            if rng.random() < 0.2:
                store.lose_answers(1)
            if rng.random() < 0.2:
                store.down()
                await trio.sleep(rng.uniform(1, 15))
                store.up()
        result = {"seed": seed, "pauses": pauses}
        for name, checks in (("checking", True), ("ignoring", False)):
            group = [server for server in servers if server.checks is checks]
            for key in ("applied", "refused", "stale"):
                result[f"{name}_{key}"] = sum(getattr(server, key) for server in group)
        result["holders"] = len({server.highest for server in servers})
        nursery.cancel_scope.cancel()
    return result
