"""Servers and stages that a node may use, and which of them are out of use."""

from basilwinch.catalog import Catalog, ServerState
from basilwinch.observability import DecisionLog
from basilwinch.routing.estimate import ServerEstimate, StageEstimate
from basilwinch.routing.graph import StageGraph
from basilwinch.routing.request import RoutingConfig
from basilwinch.routing.subset import choose_subset

__all__ = ["Fleet"]

_TYPICAL_WEIGHT = 0.02
_BACKOFF_LIMIT = 16
# A server that carried no frame of any request for this long while one of its requests hung is
# taken for dead.
_SILENCE_S = 1.0


class Fleet:
    """Estimates of servers and one graph of usable stages for each model.

    :param config: settings of the router
    :param log: where changes of use are recorded
    """

    __slots__ = (
        "servers",
        "watched",
        "_config",
        "_log",
        "_stages",
        "_graphs",
        "_layers",
        "_sources",
        "_scores",
        "_typical",
        "_tallies",
    )

    def __init__(self, config: RoutingConfig, log: DecisionLog):
        self._config = config
        self._log = log
        self.servers: dict[str, ServerEstimate] = {}
        #: Servers that are avoided or dead and may be probed, by name.
        self.watched: dict[str, ServerEstimate] = {}
        self._stages: dict[str, list[StageEstimate]] = {}
        self._graphs: dict[str, StageGraph | None] = {}
        self._layers: dict[str, int] = {}
        self._sources = {}
        self._scores: dict[str, int] = {}
        #: Average of the measured over the nominal time of a step, over all servers.
        self._typical = 1.0
        self._tallies: dict[str, list[int]] = {}

    def update(self, catalog: Catalog, placements: dict, now: float) -> None:
        """Take over the state in effect; estimates of servers that stay are kept."""
        chosen = {}
        for model, placement in placements.items():
            if model not in catalog.models:
                continue
            chosen[model] = self._choose(catalog, placement)
        needed = {stage.server for stages in chosen.values() for stage in stages}
        for name in needed:
            entry = catalog.servers[name]
            known = self.servers.get(name)
            if known is None:
                known = self.servers[name] = ServerEstimate(entry)
                known.leaving = entry.state is ServerState.LEAVING
            elif known.entry != entry:
                # The operators' word is newer than what this node saw of the old entry.
                known.set_entry(entry)
                known.leaving = entry.state is ServerState.LEAVING
        for name in [name for name in self.servers if name not in needed]:
            # A server that left comes back as a new one; choices in progress keep their estimate.
            del self.servers[name]
            self.watched.pop(name, None)
        if len(self._scores) > 2 * len(catalog.servers):
            self._scores = {n: s for n, s in self._scores.items() if n in catalog.servers}
        self._layers = {model: catalog.models[model].layers for model in chosen}
        self._stages = {model: self._estimates(model, stages) for model, stages in chosen.items()}
        self._graphs = {}

    def _choose(self, catalog: Catalog, placement) -> list:
        servers = catalog.servers
        stages = [stage for stage in placement.stages if stage.server in servers]
        region = self._config.region
        if region:
            near = [stage for stage in stages if servers[stage.server].region == region]
            layers = catalog.models[placement.model].layers
            if near and _covers(near, layers):
                stages = near
        return choose_subset(self._config.node, stages, self._config.subset, self._scores)

    def _estimates(self, model: str, stages) -> list[StageEstimate]:
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
        """Return the graph of usable stages, or None for an unknown model."""
        graph = self._graphs.get(model)
        if graph is None and model in self._stages:
            graph = self._graphs[model] = self._build(model)
        return graph

    def _build(self, model: str) -> StageGraph:
        layers = self._layers[model]
        live = self.live_stages(model)
        graph = StageGraph(layers, [stage for stage in live if not stage.server.avoided])
        if not graph.complete:
            # Slow stages are better than no chain.
            graph = StageGraph(layers, live)
        for stage in graph.stages:
            stage.share = stage.flow / graph.flow if graph.flow else 0.0
            stage.tally = self.tally(model)
        return graph

    def layers(self, model: str) -> int:
        """Return the number of layers of a model in use."""
        return self._layers[model]

    def tally(self, model: str) -> list[int]:
        """Return the number of this node's sequences on a model, as a list of one."""
        return self._tallies.setdefault(model, [0])

    def live_stages(self, model: str) -> list[StageEstimate]:
        """Return all stages of a model whose servers are neither dead nor leaving."""
        return [s for s in self._stages[model] if not (s.server.dead or s.server.leaving)]

    def find_stage(self, model: str, server: str) -> StageEstimate | None:
        """Return a stage of a model on a server, in use or not."""
        for stage in self._stages.get(model, ()):
            if stage.server.name == server:
                return stage
        return None

    # Changes of use.

    def mark_leaving(self, name: str, now: float) -> None:
        """Take a leaving server out of the graphs. It is not probed."""
        server = self.servers.get(name)
        if server is None or server.leaving:
            return
        server.leaving = True
        self.watched.pop(name, None)
        self._changed("left", name, "the server is leaving")

    def mark_dead(self, name: str, now: float, wait_s: float) -> None:
        """Take a server out of the graphs and probe it after a growing time."""
        server = self.servers.get(name)
        if server is None or server.leaving:
            return
        # Reports of one death come from all requests on the server; only the first one counts.
        if not server.dead or now >= server.probe_at:
            server.deaths += 1
            server.probe_at = now + wait_s * min(_BACKOFF_LIMIT, 2 ** (server.deaths - 1))
        if not server.dead:
            server.dead = True
            server.probing = False
            self.watched[name] = server
            self._changed("dead", name, "a call to the server failed")

    def mark_live(self, name: str, now: float) -> None:
        """Use a server again."""
        server = self.servers.get(name)
        if server is None:
            return
        changed = server.dead or server.leaving or server.avoided
        server.dead = server.leaving = server.avoided = False
        server.deaths = 0
        server.slowness = min(server.slowness, self._typical)
        self.watched.pop(name, None)
        if changed:
            self._changed("restored", name, "the server is live")

    def blame_silent(self, stages, now: float) -> None:
        """Take for dead those servers of a lost stream that no other stream has shown running."""
        for stage in stages:
            if now - stage.server.seen_at > _SILENCE_S:
                self.mark_dead(stage.server.name, now, self._config.refused_s)

    def isolate(self, stages, change: int) -> None:
        """Keep ordinary requests off the servers of an isolated one, or let them back."""
        for stage in stages:
            stage.server.isolated += change

    def absorb(self, stages, reports, now: float) -> None:
        """Take in the load reports of a frame, and that all its stages run."""
        for stage in stages:
            server = stage.server
            server.seen_at = now
            if server.dead and server.probing:
                self.mark_live(server.name, now)
        for report in reports:
            for stage in stages:
                if stage.server.name == report.server:
                    self._absorb_one(stage, report, now)
                    break

    def _absorb_one(self, stage: StageEstimate, report, now: float) -> None:
        server = stage.server
        ratio = server.absorb(report, stage.layers, self._config.max_batch, now)
        if ratio is None:
            return
        self._typical += (min(ratio, 2.0) - self._typical) * _TYPICAL_WEIGHT
        relative = server.slowness / self._typical
        if not server.avoided and relative > self._config.slow_factor:
            server.avoided = True
            server.probe_at = now + self._config.probe_s
            self.watched[server.name] = server
            self._changed("avoided", server.name, f"steps take {relative:.1f} times the usual time")
        elif server.avoided and relative < self._config.restore_factor:
            # Hysteresis keeps a stage near the limit from going in and out of use.
            server.avoided = False
            self.watched.pop(server.name, None)
            self._changed("restored", server.name, "steps take their usual time again")

    def _changed(self, outcome: str, name: str, reason: str) -> None:
        self._log.record("use", outcome, reason, server=name)
        self._graphs = {}


def _covers(stages, layers: int) -> bool:
    reached = {0}
    for stage in sorted(stages, key=lambda stage: stage.first):
        if stage.first in reached:
            reached.add(stage.end)
    return layers in reached
