"""Events of a history."""

import enum

from basilwinch.record import Record

__all__ = [
    "Answered",
    "History",
    "Invoked",
    "LayersRan",
    "NoteAccepted",
    "NoteApplied",
    "OrderRan",
    "Outcome",
    "Sent",
    "ServerLeaving",
    "ServerReturned",
    "ServerStopped",
    "TokenDelivered",
    "Violation",
    "VmStarted",
    "VmStopped",
]


class Outcome(enum.StrEnum):
    """What a caller was told."""

    COMPLETE = "complete"
    FAILED = "failed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Invoked(Record):
    """A caller sent a request; ``expected`` is the one right response, or None for orders."""

    __slots__ = ("time", "request", "expected")
    _defaults = {"expected": None}


class Answered(Record):
    """A caller got its answer; ``content`` is what it received of the response."""

    __slots__ = ("time", "request", "outcome", "content")
    _defaults = {"content": None}


class TokenDelivered(Record):
    """A token reached a caller; ``spans`` are (server, first, end) triples as they ran."""

    __slots__ = ("time", "request", "attempt", "position", "layers", "spans")


class LayersRan(Record):
    """A server ran layers ``first`` to ``end - 1`` for one token, as the server itself saw it."""

    __slots__ = ("time", "request", "attempt", "position", "server", "first", "end")


class OrderRan(Record):
    """A server carried out an order, as the server itself saw it."""

    __slots__ = ("time", "order", "server")


class Sent(Record):
    """A new request or a new attempt of a node reached a server."""

    __slots__ = ("time", "request", "server")


class ServerLeaving(Record):
    """A server was told to leave."""

    __slots__ = ("time", "server")


class ServerReturned(Record):
    """A server takes requests again."""

    __slots__ = ("time", "server")


class ServerStopped(Record):
    """A server stopped; ``graceful`` if it left first, otherwise it died."""

    __slots__ = ("time", "server", "graceful")


class NoteAccepted(Record):
    """A release note was accepted; ``digest`` identifies the state after it."""

    __slots__ = ("time", "revision", "digest")


class NoteApplied(Record):
    """A VM put a revision in effect."""

    __slots__ = ("time", "vm", "revision", "digest")


class VmStarted(Record):
    """A VM of the system started and is ready."""

    __slots__ = ("time", "vm")


class VmStopped(Record):
    """A VM of the system stopped, died or was cut off."""

    __slots__ = ("time", "vm")


class Violation(Record):
    """A broken invariant.

    :param invariant: ``I1`` to ``I7``
    :param time: when it shows, in seconds
    :param reason: what is wrong
    """

    __slots__ = ("invariant", "time", "reason")


class History:
    """An append-only list of events.

    >>> history = History()
    >>> history.append(OrderRan(1.0, "o1", "s1"))
    >>> len(history.of(OrderRan)), len(history.of(Sent))
    (1, 0)
    """

    __slots__ = ("_events",)

    def __init__(self, events=()):
        self._events: dict[type, list] = {}
        for event in events:
            self.append(event)

    def append(self, event: Record) -> None:
        """Add an event."""
        self._events.setdefault(type(event), []).append(event)

    def of(self, kind: type) -> list:
        """Return the events of one kind in the order in which they were added."""
        return self._events.get(kind, [])

    def __len__(self):
        return sum(map(len, self._events.values()))
