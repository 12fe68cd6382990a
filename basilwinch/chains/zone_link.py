"""Budget of the network link that all zones share.

After servers are lost, repaired chains and paths that join members of several chains lead through
other zones, and the prompts of their requests cross the link. Transfers queue on it: above its rate
the queue grows without bound, and all chains that cross between zones stall at once.
"""

import itertools

__all__ = ["ZoneLinkBudget", "compute_crossing_limit", "count_crossings"]

# Fraction of the link's time that requests may take; the rest covers estimation errors and the
# random admission of transfers.
_USABLE_FRACTION = 0.8
# Link time that all nodes together may take in a burst; callers leave after 2 s without an event.
_BURST_S = 0.3
# Requests that a chain starts each second: 30 run at the same time, for about 3 s each.
_CHAIN_REQUESTS_PER_S = 10.0


class ZoneLinkBudget:
    """Rate limiter for this node's part of the link; needs no call to other nodes.

    It is a token bucket whose level is link time in seconds.

    :param nodes: function that returns the number of nodes
    :param clock: function that returns the time in seconds
    :param rng: random numbers

    >>> import random
    >>> budget = ZoneLinkBudget(lambda: 1, lambda: 0.0, random.Random(1))
    >>> budget.allows(0.02)
    True
    >>> budget.take(1.0)
    >>> budget.allows(0.02)
    False
    """

    __slots__ = ("_nodes", "_clock", "_rng", "_level_s", "_filled_at")

    def __init__(self, nodes, clock, rng):
        self._nodes = nodes
        self._clock = clock
        self._rng = rng
        self._level_s = _BURST_S  # reduced to this node's part by the first allows()
        # Set by the first allows(), since trio's clock cannot be read before trio runs.
        self._filled_at: float | None = None

    def allows(self, transfer_s: float) -> bool:
        """Return whether a request may cross between zones.

        In a large fleet a node's part is less than one transfer. A transfer is then allowed at
        random, in proportion to the level, so that all nodes together stay within the burst.

        :param transfer_s: time for which the request occupies the link, in seconds
        """
        nodes, now = self._nodes(), self._clock()
        if self._filled_at is None:
            self._filled_at = now
        gained_s = (now - self._filled_at) * _USABLE_FRACTION / nodes
        self._level_s = min(_BURST_S / nodes, self._level_s + gained_s)
        self._filled_at = now
        return self._level_s > 0 and self._rng.random() * transfer_s < self._level_s

    def take(self, transfer_s: float) -> None:
        """Deduct a transfer; the level may fall below zero.

        :param transfer_s: time for which the request occupies the link, in seconds
        """
        self._level_s -= transfer_s


def compute_crossing_limit(engine) -> int | None:
    """Return how many crossings all chains of a layout may have together, or None for no limit.

    :param engine: :class:`~basilwinch.view.Engine`
    """
    if not engine.token_transfer_s:
        return None
    return int(
        _USABLE_FRACTION
        / (engine.token_transfer_s * engine.mean_request_tokens * _CHAIN_REQUESTS_PER_S)
    )


def count_crossings(zones: list[str]) -> int:
    """Return how many pairs of successive members are in different zones.

    :param zones: zone of each member, in order of layers

    >>> count_crossings(["a", "a", "b", "a"])
    2
    """
    return sum(zone != following for zone, following in itertools.pairwise(zones))
