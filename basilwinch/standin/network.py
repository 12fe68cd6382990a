"""Links between stand-in engines."""

import math
import random

__all__ = ["Network"]


class Network:
    """Delays of the links between named ends, which may differ 100-fold.

    A link's delay is drawn log-uniformly from its range by a generator seeded with the names, so it
    does not depend on the order of use. Links are the same in both directions.

    :param zones: zone by server name; an unknown name counts as a zone
    :param seed: seed of the delays
    :param near: range of the one-way delay inside a zone, seconds
    :param far: range of the one-way delay between zones, seconds
    :param token_share: transfer time of one token's activations as a share of the delay
    """

    __slots__ = ("_zones", "_seed", "_near", "_far", "token_share", "_delays", "_factors")

    def __init__(
        self,
        zones: dict[str, str],
        seed: int = 0,
        near: tuple[float, float] = (0.00002, 0.0004),
        far: tuple[float, float] = (0.0004, 0.002),
        token_share: float = 0.01,
    ):
        self._zones = zones
        self._seed = seed
        self._near = near
        self._far = far
        self.token_share = token_share
        self._delays = {}
        self._factors = {}

    def delay(self, source: str, target: str) -> float:
        """Return the one-way delay in seconds. Constant time after the first use of a link."""
        delay = self._delays.get((source, target))
        if delay is None:
            delay = self._delays[source, target] = self._draw(source, target)
        return delay

    def transfer(self, source: str, target: str, tokens: int) -> float:
        """Return the seconds until the activations of ``tokens`` tokens have arrived."""
        return self.delay(source, target) * (1 + self.token_share * tokens)

    def degrade(self, link: tuple[str, str], factor: float) -> None:
        """Multiply the delay of a link, in both directions; ``factor`` 1 restores it."""
        for pair in (link, link[::-1]):
            self._factors[pair] = factor
            self._delays.pop(pair, None)

    def _draw(self, source: str, target: str) -> float:
        if source == target:
            return 0.0
        first, second = sorted((source, target))
        near = self._zones.get(first, first) == self._zones.get(second, second)
        low, high = self._near if near else self._far
        rng = random.Random(f"{self._seed}/{first}/{second}")
        delay = math.exp(rng.uniform(math.log(low), math.log(high)))
        return delay * self._factors.get((source, target), 1.0)
