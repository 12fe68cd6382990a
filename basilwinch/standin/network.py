"""Delays of the links between simulated engines."""

import math
import random

__all__ = ["Network"]


class Network:
    """Random one-way delays between servers and zones, up to 100 times apart by default.

    The delay of a link is drawn log-uniformly by a generator seeded with both names, so it does not
    depend on the order in which links are used. It is the same in both directions.

    :param zones: zone by server name; a name without an entry is its own zone
    :param seed: seed of the delays
    :param same_zone_s: range of the one-way delay within a zone in seconds
    :param cross_zone_s: range of the one-way delay between zones in seconds
    :param token_transfer_share: transfer time of one token's activations as a share of the delay
    """

    __slots__ = (
        "_zones",
        "_seed",
        "_same_zone_s",
        "_cross_zone_s",
        "token_transfer_share",
        "_delays",
        "_factors",
    )

    def __init__(
        self,
        zones: dict[str, str],
        seed: int = 0,
        same_zone_s: tuple[float, float] = (0.00002, 0.0004),
        cross_zone_s: tuple[float, float] = (0.0004, 0.002),
        token_transfer_share: float = 0.01,
    ):
        self._zones = zones
        self._seed = seed
        self._same_zone_s = same_zone_s
        self._cross_zone_s = cross_zone_s
        self.token_transfer_share = token_transfer_share
        self._delays = {}
        self._factors = {}

    def delay(self, source: str, target: str) -> float:
        """Return the one-way delay in seconds, cached after the first use of a link."""
        delay = self._delays.get((source, target))
        if delay is None:
            delay = self._delays[source, target] = self._draw(source, target)
        return delay

    def transfer(self, source: str, target: str, tokens: int) -> float:
        """Return the seconds to send the activations of ``tokens`` tokens."""
        return self.delay(source, target) * (1 + self.token_transfer_share * tokens)

    def degrade(self, link: tuple[str, str], factor: float) -> None:
        """Multiply the delay of a link in both directions; ``factor`` 1 restores it."""
        for pair in (link, link[::-1]):
            self._factors[pair] = factor
            self._delays.pop(pair, None)

    def _draw(self, source: str, target: str) -> float:
        if source == target:
            return 0.0
        first, second = sorted((source, target))
        in_same_zone = self._zones.get(first, first) == self._zones.get(second, second)
        low, high = self._same_zone_s if in_same_zone else self._cross_zone_s
        rng = random.Random(f"{self._seed}/{first}/{second}")
        delay = math.exp(rng.uniform(math.log(low), math.log(high)))
        return delay * self._factors.get((source, target), 1.0)
