"""Layout of one group of servers: segments of layers, and the servers that hold each segment."""

import math

from basilwinch.pipeline import Stage
from basilwinch.record import Record

__all__ = ["Bundle", "Layout", "Rates", "Segment"]


class Bundle:
    """Models that share segment boundaries, so that one server holds a part of each.

    Models with few requests are bundled because a server of their own would stand idle.
    Boundaries are counted in layers of the deepest model and scaled for the others.

    :param models: tuple of (model, share of tokens) pairs
    :param workload: :class:`~basilwinch.placement.Workload`, for the size of the KV cache
    """

    __slots__ = ("models", "layers", "work", "kv_per_rate")

    def __init__(self, models, workload):
        self.models = tuple(models)
        self.layers = max(model.layers for model, _ in self.models)
        total = sum(share * model.layers for model, share in self.models)
        # Layer tokens that one boundary layer costs for one token a second of the whole mix.
        self.work = total / self.layers
        cached = sum(s * m.layers * workload.kv_bytes_per_rate(m) for m, s in self.models)
        self.kv_per_rate = cached / total

    def weight_bytes(self, length: int) -> int:
        """Return the weights of a segment, at most, for any position of it."""
        return sum(
            model.weight_bytes_per_layer * math.ceil(length * model.layers / self.layers)
            for model, _ in self.models
        )

    def layers_of(self, model, first: int, end: int) -> tuple[int, int]:
        """Return the layer range of one model for a range of boundaries."""
        return first * model.layers // self.layers, end * model.layers // self.layers


class Segment(Record):
    """A run of ``length`` boundary layers of the bundle with index ``bundle``."""

    __slots__ = ("bundle", "length")


class Rates:
    """Rate that a server reaches when it holds a segment, by class of server.

    :param bundles: list of bundles
    :param cache_part: part of the memory that stays free of weights
    """

    __slots__ = ("bundles", "cache_part", "_weights", "_by_class")

    def __init__(self, bundles, cache_part: float):
        self.bundles = bundles
        self.cache_part = cache_part
        self._weights = [[b.weight_bytes(n) for n in range(b.layers + 1)] for b in bundles]
        self._by_class: dict[tuple, list[list[float]]] = {}

    def of(self, server) -> list[list[float]]:
        """Return layer tokens a second by bundle and length; 0 where the weights do not fit."""
        key = (server.tokens_per_s, server.memory_bytes)
        rates = self._by_class.get(key)
        if rates is None:
            rates = self._by_class[key] = [
                [self._rate(*key, bundle, weight) for weight in weights]
                for bundle, weights in zip(self.bundles, self._weights, strict=True)
            ]
        return rates

    def _rate(self, rate, memory, bundle, weight) -> float:
        room = memory - weight
        if weight and room < memory * self.cache_part:
            return 0.0
        return min(rate, room / bundle.kv_per_rate) if bundle.kv_per_rate else rate


class Layout:
    """Segments and their members, with the rate of each segment kept up to date.

    The value of a segment is the rate of the whole mix that it carries. Where ``reserve`` is
    positive, it is cut to what is left after the loss of a zone divided by ``reserve``, so that a
    search for a larger least value also spreads each segment over zones.

    :param servers: list of servers of the group
    :param rates: :class:`Rates`
    :param segments: list of :class:`Segment`
    :param reserve: part of the rate that the loss of any zone must leave
    """

    __slots__ = ("servers", "rates", "lengths", "bundle_of", "members", "reserve", "values", "_of")

    def __init__(self, servers, rates: Rates, segments, reserve: float):
        self.servers = {server.name: server for server in servers}
        self.rates = rates
        self.lengths = [segment.length for segment in segments]
        self.bundle_of = [segment.bundle for segment in segments]
        self.members: list[list] = [[] for _ in segments]
        self.reserve = reserve
        self.values = [0.0] * len(segments)
        self._of = {server.name: rates.of(server) for server in servers}

    def rate(self, server, segment: int, length: int | None = None) -> float:
        """Return the rate of a server in a segment, optionally of another length."""
        length = self.lengths[segment] if length is None else length
        return self._of[server.name][self.bundle_of[segment]][length]

    def value_with(self, segment: int, members, length: int | None = None) -> float:
        """Return the value of a segment with other members or another length."""
        length = self.lengths[segment] if length is None else length
        if length <= 0 or not members:
            return 0.0
        bundle = self.bundle_of[segment]
        of = self._of
        total, by_zone = 0.0, {}
        for server in members:
            rate = of[server.name][bundle][length]
            total += rate
            by_zone[server.zone] = by_zone.get(server.zone, 0.0) + rate
        if self.reserve:
            total = min(total, (total - max(by_zone.values())) / self.reserve)
        return total / (self.rates.bundles[bundle].work * length)

    def place(self, segment: int, members, length: int | None = None) -> None:
        """Set the members of a segment, optionally with a new length."""
        if length is not None:
            self.lengths[segment] = length
        self.members[segment] = members
        self.values[segment] = self.value_with(segment, members)

    def plain_rate(self) -> float:
        """Return the rate of the mix that the layout carries while all servers live."""
        rate = math.inf
        for index, members in enumerate(self.members):
            total = sum(self.rate(server, index) for server in members)
            bundle = self.rates.bundles[self.bundle_of[index]]
            rate = min(rate, total / (bundle.work * self.lengths[index]))
        return 0.0 if rate is math.inf else rate

    def stages(self) -> dict[str, list[Stage]]:
        """Return the stages by model name; segments of a bundle follow each other in order."""
        found: dict[str, list[Stage]] = {}
        position = [0] * len(self.rates.bundles)
        for index, length in enumerate(self.lengths):
            number = self.bundle_of[index]
            bundle = self.rates.bundles[number]
            first, end = position[number], position[number] + length
            position[number] = end
            for model, _ in bundle.models:
                low, high = bundle.layers_of(model, first, end)
                if low < high:
                    stages = found.setdefault(model.name, [])
                    stages.extend(Stage(server.name, low, high) for server in self.members[index])
        return found
