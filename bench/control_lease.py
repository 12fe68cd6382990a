"""Orders of a lease holder that is paused and resumes after its lease may have expired."""

from random import Random

import trio

from basilwinch.exception import FENCED
from basilwinch.lease import LeaseConfig, LeaseHolder
from basilwinch.standin import MemoryKeyValueStore

__all__ = ["run_lease"]

_NODES = 3
_ORDER_INTERVAL_S = 0.2
_LEASE_SETTINGS = {"name": "placement", "ttl_s": 10.0, "margin_s": 2.0, "longest_order_s": 5.0}


class _Server:
    """A server that takes orders; ``checks_token`` tells whether it refuses old fencing tokens."""

    def __init__(self, checks_token: bool):
        self.checks_token = checks_token
        self.max_token = 0
        self.applied = 0
        self.refused = 0
        self.stale = 0

    def apply_order(self, fence: int):
        """Apply an order, or refuse it with ``FENCED``."""
        if self.checks_token and fence < self.max_token:
            self.refused += 1
            return FENCED.because(
                f"fencing token {fence} is older than {self.max_token}, already seen"
            )
        self.stale += fence < self.max_token
        self.max_token = max(self.max_token, fence)
        self.applied += 1
        return None


class _Node:
    """A process that competes for the lease and can be paused.

    A paused process neither sends nor receives. It resumes at the point where it waited, and
    first sends its next order.
    """

    def __init__(self, index: int, store, servers, rng: Random, nursery: trio.Nursery):
        self.index = index
        self._store = store
        self._servers = servers
        self._rng = rng
        self._nursery = nursery
        self._paused_until = 0.0
        self.holds_lease = False
        config = LeaseConfig(owner=f"entry-{index}", **_LEASE_SETTINGS)
        self._holder = LeaseHolder.from_config(config, self, rng)

    def pause(self, seconds: float) -> None:
        """Pause the process."""
        self._paused_until = trio.current_time() + seconds

    async def _wait_while_paused(self) -> None:
        # The end of the lease does not interrupt a pause; the process learns of it afterwards.
        with trio.CancelScope(shield=True):
            await trio.sleep_until(max(self._paused_until, trio.current_time()))

    def __getattr__(self, name):
        """Return a method of the key-value service that waits while the process is paused."""
        method = getattr(self._store, name)
        if name in ("watch", "history"):
            return method

        async def call(*arguments):
            await self._wait_while_paused()
            try:
                return await method(*arguments)
            finally:
                await self._wait_while_paused()

        return call

    async def run(self) -> None:
        """Compete for the lease until cancelled."""
        await self._holder.run(self._send_orders)

    async def _send_orders(self, held) -> None:
        self.holds_lease = True
        try:
            while True:
                await trio.sleep(_ORDER_INTERVAL_S)
                await self._wait_while_paused()
                for server in self._servers:
                    if held.check_order(server.checks_token, trio.current_time()) is None:
                        delay = self._rng.uniform(0, _LEASE_SETTINGS["longest_order_s"])
                        self._nursery.start_soon(self._deliver, server, held.fence, delay)
        finally:
            self.holds_lease = False

    async def _deliver(self, server: _Server, fence: int, delay_s: float) -> None:
        await trio.sleep(delay_s)
        failure = server.apply_order(fence)
        if failure is not None:
            # The refusal is ignored: an old holder must stop by its own clock.
            return


async def run_lease(seed: int, seconds: float) -> dict:
    """Run three nodes with pauses, outages and lost answers.

    :returns: pauses, and orders applied, refused and stale by whether the servers check the token
    """
    rng = Random(f"lease/{seed}")
    async with trio.open_nursery() as nursery:
        store = MemoryKeyValueStore()
        servers = [_Server(checks_token) for checks_token in (True, True, False, False)]
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
                if node.holds_lease:
                    # From less than the margin to more than the lease plus the longest order.
                    node.pause(rng.choice((1.0, 3.0, 9.0, 11.0, 20.0, 40.0)))
                    pauses += 1
            if rng.random() < 0.2:
                store.lose_answers(1)
            if rng.random() < 0.2:
                store.down()
                await trio.sleep(rng.uniform(1, 15))
                store.up()
        result = {"seed": seed, "pauses": pauses}
        for name, checks_token in (("checking", True), ("ignoring", False)):
            group = [server for server in servers if server.checks_token is checks_token]
            for key in ("applied", "refused", "stale"):
                result[f"{name}_{key}"] = sum(getattr(server, key) for server in group)
        result["holders"] = len({server.max_token for server in servers})
        nursery.cancel_scope.cancel()
    return result
