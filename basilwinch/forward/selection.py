"""Selection of a plain server by its load and its recent failures."""

from basilwinch.record import Record

__all__ = ["ServerSelection"]

_NEWEST_RESULT_WEIGHT = 0.2  # in the moving average of failures
# Penalties are in units of utilisation: 1 is a server with a request in each of its slots.
_FAILURE_PENALTY = 3.0  # for a server that always fails
_OTHER_ZONE_PENALTY = 0.05
_LOAD_TTL_S = 1.0  # a load that a server reported is used for this long
_MAX_TIE_PENALTY = 0.01  # random, to choose among equally loaded servers
_FAILURE_HALF_LIFE_S = 5.0


class _Health(Record):
    """Requests in progress at a server, its failures, and the load that it reported last.

    ``failure_rate`` is a moving average between 0 and 1, as of ``failure_rate_at``; times are in
    seconds.
    """

    __slots__ = ("outstanding", "failure_rate", "failure_rate_at", "load", "load_at")


class ServerSelection:
    """Selects the server of a service with the lowest sum of utilisation and penalties.

    :param zone: zone of this node
    :param clock: function that returns the time in seconds
    :param rng: random numbers to choose among equally loaded servers
    """

    __slots__ = ("_zone", "_clock", "_health", "_rng")

    def __init__(self, zone: str, clock, rng):
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._health: dict[str, _Health] = {}

    def choose(self, servers, tried):
        """Return the best server that has not been tried, or None.

        :param servers: entries of the service
        :param tried: ids of servers to leave out
        """
        options = [s for s in servers if not s.leaving and s.id not in tried]
        return min(options, key=self._compute_score, default=None)

    def begin(self, server_id: str) -> None:
        """Count a request that is sent to a server."""
        self._get_health(server_id).outstanding += 1

    def end(self, server_id: str, failed: bool | None, load) -> None:
        """Count the end of a request at a server.

        :param failed: whether the server failed, None if that is not known
        :param load: :class:`~basilwinch.forward.message.ServerLoad` of the response, or None
        """
        health = self._get_health(server_id)
        now = self._clock()
        health.outstanding -= 1
        if load is not None:
            health.load, health.load_at = load, now
        if failed is None:
            return
        health.failure_rate = (
            self._compute_failure_rate(health, now) * (1 - _NEWEST_RESULT_WEIGHT)
            + _NEWEST_RESULT_WEIGHT * failed
        )
        health.failure_rate_at = now

    def prune(self, known) -> None:
        """Drop servers that are gone and have no request in progress.

        :param known: ids of the registered servers
        """
        gone = [s for s, h in self._health.items() if s not in known and not h.outstanding]
        for server_id in gone:
            del self._health[server_id]

    def _compute_failure_rate(self, health, now) -> float:
        return health.failure_rate * 0.5 ** ((now - health.failure_rate_at) / _FAILURE_HALF_LIFE_S)

    def _compute_utilisation(self, server) -> float:
        health = self._get_health(server.id)
        requests = health.outstanding
        if health.load is not None and self._clock() - health.load_at < _LOAD_TTL_S:
            # The reported load is taken to include the request whose response carried it.
            requests = max(requests, health.load.running + health.load.waiting - 1)
        return requests / max(1, server.slots)

    def _compute_score(self, server) -> float:
        health = self._get_health(server.id)
        score = self._compute_utilisation(server) + _FAILURE_PENALTY * self._compute_failure_rate(
            health, self._clock()
        )
        score += _OTHER_ZONE_PENALTY * (server.zone != self._zone)
        return score + self._rng.random() * _MAX_TIE_PENALTY

    def _get_health(self, server_id: str) -> _Health:
        health = self._health.get(server_id)
        if health is None:
            health = self._health[server_id] = _Health(0, 0.0, 0.0, None, 0.0)
        return health
