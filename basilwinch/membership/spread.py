"""Spread of configuration revisions between nodes, only forward."""

import math
from typing import Protocol

from basilwinch.exception import NOT_READY, Failure
from basilwinch.membership.message import Message
from basilwinch.observability import DecisionLog

__all__ = ["Replica", "Spread"]

_CACHED_DELTAS = 32
# Peers that a node without the platform hears before it trusts that it holds the newest revision.
_WITNESSES = 2


class Replica(Protocol):
    """State in effect on a node; :class:`basilwinch.release.Replica` has this form."""

    revision: int

    def export(self, since: int) -> bytes:
        """Return the changes after a revision, or the whole state if that is too old."""

    def warm(self, count: int) -> bool:
        """Prepare a part of :meth:`export` of the whole state; returns whether parts are left."""

    def absorb(self, data: bytes) -> bool | Failure:
        """Apply what :meth:`export` gave, whole and only if it is newer."""


class Spread:
    """Decides what a peer lacks and when this node's own state is complete.

    :param replica: :class:`Replica`
    :param log: decision log
    """

    __slots__ = ("_deltas", "_log", "_replica", "_witnesses", "complete", "refused")

    def __init__(self, replica: Replica, log: DecisionLog):
        self._replica = replica
        self._log = log
        self._deltas: dict[tuple, bytes] = {}
        self._witnesses: dict[int, int] = {}
        self.complete = False
        self.refused = 0

    @property
    def revision(self) -> int:
        """Revision that this node holds."""
        return self._replica.revision

    def delta(self, since: int, room: int) -> tuple[bytes, bool]:
        """Return what a peer lacks.

        :param since: revision that the peer holds
        :param room: bytes left in the message
        :returns: (changes or empty, whether they are too large for the message)
        """
        if since >= self.revision:
            return b"", False
        data = self.changes(since)
        return (data, False) if len(data) <= room else (b"", True)

    def export(self, since: int) -> bytes:
        """Return the changes after a revision."""
        return self._replica.export(since)

    def changes(self, since: int) -> bytes:
        """Return the changes after a revision; the last ones are kept."""
        key = (since, self.revision)
        data = self._deltas.get(key)
        if data is None:
            data = self._replica.export(since)
            while len(self._deltas) >= _CACHED_DELTAS:
                del self._deltas[next(iter(self._deltas))]
            self._deltas[key] = data
        return data

    def warm(self) -> bool:
        """Prepare a part of a whole state; returns whether parts are left."""
        return self._replica.warm(1)

    def absorb(self, delta: bytes, source: str) -> bool | Failure:
        """Apply changes from a peer.

        :returns: whether this node holds a newer revision than before; a failure if the changes do
            not follow the revision held, so that the whole state is needed
        """
        before = self.revision
        applied = self._replica.absorb(delta)
        if isinstance(applied, Failure):
            self.refused += 1
            self._log.record("revision", "refused", applied.reason, source=source, held=before)
            return applied
        if applied:
            self._log.record(
                "revision", "applied", "newer than the one held", source=source, held=self.revision
            )
        return applied

    def note_platform(self) -> None:
        """Note that the platform's head has been read and applied."""
        self._complete("read from the platform")

    def note_peer(self, node: int, message: Message, others: int) -> None:
        """Note what a peer holds.

        A node without the platform counts its state as complete once it holds the newest revision
        of ``_WITNESSES`` complete peers (of one if it knows no more).

        :param others: number of other nodes known
        """
        if self.complete or not message.ready:
            return
        self._witnesses[node] = message.revision
        needed = max(1, min(_WITNESSES, others))
        newest = max(self._witnesses.values(), default=math.inf)
        if len(self._witnesses) >= needed and self.revision >= newest:
            self._complete(f"taken from {len(self._witnesses)} peers")

    def _complete(self, reason: str) -> None:
        if not self.complete:
            self.complete = True
            self._witnesses.clear()
            self._log.record("ready", "complete", reason, held=self.revision)

    def check(self) -> bool | Failure:
        """Return True if the state is complete, or ``NOT_READY``."""
        if self.complete:
            return True
        reason = f"no platform and {len(self._witnesses)} complete peers heard"
        return NOT_READY.because(reason, retry_after=1.0, held=self.revision)
