"""Client of plain services over HTTP."""

import httpcore

from basilwinch.catalog import Server
from basilwinch.server.call import ServiceCall, ServiceReply
from basilwinch.server.connection import send_request

__all__ = ["HttpServiceClient"]

# Headers that belong to one connection and are never forwarded (RFC 9110, section 7.6.1).
_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"content-length",
    )
)


class HttpServiceClient:
    """Calls plain services, each call once.

    :param pool: an httpcore connection pool
    """

    __slots__ = ("_pool",)

    def __init__(self, pool: httpcore.AsyncConnectionPool):
        self._pool = pool

    @classmethod
    def from_config(cls, max_connections: int) -> "HttpServiceClient":
        """Build a client that opens a connection for each call.

        A reused connection that the server closes at the same moment leaves open whether the
        call ran; a new connection makes that case rare for calls that must not be repeated.

        :param max_connections: connections open at most
        """
        pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections, max_keepalive_connections=0
        )
        return cls(pool)

    async def call(self, server: Server, call: ServiceCall) -> ServiceReply:
        """Send one call, once.

        :raises ServerError: ``SERVER_UNREACHABLE`` if it was certainly not sent, else
            ``STREAM_LOST``
        """
        headers = [pair for pair in call.headers if pair[0].lower() not in _HOP_HEADERS]
        headers.append((b"host", server.address.encode()))
        if call.body:
            headers.append((b"content-length", str(len(call.body)).encode()))
        response = await send_request(
            self._pool, server, call.method, call.path, headers, call.body
        )
        kept = tuple(pair for pair in response.headers if pair[0].lower() not in _HOP_HEADERS)
        return ServiceReply(response.status, kept, response.content)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
