"""Simple policies to compare the router with."""

from collections import defaultdict

from basilwinch.pipeline import Chain
from basilwinch.routing import RouteChoice

__all__ = ["LeastOutstanding", "RoundRobin"]


class RoundRobin:
    """Takes the stages of each layer boundary in turn; knows nothing of speed or load.

    :param placement: where the layers are
    :param layers: layers of the model
    :param offset: where to start, so that nodes are not in step
    """

    def __init__(self, placement, layers: int, offset: int):
        self.model = placement.model
        self.layers = layers
        self.by_first = defaultdict(list)
        for stage in _connected(placement.stages, layers):
            self.by_first[stage.first].append(stage)
        self.turn = defaultdict(lambda: offset)
        self.own = defaultdict(int)

    def choose(self, request, now):
        """Return a chain, without expectations."""
        at, path = 0, []
        while at < self.layers:
            path.append(self._pick(at))
            at = path[-1].end
        return RouteChoice(Chain(self.model, tuple(path)), 0.0, 0.0)

    def _pick(self, first):
        stages = self.by_first[first]
        self.turn[first] += 1
        return stages[self.turn[first] % len(stages)]

    def begin(self, choice, now):
        """Count the request on its servers."""
        for server in choice.chain.servers:
            self.own[server] += 1

    def observe(self, choice, frame, gap_s, now):
        """Ignore the frame."""

    def finish(self, choice, failure, now):
        """Take the request off its servers."""
        for server in choice.chain.servers:
            self.own[server] -= 1


class LeastOutstanding(RoundRobin):
    """Takes the stage whose server has the fewest requests of this node, ties in turn."""

    def _pick(self, first):
        stages = self.by_first[first]
        self.turn[first] += 1
        start = self.turn[first] % len(stages)
        return min(stages[start:] + stages[:start], key=lambda stage: self.own[stage.server])


def _connected(stages, layers):
    """Return the stages from which the last layer can be reached and that can be reached."""
    start, end = {0}, {layers}
    for stage in sorted(stages, key=lambda stage: stage.first):
        if stage.first in start:
            start.add(stage.end)
    for stage in sorted(stages, key=lambda stage: -stage.end):
        if stage.end in end:
            end.add(stage.first)
    return [stage for stage in stages if stage.first in start and stage.end in end]
