"""A connection to a server."""

import contextlib
import socket

import h11
import trio

from basilwinch.exception import (
    OUTCOME_UNKNOWN,
    SERVER_UNREACHABLE,
    Failure,
    ServerError,
)

__all__ = ["ServerConnection", "connect"]

_READ_BYTES = 65536
_USER_TIMEOUT_MS = 3000  # data that a peer does not confirm for so long breaks a connection
_INLINE_BODY_BYTES = 16384  # fits a send buffer, so that sending it does not wait for the server
# Keep-alive probes find peers that went silent while nothing is sent to them.
_PROBE_IDLE_S = 2
_PROBE_INTERVAL_S = 1
_PROBE_COUNT = 2


async def connect(host: str, port: int, timeout_s: float) -> "ServerConnection":
    """Open a connection.

    :param timeout_s: longest time to wait, in seconds
    :raises ServerError: ``SERVER_UNREACHABLE``; nothing has been sent
    """
    with contextlib.ExitStack() as undo:
        sock = undo.enter_context(trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT)
            with trio.fail_after(timeout_s):
                await sock.connect((host, port))
        except (OSError, trio.TooSlowError) as error:
            raise ServerError(SERVER_UNREACHABLE.because(f"{host}:{port}: {error!r}")) from None
        undo.pop_all()
        return ServerConnection(sock, host, port)


class ServerConnection:
    """One HTTP/1.1 connection to a server; one request at a time.

    :param sock: connected trio socket
    """

    __slots__ = ("host", "port", "_sock", "_state", "_sending", "idle_since", "keep_s")

    def __init__(self, sock, host: str, port: int):
        self.host = host
        self.port = port
        self._sock = sock
        self._state = h11.Connection(h11.CLIENT)
        self._sending = None
        self.idle_since = 0.0
        self.keep_s: float | None = None

    async def send(self, method: bytes, target: bytes, header, body: bytes) -> None:
        """Send a request; a long body must be sent while the response is awaited.

        :raises ServerError: ``OUTCOME_UNKNOWN`` if it may have reached the server
        """
        host = [] if _has_host(header) else [(b"Host", f"{self.host}:{self.port}".encode())]
        try:
            request = h11.Request(method=method, target=target, headers=host + list(header))
            data = self._state.send(request)
            if body:
                data += self._state.send(h11.Data(data=body))
            data += self._state.send(h11.EndOfMessage())
            if len(body) <= _INLINE_BODY_BYTES:
                await self._send_all(data)
            else:
                self._sending = memoryview(data)
        except (OSError, h11.LocalProtocolError) as error:
            raise ServerError(self._unknown(error)) from None

    async def receive_head(self) -> h11.Response:
        """Return the head of the response.

        :raises ServerError: ``OUTCOME_UNKNOWN``
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self.keep_s = _read_keep_s(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ServerError(self._unknown("closed before the response"))

    async def receive_data(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        :raises ServerError: ``OUTCOME_UNKNOWN`` if the response broke off
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ServerError(self._unknown("closed within the response"))

    async def receive_body(self, limit: int) -> bytes:
        """Return the whole body.

        :param limit: most bytes to hold
        :raises ServerError: ``OUTCOME_UNKNOWN`` if it breaks off or is over the limit
        """
        parts = []
        size = 0
        while (data := await self.receive_data()) is not None:
            parts.append(data)
            size += len(data)
            if size > limit:
                raise ServerError(self._unknown("the response is over the limit"))
        return b"".join(parts)

    def finish(self, now: float) -> bool:
        """Make ready for the next request; return whether the connection may be used again.

        Bytes beyond the response belong to no request, so that the connection can't be kept.
        """
        state = self._state
        if self._sending is not None or state.our_state is not h11.DONE:
            return False
        if state.their_state is not h11.DONE or state.trailing_data[0]:
            return False
        state.start_next_cycle()
        self.idle_since = now
        return True

    def is_quiet(self) -> bool:
        """Return whether an idle connection has neither been closed nor got bytes."""
        try:
            self._sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    async def _next_event(self):
        try:
            while True:
                event = self._state.next_event()
                if event is not h11.NEED_DATA:
                    return event
                if self._sending is not None:
                    await self._exchange_bytes()
                else:
                    self._state.receive_data(await self._sock.recv(_READ_BYTES))
        except (OSError, h11.RemoteProtocolError) as error:
            raise ServerError(self._unknown(error)) from None

    async def _exchange_bytes(self) -> None:
        """Send the rest of a long body until bytes of the response arrive."""
        async with trio.open_nursery() as nursery:

            async def receive():
                data = b""
                with contextlib.suppress(OSError):
                    data = await self._sock.recv(_READ_BYTES)
                # At once, as the wait for these bytes may be cut short before the nursery ends.
                self._state.receive_data(data)
                nursery.cancel_scope.cancel()

            nursery.start_soon(receive)
            # A server that has answered already may close without reading the rest.
            with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                while self._sending:
                    sent = await self._sock.send(self._sending[:_READ_BYTES])
                    self._sending = self._sending[sent:]
                self._sending = None

    async def _send_all(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[await self._sock.send(view) :]

    def _unknown(self, error) -> Failure:
        return OUTCOME_UNKNOWN.because(f"{self.host}:{self.port}: {error!r}")


def _read_keep_s(response: h11.Response) -> float | None:
    """Return how long the server keeps the connection after a response, if it says so.

    >>> header = [(b"Keep-Alive", b"timeout=4, max=9")]
    >>> _read_keep_s(h11.Response(status_code=200, headers=header))
    2.0
    """
    for name, value in response.headers:
        for part in value.split(b",") if name == b"keep-alive" else ():
            field, _, number = part.strip().partition(b"=")
            if field.lower() == b"timeout" and number.isdigit():
                # Half of it, since the server's clock started earlier.
                return int(number) / 2
    return None


def _has_host(header) -> bool:
    return any(name.lower() == b"host" for name, _ in header)
