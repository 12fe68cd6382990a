"""Simple policies to compare the router with."""

from collections import defaultdict

from basilwinch.pipeline import Chain
from basilwinch.routing import RouteChoice

__all__ = ["LeastOutstanding", "RoundRobin"]


class RoundRobin:
    """Takes the stages that start at the same layer in turn; ignores speed and load.

    :param placement: which servers hold which layers of the model
    :param layers: layers of the model
    :param offset: position of the first turn; it differs by node, so that the nodes do not choose
        the same servers at the same time
    """

    def __init__(self, placement, layers: int, offset: int):
        self.model = placement.model
        self.layers = layers
        self.stages_by_first_layer = defaultdict(list)
        for stage in _connected(placement.stages, layers):
            self.stages_by_first_layer[stage.first].append(stage)
        self.turns = defaultdict(lambda: offset)
        self.open_requests = defaultdict(int)

    def choose(self, request, now):
        """Return a chain, with expected times of zero."""
        layer, path = 0, []
        while layer < self.layers:
            path.append(self._pick(layer))
            layer = path[-1].end
        return RouteChoice(Chain(self.model, tuple(path)), 0.0, 0.0)

    def _pick(self, first):
        stages = self.stages_by_first_layer[first]
        self.turns[first] += 1
        return stages[self.turns[first] % len(stages)]

    def begin(self, choice, now):
        """Count the request on its servers."""
        for server in choice.chain.servers:
            self.open_requests[server] += 1

    def observe(self, choice, frame, gap_s, now):
        """Ignore the frame."""

    def finish(self, choice, failure, now):
        """Take the request off its servers."""
        for server in choice.chain.servers:
            self.open_requests[server] -= 1


class LeastOutstanding(RoundRobin):
    """Takes the stage whose server has the fewest open requests of this node; ties in turn."""

    def _pick(self, first):
        stages = self.stages_by_first_layer[first]
        self.turns[first] += 1
        start = self.turns[first] % len(stages)
        return min(
            stages[start:] + stages[:start], key=lambda stage: self.open_requests[stage.server]
        )


def _connected(stages, layers):
    """Return the stages that lie on a chain from the first layer to the last."""
    reachable, leads_to_end = {0}, {layers}
    for stage in sorted(stages, key=lambda stage: stage.first):
        if stage.first in reachable:
            reachable.add(stage.end)
    for stage in sorted(stages, key=lambda stage: -stage.end):
        if stage.end in leads_to_end:
            leads_to_end.add(stage.first)
    return [stage for stage in stages if stage.first in reachable and stage.end in leads_to_end]
