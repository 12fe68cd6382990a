"""Retry budget and exponential backoff."""

import random

__all__ = ["RetryBudget", "draw_backoff"]


class RetryBudget:
    """Limits retries to a ratio of the requests.

    Each request deposits ``ratio`` retries and each retry takes one. Over all nodes, retries are
    bounded by the same ratio of the fleet's requests, so they cannot amplify an overload.

    :param ratio: retries per request
    :param window_s: time constant in seconds with which deposits expire
    :param reserve: retries available at any request rate; refilled within ``window_s``

    >>> budget = RetryBudget(0.5, 60.0, 1.0)
    >>> budget.take(0.0), budget.take(0.0)
    (True, False)
    """

    __slots__ = ("_ratio", "_window_s", "_reserve", "_balance", "_recent_requests", "_updated_at")

    def __init__(self, ratio: float, window_s: float, reserve: float):
        self._ratio = ratio
        self._window_s = window_s
        self._reserve = reserve
        self._balance = reserve
        self._recent_requests = 0.0
        self._updated_at = None

    def deposit(self, now: float) -> None:
        """Add the retries of a new request."""
        self._advance(now)
        self._recent_requests += 1.0
        self._balance = min(self._balance + self._ratio, self._max_balance())

    def take(self, now: float) -> bool:
        """Take one retry; return False if the budget is empty."""
        self._advance(now)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def is_empty(self, now: float) -> bool:
        """Return whether a retry would be refused now."""
        self._advance(now)
        return self._balance < 1.0

    def _max_balance(self) -> float:
        return self._reserve + self._ratio * self._recent_requests

    def _advance(self, now: float) -> None:
        elapsed = 0.0 if self._updated_at is None else max(0.0, now - self._updated_at)
        self._updated_at = now
        self._recent_requests *= max(0.0, 1.0 - elapsed / self._window_s)
        refill = elapsed * self._reserve / self._window_s
        self._balance = min(self._balance + refill, self._max_balance())


def draw_backoff(rng: random.Random, attempt: int, base_s: float, max_s: float) -> float:
    """Return a delay in seconds, uniform between 0 and a limit that doubles (full jitter).

    :param attempt: number of the failed attempt, from 1
    :param base_s: limit after the first attempt in seconds
    :param max_s: maximum limit in seconds

    >>> 0 <= draw_backoff(random.Random(1), 3, 0.1, 1.0) <= 0.4
    True
    """
    return rng.uniform(0.0, min(max_s, base_s * 2 ** (attempt - 1)))
