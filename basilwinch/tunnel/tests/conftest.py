"""Fixtures: an origin, carriers and a server on loopback addresses of their own."""

import contextlib
import random

import pytest
import trio

from basilwinch.standin.port import find_free_port
from basilwinch.tunnel import Carriers, Reachability, ServerConnector, TunnelListener
from basilwinch.view import View
from basilwinch.view.server import ServerEntry

ORIGIN_IP = "127.0.0.20"


class Monitor:
    """A monitor of a carrier, to which other servers answer if ``path.others_answer``."""

    def __init__(self, path):
        self.path = path

    async def can_blame(self, failed_at):
        return self.path.others_answer


class Path:
    """An origin that is disconnected, ``carriers`` by name, and a server that runs ``answer``.

    ``closed`` counts the connections that the server has seen to the end.
    """

    def __init__(self, nursery):
        self.nursery = nursery
        self.port = find_free_port(ORIGIN_IP)
        self.view = View()
        self.carriers = Carriers("a", random.Random(1))
        self.links = Reachability()
        self.links.is_disconnected = True
        self.listeners: dict[str, TunnelListener] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.carrier_links: dict[str, Reachability] = {}
        self.answer = None
        self.others_answer = True
        self.accepted = 0
        self.closed = 0
        self.server_port = 0
        self.connector = ServerConnector(
            self.links,
            self.carriers,
            self.view,
            ORIGIN_IP,
            self.port,
            trio.current_time,
            random.Random(2),
        )

    async def start_server(self, answer) -> None:
        """Start the server; ``answer`` is an async function that gets each connection."""
        self.answer = answer
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.server_port = listeners[0].socket.getsockname()[1]
        self.nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        self.set_server(leaving=False)

    def set_server(self, leaving: bool) -> None:
        entry = ServerEntry(
            "s1", "svc", "127.0.0.1", self.server_port, "a", 8, leaving, "", None, 1, 1
        )
        self.view.set_server(entry, 1)

    async def _serve(self, stream) -> None:
        self.accepted += 1
        try:
            # A carrier resets its connection when the origin leaves.
            with contextlib.suppress(trio.BrokenResourceError):
                await self.answer(stream)
        finally:
            self.closed += 1
            await trio.aclose_forcefully(stream)

    async def start_carrier(self, number: int, origin_ip: str = ORIGIN_IP) -> str:
        """Start a carrier that knows a node with the given address as the origin."""
        name, ip = f"n{number}", f"127.0.0.{20 + number}"
        self.carriers.add(name, ip, "a")
        known = Carriers("a", random.Random(3))
        known.add("origin", origin_ip, "a")
        self.carrier_links[name] = Reachability()
        listener = TunnelListener(
            self.carrier_links[name], Monitor(self), known, self.view, ip, trio.current_time
        )
        self.listeners[name] = listener
        sockets = await trio.open_tcp_listeners(self.port, host=ip)
        self.scopes[name] = trio.CancelScope()

        async def serve():
            with self.scopes[name]:
                await trio.serve_listeners(listener.serve, sockets)

        self.nursery.start_soon(serve)
        return name

    async def open(self, timeout_s: float = 1.0):
        return await self.connector.open("127.0.0.1", self.server_port, timeout_s)

    async def wait_until(self, condition) -> None:
        with trio.fail_after(5):
            while not condition():
                await trio.sleep(0.01)


@pytest.fixture
def run_path():
    """Return a function that runs an async test with a :class:`Path`."""

    def run(test):
        async def main():
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    await test(Path(nursery))
                    nursery.cancel_scope.cancel()

        trio.run(main)

    return run
