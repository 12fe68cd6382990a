"""Search for a chain by sampling, by cache affinity, for a probe or for an isolated request."""

import random
from bisect import bisect_left
from collections import deque
from zlib import crc32

from basilwinch.routing.estimate import LinkEstimates, StageEstimate
from basilwinch.routing.graph import StageGraph
from basilwinch.routing.request import RouteChoice, RouteRequest, RoutingConfig
from basilwinch.routing.stage_table import StageTable
from basilwinch.routing.subset import rendezvous_score

__all__ = ["PathFinder"]

_REMAINING_EWMA_WEIGHT = 0.1
_LINKS_EWMA_WEIGHT = 0.02


class PathFinder:
    """Finds a path of stages over the layer boundaries of a model.

    :param config: settings of the router
    :param rng: source of randomness
    :param stage_table: servers and stages that the node may use

    Notes: at each boundary a few random stages are compared and the best one is taken (Mitzenmacher
    2001, "The power of two choices in randomized load balancing"). With stale load information,
    comparing a few stages instead of all keeps nodes from choosing the same one (Mitzenmacher 2000,
    "How useful is old information?"). The cost of the rest of the chain is learnt from the choices
    made there (Boyan and Littman 1994, "Packet routing in dynamically changing networks").
    """

    __slots__ = ("_config", "_rng", "_stage_table", "_links", "mean_links_s")

    def __init__(self, config: RoutingConfig, rng: random.Random, stage_table: StageTable):
        self._config = config
        self._rng = rng
        self._stage_table = stage_table
        self._links = LinkEstimates(config.max_links, config.link_half_life_s)
        #: Smoothed total delay of the links of a chain in seconds.
        self.mean_links_s = 0.0

    def find(self, graph: StageGraph, request: RouteRequest, now: float):
        """Return (stages, expected seconds per token, reason), or None if there is no path."""
        path, reason = None, "load"
        if request.isolated:
            path, reason = self._find_isolated(graph, request.excluded), "isolated"
        elif self._stage_table.probe_candidates:
            path, reason = self._find_probe(graph, request, now), "probe"
        if path is None and graph.complete:
            sampled = self._sample(graph, request, now)
            if sampled is not None:
                return sampled
        if path is None:
            path, reason = self._search_all(request), "fallback"
        if path is None:
            return None
        return path, self._token_s(path, now), reason

    def links_of(self, path, now: float) -> tuple:
        """Return the estimates of a path's links, including the link back to the first stage."""
        links = self._links
        servers = [stage.server for stage in path]
        next_servers = [*servers[1:], servers[0]]
        return tuple(
            links.get_or_create(source, target, now)
            for source, target in zip(servers, next_servers, strict=True)
        )

    def learn(self, choice: RouteChoice, gap_s: float, now: float) -> None:
        """Update the links of a choice from the mean gap between its tokens in seconds."""
        if not choice.links:
            return
        stages_s = 0.0
        for stage in choice.stages:
            stages_s += stage.reported_delay()
        self._links.learn(choice.links, gap_s, stages_s, now)
        total = sum(link.delay_s for link in choice.links)
        self.mean_links_s += (total - self.mean_links_s) * _LINKS_EWMA_WEIGHT

    def _token_s(self, path, now: float) -> float:
        total = 0.0
        previous = path[-1].server
        for stage in path:
            total += stage.delay() * self._links.stage_delay_ratio
            total += self._links.delay(previous, stage.server, now)
            previous = stage.server
        return total

    def _sample(self, graph: StageGraph, request: RouteRequest, now: float):
        """Build a path boundary by boundary.

        Return None if all stages of a boundary are excluded or isolated.

        Attributes are bound to local names because every request runs this code.
        """
        boundaries = graph.boundaries
        layers = graph.layers
        link_delay = self._links.delay
        random_float = self._rng.random
        samples = range(self._config.samples)
        excluded = request.excluded
        key_hash = crc32(request.cache_key.encode()) if request.cache_key else None
        path = []
        reason = "load"
        token_s = links_s = 0.0
        previous = first = None
        layer = 0
        while layer < layers:
            boundary = boundaries.get(layer)
            if boundary is None:
                return None
            best = None
            best_cost_s = best_delay_s = best_hop_s = 0.0
            for _ in samples:
                stage = boundary.stages[
                    bisect_left(boundary.cumulative_weights, random_float() * boundary.total_weight)
                ]
                server = stage.server
                if stage is best or server.isolated_requests or server.name in excluded:
                    continue
                # Seconds per token of the stage and of the link to it; the first stage has no link.
                hop_s = delay_s = stage.delay()
                if previous is not None:
                    hop_s += link_delay(previous, server, now)
                cost_s = hop_s
                if stage.end < layers:
                    cost_s += boundaries[stage.end].remaining_s
                elif first is not None:
                    cost_s += link_delay(server, first, now)
                if best is None or cost_s < best_cost_s:
                    best, best_cost_s, best_delay_s, best_hop_s = stage, cost_s, delay_s, hop_s
            if best is None:
                best = self._pick_least_delay(boundary, excluded)
                if best is None:
                    return None
                best_delay_s = best_hop_s = best.delay()
            else:
                boundary.remaining_s += (
                    best_cost_s - boundary.remaining_s
                ) * _REMAINING_EWMA_WEIGHT
            if key_hash is not None:
                max_hop_s = best_hop_s * self._config.affinity_delay_ratio
                cached = self._pick_cached(
                    boundary.affinity_stages(key_hash), best, max_hop_s, previous, excluded, now
                )
                if cached is not None:
                    reason = "affinity"
                    if cached is not best:
                        best, best_delay_s = cached, cached.delay()
                        best_hop_s = best_delay_s
                        if previous is not None:
                            best_hop_s += link_delay(previous, cached.server, now)
            path.append(best)
            token_s += best_delay_s
            links_s += best_hop_s - best_delay_s
            previous = best.server
            if first is None:
                first = previous
            layer = best.end
        token_s = token_s * self._links.stage_delay_ratio + links_s
        return path, token_s + link_delay(previous, first, now), reason

    def _pick_cached(
        self, candidates, best: StageEstimate, max_hop_s: float, previous, excluded, now: float
    ):
        """Return a stage that probably has the prefix cached.

        None means that each candidate is excluded, isolated or slower than ``max_hop_s``.

        :param candidates: stages for the cache key
        :param best: best stage sampled
        :param max_hop_s: maximum seconds per token of the stage and the link to it
        :param previous: server of the stage before, or None
        :param excluded: names of servers that must not be used
        :param now: time in seconds

        Notes: consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018).
        """
        for stage in candidates:
            server = stage.server
            if server.isolated_requests or server.name in excluded:
                continue
            if stage is best:
                return stage
            hop_s = stage.delay()
            if previous is not None:
                hop_s += self._links.delay(previous, server, now)
            if hop_s <= max_hop_s:
                return stage
        return None

    @staticmethod
    def _pick_least_delay(boundary, excluded) -> StageEstimate | None:
        permitted = [
            stage
            for stage in boundary.stages
            if not stage.server.isolated_requests and stage.server.name not in excluded
        ]
        return min(permitted, key=StageEstimate.delay, default=None)

    def _find_probe(self, graph: StageGraph, request: RouteRequest, now: float):
        """Return a path through a server whose probe is due, or None."""
        table, excluded = self._stage_table, request.excluded
        due = [
            server
            for server in table.probe_candidates.values()
            if now >= server.probe_at and server.name not in excluded
        ]
        stages = graph.stages
        if due and not graph.complete:
            # Without a live chain the graph is empty, and a probe may need others that are due.
            dead = (table.find_stage(request.model, server.name) for server in due if server.dead)
            stages = [*table.live_stages(request.model), *filter(None, dead)]
        for server in due:
            stage = table.find_stage(request.model, server.name)
            if stage is None:
                continue
            preceding = _search(stages, 0, stage.stage.first, excluded, self._rng)
            following = _search(stages, stage.end, graph.layers, excluded, self._rng)
            if preceding is None or following is None:
                continue
            path = [*preceding, stage, *following]
            for probed in path:
                if probed.server in due:
                    probed.server.probe_at = now + self._config.probe_interval_s
                    probed.server.probe_sent = True
            return path
        return None

    def _find_isolated(self, graph: StageGraph, excluded):
        """Return a path that is the same on all nodes that know the same stages, or None."""
        stages = sorted(
            graph.stages, key=lambda stage: rendezvous_score("isolated", stage.server.name)
        )
        return _search(stages, 0, graph.layers, excluded, None)

    def _search_all(self, request: RouteRequest):
        """Search all live stages, including avoided ones and those with isolated requests."""
        stages = self._stage_table.live_stages(request.model)
        layers = self._stage_table.layers(request.model)
        return _search(stages, 0, layers, request.excluded, self._rng)


def _search(stages, first: int, end: int, excluded, rng):
    """Return a path between two layers by breadth-first search, or None. Linear in the stages.

    :param rng: shuffles the stages of a layer; None keeps their order
    """
    if first == end:
        return []
    by_first = {}
    for stage in stages:
        if stage.server.name not in excluded:
            by_first.setdefault(stage.stage.first, []).append(stage)
    stage_to = {first: None}
    queue = deque([first])
    while queue:
        layer = queue.popleft()
        next_stages = by_first.get(layer, ())
        if rng is not None and len(next_stages) > 1:
            next_stages = rng.sample(next_stages, len(next_stages))
        for stage in next_stages:
            if stage.end in stage_to or stage.end > end:
                continue
            stage_to[stage.end] = stage
            if stage.end == end:
                path = []
                while stage is not None:
                    path.append(stage)
                    stage = stage_to[stage.stage.first]
                return path[::-1]
            queue.append(stage.end)
    return None
