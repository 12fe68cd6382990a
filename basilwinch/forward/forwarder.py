"""Handles a caller's request from its header to its answer."""

from functools import singledispatchmethod

import structlog
import trio

from basilwinch.exception import (
    NO_CONFIGURATION,
    NOT_FOUND,
    STALE_CONFIGURATION,
    UNKNOWN_SERVICE,
    WRONG_KEY,
    Failure,
)
from basilwinch.forward.context import Context
from basilwinch.forward.outcome import Answered
from basilwinch.view import RouteKind, read_boot_clock

__all__ = ["ELSEWHERE_S", "Forwarder"]

# Part of the time in which a withdrawn key must be refused: with an older view, a key can't
# be relied on. The rest covers a request's way from its caller.
_STALE_PART = 0.94
# Retry-After, in seconds, of a node without a sound view or that stops: callers return on a new
# connection, so another node takes them, and a wait would only make them late.
ELSEWHERE_S = 0.02


class Forwarder:
    """Finds the route of a request and sends it to where it is served.

    :param services: :class:`~basilwinch.forward.services.Services`
    :param plain: forwarder to plain servers
    :param stream: forwarder over chains
    :param bounds: :class:`~basilwinch.entry.settings.Bounds`
    :param rng: random numbers for the split of traffic
    :param metrics: :class:`~basilwinch.entry.metrics.Metrics`
    """

    __slots__ = ("_services", "_plain", "_stream", "_bounds", "_rng", "_metrics", "_log")

    def __init__(self, services, plain, stream, bounds, rng, metrics):
        self._services = services
        self._plain = plain
        self._stream = stream
        self._bounds = bounds
        self._rng = rng
        self._metrics = metrics
        self._log = structlog.get_logger("request")

    async def handle(self, exchange) -> None:
        """Answer one request."""
        now = trio.current_time()
        info = self._services.dialect.read_request(exchange.headers)
        context = self._route(exchange, info, now)
        if isinstance(context, Failure):
            await self._reject(exchange, info, context)
            self._log_rejected(exchange, info, context)
            return
        self._services.budget.count_request(context.service.name)
        result: object = None
        try:
            forwarder = self._stream if self._is_layered(context) else self._plain
            result = await forwarder.forward(context)
            await self._answer(result, context)
        finally:
            self._note(context, now)

    def _is_layered(self, context) -> bool:
        return context.service.engine is not None and context.route.kind is RouteKind.STREAMING

    def _route(self, exchange, info, now) -> Context | Failure:
        """Return what is needed to forward a request, or why it can't be."""
        configuration = self._services.view.configuration
        if configuration is None:
            return NO_CONFIGURATION.because("no configuration yet", ELSEWHERE_S)
        host = exchange.headers.get(b"host", b"").decode("latin-1").lower().partition(":")[0]
        path = exchange.target.partition(b"?")[0].decode("latin-1")
        route = configuration.find_route(host, path)
        if route is None:
            return NOT_FOUND.because(f"no route in version {configuration.version}")
        organisation = None
        if configuration.organisations is not None and not route.open:
            age_s = self._services.view.age(read_boot_clock())
            if self._bounds.revoke_closed and age_s > self._bounds.revoke_s * _STALE_PART:
                return STALE_CONFIGURATION.because(f"view is {age_s:.2f} s old", ELSEWHERE_S)
            organisation = configuration.organisations.get(info.key)
            if organisation is None:
                return WRONG_KEY.because(f"key unknown in version {configuration.version}")
        service = configuration.services.get(self._choose_target(route))
        if service is None:
            return UNKNOWN_SERVICE.because(f"route {route.name} names an unknown service")
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        name = organisation.name if organisation else None
        version = configuration.version
        return Context(exchange, info, route, service, name, priority, now, version)

    def _choose_target(self, route) -> str:
        if len(route.targets) == 1:
            return route.targets[0][0]
        names = [name for name, _ in route.targets]
        return self._rng.choices(names, [weight for _, weight in route.targets])[0]

    @singledispatchmethod
    async def _answer(self, result, context) -> None:
        """Send the result to the caller."""
        raise TypeError(type(result))

    @_answer.register
    async def _(self, result: None, context) -> None:
        context.outcome = "served"

    @_answer.register
    async def _(self, result: Answered, context) -> None:
        context.outcome = "served" if result.status < 500 else "server_error"
        context.reason = str(result.status)
        await context.exchange.respond(result.status, result.header, result.body)

    @_answer.register
    async def _(self, result: Failure, context) -> None:
        context.outcome = result.code
        context.reason = result.reason
        if not context.exchange.started:
            await self._reject(context.exchange, context.info, result)

    async def _reject(self, exchange, info, failure: Failure) -> None:
        header = self._services.dialect.build_rejection(info.id, failure.retry_after)
        await exchange.respond(failure.kind.status, header, b"")

    def _log_rejected(self, exchange, info, failure: Failure) -> None:
        self._metrics.count_request("none", failure.code, 0.0)
        self._log.info(
            "request rejected",
            request=info.id.decode("latin-1"),
            outcome=failure.code,
            reason=failure.reason,
        )

    def _note(self, context: Context, started_at: float) -> None:
        duration_s = trio.current_time() - started_at
        kind = context.route.kind.value
        self._metrics.count_request(kind, context.outcome, duration_s)
        if context.first_s is not None:
            self._metrics.count_stream(context.first_s, context.find_misses())
        self._log.info(
            "request",
            request=context.info.id.decode("latin-1"),
            route=context.route.name,
            version=context.version,
            outcome=context.outcome,
            reason=context.reason,
            servers=context.servers,
            ms=round(duration_s * 1000, 1),
            **_describe_stream(context),
        )


def _describe_stream(context: Context) -> dict:
    """Return what the log tells of a stream that has begun."""
    if context.first_s is None:
        return {}
    return {
        "first_ms": round(context.first_s * 1000, 1),
        "gap_ms": round(context.longest_gap_s * 1000, 1),
        "missed": context.find_misses(),
    }
