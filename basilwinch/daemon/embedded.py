"""Stand-ins for platform and servers that run in the event loop of the daemon."""

import random

import trio

from basilwinch.catalog import Catalog, ServiceKind
from basilwinch.observability import DecisionLog
from basilwinch.pipeline import Placement
from basilwinch.placement import Planner, PlannerConfig, Workload
from basilwinch.standin import DirectClient, MemoryKeyValueStore, PlainServices, StandinEngines

__all__ = ["EmbeddedPlatform", "plan_placements"]

# Workload that placements are planned for, also by the placement task: mean number of tokens that a
# sequence holds in the KV cache, and minimum time between two of its tokens.
WORKLOAD_CONTEXT_TOKENS = 512
WORKLOAD_TOKEN_INTERVAL_S = 0.027


class EmbeddedPlatform:
    """In-memory key-value service, engines and plain services.

    :param seed: seed of the simulated links and cache events
    """

    __slots__ = ("store", "engines", "client", "_seed")

    def __init__(self, seed: int):
        self.store = MemoryKeyValueStore()
        self.engines = StandinEngines([], seed=seed)
        self.client = DirectClient(self.engines)
        self._seed = seed

    def start_servers(self, catalog: Catalog) -> None:
        """Start a stand-in for each server of a catalog.

        :param catalog: catalog of the servers to start
        """
        engines, plain = [], []
        for server in catalog.servers.values():
            service = catalog.services[server.service]
            (engines if service.kind is ServiceKind.MODEL else plain).append(server)
        self.engines = StandinEngines(engines, seed=self._seed)
        self.client.engines = self.engines
        self.client.services = PlainServices([server.name for server in plain])

    async def run(self) -> None:
        """Run the engines until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.engines.run)


def plan_placements(catalog: Catalog, seed: int, log: DecisionLog) -> dict[str, Placement]:
    """Plan placements for all models with equal demand.

    :param catalog: catalog of servers and models
    :param seed: seed of the planner
    :param log: log of the planner's decisions
    """
    planner = Planner.from_config(PlannerConfig(), random.Random(seed), log)
    demand = dict.fromkeys(catalog.models, 1.0)
    workload = Workload(
        demand, context_tokens=WORKLOAD_CONTEXT_TOKENS, token_s=WORKLOAD_TOKEN_INTERVAL_S
    )
    return planner.plan(catalog.servers, catalog.models, workload).placements
