"""Engine client over HTTP: sends a JSON call and reads newline-delimited JSON frames."""

import json
from collections.abc import Callable
from contextlib import asynccontextmanager

import httpcore

from basilwinch import exception
from basilwinch.catalog import Server
from basilwinch.exception import Failure, FailureKind, ServerError
from basilwinch.pipeline import TokenFrame
from basilwinch.server.call import EngineCall, ServerOrder, ServerOrderReply
from basilwinch.server.connection import send_request, translate_errors
from basilwinch.server.network import ReplyEndBackend

__all__ = ["HttpEngineClient"]

# An engine in a long prefill sends nothing, and the relay detects stalls. This timeout only frees
# the socket of a server that disappeared without closing the connection.
STREAM_READ_TIMEOUT_S = 120.0
CONNECT_TIMEOUT_S = 0.5
MAX_FRAME_BYTES = 1 << 20

_FAILURE_KINDS_BY_CODE = {
    kind.code: kind
    for kind in (
        exception.STAGE_DIED,
        exception.STREAM_LOST,
        exception.SERVER_REFUSED,
        exception.SERVER_LEAVING,
        exception.SERVER_UNREACHABLE,
        exception.FENCED,
    )
}


class HttpEngineClient:
    """Runs model requests on engines over pooled HTTP connections.

    :param find_server: returns the catalog entry of a server by name, or None
    :param pool: an httpcore connection pool
    """

    __slots__ = ("_find_server", "_pool")

    def __init__(self, find_server: Callable, pool: httpcore.AsyncConnectionPool):
        self._find_server = find_server
        self._pool = pool

    @classmethod
    def from_config(cls, find_server: Callable, max_connections: int) -> "HttpEngineClient":
        """Build a client with its own pool.

        :param find_server: returns the catalog entry of a server by name, or None
        :param max_connections: largest number of open connections; each stream uses one
        """
        pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=256,
            keepalive_expiry=30.0,
            network_backend=ReplyEndBackend(),
        )
        return cls(find_server, pool)

    @asynccontextmanager
    async def open(self, call: EngineCall):
        """Open a stream of frames; leaving the context closes the connection, which cancels it.

        :raises ServerError: see :meth:`EngineClient.open() <basilwinch.server.EngineClient.open>`
        """
        first_server = self._require_server(call.chain.stages[0].server)
        fields = call.to_json_dict()
        fields["addresses"] = {
            stage.server: self._require_server(stage.server).address for stage in call.chain.stages
        }
        body = json.dumps(fields).encode()
        url = f"http://{first_server.address}/v1/stream"
        timeouts = {
            "connect": CONNECT_TIMEOUT_S,
            "read": STREAM_READ_TIMEOUT_S,
            "write": 5.0,
            "pool": 5.0,
        }
        with translate_errors(first_server.name):
            async with self._pool.stream(
                "POST", url, content=body, extensions={"timeout": timeouts}
            ) as response:
                if response.status != 200:
                    raise ServerError(
                        _decode_error_document(await response.aread(), first_server.name)
                    )
                yield _read_frames(response, first_server.name)

    async def order(self, server: Server, order: ServerOrder) -> ServerOrderReply:
        """Send an order to a server.

        :raises ServerError: see :meth:`EngineClient.order() <basilwinch.server.EngineClient.order>`
        """
        body = json.dumps(order.to_dict()).encode()
        response = await send_request(self._pool, server, "POST", "/v1/order", (), body)
        if response.status != 200:
            raise ServerError(_decode_error_document(response.content, server.name))
        fields = json.loads(response.content)
        holds = tuple(map(tuple, fields["holds"]))
        return ServerOrderReply(fields["accepted"], holds)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    def _require_server(self, name: str) -> Server:
        server = self._find_server(name)
        if server is None:
            raise ServerError(
                exception.SERVER_UNREACHABLE.because(f"server {name!r} is not in the catalog")
            )
        return server


async def _read_frames(response, server: str):
    partial_line = b""
    async for chunk in response.aiter_stream():
        *lines, partial_line = (partial_line + chunk).split(b"\n")
        if len(partial_line) > MAX_FRAME_BYTES:
            raise ServerError(
                exception.STREAM_LOST.because(
                    f"frame from {server} exceeds {MAX_FRAME_BYTES} bytes"
                )
            )
        for line in lines:
            yield _parse_frame(line, server)


def _parse_frame(line: bytes, server: str) -> TokenFrame:
    try:
        fields = json.loads(line)
        if "error" in fields:
            raise ServerError(_decode_failure(fields["error"], server))
        return TokenFrame.from_json_dict(fields)
    except (ValueError, TypeError, KeyError) as error:
        raise ServerError(
            exception.STREAM_LOST.because(f"malformed frame from {server}: {error}")
        ) from error


def _decode_error_document(content: bytes, server: str) -> Failure:
    try:
        return _decode_failure(json.loads(content)["error"], server)
    except (ValueError, TypeError, KeyError):
        return exception.SERVER_REFUSED.because(
            f"{server} answered with neither status 200 nor a valid error document"
        )


def _decode_failure(fields: dict, server: str) -> Failure:
    kind: FailureKind = _FAILURE_KINDS_BY_CODE.get(fields["code"], exception.SERVER_REFUSED)
    detail = {"server": server} | fields.get("detail", {})
    return kind.because(fields.get("reason", ""), **detail)
