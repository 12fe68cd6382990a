"""ASGI application that serves the stand-in engines and plain services over HTTP."""

import json
from collections.abc import Callable

from basilwinch.catalog import Server, ServiceKind
from basilwinch.exception import MALFORMED_REQUEST, SERVER_REFUSED, Failure, ServerError
from basilwinch.gateway.exchange import Exchange, render_error, run_lifespan
from basilwinch.server import EngineCall, ServerOrder, ServiceCall

__all__ = ["StandinServers"]

_NDJSON_HEADER = (b"content-type", b"application/x-ndjson")


class StandinServers:
    """Serves all servers of a test; the local port identifies the server.

    :param client: implements both :class:`~basilwinch.server.EngineClient` and
        :class:`~basilwinch.server.ServiceClient`
    :param servers: servers by listening port
    :param find_service: returns the catalog service with a name, or None
    """

    __slots__ = ("_client", "_servers", "_find_service")

    def __init__(self, client, servers: dict[int, Server], find_service: Callable):
        self._client = client
        self._servers = servers
        self._find_service = find_service

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Serve one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send)
        server = self._servers[scope["server"][1]]
        service = self._find_service(server.service)
        try:
            if service.kind is ServiceKind.PLAIN:
                await self._call_service(exchange, server)
            elif exchange.path == "/v1/stream":
                await self._stream(exchange, server)
            elif exchange.path == "/v1/order":
                await self._order(exchange, server)
            else:
                await exchange.respond_failure(
                    SERVER_REFUSED.because(
                        f"unknown path {exchange.path}; expected /v1/stream or /v1/order"
                    )
                )
        except ServerError as error:
            await self._send_failure(exchange, error.failure)
        except (ValueError, TypeError, KeyError) as error:
            await self._send_failure(exchange, MALFORMED_REQUEST.because(str(error)))

    async def _stream(self, exchange: Exchange, server: Server) -> None:
        fields = json.loads(await exchange.read_body(1 << 24, 30.0))
        fields.pop("addresses", None)
        call = EngineCall.from_json_dict(fields)
        async with self._client.open(call) as frames:
            await exchange.start(200, [_NDJSON_HEADER])
            async for frame in frames:
                line = json.dumps(frame.to_json_dict(), ensure_ascii=False)
                await exchange.write(line.encode() + b"\n")
        await exchange.write(b"", more=False)

    async def _order(self, exchange: Exchange, server: Server) -> None:
        order = ServerOrder(**json.loads(await exchange.read_body(1 << 20, 30.0)))
        reply = await self._client.order(server, order)
        holds = [list(held) for held in reply.holds]
        await exchange.respond_json(200, {"accepted": reply.accepted, "holds": holds})

    async def _call_service(self, exchange: Exchange, server: Server) -> None:
        path = exchange.path
        if exchange.query:
            path = f"{path}?{exchange.query.decode('latin-1')}"
        body = await exchange.read_body(1 << 24, 30.0)
        call = ServiceCall(exchange.method, path, tuple(exchange.headers), body)
        reply = await self._client.call(server, call)
        await exchange.respond(reply.status, reply.body, reply.headers)

    async def _send_failure(self, exchange: Exchange, failure: Failure) -> None:
        if exchange.started:
            line = json.dumps(render_error(failure), ensure_ascii=False)
            await exchange.write(line.encode() + b"\n", more=False)
            return
        await exchange.respond_failure(failure)
