"""The placement task: the holder of a lease plans placements and carries them out."""

import random
from functools import partial

import structlog
import trio

from basilwinch.catalog import Catalog, Server, ServerState, ServiceKind
from basilwinch.daemon.core import NodeCore
from basilwinch.daemon.embedded import WORKLOAD_CONTEXT_TOKENS, WORKLOAD_TOKEN_INTERVAL_S
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

PUBLISH_RETRY_INTERVAL_S = 1.0
# A server whose layers have not been read back for longer counts as unreachable and is left out of
# the plan. A restart takes less time.
UNREACHABLE_AFTER_S = 30.0
# If a larger share of the servers is unreachable, this node is probably partitioned from them, and
# no server is left out of the plan.
MAX_UNREACHABLE_SHARE = 0.4


class PlacementTask:
    """Plans placements and carries them out while this node holds the placement lease.

    :param core: components of the node
    :param rng: source of random choices
    :param executor_config: settings of the executor, the defaults if None
    """

    __slots__ = (
        "_core",
        "_rng",
        "_config",
        "_holder",
        "_planner",
        "_targets",
        "_publisher",
        "_unreachable_since",
        "_log",
    )

    def __init__(
        self, core: NodeCore, rng: random.Random, executor_config: ExecutorConfig | None = None
    ):
        self._core = core
        self._rng = rng
        self._config = executor_config or ExecutorConfig()
        store = core.external.store
        lease_config = LeaseConfig("placement", core.config.name)
        self._holder = LeaseHolder.from_config(lease_config, store, rng)
        self._planner = Planner.from_config(PlannerConfig(), rng, core.decision_log)
        self._targets = TargetStore(store)
        self._publisher = Publisher(store, rng, author=core.config.name)
        self._unreachable_since: dict[str, float] = {}
        self._log = structlog.get_logger("placement")

    async def run(self) -> None:
        """Compete for the placement lease and place models while it is held, until cancelled."""
        await self._holder.run(self._run_controller)

    async def _run_controller(self, lease: HeldLease) -> None:
        unfenced_delay_s = max(0.0, lease.unfenced_orders_from - trio.current_time())
        fence = partial(_find_fence, lease)
        executor = Executor(
            self._config.replace(unfenced_delay_s=unfenced_delay_s),
            self._core.external.engines,
            fence,
            lambda placements: self._publish(executor, placements),
            self._core.decision_log,
        )
        controller = Controller(
            self._planner,
            self._targets,
            executor,
            lambda: self._build_fleet_view(executor),
            fence,
            self._core.decision_log,
        )
        try:
            await controller.run()
        except BasilwinchError as error:
            self._log.warning("placement stopped by an error", **error.failure.to_dict())
            newer_fence = error.failure.detail.get("fence")
            if newer_fence is not None:
                self._holder.record_fence(newer_fence)

    def _build_fleet_view(self, executor: Executor) -> FleetView:
        catalog = self._core.catalog
        models = dict(catalog.models)
        versions = {version.model: name for name, version in sorted(catalog.versions.items())}
        workload = Workload(
            dict.fromkeys(models, 1.0), WORKLOAD_CONTEXT_TOKENS, WORKLOAD_TOKEN_INTERVAL_S
        )
        return FleetView(self._find_usable_engines(catalog, executor), models, workload, versions)

    def _find_usable_engines(self, catalog: Catalog, executor: Executor) -> dict:
        """Return the live engines, without those not read back for ``UNREACHABLE_AFTER_S``.

        All are returned if more than ``MAX_UNREACHABLE_SHARE`` of them would be left out.
        """
        now = trio.current_time()
        live = {
            name: server
            for name, server in catalog.servers.items()
            if server.state is ServerState.LIVE and _is_engine(catalog, server)
        }
        for name in live:
            if name in executor.held:
                self._unreachable_since.pop(name, None)
            else:
                self._unreachable_since.setdefault(name, now)
        unreachable = {
            n for n in live if now - self._unreachable_since.get(n, now) > UNREACHABLE_AFTER_S
        }
        if len(unreachable) > MAX_UNREACHABLE_SHARE * len(live):
            return live
        return {name: server for name, server in live.items() if name not in unreachable}

    async def _publish(self, executor: Executor, placements: dict) -> None:
        """Publish the holdings that follow from some placements, with retries until it succeeds.

        Holdings of servers whose layers have not been read back are kept: a new lease holder has
        read back none yet, and routers avoid unreachable servers themselves.
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
                self._log.warning("holdings not published; retrying", **result.to_dict())
            except PlatformError as error:
                self._log.warning("holdings not published; retrying", **error.failure.to_dict())
            await trio.sleep(PUBLISH_RETRY_INTERVAL_S)


def _is_engine(catalog: Catalog, server: Server) -> bool:
    service = catalog.services.get(server.service)
    return service is not None and service.kind is ServiceKind.MODEL


def _find_fence(lease: HeldLease) -> int | None:
    return lease.fence if lease.check(trio.current_time()) is None else None
