"""Scheduler of timed callbacks that run on one trio task."""

import heapq
import itertools
import math

import trio

__all__ = ["CallbackScheduler"]


class CallbackScheduler:
    """Runs callbacks at given times, in time order, on one trio task.

    A task for each callback would be slow: a trio task switch costs as much as simulating the step
    of a whole batch.

    :param slack_s: timer slack in seconds: a wake-up also runs the callbacks that are due up to
        this much later, still in time order and with their own time as :attr:`now`
    """

    __slots__ = ("_heap", "_count", "_scope", "_slack_s", "_running_at")

    def __init__(self, slack_s: float = 0.0):
        self._heap = []
        self._count = itertools.count()
        self._scope = None
        self._slack_s = slack_s
        self._running_at = None

    @property
    def now(self) -> float:
        """Scheduled time of the running callback in seconds, or trio's time outside of one."""
        return trio.current_time() if self._running_at is None else self._running_at

    def call_at(self, time: float, callback, *args) -> None:
        """Schedule ``callback(*args)`` at ``time`` in seconds on trio's clock.

        This takes logarithmic time in the number of pending callbacks.
        """
        heapq.heappush(self._heap, (time, next(self._count), callback, args))
        if self._scope is not None and time < self._scope.deadline:
            self._scope.deadline = time

    async def run(self) -> None:
        """Run scheduled callbacks until cancelled."""
        heap = self._heap
        while True:
            with trio.CancelScope(deadline=heap[0][0] if heap else math.inf) as self._scope:
                await trio.sleep_forever()
            self._scope = None
            # After the wake-up, the clock may be below the deadline by a rounding error.
            limit = trio.current_time() + max(self._slack_s, 1e-9)
            try:
                while heap and heap[0][0] <= limit:
                    self._running_at, _, callback, args = heapq.heappop(heap)
                    callback(*args)
            finally:
                self._running_at = None
