"""Search for a chain: sampled, by affinity, for a probe or in isolation."""

import random
from bisect import bisect_left
from collections import deque
from zlib import crc32

from basilwinch.routing.estimate import LinkEstimates, StageEstimate
from basilwinch.routing.fleet import Fleet
from basilwinch.routing.graph import StageGraph
from basilwinch.routing.request import RouteChoice, RouteRequest, RoutingConfig
from basilwinch.routing.subset import rendezvous_score

__all__ = ["PathFinder"]

_REMAINING_WEIGHT = 0.1
_LINKS_WEIGHT = 0.02


class PathFinder:
    """Finds a path of stages over the layer boundaries of a model.

    :param config: settings of the router
    :param rng: source of randomness
    :param fleet: stages in use

    Notes: at each boundary a few random stages are compared and the best one is taken (Mitzenmacher
    2001, "The power of two choices in randomized load balancing"). With a stale view, comparing few
    instead of all keeps the nodes from choosing the same stage (Mitzenmacher 2000, "How useful is
    old information?"). The cost of the rest of the chain is learnt from the choices made there
    (Boyan and Littman 1994, "Packet routing in dynamically changing networks").
    """

    __slots__ = ("_config", "_rng", "_fleet", "_links", "links_s")

    def __init__(self, config: RoutingConfig, rng: random.Random, fleet: Fleet):
        self._config = config
        self._rng = rng
        self._fleet = fleet
        self._links = LinkEstimates(config.links, config.link_half_life_s)
        #: Average delay of all links of a chain, in seconds.
        self.links_s = 0.0

    def find(self, graph: StageGraph, request: RouteRequest, now: float):
        """Return (stages, seconds for one token, reason), or None."""
        path, reason = None, "load"
        if request.isolated:
            path, reason = self._isolated(graph, request.avoid), "isolated"
        elif self._fleet.watched:
            path, reason = self._probe(graph, request, now), "probe"
        if path is None and graph.complete:
            sampled = self._sample(graph, request, now)
            if sampled is not None:
                return sampled
        if path is None:
            path, reason = self._rest(request), "last resort"
        if path is None:
            return None
        return path, self._token_s(path, now), reason

    def links_of(self, path, now: float) -> tuple:
        """Return the estimates of a path's links, the one back to the first stage included."""
        links = self._links
        servers = [stage.server for stage in path]
        onward = [*servers[1:], servers[0]]
        return tuple(
            links.find(source, target, now) for source, target in zip(servers, onward, strict=True)
        )

    def learn(self, choice: RouteChoice, gap_s: float, now: float) -> None:
        """Correct the links of a choice by the average gap between its tokens."""
        if not choice.links:
            return
        explained = 0.0
        for stage in choice.stages:
            explained += stage.delay()
        self._links.learn(choice.links, gap_s - explained, now)
        total = sum(link.delay_s for link in choice.links)
        self.links_s += (total - self.links_s) * _LINKS_WEIGHT

    def _token_s(self, path, now: float) -> float:
        total = 0.0
        previous = path[-1].server
        for stage in path:
            total += stage.delay() + self._links.delay(previous, stage.server, now)
            previous = stage.server
        return total

    def _sample(self, graph: StageGraph, request: RouteRequest, now: float):
        """Build a path boundary by boundary; None at a dead end.

        This is the hot path of every request, hence the local names.
        """
        boundaries = graph.boundaries
        layers = graph.layers
        link_delay = self._links.delay
        random_float = self._rng.random
        samples = range(self._config.samples)
        avoid = request.avoid
        digest = crc32(request.cache_key.encode()) if request.cache_key else None
        path = []
        reason = "load"
        token_s = 0.0
        previous = first = None
        at = 0
        while at < layers:
            boundary = boundaries.get(at)
            if boundary is None:
                return None
            best = None
            best_cost = best_delay = 0.0
            for _ in samples:
                stage = boundary.stages[
                    bisect_left(boundary.weights, random_float() * boundary.total)
                ]
                server = stage.server
                if stage is best or server.isolated or server.name in avoid:
                    continue
                cost = delay = stage.delay()
                if previous is not None:
                    cost += link_delay(previous, server, now)
                if stage.end < layers:
                    cost += boundaries[stage.end].remaining_s
                elif first is not None:
                    cost += link_delay(server, first, now)
                if best is None or cost < best_cost:
                    best, best_cost, best_delay = stage, cost, delay
            if best is None:
                best = self._any(boundary, avoid)
                if best is None:
                    return None
                best_delay = best.delay()
            else:
                boundary.remaining_s += (best_cost - boundary.remaining_s) * _REMAINING_WEIGHT
            if digest is not None:
                home = self._home(boundary, digest, best, best_delay, avoid)
                if home is not None:
                    best, reason = home, "affinity"
            path.append(best)
            token_s += best_delay
            server = best.server
            if previous is None:
                first = server
            else:
                token_s += link_delay(previous, server, now)
            previous = server
            at = best.end
        return path, token_s + link_delay(previous, first, now), reason

    def _home(self, boundary, digest: int, best: StageEstimate, best_delay: float, avoid):
        """Return the stage where the prefix is likely cached, or None if it has too much load.

        Notes: consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018).
        """
        limit = best_delay * self._config.affinity_load
        for stage in boundary.homes(digest):
            server = stage.server
            if server.isolated or server.name in avoid:
                continue
            if stage is best or stage.delay() <= limit:
                return stage
        return None

    @staticmethod
    def _any(boundary, avoid) -> StageEstimate | None:
        usable = [
            stage
            for stage in boundary.stages
            if not stage.server.isolated and stage.server.name not in avoid
        ]
        return min(usable, key=StageEstimate.delay, default=None)

    def _probe(self, graph: StageGraph, request: RouteRequest, now: float):
        """Return a path over a watched server whose probe is due, if there is one."""
        for server in self._fleet.watched.values():
            if now < server.probe_at or server.name in request.avoid:
                continue
            stage = self._fleet.find_stage(request.model, server.name)
            if stage is None:
                continue
            before = _search(graph.stages, 0, stage.stage.first, request.avoid, self._rng)
            after = _search(graph.stages, stage.end, graph.layers, request.avoid, self._rng)
            if before is None or after is None:
                continue
            server.probe_at = now + self._config.probe_s
            server.probing = True
            return [*before, stage, *after]
        return None

    def _isolated(self, graph: StageGraph, avoid):
        """Return the same path on every node that knows the same stages."""
        stages = sorted(
            graph.stages, key=lambda stage: rendezvous_score("isolated", stage.server.name)
        )
        return _search(stages, 0, graph.layers, avoid, None)

    def _rest(self, request: RouteRequest):
        """Search all live stages, slow and isolated ones included, when sampling found none."""
        stages = self._fleet.live_stages(request.model)
        layers = self._fleet.layers(request.model)
        return _search(stages, 0, layers, request.avoid, self._rng)


def _search(stages, first: int, end: int, avoid, rng):
    """Return a path from one layer to another by breadth, or None. Linear in the stages."""
    if first == end:
        return []
    by_first = {}
    for stage in stages:
        if stage.server.name not in avoid:
            by_first.setdefault(stage.stage.first, []).append(stage)
    before = {first: None}
    queue = deque([first])
    while queue:
        at = queue.popleft()
        onward = by_first.get(at, ())
        if rng is not None and len(onward) > 1:
            onward = rng.sample(onward, len(onward))
        for stage in onward:
            if stage.end in before or stage.end > end:
                continue
            before[stage.end] = stage
            if stage.end == end:
                path = []
                while stage is not None:
                    path.append(stage)
                    stage = before[stage.stage.first]
                return path[::-1]
            queue.append(stage.end)
    return None
