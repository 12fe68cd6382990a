"""Choice of a plain server by its load and its recent failures."""

from basilwinch.record import Record

__all__ = ["ServerSelection"]

_GAIN = 0.2  # weight of the newest result in the moving averages
_FAILURE_WEIGHT = 3.0  # a server that always fails counts as this many times its slots busier
_ZONE_WEIGHT = 0.05  # part of the slots by which a server of another zone counts as busier
_LOAD_AGE_S = 1.0  # a load told by a server counts for so long
_TIE_SPREAD = 0.01  # part of the slots by which equals are told apart at random
_RECOVERY_S = 5.0  # half-life of the memory of failures


class _Health(Record):
    __slots__ = ("outstanding", "failures", "failed_at", "load", "load_at")


class ServerSelection:
    """Chooses the least busy server of a service.

    :param zone: zone of this node
    :param clock: function that returns the time in seconds
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
        return min(options, key=self._score, default=None)

    def begin(self, server_id: str) -> None:
        """Count a request that is sent."""
        self._of(server_id).outstanding += 1

    def end(self, server_id: str, failed: bool | None, load) -> None:
        """Count its end.

        :param failed: whether the server failed, None if that is not known
        :param load: load that the server told, or None
        """
        health = self._of(server_id)
        now = self._clock()
        health.outstanding -= 1
        if load is not None:
            health.load, health.load_at = load, now
        if failed is None:
            return
        health.failures = self._failures(health, now) * (1 - _GAIN) + _GAIN * failed
        health.failed_at = now

    def forget(self, known) -> None:
        """Drop servers that are gone."""
        gone = [s for s, h in self._health.items() if s not in known and not h.outstanding]
        for server_id in gone:
            del self._health[server_id]

    def _failures(self, health, now) -> float:
        return health.failures * 0.5 ** ((now - health.failed_at) / _RECOVERY_S)

    def _busy(self, server) -> float:
        health = self._of(server.id)
        busy = health.outstanding
        if health.load is not None and self._clock() - health.load_at < _LOAD_AGE_S:
            busy = max(busy, health.load.running + health.load.waiting - 1)
        return busy / max(1, server.slots)

    def _score(self, server) -> float:
        health = self._of(server.id)
        score = self._busy(server) + _FAILURE_WEIGHT * self._failures(health, self._clock())
        score += _ZONE_WEIGHT * (server.zone != self._zone)
        return score + self._rng.random() * _TIE_SPREAD

    def _of(self, server_id: str) -> _Health:
        health = self._health.get(server_id)
        if health is None:
            health = self._health[server_id] = _Health(0, 0.0, 0.0, None, 0.0)
        return health
