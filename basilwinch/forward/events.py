"""Events of a stream, cut from its bytes."""

__all__ = ["EventSplitter", "read_event_id"]


class EventSplitter:
    r"""Cuts whole events from the bytes of a response.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [b'id: 1\ndata: a\n\n']
    >>> splitter.incomplete
    True
    """

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are whole now."""
        data = self._rest + data
        parts = data.split(b"\n\n")
        self._rest = parts.pop()
        return [part + b"\n\n" for part in parts]

    @property
    def incomplete(self) -> bool:
        """Whether a part of an event is left over."""
        return bool(self._rest)


def read_event_id(event: bytes) -> int | None:
    r"""Return the id of an event, or None.

    >>> read_event_id(b"version: 3\nid: 17\ndata: a\n\n")
    17
    """
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
