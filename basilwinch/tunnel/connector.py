"""Opening of connections to servers: direct ones, or through another node."""

from functools import partial

import structlog
import trio

from basilwinch.exception import SERVER_UNREACHABLE, TUNNEL_UNAVAILABLE, Failure, ServerError
from basilwinch.record import Record
from basilwinch.tunnel.framing import FrameReader
from basilwinch.tunnel.handshake import (
    MAX_LINE_BYTES,
    TunnelAnswer,
    TunnelRequest,
    decode_answer,
    encode_request,
)
from basilwinch.wire import (
    ServerConnection,
    connect,
    drop_unsent_on_close,
    is_open_and_silent,
    open_socket,
)

__all__ = ["ServerConnector"]

_MAX_CARRIERS = 3  # tried for one connection
# Callers retry on a new connection, which another node accepts, so a longer wait would only delay
# them.
_OTHER_NODE_RETRY_AFTER_S = 0.02
# About the time after which links that are back are noticed; random, so that callers spread.
_ALL_DISCONNECTED_RETRY_AFTER_RANGE_S = (0.5, 2.0)
# To the carrier and from there to the server; a round trip takes under 2 ms on each part.
_CARRIER_TIMEOUT_S = 0.25


class TunnelSocket:
    """The origin's end of a tunnel, with the methods of a socket.

    A tunnel that ends without its end frame raises ``ConnectionResetError``, so that a response
    that ends with its connection does not look complete when the carrier dies.

    :param sock: trio socket to the carrier, after the handshake
    :param received: bytes that arrived with the carrier's answer
    :param on_close: function that is called once when the tunnel is closed
    """

    __slots__ = ("sock", "_reader", "_unread", "_on_close")

    def __init__(self, sock, received: bytes, on_close):
        self.sock = sock
        self._reader = FrameReader()
        self._unread = self._reader.feed(received)
        self._on_close = on_close

    @property
    def has_unread(self) -> bool:
        """Whether bytes from the server, or the end of its connection, have been received."""
        return bool(self._unread) or self._reader.is_ended

    async def send(self, data) -> int:
        """Send bytes to the server; return how many were taken."""
        return await self.sock.send(data)

    async def recv(self, max_bytes: int) -> bytes:
        """Return bytes from the server, empty at the end of its connection.

        :raises ConnectionResetError: if the server's connection broke, or the tunnel did
        """
        data, self._unread = self._unread, b""
        while not data and not self._reader.is_ended:
            frames = await self.sock.recv(max_bytes)
            if not frames:
                raise ConnectionResetError("the tunnel ended before the server's connection")
            data = self._reader.feed(frames)
        return data

    def close(self) -> None:
        """Close the tunnel."""
        self.sock.close()
        if self._on_close is not None:
            on_close, self._on_close = self._on_close, None
            on_close()


@is_open_and_silent.register
def _(sock: TunnelSocket) -> bool:
    return not sock.has_unread and is_open_and_silent(sock.sock)


@drop_unsent_on_close.register
def _(sock: TunnelSocket) -> None:
    drop_unsent_on_close(sock.sock)


class ServerConnector:
    """Opens connections to servers, through another node while this one is disconnected.

    :param links: :class:`~basilwinch.tunnel.reachability.Reachability`
    :param carriers: :class:`~basilwinch.tunnel.carriers.Carriers`
    :param view: :class:`~basilwinch.view.View` with the servers
    :param local_host: own IP address, by which carriers know this node
    :param port: TCP port of tunnels on all nodes
    :param clock: function that returns the time in seconds
    :param rng: random numbers for Retry-After
    """

    __slots__ = (
        "_links",
        "_carriers",
        "_view",
        "_local_host",
        "_port",
        "_clock",
        "_rng",
        "_log",
        "on_doubt",
    )

    def __init__(self, links, carriers, view, local_host: str, port: int, clock, rng):
        self._links = links
        self._carriers = carriers
        self._view = view
        self._local_host = local_host
        self._port = port
        self._clock = clock
        self._rng = rng
        self._log = structlog.get_logger("tunnel")
        #: Called after a failure of a direct connection, None for no call.
        self.on_doubt = None

    def find_obstacle(self) -> Failure | None:
        """Return why no server can be reached now, or None if a connection may be tried."""
        now = self._clock()
        if not self._links.is_disconnected or self._carriers.has_usable(now):
            return None
        if self._carriers.all_disconnected(now):
            wait_s = self._rng.uniform(*_ALL_DISCONNECTED_RETRY_AFTER_RANGE_S)
            return TUNNEL_UNAVAILABLE.because("no node reaches a server", wait_s)
        return TUNNEL_UNAVAILABLE.because(
            "this node reaches neither servers nor other nodes", _OTHER_NODE_RETRY_AFTER_S
        )

    def is_isolated(self) -> bool:
        """Return whether callers are served better by other nodes, which may reach servers."""
        now = self._clock()
        return (
            self._links.is_disconnected
            and not self._carriers.has_usable(now)
            and not self._carriers.all_disconnected(now)
        )

    async def open(self, host: str, port: int, timeout_s: float) -> ServerConnection:
        """Open a connection to a server; the parameters are those of ``connect``.

        :raises ServerError: with ``SERVER_UNREACHABLE``, or with ``TUNNEL_UNAVAILABLE``, which says
            nothing about the server; no request has been sent
        """
        if not self._links.is_disconnected:
            return await self.open_direct(host, port, timeout_s)
        with trio.move_on_after(timeout_s):
            return await self._open_tunnel(host, port)
        raise ServerError(
            TUNNEL_UNAVAILABLE.because(f"{host}:{port}: no carrier answered in {timeout_s:g} s")
        )

    async def open_direct(self, host: str, port: int, timeout_s: float) -> ServerConnection:
        """Open a connection without a carrier, and record whether the server answers."""
        record = partial(self._record_result, self._clock())
        try:
            return await connect(host, port, timeout_s, self._local_host, record)
        except ServerError:
            record(False, True)
            raise

    def _record_result(self, opened_at: float, answered: bool, is_fresh: bool) -> None:
        now = self._clock()
        if answered:
            self._links.record_answer(opened_at if is_fresh else None, now)
            return
        if not is_fresh:
            return  # servers close idle connections without notice
        self._links.record_failure(now)
        if self.on_doubt is not None:
            self.on_doubt()

    async def _open_tunnel(self, host: str, port: int) -> ServerConnection:
        entry = self._view.by_address.get((host, port))
        if entry is None:
            raise ServerError(SERVER_UNREACHABLE.because(f"{host}:{port} is not a known server"))
        request = TunnelRequest(entry.id, host, port)
        tried: dict[str, str] = {}
        while len(tried) < _MAX_CARRIERS:
            name = self._carriers.choose(entry.zone, self._clock(), tried)
            if name is None:
                break
            result = await self._ask_carrier(name, request)
            if isinstance(result, TunnelSocket):
                self._carriers.record_success(name)
                return ServerConnection(result, host, port)
            tried[name] = result.reason
            if result.answer is TunnelAnswer.REFUSED:
                raise ServerError(SERVER_UNREACHABLE.because(f"{host}:{port}: refused, by {name}"))
            if result.answer is TunnelAnswer.UNKNOWN:
                break
            self._carriers.avoid(name, self._clock())
        self._log.info("no tunnel to server", server=entry.id, carriers=tried)
        raise ServerError(
            TUNNEL_UNAVAILABLE.because(f"{host}:{port}: no tunnel, carriers asked: {tried}")
        )

    async def _ask_carrier(self, name: str, request: TunnelRequest):
        """Return a :class:`TunnelSocket` through a node, or a :class:`_NotCarried`."""
        sock, answer, reason = None, None, f"no answer in {_CARRIER_TIMEOUT_S:g} s"
        try:
            with trio.move_on_after(_CARRIER_TIMEOUT_S):
                ip = self._carriers.get_ip(name)
                sock = await open_socket(ip, self._port, _CARRIER_TIMEOUT_S, self._local_host)
                await sock.send(encode_request(request))
                line, _, received = (await _receive_answer(sock)).partition(b"\n")
                answer = decode_answer(line)
                reason = "malformed answer" if answer is None else answer.value
            if answer is TunnelAnswer.OK:
                self._carriers.count_tunnel(name, 1)
                on_close = partial(self._carriers.count_tunnel, name, -1)
                tunnel, sock = TunnelSocket(sock, received, on_close), None
                return tunnel
        except ServerError as error:
            reason = error.failure.reason
        except OSError as error:
            reason = repr(error)
        finally:
            if sock is not None:
                sock.close()
        return _NotCarried(answer, reason)


class _NotCarried(Record):
    """Why a node does not carry a connection: its answer, or None, and a text for the log."""

    __slots__ = ("answer", "reason")


async def _receive_answer(sock) -> bytes:
    """Return the carrier's line, with any bytes that follow it."""
    data = b""
    while b"\n" not in data and len(data) < MAX_LINE_BYTES:
        part = await sock.recv(MAX_LINE_BYTES)
        if not part:
            break
        data += part
    return data
