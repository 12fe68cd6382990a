"""Orders under loss, duplication, pauses, node deaths, outages and lost responses."""

import random

import trio
import trio.testing

from basilwinch.catalog import Server
from basilwinch.exception import (
    PLATFORM_AMBIGUOUS,
    PLATFORM_UNAVAILABLE,
    PlatformError,
    ServerError,
)
from basilwinch.history import Answered, History, Invoked, OrderRan, Outcome, check_history
from basilwinch.observability import DecisionLog
from basilwinch.order import OrderConfig, OrderDone, OrderNotRun, OrderRequest, OrderRunner
from basilwinch.server import ServiceCall
from basilwinch.standin import DirectClient, MemoryKeyValueStore, PlainServices
from basilwinch.store import Compare, KeyValue

__all__ = ["run_orders"]

EPOCH = 1_800_000_000.0
NODES = 9
RATE = 50.0
QUERIES = {"depozit": "/releases/{order_id}"}
#: A caller that hears nothing for this long sends the order again through another node.
CALLER_WAIT_S = 15.0


class NodeDiedError(Exception):
    """Ends the tasks of a node that died."""


class FaultyNode:
    """Store and service client of one node: lossy, and stopped while the node is paused or dead.

    :param loss: part of the platform calls lost; a third before they are sent, a third on the way
        there, a third on the way back
    """

    def __init__(self, store, services, rng, loss: float):
        self._store = store
        self._client = DirectClient(services=services)
        self._rng = rng
        self._loss = loss
        self._running = trio.Event()
        self._running.set()
        self.dead = False

    def pause(self):
        """Stop the node: calls under way take effect, their answers wait."""
        self._running = trio.Event()

    def resume(self):
        """Let the node go on, or end its tasks if it is dead."""
        self._running.set()

    async def get(self, key):
        """Read a key."""
        return await self._guard(self._platform, self._store.get, key)

    async def grant(self, ttl_s):
        """Take a lease."""
        return await self._guard(self._platform, self._store.grant, ttl_s)

    async def transact(self, *arguments):
        """Write."""
        return await self._guard(self._platform, self._store.transact, *arguments)

    async def call(self, server, call):
        """Call a plain service."""
        return await self._guard(self._client.call, server, call)

    async def _platform(self, call, *arguments):
        luck = self._rng.random() / self._loss if self._loss else 1.0
        if luck < 1 / 3:
            await trio.sleep(0.001)
            raise PlatformError(PLATFORM_UNAVAILABLE.because("not sent"))
        if luck < 2 / 3:
            await trio.sleep(0.001)
            raise PlatformError(PLATFORM_AMBIGUOUS.because("lost on the way there"))
        result = await call(*arguments)
        if luck < 1:
            raise PlatformError(PLATFORM_AMBIGUOUS.because("lost on the way back"))
        return result

    async def _guard(self, call, *arguments):
        await self._wait()
        try:
            return await call(*arguments)
        finally:
            with trio.CancelScope(shield=True):
                await self._wait()

    async def _wait(self):
        await self._running.wait()
        if self.dead:
            raise NodeDiedError


class SimpleOrders:
    """Claims each order with one key, tries any server, and calls every other failure "not run"."""

    def __init__(self, store, client):
        self._store = store
        self._client = client

    async def run(self, request):
        """Run an order."""
        key = f"orders/{request.order_id}"
        try:
            claimed = await self._store.transact([Compare(key, 0)], [KeyValue(key, b"claimed", 0)])
        except PlatformError as error:
            return OrderNotRun(error.failure)
        if not claimed.succeeded:
            return None
        failure = None
        for server in request.servers:
            try:
                return OrderDone(await self._client.call(server, request.call))
            except ServerError as error:
                failure = error.failure
        return OrderNotRun(failure)

    async def look_up(self, organisation, order_id):
        """Know nothing."""

    async def maintain(self):
        """Do nothing."""
        await trio.sleep_forever()


class OrderFleet:
    """Nine nodes, faults and callers."""

    def __init__(self, seed: int, simple: bool, count: int):
        self.seed = seed
        self.simple = simple
        self.count = count
        self.rng = random.Random(f"{seed}/orders")
        self.store = MemoryKeyValueStore()
        names = ["p0", "p1", "p2"]
        self.servers = tuple(Server(name, "", "z", "r", service="depozit") for name in names)
        self.services = PlainServices(names)
        self.history = History()
        self.nodes, self.runners, self.all_nodes = [], [], []
        self.maintenance = None
        self.unknown_told, self.unknown_any, self.settled = set(), set(), {}
        self.latencies = []
        self.started = 0

    def now(self) -> float:
        return EPOCH + trio.current_time()

    def start_node(self, number: int) -> None:
        """Start a node in place of the one before."""
        self.started += 1
        rng = random.Random(f"{self.seed}/node/{self.started}")
        node = FaultyNode(self.store, self.services, rng, loss=0.03)
        skew = rng.uniform(-0.1, 0.1)
        if self.simple:
            runner = SimpleOrders(node, node)
        else:
            runner = OrderRunner.from_config(
                OrderConfig(f"n{number}.{self.started}", query_paths=QUERIES),
                node,
                node,
                rng,
                DecisionLog.for_benchmark(),
                clock=lambda: self.now() + skew,
                find_servers=lambda service: list(self.servers),
            )
        self.nodes[number : number + 1] = [node]
        self.runners[number : number + 1] = [runner]
        self.all_nodes.append(node)
        self.maintenance.start_soon(_until_death, runner.maintain)

    # Callers.

    async def send(self, number: int) -> None:
        """Be the caller of one order, with copies that the network makes."""
        rng = self.rng
        order_id = f"{self.now():.3f}-{number}"
        call = ServiceCall(
            "POST",
            f"/releases/{order_id}",
            ((b"idempotency-key", order_id.encode()),),
            b"x",
        )
        request = OrderRequest("org", order_id, "depozit", self.servers, call)
        node = rng.randrange(NODES)
        async with trio.open_nursery() as copies:
            luck = rng.random()
            if luck < 0.10:
                copies.start_soon(self.deliver, request, rng.randrange(NODES), rng.uniform(0, 0.05))
            elif luck < 0.13:
                copies.start_soon(self.deliver, request, rng.randrange(NODES), rng.uniform(5, 90))
            started = trio.current_time()
            outcome = await self.deliver(request, node, 0.0)
            if outcome is not None:
                self.latencies.append(trio.current_time() - started)
            for _ in range(4):
                if outcome is not None:
                    break
                outcome = await self.deliver(request, rng.randrange(NODES), 0.0)
        if not isinstance(outcome, OrderDone | OrderNotRun):
            self.unknown_told.add(order_id)
        if order_id in self.unknown_any:
            await trio.sleep(rng.uniform(70, 90))
            runner = self.runners[rng.randrange(NODES)]
            with trio.move_on_after(60):
                try:
                    self.settled[order_id] = await runner.look_up("org", order_id)
                    self.note(order_id, self.settled[order_id])
                except NodeDiedError:
                    pass

    async def deliver(self, request, node: int, delay_s: float):
        """Bring one copy to a node; returns the outcome, or None if the caller heard nothing."""
        await trio.sleep(delay_s)
        if self.rng.random() < 0.01:
            await trio.sleep(CALLER_WAIT_S)
            return None
        runner, host, answer = self.runners[node], self.nodes[node], []
        ended = trio.Event()

        async def work():
            try:
                outcome = await runner.run(request)
                if not host.dead:
                    answer.append(outcome)
                    self.note(request.order_id, outcome)
            except NodeDiedError:
                pass
            finally:
                ended.set()

        self.maintenance.start_soon(work)
        with trio.move_on_after(CALLER_WAIT_S):
            await ended.wait()
        return answer[0] if answer else None

    def note(self, order_id: str, outcome) -> None:
        """Write down an answer, also one that comes after its caller has gone."""
        kinds = {OrderDone: Outcome.DONE, OrderNotRun: Outcome.NOT_RUN}
        kind = kinds.get(type(outcome), Outcome.UNKNOWN)
        self.history.append(Invoked(trio.current_time(), order_id))
        self.history.append(Answered(trio.current_time(), order_id, kind))
        if kind is Outcome.UNKNOWN:
            self.unknown_any.add(order_id)

    # Faults.

    async def pause_nodes(self) -> None:
        """Pause nodes for up to 40 s, also beyond the limits of their claims."""
        while True:
            await trio.sleep(self.rng.expovariate(1 / 15.0))
            node = self.rng.choice(self.nodes)
            node.pause()
            await trio.sleep(self.rng.choice((1.0, 5.0, 12.0, 40.0)) * self.rng.uniform(0.5, 1.0))
            node.resume()

    async def kill_nodes(self) -> None:
        """Let nodes die and start again."""
        while True:
            await trio.sleep(self.rng.uniform(30, 60))
            number = self.rng.randrange(NODES)
            node = self.nodes[number]
            node.pause()
            node.dead = True
            await trio.sleep(2.0)
            self.start_node(number)
            node.resume()

    async def stop_platform(self) -> None:
        """Two short outages, a long one and a slow period."""
        for outage_s in (3.0, 25.0, 6.0):
            await trio.sleep(self.rng.uniform(20, 40))
            self.store.down()
            await trio.sleep(outage_s * self.rng.uniform(0.8, 1.2))
            self.store.up()
        await trio.sleep(self.rng.uniform(10, 20))
        self.store.slow(0.5)
        await trio.sleep(10.0)
        self.store.slow(0.0)

    async def disturb_services(self) -> None:
        """Lose replies, delay calls, and let servers die and leave."""
        while True:
            await trio.sleep(self.rng.expovariate(1 / 4.0))
            server = self.rng.choice(self.servers).name
            luck = self.rng.random()
            if luck < 0.6:
                self.services.lose_replies(server, self.rng.randint(1, 3))
            elif luck < 0.8:
                self.services.delay(server, self.rng.uniform(0, 0.5), self.rng.uniform(0, 0.5))
                await trio.sleep(3.0)
                self.services.delay(server)
            else:
                fault = self.services.kill if luck < 0.9 else self.services.leave
                fault(server)
                await trio.sleep(self.rng.uniform(1, 8))
                self.services.revive(server)

    async def main(self) -> None:
        """Send all orders under all faults, then let everything end."""
        async with trio.open_nursery() as self.maintenance:
            for number in range(NODES):
                self.start_node(number)
            await trio.sleep(2.0)
            async with trio.open_nursery() as faults:
                for fault in (
                    self.pause_nodes,
                    self.kill_nodes,
                    self.stop_platform,
                    self.disturb_services,
                ):
                    faults.start_soon(fault)
                async with trio.open_nursery() as callers:
                    for number in range(self.count):
                        callers.start_soon(self.send, number)
                        await trio.sleep(self.rng.expovariate(RATE))
                faults.cancel_scope.cancel()
            self.store.up()
            for node in self.all_nodes:
                node.resume()
            await trio.sleep(60.0)
            self.maintenance.cancel_scope.cancel()


async def _until_death(task) -> None:
    try:
        await task()
    except NodeDiedError:
        return


def run_orders(seed: int, simple: bool, count: int) -> dict:
    """Run the scenario and judge its history; returns its figures."""
    fleet = OrderFleet(seed, simple, count)
    trio.run(fleet.main, clock=trio.testing.MockClock(autojump_threshold=0))
    for run in fleet.services.log:
        if run.method == "POST":
            fleet.history.append(OrderRan(run.time, run.key, run.server))
    violations = check_history(fleet.history)
    ran = {event.order for event in fleet.history.of(OrderRan)}
    open_ids = [
        order_id
        for order_id in fleet.unknown_any
        if not isinstance(fleet.settled.get(order_id), OrderDone | OrderNotRun)
    ]
    writes = fleet.store.calls["transact"] + fleet.store.calls["grant"]
    return {
        "orders": count,
        "ran": len(ran),
        "run_twice": sum(v.invariant == "I4" for v in violations),
        "told_not_run_that_ran": len({v.reason for v in violations if v.invariant == "I3"}),
        "told_not_run": sum(a.outcome is Outcome.NOT_RUN for a in fleet.history.of(Answered)),
        "unknown": len(fleet.unknown_told),
        "unknown_any": len(fleet.unknown_any),
        "still_open": len(open_ids),
        "writes_per_order": writes / count,
        "latencies": fleet.latencies,
    }
