"""HTTP calls of the load generator, with their times."""

import json

import httpcore
import trio

from basilwinch.load.report import OK, Sample
from basilwinch.record import Record

__all__ = ["Caller", "OrderCall", "StreamCall"]


class StreamCall(Record):
    """Streamed chat completion."""

    __slots__ = ("api_key", "model", "prompt", "max_tokens")


class OrderCall(Record):
    """Order to a plain service, with ``order_id`` as its idempotency key."""

    __slots__ = ("api_key", "path", "order_id", "body")


class Caller:
    """Sends calls to one daemon.

    :param target: ``ip:port`` of the daemon
    :param pool: connection pool
    :param timeout_s: maximum wait for each read, and for a connection of the pool, in seconds;
        connecting may take 2 s, and each write 5 s
    """

    __slots__ = ("_base", "_pool", "_timeouts")

    def __init__(self, target: str, pool: httpcore.AsyncConnectionPool, timeout_s: float = 60.0):
        self._base = f"http://{target}"
        self._pool = pool
        self._timeouts = {"connect": 2.0, "read": timeout_s, "write": 5.0, "pool": timeout_s}

    @classmethod
    def from_config(cls, target: str, max_connections: int, timeout_s: float) -> "Caller":
        """Build a caller with its own connection pool.

        :param target: ``ip:port`` of the daemon
        :param max_connections: maximum number of open connections
        :param timeout_s: see :class:`Caller`
        """
        pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections, max_keepalive_connections=max_connections
        )
        return cls(target, pool, timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def send_stream(self, call: StreamCall) -> Sample:
        """Send a streamed completion; it succeeds only if its end marker arrives."""
        document = {
            "model": call.model,
            "messages": [{"role": "user", "content": call.prompt}],
            "max_tokens": call.max_tokens,
            "stream": True,
        }
        started_at = trio.current_time()
        reader = _EventReader(started_at)
        try:
            async with self._open("/v1/chat/completions", call.api_key, document) as response:
                if response.status != 200:
                    code = _read_code(response.status, await response.aread())
                    return Sample("stream", code, trio.current_time() - started_at)
                async for chunk in response.aiter_stream():
                    reader.feed(chunk, trio.current_time())
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            reader.code = f"connection_{type(error).__name__}"
        total_s = trio.current_time() - started_at
        return Sample(
            "stream", reader.code, total_s, reader.first_token_s, tuple(reader.token_gaps_s)
        )

    async def send_order(self, call: OrderCall) -> Sample:
        """Send an order; any status below 300 counts as success."""
        started_at = trio.current_time()
        extra = [(b"idempotency-key", call.order_id.encode())]
        try:
            async with self._open(call.path, call.api_key, call.body, extra) as response:
                content = await response.aread()
                code = OK if response.status < 300 else _read_code(response.status, content)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            code = f"connection_{type(error).__name__}"
        return Sample("order", code, trio.current_time() - started_at)

    def _open(self, path: str, api_key: str, document: dict, extra=()):
        headers = [
            (b"authorization", f"Bearer {api_key}".encode()),
            (b"content-type", b"application/json"),
            *extra,
        ]
        return self._pool.stream(
            "POST",
            self._base + path,
            headers=headers,
            content=json.dumps(document).encode(),
            extensions={"timeout": self._timeouts},
        )


class _EventReader:
    """Parser of server-sent events that records the times of tokens."""

    __slots__ = (
        "code",
        "first_token_s",
        "token_gaps_s",
        "_started_at",
        "_last_token_at",
        "_buffer",
    )

    def __init__(self, started_at: float):
        # Result of a stream that ends without an end marker or an error event.
        self.code = "cut"
        self.first_token_s: float | None = None
        self.token_gaps_s: list[float] = []
        self._started_at = started_at
        self._last_token_at = started_at
        self._buffer = b""

    def feed(self, chunk: bytes, now: float) -> None:
        *events, self._buffer = (self._buffer + chunk).split(b"\n\n")
        for event in events:
            self._read(event.removeprefix(b"data: "), now)

    def _read(self, data: bytes, now: float) -> None:
        if data == b"[DONE]":
            self.code = OK
            return
        fields = json.loads(data)
        if "error" in fields:
            self.code = fields["error"]["code"]
            return
        if not any(choice["delta"].get("content") for choice in fields["choices"]):
            return
        if self.first_token_s is None:
            self.first_token_s = now - self._started_at
        else:
            self.token_gaps_s.append(now - self._last_token_at)
        self._last_token_at = now


def _read_code(status: int, content: bytes) -> str:
    try:
        return json.loads(content)["error"]["code"]
    except (ValueError, TypeError, KeyError):
        return f"http_{status}"
