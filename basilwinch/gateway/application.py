"""The ASGI application for callers and operators."""

from collections.abc import Callable

import prometheus_client
import structlog
import trio

from basilwinch.exception import (
    DRAINING,
    MALFORMED_REQUEST,
    NOT_FOUND,
    BasilwinchError,
    CallerError,
    Failure,
)
from basilwinch.gateway.chat import ChatHandler
from basilwinch.gateway.exchange import CallerDisconnected, Exchange, run_lifespan
from basilwinch.gateway.identity import KeyIndex, RequestIds
from basilwinch.gateway.metrics import GatewayMetrics
from basilwinch.gateway.plain import PlainHandler
from basilwinch.number import parse_digits
from basilwinch.record import Record

__all__ = ["Gateway", "GatewayConfig", "NodeView"]


class GatewayConfig(Record):
    """Limits of the gateway.

    :param body_limit: maximum size of a request body in bytes
    :param body_timeout_s: maximum time to receive a request body in seconds
    :param deadline_s: default deadline in seconds, for requests without ``X-Deadline-Ms``
    """

    __slots__ = ("body_limit", "body_timeout_s", "deadline_s")
    _defaults = {"body_limit": 1 << 20, "body_timeout_s": 10.0, "deadline_s": 120.0}


class NodeView(Record):
    """Read access of the gateway to its node; each field is a function without arguments.

    :param find_catalog: returns the catalog in effect
    :param check_ready: returns None if the node is ready, else a ``Failure``
    :param describe: returns the JSON document of ``/admin/state``
    """

    __slots__ = ("find_catalog", "check_ready", "describe")


class Gateway:
    """The ASGI application.

    :param config: limits of the gateway
    :param node: view of the node
    :param chat: handler of chat requests
    :param plain: handler of calls to plain services
    :param metrics: metrics of the gateway
    :param ids: generator of request ids

    While ``draining`` is set, the readiness check fails; while ``refusing`` is set, new requests
    are refused with ``DRAINING``. ``open_requests`` counts the requests in progress.
    """

    __slots__ = (
        "config",
        "node",
        "chat",
        "plain",
        "metrics",
        "ids",
        "open_requests",
        "draining",
        "refusing",
        "_keys",
        "_log",
    )

    def __init__(
        self,
        config: GatewayConfig,
        node: NodeView,
        chat: ChatHandler,
        plain: PlainHandler,
        metrics: GatewayMetrics,
        ids: RequestIds,
    ):
        self.config = config
        self.node = node
        self.chat = chat
        self.plain = plain
        self.metrics = metrics
        self.ids = ids
        self.open_requests = 0
        self.draining = False
        self.refusing = False
        self._keys = KeyIndex()
        self._log = structlog.get_logger("gateway")

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Serve one ASGI connection scope; scopes other than HTTP and lifespan are ignored."""
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send)
        if await self._answer_operator_request(exchange):
            return
        await self._answer_caller_request(exchange)

    async def _answer_operator_request(self, exchange: Exchange) -> bool:
        if exchange.method not in ("GET", "HEAD"):
            return False
        if exchange.path == "/healthz":
            await exchange.respond_json(200, {"status": "ok"})
        elif exchange.path == "/readyz":
            failure = self._check_ready()
            if failure is None:
                await exchange.respond_json(200, {"status": "ready"})
            else:
                await exchange.respond_failure(failure)
        elif exchange.path == "/metrics":
            text = prometheus_client.generate_latest(self.metrics.registry)
            content_type = prometheus_client.CONTENT_TYPE_LATEST.encode()
            await exchange.respond(200, text, [(b"content-type", content_type)])
        elif exchange.path == "/admin/state":
            await exchange.respond_json(200, self.node.describe())
        else:
            return False
        return True

    def _check_ready(self) -> Failure | None:
        if self.draining:
            return DRAINING.because("the node is shutting down")
        return self.node.check_ready()

    async def _answer_caller_request(self, exchange: Exchange) -> None:
        request_id = self.ids.create()
        started = trio.current_time()
        self.open_requests += 1
        self.metrics.open_requests.inc()
        code = "ok"
        try:
            code = await self._answer_or_report_failure(exchange, request_id)
        except CallerDisconnected:
            code = "caller_gone"
        finally:
            self.open_requests -= 1
            self.metrics.open_requests.dec()
            self.metrics.requests.labels(_find_route_label(exchange.path), code).inc()
            self._log.info(
                "request ended",
                request=request_id,
                method=exchange.method,
                path=exchange.path,
                status=exchange.status,
                code=code,
                seconds=round(trio.current_time() - started, 6),
            )

    async def _answer_or_report_failure(self, exchange: Exchange, request_id: str) -> str:
        try:
            failure = await self._answer_route(exchange, request_id)
        except BasilwinchError as error:
            failure = error.failure
        if failure is None:
            return "ok"
        if not exchange.started:
            await exchange.respond_failure(failure)
        return failure.code

    async def _answer_route(self, exchange: Exchange, request_id: str) -> Failure | None:
        if self.refusing:
            return DRAINING.because("the node is shutting down", retry_after=1.0)
        failure = self.node.check_ready()
        if failure is not None:
            return failure
        catalog = self.node.find_catalog()
        organisation = self._keys.find(catalog, exchange.get_header(b"authorization"))
        if not organisation:
            return organisation
        deadline_s = _read_deadline(exchange, self.config.deadline_s)
        if exchange.path == "/v1/models" and exchange.method == "GET":
            await exchange.respond_json(200, _list_models(catalog, organisation))
            return None
        if exchange.path == "/v1/chat/completions" and exchange.method == "POST":
            document = await exchange.read_json(self.config.body_limit, self.config.body_timeout_s)

            async def answer() -> Failure | None:
                return await self.chat.answer(
                    exchange, request_id, organisation, document, deadline_s
                )

            return await _run_while_connected(exchange, answer)
        if exchange.path.startswith("/services/"):
            body = await exchange.read_body(self.config.body_limit, self.config.body_timeout_s)
            return await self.plain.answer(exchange, request_id, organisation, body, deadline_s)
        if exchange.path.startswith("/orders/") and exchange.method == "GET":
            return await self.plain.look_up(exchange, organisation)
        return NOT_FOUND.because(f"no route for {exchange.method} {exchange.path}")


async def _run_while_connected(exchange: Exchange, answer: Callable):
    """Run ``answer``; cancel it when the caller disconnects, so that its slots are freed at once.

    :raises CallerDisconnected: if the caller disconnects first
    """
    outcome: list = []

    async def watch(scope: trio.CancelScope) -> None:
        await exchange.wait_for_disconnect()
        scope.cancel()

    async def run(scope: trio.CancelScope) -> None:
        try:
            outcome.append(await answer())
        except BasilwinchError as error:
            outcome.append(error.failure)
        scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch, nursery.cancel_scope)
        nursery.start_soon(run, nursery.cancel_scope)
    if not outcome:
        raise CallerDisconnected
    return outcome[0]


def _read_deadline(exchange: Exchange, default_s: float) -> float:
    text = exchange.get_header(b"x-deadline-ms")
    if not text:
        return default_s
    milliseconds = parse_digits(text)
    if not milliseconds:
        reason = f"X-Deadline-Ms: expected a positive whole number of milliseconds, got {text!r}"
        raise CallerError(MALFORMED_REQUEST.because(reason))
    return milliseconds / 1000


def _list_models(catalog, organisation) -> dict:
    names = (
        n for n in sorted(catalog.models) if not organisation.models or n in organisation.models
    )
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "basilwinch"} for name in names
    ]
    return {"object": "list", "data": data}


def _find_route_label(path: str) -> str:
    """Return the route of a path for the metric label ``route``, which must have few values."""
    for prefix in ("/v1/chat/completions", "/v1/models", "/services/", "/orders/"):
        if path.startswith(prefix):
            return prefix
    return "other"
