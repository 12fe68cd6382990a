"""Rate at which waiting requests start."""

import math

__all__ = ["StartRate"]

# Time constant of the average. Streams take seconds, so that fewer starts than this covers would
# make the rate of a small node mostly noise; a rate older than a stream says little.
_AVERAGING_S = 4.0
_MIN_STARTS = 3  # before them the rate counts as not measured
# After this long without a waiting request, the capacity may have changed altogether.
_MAX_IDLE_S = 15.0


class StartRate:
    """Exponential average of the rate of starts, over the time in which requests wait.

    Starts while no request waits show the rate of arrivals, not of capacity, and do not count.
    """

    __slots__ = ("_starts", "_waiting_s", "_count", "_is_waiting", "_updated_at")

    def __init__(self):
        self._starts = 0.0
        self._waiting_s = 0.0
        self._count = 0
        self._is_waiting = False
        self._updated_at = float("-inf")

    def set_waiting(self, is_waiting: bool, now: float) -> None:
        """Record whether requests wait from now on."""
        if is_waiting == self._is_waiting:
            return
        self._update(now)
        self._is_waiting = is_waiting
        self._updated_at = now

    def record_start(self, now: float) -> None:
        """Record the start of a request."""
        self._update(now)
        if self._is_waiting:
            self._starts += 1
            self._count += 1

    def read(self, now: float) -> float | None:
        """Return the starts per second, None while they have not been measured."""
        self._update(now)
        if self._count < _MIN_STARTS or not self._waiting_s:
            return None
        return self._starts / self._waiting_s

    def _update(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        if self._is_waiting:
            factor = math.exp(-elapsed_s / _AVERAGING_S)
            self._starts *= factor
            self._waiting_s = self._waiting_s * factor + _AVERAGING_S * (1 - factor)
        elif elapsed_s > _MAX_IDLE_S:
            self._starts = self._waiting_s = 0.0
            self._count = 0
        else:
            return  # the idle time goes on from the last wait
        self._updated_at = now
