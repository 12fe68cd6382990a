"""Budget of the pipe that all zones share.

Answers the load pattern of prompts that cross between zones: after losses, mended chains and mixed
paths lead through other zones. One transfer waits for the other, so that beyond the pipe's rate the
queue grows without bound, and every chain that crosses falls silent, in all zones at once.
"""

import itertools

__all__ = ["PipeBudget", "count_chain_crossings", "count_crossings"]

# Part of the pipe that requests may take; the rest is for errors of the estimate and random draws.
_USED_PART = 0.8
# Pipe time that all nodes may take at once after a calm time; callers leave after 2 s of silence.
_BURST_S = 0.3
# Requests that a chain starts in a second: 30 at once, for about 3 s each.
_CHAIN_RATE_PER_S = 10.0


class PipeBudget:
    """Allows this node its part of the pipe, without a call to other nodes.

    :param nodes: function that returns the number of nodes
    :param clock: function that returns the time in seconds
    :param rng: random numbers

    >>> import random
    >>> budget = PipeBudget(lambda: 1, lambda: 0.0, random.Random(1))
    >>> budget.draw(0.02)
    True
    >>> budget.take(1.0)
    >>> budget.draw(0.02)
    False
    """

    __slots__ = ("_nodes", "_clock", "_rng", "_level_s", "_filled_at")

    def __init__(self, nodes, clock, rng):
        self._nodes = nodes
        self._clock = clock
        self._rng = rng
        self._level_s = _BURST_S  # cut to this node's part when it is first read
        self._filled_at: float | None = None  # the clock may not run yet

    def draw(self, transfer_s: float) -> bool:
        """Return whether a request may cross.

        In a large fleet a node's part is less than one transfer; it is then allowed by chance, so
        that the nodes together keep to the burst.

        :param transfer_s: time for which the request takes the pipe, in seconds
        """
        nodes, now = self._nodes(), self._clock()
        if self._filled_at is None:
            self._filled_at = now
        gained_s = (now - self._filled_at) * _USED_PART / nodes
        self._level_s = min(_BURST_S / nodes, self._level_s + gained_s)
        self._filled_at = now
        return self._level_s > 0 and self._rng.random() * transfer_s < self._level_s

    def take(self, transfer_s: float) -> None:
        """Count a transfer; the level may fall below zero."""
        self._level_s -= transfer_s


def count_chain_crossings(engine) -> int | None:
    """Return how often the chains of a layout may cross in all, or None without a limit.

    :param engine: :class:`~basilwinch.view.Engine`
    """
    if not engine.transfer_s:
        return None
    return int(_USED_PART / (engine.transfer_s * engine.usual_tokens * _CHAIN_RATE_PER_S))


def count_crossings(zones: list[str]) -> int:
    """Return how often a path goes from one zone to another.

    :param zones: zone of each member

    >>> count_crossings(["a", "a", "b", "a"])
    2
    """
    return sum(zone != following for zone, following in itertools.pairwise(zones))
