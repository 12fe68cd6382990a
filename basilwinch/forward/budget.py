"""Budget of repeats that all nodes share."""

from collections import deque

__all__ = ["RetryBudget"]

# Part of the allowance that is used; the rest covers requests that nodes count in another window.
_USED_PART = 0.7


class RetryBudget:
    """Allows repeats at a service in proportion to its requests in a sliding window.

    Each node uses its own requests and its part of the slack, so that the sum over all nodes keeps
    to the budget without a call between them.

    :param ratio: repeats for each request
    :param slack: further repeats in a window, over all nodes
    :param window_s: length of the window in seconds
    :param nodes: function that returns the number of nodes
    :param clock: function that returns the time in seconds

    >>> budget = RetryBudget(0.2, 10, 10.0, lambda: 1, lambda: 0.0)
    >>> [budget.take("s") for _ in range(8)].count(True)
    7
    """

    __slots__ = ("_ratio", "_slack", "_window_s", "_nodes", "_clock", "_requests", "_repeats")

    def __init__(self, ratio, slack, window_s, nodes, clock):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._nodes = nodes
        self._clock = clock
        self._requests: dict[str, deque] = {}
        self._repeats: dict[str, deque] = {}

    def count_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._recent(self._requests, service).append(self._clock())

    def take(self, service: str) -> bool:
        """Return whether a repeat may be sent, and count it."""
        repeats = self._recent(self._repeats, service)
        requests = len(self._recent(self._requests, service))
        allowed = _USED_PART * (self._ratio * requests + self._slack / self._nodes())
        if len(repeats) >= allowed:
            return False
        repeats.append(self._clock())
        return True

    def _recent(self, table, service) -> deque:
        times = table.setdefault(service, deque())
        start = self._clock() - self._window_s
        while times and times[0] < start:
            times.popleft()
        return times
