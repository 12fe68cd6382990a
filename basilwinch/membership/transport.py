"""Datagrams and streams between nodes."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

__all__ = ["Transport", "UdpTransport", "split_address"]

_RECEIVE_BUFFER_BYTES = 2048
StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``; an IPv6 address is in brackets.

    :raises ValueError: if there is no port

    >>> split_address("[::1]:7400")
    ('::1', 7400)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Transport(Protocol):
    """Datagrams and streams of one node. Addresses are ``ip:port``."""

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram. It may be lost, duplicated or reordered; errors are not reported."""

    async def receive(self) -> tuple[str, bytes]:
        """Return the address of the sender and the data of the next datagram."""

    async def open_stream(self, address: str) -> trio.abc.Stream:
        """Open a stream to a node.

        :raises OSError: if the node cannot be reached
        """

    async def serve_streams(self, handler: StreamHandler) -> None:
        """Call the handler in a task of its own for each stream that a node opens. Runs until it
        is cancelled."""


class UdpTransport:
    """UDP for datagrams and TCP for streams, on the same port number."""

    __slots__ = ("_socket", "_listeners", "address")

    def __init__(self, datagrams: trio.socket.SocketType, listeners, address: str):
        self._socket = datagrams
        self._listeners = listeners
        self.address = address

    @classmethod
    async def bind(cls, address: str) -> "UdpTransport":
        """Bind both sockets.

        :param address: ``ip:port``; port 0 selects a free port
        :raises OSError: if the address cannot be bound
        """
        host, port = split_address(address)
        family = trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET
        listeners = await trio.open_tcp_listeners(port, host=host)
        port = listeners[0].socket.getsockname()[1]
        datagrams = trio.socket.socket(family, trio.socket.SOCK_DGRAM)
        await datagrams.bind((host, port))
        return cls(datagrams, listeners, _join_address(host, port))

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram; it is lost if the receiver cannot be reached."""
        try:
            await self._socket.sendto(data, split_address(address))
        except (OSError, ValueError):
            await trio.lowlevel.checkpoint()

    async def receive(self) -> tuple[str, bytes]:
        """Return the next datagram. ICMP errors from earlier sends are ignored."""
        while True:
            try:
                data, source = await self._socket.recvfrom(_RECEIVE_BUFFER_BYTES)
            except ConnectionError:
                continue
            return _join_address(source[0], source[1]), data

    async def open_stream(self, address: str) -> trio.SocketStream:
        """Open a TCP connection."""
        return await trio.open_tcp_stream(*split_address(address))

    async def serve_streams(self, handler: StreamHandler) -> None:
        """Accept TCP connections, and call the handler for each, until cancelled."""
        await trio.serve_listeners(handler, self._listeners)

    async def aclose(self) -> None:
        """Close both sockets."""
        self._socket.close()
        for listener in self._listeners:
            await listener.aclose()


def _join_address(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
