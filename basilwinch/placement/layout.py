"""Layout of a group of servers: its segments of layers and the servers that hold each segment."""

import math

from basilwinch.pipeline import Stage
from basilwinch.record import Record

__all__ = ["Bundle", "Layout", "Segment", "round_spans"]


class Bundle:
    """Models whose layers are placed on the same servers.

    Models with few requests are bundled because servers of their own would be mostly idle. Work is
    counted in layer tokens; one layer token is one token through one layer.

    :param models: tuple of (model, share of tokens) pairs
    :param workload: :class:`~basilwinch.placement.Workload`, for the size of the KV cache
    :param cache_memory_share: share of the memory of a server that is reserved for KV cache
    """

    __slots__ = (
        "models",
        "shares",
        "weight_bytes_per_layer",
        "kv_bytes_per_rate",
        "cache_memory_share",
        "_rates",
    )

    def __init__(self, models, workload, cache_memory_share: float):
        self.models = tuple(model for model, _ in models)
        self.shares = tuple(share for _, share in models)
        self.weight_bytes_per_layer = tuple(model.weight_bytes_per_layer for model in self.models)
        total = sum(share * model.layers for model, share in models)
        cached = sum(s * m.layers * workload.kv_bytes_per_rate(m) for m, s in models)
        self.kv_bytes_per_rate = cached / total
        self.cache_memory_share = cache_memory_share
        self._rates: dict[tuple, float] = {}

    def work_of(self, lengths) -> float:
        """Return the layer tokens that a segment computes for one token of the mix of models."""
        return sum(map(float.__mul__, self.shares, map(float, lengths)))

    def weight_bytes_of(self, lengths) -> int:
        """Return the bytes of weights of a segment."""
        return sum(map(int.__mul__, self.weight_bytes_per_layer, lengths))

    def rate(self, server, weight_bytes: int) -> float:
        """Return the layer tokens a second of a server.

        :param weight_bytes: bytes of weights that the server holds
        :returns: the rate, 0 if the weights do not fit
        """
        key = (server.tokens_per_s, server.memory_bytes, weight_bytes)
        rate = self._rates.get(key)
        if rate is None:
            free_bytes = server.memory_bytes - weight_bytes
            rate = server.tokens_per_s
            if weight_bytes and free_bytes < server.memory_bytes * self.cache_memory_share:
                rate = 0.0
            elif self.kv_bytes_per_rate:
                rate = min(rate, free_bytes / self.kv_bytes_per_rate)
            self._rates[key] = rate
        return rate


class Segment(Record):
    """Consecutive layers of each model of a bundle.

    :param bundle: index of the bundle
    :param lengths: tuple of the number of layers of each model
    """

    __slots__ = ("bundle", "lengths")


class Layout:
    """Segments and their members, with the mix rate of each segment kept up to date.

    The mix rate of a segment is the rate of the mix of models that it can serve. If ``reserve`` is
    positive, the mix rate is at most the rate that is left after the loss of any zone, divided by
    ``reserve``, so that a search that raises the minimum mix rate also spreads each segment over
    zones.

    :param servers: list of servers of the group
    :param bundles: list of :class:`Bundle`
    :param segments: list of :class:`Segment`
    :param reserve: share of the rate of each segment to be left after the loss of any zone
    """

    __slots__ = ("servers", "bundles", "lengths", "bundle_of", "members", "reserve", "mix_rates")

    def __init__(self, servers, bundles, segments, reserve: float):
        self.servers = {server.name: server for server in servers}
        self.bundles = bundles
        self.lengths = [segment.lengths for segment in segments]
        self.bundle_of = [segment.bundle for segment in segments]
        self.members: list[list] = [[] for _ in segments]
        self.reserve = reserve
        self.mix_rates = [0.0] * len(segments)

    def rate(self, server, segment: int) -> float:
        """Return the layer tokens a second of a server in a segment."""
        bundle = self.bundles[self.bundle_of[segment]]
        return bundle.rate(server, bundle.weight_bytes_of(self.lengths[segment]))

    def mix_rate_with(self, segment: int, members, lengths=None, reserve=None) -> float:
        """Return the mix rate of a segment with other members, lengths or reserve."""
        bundle = self.bundles[self.bundle_of[segment]]
        lengths = self.lengths[segment] if lengths is None else lengths
        reserve = self.reserve if reserve is None else reserve
        weight_bytes = bundle.weight_bytes_of(lengths)
        if not weight_bytes or not members:
            return 0.0
        total, by_zone = 0.0, {}
        for server in members:
            rate = bundle.rate(server, weight_bytes)
            total += rate
            by_zone[server.zone] = by_zone.get(server.zone, 0.0) + rate
        if reserve:
            total = min(total, (total - max(by_zone.values())) / reserve)
        return total / bundle.work_of(lengths)

    def set_members(self, segment: int, members, lengths=None) -> None:
        """Set the members of a segment, optionally with new lengths."""
        if lengths is not None:
            self.lengths[segment] = lengths
        self.members[segment] = members
        self.mix_rates[segment] = self.mix_rate_with(segment, members)

    def copy(self) -> "Layout":
        """Return a copy that shares the bundles and servers."""
        segments = map(Segment, self.bundle_of, self.lengths)
        other = Layout(self.servers.values(), self.bundles, list(segments), self.reserve)
        other.members = [list(members) for members in self.members]
        other.mix_rates = list(self.mix_rates)
        return other

    def drop_reserve(self) -> None:
        """Drop the reserve, for groups whose servers cannot provide it."""
        self.reserve = 0.0
        for segment, members in enumerate(self.members):
            self.set_members(segment, members)

    def rate_without_failures(self) -> float:
        """Return the rate of the mix of models that the layout serves while all servers are live.

        The reserve does not reduce it.
        """
        rates = (
            self.mix_rate_with(i, members, None, 0.0) for i, members in enumerate(self.members)
        )
        return min(rates, default=0.0)

    def stages(self) -> dict[str, list[Stage]]:
        """Return the stages by model name; the segments of a bundle cover its layers in order."""
        found: dict[str, list[Stage]] = {}
        next_layer = [[0] * len(bundle.models) for bundle in self.bundles]
        for index, lengths in enumerate(self.lengths):
            bundle_index = self.bundle_of[index]
            holders = [s.name for s in self.members[index] if self.rate(s, index) > 0]
            for model_index, (model, length) in enumerate(
                zip(self.bundles[bundle_index].models, lengths, strict=True)
            ):
                first = next_layer[bundle_index][model_index]
                next_layer[bundle_index][model_index] = first + length
                if length:
                    stages = found.setdefault(model.name, [])
                    stages.extend(Stage(name, first, first + length) for name in holders)
        return found


def round_spans(spans, total: int, minimum: int = 0) -> tuple[int, ...]:
    """Round spans to integers with a given sum, by the largest remainder method.

    :param minimum: minimum of each integer, if the sum allows it

    >>> round_spans([1.5, 1.5, 3.0], 6)
    (2, 1, 3)
    """
    scale = total / sum(spans)
    exact = [span * scale for span in spans]
    lengths = [max(minimum, math.floor(value)) for value in exact]
    by_remainder = sorted(range(len(spans)), key=lambda i: lengths[i] - exact[i])
    for index in range(total - sum(lengths)):
        lengths[by_remainder[index % len(by_remainder)]] += 1
    while sum(lengths) > total:
        lengths[lengths.index(max(lengths))] -= 1
    return tuple(lengths)
