"""Detection of streams that stopped silently."""

__all__ = ["GapEstimate"]

# Weights as in TCP's retransmission timer (RFC 6298), which also estimates the maximum normal delay
# from a smoothed mean and deviation.
_MEAN_EWMA_WEIGHT = 1 / 8
_DEVIATION_EWMA_WEIGHT = 1 / 4
# Deviations above the mean gap after which a stream counts as stalled.
_TIMEOUT_DEVIATIONS = 8.0


class GapEstimate:
    """Estimates the maximum normal gap between the tokens of a stream.

    :param expected_s: expected gap in seconds
    :param min_s: minimum stall timeout in seconds
    :param max_s: maximum stall timeout in seconds, unless the mean gap is over a third of it

    >>> estimate = GapEstimate(0.02, 0.4, 0.9)
    >>> estimate.timeout_s()
    0.4
    """

    __slots__ = ("_mean", "_deviation", "_min_s", "_max_s")

    def __init__(self, expected_s: float, min_s: float, max_s: float):
        self._mean = expected_s
        self._deviation = expected_s / 2
        self._min_s = min_s
        self._max_s = max_s

    def observe(self, gap_s: float) -> None:
        """Update the estimate from a gap between two tokens in seconds."""
        error = gap_s - self._mean
        self._mean += _MEAN_EWMA_WEIGHT * error
        self._deviation += _DEVIATION_EWMA_WEIGHT * (abs(error) - self._deviation)

    def timeout_s(self) -> float:
        """Return the seconds without a token after which the stream counts as stalled.

        A mean gap over a third of the maximum raises the maximum: replacing a stream that is slow
        but not stalled only moves its load to other servers.
        """
        max_gap_s = self._mean + _TIMEOUT_DEVIATIONS * self._deviation
        return max(min(max(max_gap_s, self._min_s), self._max_s), 3 * self._mean)
