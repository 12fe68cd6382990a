"""Byte budget of control traffic."""

__all__ = ["ByteBudget", "DATAGRAM_OVERHEAD", "STREAM_OVERHEAD", "stream_bytes"]

# IPv4 and UDP headers.
DATAGRAM_OVERHEAD = 28
# Ten packets with IP and TCP headers open and close a connection.
STREAM_OVERHEAD = 10 * 40
_SEGMENT = 1460


def stream_bytes(size: int) -> int:
    """Return the bytes on the wire of ``size`` bytes over an open TCP connection.

    >>> stream_bytes(1500)
    1580
    """
    return size + 40 * -(-size // _SEGMENT)


class ByteBudget:
    """A token bucket that may be overdrawn: what has been sent or received cannot be undone.

    :param rate: bytes per second
    :param burst_s: seconds of unused rate that are kept

    >>> budget = ByteBudget(100.0, 2.0)
    >>> budget.spend(150, now=0.0)
    >>> budget.level(0.0), budget.level(1.0)
    (0.25, 0.75)
    """

    __slots__ = ("rate", "_burst", "_level", "_updated")

    def __init__(self, rate: float, burst_s: float):
        self.rate = rate
        self._burst = rate * burst_s
        self._level = self._burst
        self._updated = None

    def _refill(self, now: float) -> None:
        if self._updated is not None:
            self._level = min(self._burst, self._level + (now - self._updated) * self.rate)
        self._updated = now

    def spend(self, size: int, now: float) -> None:
        """Count bytes sent or received. The debt is bounded by the burst, so that a large fetch
        does not silence a node for long."""
        self._refill(now)
        self._level = max(-self._burst, self._level - size)

    def level(self, now: float) -> float:
        """Return the part of the burst that is left, from -1 to 1."""
        self._refill(now)
        return self._level / self._burst

    def left(self, now: float) -> int:
        """Return the bytes left, 0 or more."""
        self._refill(now)
        return max(0, int(self._level))
