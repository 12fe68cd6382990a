"""The placement task: one node at a time plans, orders servers and publishes holdings."""

import random
from functools import partial

import structlog
import trio

from basilwinch.catalog import Catalog, Server, ServerState, ServiceKind
from basilwinch.daemon.core import NodeCore
from basilwinch.daemon.embedded import CONTEXT_TOKENS, TOKEN_S
from basilwinch.daemon.holding import build_holding_note
from basilwinch.exception import BasilwinchError, PlatformError
from basilwinch.lease import HeldLease, LeaseConfig, LeaseHolder
from basilwinch.placement import (
    Controller,
    Executor,
    ExecutorConfig,
    FleetView,
    Planner,
    PlannerConfig,
    TargetStore,
    Workload,
)
from basilwinch.release import Publisher

__all__ = ["PlacementTask"]

RETRY_S = 1.0
# A server that cannot be reached for this long is planned without; a restart takes less.
LOST_AFTER_S = 30.0
# More missing servers than this look like a partition of this node, for which nothing is moved.
MOST_LOST = 0.4


class PlacementTask:
    """Plans placements and carries them out while this node holds the placement lease.

    :param core: decision parts of the node
    :param rng: source of random choices
    :param executor_config: settings of the executor
    """

    __slots__ = (
        "_core",
        "_rng",
        "_config",
        "_holder",
        "_planner",
        "_targets",
        "_publisher",
        "_missing_since",
        "_log",
    )

    def __init__(
        self, core: NodeCore, rng: random.Random, executor_config: ExecutorConfig | None = None
    ):
        self._core = core
        self._rng = rng
        self._config = executor_config or ExecutorConfig()
        store = core.outside.store
        lease = LeaseConfig("placement", core.config.name)
        self._holder = LeaseHolder.from_config(lease, store, rng)
        self._planner = Planner.from_config(PlannerConfig(), rng, core.log)
        self._targets = TargetStore(store)
        self._publisher = Publisher(store, rng, author=core.config.name)
        self._missing_since: dict[str, float] = {}
        self._log = structlog.get_logger("placement")

    async def run(self) -> None:
        """Compete for the lease and work while it is held, until cancelled."""
        await self._holder.run(self._hold)

    async def _hold(self, held: HeldLease) -> None:
        unfenced_delay_s = max(0.0, held.unfenced_orders_from - trio.current_time())
        fence = partial(_find_fence, held)
        executor = Executor(
            self._config.replace(unfenced_delay_s=unfenced_delay_s),
            self._core.outside.engines,
            fence,
            lambda placements: self._publish(executor, placements),
            self._core.log,
        )
        controller = Controller(
            self._planner,
            self._targets,
            executor,
            lambda: self._view_fleet(executor),
            fence,
            self._core.log,
        )
        try:
            await controller.run()
        except BasilwinchError as error:
            self._log.warning("placement stopped", **error.failure.to_dict())
            seen = error.failure.detail.get("fence")
            if seen is not None:
                self._holder.record_fence(seen)

    def _view_fleet(self, executor: Executor) -> FleetView:
        catalog = self._core.catalog
        models = dict(catalog.models)
        versions = {version.model: name for name, version in sorted(catalog.versions.items())}
        workload = Workload(dict.fromkeys(models, 1.0), CONTEXT_TOKENS, TOKEN_S)
        return FleetView(self._find_usable(catalog, executor), models, workload, versions)

    def _find_usable(self, catalog: Catalog, executor: Executor) -> dict:
        """Return the live engines, without those that could not be reached for long."""
        now = trio.current_time()
        live = {
            name: server
            for name, server in catalog.servers.items()
            if server.state is ServerState.LIVE and _is_engine(catalog, server)
        }
        for name in live:
            if name in executor.held:
                self._missing_since.pop(name, None)
            else:
                self._missing_since.setdefault(name, now)
        lost = {n for n in live if now - self._missing_since.get(n, now) > LOST_AFTER_S}
        if len(lost) > MOST_LOST * len(live):
            return live
        return {name: server for name, server in live.items() if name not in lost}

    async def _publish(self, executor: Executor, placements: dict) -> None:
        """Put the holdings that follow from some placements in effect.

        The holdings of servers that have not been read back are kept: after a change of holder
        nothing is known yet, and an unreachable server is left by the routers themselves.
        """
        while True:
            try:
                catalog = (await self._publisher.refresh()).catalog
                kept = [
                    holding
                    for name, holding in catalog.holdings.items()
                    if name not in executor.held and name in catalog.servers
                ]
                note = build_holding_note(catalog, placements.values(), kept)
                if not note.items:
                    return
                result = await self._publisher.publish(note)
                if result:
                    return
                self._log.warning("holdings not published", **result.to_dict())
            except PlatformError as error:
                self._log.warning("holdings not published", **error.failure.to_dict())
            await trio.sleep(RETRY_S)


def _is_engine(catalog: Catalog, server: Server) -> bool:
    service = catalog.services.get(server.service)
    return service is not None and service.kind is ServiceKind.MODEL


def _find_fence(held: HeldLease) -> int | None:
    return held.fence if held.check(trio.current_time()) is None else None
