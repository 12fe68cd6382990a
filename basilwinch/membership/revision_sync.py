"""Synchronisation of configuration revisions between nodes, from older to newer ones only."""

import math
from typing import Protocol

from basilwinch.exception import NOT_READY, Failure
from basilwinch.membership.message import Message
from basilwinch.observability import DecisionLog

__all__ = ["Replica", "RevisionSync"]

_MAX_CACHED_DELTAS = 32
# A node that cannot read the platform is ready once it holds the newest revision of this many ready
# peers.
_MIN_READY_PEERS = 2


class Replica(Protocol):
    """Release state of a node; :class:`basilwinch.release.Replica` implements this protocol."""

    revision: int

    def export(self, since: int) -> bytes:
        """Return the changes after a revision, or the whole state if that revision is too old."""

    def warm(self, count: int) -> bool:
        """Encode up to ``count`` pages of the whole state ahead of :meth:`export`.

        :returns: whether pages are left to encode
        """

    def apply_export(self, data: bytes) -> bool | Failure:
        """Apply the result of :meth:`export`, as a whole and only if it is newer."""


class RevisionSync:
    """Exports the changes that peers lack, applies theirs, and decides when this node is ready.

    :param replica: :class:`Replica`
    :param log: decision log
    :ivar ready: whether this node has read the platform's head, or has held the newest revision of
        enough ready peers
    :ivar refused: number of changes from peers that did not apply
    """

    __slots__ = ("_cached_deltas", "_log", "_replica", "_peer_revisions", "ready", "refused")

    def __init__(self, replica: Replica, log: DecisionLog):
        self._replica = replica
        self._log = log
        self._cached_deltas: dict[tuple, bytes] = {}
        self._peer_revisions: dict[int, int] = {}
        self.ready = False
        self.refused = 0

    @property
    def revision(self) -> int:
        """Number of the revision that this node holds."""
        return self._replica.revision

    def delta(self, since: int, room: int) -> tuple[bytes, bool]:
        """Return the changes that a peer lacks.

        :param since: revision that the peer holds
        :param room: bytes left in the message
        :returns: the changes, empty if there are none or they do not fit, and whether they do not
            fit
        """
        if since >= self.revision:
            return b"", False
        data = self.export_cached(since)
        return (data, False) if len(data) <= room else (b"", True)

    def export(self, since: int) -> bytes:
        """Return the changes after a revision, or the whole state."""
        return self._replica.export(since)

    def export_cached(self, since: int) -> bytes:
        """Return the changes after a revision, from a cache of the latest exports."""
        key = (since, self.revision)
        data = self._cached_deltas.get(key)
        if data is None:
            data = self._replica.export(since)
            while len(self._cached_deltas) >= _MAX_CACHED_DELTAS:
                del self._cached_deltas[next(iter(self._cached_deltas))]
            self._cached_deltas[key] = data
        return data

    def warm(self) -> bool:
        """Encode one page of the whole state ahead of an export; returns whether pages are left."""
        return self._replica.warm(1)

    def apply_export(self, delta: bytes, source: str) -> bool | Failure:
        """Apply changes from a peer.

        :returns: whether this node holds a newer revision than before; a failure if the changes do
            not apply to the revision held, so that the whole state is needed
        """
        before = self.revision
        applied = self._replica.apply_export(delta)
        if isinstance(applied, Failure):
            self.refused += 1
            self._log.record("revision", "refused", applied.reason, source=source, held=before)
            return applied
        if applied:
            self._log.record(
                "revision",
                "applied",
                "newer than the revision held before",
                source=source,
                held=self.revision,
            )
        return applied

    def record_platform_read(self) -> None:
        """Record that the platform's head has been read and applied."""
        self._mark_ready("state read from the platform")

    def record_peer(self, node: int, message: Message, others: int) -> None:
        """Record the revision that a peer holds.

        A node that cannot read the platform is ready once it holds the newest revision of
        ``_MIN_READY_PEERS`` ready peers, or of one if it knows only one other node.

        :param others: number of other nodes known
        """
        if self.ready or not message.ready:
            return
        self._peer_revisions[node] = message.revision
        needed = max(1, min(_MIN_READY_PEERS, others))
        newest = max(self._peer_revisions.values(), default=math.inf)
        if len(self._peer_revisions) >= needed and self.revision >= newest:
            self._mark_ready(f"newest revision of {len(self._peer_revisions)} ready peers held")

    def _mark_ready(self, reason: str) -> None:
        if not self.ready:
            self.ready = True
            self._peer_revisions.clear()
            self._log.record("ready", "complete", reason, held=self.revision)

    def check(self) -> bool | Failure:
        """Return True if this node is ready, or ``NOT_READY``."""
        if self.ready:
            return True
        reason = (
            "platform not read, and this node does not hold the newest revision of enough ready "
            f"peers: {len(self._peer_revisions)} known, {_MIN_READY_PEERS} needed "
            "(1 if only one other node is known)"
        )
        return NOT_READY.because(reason, retry_after=1.0, held=self.revision)
