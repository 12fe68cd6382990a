"""Graph of the layer boundaries of a model, in which each path is a chain."""

from bisect import bisect_left
from collections import defaultdict, deque
from itertools import accumulate
from zlib import crc32

from basilwinch.routing.estimate import StageEstimate

__all__ = ["Boundary", "StageGraph"]

_RING_POINTS_PER_STAGE = 8
# Stages per cache key; the second one is used when the first is overloaded.
_AFFINITY_STAGES = 2
_AFFINITY_CACHE_SIZE = 2_000


class Boundary:
    """Stages that start at the same layer and lead to the last layer.

    :param stages: list of :class:`~basilwinch.routing.estimate.StageEstimate`
    """

    __slots__ = (
        "stages",
        "cumulative_weights",
        "total_weight",
        "remaining_s",
        "_ring",
        "_ring_stages",
        "_affinity_cache",
    )

    def __init__(self, stages: list[StageEstimate]):
        self.stages = stages
        # The minimum weight keeps stages without flow selectable.
        self.cumulative_weights = list(accumulate(max(stage.flow, 1e-9) for stage in stages))
        self.total_weight = self.cumulative_weights[-1]
        #: Expected seconds per token from here to the end of the chain, learnt from chosen paths.
        self.remaining_s = 0.0
        points = sorted(
            (crc32(f"{stage.stage.server}/{number}".encode()), index)
            for index, stage in enumerate(stages)
            for number in range(_RING_POINTS_PER_STAGE)
        )
        self._ring = [point for point, _ in points]
        self._ring_stages = [stages[index] for _, index in points]
        self._affinity_cache = {}

    def affinity_stages(self, key_hash: int) -> list[StageEstimate]:
        """Return the first stages on the hash ring for a cache key.

        All nodes that know the same stages get the same result.

        :param key_hash: CRC-32 of the cache key
        """
        found = self._affinity_cache.get(key_hash)
        if found is None:
            if len(self._affinity_cache) >= _AFFINITY_CACHE_SIZE:
                self._affinity_cache.clear()
            found = self._affinity_cache[key_hash] = self._find_affinity_stages(key_hash)
        return found

    def _find_affinity_stages(self, key_hash: int) -> list[StageEstimate]:
        start = bisect_left(self._ring, key_hash)
        found = []
        for offset in range(min(len(self._ring), 4 * _AFFINITY_STAGES)):
            stage = self._ring_stages[(start + offset) % len(self._ring)]
            if stage not in found:
                found.append(stage)
                if len(found) == _AFFINITY_STAGES:
                    break
        return found


class StageGraph:
    """Graph with layer boundaries as vertices and stages as edges, for one model.

    :param layers: number of layers
    :param stages: list of :class:`~basilwinch.routing.estimate.StageEstimate`
    """

    __slots__ = ("layers", "boundaries", "flow", "stages")

    def __init__(self, layers: int, stages: list[StageEstimate]):
        self.layers = layers
        self.stages = _connected(layers, stages)
        #: Maximum flow from the first layer to the last, in tokens per second.
        self.flow = _assign_flows(layers, self.stages)
        by_first = defaultdict(list)
        for stage in self.stages:
            by_first[stage.stage.first].append(stage)
        self.boundaries = {first: Boundary(group) for first, group in by_first.items()}
        self._set_remaining()

    @property
    def complete(self) -> bool:
        """Whether a chain covers all layers."""
        return 0 in self.boundaries

    def _set_remaining(self) -> None:
        remaining = {self.layers: 0.0}
        for first in sorted(self.boundaries, reverse=True):
            boundary = self.boundaries[first]
            total = sum(max(stage.flow, 1e-9) for stage in boundary.stages)
            boundary.remaining_s = remaining[first] = (
                sum(
                    max(stage.flow, 1e-9) * (stage.delay() + remaining[stage.end])
                    for stage in boundary.stages
                )
                / total
            )


def _connected(layers: int, stages: list[StageEstimate]) -> list[StageEstimate]:
    """Return the stages on a path from the first layer to the last."""
    from_start = {0}
    for stage in sorted(stages, key=lambda stage: stage.stage.first):
        if stage.stage.first in from_start:
            from_start.add(stage.end)
    to_end = {layers}
    for stage in sorted(stages, key=lambda stage: stage.end, reverse=True):
        if stage.end in to_end:
            to_end.add(stage.stage.first)
    return [stage for stage in stages if stage.stage.first in from_start and stage.end in to_end]


def _assign_flows(layers: int, stages: list[StageEstimate]) -> float:
    """Assign each stage its part of a maximum flow and return the flow in tokens per second.

    Notes: shortest augmenting paths (Edmonds and Karp 1972) with one edge per layer range, so the
    cost depends on the number of distinct ranges, not on the number of servers.
    """
    ranges = defaultdict(list)
    for stage in stages:
        stage.flow = 0.0
        ranges[stage.stage.first, stage.end].append(stage)
    capacity = {edge: sum(stage.rate for stage in members) for edge, members in ranges.items()}
    residual = defaultdict(dict)
    for (first, end), rate in capacity.items():
        residual[first][end] = rate
        residual[end].setdefault(first, 0.0)
    total = 0.0
    while path := _find_path(residual, layers):
        amount = min(residual[first][end] for first, end in path)
        for first, end in path:
            residual[first][end] -= amount
            residual[end][first] = residual[end].get(first, 0.0) + amount
        total += amount
    for (first, end), members in ranges.items():
        flow = capacity[first, end] - residual[first][end]
        for stage in members:
            stage.flow = max(0.0, flow) * stage.rate / capacity[first, end]
    return total


def _find_path(residual, layers: int) -> list[tuple[int, int]]:
    predecessors = {0: None}
    queue = deque([0])
    while queue:
        layer = queue.popleft()
        if layer == layers:
            path = []
            while predecessors[layer] is not None:
                path.append((predecessors[layer], layer))
                layer = predecessors[layer]
            return path[::-1]
        for successor, rate in residual[layer].items():
            # The minimum rate in tokens per second ends the search despite rounding errors.
            if rate > 1e-6 and successor not in predecessors:
                predecessors[successor] = layer
                queue.append(successor)
    return []
