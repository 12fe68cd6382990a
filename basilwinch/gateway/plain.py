"""Handler of calls to plain services and of look-ups of orders."""

import time
from collections.abc import Callable
from functools import singledispatchmethod

import trio

from basilwinch.catalog import Catalog, Organisation, ServiceKind
from basilwinch.exception import MALFORMED_REQUEST, NOT_FOUND, UNKNOWN_SERVICE, Failure
from basilwinch.gateway.exchange import Exchange, render_error
from basilwinch.order import OrderDone, OrderNotRun, OrderRequest, OrderRunner, OrderUnknown
from basilwinch.server import ServiceCall, ServiceReply
from basilwinch.service import ServiceDispatcher

__all__ = ["PlainHandler"]

# Also limited in bytes, by ``MAX_ORDER_ID_BYTES`` of the order runner.
MAX_ORDER_ID_CHARACTERS = 200
# Servers get the name of the organisation in place of its API key, and never a name that the caller
# has set itself.
_HEADERS_NOT_FORWARDED = frozenset((b"authorization", b"x-basilwinch-organisation"))


class PlainHandler:
    """Routes calls to plain services. Calls that are not idempotent run as orders, at most once.

    :param dispatcher: sends idempotent calls, with retries
    :param orders: runs calls that are not idempotent
    :param find_catalog: returns the catalog in effect
    :param wall_clock: returns seconds since the epoch
    """

    __slots__ = ("_dispatcher", "_orders", "_find_catalog", "_wall_clock")

    def __init__(
        self,
        dispatcher: ServiceDispatcher,
        orders: OrderRunner,
        find_catalog: Callable[[], Catalog],
        wall_clock: Callable[[], float] = time.time,
    ):
        self._wall_clock = wall_clock
        self._dispatcher = dispatcher
        self._orders = orders
        self._find_catalog = find_catalog

    async def answer(
        self,
        exchange: Exchange,
        request_id: str,
        organisation: Organisation,
        body: bytes,
        deadline_s: float,
    ) -> Failure | None:
        """Answer a call under ``/services/{service}/{path}``.

        :param deadline_s: time left in seconds
        :returns: None once a response was sent, else the failure to respond with
        """
        name, _, rest = exchange.path.removeprefix("/services/").partition("/")
        service = self._find_catalog().services.get(name)
        if service is None or service.kind is not ServiceKind.PLAIN:
            return UNKNOWN_SERVICE.because(f"no plain service {name!r} in the catalog")
        path = "/" + rest
        call = _build_call(exchange, path, organisation, body)
        if service.is_idempotent(exchange.method, path):
            reply = await self._dispatcher.call(name, call, deadline_s)
            if isinstance(reply, Failure):
                return reply
            await exchange.respond(reply.status, reply.body, reply.headers)
            return None
        return await self._run_order(exchange, request_id, organisation, name, call)

    async def _run_order(
        self, exchange, request_id: str, organisation: Organisation, service: str, call: ServiceCall
    ) -> Failure | None:
        order_id = exchange.get_header(b"idempotency-key").strip() or self._create_order_id(
            request_id
        )
        if len(order_id) > MAX_ORDER_ID_CHARACTERS:
            return MALFORMED_REQUEST.because(
                f"Idempotency-Key: expected at most {MAX_ORDER_ID_CHARACTERS} characters, got more"
            )
        servers = self._dispatcher.candidates(service, trio.current_time())
        order = OrderRequest(organisation.name, order_id, service, tuple(servers), call)
        outcome = await self._orders.run(order)
        await self._respond(outcome, exchange, order_id)
        return None

    def _create_order_id(self, request_id: str) -> str:
        """Return an order id with its issue time; the record of an id without one never expires."""
        return f"{self._wall_clock():.3f}-{request_id}"

    async def look_up(self, exchange: Exchange, organisation: Organisation) -> Failure | None:
        """Answer a look-up of an order under ``/orders/{id}``."""
        order_id = exchange.path.removeprefix("/orders/")
        outcome = await self._orders.look_up(organisation.name, order_id)
        if outcome is None:
            return NOT_FOUND.because(f"no order {order_id!r} of organisation {organisation.name!r}")
        await self._respond(outcome, exchange, order_id)
        return None

    @singledispatchmethod
    async def _respond(self, outcome, exchange: Exchange, order_id: str) -> None:
        raise TypeError(f"no response is defined for an outcome of type {type(outcome).__name__}")

    @_respond.register
    async def _(self, outcome: OrderDone, exchange: Exchange, order_id: str) -> None:
        reply: ServiceReply = outcome.reply
        headers = [*reply.headers, *_build_outcome_headers(order_id, b"done")]
        await exchange.respond(reply.status, reply.body, headers)

    @_respond.register
    async def _(self, outcome: OrderNotRun, exchange: Exchange, order_id: str) -> None:
        await exchange.respond_failure(
            outcome.failure, _build_outcome_headers(order_id, b"not-run")
        )

    @_respond.register
    async def _(self, outcome: OrderUnknown, exchange: Exchange, order_id: str) -> None:
        document = render_error(outcome.failure)
        document["order"] = {"id": order_id, "outcome": "unknown", "look_up": f"/orders/{order_id}"}
        headers = _build_outcome_headers(order_id, b"unknown")
        await exchange.respond_json(outcome.failure.kind.status, document, headers)


def _build_call(
    exchange: Exchange, path: str, organisation: Organisation, body: bytes
) -> ServiceCall:
    headers = [pair for pair in exchange.headers if pair[0].lower() not in _HEADERS_NOT_FORWARDED]
    headers.append((b"x-basilwinch-organisation", organisation.name.encode()))
    if exchange.query:
        path = f"{path}?{exchange.query.decode('latin-1')}"
    return ServiceCall(exchange.method, path, tuple(headers), body)


def _build_outcome_headers(order_id: str, outcome: bytes) -> list[tuple[bytes, bytes]]:
    return [
        (b"x-basilwinch-order", order_id.encode()),
        (b"x-basilwinch-outcome", outcome),
    ]
