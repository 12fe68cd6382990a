"""Time limit of a request body."""

__all__ = ["BodyPace"]

# A body that arrives more slowly on average is given up. The slowest links of mobile callers give
# about this much; 4 MB then take 512 s.
_MIN_BYTES_PER_S = 8192


class BodyPace:
    """The time for which one body may still be waited for.

    Only time spent waiting for the caller counts, as the node itself may be slow. Its limit for the
    whole body grows with the bytes received, so that a body at the minimum rate is never late.

    :param pause_s: longest time without a byte, and the time allowed beside the minimum rate, in
        seconds

    >>> pace = BodyPace(3.0)
    >>> pace.compute_timeout()
    3.0
    >>> pace.record(2.5, 2048)
    >>> pace.compute_timeout()
    0.75
    """

    __slots__ = ("_pause_s", "_left_s")

    def __init__(self, pause_s: float):
        self._pause_s = pause_s
        self._left_s = pause_s

    def compute_timeout(self) -> float:
        """Return how long to wait for the next bytes, in seconds."""
        return max(0.0, min(self._pause_s, self._left_s))

    def record(self, waited_s: float, received_bytes: int) -> None:
        """Record that bytes have arrived, framing included, after a wait."""
        self._left_s += received_bytes / _MIN_BYTES_PER_S - waited_s
