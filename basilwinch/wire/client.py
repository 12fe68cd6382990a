"""HTTP/1.1 connections to servers."""

import collections
import contextlib
import errno
import os
import select
import socket
from functools import singledispatch

import h11
import trio

from basilwinch.exception import (
    OUTCOME_UNKNOWN,
    SERVER_UNREACHABLE,
    Failure,
    ServerError,
)
from basilwinch.number import parse_digits

__all__ = [
    "ServerConnection",
    "connect",
    "drop_unsent_on_close",
    "is_open_and_silent",
    "open_socket",
    "receive_when_readable",
    "set_socket_options",
]

_READ_CHUNK_BYTES = 65536
_TCP_USER_TIMEOUT_MS = 3000  # a connection is closed if sent data is not acknowledged for this time
_MAX_INLINE_BODY_BYTES = 16384  # fits the send buffer, so that sending does not wait for the server
# Higher ones are invalid, and count as an error of the server (RFC 9110, section 15). h11 rejects
# those that are below 100 or have not three digits.
_MAX_STATUS = 599
_MAX_INFORMATIONAL_RESPONSES = 16  # before a response; a faulty server may send them without end
# TCP keep-alive probes detect a server that vanished while nothing is sent to it.
_TCP_KEEPALIVE_IDLE_S = 2
_TCP_KEEPALIVE_INTERVAL_S = 1
_TCP_KEEPALIVE_PROBES = 2
# Bytes that the system holds for a server that does not read count as memory of the process, and
# would grow to several MB. The system doubles the value; 0.1 s of the fastest links of VMs.
_SEND_BUFFER_BYTES = 131072
_RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # struct linger: on, 0 s
# States of a server that has not answered the request of a connection completely.
_UNFINISHED_STATES = (h11.SEND_RESPONSE, h11.SEND_BODY, h11.ERROR)


async def connect(
    host: str, port: int, timeout_s: float, local_host: str | None = None, on_result=None
) -> "ServerConnection":
    """Open a connection.

    :param host: IP address
    :param port: port
    :param timeout_s: maximum time to wait, in seconds
    :param local_host: own IP address that the server must see, None for any
    :param on_result: see :class:`ServerConnection`
    :raises ServerError: with ``SERVER_UNREACHABLE``; no request has been sent
    """
    sock = await open_socket(host, port, timeout_s, local_host)
    return ServerConnection(sock, host, port, on_result)


async def open_socket(host: str, port: int, timeout_s: float, local_host: str | None = None):
    """Return a connected trio socket that detects the loss of its peer within seconds.

    :param local_host: own IP address that the peer must see, None for any
    :raises ServerError: with ``SERVER_UNREACHABLE``
    """
    with contextlib.ExitStack() as undo:
        try:
            # Fails if this process has no descriptor left.
            sock = undo.enter_context(trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            set_socket_options(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
            if local_host is not None:
                await sock.bind((local_host, 0))
            with trio.fail_after(timeout_s):
                await sock.connect((host, port))
        except (OSError, trio.TooSlowError) as error:
            raise ServerError(SERVER_UNREACHABLE.because(f"{host}:{port}: {error!r}")) from None
        undo.pop_all()
        return sock


def set_socket_options(sock) -> None:
    """Set the options of a connection to a server, or of a part of the way there."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _TCP_KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _TCP_KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _TCP_KEEPALIVE_PROBES)


@singledispatch
def is_open_and_silent(sock) -> bool:
    """Return whether a socket is still open and has received no bytes that have not been read.

    A reset stays to be read: a look at the bytes would take its error, and the next read would see
    an end in order.
    """
    descriptor = sock.fileno()
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return not poll.poll(0)


@singledispatch
async def receive_when_readable(sock, max_bytes: int) -> bytes:
    """Return the next bytes of a connection, empty at its end.

    No checkpoint follows the read, so bytes that have been read are never lost by a cancellation.

    :param sock: connected trio socket, or another object with its method ``recv``
    :param max_bytes: maximum number of bytes
    :raises OSError: if the connection is lost or has been closed
    """
    return await sock.recv(max_bytes)


@receive_when_readable.register
async def _(sock: trio.socket.SocketType, max_bytes: int) -> bytes:
    # Trio's recv reads before it waits. The events of a stream arrive one by one, so that this
    # first read fails for nearly each of them, at the cost of a system call and an exception.
    while True:
        _require_open(sock)
        await trio.lowlevel.wait_readable(sock)
        with contextlib.suppress(BlockingIOError, InterruptedError):
            return sock._sock.recv(max_bytes)


@singledispatch
async def _send_when_writable(sock, data) -> int:
    """Send bytes on a connection; return how many were taken.

    :raises OSError: if the connection is lost or has been closed
    """
    return await sock.send(data)


@_send_when_writable.register
async def _(sock: trio.socket.SocketType, data) -> int:
    # Trio's send has a checkpoint between the error of the system and its raise. A receiver that
    # runs meanwhile takes the end that follows for one in order.
    while True:
        _require_open(sock)
        await trio.lowlevel.wait_writable(sock)
        with contextlib.suppress(BlockingIOError, InterruptedError):
            return sock._sock.send(data)


def _require_open(sock) -> None:
    # The descriptor of a closed socket is -1, which the wait does not accept.
    if sock.fileno() < 0:
        raise OSError(errno.EBADF, os.strerror(errno.EBADF))


@singledispatch
def drop_unsent_on_close(sock) -> None:
    """Make the next close of a socket drop all bytes that the peer has not received.

    Otherwise the system goes on sending them, and bytes that a broken link holds up reach the peer
    after the link is back, seconds later.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


class ServerConnection:
    """One HTTP/1.1 connection to a server, for one request at a time.

    :param sock: connected trio socket, or another object with its methods ``send``, ``recv`` and
        ``close``
    :param host: IP address of the server
    :param port: port of the server
    :param on_result: function that is called once for each request: with True when the first bytes
        of its response arrive, or with False if the connection ends before, and with whether it is
        the first request of the connection; None for no call
    """

    __slots__ = (
        "host",
        "port",
        "_sock",
        "_on_result",
        "_awaits_result",
        "_is_fresh",
        "_protocol",
        "_unsent",
        "_is_send_failed",
        "idle_since",
        "server_max_idle_s",
        "is_reused",
    )

    def __init__(self, sock, host: str, port: int, on_result=None):
        self.host = host
        self.port = port
        self._sock = sock
        self._on_result = on_result
        self._awaits_result = False
        self._is_fresh = True
        self._protocol = h11.Connection(h11.CLIENT)
        self._unsent = None
        self._is_send_failed = False
        self.idle_since = 0.0
        self.server_max_idle_s: float | None = None
        #: Whether it has carried an earlier request, of which another answer may still arrive.
        self.is_reused = False

    async def send(self, method: bytes, target: bytes, header, body: bytes) -> None:
        """Send a request, or only prepare it if its body exceeds ``_MAX_INLINE_BODY_BYTES``.

        A prepared request, head included, is sent by :meth:`receive_head` while it waits for the
        response.

        :raises ServerError: with ``OUTCOME_UNKNOWN`` if sending fails, as the request may have
            reached the server
        """
        self._awaits_result = True
        host_field = [] if _has_host(header) else [(b"Host", f"{self.host}:{self.port}".encode())]
        try:
            request = h11.Request(method=method, target=target, headers=host_field + list(header))
            parts = [self._protocol.send(request)]
            if body:
                # Parts that contain the body itself, which is not copied.
                parts += self._protocol.send_with_data_passthrough(h11.Data(data=body))
            parts += self._protocol.send_with_data_passthrough(h11.EndOfMessage())
            if len(body) <= _MAX_INLINE_BODY_BYTES:
                await self._send_all(b"".join(parts))
            else:
                self._unsent = collections.deque(memoryview(part) for part in parts if part)
        except (OSError, h11.LocalProtocolError) as error:
            raise ServerError(self._outcome_unknown(error)) from None

    async def receive_head(self) -> h11.Response:
        """Return the head of the response.

        :raises ServerError: with ``OUTCOME_UNKNOWN`` if the connection fails or is closed, or the
            response is malformed, has an invalid status, or comes after too many informational ones
        """
        for _ in range(_MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > _MAX_STATUS:
                    raise ServerError(self._outcome_unknown(f"invalid status {event.status_code}"))
                self.server_max_idle_s = _read_max_idle_s(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ServerError(
                    self._outcome_unknown("the server closed the connection before its response")
                )
        raise ServerError(
            self._outcome_unknown(
                f"more than {_MAX_INFORMATIONAL_RESPONSES} informational responses"
            )
        )

    async def receive_data(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        :raises ServerError: with ``OUTCOME_UNKNOWN`` if the connection fails, or the response is
            malformed or incomplete
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ServerError(
            self._outcome_unknown("the server closed the connection during its response")
        )

    async def receive_body(self, max_body_bytes: int) -> bytes:
        """Return the whole body.

        :param max_body_bytes: maximum size of the body
        :raises ServerError: with ``OUTCOME_UNKNOWN`` if the connection fails, or the response is
            malformed or incomplete, or its body exceeds the maximum
        """
        parts = []
        size = 0
        while (data := await self.receive_data()) is not None:
            parts.append(data)
            size += len(data)
            if size > max_body_bytes:
                raise ServerError(
                    self._outcome_unknown(f"the response body exceeds {max_body_bytes} bytes")
                )
        return b"".join(parts)

    def finish(self, now: float) -> bool:
        """Prepare for the next request; return whether the connection may be reused.

        A connection with bytes after the response is not reused, as they belong to no request.

        :param now: time at which the connection becomes idle, in seconds
        """
        protocol = self._protocol
        if self._unsent is not None or protocol.our_state is not h11.DONE:
            return False
        if protocol.their_state is not h11.DONE or protocol.trailing_data[0]:
            return False
        protocol.start_next_cycle()
        self.is_reused = True
        self.idle_since = now
        return True

    def is_open_and_silent(self) -> bool:
        """Return whether the connection is still open and has no bytes that were not read."""
        return is_open_and_silent(self._sock)

    def close(self) -> None:
        """Close the connection; a request that it has not answered yet must not reach the server
        any more."""
        if self._protocol.their_state in _UNFINISHED_STATES:
            drop_unsent_on_close(self._sock)
        self._sock.close()

    async def _next_event(self):
        try:
            while True:
                event = self._protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                if self._unsent is not None:
                    await self._send_while_receiving()
                else:
                    self._protocol.receive_data(await self._receive())
        except (OSError, h11.RemoteProtocolError) as error:
            raise ServerError(self._outcome_unknown(error)) from None

    async def _receive(self) -> bytes:
        """Receive bytes, and report the first ones or the end before them.

        :raises OSError: if the connection is lost. The system tells that once: if a send has
            failed before, the end that follows it is not the server's
        """
        try:
            data = await receive_when_readable(self._sock, _READ_CHUNK_BYTES)
            if not data and self._is_send_failed:
                raise ConnectionResetError("the connection ended after a send on it had failed")
        except OSError:
            self._report_result(False)
            raise
        self._report_result(bool(data))
        return data

    def _report_result(self, answered: bool) -> None:
        if self._awaits_result and self._on_result is not None:
            self._on_result(answered, self._is_fresh)
        self._awaits_result = self._is_fresh = False

    async def _send_while_receiving(self) -> None:
        """Send the rest of a long body until the first bytes of the response arrive.

        :raises OSError: if the connection is lost before
        """
        failures: list[OSError] = []
        async with trio.open_nursery() as nursery:

            async def receive():
                try:
                    # Passed to h11 at once: the waiting task may be cancelled before the nursery
                    # ends, and the bytes would be lost.
                    self._protocol.receive_data(await self._receive())
                except OSError as error:
                    failures.append(error)
                nursery.cancel_scope.cancel()

            nursery.start_soon(receive)
            # A server that has already responded may close the connection without reading the rest.
            try:
                while self._unsent:
                    part = self._unsent[0]
                    sent = await _send_when_writable(self._sock, part[:_READ_CHUNK_BYTES])
                    if sent < len(part):
                        self._unsent[0] = part[sent:]
                    else:
                        self._unsent.popleft()
                self._unsent = None
            except OSError:
                self._is_send_failed = True
        if failures:
            raise failures[0]

    async def _send_all(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[await self._sock.send(view) :]

    def _outcome_unknown(self, error) -> Failure:
        return OUTCOME_UNKNOWN.because(f"{self.host}:{self.port}: {error!r}")


def _read_max_idle_s(response: h11.Response) -> float | None:
    """Return half of the Keep-Alive timeout of a response in seconds, or None if it has none.

    >>> header = [(b"Keep-Alive", b"timeout=4, max=9")]
    >>> _read_max_idle_s(h11.Response(status_code=200, headers=header))
    2.0
    """
    for name, value in response.headers:
        for part in value.split(b",") if name == b"keep-alive" else ():
            field, _, number = part.strip().partition(b"=")
            timeout_s = parse_digits(number)
            if field.lower() == b"timeout" and timeout_s is not None:
                # Half of the server's timeout, as the server started its timer earlier.
                return timeout_s / 2
    return None


def _has_host(header) -> bool:
    return any(name.lower() == b"host" for name, _ in header)
