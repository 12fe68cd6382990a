"""Retry budget that all nodes share."""

from collections import deque

__all__ = ["RetryBudget"]

# Fraction of the budget that is used; the rest covers requests near the edges of the window, which
# nodes may count in another one.
_USABLE_FRACTION = 0.7
# Fraction of the usable budget that is kept for responses that have begun. Their callers can't
# repeat them; a request that has not begun can be refused, and sent again by its caller.
_RESERVED_FRACTION = 0.25


class RetryBudget:
    """Allows retries at a service in proportion to its requests in a sliding window.

    Each node counts its own requests and uses its part of the slack, so that all nodes together
    stay within the budget without calls between them.

    :param ratio: retries allowed for each request
    :param slack: further retries allowed in a window, over all nodes
    :param window_s: length of the window in seconds
    :param nodes: function that returns the number of nodes
    :param clock: function that returns the time in seconds

    >>> budget = RetryBudget(0.2, 10, 10.0, lambda: 1, lambda: 0.0)
    >>> [budget.take("s", leaves_reserve=True) for _ in range(8)].count(True)
    6
    >>> [budget.take("s") for _ in range(8)].count(True)
    1
    """

    __slots__ = ("_ratio", "_slack", "_window_s", "_nodes", "_clock", "_requests", "_retries")

    def __init__(self, ratio, slack, window_s, nodes, clock):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._nodes = nodes
        self._clock = clock
        self._requests: dict[str, deque] = {}
        self._retries: dict[str, deque] = {}

    def count_request(self, service: str) -> None:
        """Count a request from a caller."""
        self._get_recent(self._requests, service).append(self._clock())

    def take(self, service: str, leaves_reserve: bool = False) -> bool:
        """Return whether a retry may be sent, and count it if so.

        :param leaves_reserve: whether to use only what is not kept for responses that have begun
        """
        retries = self._get_recent(self._retries, service)
        requests = len(self._get_recent(self._requests, service))
        allowed = _USABLE_FRACTION * (self._ratio * requests + self._slack / self._nodes())
        if leaves_reserve:
            allowed *= 1 - _RESERVED_FRACTION
        if len(retries) >= allowed:
            return False
        retries.append(self._clock())
        return True

    def _get_recent(self, times_by_service, service) -> deque:
        times = times_by_service.setdefault(service, deque())
        start = self._clock() - self._window_s
        while times and times[0] < start:
            times.popleft()
        return times
