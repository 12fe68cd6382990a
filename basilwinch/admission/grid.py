"""Size of the grid in which nodes exchange reports."""

import math

__all__ = ["MAX_DIRECT_NODES", "count_columns", "count_peers"]

# In a fleet of up to this many nodes, each node reports to all others.
MAX_DIRECT_NODES = 16


def count_columns(nodes: int) -> int:
    """Return the number of grid columns: the square root of the node count, rounded up."""
    return math.isqrt(max(nodes, 1) - 1) + 1


def count_peers(nodes: int) -> int:
    """Return how many nodes each node exchanges reports with.

    >>> count_peers(9), count_peers(490)
    (8, 44)
    """
    return nodes - 1 if nodes <= MAX_DIRECT_NODES else 2 * count_columns(nodes) - 2
