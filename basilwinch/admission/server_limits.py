"""Limits that backend servers name in their answers."""

import math

import structlog

__all__ = ["ServerLimits"]


class ServerLimits:
    """Records how many requests a second each server takes from all nodes together.

    :param clock: function that returns the time in seconds
    """

    __slots__ = ("_clock", "_limits", "_log")

    def __init__(self, clock):
        self._clock = clock
        # By server id: limit in requests per second, infinity for none, and time of the answer.
        self._limits: dict[str, tuple[float, float]] = {}
        self._log = structlog.get_logger("limits")

    def observe(self, server_id: str, limit_per_s: float | None) -> None:
        """Record what an answer of a server says about its limit.

        :param limit_per_s: requests per second, infinity if it names none, None if that is unknown
        """
        if limit_per_s is None:
            return
        known, _ = self._limits.get(server_id, (math.inf, 0.0))
        if limit_per_s != known:
            self._log.info("server limit changed", server=server_id, before=known, now=limit_per_s)
        if limit_per_s != math.inf or server_id in self._limits:
            self._limits[server_id] = limit_per_s, self._clock()

    def count_limited(self) -> int:
        """Return the number of servers with a limit."""
        return sum(limit != math.inf for limit, _ in self._limits.values())

    def prune(self, known) -> None:
        """Drop the limits of servers that are gone.

        :param known: ids of the registered servers
        """
        for server_id in [s for s in self._limits if s not in known]:
            del self._limits[server_id]
