"""Context of one request that is forwarded."""

__all__ = ["Context"]

# Callers leave a stream after a gap between events of this time, or of these multiples of the
# route's objective and of its target for gaps, whichever is longest.
_MIN_LEAVE_GAP_S = 2.0
_LEAVE_OBJECTIVES = 4.0
_LEAVE_GAP_TARGETS = 8.0


class Context:
    """A request in progress, with what is recorded about it.

    ``deadline`` is the time by which it must be answered, in seconds. ``sends`` counts how
    often it was sent to a server, and ``servers`` lists these servers, or chains. ``first_s`` is
    the time from ``started_at`` to the first event and ``longest_gap_s`` the longest time between
    two sends of events to the caller, both in seconds. ``outcome`` is ``served``,
    ``server_error``, the code of a failure, or ``gone`` if the caller left first; ``reason``
    explains it in the log. ``request_digest`` identifies the request when its caller sends it
    again, None until it is computed. ``loss_cause`` and ``loss_end`` tell why the last chain of a
    stream that broke off was left, and the code of the failure for which no other continued it;
    both are None for others.

    :param exchange: request and response of the caller
    :param info: :class:`~basilwinch.forward.message.CallerRequest`
    :param route: route that matches the request
    :param service: service that runs the request
    :param organisation: name of its organisation, None on open routes
    :param priority: 0 is the highest
    :param started_at: time at which the request had been read, in seconds
    :param version: version of the configuration that the route is from
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
        "request_digest",
        "loss_cause",
        "loss_end",
        "_last_events_at",
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
        self.request_digest: str | None = None
        self.loss_cause: str | None = None
        self.loss_end: str | None = None
        self._last_events_at = started_at

    def record_events(self, now: float) -> None:
        """Record the time to the first event, and the longest gap between events.

        :param now: time at which events were sent to the caller, in seconds
        """
        if self.first_s is None:
            self.first_s = now - self.started_at
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self._last_events_at)
        self._last_events_at = now

    def compute_leave_time(self) -> float:
        """Return the time in seconds at which the caller of a stream leaves if nothing arrives."""
        return self._last_events_at + max(
            _MIN_LEAVE_GAP_S,
            _LEAVE_OBJECTIVES * self.route.objective_s,
            _LEAVE_GAP_TARGETS * (self.route.gap_s or 0.0),
        )

    def find_missed_objectives(self) -> list[str]:
        """Return the objectives that the stream missed: ``first`` event, ``gap`` between events."""
        missed = []
        if self.first_s is not None and self.first_s > self.route.objective_s:
            missed.append("first")
        if self.route.gap_s and self.longest_gap_s > self.route.gap_s:
            missed.append("gap")
        return missed
