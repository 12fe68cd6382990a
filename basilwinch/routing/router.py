"""The router: a chain for each request, and what frames and failures teach about chains."""

from collections.abc import Mapping

from basilwinch.catalog import Catalog, ServerState
from basilwinch.exception import (
    DEADLINE_UNREACHABLE,
    NO_CHAIN,
    SERVER_LEAVING,
    SERVER_REFUSED,
    SERVER_UNREACHABLE,
    STAGE_DIED,
    UNKNOWN_MODEL,
    Failure,
)
from basilwinch.observability import DecisionLog
from basilwinch.pipeline import Chain, TokenFrame
from basilwinch.routing.fleet import Fleet
from basilwinch.routing.path import PathFinder
from basilwinch.routing.request import RouteChoice, RouteRequest, RoutingConfig

__all__ = ["ChainRouter"]

# Gaps averaged into one correction of the links, to keep the cost per frame low.
_GAPS_PER_LESSON = 8
_PREFILL_WEIGHT = 0.05


class ChainRouter:
    """Chooses a chain of stages for each request.

    Pure: no I/O and no clock of its own. ``now`` is in seconds and monotonic.

    :param config: settings
    :param rng: source of randomness
    :param log: where decisions go
    """

    __slots__ = ("_config", "_log", "_fleet", "_paths", "_prefill_s", "_nodes", "_models")

    def __init__(self, config: RoutingConfig, rng, log: DecisionLog):
        self._config = config
        self._log = log
        self._fleet = Fleet(config, log)
        self._paths = PathFinder(config, rng, self._fleet)
        #: Seconds of one prompt token on a whole chain, learnt from first tokens.
        self._prefill_s = 0.0
        self._nodes = max(1, config.nodes)
        self._models: Mapping = {}

    @classmethod
    def from_config(cls, config: RoutingConfig, rng, log: DecisionLog) -> "ChainRouter":
        """Build a router.

        :param config: settings
        :param rng: :class:`random.Random`
        :param log: decision log
        """
        return cls(config, rng, log)

    # State in effect.

    def update(self, catalog: Catalog, placements: dict, now: float) -> None:
        """Take over the state in effect. Linear in the number of servers and stages."""
        self._models = catalog.models
        self._fleet.update(catalog, placements, now)

    def set_nodes(self, nodes: int) -> None:
        """Set the number of nodes that share the servers."""
        self._nodes = max(1, nodes)

    def mark_leaving(self, server: str, now: float) -> None:
        """Keep new requests off a server until :meth:`mark_live` or a changed catalog entry."""
        self._fleet.mark_leaving(server, now)

    def mark_dead(self, server: str, now: float) -> None:
        """Keep new requests off a server that died; it is probed later."""
        self._fleet.mark_dead(server, now, self._config.dead_s)

    def mark_live(self, server: str, now: float) -> None:
        """Use a server again, e.g. because the VM list shows it restarted."""
        self._fleet.mark_live(server, now)

    def capacity(self, model: str) -> int:
        """Return the sequences that this node may have in progress, at least 1 if there is a chain.

        Notes: Little's law over the node's share of the maximum flow: each place in a batch is
        filled ``occupancy`` times, and the links hold what is on its way.
        """
        graph = self._fleet.graph(model)
        if graph is None or not graph.complete:
            return 0
        places = sum(stage.flow / stage.rate for stage in graph.stages) * self._config.max_batch
        on_links = graph.flow * self._paths.links_s
        return max(1, round((places * self._config.occupancy + on_links) / self._nodes))

    # Choice.

    def choose(self, request: RouteRequest, now: float) -> RouteChoice | Failure:
        """Choose a chain.

        :returns: a choice, or ``UNKNOWN_MODEL``, ``NO_CHAIN`` or ``DEADLINE_UNREACHABLE``. The cost
            depends on the number of stages in a chain, not on the number of servers.
        """
        graph = self._fleet.graph(request.model)
        if graph is None and request.model in self._models:
            reason = f"{request.model} is not placed yet"
            return self._refuse(request, NO_CHAIN.because(reason, retry_after=1.0))
        if graph is None:
            return self._refuse(request, UNKNOWN_MODEL.because(f"no model {request.model!r}"))
        found = self._paths.find(graph, request, now)
        if found is None:
            reason = f"no usable chain for {request.model}"
            return self._refuse(request, NO_CHAIN.because(reason, retry_after=1.0))
        path, token_s, reason = found
        first_token_s = token_s + request.prompt_tokens * self._prefill_s
        if request.deadline_s is not None:
            total_s = first_token_s + (request.max_tokens - 1) * token_s
            if total_s > request.deadline_s * self._config.deadline_slack:
                text = f"expected {total_s:.2f} s, deadline {request.deadline_s:.2f} s"
                return self._refuse(request, DEADLINE_UNREACHABLE.because(text, retry_after=1.0))
        chain = Chain(request.model, tuple([stage.stage for stage in path]))
        choice = RouteChoice(chain, first_token_s, token_s)
        choice.reason = reason
        choice.isolated = request.isolated
        choice.stages = path
        choice.prompt_tokens = request.prompt_tokens
        if self._log.write_lines:
            self._log.record(
                "route",
                "chosen",
                reason,
                request=request.request,
                model=request.model,
                chain=[f"{s.stage.server}:{s.stage.first}-{s.stage.end}" for s in path],
                load=[round(s.server.reported, 1) for s in path],
                own=[s.own for s in path],
                stages=len(graph.stages),
                samples=self._config.samples,
                expected_token_ms=round(token_s * 1e3, 2),
                expected_first_token_ms=round(first_token_s * 1e3, 2),
            )
        else:
            self._log.record("route", "chosen", reason)
        return choice

    def _refuse(self, request: RouteRequest, failure: Failure) -> Failure:
        self._log.record(
            "route", failure.code, failure.reason, request=request.request, model=request.model
        )
        return failure

    # What traffic teaches.

    def begin(self, choice: RouteChoice, now: float) -> None:
        """Count a choice as work in progress."""
        if choice.started is not None:
            return
        choice.started = now
        choice.links = self._paths.links_of(choice.stages, now)
        for stage in choice.stages:
            stage.own += 1
        self._fleet.tally(choice.chain.model)[0] += 1
        if choice.isolated:
            self._fleet.isolate(choice.stages, 1)

    def observe(self, choice: RouteChoice, frame: TokenFrame, gap_s: float, now: float) -> None:
        """Learn from a frame.

        :param gap_s: seconds since the frame before it, or since the request was sent
        """
        choice.frames += 1
        if frame.load:
            self._fleet.absorb(choice.stages, frame.load, now)
        if choice.frames == 1:
            if choice.prompt_tokens:
                sample = max(0.0, gap_s - choice.expected_token_s) / choice.prompt_tokens
                self._prefill_s += (sample - self._prefill_s) * _PREFILL_WEIGHT
            return
        choice.gap_sum_s += gap_s
        choice.gap_count += 1
        if choice.gap_count == _GAPS_PER_LESSON:
            self._paths.learn(choice, choice.gap_sum_s / _GAPS_PER_LESSON, now)
            choice.gap_sum_s = 0.0
            choice.gap_count = 0

    def finish(self, choice: RouteChoice, failure: Failure | None, now: float) -> None:
        """End a choice; a failure that names a server keeps requests off it."""
        if choice.started is not None:
            choice.started = None
            for stage in choice.stages:
                stage.own -= 1
            self._fleet.tally(choice.chain.model)[0] -= 1
            if choice.isolated:
                self._fleet.isolate(choice.stages, -1)
        if failure is None:
            return
        server = failure.detail.get("server")
        if server is None:
            self._fleet.blame_silent(choice.stages, now)
        elif failure.kind is SERVER_LEAVING:
            self._fleet.mark_leaving(server, now)
        elif failure.kind in (STAGE_DIED, SERVER_UNREACHABLE):
            self._fleet.mark_dead(server, now, self._config.dead_s)
        elif failure.kind is SERVER_REFUSED:
            self._fleet.mark_dead(server, now, self._config.refused_s)

    # Views for operators and tests.

    def in_use(self, model: str) -> list[str]:
        """Return the names of the servers that ordinary requests may be sent to."""
        graph = self._fleet.graph(model)
        if graph is None:
            return []
        return sorted({stage.server.name for stage in graph.stages if stage.server.usable})

    def leaving(self) -> list[str]:
        """Return the names of the servers known to be leaving."""
        return sorted(
            server.name
            for server in self._fleet.servers.values()
            if server.leaving or server.entry.state is ServerState.LEAVING
        )
