"""Tests of the executor, the order of its steps and the stored targets."""

import random
from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing

from basilwinch.catalog import Model, Server
from basilwinch.exception import FENCED, LEASE_LOST, TARGETS_CHANGED, BasilwinchError
from basilwinch.observability import DecisionLog
from basilwinch.pipeline import Placement, Stage
from basilwinch.placement import (
    Controller,
    Executor,
    ExecutorConfig,
    FleetView,
    Plan,
    Planner,
    PlannerConfig,
    TargetStore,
    Workload,
)
from basilwinch.placement.order import has_chain
from basilwinch.placement.tests.fleet import make_fleet, make_model
from basilwinch.server import OrderKind, ServerOrder
from basilwinch.standin import DirectClient, MemoryKeyValueStore, StandinEngines

MODELS = {"m": Model("m", 4, 10, 0)}


def server(name, memory=100, checks=True):
    return Server(name, "", "z", "r", "a", 1, memory, "s", checks, 100.0)


def targets(*stages, version=""):
    return {"m": Placement("m", version, tuple(Stage(*stage) for stage in stages))}


class ExecutorSetup:
    """Stand-in servers and an executor; records the published placements."""

    def __init__(self, servers, fence=7):
        self.servers = {entry.name: entry for entry in servers}
        self.engines = StandinEngines(servers)
        self.fence = fence
        self.published = [{}]

    def executor(self, **settings):
        config = ExecutorConfig(**({"drain_s": 10.0, "unfenced_delay_s": 20.0} | settings))
        client = DirectClient(self.engines)
        log = DecisionLog.for_benchmark()
        return Executor(config, client, lambda: self.fence, self.publish, log)

    async def publish(self, placements):
        self.published.append(placements)

    def holds(self, name):
        return {tuple(hold) for hold in self.engines.states[name].holds}


@asynccontextmanager
async def running(executor):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(executor.run)
        yield
        nursery.cancel_scope.cancel()


def in_virtual_time(function):
    trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))


async def settle(executor, seconds=300):
    with trio.fail_after(seconds):
        while not executor.is_done():
            await trio.sleep(0.5)


def test_a_move_keeps_a_chain_in_service_and_drains_before_unloading():
    """Guards against a gap in service, or an unload under running streams, while servers swap."""

    async def scenario():
        setup = ExecutorSetup([server("a", 40), server("b", 40), server("c", 40), server("d", 40)])
        executor = setup.executor()
        halves = (("a", 0, 2), ("b", 0, 2), ("c", 2, 4), ("d", 2, 4))
        executor.set_targets(targets(*halves), setup.servers, MODELS)
        async with running(executor):
            await settle(executor)
            swapped = targets(("a", 2, 4), ("b", 0, 2), ("c", 0, 2), ("d", 2, 4))
            executor.set_targets(swapped, setup.servers, MODELS)
            start = trio.current_time()
            await settle(executor)
        assert setup.holds("a") == {("m", "", 2, 4)} and setup.holds("c") == {("m", "", 0, 2)}
        unloads = [
            (at, name)
            for at, name, order in setup.engines.order_log
            if order.kind is OrderKind.UNLOAD and order.end
        ]
        assert sorted(name for _, name in unloads) == ["a", "c"]
        assert all(at >= start + 10 for at, _ in unloads)
        first = next(i for i, entry in enumerate(setup.published) if "m" in entry)
        for entry in setup.published[first:]:
            assert has_chain([(s.first, s.end) for s in entry["m"].stages], 4)

    in_virtual_time(scenario)


def test_the_last_chain_is_never_withdrawn():
    """Guards against withdrawing the last chain to reach targets that leave no other way.

    The executor must wait instead.
    """

    async def scenario():
        setup = ExecutorSetup([server("a", 20), server("b", 20)])
        executor = setup.executor()
        executor.set_targets(targets(("a", 0, 2), ("b", 2, 4)), setup.servers, MODELS)
        async with running(executor):
            await settle(executor)
            executor.set_targets(targets(("a", 2, 4), ("b", 0, 2)), setup.servers, MODELS)
            await trio.sleep(120)
        assert setup.holds("a") == {("m", "", 0, 2)}
        assert has_chain([(s.first, s.end) for s in setup.published[-1]["m"].stages], 4)

    in_virtual_time(scenario)


def test_a_new_version_takes_over_when_its_chain_is_complete():
    """Guards against chains of mixed versions and a gap between two versions."""

    async def scenario():
        setup = ExecutorSetup([server("a"), server("b")])
        executor = setup.executor()
        stages = (("a", 0, 2), ("b", 2, 4))
        executor.set_targets(targets(*stages, version="1"), setup.servers, MODELS)
        async with running(executor):
            await settle(executor)
            executor.set_targets(targets(*stages, version="2"), setup.servers, MODELS)
            await settle(executor)
        assert setup.holds("a") == {("m", "2", 0, 2)}
        versions = [entry["m"].version for entry in setup.published if "m" in entry]
        assert versions == sorted(versions) and set(versions) == {"1", "2"}

    in_virtual_time(scenario)


def test_a_restart_reads_back_and_repeats_nothing():
    """Guards against a new lease holder that repeats loads or relies on outdated state."""

    async def scenario():
        setup = ExecutorSetup([server("a"), server("b")])
        wanted = targets(("a", 0, 2), ("b", 2, 4))
        for fence in (7, 8):
            setup.fence = fence
            executor = setup.executor()
            executor.set_targets(wanted, setup.servers, MODELS)
            async with running(executor):
                # The first run is cancelled while its loads are in flight.
                await trio.sleep(0.1 if fence == 7 else 0)
                if fence == 8:
                    await settle(executor)
        loads = [name for _, name, o in setup.engines.order_log if o.kind is OrderKind.LOAD]
        assert sorted(loads) == ["a", "b"]

    in_virtual_time(scenario)


def test_a_stale_holder_stops_at_the_first_refusal():
    """Guards against a paused holder that keeps sending orders with an old token."""

    async def scenario():
        setup = ExecutorSetup([server("a")], fence=7)
        setup.engines.order("a", ServerOrder(OrderKind.ROLE, 9))
        executor = setup.executor()
        executor.set_targets(targets(("a", 0, 4)), setup.servers, MODELS)
        with pytest.raises(BasilwinchError) as caught:
            await executor.run()
        assert caught.value.failure.kind is FENCED
        assert setup.holds("a") == set()

    in_virtual_time(scenario)


def test_nothing_is_sent_without_the_lease():
    """Guards against orders after the lease has expired by the holder's own clock."""

    async def scenario():
        setup = ExecutorSetup([server("a")], fence=None)
        executor = setup.executor()
        executor.set_targets(targets(("a", 0, 4)), setup.servers, MODELS)
        with pytest.raises(BasilwinchError) as caught:
            await executor.run()
        assert caught.value.failure.kind is LEASE_LOST
        assert setup.engines.order_log == []

    in_virtual_time(scenario)


def test_a_server_that_ignores_tokens_is_left_alone_at_first_and_read_back():
    """Guards against orders to a server that cannot refuse a delayed order of the former holder.

    The new holder must wait for such an order and then read what the server holds.
    """

    async def scenario():
        setup = ExecutorSetup([server("a", checks=False)])
        executor = setup.executor(unfenced_delay_s=20.0)
        executor.set_targets(targets(("a", 0, 4)), setup.servers, MODELS)
        async with running(executor):
            await trio.sleep(15)
            assert setup.engines.order_log == []
            # A delayed order of the former holder loads the range before the new holder may send.
            setup.engines.order("a", ServerOrder(OrderKind.LOAD, 1, "m", "", "", 0, 4))
            await settle(executor)
        loads = [o.fence for _, _, o in setup.engines.order_log if o.kind is OrderKind.LOAD]
        assert loads == [1]

    in_virtual_time(scenario)


def test_a_dead_server_is_read_back_when_it_returns():
    """Guards against trusting what a server held before it restarted."""

    async def scenario():
        setup = ExecutorSetup([server("a"), server("b")])
        executor = setup.executor()
        executor.set_targets(targets(("a", 0, 4), ("b", 0, 4)), setup.servers, MODELS)
        async with running(executor):
            await settle(executor)
            setup.engines.states["a"].alive = False
            executor.set_targets(targets(("a", 0, 2), ("b", 0, 4)), setup.servers, MODELS)
            await trio.sleep(30)
            setup.engines.revive("a", keep_layers=False)
            await settle(executor)
        assert setup.holds("a") == {("m", "", 0, 2)}

    in_virtual_time(scenario)


def test_targets_survive_lost_responses_and_refuse_a_second_writer():
    """Guards against a wrong result of a write whose response was lost."""

    async def scenario():
        store = MemoryKeyValueStore()
        planner = Planner.from_config(
            PlannerConfig(), random.Random(0), DecisionLog.for_benchmark()
        )
        plan = planner.plan(make_fleet(33, 0), {"m": make_model()}, Workload({"m": 1}))
        first, second = TargetStore(store), TargetStore(store)
        assert await first.read() == (None, 0)
        store.lose_answers(1)
        revision = await first.write(plan, 7, 0)
        stored, at = await second.read()
        assert at == revision and stored == Plan(plan.placements, plan.groups, plan.rates)
        assert await second.write(plan.replace(rates={"m": 1.0}), 8, revision) > revision
        failure = await first.write(plan, 7, revision)
        assert not failure and failure.kind is TARGETS_CHANGED

    in_virtual_time(scenario)


def test_the_holder_replans_after_a_loss_and_a_second_one_goes_on():
    """Guards against moves after each restart of a server, a delayed replan of a model without a
    chain, and a new holder that ignores the stored targets."""

    async def scenario():
        setup = ExecutorSetup([server(name) for name in "abcd"])
        store, log = MemoryKeyValueStore(), DecisionLog.for_benchmark()
        live = dict(setup.servers)

        def view():
            return FleetView(dict(live), MODELS, Workload({"m": 1}))

        def controller():
            executor = setup.executor(drain_s=1.0)
            planner = Planner.from_config(PlannerConfig(), random.Random(0), log)
            targets = TargetStore(store)
            return Controller(planner, targets, executor, view, lambda: setup.fence, log)

        first = controller()
        async with running(first):
            await trio.sleep(30)
            plan = first.plan
            assert not plan.failures and first._executor.is_done()
            gone = live.pop("a")
            await trio.sleep(30)
            assert first.plan is plan
            live["a"] = gone
            await trio.sleep(120)
            assert first.plan is plan
            del live["b"], live["c"], live["d"]
            await trio.sleep(30)
            assert has_chain([(s.first, s.end) for s in first.plan.placements["m"].stages], 4)
        setup.fence = 8
        second = controller()
        async with running(second):
            await trio.sleep(5)
            assert second.plan.placements == first.plan.placements

    in_virtual_time(scenario)
