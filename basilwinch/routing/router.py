"""Router that chooses a chain for each request and learns from frames and failures."""

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
from basilwinch.routing.path import PathFinder
from basilwinch.routing.request import RouteChoice, RouteRequest, RoutingConfig
from basilwinch.routing.stage_table import StageTable

__all__ = ["ChainRouter"]

# Gaps averaged into one update of the link estimates, to keep the cost per frame low.
_GAPS_PER_UPDATE = 8
_PREFILL_EWMA_WEIGHT = 0.05


class ChainRouter:
    """Chooses a chain of stages for each request.

    It does no I/O and reads no clock. ``now`` is a monotonic time in seconds.

    :param config: settings
    :param rng: source of randomness
    :param log: decision log
    """

    __slots__ = (
        "_config",
        "_log",
        "_stage_table",
        "_path_finder",
        "_prefill_token_s",
        "_node_count",
        "_models",
    )

    def __init__(self, config: RoutingConfig, rng, log: DecisionLog):
        self._config = config
        self._log = log
        self._stage_table = StageTable(config, log)
        self._path_finder = PathFinder(config, rng, self._stage_table)
        #: Smoothed prefill time per prompt token on a complete chain, in seconds.
        self._prefill_token_s = 0.0
        self._node_count = max(1, config.node_count)
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
        """Apply the catalog and placements in effect. Linear in the servers and stages."""
        self._models = catalog.models
        self._stage_table.update(catalog, placements, now)

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes that share the servers."""
        self._node_count = max(1, count)

    def mark_leaving(self, server: str, now: float) -> None:
        """Send no new requests to a leaving server.

        They resume after :meth:`mark_live` or a change of its catalog entry.
        """
        self._stage_table.mark_leaving(server, now)

    def mark_dead(self, server: str, now: float) -> None:
        """Send no new requests to a dead server; it is probed after a backoff."""
        self._stage_table.mark_dead(server, now, self._config.dead_backoff_s)

    def mark_live(self, server: str, now: float) -> None:
        """Make a server available again, e.g. because the VM list shows that it restarted."""
        self._stage_table.mark_live(server, now)

    def capacity(self, model: str) -> int:
        """Return the sequences that this node may have in progress.

        At least 1 if there is a chain, otherwise 0.

        Notes: Little's law over the node's share of the maximum flow: ``occupancy`` sequences for
        each batch slot, plus the sequences in transit on the links.
        """
        graph = self._stage_table.graph(model)
        if graph is None or not graph.complete:
            return 0
        batch_slots = (
            sum(stage.flow / stage.rate for stage in graph.stages) * self._config.max_batch
        )
        on_links = graph.flow * self._path_finder.mean_links_s
        return max(1, round((batch_slots * self._config.occupancy + on_links) / self._node_count))

    # Choice.

    def choose(self, request: RouteRequest, now: float) -> RouteChoice | Failure:
        """Choose a chain.

        The cost depends on the number of stages in a chain, not on the number of servers.

        :returns: a choice, or ``UNKNOWN_MODEL``, ``NO_CHAIN`` or ``DEADLINE_UNREACHABLE``
        """
        graph = self._stage_table.graph(request.model)
        if graph is None and request.model in self._models:
            reason = f"model {request.model!r} has no placement yet"
            return self._refuse(request, NO_CHAIN.because(reason, retry_after=1.0))
        if graph is None:
            return self._refuse(
                request, UNKNOWN_MODEL.because(f"model {request.model!r} is not in the catalog")
            )
        found = self._path_finder.find(graph, request, now)
        if found is None:
            reason = (
                "no chain of servers that are live and not excluded covers all layers of model "
                f"{request.model!r}"
            )
            return self._refuse(request, NO_CHAIN.because(reason, retry_after=1.0))
        path, token_s, reason = found
        first_token_s = token_s + request.prompt_tokens * self._prefill_token_s
        if request.deadline_s is not None:
            total_s = first_token_s + (request.max_tokens - 1) * token_s
            if total_s > request.deadline_s * self._config.deadline_slack_ratio:
                text = (
                    f"expected to take {total_s:.2f} s, more than "
                    f"{self._config.deadline_slack_ratio:g} times the {request.deadline_s:.2f} s "
                    "until the deadline"
                )
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
                load=[round(s.server.reported_load, 1) for s in path],
                local_sequences=[s.local_sequences for s in path],
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

    # Feedback from traffic.

    def begin(self, choice: RouteChoice, now: float) -> None:
        """Count a request as in progress on its chain; a second call has no effect."""
        if choice.started_at is not None:
            return
        choice.started_at = now
        choice.links = self._path_finder.links_of(choice.stages, now)
        for stage in choice.stages:
            stage.local_sequences += 1
        self._stage_table.sequence_counter(choice.chain.model)[0] += 1
        if choice.isolated:
            self._stage_table.add_isolated_requests(choice.stages, 1)

    def observe(self, choice: RouteChoice, frame: TokenFrame, gap_s: float, now: float) -> None:
        """Update the estimates from a frame.

        :param choice: choice of the request that the frame belongs to
        :param frame: frame received
        :param gap_s: seconds since the previous frame, or since the request was sent
        :param now: time in seconds
        """
        choice.frame_count += 1
        if frame.load:
            self._stage_table.apply_reports(choice.stages, frame.load, now)
        if choice.frame_count == 1:
            if choice.prompt_tokens:
                sample = max(0.0, gap_s - choice.expected_token_s) / choice.prompt_tokens
                self._prefill_token_s += (sample - self._prefill_token_s) * _PREFILL_EWMA_WEIGHT
            return
        choice.gap_sum_s += gap_s
        choice.gap_count += 1
        if choice.gap_count == _GAPS_PER_UPDATE:
            self._path_finder.learn(choice, choice.gap_sum_s / _GAPS_PER_UPDATE, now)
            choice.gap_sum_s = 0.0
            choice.gap_count = 0

    def report_silence(self, choice: RouteChoice, now: float) -> None:
        """Mark the servers dead that may be why nothing arrives from a chain; it stays counted.

        These are the ones that no recent load report shows to run.
        """
        self._stage_table.mark_silent_servers_dead(choice.stages, now)

    def end_silence(self, choice: RouteChoice) -> None:
        """Use the servers of a chain again that goes on after :meth:`report_silence`."""
        self._stage_table.restore_dead_servers(choice.stages)

    def finish(self, choice: RouteChoice, failure: Failure | None, now: float) -> None:
        """End a request on its chain.

        If the failure names a server, ``SERVER_LEAVING`` marks it leaving, and ``STAGE_DIED``,
        ``SERVER_UNREACHABLE`` or ``SERVER_REFUSED`` marks it dead; other kinds change nothing. If
        it names none, the servers of the chain are marked dead that no recent load report shows to
        run.
        """
        if choice.started_at is not None:
            choice.started_at = None
            for stage in choice.stages:
                stage.local_sequences -= 1
            self._stage_table.sequence_counter(choice.chain.model)[0] -= 1
            if choice.isolated:
                self._stage_table.add_isolated_requests(choice.stages, -1)
        if failure is None:
            return
        server = failure.detail.get("server")
        if server is None:
            self._stage_table.mark_silent_servers_dead(choice.stages, now)
        elif failure.kind is SERVER_LEAVING:
            self._stage_table.mark_leaving(server, now)
        elif failure.kind in (STAGE_DIED, SERVER_UNREACHABLE):
            self._stage_table.mark_dead(server, now, self._config.dead_backoff_s)
        elif failure.kind is SERVER_REFUSED:
            self._stage_table.mark_dead(server, now, self._config.refused_backoff_s)

    # Inspection by operators and tests.

    def in_use(self, model: str) -> list[str]:
        """Return the names of the servers of a model that ordinary requests may use, sorted."""
        graph = self._stage_table.graph(model)
        if graph is None:
            return []
        return sorted({stage.server.name for stage in graph.stages if stage.server.usable})

    def leaving(self) -> list[str]:
        """Return the names of the leaving servers, sorted."""
        return sorted(
            server.name
            for server in self._stage_table.servers.values()
            if server.leaving or server.entry.state is ServerState.LEAVING
        )
