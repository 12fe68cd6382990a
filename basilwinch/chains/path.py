"""Selection of a path: the servers that a request passes through, in order of their layers."""

import math
from collections import defaultdict

from basilwinch.chains.layout import ChainMember
from basilwinch.chains.zone_link import count_crossings
from basilwinch.record import Record

__all__ = ["Path", "PathFinder", "Stage"]

# Cost of a crossing between zones, per pass. All zones share one link, and the transfer of a prompt
# of mean size occupies it for about 25 ms, which are spread over the passes of a response.
_ZONE_CROSSING_MS = 4.0
# Cost of each member, per pass: the network transfer and the wait until the member starts its pass.
_MEMBER_OVERHEAD_MS = 1.0
_MAX_MEMBERS = 32  # servers refuse longer paths


class Path(Record):
    """A path with its estimates.

    :param members: list of :class:`~basilwinch.chains.layout.ChainMember`
    :param pass_ms: time of one pass through all members, i.e. between two events, in milliseconds
    :param prefill_ms: time to process the prompt, in milliseconds
    :param crossings: number of pairs of successive members in different zones
    """

    __slots__ = ("members", "pass_ms", "prefill_ms", "crossings")


class PathFinder:
    """Finds the fastest path over servers with free KV cache.

    :param load: :class:`~basilwinch.chains.load.FleetLoad`
    """

    __slots__ = ("_load",)

    def __init__(self, load):
        self._load = load

    def find(
        self,
        servers,
        engine,
        tokens: int,
        prompt_tokens: int,
        avoid=frozenset(),
        cross_zones=True,
        avoid_heads=frozenset(),
    ):
        """Return the best path, or None if there is none over servers with enough memory.

        :param servers: entries of the service's servers
        :param engine: :class:`~basilwinch.view.Engine`
        :param tokens: tokens of the request's KV cache
        :param prompt_tokens: tokens of the prompt, which are processed first
        :param avoid: ids of servers to leave out
        :param cross_zones: whether the path may cross between zones
        :param avoid_heads: ids of servers that must not be the first of the path
        :returns: :class:`Path` or None

        Notes
        -----
        Dynamic programming over the boundaries of the servers' layer ranges, from the last layer
        to the first. Time O(s * b) for s servers and b boundaries.
        """
        # A server without memory for the request in all its layers is left out altogether: a path
        # that used only some of these layers might return to the server and name it twice.
        stages = [
            s
            for s in self._iter_stages(servers, engine, avoid)
            if s.free_token_layers >= tokens * s.layer_count
        ]
        boundaries = {s.entry.layers[0] for s in stages} | {s.entry.layers[1] for s in stages}
        boundaries = sorted(boundary for boundary in boundaries if 0 <= boundary <= engine.layers)
        if not boundaries or boundaries[0] != 0 or boundaries[-1] != engine.layers:
            return None
        crossing_ms = _ZONE_CROSSING_MS if cross_zones else math.inf
        best = self._solve(stages, boundaries, engine, crossing_ms, avoid_heads)
        return self._trace_path(best, engine, prompt_tokens)

    def _iter_stages(self, servers, engine, avoid):
        for entry in servers:
            if entry.layers is None or entry.leaving or entry.id in avoid:
                continue
            kind = engine.kinds.get(entry.kind)
            if kind is None or self._load.is_suspect(entry.id):
                continue
            yield Stage(entry, kind, engine, self._load)

    def _solve(self, stages, boundaries, engine, crossing_ms: float, avoid_heads):
        """Return the best continuation by boundary and by zone of the member before the boundary.

        :returns: cost from the boundary to the last layer in milliseconds for each pass, stage that
            starts at the boundary, and next boundary
        """
        zones = {stage.entry.zone for stage in stages}
        best = {engine.layers: dict.fromkeys(zones, (0.0, None, None))}
        starting = defaultdict(list)
        for stage in stages:
            first, end = stage.entry.layers
            for boundary in boundaries:
                if first <= boundary < end and (boundary or stage.entry.id not in avoid_heads):
                    starting[boundary].append(stage)
        for boundary in reversed(boundaries[:-1]):
            options = [
                o
                for stage in starting[boundary]
                for o in _iter_continuations(stage, boundary, boundaries, best)
            ]
            if not options:
                continue
            best[boundary] = {
                zone: min(
                    (
                        (cost + (crossing_ms if stage.entry.zone != zone else 0.0), stage, end)
                        for cost, stage, end in options
                    ),
                    key=lambda option: option[0],
                )
                for zone in zones
            }
        return best

    def _trace_path(self, best, engine, prompt_tokens):
        if 0 not in best:
            return None
        cost, stage, end = min(best[0].values(), key=lambda option: option[0])
        if cost == math.inf:
            return None
        zones = []
        members, used = [], set()
        position, pass_ms, prefill_ms = 0, 0.0, 0.0
        while stage is not None:
            if stage.entry.id in used or len(members) == _MAX_MEMBERS:
                return None
            used.add(stage.entry.id)
            zones.append(stage.entry.zone)
            members.append(ChainMember(stage.entry.id, position, end))
            pass_ms += stage.layer_ms * (end - position)
            prefill_ms += stage.prefill_token_layer_ms * (end - position) * prompt_tokens
            position = end
            _, stage, end = best[position][stage.entry.zone]
        return Path(members, pass_ms, prefill_ms, count_crossings(zones))


def _iter_continuations(stage, boundary, boundaries, best):
    """Yield (cost, stage, end) for each range that a stage can run from a boundary."""
    last = stage.entry.layers[1]
    for end in boundaries:
        if boundary < end <= last and end in best:
            rest = best[end][stage.entry.zone][0]
            yield (
                stage.layer_cost_ms * (end - boundary) + _MEMBER_OVERHEAD_MS + rest,
                stage,
                end,
            )


class Stage:
    """A server as a possible stage of a path, with estimates from its load.

    ``layer_ms`` is the time for each layer and pass, and ``layer_cost_ms`` adds the delay that the
    request causes to others. ``idle_layer_ms`` is the time for each layer and pass of a request
    that runs alone, and ``request_layer_ms`` what each further one adds to it.
    ``prefill_token_layer_ms`` is the time for each layer and token of the prompt. All are in
    milliseconds. ``requests`` is the number of requests on the server, and ``free_token_layers``
    its free KV cache, in tokens times layers.
    """

    __slots__ = (
        "entry",
        "layer_count",
        "layer_ms",
        "layer_cost_ms",
        "idle_layer_ms",
        "request_layer_ms",
        "requests",
        "prefill_token_layer_ms",
        "free_token_layers",
    )

    def __init__(self, entry, kind, engine, load):
        total = load.get_load(entry.id)
        layer_count = entry.layers[1] - entry.layers[0]
        scale = kind.step_factor * engine.stride / engine.layers
        context_ms = engine.context_ms * engine.mean_request_tokens / 1000
        sequence_ms = engine.sequence_ms + context_ms
        self.entry = entry
        self.layer_count = layer_count
        self.requests = total.requests
        self.idle_layer_ms = scale * (engine.step_ms + sequence_ms)
        self.request_layer_ms = scale * sequence_ms
        self.layer_ms = scale * (engine.step_ms + sequence_ms * (total.requests + 1))
        # Each request that runs there is delayed by the additional time of the further one.
        self.layer_cost_ms = self.layer_ms + scale * sequence_ms * total.requests
        self.prefill_token_layer_ms = (
            kind.prefill_factor / engine.prefill_tokens_per_ms / engine.layers
        )
        free_mb = kind.memory_mb - layer_count * engine.layer_mb
        self.free_token_layers = free_mb * 1e6 / engine.token_layer_bytes - total.token_layers
