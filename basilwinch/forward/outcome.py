"""Outcomes of one attempt to run a request at a server or chain."""

from basilwinch.record import Record

__all__ = ["Answered", "NotRun", "OutcomeUnknown"]


class Answered(Record):
    """The server sent a complete response."""

    __slots__ = ("status", "header", "body")


class NotRun(Record):
    """The request has certainly not run and will not run."""

    __slots__ = ("reason",)


class OutcomeUnknown(Record):
    """The request may have run, but there is no usable response."""

    __slots__ = ("reason",)
