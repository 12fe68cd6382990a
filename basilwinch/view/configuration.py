"""The operators' configuration: routes, services, organisations and limits."""

import enum

from basilwinch.record import Record

__all__ = [
    "CardKind",
    "CallerLimits",
    "Configuration",
    "Engine",
    "Organisation",
    "Route",
    "RouteKind",
    "Service",
]


class RouteKind(enum.StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Route(Record):
    """A route; ``targets`` are pairs of a service name and a weight."""

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


class CardKind(Record):
    """A kind of accelerator: memory in MB, step time and reading time relative to the engine's."""

    __slots__ = ("name", "memory_mb", "step_factor", "read_factor")


class Engine(Record):
    """Figures of a model engine.

    :param layers: layers of the model
    :param layer_mb: memory of a layer in MB
    :param token_layer_bytes: KV cache of one token in one layer, in bytes
    :param kinds: dict of :class:`CardKind` by name
    :param step_ms: time of a step of all layers on a server of factor 1
    :param sequence_ms: additional time of a step for each running request
    :param context_ms: additional time of a step for each 1,000 tokens of context
    :param read_per_ms: prompt tokens read in a millisecond
    :param stride: steps in a pass
    :param usual_tokens: mean tokens of a request, prompt and response
    :param load_s: time to load all layers
    :param transfer_s: time for which a token takes the pipe that the zones share, 0 without a limit
    """

    __slots__ = (
        "layers",
        "layer_mb",
        "token_layer_bytes",
        "kinds",
        "step_ms",
        "sequence_ms",
        "context_ms",
        "read_per_ms",
        "stride",
        "usual_tokens",
        "load_s",
        "transfer_s",
    )
    _defaults = {"transfer_s": 0.0}


class Service(Record):
    """A service; ``engine`` is None for a plain one."""

    __slots__ = ("name", "engine")


class Organisation(Record):
    """An organisation; a priority of None leaves that of the route in force."""

    __slots__ = ("name", "priority")


class CallerLimits(Record):
    """What a caller may send, and how long it may take."""

    __slots__ = ("header_bytes", "body_bytes", "header_s", "idle_s")
    _defaults = {"header_bytes": 16384, "body_bytes": 4194304, "header_s": 3.0, "idle_s": 15.0}


class Configuration:
    """One version of the configuration.

    :param version: number that grows with each change
    :param routes: list of :class:`Route`
    :param services: dict of :class:`Service` by name
    :param organisations: dict of :class:`Organisation` by key, None if no keys are needed
    :param limits: :class:`CallerLimits`
    """

    __slots__ = ("version", "routes", "services", "organisations", "limits", "_by_host")

    def __init__(self, version, routes, services, organisations, limits):
        self.version = version
        self.routes = routes
        self.services = services
        self.organisations = organisations
        self.limits = limits
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix.

        Notes
        -----
        One look-up for each slash of the path, independent of the number of routes.
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
