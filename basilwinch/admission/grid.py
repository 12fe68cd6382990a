"""Size of the grid in which nodes exchange reports."""

import math

__all__ = ["DIRECT_NODES", "count_columns", "count_peers"]

# Up to this number of nodes each reports to all others.
DIRECT_NODES = 16


def count_columns(nodes: int) -> int:
    """Return the columns of the grid, the square root rounded up."""
    return math.isqrt(max(nodes, 1) - 1) + 1


def count_peers(nodes: int) -> int:
    """Return how many nodes each node exchanges reports with.

    >>> count_peers(9), count_peers(490)
    (8, 44)
    """
    return nodes - 1 if nodes <= DIRECT_NODES else 2 * count_columns(nodes) - 2
