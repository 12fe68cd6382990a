"""Simulated plain HTTP services with idempotent and non-idempotent calls."""

import json
from collections import defaultdict

import trio

from basilwinch.exception import SERVER_LEAVING, SERVER_UNREACHABLE, STREAM_LOST, ServerError
from basilwinch.record import Record
from basilwinch.server import ServiceCall, ServiceReply

__all__ = ["PlainServices", "ServiceRun"]


class ServiceRun(Record):
    """Execution of a call on a server.

    :param time: time of the execution in seconds on trio's clock
    :param server: name of the server
    :param method: HTTP method
    :param path: request path
    :param key: value of the ``Idempotency-Key`` header, empty if there is none
    :param body: request body
    """

    __slots__ = ("time", "server", "method", "path", "key", "body")


class PlainServices:
    """Simulates all servers of the plain services of a test.

    All servers share one state, by request path. GET is idempotent: it returns the last body
    written to the path. Any other method changes state at each arrival, as in a service without
    duplicate detection.

    :param servers: names of the servers
    :param half_latency_s: seconds from arrival to execution, and again from there to the reply
    """

    __slots__ = (
        "log",
        "state",
        "_half_latency_s",
        "_dead",
        "_leaving",
        "_delays",
        "_replies_to_lose",
        "_epochs",
    )

    def __init__(self, servers, half_latency_s: float = 0.002):
        #: Executed calls, in order.
        self.log: list[ServiceRun] = []
        self.state: dict[str, bytes] = {}
        self._half_latency_s = half_latency_s
        self._dead = set()
        self._leaving = set()
        self._delays = dict.fromkeys(servers, (0.0, 0.0))
        self._replies_to_lose = defaultdict(int)
        self._epochs = dict.fromkeys(servers, 0)

    async def call(self, server: str, call: ServiceCall) -> ServiceReply:
        """Run a call on a server.

        :raises ServerError: ``SERVER_UNREACHABLE`` (not sent), ``SERVER_LEAVING`` (not run) or
            ``STREAM_LOST`` (it may have run)
        """
        if server in self._dead or server not in self._epochs:
            await trio.lowlevel.checkpoint()
            raise ServerError(SERVER_UNREACHABLE.because(f"server {server} is down", server=server))
        if server in self._leaving:
            await trio.lowlevel.checkpoint()
            raise ServerError(SERVER_LEAVING.because(f"server {server} is leaving", server=server))
        epoch = self._epochs[server]
        before, after = self._delays[server]
        await trio.sleep(self._half_latency_s + before)
        self._check_alive(server, epoch)
        reply = self._apply(server, call)
        # A caller that is cancelled from here on does not undo the effect.
        await trio.sleep(self._half_latency_s + after)
        self._check_alive(server, epoch)
        if self._replies_to_lose[server]:
            self._replies_to_lose[server] -= 1
            raise ServerError(
                STREAM_LOST.because(f"reply of server {server} was lost", server=server)
            )
        return reply

    def find_runs(self, key: str) -> list[ServiceRun]:
        """Return the executions with an idempotency key, in linear time."""
        return [run for run in self.log if run.key == key]

    def delay(self, server: str, before_s: float = 0.0, after_s: float = 0.0) -> None:
        """Add delays in seconds before and after the execution of each later call."""
        self._delays[server] = (before_s, after_s)

    def lose_replies(self, server: str, count: int) -> None:
        """Lose the replies of the next ``count`` calls, which still take effect."""
        self._replies_to_lose[server] = count

    def kill(self, server: str) -> None:
        """Kill a server: calls in progress lose their reply, new ones are not sent."""
        self._dead.add(server)
        self._epochs[server] += 1

    def revive(self, server: str) -> None:
        """Restart a dead or leaving server."""
        self._dead.discard(server)
        self._leaving.discard(server)

    def mark_leaving(self, server: str) -> None:
        """Mark a server as leaving: it refuses new calls and finishes those in progress."""
        self._leaving.add(server)

    def _check_alive(self, server: str, epoch: int) -> None:
        if self._epochs[server] != epoch:
            raise ServerError(
                STREAM_LOST.because(f"server {server} died during the call", server=server)
            )

    def _apply(self, server: str, call: ServiceCall) -> ServiceReply:
        headers = {name.lower(): value for name, value in call.headers}
        key = headers.get(b"idempotency-key", b"").decode()
        run = ServiceRun(trio.current_time(), server, call.method, call.path, key, call.body)
        self.log.append(run)
        json_type = ((b"content-type", b"application/json"),)
        if call.method == "GET":
            stored = self.state.get(call.path)
            status = 404 if stored is None else 200
            body = stored if stored is not None else b'{"error": "not found"}'
            return ServiceReply(status, json_type, body)
        self.state[call.path] = call.body
        body = json.dumps({"path": call.path, "run": len(self.log), "key": key}).encode()
        return ServiceReply(200, json_type, body)
