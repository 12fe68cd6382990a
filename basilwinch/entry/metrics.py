"""Metrics of an entry node."""

import prometheus_client

__all__ = ["Metrics"]

_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)


class Metrics:
    """Counters, histograms and gauges.

    Labels have only route kinds, outcomes, failure codes, objectives, causes of lost streams or of
    refusals as values, so that the number of time series is bounded.
    """

    __slots__ = (
        "registry",
        "_requests",
        "_durations",
        "_first_events",
        "_late_streams",
        "_lost_streams",
        "_held_up",
        "_view_age",
        "_servers",
        "_limited_servers",
        "_left_fraction",
        "_disconnected",
        "_tunnels",
        "_capacity_waiting",
        "_capacity_waits",
        "_capacity_refusals",
        "_relayed",
        "_arrivals",
        "_refused_clients",
        "_body_bytes",
        "_caller_connections",
        "_descriptors",
    )

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            "basilwinch_requests",
            "Requests by kind of route and outcome",
            ["kind", "outcome"],
            registry=self.registry,
        )
        self._durations = prometheus_client.Histogram(
            "basilwinch_request_seconds",
            "Time from the whole request to the end of its answer, in seconds",
            ["kind"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self._first_events = prometheus_client.Histogram(
            "basilwinch_first_event_seconds",
            "Time from the whole request to the first event of its stream, in seconds",
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self._late_streams = prometheus_client.Counter(
            "basilwinch_late_streams",
            "Streams whose first event, or a gap between events, missed its objective",
            ["objective"],
            registry=self.registry,
        )
        self._lost_streams = prometheus_client.Counter(
            "basilwinch_lost_streams",
            "Streams that broke off, by why their last chain was left and why none continued them",
            ["cause", "end"],
            registry=self.registry,
        )
        self._held_up = prometheus_client.Counter(
            "basilwinch_held_up_seconds",
            "Seconds by which waits for silent chains ended late as the process did not run",
            registry=self.registry,
        )
        self._view_age = prometheus_client.Gauge(
            "basilwinch_view_age_seconds",
            "Seconds since the view was known to be complete",
            registry=self.registry,
        )
        self._servers = prometheus_client.Gauge(
            "basilwinch_servers",
            "Registered backend servers",
            registry=self.registry,
        )
        self._limited_servers = prometheus_client.Gauge(
            "basilwinch_limited_servers",
            "Servers that name a limit of requests per second in their answers",
            registry=self.registry,
        )
        self._left_fraction = prometheus_client.Gauge(
            "basilwinch_left_zone_fraction",
            "Fraction of streams that this node is to send to chains of other zones",
            registry=self.registry,
        )
        self._disconnected = prometheus_client.Gauge(
            "basilwinch_disconnected",
            "1 while this node has lost its links to all servers, else 0",
            registry=self.registry,
        )
        self._tunnels = prometheus_client.Gauge(
            "basilwinch_tunnels",
            "Connections to servers that this node carries for other nodes",
            registry=self.registry,
        )
        self._capacity_waiting = prometheus_client.Gauge(
            "basilwinch_capacity_waiting",
            "Streams that wait for a chain with free capacity",
            registry=self.registry,
        )
        self._capacity_waits = prometheus_client.Histogram(
            "basilwinch_capacity_wait_seconds",
            "Time for which streams that started waited for a chain, in seconds",
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self._capacity_refusals = prometheus_client.Counter(
            "basilwinch_capacity_refusals",
            "Streams that were refused as no chain had free capacity in time, by cause",
            ["cause"],
            registry=self.registry,
        )

        self._relayed = prometheus_client.Counter(
            "basilwinch_relayed_reads",
            "Positions of the store that other nodes told while it refused this one, by outcome",
            ["outcome"],
            registry=self.registry,
        )

        self._arrivals = prometheus_client.Counter(
            "basilwinch_held_arrivals",
            "Requests that arrived before the first view was complete, by how their hold ended",
            ["outcome"],
            registry=self.registry,
        )

        self._refused_clients = prometheus_client.Counter(
            "basilwinch_refused_clients",
            "Requests refused and connections closed to stay within the budget, by cause",
            ["cause"],
            registry=self.registry,
        )
        self._body_bytes = prometheus_client.Gauge(
            "basilwinch_body_bytes",
            "Bytes of the request bodies that are being received or passed on, with copies",
            registry=self.registry,
        )
        self._caller_connections = prometheus_client.Gauge(
            "basilwinch_caller_connections",
            "Open connections of callers",
            registry=self.registry,
        )
        self._descriptors = prometheus_client.Gauge(
            "basilwinch_descriptors",
            "Open file descriptors of the process",
            registry=self.registry,
        )

    def set_intake(self, intake, count_descriptors) -> None:
        """Compute the gauges of an intake whenever the metrics are rendered.

        :param intake: :class:`~basilwinch.intake.Intake`
        :param count_descriptors: function that returns the open descriptors of the process
        """
        self._body_bytes.set_function(lambda: intake.held_bytes)
        self._caller_connections.set_function(lambda: intake.connections)
        self._descriptors.set_function(count_descriptors)

    def count_refused_client(self, cause) -> None:
        """Count a request that was refused, or a connection that was closed.

        :param cause: :class:`~basilwinch.intake.Cause`
        """
        self._refused_clients.labels(cause.value).inc()

    def set_links(self, links, tunnels) -> None:
        """Compute the gauges of lost links and of tunnels whenever the metrics are rendered.

        :param links: :class:`~basilwinch.tunnel.Reachability`
        :param tunnels: :class:`~basilwinch.tunnel.TunnelListener`
        """
        self._disconnected.set_function(lambda: links.is_disconnected)
        self._tunnels.set_function(tunnels.count_tunnels)

    def set_limited_servers(self, count) -> None:
        """Set the function that returns the number of servers with a limit of their own."""
        self._limited_servers.set_function(count)

    def set_left_fraction(self, get_fraction) -> None:
        """Set the function that returns the fraction of streams that leave the zone."""
        self._left_fraction.set_function(get_fraction)

    def set_view(self, view, clock) -> None:
        """Compute the gauges from a view whenever the metrics are rendered.

        :param view: :class:`~basilwinch.view.View`
        :param clock: function that returns the time in seconds, suspension included
        """
        self._view_age.set_function(lambda: view.age(clock()))
        self._servers.set_function(lambda: len(view.servers))

    def count_request(self, kind: str, outcome: str, duration_s: float) -> None:
        """Count a request.

        :param kind: kind of its route, or ``none``
        :param outcome: outcome or failure code
        :param duration_s: time from the end of the caller's request to the end of its response, in
            seconds; 0 if it was rejected without being forwarded
        """
        self._requests.labels(kind, outcome).inc()
        self._durations.labels(kind).observe(duration_s)

    def count_stream(self, first_s: float, missed: list[str]) -> None:
        """Count a stream that has sent an event.

        :param first_s: time to its first event, in seconds
        :param missed: objectives that it missed
        """
        self._first_events.observe(first_s)
        for objective in missed:
            self._late_streams.labels(objective).inc()

    def count_lost_stream(self, cause: str, end: str) -> None:
        """Count a stream that broke off.

        :param cause: why the last chain that had sent events was left, one of the constants of
            :mod:`basilwinch.forward.outcome`
        :param end: code of the failure for which no other chain continued it
        """
        self._lost_streams.labels(cause, end).inc()

    def set_capacity_queue(self, count) -> None:
        """Set the function that returns the number of streams that wait for a chain."""
        self._capacity_waiting.set_function(count)

    def count_capacity_wait(self, wait_s: float) -> None:
        """Count a stream that started after a wait for a chain.

        :param wait_s: its wait in seconds
        """
        self._capacity_waits.observe(wait_s)

    def count_capacity_refusal(self, cause: str) -> None:
        """Count a stream that was refused because no chain had free capacity in time.

        :param cause: ``estimate`` if it would have been late, ``late`` if its time had passed, or
            ``unmeasured`` if it waited in vain while no rate of starts was measured
        """
        self._capacity_refusals.labels(cause).inc()

    def count_held_up(self, seconds: float) -> None:
        """Add time for which the process did not run while it should have.

        :param seconds: time that was not added before
        """
        self._held_up.inc(seconds)

    def count_relayed(self, outcome: str) -> None:
        """Count an answer of a relay.

        :param outcome: ``used`` or ``not_believed``
        """
        self._relayed.labels(outcome).inc()

    def count_arrival(self, outcome: str) -> None:
        """Count a request that arrived before the first view was complete.

        :param outcome: how its hold ended, see :class:`~basilwinch.forward.arrivals.ArrivalHold`
        """
        self._arrivals.labels(outcome).inc()

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
