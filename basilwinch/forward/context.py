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
