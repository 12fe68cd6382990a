"""Detection of streams that stopped silently."""

__all__ = ["GapEstimate"]

# Weights of the mean and of the deviation in the estimate, as for TCP's retransmission timer
# (RFC 6298), which solves the same problem: how long a silence is still normal.
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 8.0


class GapEstimate:
    """Estimates the longest normal gap between the tokens of a stream.

    :param expected_s: expected gap
    :param min_s: shortest silence that counts as a stall
    :param max_s: longest silence that is waited for, unless the mean gap is near it

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
        """Count a gap between two tokens."""
        error = gap_s - self._mean
        self._mean += _MEAN_WEIGHT * error
        self._deviation += _DEVIATION_WEIGHT * (abs(error) - self._deviation)

    def timeout_s(self) -> float:
        """Return the silence after which the stream counts as stalled.

        A mean gap over a third of the limit raises the limit: replacing a slow stream that still
        delivers only moves its load.
        """
        normal = self._mean + _DEVIATIONS * self._deviation
        return max(min(max(normal, self._min_s), self._max_s), 3 * self._mean)
