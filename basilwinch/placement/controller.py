"""Control loop of the lease holder: updates the placement targets and runs the executor."""

from collections.abc import Callable

import trio

from basilwinch.exception import BasilwinchError, Failure, PlatformError
from basilwinch.observability import DecisionLog
from basilwinch.placement.executor import Executor, first_error
from basilwinch.placement.order import has_chain
from basilwinch.placement.planner import Plan, Planner
from basilwinch.placement.targets import TargetStore
from basilwinch.record import Record

__all__ = ["Controller", "FleetView"]


class FleetView(Record):
    """Input of the planner, taken from the state in effect.

    :param servers: dict of live servers of model services by name
    :param models: dict of models by name
    :param workload: :class:`~basilwinch.placement.Workload`
    :param versions: dict of the version by model
    """

    __slots__ = ("servers", "models", "workload", "versions")
    _defaults = {"versions": {}}


class Controller:
    """Replans when the fleet changes and runs the executor while the lease is held.

    :param planner: the planner
    :param targets: the stored targets
    :param executor: the executor
    :param view: returns the present :class:`FleetView`
    :param fence: returns the fencing token while the lease is safely held, else None
    :param log: decision log
    :param settle_s: seconds without a change of the fleet before a replan, because most lost
        servers only restart; a model without a chain is replanned at once
    :param poll_s: seconds between two comparisons of the view
    """

    __slots__ = (
        "_planner",
        "_targets",
        "_executor",
        "_view",
        "_fence",
        "_log",
        "_settle_s",
        "_poll_s",
        "plan",
        "_revision",
    )

    def __init__(
        self,
        planner: Planner,
        targets: TargetStore,
        executor: Executor,
        view: Callable[[], FleetView],
        fence: Callable[[], int | None],
        log: DecisionLog,
        settle_s: float = 60.0,
        poll_s: float = 1.0,
    ):
        self._planner = planner
        self._targets = targets
        self._executor = executor
        self._view = view
        self._fence = fence
        self._log = log
        self._settle_s = settle_s
        self._poll_s = poll_s
        self.plan: Plan | None = None
        self._revision = 0

    async def run(self) -> None:
        """Run until cancelled.

        :raises BasilwinchError: ``LEASE_LOST`` or ``FENCED`` when the lease is no longer held
        """
        await self._read_targets()
        errors = []
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._keep_targets)
                nursery.start_soon(self._executor.run)
        except* BasilwinchError as group:
            errors += group.exceptions
        raise BasilwinchError(first_error(errors).failure)

    async def _read_targets(self) -> None:
        while True:
            try:
                self.plan, self._revision = await self._targets.read()
                return
            except PlatformError as error:
                # A plan made without the stored targets would move layers on the whole fleet.
                self._log.record("place", "targets unread", error.failure.reason)
                await trio.sleep(self._poll_s)

    async def _keep_targets(self) -> None:
        planned_view, last_view, changed_at = None, None, trio.current_time()
        while True:
            view = self._view()
            now = trio.current_time()
            if view != last_view:
                last_view, changed_at = view, now
            if self.plan is not None:
                self._executor.set_targets(self.plan.placements, view.servers, view.models)
            settled = now - changed_at >= self._settle_s or self._lacks_chain(view)
            if view != planned_view and settled and await self._replan(view):
                planned_view = view
            await trio.sleep(self._poll_s)

    def _lacks_chain(self, view: FleetView) -> bool:
        """Tell whether a model that should run has no chain of live servers in the targets."""
        if self.plan is None:
            return True
        for name, weight in view.workload.demand.items():
            model, placement = view.models.get(name), self.plan.placements.get(name)
            if not weight or model is None:
                continue
            stages = placement.stages if placement else ()
            spans = [(s.first, s.end) for s in stages if s.server in view.servers]
            if not has_chain(spans, model.layers):
                return True
        return False

    async def _replan(self, view: FleetView) -> bool:
        """Plan the targets and store them if they changed.

        :returns: whether the targets now fit the view
        """
        fence = self._fence()
        if fence is None:
            return False
        fleet = (view.servers, view.models, view.workload, view.versions)
        former = self.plan
        plan = self._planner.replan(former, *fleet) if former else self._planner.plan(*fleet)
        if former and (plan.placements, plan.groups) == (former.placements, former.groups):
            return True
        try:
            outcome = await self._targets.write(plan, fence, self._revision)
            if isinstance(outcome, Failure):
                self._log.record("place", outcome.code, outcome.reason)
                self.plan, self._revision = await self._targets.read()
                return False
        except PlatformError as error:
            self._log.record("place", "targets not stored", error.failure.reason)
            return False
        self.plan, self._revision = plan, outcome
        self._executor.set_targets(plan.placements, view.servers, view.models)
        return True
