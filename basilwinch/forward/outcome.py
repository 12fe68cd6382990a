"""Outcomes of one attempt at a server."""

from basilwinch.record import Record

__all__ = ["Answered", "Broken", "NotRun"]


class Answered(Record):
    """The server's whole response."""

    __slots__ = ("status", "header", "body")


class NotRun(Record):
    """The request certainly has not run and will not."""

    __slots__ = ("reason",)


class Broken(Record):
    """The request may have run; there is no whole response."""

    __slots__ = ("reason",)
