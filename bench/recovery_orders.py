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

START_UNIX_S = 1_800_000_000.0
NODES = 9
ORDERS_PER_S = 50.0
QUERY_PATHS = {"depozit": "/releases/{order_id}"}
#: A caller without an answer for this long sends the order again through another node.
CALLER_TIMEOUT_S = 15.0


class NodeDiedError(Exception):
    """Ends the tasks of a node that died."""


class FaultyNode:
    """Store and service client of one node: lossy, and stopped while the node is paused or dead.

    :param loss: share of platform calls that fail: a third of them are not sent, a third lose
        their request and a third lose their response
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
        """Pause the node: calls under way take effect, their responses wait."""
        self._running = trio.Event()

    def resume(self):
        """Resume the node, or end its tasks if it is dead."""
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
        draw = self._rng.random() / self._loss if self._loss else 1.0
        if draw < 1 / 3:
            await trio.sleep(0.001)
            raise PlatformError(PLATFORM_UNAVAILABLE.because("injected fault: request not sent"))
        if draw < 2 / 3:
            await trio.sleep(0.001)
            raise PlatformError(PLATFORM_AMBIGUOUS.because("injected fault: request lost"))
        result = await call(*arguments)
        if draw < 1:
            raise PlatformError(PLATFORM_AMBIGUOUS.because("injected fault: response lost"))
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


class SimpleOrderRunner:
    """Claims an order with one key, tries servers in turn, and reports failures as "not run"."""

    def __init__(self, store, client):
        self._store = store
        self._client = client

    async def run(self, request):
        """Run an order; return its outcome, or None if it was claimed before."""
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
        """Return None, as no outcomes are stored."""

    async def maintain(self):
        """Do nothing."""
        await trio.sleep_forever()


class OrderFleet:
    """Nine nodes, their faults and their callers."""

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
        self.background = None
        self.unknown_to_caller, self.unknown_any, self.settled = set(), set(), {}
        self.latencies = []
        self.started_nodes = 0

    def now(self) -> float:
        return START_UNIX_S + trio.current_time()

    def start_node(self, number: int) -> None:
        """Start a node, in place of the former one with this number."""
        self.started_nodes += 1
        rng = random.Random(f"{self.seed}/node/{self.started_nodes}")
        node = FaultyNode(self.store, self.services, rng, loss=0.03)
        clock_skew_s = rng.uniform(-0.1, 0.1)
        if self.simple:
            runner = SimpleOrderRunner(node, node)
        else:
            runner = OrderRunner.from_config(
                OrderConfig(f"n{number}.{self.started_nodes}", query_paths=QUERY_PATHS),
                node,
                node,
                rng,
                DecisionLog.for_benchmark(),
                clock=lambda: self.now() + clock_skew_s,
                find_servers=lambda service: list(self.servers),
            )
        self.nodes[number : number + 1] = [node]
        self.runners[number : number + 1] = [runner]
        self.all_nodes.append(node)
        self.background.start_soon(_run_until_death, runner.maintain)

    async def send(self, number: int) -> None:
        """Send one order as its caller does, with duplicates made by the network."""
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
        async with trio.open_nursery() as duplicates:
            draw = rng.random()
            if draw < 0.10:
                duplicates.start_soon(
                    self.deliver, request, rng.randrange(NODES), rng.uniform(0, 0.05)
                )
            elif draw < 0.13:
                duplicates.start_soon(
                    self.deliver, request, rng.randrange(NODES), rng.uniform(5, 90)
                )
            started = trio.current_time()
            outcome = await self.deliver(request, node, 0.0)
            if outcome is not None:
                self.latencies.append(trio.current_time() - started)
            for _ in range(4):
                if outcome is not None:
                    break
                outcome = await self.deliver(request, rng.randrange(NODES), 0.0)
        if not isinstance(outcome, OrderDone | OrderNotRun):
            self.unknown_to_caller.add(order_id)
        if order_id in self.unknown_any:
            await trio.sleep(rng.uniform(70, 90))
            runner = self.runners[rng.randrange(NODES)]
            with trio.move_on_after(60):
                try:
                    self.settled[order_id] = await runner.look_up("org", order_id)
                    self.record_answer(order_id, self.settled[order_id])
                except NodeDiedError:
                    pass

    async def deliver(self, request, node: int, delay_s: float):
        """Deliver one copy to a node; return the outcome, or None if the caller got no answer."""
        await trio.sleep(delay_s)
        if self.rng.random() < 0.01:
            await trio.sleep(CALLER_TIMEOUT_S)
            return None
        runner, faulty_node, answer = self.runners[node], self.nodes[node], []
        ended = trio.Event()

        async def run_order():
            try:
                outcome = await runner.run(request)
                if not faulty_node.dead:
                    answer.append(outcome)
                    self.record_answer(request.order_id, outcome)
            except NodeDiedError:
                pass
            finally:
                ended.set()

        self.background.start_soon(run_order)
        with trio.move_on_after(CALLER_TIMEOUT_S):
            await ended.wait()
        return answer[0] if answer else None

    def record_answer(self, order_id: str, outcome) -> None:
        """Record an answer, also one that comes after its caller has gone."""
        kinds = {OrderDone: Outcome.DONE, OrderNotRun: Outcome.NOT_RUN}
        kind = kinds.get(type(outcome), Outcome.UNKNOWN)
        self.history.append(Invoked(trio.current_time(), order_id))
        self.history.append(Answered(trio.current_time(), order_id, kind))
        if kind is Outcome.UNKNOWN:
            self.unknown_any.add(order_id)

    async def pause_nodes(self) -> None:
        """Pause nodes for up to 40 s; some pauses outlast the time limits of the claims."""
        while True:
            await trio.sleep(self.rng.expovariate(1 / 15.0))
            node = self.rng.choice(self.nodes)
            node.pause()
            await trio.sleep(self.rng.choice((1.0, 5.0, 12.0, 40.0)) * self.rng.uniform(0.5, 1.0))
            node.resume()

    async def kill_nodes(self) -> None:
        """Kill nodes and start new ones in their place."""
        while True:
            await trio.sleep(self.rng.uniform(30, 60))
            number = self.rng.randrange(NODES)
            node = self.nodes[number]
            node.pause()
            node.dead = True
            await trio.sleep(2.0)
            self.start_node(number)
            node.resume()

    async def disturb_platform(self) -> None:
        """Cause two short outages, a long one and a slow period."""
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
            draw = self.rng.random()
            if draw < 0.6:
                self.services.lose_replies(server, self.rng.randint(1, 3))
            elif draw < 0.8:
                self.services.delay(server, self.rng.uniform(0, 0.5), self.rng.uniform(0, 0.5))
                await trio.sleep(3.0)
                self.services.delay(server)
            else:
                fault = self.services.kill if draw < 0.9 else self.services.mark_leaving
                fault(server)
                await trio.sleep(self.rng.uniform(1, 8))
                self.services.revive(server)

    async def main(self) -> None:
        """Send all orders under all faults, then end the faults and let the rest finish."""
        async with trio.open_nursery() as self.background:
            for number in range(NODES):
                self.start_node(number)
            await trio.sleep(2.0)
            async with trio.open_nursery() as faults:
                for fault in (
                    self.pause_nodes,
                    self.kill_nodes,
                    self.disturb_platform,
                    self.disturb_services,
                ):
                    faults.start_soon(fault)
                async with trio.open_nursery() as callers:
                    for number in range(self.count):
                        callers.start_soon(self.send, number)
                        await trio.sleep(self.rng.expovariate(ORDERS_PER_S))
                faults.cancel_scope.cancel()
            self.store.up()
            for node in self.all_nodes:
                node.resume()
            await trio.sleep(60.0)
            self.background.cancel_scope.cancel()


async def _run_until_death(task) -> None:
    try:
        await task()
    except NodeDiedError:
        return


def run_orders(seed: int, simple: bool, count: int) -> dict:
    """Run the scenario, check its history and return its figures."""
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
        "unknown": len(fleet.unknown_to_caller),
        "unknown_any": len(fleet.unknown_any),
        "still_open": len(open_ids),
        "writes_per_order": writes / count,
        "latencies": fleet.latencies,
    }
