"""Byte budget of control traffic."""

__all__ = ["ByteBudget", "CONNECTION_OVERHEAD_BYTES", "DATAGRAM_OVERHEAD_BYTES", "stream_bytes"]

# IPv4 header (20 bytes) and UDP header (8 bytes).
DATAGRAM_OVERHEAD_BYTES = 28
# Ten packets with 40 bytes of IP and TCP headers each open and close a connection.
CONNECTION_OVERHEAD_BYTES = 10 * 40
# TCP payload of a 1500-byte IP packet.
_SEGMENT_BYTES = 1460


def stream_bytes(size: int) -> int:
    """Return the bytes on the wire for ``size`` bytes of data over an open TCP connection.

    >>> stream_bytes(1500)
    1580
    """
    return size + 40 * -(-size // _SEGMENT_BYTES)


class ByteBudget:
    """A token bucket of bytes that may be overdrawn, because traffic that has been received or must
    be sent is charged even if the budget is used up.

    :param bytes_per_s: rate at which the budget refills
    :param burst_s: seconds of unused rate that are kept

    >>> budget = ByteBudget(100.0, 2.0)
    >>> budget.spend(150, now=0.0)
    >>> budget.fill_ratio(0.0), budget.fill_ratio(1.0)
    (0.25, 0.75)
    """

    __slots__ = ("bytes_per_s", "_burst", "_available", "_updated")

    def __init__(self, bytes_per_s: float, burst_s: float):
        self.bytes_per_s = bytes_per_s
        self._burst = bytes_per_s * burst_s
        self._available = self._burst
        self._updated = None

    def _refill(self, now: float) -> None:
        if self._updated is not None:
            self._available = min(
                self._burst, self._available + (now - self._updated) * self.bytes_per_s
            )
        self._updated = now

    def spend(self, size: int, now: float) -> None:
        """Count bytes sent or received. The debt is limited to the burst, so that a large fetch
        does not keep the node from sending for long."""
        self._refill(now)
        self._available = max(-self._burst, self._available - size)

    def fill_ratio(self, now: float) -> float:
        """Return the available bytes as a share of the burst, from -1 (maximum debt) to 1."""
        self._refill(now)
        return self._available / self._burst

    def available_bytes(self, now: float) -> int:
        """Return the bytes that can be spent without debt, 0 or more."""
        self._refill(now)
        return max(0, int(self._available))
