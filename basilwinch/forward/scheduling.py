"""Measurement of how long a node's own tasks are held up."""

__all__ = ["SchedulingDelay"]


class SchedulingDelay:
    """Time by which waits with a time limit ended late because the process did not run.

    Many waits end late together when the process is held up. Time that they share is counted once.

    :param count: function that adds seconds to the node's total
    """

    __slots__ = ("_count", "_from", "_until")

    def __init__(self, count):
        self._count = count
        self._from = self._until = float("-inf")  # newest period that was counted

    def record(self, due_at: float, now: float) -> float:
        """Record the end of a wait, and return by how many seconds it was late.

        :param due_at: time at which the wait should have ended, in seconds
        :param now: time at which it ended, not before the end of earlier recorded ones
        """
        late_s = now - due_at
        if late_s <= 0:
            return 0.0
        if due_at > self._until:
            self._from = due_at
            self._count(late_s)
        else:
            self._count(now - self._until + max(0.0, self._from - due_at))
            self._from = min(self._from, due_at)
        self._until = now
        return late_s
