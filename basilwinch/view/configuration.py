"""Configuration by the operators: routes, services, organisations and limits."""

import enum

from basilwinch.record import Record

__all__ = [
    "AcceleratorKind",
    "CallerLimits",
    "Configuration",
    "Engine",
    "Organisation",
    "Route",
    "RouteKind",
    "Service",
]


class RouteKind(enum.StrEnum):
    """Kind of a route, which decides whether its requests may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Route(Record):
    """A route.

    :param name: name of the route
    :param host: host name that it matches
    :param prefix: path prefix that it matches, with a slash at its end
    :param kind: :class:`RouteKind`
    :param targets: pairs of a service name and a weight, for the traffic split
    :param timeout_s: maximum time for a response, in seconds
    :param objective_s: objective for the response or its first event, in seconds
    :param gap_s: objective for the gap between events in seconds, 0 for none
    :param max_attempts: maximum number of attempts in which a request may run
    :param priority: 0 is the highest
    :param open: whether requests need no API key
    :param resumable: whether a stream may resume at another chain
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "targets",
        "timeout_s",
        "objective_s",
        "gap_s",
        "max_attempts",
        "priority",
        "open",
        "resumable",
    )


class AcceleratorKind(Record):
    """A kind of accelerator.

    :param name: name of the kind
    :param memory_mb: memory for weights and KV cache in MB
    :param step_factor: time of a step as a multiple of that which :class:`Engine` gives
    :param prefill_factor: time to process prompt tokens as a multiple of that which
        :class:`Engine` gives
    """

    __slots__ = ("name", "memory_mb", "step_factor", "prefill_factor")


class Engine(Record):
    """Cost model of a model engine.

    :param layers: layers of the model
    :param layer_mb: memory of a layer in MB
    :param token_layer_bytes: KV cache of one token in one layer, in bytes
    :param kinds: dict of :class:`AcceleratorKind` by name
    :param step_ms: time of a step through all layers on an accelerator with a ``step_factor`` of 1
    :param sequence_ms: additional time of a step for each running request
    :param context_ms: additional time of a step for each 1,000 context tokens of a running request
    :param prefill_tokens_per_ms: prompt tokens processed in a millisecond on an accelerator with a
        ``prefill_factor`` of 1
    :param stride: steps in a pass through the chain
    :param mean_request_tokens: mean tokens of a request, prompt and response together
    :param load_s: time to load all layers, in seconds
    :param token_transfer_s: time in seconds for which a token occupies the link that all zones
        share, 0 for no limit
    :param mean_output_tokens: mean tokens of a response
    """

    __slots__ = (
        "layers",
        "layer_mb",
        "token_layer_bytes",
        "kinds",
        "step_ms",
        "sequence_ms",
        "context_ms",
        "prefill_tokens_per_ms",
        "stride",
        "mean_request_tokens",
        "load_s",
        "token_transfer_s",
        "mean_output_tokens",
    )
    _defaults = {"token_transfer_s": 0.0, "mean_output_tokens": 200.0}


class Service(Record):
    """A service; ``engine`` is None for a plain service, which runs without chains."""

    __slots__ = ("name", "engine")


class Organisation(Record):
    """An organisation; with a priority of None, that of the route applies."""

    __slots__ = ("name", "priority")


class CallerLimits(Record):
    """Limits of a caller's connection.

    :param header_bytes: maximum size of a request header
    :param body_bytes: maximum size of a request body
    :param header_s: time for a header to arrive, in seconds
    :param idle_s: time for which a connection may be idle, in seconds
    """

    __slots__ = ("header_bytes", "body_bytes", "header_s", "idle_s")
    _defaults = {"header_bytes": 16384, "body_bytes": 4194304, "header_s": 3.0, "idle_s": 15.0}


class Configuration:
    """One version of the configuration.

    :param version: number that increases with each change
    :param routes: list of :class:`Route`
    :param services: dict of :class:`Service` by name
    :param organisations: dict of :class:`Organisation` by API key, None if no keys are needed
    :param limits: :class:`CallerLimits`
    """

    __slots__ = ("version", "routes", "services", "organisations", "limits", "_by_host", "_gaps_s")

    def __init__(self, version, routes, services, organisations, limits):
        self.version = version
        self.routes = routes
        self.services = services
        self.organisations = organisations
        self.limits = limits
        self._by_host: dict[str, dict[str, Route]] = {}
        self._gaps_s: dict[str, float] = {}  # results of find_gap_s, by service
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def list_stream_priorities(self, service: str) -> set[int]:
        """Return the priorities among which streams of a service compete for chains.

        Those of organisations count only where the routes have several: with a single one, they
        order the requests that wait, and nothing is reserved.
        """
        priorities = {
            route.priority
            for route in self.routes
            if route.kind is RouteKind.STREAMING and any(service == t[0] for t in route.targets)
        }
        if len(priorities) < 2:
            return priorities
        organisations = (self.organisations or {}).values()
        return priorities | {o.priority for o in organisations if o.priority is not None}

    def find_gap_s(self, service: str) -> float:
        """Return the shortest objective for gaps of a service's streams in seconds, 0 for none."""
        if service not in self._gaps_s:
            gaps_s = [
                route.gap_s
                for route in self.routes
                if route.gap_s and any(service == target[0] for target in route.targets)
            ]
            self._gaps_s[service] = min(gaps_s, default=0.0)
        return self._gaps_s[service]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix.

        Notes
        -----
        One look-up for each slash of the path, whatever the number of routes.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
