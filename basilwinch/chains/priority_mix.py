"""Shares of the priorities among recent requests."""

import math

__all__ = ["PriorityMix"]

# Covers some tens of requests at a node of a large fleet, and follows a burst of one kind.
_HALF_LIFE_S = 5.0


class PriorityMix:
    """Counts requests by priority, with weights that halve every ``_HALF_LIFE_S``.

    >>> mix = PriorityMix()
    >>> for priority in (0, 0, 0, 2):
    ...     mix.count(priority, 1.0)
    >>> mix.find_range(0), mix.find_range(1), mix.find_range(2)
    ((0.0, 0.75), (0.75, 0.75), (0.75, 1.0))
    """

    __slots__ = ("_counts", "_counted_at")

    def __init__(self):
        self._counts: dict[int, float] = {}
        self._counted_at = 0.0

    def count(self, priority: int, now: float) -> None:
        """Count a request.

        :param priority: 0 is the highest
        :param now: time in seconds
        """
        factor = math.exp2(-max(0.0, now - self._counted_at) / _HALF_LIFE_S)
        self._counts = {p: count * factor for p, count in self._counts.items()}
        self._counts[priority] = self._counts.get(priority, 0.0) + 1.0
        self._counted_at = now

    def find_range(self, priority: int) -> tuple[float, float]:
        """Return the range of a priority if all recent requests are sorted by priority.

        Both ends are fractions of the requests; the range is empty for a priority without any.
        """
        total = sum(self._counts.values())
        if not total:
            return 0.0, 1.0
        before = sum(count for p, count in self._counts.items() if p < priority)
        return before / total, (before + self._counts.get(priority, 0.0)) / total
