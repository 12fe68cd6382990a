"""Event types of a history, with times in seconds."""

import enum

from basilwinch.record import Record

__all__ = [
    "Answered",
    "AttemptSent",
    "History",
    "Invoked",
    "LayersRan",
    "NoteAccepted",
    "NoteApplied",
    "OrderRan",
    "Outcome",
    "ServerLeaving",
    "ServerReturned",
    "ServerStopped",
    "TokenDelivered",
    "Violation",
    "VmStarted",
    "VmStopped",
]


class Outcome(enum.StrEnum):
    """Outcome of a request or an order, as reported to its caller."""

    COMPLETE = "complete"
    FAILED = "failed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Invoked(Record):
    """A caller sent a request or an order.

    :param expected: the only correct response, or None for orders
    """

    __slots__ = ("time", "request", "expected")
    _defaults = {"expected": None}


class Answered(Record):
    """A caller received its answer.

    :param content: received part of the response, or None for orders
    """

    __slots__ = ("time", "request", "outcome", "content")
    _defaults = {"content": None}


class TokenDelivered(Record):
    """A token reached a caller.

    :param layers: number of layers of the model
    :param spans: (server, first, end) triples in the order in which they ran
    """

    __slots__ = ("time", "request", "attempt", "position", "layers", "spans")


class LayersRan(Record):
    """A server ran layers ``first`` to ``end - 1`` for one token, as recorded by the server."""

    __slots__ = ("time", "request", "attempt", "position", "server", "first", "end")


class OrderRan(Record):
    """A server carried out an order, as recorded by the server."""

    __slots__ = ("time", "order", "server")


class AttemptSent(Record):
    """A node sent a new attempt of a request or an order to a server.

    A request to a chain has one event for each server of the chain that is up.
    """

    __slots__ = ("time", "request", "server")


class ServerLeaving(Record):
    """A server began to leave; nodes must stop sending to it within ``LEAVING_LIMIT_S``."""

    __slots__ = ("time", "server")


class ServerReturned(Record):
    """A server that was leaving accepts requests again."""

    __slots__ = ("time", "server")


class ServerStopped(Record):
    """A server stopped.

    :param graceful: True after a shutdown in which it finished its requests, False if it died
    """

    __slots__ = ("time", "server", "graceful")


class NoteAccepted(Record):
    """A release note was accepted.

    :param digest: digest of the state after it
    """

    __slots__ = ("time", "revision", "digest")


class NoteApplied(Record):
    """A VM applied the notes up to a revision.

    :param digest: digest of its state
    """

    __slots__ = ("time", "vm", "revision", "digest")


class VmStarted(Record):
    """A VM became ready, or its partition ended."""

    __slots__ = ("time", "vm")


class VmStopped(Record):
    """A VM stopped, died or was partitioned from the platform and its peers."""

    __slots__ = ("time", "vm")


class Violation(Record):
    """Violation of an invariant.

    :param invariant: ``I1`` to ``I7``
    :param time: time at which the violation shows, in seconds
    :param reason: description of the violation
    """

    __slots__ = ("invariant", "time", "reason")


class History:
    """Append-only list of events.

    >>> history = History()
    >>> history.append(OrderRan(1.0, "o1", "s1"))
    >>> len(history.of(OrderRan)), len(history.of(AttemptSent))
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
        """Return the events of one type in the order in which they were added."""
        return self._events.get(kind, [])

    def __len__(self):
        return sum(map(len, self._events.values()))
