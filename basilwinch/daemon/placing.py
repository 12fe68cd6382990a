"""The placement task: one node at a time plans, orders servers and publishes holdings."""

import random
from functools import partial

import structlog
import trio

from basilwinch.catalog import Catalog, ServerState, ServiceKind
from basilwinch.daemon.core import NodeCore
from basilwinch.daemon.embedded import CONTEXT_TOKENS, TOKEN_S
from basilwinch.daemon.holding import build_holding_note
from basilwinch.exception import BasilwinchError, Failure, PlatformError
from basilwinch.lease import HeldLease, LeaseConfig, LeaseHolder
from basilwinch.placement import (
    Executor,
    ExecutorConfig,
    Plan,
    Planner,
    PlannerConfig,
    TargetStore,
    Workload,
)
from basilwinch.release import Publisher

__all__ = ["PlacementTask"]

PLAN_EVERY_S = 0.5
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
        quiet_s = max(0.0, held.unfenced_from - trio.current_time())
        executor = Executor(
            self._config.replace(quiet_s=quiet_s),
            self._core.outside.engines,
            partial(_find_fence, held),
            lambda placements: self._publish(executor, placements),
            self._core.log,
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._plan, executor, held)
                await executor.run()
        except* (BasilwinchError, PlatformError) as group:
            for error in group.exceptions:
                self._note_failure(error)

    def _note_failure(self, error) -> None:
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        self._log.warning("placement stopped", **error.failure.to_dict())
        seen = error.failure.detail.get("fence")
        if seen is not None:
            self._holder.raise_floor(seen)

    async def _plan(self, executor: Executor, held: HeldLease) -> None:
        """Plan again whenever servers or models have changed."""
        plan, revision = await self._targets.read()
        planned: tuple | None = None
        while True:
            catalog = self._core.catalog
            servers = self._find_usable(catalog, executor)
            wanted = (tuple(sorted(servers)), catalog.models, catalog.versions)
            if catalog.models and servers and wanted != planned:
                planned = wanted
                plan = self._make_plan(plan, servers, catalog)
                written = await self._targets.write(plan, held.fence, revision)
                if isinstance(written, Failure):
                    raise PlatformError(written)
                revision = written
                executor.set_targets(plan.placements, servers, dict(catalog.models))
            await trio.sleep(PLAN_EVERY_S)

    def _make_plan(self, plan: Plan | None, servers: dict, catalog: Catalog) -> Plan:
        models = dict(catalog.models)
        versions = {version.model: name for name, version in sorted(catalog.versions.items())}
        workload = Workload(dict.fromkeys(models, 1.0), CONTEXT_TOKENS, TOKEN_S)
        if plan is None or not plan.groups:
            return self._planner.plan(servers, models, workload, versions)
        return self._planner.replan(plan, servers, models, workload, versions)

    def _find_usable(self, catalog: Catalog, executor: Executor) -> dict:
        """Return the live engines, without those that could not be reached for long."""
        now = trio.current_time()
        live = {}
        for name, server in catalog.servers.items():
            service = catalog.services.get(server.service)
            is_engine = service is not None and service.kind is ServiceKind.MODEL
            if is_engine and server.state is ServerState.LIVE:
                live[name] = server
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


def _find_fence(held: HeldLease) -> int | None:
    return held.fence if held.check(trio.current_time()) is None else None
