"""Values that decide whether an attempt of a suspect runs in isolation."""

from basilwinch.record import Record

__all__ = ["IsolationClaim", "IsolationWait", "NextAttempt"]


class IsolationClaim(Record):
    """This node has claimed the isolation; it is confirmed after ``delay_s`` seconds."""

    __slots__ = ("delay_s",)


class IsolationWait(Record):
    """Whether the attempt must be isolated can be asked again after ``delay_s`` seconds."""

    __slots__ = ("delay_s",)


class NextAttempt(Record):
    """The attempt for which isolation is checked.

    :param retry: whether an earlier attempt of its run has failed
    :param asked_at: time of the first check, in seconds
    :param remaining_s: seconds left for the request
    """

    __slots__ = ("retry", "asked_at", "remaining_s")
