"""Parsing of the server-sent events of a stream."""

from basilwinch.number import parse_digits

__all__ = ["EventSplitter", "read_event_id"]


class EventSplitter:
    r"""Splits the bytes of a response into events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [b'id: 1\ndata: a\n\n']
    >>> splitter.has_partial_event
    True
    """

    __slots__ = ("_partial",)

    def __init__(self):
        self._partial = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the events that are complete now, with their separators."""
        data = self._partial + data
        parts = data.split(b"\n\n")
        self._partial = parts.pop()
        return [part + b"\n\n" for part in parts]

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Number of bytes of the event that is not complete yet."""
        return len(self._partial)


def read_event_id(event: bytes) -> int | None:
    r"""Return the id of an event, or None.

    >>> read_event_id(b"version: 3\nid: 17\ndata: a\n\n")
    17
    """
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return parse_digits(line[3:].strip())
    return None
