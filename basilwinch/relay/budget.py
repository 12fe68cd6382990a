"""Retry budget and backoff."""

import random

__all__ = ["RetryBudget", "draw_backoff"]


class RetryBudget:
    """Limits retries to a share of the requests.

    Each request deposits ``ratio`` retries, each retry takes one. The sum over all nodes is bounded
    by the same ratio of the fleet's request rate, so retries cannot multiply an overload.

    :param ratio: retries per request
    :param window_s: seconds of deposits that are kept
    :param reserve: retries that are kept whatever the rate; refilled within ``window_s``

    >>> budget = RetryBudget(0.5, 60.0, 1.0)
    >>> budget.take(0.0), budget.take(0.0)
    (True, False)
    """

    __slots__ = ("_ratio", "_window_s", "_reserve", "_balance", "_recent", "_now")

    def __init__(self, ratio: float, window_s: float, reserve: float):
        self._ratio = ratio
        self._window_s = window_s
        self._reserve = reserve
        self._balance = reserve
        self._recent = 0.0
        self._now = None

    def deposit(self, now: float) -> None:
        """Count a new request."""
        self._advance(now)
        self._recent += 1.0
        self._balance = min(self._balance + self._ratio, self._limit())

    def take(self, now: float) -> bool:
        """Take one retry; False if the budget is used up."""
        self._advance(now)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def is_empty(self, now: float) -> bool:
        """Return whether a retry would be refused now."""
        self._advance(now)
        return self._balance < 1.0

    def _limit(self) -> float:
        return self._reserve + self._ratio * self._recent

    def _advance(self, now: float) -> None:
        elapsed = 0.0 if self._now is None else max(0.0, now - self._now)
        self._now = now
        self._recent *= max(0.0, 1.0 - elapsed / self._window_s)
        refill = elapsed * self._reserve / self._window_s
        self._balance = min(self._balance + refill, self._limit())


def draw_backoff(rng: random.Random, attempt: int, base_s: float, max_s: float) -> float:
    """Return a delay before an attempt: uniform between 0 and a limit that doubles (full jitter).

    :param attempt: number of the attempt that failed, from 1

    >>> 0 <= draw_backoff(random.Random(1), 3, 0.1, 1.0) <= 0.4
    True
    """
    return rng.uniform(0.0, min(max_s, base_s * 2 ** (attempt - 1)))
