"""Simulated run of the throughput benchmark: a fleet and nine nodes with their own routers."""

import random
from functools import partial

import trio
import trio.testing

from basilwinch.observability import DecisionLog
from basilwinch.placement import (
    Planner,
    PlannerConfig,
    Workload,
    bound_of_fleet,
    bound_of_placements,
)
from basilwinch.routing import ChainRouter, RoutingConfig
from basilwinch.standin import CallbackScheduler, StandinEngines
from bench.baseline import LeastOutstanding, RoundRobin
from bench.drive import Meter, Node
from bench.fleet import (
    ENGINE_SETTINGS,
    MODEL,
    ZONES,
    RequestGenerator,
    make_catalog,
    make_equal_split,
    make_network,
)

__all__ = ["NODES", "Simulation", "percentile", "plan"]

NODES = 9
WORKLOAD = Workload({MODEL.name: 1.0})

# Callbacks due within this time of each other run in one wake-up. They still see their own due
# time, so that only trio tasks run late by it.
_WAKE_UP_SLACK_S = 0.002


def plan(catalog, seed: int):
    """Return the placements that the planner chooses."""
    planner = Planner(PlannerConfig(), random.Random(seed), DecisionLog.for_benchmark())
    return planner.plan(catalog.servers, catalog.models, WORKLOAD).placements


class Simulation:
    """Engines, nodes and a meter.

    :param seed: seed of fleet, links, requests and routers
    :param policy: ``router``, ``round robin``, ``least outstanding`` or ``equal split``
    :param warm_up_s: warm-up in seconds, before the measured time
    :param measure_s: measured time in seconds
    """

    def __init__(self, seed: int, policy: str, warm_up_s: float, measure_s: float):
        self.seed = seed
        self.catalog = make_catalog(seed)
        split = policy == "equal split"
        self.placements = make_equal_split(self.catalog) if split else plan(self.catalog, seed)
        network = make_network(self.catalog, seed)
        scheduler = CallbackScheduler(_WAKE_UP_SLACK_S)
        servers = self.catalog.servers.values()
        self.engines = StandinEngines(servers, ENGINE_SETTINGS, network, seed, scheduler)
        self.engines.place(self.placements.values())
        self.meter = Meter(warm_up_s, warm_up_s + measure_s)
        self.routers = [self._make_router(number) for number in range(NODES)]
        self.nodes = [self._make_node(number, policy) for number in range(NODES)]

    def _make_router(self, number: int) -> ChainRouter:
        config = RoutingConfig(
            f"node{number}",
            zone=ZONES[number % 3],
            node_count=NODES,
            max_batch=ENGINE_SETTINGS.max_batch,
        )
        rng = random.Random(f"{self.seed}/router/{number}")
        router = ChainRouter.from_config(config, rng, DecisionLog.for_benchmark())
        router.update(self.catalog, self.placements, 0.0)
        return router

    def _make_node(self, number: int, policy: str) -> Node:
        simple = {"round robin": RoundRobin, "least outstanding": LeastOutstanding}.get(policy)
        chosen = self.routers[number]
        if simple is not None:
            chosen = simple(self.placements[MODEL.name], MODEL.layers, 7 * number)
        generator = RequestGenerator(f"{self.seed}/{number}")
        return Node(ZONES[number % 3], chosen, self.engines, self.meter, generator, MODEL.name)

    def compute_bound(self, speeds=None) -> float:
        """Return the upper bound of the throughput over all placements, in tokens per second.

        :param speeds: changed ``tokens_per_s`` by server
        """
        servers = _replace_speeds(self.catalog.servers, speeds)
        return bound_of_fleet(servers.values(), self.catalog.models, WORKLOAD).tokens_per_s

    def compute_placement_bound(self, speeds=None) -> float:
        """Return the upper bound over all routings on the present placements, in tokens per second.

        :param speeds: changed ``tokens_per_s`` by server
        """
        servers = _replace_speeds(self.catalog.servers, speeds)
        models = self.catalog.models
        return bound_of_placements(servers, models, self.placements, WORKLOAD).tokens_per_s

    def saturate(self) -> None:
        """Keep as many streams in progress on each node as its router's capacity."""
        for node, router in zip(self.nodes, self.routers, strict=True):
            capacity = partial(router.capacity, MODEL.name)
            self.engines.scheduler.call_at(0.0, node.keep_busy, capacity)

    def run(self, *tasks) -> None:
        """Run until the end of the measured time.

        :param tasks: async functions to run beside the nodes; each gets the simulation
        """

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.engines.run)
                for task in tasks:
                    nursery.start_soon(task, self)
                await trio.sleep_until(self.meter.end)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def percentile(values, fraction: float) -> float:
    """Return a percentile by rank, given as a fraction; NaN for no values."""
    if not values:
        return float("nan")
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(fraction * len(ranked)))]


def _replace_speeds(servers, speeds):
    changed = {name: servers[name].replace(tokens_per_s=v) for name, v in (speeds or {}).items()}
    return servers | changed
