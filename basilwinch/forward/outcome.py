"""Outcomes of one attempt to run a request at a server or chain."""

from basilwinch.record import Record

__all__ = [
    "BROKEN",
    "DEADLINE",
    "MALFORMED",
    "Answered",
    "NotRun",
    "OutcomeUnknown",
]

# Causes that end an attempt after it has sent events; label values of a metric.
BROKEN = "broken"  # the connection or the stream ended
DEADLINE = "deadline"
MALFORMED = "malformed"  # an event is missing or has no id


class Answered(Record):
    """The server sent a complete response."""

    __slots__ = ("status", "header", "body")


class NotRun(Record):
    """The request has certainly not run and will not run."""

    __slots__ = ("reason",)


class OutcomeUnknown(Record):
    """The request may have run, but there is no usable response.

    ``cause`` is one of the constants of this module.
    """

    __slots__ = ("reason", "cause")
    _defaults = {"cause": BROKEN}
