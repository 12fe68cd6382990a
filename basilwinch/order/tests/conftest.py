"""Fixtures: nodes that run orders against one key-value service and one plain service."""

import random

import pytest
import trio
import trio.testing

from basilwinch.catalog import Server
from basilwinch.observability import DecisionLog
from basilwinch.order import OrderConfig, OrderRequest, OrderRunner
from basilwinch.server import ServiceCall
from basilwinch.standin import DirectClient, MemoryKeyValueStore, PlainServices

EPOCH = 1_800_000_000.0


class PausableNode:
    """Wraps the store and the client of a node, so that its tasks can be paused as in a paused VM.

    During a pause the node sends nothing. Calls that are in progress take effect, but the node
    receives their answers only after the pause.
    """

    def __init__(self, store, client):
        self._store = store
        self._client = client
        self._running = trio.Event()
        self._running.set()

    def pause(self):
        self._running = trio.Event()

    def resume(self):
        self._running.set()

    async def get(self, key):
        return await self._call_while_running(self._store.get, key)

    async def grant(self, ttl_s):
        return await self._call_while_running(self._store.grant, ttl_s)

    async def transact(self, *arguments):
        return await self._call_while_running(self._store.transact, *arguments)

    async def call(self, server, call):
        return await self._call_while_running(self._client.call, server, call)

    async def _call_while_running(self, call, *arguments):
        await self._running.wait()
        try:
            return await call(*arguments)
        finally:
            with trio.CancelScope(shield=True):
                await self._running.wait()


class OrderFleet:
    """Nodes, the key-value service and the service ``depozit``."""

    def __init__(self, nodes: int = 3, **config):
        self.store = MemoryKeyValueStore()
        names = ["p0", "p1", "p2"]
        self.servers = tuple(Server(name, "", "z", "r", service="depozit") for name in names)
        self.services = PlainServices(names)
        self.nodes, self.runners = [], []
        self.config = {"query_paths": {"depozit": "/releases/{order_id}"}} | config
        for _ in range(nodes):
            self.add_node()

    def add_node(self) -> OrderRunner:
        number = len(self.runners)
        node = PausableNode(self.store, DirectClient(services=self.services))
        runner = OrderRunner.from_config(
            OrderConfig(f"n{number}", **self.config),
            node,
            node,
            random.Random(number),
            DecisionLog.for_benchmark(),
            clock=self.now,
            find_servers=lambda service: list(self.servers),
        )
        self.nodes.append(node)
        self.runners.append(runner)
        return runner

    def now(self) -> float:
        return EPOCH + trio.current_time()

    def make_id(self, number) -> str:
        return f"{self.now():.3f}-{number}"

    def make_request(self, order_id, body=b"1") -> OrderRequest:
        call = ServiceCall("POST", f"/releases/{order_id}", ((b"idempotency-key", b"x"),), body)
        return OrderRequest("org", order_id, "depozit", self.servers, call)

    def count_runs(self, order_id) -> int:
        path = f"/releases/{order_id}"
        return sum(run.method == "POST" and run.path == path for run in self.services.log)


@pytest.fixture
def run_orders():
    """Run an async function with the maintenance of all nodes on a virtual clock."""

    def run(function, fleet):
        async def main():
            async with trio.open_nursery() as nursery:
                for runner in fleet.runners:
                    nursery.start_soon(runner.maintain)
                try:
                    with trio.fail_after(20_000):
                        await trio.sleep(1.5)
                        # The first claim of a node also acquires a lease.
                        for number, runner in enumerate(fleet.runners):
                            await runner.run(fleet.make_request(fleet.make_id(f"warm{number}")))
                        await function()
                finally:
                    for node in fleet.nodes:
                        node.resume()
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return run
