"""Changes of the store that a reader keeps for the nodes that it reads for, without I/O."""

import collections
import itertools

from basilwinch.store import WatchEvent

__all__ = ["ChangeLog"]

_MAX_LOG_BYTES = 1 << 20
# Of one answer; larger changes are read from the store, since a reader may have a slow link.
_MAX_ANSWER_BYTES = 1 << 16
_EVENT_OVERHEAD_BYTES = 64


class ChangeLog:
    """The newest changes of one history of the store, without gaps.

    >>> log = ChangeLog()
    >>> log.extend(5, [WatchEvent("a", b"1", 6), WatchEvent("b", None, 8)])
    >>> [event.key for event in log.list_after(6)], log.list_after(8), log.list_after(4)
    (['b'], [], None)
    """

    __slots__ = ("_start", "_end", "_events", "_bytes")

    def __init__(self):
        self.clear()

    def clear(self) -> None:
        """Forget all changes."""
        self._start = self._end = -1
        self._events: collections.deque[WatchEvent] = collections.deque()
        self._bytes = 0

    def extend(self, after: int, events) -> None:
        """Append the changes that a watch has delivered.

        :param after: revision after which the watch was asked for changes; if it is not that of the
            last change, the log begins there
        :param events: changes in order of their revisions
        """
        if after != self._end:
            self.clear()
            self._start = self._end = after
        for event in events:
            self._events.append(event)
            self._bytes += _measure(event)
            self._end = event.mod_revision
        while self._bytes > _MAX_LOG_BYTES:
            self._drop_revision()

    def list_after(self, revision: int) -> list[WatchEvent] | None:
        """Return changes after a revision, whole revisions up to a maximum size.

        Linear in the changes after the revision.

        :returns: an empty list if there are none yet, None if the log does not tell them
        """
        if self._end < 0 or revision < self._start:
            return None
        newer = list(
            itertools.takewhile(lambda event: event.mod_revision > revision, reversed(self._events))
        )
        newer.reverse()
        complete = size = 0
        for index, event in enumerate(newer):
            if index and event.mod_revision != newer[index - 1].mod_revision:
                complete = index
            size += _measure(event)
            if size > _MAX_ANSWER_BYTES:
                return newer[:complete] or None
        return newer

    def _drop_revision(self) -> None:
        """Drop all changes of the oldest revision."""
        self._start = self._events[0].mod_revision
        while self._events and self._events[0].mod_revision == self._start:
            self._bytes -= _measure(self._events.popleft())


def _measure(event: WatchEvent) -> int:
    return len(event.key) + len(event.value or b"") + _EVENT_OVERHEAD_BYTES
