"""Handling of a caller's request from its header to the end of its response."""

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
    FailureKind,
)
from basilwinch.forward.arrivals import ArrivalHold
from basilwinch.forward.context import Context
from basilwinch.forward.outcome import Answered
from basilwinch.view import RouteKind, read_boot_clock

__all__ = ["OTHER_NODE_RETRY_AFTER_S", "Forwarder"]

# Age of the view above which keys are refused, as a fraction of the time within which a revoked key
# must be refused. The rest covers the transfer of the request from its caller.
_MAX_VIEW_AGE_FRACTION = 0.94
# Sent by a node that is stopping or has no current view. Callers retry on a new connection, which
# another node accepts, so a longer wait would only delay them.
OTHER_NODE_RETRY_AFTER_S = 0.02
_VIEW_FAILURES = (NO_CONFIGURATION, STALE_CONFIGURATION)  # that a complete first view may avoid


class Forwarder:
    """Finds the route of a request and passes the request to the forwarder of its service.

    :param components: :class:`~basilwinch.forward.components.Components`
    :param plain: forwarder to plain servers
    :param stream: forwarder over chains
    :param bounds: :class:`~basilwinch.entry.settings.Bounds`
    :param rng: random numbers for the traffic split of routes
    :param metrics: :class:`~basilwinch.entry.metrics.Metrics`
    """

    __slots__ = ("_components", "_plain", "_stream", "_bounds", "_rng", "_metrics", "_hold", "_log")

    def __init__(self, components, plain, stream, bounds, rng, metrics):
        self._components = components
        self._plain = plain
        self._stream = stream
        self._bounds = bounds
        self._rng = rng
        self._metrics = metrics
        self._hold = ArrivalHold(components.view.first_read, rng, metrics.count_arrival)
        self._log = structlog.get_logger("request")

    def stop_holding(self) -> None:
        """Hold no more requests that arrive before the first view, as the node drains."""
        self._hold.stop()

    async def handle(self, exchange) -> None:
        """Handle one request and send its response."""
        now = trio.current_time()
        info = self._components.dialect.read_request(exchange.headers)
        context = self._route(exchange, info, now)
        needs_view = isinstance(context, Failure) and context.kind in _VIEW_FAILURES
        if needs_view and await self._hold.hold(info, now, len(exchange.body)):
            context = self._route(exchange, info, now)
        if isinstance(context, Failure):
            await self._reject(exchange, info, context)
            self._record_rejection(exchange, info, context)
            return
        obstacle = self._components.connector.find_obstacle()
        if obstacle is not None:
            await self._reject(exchange, info, obstacle)
            self._record_rejection(exchange, info, obstacle)
            return
        self._components.retry_budget.count_request(context.service.name)
        if context.service.engine is not None:
            self._components.chain_selection.count_request(context.service.name, context.priority)
        result: object = None
        try:
            forwarder = self._stream if self._uses_chain(context) else self._plain
            result = await forwarder.forward(context)
            await self._send_result(result, context)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise  # the caller has left
        except Exception as error:
            context.outcome, context.reason = "internal_error", repr(error)
            raise
        finally:
            self._record_request(context, now)

    def _uses_chain(self, context) -> bool:
        return context.service.engine is not None and context.route.kind is RouteKind.STREAMING

    def _route(self, exchange, info, now) -> Context | Failure:
        """Return the context of a request, or a failure if it can't be forwarded."""
        configuration = self._components.view.configuration
        if configuration is None:
            return NO_CONFIGURATION.because(
                "no configuration has been read yet", OTHER_NODE_RETRY_AFTER_S
            )
        host = exchange.headers.get(b"host", b"").decode("latin-1").lower().partition(":")[0]
        path = exchange.target.partition(b"?")[0].decode("latin-1")
        route = configuration.find_route(host, path)
        if route is None:
            return self._deny(
                NOT_FOUND,
                f"no route for host {host!r} and path {path!r} in configuration version "
                f"{configuration.version}",
            )
        organisation = None
        if configuration.organisations is not None and not route.open:
            age_s = self._components.view.age(read_boot_clock())
            if (
                self._bounds.revoke_closed
                and age_s > self._bounds.revoke_s * _MAX_VIEW_AGE_FRACTION
            ):
                return STALE_CONFIGURATION.because(
                    f"view is {age_s:.2f} s old, limit "
                    f"{self._bounds.revoke_s * _MAX_VIEW_AGE_FRACTION:.2f} s",
                    OTHER_NODE_RETRY_AFTER_S,
                )
            organisation = configuration.organisations.get(info.key)
            if organisation is None:
                return self._deny(
                    WRONG_KEY, f"key is not in configuration version {configuration.version}"
                )
        service = configuration.services.get(self._choose_target(route))
        if service is None:
            return self._deny(
                UNKNOWN_SERVICE,
                f"the chosen target of route {route.name} is not a service of configuration "
                f"version {configuration.version}; targets and weights: {route.targets}",
            )
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        name = organisation.name if organisation else None
        version = configuration.version
        return Context(exchange, info, route, service, name, priority, now, version)

    def _deny(self, kind: FailureKind, reason: str) -> Failure:
        """Return a final refusal, or one that can be retried if the view may be out of date.

        A caller does not come back after a final refusal. With a view confirmed within the time
        that a new configuration may take, each configuration that must be in force is known.
        """
        age_s = self._components.view.age(read_boot_clock())
        if age_s < self._bounds.config_apply_s:
            return kind.because(reason)
        return STALE_CONFIGURATION.because(
            f"{reason}; view is {age_s:.2f} s old, limit {self._bounds.config_apply_s:.2f} s",
            OTHER_NODE_RETRY_AFTER_S,
        )

    def _choose_target(self, route) -> str:
        if len(route.targets) == 1:
            return route.targets[0][0]
        names = [name for name, _ in route.targets]
        return self._rng.choices(names, [weight for _, weight in route.targets])[0]

    @singledispatchmethod
    async def _send_result(self, result, context) -> None:
        """Send the result to the caller."""
        raise TypeError(type(result))

    @_send_result.register
    async def _(self, result: None, context) -> None:
        context.outcome = "served"

    @_send_result.register
    async def _(self, result: Answered, context) -> None:
        context.outcome = "served" if result.status < 500 else "server_error"
        context.reason = str(result.status)
        await context.exchange.respond(result.status, result.header, result.body)

    @_send_result.register
    async def _(self, result: Failure, context) -> None:
        context.outcome = result.code
        context.reason = result.reason
        if not context.exchange.started:
            await self._reject(context.exchange, context.info, result)

    async def _reject(self, exchange, info, failure: Failure) -> None:
        header = self._components.dialect.build_rejection(info.id, failure.retry_after)
        await exchange.respond(failure.kind.status, header, b"")

    def _record_rejection(self, exchange, info, failure: Failure) -> None:
        self._metrics.count_request("none", failure.code, 0.0)
        self._log.info(
            "request rejected",
            request=info.id.decode("latin-1"),
            outcome=failure.code,
            reason=failure.reason,
            view_age_s=self._read_view_age(),
        )

    def _read_view_age(self) -> float | None:
        """Return the age of the view in seconds for the log, None if it was never complete."""
        view = self._components.view
        return round(view.age(read_boot_clock()), 2) if view.is_loaded else None

    def _record_request(self, context: Context, started_at: float) -> None:
        duration_s = trio.current_time() - started_at
        kind = context.route.kind.value
        self._metrics.count_request(kind, context.outcome, duration_s)
        if context.first_s is not None:
            self._metrics.count_stream(context.first_s, context.find_missed_objectives())
        if context.loss_cause is not None:
            self._metrics.count_lost_stream(context.loss_cause, context.loss_end)
        self._log.info(
            "request ended",
            request=context.info.id.decode("latin-1"),
            route=context.route.name,
            version=context.version,
            outcome=context.outcome,
            reason=context.reason,
            servers=context.servers,
            duration_ms=round(duration_s * 1000, 1),
            **_describe_stream(context),
        )


def _describe_stream(context: Context) -> dict:
    """Return the log fields of a stream, none if it has sent no event."""
    if context.first_s is None:
        return {}
    fields = {
        "first_ms": round(context.first_s * 1000, 1),
        "gap_ms": round(context.longest_gap_s * 1000, 1),
        "missed": context.find_missed_objectives(),
    }
    if context.loss_cause is not None:
        fields |= {"cause": context.loss_cause, "end": context.loss_end}
    return fields
