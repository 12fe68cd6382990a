"""Check that an authentic packet is new and from the present process of its sender."""

from basilwinch.exception import REPLAYED_PACKET, STALE_SENDER, Failure
from basilwinch.membership.packet import Packet, ReplayWindow
from basilwinch.membership.roster import Entry

__all__ = ["OriginCheck"]

# Senders remembered; the design size is 490 nodes.
_WINDOWS = 4096
_ANSWER_S = 1.0


class OriginCheck:
    """Replay windows of all senders. A packet that was sent to a former process of this node is
    told by its destination, so the windows need not outlive the process.

    :param own: id of this node
    """

    __slots__ = ("_answered_at", "_own", "_windows")

    def __init__(self, own: int):
        self._own = own
        self._windows: dict[int, ReplayWindow] = {}
        self._answered_at = -_ANSWER_S

    def check(self, packet: Packet, entry: Entry | None) -> Failure | None:
        """Note a packet. Constant time.

        :param entry: what is known of the sender
        :returns: None if it is acceptable, ``REPLAYED_PACKET``, or ``STALE_SENDER`` if a later
            process of the sender is known
        """
        if packet.sender == self._own:
            return REPLAYED_PACKET.because("own packet")
        window = self._windows.get(packet.sender)
        if window is None or window.life < packet.life:
            if window is None and len(self._windows) >= _WINDOWS:
                del self._windows[next(iter(self._windows))]
            window = self._windows[packet.sender] = ReplayWindow(packet.life)
        if window.life > packet.life or (entry and entry.life > packet.life):
            return STALE_SENDER.because(f"life {packet.life}, {window.life} is known")
        return window.admit(packet.sequence)

    def may_answer(self, now: float) -> bool:
        """Tell whether a stale sender may get an answer: one a second over all senders, because
        the packet may be a replay."""
        if now - self._answered_at < _ANSWER_S:
            return False
        self._answered_at = now
        return True
