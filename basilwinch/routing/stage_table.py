"""Servers and stages that a node may use, and their availability."""

from basilwinch.catalog import Catalog, ServerState
from basilwinch.observability import DecisionLog
from basilwinch.routing.estimate import ServerEstimate, StageEstimate
from basilwinch.routing.graph import StageGraph
from basilwinch.routing.request import RoutingConfig
from basilwinch.routing.subset import choose_subset

__all__ = ["StageTable"]

_MEAN_SLOWNESS_EWMA_WEIGHT = 0.02
_MAX_BACKOFF_FACTOR = 16
# When a request fails without naming a server, a server of its chain is marked dead if this node
# received no frame with load reports from any chain that includes it for this long.
_SILENCE_TIMEOUT_S = 1.0


class StageTable:
    """Estimates of servers and one graph of usable stages for each model.

    :param config: settings of the router
    :param log: decision log for changes of availability
    """

    __slots__ = (
        "servers",
        "probe_candidates",
        "_config",
        "_log",
        "_stages",
        "_graphs",
        "_layers",
        "_sources",
        "_scores",
        "_mean_slowness",
        "_sequence_counters",
    )

    def __init__(self, config: RoutingConfig, log: DecisionLog):
        self._config = config
        self._log = log
        self.servers: dict[str, ServerEstimate] = {}
        #: Avoided and dead servers, which may be probed, by name.
        self.probe_candidates: dict[str, ServerEstimate] = {}
        self._stages: dict[str, list[StageEstimate]] = {}
        self._graphs: dict[str, StageGraph | None] = {}
        self._layers: dict[str, int] = {}
        self._sources = {}
        self._scores: dict[str, int] = {}
        #: Smoothed ratio of the measured to the nominal step time over all servers.
        self._mean_slowness = 1.0
        self._sequence_counters: dict[str, list[int]] = {}

    def update(self, catalog: Catalog, placements: dict, now: float) -> None:
        """Apply the catalog and placements in effect; estimates of remaining servers are kept.

        :param catalog: catalog in effect
        :param placements: dict of :class:`~basilwinch.pipeline.Placement` by model
        :param now: time in seconds
        """
        chosen = {}
        for model, placement in placements.items():
            if model not in catalog.models:
                continue
            chosen[model] = self._choose_stages(catalog, placement)
        needed = {stage.server for stages in chosen.values() for stage in stages}
        for name in needed:
            entry = catalog.servers[name]
            known = self.servers.get(name)
            if known is None:
                known = self.servers[name] = ServerEstimate(entry)
                known.leaving = entry.state is ServerState.LEAVING
            elif known.entry != entry:
                # The operators changed the entry after this node saw the server leaving, so their
                # state applies.
                known.set_entry(entry)
                known.leaving = entry.state is ServerState.LEAVING
        for name in [name for name in self.servers if name not in needed]:
            # A removed server that returns gets a new estimate; open requests keep the old one.
            del self.servers[name]
            self.probe_candidates.pop(name, None)
        if len(self._scores) > 2 * len(catalog.servers):
            self._scores = {n: s for n, s in self._scores.items() if n in catalog.servers}
        self._layers = {model: catalog.models[model].layers for model in chosen}
        self._stages = {
            model: self._estimate_stages(model, stages) for model, stages in chosen.items()
        }
        self._graphs = {}

    def _choose_stages(self, catalog: Catalog, placement) -> list:
        servers = catalog.servers
        stages = [stage for stage in placement.stages if stage.server in servers]
        region = self._config.region
        if region:
            in_region = [stage for stage in stages if servers[stage.server].region == region]
            layers = catalog.models[placement.model].layers
            if in_region and _covers(in_region, layers):
                stages = in_region
        return choose_subset(self._config.node, stages, self._config.subset_size, self._scores)

    def _estimate_stages(self, model: str, stages) -> list[StageEstimate]:
        known = {estimate.stage: estimate for estimate in self._stages.get(model, ())}
        estimates = []
        for stage in stages:
            estimate = known.get(stage)
            server = self.servers[stage.server]
            if estimate is None or estimate.server is not server:
                estimate = StageEstimate(stage, server, self._config)
            estimate.refresh()
            estimates.append(estimate)
        return estimates

    def graph(self, model: str) -> StageGraph | None:
        """Return the graph of the live stages, or None for an unknown model.

        It includes avoided stages only if they are needed for a complete chain.
        """
        graph = self._graphs.get(model)
        if graph is None and model in self._stages:
            graph = self._graphs[model] = self._build_graph(model)
        return graph

    def _build_graph(self, model: str) -> StageGraph:
        layers = self._layers[model]
        live = self.live_stages(model)
        graph = StageGraph(layers, [stage for stage in live if not stage.server.avoided])
        if not graph.complete:
            # Use avoided stages if no complete chain exists without them.
            graph = StageGraph(layers, live)
        for stage in graph.stages:
            stage.flow_share = stage.flow / graph.flow if graph.flow else 0.0
            stage.sequence_counter = self.sequence_counter(model)
        return graph

    def layers(self, model: str) -> int:
        """Return the number of layers of a model in use."""
        return self._layers[model]

    def sequence_counter(self, model: str) -> list[int]:
        """Return a one-element list with the number of this node's sequences on a model."""
        return self._sequence_counters.setdefault(model, [0])

    def live_stages(self, model: str) -> list[StageEstimate]:
        """Return all stages of a model whose servers are neither dead nor leaving."""
        return [s for s in self._stages[model] if not (s.server.dead or s.server.leaving)]

    def find_stage(self, model: str, server: str) -> StageEstimate | None:
        """Return the first stage of a model on a server, whether usable or not."""
        for stage in self._stages.get(model, ()):
            if stage.server.name == server:
                return stage
        return None

    # Changes of availability.

    def mark_leaving(self, name: str, now: float) -> None:
        """Remove a leaving server from the graphs. It is not probed."""
        server = self.servers.get(name)
        if server is None or server.leaving:
            return
        server.leaving = True
        self.probe_candidates.pop(name, None)
        self._record_change("left", name, "the server is leaving")

    def mark_dead(self, name: str, now: float, backoff_s: float) -> None:
        """Remove a server from the graphs and probe it after an exponential backoff.

        :param name: name of the server
        :param now: time in seconds
        :param backoff_s: seconds until the first probe
        """
        server = self.servers.get(name)
        if server is None or server.leaving:
            return
        # Each request on the server reports the same death. Of the reports before the next probe is
        # due, only the first counts.
        if not server.dead or now >= server.probe_at:
            server.death_count += 1
            server.probe_at = now + backoff_s * min(
                _MAX_BACKOFF_FACTOR, 2 ** (server.death_count - 1)
            )
        if not server.dead:
            server.dead = True
            server.probe_sent = False
            self.probe_candidates[name] = server
            self._record_change(
                "dead",
                name,
                "a call to the server failed, or the server was silent when a request failed",
            )

    def mark_live(self, name: str, now: float) -> None:
        """Make a server available again."""
        server = self.servers.get(name)
        if server is None:
            return
        changed = server.dead or server.leaving or server.avoided
        server.dead = server.leaving = server.avoided = False
        server.death_count = 0
        server.slowness = min(server.slowness, self._mean_slowness)
        self.probe_candidates.pop(name, None)
        if changed:
            self._record_change("restored", name, "the server is live again")

    def mark_silent_servers_dead(self, stages, now: float) -> None:
        """Mark those servers of a failed request dead that no recent load report shows to run.

        A frame with load reports shows that all servers of its chain run.
        """
        for stage in stages:
            if now - stage.server.last_seen_at > _SILENCE_TIMEOUT_S:
                self.mark_dead(stage.server.name, now, self._config.refused_backoff_s)

    def restore_dead_servers(self, stages) -> None:
        """Make servers available again that were marked dead and have sent a frame since."""
        for stage in stages:
            server = stage.server
            if not server.dead or server.leaving:
                continue
            server.dead = False
            server.death_count = 0
            if not server.avoided:
                self.probe_candidates.pop(server.name, None)
            self._record_change("restored", server.name, "a frame of its chain arrived")

    def add_isolated_requests(self, stages, count: int) -> None:
        """Change the number of isolated requests on the servers of a chain.

        Ordinary requests are not sampled onto these servers.

        :param stages: stages of the isolated request
        :param count: 1 at its start, -1 at its end
        """
        for stage in stages:
            stage.server.isolated_requests += count

    def apply_reports(self, stages, reports, now: float) -> None:
        """Update the estimates from a frame, which shows that all its stages run.

        :param stages: stages of the frame's chain
        :param reports: load reports of the frame
        :param now: time in seconds
        """
        for stage in stages:
            server = stage.server
            server.last_seen_at = now
            if server.dead and server.probe_sent:
                self.mark_live(server.name, now)
        for report in reports:
            for stage in stages:
                if stage.server.name == report.server:
                    self._apply_report(stage, report, now)
                    break

    def _apply_report(self, stage: StageEstimate, report, now: float) -> None:
        server = stage.server
        ratio = server.apply_report(report, stage.layers, self._config.max_batch, now)
        if ratio is None:
            return
        self._mean_slowness += (min(ratio, 2.0) - self._mean_slowness) * _MEAN_SLOWNESS_EWMA_WEIGHT
        relative = server.slowness / self._mean_slowness
        if not server.avoided and relative > self._config.avoid_slowness_ratio:
            server.avoided = True
            server.probe_at = now + self._config.probe_interval_s
            self.probe_candidates[server.name] = server
            self._record_change(
                "avoided",
                server.name,
                f"slowness (measured over nominal step time) is {relative:.1f} times the mean "
                "of all servers",
            )
        elif server.avoided and relative < self._config.restore_slowness_ratio:
            # Hysteresis keeps a server near the limit from switching back and forth.
            server.avoided = False
            self.probe_candidates.pop(server.name, None)
            self._record_change(
                "restored", server.name, "slowness is back near the mean of all servers"
            )

    def _record_change(self, outcome: str, name: str, reason: str) -> None:
        self._log.record("use", outcome, reason, server=name)
        self._graphs = {}


def _covers(stages, layers: int) -> bool:
    reached = {0}
    for stage in sorted(stages, key=lambda stage: stage.first):
        if stage.first in reached:
            reached.add(stage.end)
    return layers in reached
