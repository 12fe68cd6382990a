"""Client of plain services over HTTP."""

import httpcore

from basilwinch.catalog import Server
from basilwinch.server.call import ServiceCall, ServiceReply
from basilwinch.server.connection import send_request
from basilwinch.server.network import ReplyEndBackend

__all__ = ["HttpServiceClient"]

# Hop-by-hop headers (RFC 9110, section 7.6.1), and host and content-length, which each hop sets
# itself.
_NOT_FORWARDED_HEADERS = frozenset(
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
    """Calls plain services; sends each call once, without retries.

    :param pool: an httpcore connection pool
    """

    __slots__ = ("_pool",)

    def __init__(self, pool: httpcore.AsyncConnectionPool):
        self._pool = pool

    @classmethod
    def from_config(cls, max_connections: int) -> "HttpServiceClient":
        """Build a client that opens a connection for each call.

        If the server closes a reused connection while a call is sent, it is unknown whether the
        call ran. New connections make this rare, which matters for calls that must not be repeated.

        :param max_connections: largest number of open connections
        """
        pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=0,
            network_backend=ReplyEndBackend(),
        )
        return cls(pool)

    async def call(self, server: Server, call: ServiceCall) -> ServiceReply:
        """Send a call once, without retries.

        :raises ServerError: ``SERVER_UNREACHABLE`` if it was certainly not sent, else
            ``STREAM_LOST``
        """
        headers = [pair for pair in call.headers if pair[0].lower() not in _NOT_FORWARDED_HEADERS]
        headers.append((b"host", server.address.encode()))
        if call.body:
            headers.append((b"content-length", str(len(call.body)).encode()))
        response = await send_request(
            self._pool, server, call.method, call.path, headers, call.body
        )
        reply_headers = tuple(
            pair for pair in response.headers if pair[0].lower() not in _NOT_FORWARDED_HEADERS
        )
        return ServiceReply(response.status, reply_headers, response.content)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
