"""Carrying of other nodes' connections to servers."""

import contextlib
import itertools
import socket

import structlog
import trio

from basilwinch.exception import ServerError
from basilwinch.tunnel.framing import END_FRAME, encode_frames
from basilwinch.tunnel.handshake import (
    MAX_LINE_BYTES,
    TunnelAnswer,
    decode_request,
    encode_answer,
)
from basilwinch.wire import drop_unsent_on_close, open_socket, set_socket_options

__all__ = ["TunnelListener"]

_MAX_TUNNELS = 256  # unless the node has fewer descriptors; two for each
_HANDSHAKE_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 0.2  # below the time that an origin waits for the answer
_READ_CHUNK_BYTES = 32768
# A tunnel of a stopping node that carried nothing for so long has no response in progress: servers
# are silent for a second or so at most.
_QUIET_S = 2.5


class TunnelListener:
    """Accepts tunnels of registered nodes and copies their bytes to and from servers.

    Other protocols between nodes share its port. ``protocols`` has, by the first line that names
    one, an async function of the socket and the IP address of the other node. It is called after
    that line was answered with ``ok``; the other node sends nothing in between.

    :param links: :class:`~basilwinch.tunnel.reachability.Reachability` of this node
    :param monitor: :class:`~basilwinch.tunnel.monitor.ReachabilityMonitor` of this node
    :param carriers: :class:`~basilwinch.tunnel.carriers.Carriers`, which knows the other nodes
    :param view: :class:`~basilwinch.view.View` with the servers
    :param local_host: own IP address
    :param clock: function that returns the time in seconds
    """

    __slots__ = (
        "_links",
        "_monitor",
        "_carriers",
        "_view",
        "_local_host",
        "_clock",
        "_active",
        "_numbers",
        "_stopping",
        "max_tunnels",
        "protocols",
        "_log",
    )

    def __init__(self, links, monitor, carriers, view, local_host: str, clock):
        self._links = links
        self._monitor = monitor
        self._carriers = carriers
        self._view = view
        self._local_host = local_host
        self._clock = clock
        # Time at which each tunnel last carried bytes, by its number.
        self._active: dict[int, float] = {}
        self._numbers = itertools.count(1)
        self._stopping = False
        self.max_tunnels = _MAX_TUNNELS
        self.protocols = {}
        self._log = structlog.get_logger("tunnel")

    def count_tunnels(self) -> int:
        """Return the number of tunnels that this node carries."""
        return len(self._active)

    def stop(self) -> None:
        """Accept no more tunnels; those in use go on."""
        self._stopping = True

    def is_quiet(self) -> bool:
        """Return whether no tunnel has carried anything lately."""
        return all(self._clock() - at > _QUIET_S for at in self._active.values())

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection of another node."""
        origin = stream.socket
        with origin:
            try:
                await self._serve_origin(origin)
            except OSError as error:
                # The other end may reset it at any time, also before it is accepted.
                self._log.debug("connection of a node lost", error=repr(error))
            except Exception:
                # An error on one connection must not end the others.
                self._log.exception("unexpected error on a connection of a node")

    async def _serve_origin(self, origin) -> None:
        """Serve a connection if it comes from a registered node.

        :raises OSError: if the connection is lost
        """
        peer = origin.getpeername()[0]
        if not self._carriers.has_address(peer):
            self._log.warning("tunnel of an unknown node refused", peer=peer)
            return
        set_socket_options(origin)
        await self._serve_node(origin, peer)

    async def _serve_node(self, origin, peer: str) -> None:
        line = b""
        with trio.move_on_after(_HANDSHAKE_TIMEOUT_S):
            line = await _receive_line(origin)
        if line in self.protocols:
            await _send_all(origin, encode_answer(TunnelAnswer.OK))
            await self.protocols[line](origin, peer)
            return
        request = decode_request(line)
        if request is None:
            self._log.warning("tunnel request malformed", peer=peer, line=line[:80])
            return
        server, answer = await self._connect(request)
        if server is None:
            self._log.info("tunnel refused", peer=peer, server=request.server_id, answer=answer)
            await _send_all(origin, encode_answer(answer))
            return
        number = next(self._numbers)
        self._active[number] = self._clock()
        try:
            with server:
                await _send_all(origin, encode_answer(answer))
                await self._copy(origin, server, number)
        finally:
            del self._active[number]

    async def _connect(self, request) -> tuple:
        """Return a socket to the server or None, and the answer to the origin."""
        entry = self._view.servers.get(request.server_id)
        if entry is None or entry.leaving or entry.address != (request.host, request.port):
            return None, TunnelAnswer.UNKNOWN
        if self._links.is_disconnected:
            return None, TunnelAnswer.DISCONNECTED
        if self._stopping or len(self._active) >= self.max_tunnels:
            return None, TunnelAnswer.BUSY
        start = self._clock()
        try:
            sock = await open_socket(*entry.address, _CONNECT_TIMEOUT_S, self._local_host)
            return sock, TunnelAnswer.OK
        except ServerError:
            return None, await self._explain_failure(start)

    async def _explain_failure(self, start: float) -> TunnelAnswer:
        """Return why a connection failed; a server is blamed only if others answer this node.

        :param start: time at which the connection was tried, in seconds
        """
        if self._clock() - start >= _CONNECT_TIMEOUT_S:
            return TunnelAnswer.UNREACHABLE
        is_server_at_fault = await self._monitor.can_blame(start)
        if self._links.is_disconnected:
            return TunnelAnswer.DISCONNECTED
        return TunnelAnswer.REFUSED if is_server_at_fault else TunnelAnswer.UNREACHABLE

    async def _copy(self, origin, server, number: int) -> None:
        """Copy in both directions until one side ends."""
        requests = _RequestCopy(server)
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(self._copy_requests, origin, requests, number, scope)
            nursery.start_soon(self._copy_responses, requests, origin, number, scope)

    async def _copy_requests(self, origin, requests: "_RequestCopy", number: int, scope) -> None:
        """Copy until the origin closes the tunnel, which it does only as a whole."""
        with contextlib.suppress(OSError):
            while data := await origin.recv(_READ_CHUNK_BYTES):
                self._active[number] = self._clock()
                await requests.send(data)
        # What the server has not received belongs to a request that the origin has given up.
        drop_unsent_on_close(requests.server)
        scope.cancel()

    async def _copy_responses(self, requests: "_RequestCopy", origin, number: int, scope) -> None:
        """Copy until the server's connection ends, and tell the origin how it ended."""
        with contextlib.suppress(OSError):
            if await self._relay_responses(requests, origin, number):
                await _send_all(origin, END_FRAME)
            # Without the end frame, the origin takes the connection for broken.
            origin.shutdown(socket.SHUT_WR)
            # The origin reads the rest and closes the tunnel, which ends the other task.
            await trio.sleep(_QUIET_S)
        scope.cancel()

    async def _relay_responses(self, requests: "_RequestCopy", origin, number: int) -> bool:
        """Copy until the server's connection ends; return whether the server has ended it.

        :raises OSError: if the connection to the origin is lost
        """
        while True:
            try:
                data = await requests.server.recv(_READ_CHUNK_BYTES)
            except OSError:
                return False
            if not data:
                return not requests.has_failed
            self._active[number] = self._clock()
            await _send_all(origin, encode_frames(data))


class _RequestCopy:
    """The copy of requests to a server.

    The system tells the loss of a connection once. If a send has failed, the end that a receive
    returns after it is not the server's.

    :param server: trio socket to the server
    """

    __slots__ = ("server", "has_failed")

    def __init__(self, server):
        self.server = server
        self.has_failed = False

    async def send(self, data: bytes) -> None:
        """Send to the server, unless it no longer reads; it may have responded nevertheless."""
        if self.has_failed:
            return
        try:
            await _send_all(self.server, data)
        except OSError:
            self.has_failed = True


async def _receive_line(sock) -> bytes:
    """Return the bytes up to a line feed; the origin sends nothing after it before the answer."""
    line = b""
    while not line.endswith(b"\n") and len(line) < MAX_LINE_BYTES:
        data = await sock.recv(MAX_LINE_BYTES - len(line))
        if not data:
            break
        line += data
    return line


async def _send_all(sock, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[await sock.send(view) :]
