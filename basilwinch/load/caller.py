"""One call of the load tool, timed."""

import json

import httpcore
import trio

from basilwinch.load.report import OK, Sample
from basilwinch.record import Record

__all__ = ["Caller", "OrderCall", "StreamCall"]


class StreamCall(Record):
    """A streamed chat completion."""

    __slots__ = ("key", "model", "prompt", "max_tokens")


class OrderCall(Record):
    """A non-idempotent call with its idempotency key."""

    __slots__ = ("key", "path", "order_id", "body")


class Caller:
    """Sends calls to one daemon.

    :param target: ``ip:port`` of the daemon
    :param pool: connection pool
    :param timeout_s: longest wait for each part of an answer in seconds
    """

    __slots__ = ("_base", "_pool", "_timeouts")

    def __init__(self, target: str, pool: httpcore.AsyncConnectionPool, timeout_s: float = 60.0):
        self._base = f"http://{target}"
        self._pool = pool
        self._timeouts = {"connect": 2.0, "read": timeout_s, "write": 5.0, "pool": timeout_s}

    @classmethod
    def from_config(cls, target: str, max_connections: int, timeout_s: float) -> "Caller":
        """Build a caller with its own pool."""
        pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections, max_keepalive_connections=max_connections
        )
        return cls(target, pool, timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def send_stream(self, call: StreamCall) -> Sample:
        """Send a streamed completion; it counts as answered only after its end marker."""
        document = {
            "model": call.model,
            "messages": [{"role": "user", "content": call.prompt}],
            "max_tokens": call.max_tokens,
            "stream": True,
        }
        started = trio.current_time()
        reader = _EventReader(started)
        try:
            async with self._open("/v1/chat/completions", call.key, document) as response:
                if response.status != 200:
                    code = _read_code(response.status, await response.aread())
                    return Sample("stream", code, trio.current_time() - started)
                async for part in response.aiter_stream():
                    reader.feed(part, trio.current_time())
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            reader.code = f"connection_{type(error).__name__}"
        total_s = trio.current_time() - started
        return Sample("stream", reader.code, total_s, reader.first_s, tuple(reader.gaps_s))

    async def send_order(self, call: OrderCall) -> Sample:
        """Send an order with its idempotency key."""
        started = trio.current_time()
        extra = [(b"idempotency-key", call.order_id.encode())]
        try:
            async with self._open(call.path, call.key, call.body, extra) as response:
                content = await response.aread()
                code = OK if response.status < 300 else _read_code(response.status, content)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            code = f"connection_{type(error).__name__}"
        return Sample("order", code, trio.current_time() - started)

    def _open(self, path: str, key: str, document: dict, extra=()):
        headers = [
            (b"authorization", f"Bearer {key}".encode()),
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
    """Reads server-sent events and notes when tokens come."""

    __slots__ = ("code", "first_s", "gaps_s", "_started", "_last", "_rest")

    def __init__(self, started: float):
        self.code = "cut"
        self.first_s: float | None = None
        self.gaps_s: list[float] = []
        self._started = started
        self._last = started
        self._rest = b""

    def feed(self, part: bytes, now: float) -> None:
        *events, self._rest = (self._rest + part).split(b"\n\n")
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
        if self.first_s is None:
            self.first_s = now - self._started
        else:
            self.gaps_s.append(now - self._last)
        self._last = now


def _read_code(status: int, content: bytes) -> str:
    try:
        return json.loads(content)["error"]["code"]
    except (ValueError, TypeError, KeyError):
        return f"http_{status}"
