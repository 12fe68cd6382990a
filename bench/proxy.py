"""Loopback proxy that delays, stalls, resets or refuses connections."""

import contextlib
import socket

import trio

__all__ = ["FaultProxy"]

_READ_BYTES = 65536
_LINGER_RESET = b"\1\0\0\0\0\0\0\0"  # struct linger: on, 0 s; closing then sends RST


class FaultProxy:
    """Forwards connections to an address.

    ``mode`` is ``pass``, ``delay`` (data is delayed by ``delay_s``), ``silent`` (data is held
    back) or ``refuse`` (new connections are reset).

    :param host: address to listen on
    :param target_port: port on loopback to forward to
    """

    def __init__(self, host: str, target_port: int):
        self.host = host
        self.target_port = target_port
        self.port = 0
        self.mode = "pass"
        self.delay_s = 0.0
        self._open_streams: set = set()

    async def start(self, nursery) -> None:
        """Listen on a free port and set ``port`` to it."""
        listeners = await trio.open_tcp_listeners(0, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    def reset_all(self) -> None:
        """Reset the open connections."""
        for stream in list(self._open_streams):
            _reset(stream)

    async def _serve(self, client) -> None:
        if self.mode == "refuse":
            _reset(client)
            return
        try:
            upstream = await trio.open_tcp_stream("127.0.0.1", self.target_port)
        except OSError:
            _reset(client)
            return
        self._open_streams |= {client, upstream}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, upstream, nursery.cancel_scope)
                nursery.start_soon(self._copy, upstream, client, nursery.cancel_scope)
        finally:
            self._open_streams -= {client, upstream}
            for stream in (client, upstream):
                with trio.CancelScope(shield=True, deadline=trio.current_time() + 0.1):
                    await stream.aclose()

    async def _copy(self, source, target, scope) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for data in source:
                while self.mode == "silent":
                    await trio.sleep(0.05)
                if self.mode == "delay":
                    await trio.sleep(self.delay_s)
                await target.send_all(data)
        scope.cancel()


def _reset(stream) -> None:
    with contextlib.suppress(OSError):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        stream.socket.close()
