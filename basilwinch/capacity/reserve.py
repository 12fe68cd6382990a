"""Reserve of chain memory for urgent requests."""

import bisect

__all__ = ["PriorityReserve"]

# A priority is held back while the free share of memory is below this, times the number of more
# urgent priorities in the configuration. Requests that start between two load reports take about as
# much in a full fleet, so the more urgent ones find room meanwhile.
_LEVEL_STEP = 0.05
_MAX_LEVEL = 0.2  # however many priorities there are, four fifths of the memory are for all of them
# A priority is released only this far above its level; the reported load of a full fleet varies by
# about the size of one request at each chain.
_HYSTERESIS = 0.03
_MIN_HELD_S = 0.5  # two report intervals of a small fleet, so that a change shows in the reports
# Share of its requests that each priority may start while it is held back, by the number of more
# urgent priorities; the last one holds for all further ones.
_SHARES = (1.0, 0.4, 0.2)
_MAX_CREDIT = 2.0  # starts of a held-back priority that may come at once


class PriorityReserve:
    """Holds back the less urgent priorities of one service while memory is short.

    ``held_from`` is the rank from which requests are held back, or None. The rank of a priority is
    the number of more urgent ones in the configuration.
    """

    __slots__ = ("_priorities", "held_from", "_changed_at", "_credits")

    def __init__(self):
        self._priorities: list[int] = []
        self.held_from: int | None = None
        self._changed_at = float("-inf")
        self._credits: dict[int, float] = {}

    @property
    def is_needed(self) -> bool:
        """Whether there are several priorities, so that some may be held back."""
        return len(self._priorities) > 1

    def set_priorities(self, priorities) -> None:
        """Replace the priorities of the configuration; nothing is reserved with a single one."""
        self._priorities = sorted(set(priorities))
        if not self.is_needed:
            self.held_from = None
            self._credits.clear()

    def record_request(self, priority: int) -> None:
        """Record a new request, which adds to the share that its priority keeps."""
        rank = self._find_rank(priority)
        share = _SHARES[min(rank, len(_SHARES) - 1)]
        self._credits[rank] = min(_MAX_CREDIT, self._credits.get(rank, 0.0) + share)

    def record_start(self, priority: int) -> None:
        """Record that a new request has got a path."""
        rank = self._find_rank(priority)
        self._credits[rank] = max(0.0, self._credits.get(rank, 0.0) - 1.0)

    def may_start(self, priority: int, free_fraction: float, now: float) -> bool:
        """Return whether new requests of a priority may take a path.

        :param priority: 0 is the highest
        :param free_fraction: free share of the memory of the service's chains
        :param now: time in seconds
        """
        if not self.is_needed:
            return True
        self._update(free_fraction, now)
        rank = self._find_rank(priority)
        if self.held_from is None or rank < self.held_from:
            return True
        return self._credits.get(rank, 0.0) >= 1.0

    def _update(self, free_fraction: float, now: float) -> None:
        held_from = self._find_held_from(free_fraction)
        if held_from == self.held_from:
            return
        if _is_stricter(held_from, self.held_from):
            self.held_from, self._changed_at = held_from, now
            return
        relaxed = self._find_held_from(free_fraction - _HYSTERESIS)
        if _is_stricter(self.held_from, relaxed) and now - self._changed_at >= _MIN_HELD_S:
            self.held_from, self._changed_at = relaxed, now

    def _find_held_from(self, free_fraction: float) -> int | None:
        for rank in range(1, len(self._priorities)):
            if free_fraction < min(_LEVEL_STEP * rank, _MAX_LEVEL):
                return rank
        return None

    def _find_rank(self, priority: int) -> int:
        """Return the number of more urgent priorities in the configuration."""
        return bisect.bisect_left(self._priorities, priority)


def _is_stricter(held_from: int | None, other: int | None) -> bool:
    return held_from is not None and (other is None or held_from < other)
