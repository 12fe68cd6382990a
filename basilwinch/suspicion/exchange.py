"""Payload of suspects in messages between nodes."""

import math

from basilwinch.exception import Failure, ProtocolError
from basilwinch.suspicion.evidence import pack
from basilwinch.suspicion.registry import SuspectRegistry

__all__ = ["SuspectExchange"]

MAX_SUSPECTS_PER_MESSAGE = 8
# Time after a change during which each message carries the suspects.
SUSPECT_RESEND_PERIOD_S = 5.0
# After that period, only one message in this many carries the suspects, for nodes that start later.
SUSPECT_RESEND_INTERVAL_MESSAGES = 16


class SuspectExchange:
    """Exchanges suspect requests between nodes.

    :param suspects: registry of suspects on this node
    :param max_entries: maximum number of suspects in a message
    :param resend_period_s: time after a change during which each message carries the suspects, in
        seconds
    """

    __slots__ = (
        "_suspects",
        "_max_entries",
        "_resend_period_s",
        "_known_evidence",
        "_changed_at",
        "_unchanged_messages",
    )

    kind = 1
    # An entry takes about 150 bytes; on most days there are none. After a crash three peers must
    # get the entry at once, and again after a second crash half a second later, because the caller
    # may repeat the request right after its response. At 800 bytes/s the second entry was delayed.
    bytes_per_s = 2400.0

    def __init__(
        self,
        suspects: SuspectRegistry,
        max_entries: int = MAX_SUSPECTS_PER_MESSAGE,
        resend_period_s: float = SUSPECT_RESEND_PERIOD_S,
    ):
        self._suspects = suspects
        self._max_entries = max_entries
        self._resend_period_s = resend_period_s
        self._known_evidence: set = set()
        self._changed_at = -math.inf
        self._unchanged_messages = 0

    def export(self, limit: int, now: float, complete: bool = False) -> bytes:
        """Return the most severe suspects that fit into ``limit`` bytes, empty for none.

        At most ``max_entries`` are returned. Once the resend period has passed
        since the last change, only one of ``SUSPECT_RESEND_INTERVAL_MESSAGES`` messages
        carries them. Sorts all entries of the registry: O(n log n).

        :param complete: whether the message must carry them in any case, for a node that may have
            missed the others
        """
        self.refresh(now)
        if not complete and now - self._changed_at > self._resend_period_s:
            self._unchanged_messages = (
                self._unchanged_messages + 1
            ) % SUSPECT_RESEND_INTERVAL_MESSAGES
            if self._unchanged_messages:
                return b""
        entries = self._suspects.list_entries(now)[: self._max_entries]
        while entries:
            data = pack(entries)
            if len(data) <= limit:
                return data
            entries.pop()
        return b""

    def merge(self, node: str, data: bytes, now: float) -> bool | Failure:
        """Merge the suspects of another node.

        :returns: True if the evidence on likely suspects changed, which is then passed on at once
        """
        try:
            self._suspects.merge_bytes(data, now)
        except ProtocolError as error:
            return error.failure
        return self.refresh(now)

    def merge_broadcast(self, data: bytes, now: float) -> bool | Failure:
        """Merge the suspects of a node that sends them to all others itself.

        :returns: whether that node should get the suspects of this one, which knows requests that
            speak for a part among them
        """
        try:
            can_vouch = self._suspects.merge_bytes(data, now)
        except ProtocolError as error:
            return error.failure
        self.refresh(now)
        return can_vouch

    def refresh(self, now: float) -> bool:
        """Read the registry; returns whether the evidence on likely suspects has changed.

        The evidence is compared with that of the last call.
        """
        known = _list_evidence(self._suspects.list_entries(now))
        if known == self._known_evidence:
            return False
        self._known_evidence = known
        self._changed_at = now
        return True


def _list_evidence(entries) -> set:
    """Return the strikes, clearings and tests of likely suspects, without times, which differ
    between nodes.

    Entries without a strong strike are left out: their requests only ran on the same server as a
    likely cause. They do not count as a change and are sent when a message next carries suspects.
    """
    entries = [entry for entry in entries if any(strike.strong for strike in entry.strikes)]
    return (
        {
            (entry.digest, strike.id, strike.id in entry.cleared)
            for entry in entries
            for strike in entry.strikes
        }
        | {
            (entry.digest, test[0], test[1], test[2] > 0)
            for entry in entries
            for test in entry.tests
        }
        | {(entry.digest, "vouched") for entry in entries if entry.vouched}
    )
