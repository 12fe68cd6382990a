"""Tests of the placement task with an in-memory platform and engines."""

import random

import pytest
import trio

from basilwinch.daemon.core import CoreConfig, ExternalSystems, NodeCore
from basilwinch.daemon.placement_task import PlacementTask
from basilwinch.placement import ExecutorConfig
from basilwinch.release import Publisher, read_note
from basilwinch.scenario.note import render_fleet
from basilwinch.standin import DirectClient, MemoryKeyValueStore, StandinEngines, run_virtual

ZONES = ("a", "b", "c")


class Cluster:
    """A platform, twelve engines and some nodes that compete for the placement lease."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.store = MemoryKeyValueStore()
        self.publisher = Publisher(self.store, random.Random(1), clock=trio.current_time)
        self.engines = None
        self.cores = []

    async def start(self):
        await self.publisher.publish(read_note(render_fleet(12, 0, ZONES, "model", "desk")))
        catalog = (await self.publisher.refresh()).catalog
        self.engines = StandinEngines(list(catalog.servers.values()), seed=1)
        self.nursery.start_soon(self.engines.run)

    async def add_node(self, name):
        client = DirectClient(self.engines)
        config = CoreConfig(name, "a", "region", seed=len(self.cores) + 1, write_lines=False)
        core = NodeCore.from_config(
            config, ExternalSystems(self.store, client, client), wall_clock=trio.current_time
        )
        self.cores.append(core)
        scope = trio.CancelScope()
        self.nursery.start_soon(self._run, core, scope)
        return scope

    async def _run(self, core, scope):
        task = PlacementTask(core, random.Random(7), ExecutorConfig(drain_s=5.0))
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(core.run)
                nursery.start_soon(task.run)
                while True:
                    core.replica.apply_state(await self.publisher.refresh())
                    await trio.sleep(0.1)

    async def wait_placed(self, seconds):
        with trio.fail_after(seconds):
            while not self.cores[-1].router.capacity("model") or not self.holdings():
                await trio.sleep(0.1)

    def holdings(self):
        return dict(self.cores[-1].catalog.holdings)


@pytest.fixture
def with_cluster():
    def run(function):
        async def main():
            async with trio.open_nursery() as nursery:
                cluster = Cluster(nursery)
                await cluster.start()
                result = await function(cluster)
                nursery.cancel_scope.cancel()
                return result

        return run_virtual(main)

    return run


def test_first_holder_loads_and_publishes(with_cluster):
    """Guards against requests routed to layers that no server has loaded."""

    async def check(cluster):
        await cluster.add_node("n1")
        await cluster.wait_placed(60)
        await trio.sleep(30)
        held = {name: len(state.holds) for name, state in cluster.engines.states.items()}
        return held, cluster.holdings()

    held, holdings = with_cluster(check)
    assert holdings
    assert all(held[name] >= len(holding.stages) for name, holding in holdings.items())


def test_new_holder_withdraws_nothing(with_cluster):
    """Guards against an outage at a change of the lease holder.

    A new holder has read back no server yet and must not withdraw holdings for that reason.
    """

    async def check(cluster):
        first = await cluster.add_node("n1")
        await cluster.wait_placed(60)
        await trio.sleep(30)
        before = cluster.holdings()
        first.cancel()
        await cluster.add_node("n2")
        min_holdings = len(before)
        for _ in range(600):
            await trio.sleep(0.1)
            if cluster.cores[-1].catalog.revision:
                min_holdings = min(min_holdings, len(cluster.holdings()))
        return before, cluster.holdings(), min_holdings

    before, after, min_holdings = with_cluster(check)
    assert after == before
    assert min_holdings == len(before)


def test_server_that_restarts_empty_is_loaded_again(with_cluster):
    """Guards against requests to a restarted server that has lost its layers."""

    async def check(cluster):
        await cluster.add_node("n1")
        await cluster.wait_placed(60)
        await trio.sleep(30)
        name = sorted(cluster.holdings())[0]
        wanted = cluster.holdings()[name]
        cluster.engines.kill(name)
        cluster.engines.revive(name, keep_layers=False)
        await trio.sleep(120)
        return wanted, cluster.holdings().get(name), cluster.engines.states[name].holds

    wanted, after, holds = with_cluster(check)
    assert after == wanted
    assert len(holds) == len(wanted.stages)
