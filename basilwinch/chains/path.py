"""Choice of a path: the servers that a request passes through, in order of layers."""

import math
from collections import defaultdict

from basilwinch.chains.layout import Member
from basilwinch.chains.pipe import count_crossings
from basilwinch.record import Record

__all__ = ["PathChoice", "PathFinder", "Stage"]

# Time that a crossing between zones counts for, per pass. All zones share one pipe; a prompt of the
# usual size takes it for about 25 ms, which is spread over the passes of a response.
_CROSSING_MS = 4.0
# Time that a further member costs per pass: the way to it and the wait for the start of its pass.
_MEMBER_MS = 1.0
_MOST_MEMBERS = 32  # the servers refuse longer paths


class PathChoice(Record):
    """A path with its estimates.

    :param members: list of :class:`~basilwinch.chains.layout.Member`
    :param pass_ms: time of a pass, i.e. between two events
    :param read_ms: time to read the prompt
    :param crossings: how often it goes from one zone to another
    """

    __slots__ = ("members", "pass_ms", "read_ms", "crossings")


class PathFinder:
    """Finds the path of least time over servers with room.

    :param load: :class:`~basilwinch.chains.load.FleetLoad`
    """

    __slots__ = ("_load",)

    def __init__(self, load):
        self._load = load

    def find(self, servers, engine, tokens: int, prompt: int, avoid=frozenset(), across=True):
        """Return the best path, or None if no servers with room hold every layer.

        :param servers: entries of the service's servers
        :param engine: :class:`~basilwinch.view.Engine`
        :param tokens: tokens of the request's KV cache
        :param prompt: tokens to read first
        :param avoid: ids of servers to leave out
        :param across: whether the path may cross between zones

        Notes
        -----
        Dynamic programming over the boundaries of the held ranges, from the last layer back. Time
        O(s * b) for s servers and b boundaries.
        """
        # A server without room for its whole range takes no part of it either: a path that left
        # such a server and came back would name it twice.
        stages = [s for s in self._stages(servers, engine, avoid) if s.room >= tokens * s.held]
        cuts = {s.entry.layers[0] for s in stages} | {s.entry.layers[1] for s in stages}
        cuts = sorted(cut for cut in cuts if 0 <= cut <= engine.layers)
        if not cuts or cuts[0] != 0 or cuts[-1] != engine.layers:
            return None
        best = self._solve(stages, cuts, engine, _CROSSING_MS if across else math.inf)
        return self._trace(best, engine, prompt)

    def _stages(self, servers, engine, avoid):
        for entry in servers:
            if entry.layers is None or entry.leaving or entry.id in avoid:
                continue
            kind = engine.kinds.get(entry.kind)
            if kind is None or self._load.is_suspect(entry.id):
                continue
            yield Stage(entry, kind, engine, self._load)

    def _solve(self, stages, cuts, engine, crossing_ms: float):
        """Return by boundary and zone: cost of the rest, stage and next boundary."""
        zones = {stage.entry.zone for stage in stages}
        best = {engine.layers: dict.fromkeys(zones, (0.0, None, None))}
        starting = defaultdict(list)
        for stage in stages:
            first, end = stage.entry.layers
            for cut in cuts:
                if first <= cut < end:
                    starting[cut].append(stage)
        for cut in reversed(cuts[:-1]):
            options = [o for stage in starting[cut] for o in _options(stage, cut, cuts, best)]
            if not options:
                continue
            best[cut] = {
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

    def _trace(self, best, engine, prompt):
        if 0 not in best:
            return None
        cost, stage, end = min(best[0].values(), key=lambda option: option[0])
        if cost == math.inf:
            return None
        zones = []
        members, used = [], set()
        position, pass_ms, read_ms = 0, 0.0, 0.0
        while stage is not None:
            if stage.entry.id in used or len(members) == _MOST_MEMBERS:
                return None
            used.add(stage.entry.id)
            zones.append(stage.entry.zone)
            members.append(Member(stage.entry.id, position, end))
            pass_ms += stage.layer_ms * (end - position)
            read_ms += stage.read_layer_ms * (end - position) * prompt
            position = end
            _, stage, end = best[position][stage.entry.zone]
        return PathChoice(members, pass_ms, read_ms, count_crossings(zones))


def _options(stage, cut, cuts, best):
    """Yield cost, stage and end for each way to go on from a boundary with a stage."""
    last = stage.entry.layers[1]
    for end in cuts:
        if cut < end <= last and end in best:
            rest = best[end][stage.entry.zone][0]
            yield (stage.weighted_ms * (end - cut) + _MEMBER_MS + rest, stage, end)


class Stage:
    """A server with its load, as a part of a path."""

    __slots__ = ("entry", "held", "layer_ms", "weighted_ms", "read_layer_ms", "room")

    def __init__(self, entry, kind, engine, load):
        share = load.at(entry.id)
        held = entry.layers[1] - entry.layers[0]
        scale = kind.step_factor * engine.stride / engine.layers
        context_ms = engine.context_ms * engine.usual_tokens / 1000
        sequence_ms = engine.sequence_ms + context_ms
        self.entry = entry
        self.held = held
        self.layer_ms = scale * (engine.step_ms + sequence_ms * (share.requests + 1))
        # A further request also slows down those that run there.
        self.weighted_ms = self.layer_ms + scale * sequence_ms * share.requests
        self.read_layer_ms = kind.read_factor / engine.read_per_ms / engine.layers
        memory = kind.memory_mb - held * engine.layer_mb
        self.room = memory * 1e6 / engine.token_layer_bytes - share.token_layers
