"""What the forwarding of one request needs to know."""

__all__ = ["Context"]


class Context:
    """One request under way.

    :param exchange: request and response of the caller
    :param info: what its header says
    :param route: route that it took
    :param service: service that it goes to
    :param organisation: name of its organisation, None on open routes
    :param priority: 0 first
    :param started_at: time at which it had been read, in seconds
    :param deadline: time by which it must have an answer, in seconds
    """

    __slots__ = (
        "exchange",
        "info",
        "route",
        "service",
        "organisation",
        "priority",
        "started_at",
        "deadline",
        "version",
        "sends",
        "outcome",
        "reason",
        "servers",
        "first_s",
        "longest_gap_s",
        "_passed_at",
    )

    def __init__(self, exchange, info, route, service, organisation, priority, started_at, version):
        self.exchange = exchange
        self.info = info
        self.route = route
        self.service = service
        self.organisation = organisation
        self.priority = priority
        self.started_at = started_at
        self.version = version
        limit_s = route.timeout_s
        if info.deadline_s is not None:
            limit_s = min(limit_s, info.deadline_s)
        self.deadline = started_at + limit_s
        self.sends = 0
        self.outcome = "gone"
        self.reason = ""
        self.servers: list[str] = []
        self.first_s: float | None = None
        self.longest_gap_s = 0.0
        self._passed_at = started_at

    def note_passed(self, now: float) -> None:
        """Note that events were passed on: time to the first, and the longest gap after it."""
        if self.first_s is None:
            self.first_s = now - self.started_at
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self._passed_at)
        self._passed_at = now

    def find_misses(self) -> list[str]:
        """Return which objectives the stream missed: ``first`` event, ``gap`` between events."""
        misses = []
        if self.first_s is not None and self.first_s > self.route.objective_s:
            misses.append("first")
        if self.route.gap_s and self.longest_gap_s > self.route.gap_s:
            misses.append("gap")
        return misses
