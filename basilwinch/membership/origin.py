"""Check that an authentic packet is no replay and is from the present process of its sender."""

from basilwinch.exception import REPLAYED_PACKET, STALE_SENDER, Failure
from basilwinch.membership.packet import Packet, ReplayWindow
from basilwinch.membership.roster import Entry

__all__ = ["OriginCheck"]

# Senders whose replay windows are kept. The largest planned cluster has 490 nodes.
_MAX_SENDERS = 4096
_ANSWER_INTERVAL_S = 1.0


class OriginCheck:
    """Replay windows of all senders. They need not outlive the process, because a packet to an
    earlier process of this node is recognised by its destination.

    :param own_id: id of this node
    """

    __slots__ = ("_answered_at", "_own_id", "_windows")

    def __init__(self, own_id: int):
        self._own_id = own_id
        self._windows: dict[int, ReplayWindow] = {}
        self._answered_at = -_ANSWER_INTERVAL_S

    def check(self, packet: Packet, entry: Entry | None) -> Failure | None:
        """Check a packet and record its sequence number. Takes constant time.

        :param entry: entry of the sender, or None if it is not known
        :returns: None if the packet is acceptable, ``REPLAYED_PACKET``, or ``STALE_SENDER`` if a
            later process of the sender is known
        """
        if packet.sender == self._own_id:
            return REPLAYED_PACKET.because("the sender of the packet is this node")
        window = self._windows.get(packet.sender)
        if window is None or window.life < packet.life:
            if window is None and len(self._windows) >= _MAX_SENDERS:
                del self._windows[next(iter(self._windows))]
            window = self._windows[packet.sender] = ReplayWindow(packet.life)
        if window.life > packet.life or (entry and entry.life > packet.life):
            return STALE_SENDER.because(
                f"packet of life {packet.life}, expected the latest known life of the sender: "
                f"{window.life} in packets, {entry.life if entry else 'none'} in the roster"
            )
        return window.admit(packet.sequence)

    def may_answer(self, now: float) -> bool:
        """Return whether a stale sender may get an answer. The limit is one answer per second for
        all senders together, because the packet may be a replay."""
        if now - self._answered_at < _ANSWER_INTERVAL_S:
            return False
        self._answered_at = now
        return True
