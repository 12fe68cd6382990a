"""Plain services with idempotent and non-idempotent calls."""

import json
from collections import defaultdict

import trio

from basilwinch.exception import SERVER_LEAVING, SERVER_UNREACHABLE, STREAM_LOST, ServerError
from basilwinch.record import Record
from basilwinch.server import ServiceCall, ServiceReply

__all__ = ["PlainServices", "ServiceRun"]


class ServiceRun(Record):
    """A call that took effect on a server.

    :param time: trio time
    :param server: name of the server
    :param method: HTTP method
    :param path: path
    :param key: value of the ``Idempotency-Key`` header, empty if there is none
    :param body: body of the call
    """

    __slots__ = ("time", "server", "method", "path", "key", "body")


class PlainServices:
    """All servers of the plain services of a test.

    GET is idempotent: it reads the last body written to the path. Any other method changes state
    and runs each time it arrives, as a service without duplicate detection does. Servers of one
    service share their state.

    :param servers: names of the servers
    :param reply_s: seconds from arrival to effect, and from effect to reply
    """

    __slots__ = ("log", "state", "_reply_s", "_dead", "_leaving", "_delays", "_lose", "_epochs")

    def __init__(self, servers, reply_s: float = 0.002):
        #: Calls that took effect, in order.
        self.log: list[ServiceRun] = []
        self.state: dict[str, bytes] = {}
        self._reply_s = reply_s
        self._dead = set()
        self._leaving = set()
        self._delays = dict.fromkeys(servers, (0.0, 0.0))
        self._lose = defaultdict(int)
        self._epochs = dict.fromkeys(servers, 0)

    async def call(self, server: str, call: ServiceCall) -> ServiceReply:
        """Run a call.

        :raises ServerError: ``SERVER_UNREACHABLE`` (not sent), ``SERVER_LEAVING`` (not run) or
            ``STREAM_LOST`` (it may have run)
        """
        if server in self._dead or server not in self._epochs:
            await trio.lowlevel.checkpoint()
            raise ServerError(SERVER_UNREACHABLE.because(f"{server} is down", server=server))
        if server in self._leaving:
            await trio.lowlevel.checkpoint()
            raise ServerError(SERVER_LEAVING.because(f"{server} leaves", server=server))
        epoch = self._epochs[server]
        before, after = self._delays[server]
        await trio.sleep(self._reply_s + before)
        self._check_alive(server, epoch)
        reply = self._run(server, call)
        # Cancelling the caller from here on does not undo the effect.
        await trio.sleep(self._reply_s + after)
        self._check_alive(server, epoch)
        if self._lose[server]:
            self._lose[server] -= 1
            raise ServerError(STREAM_LOST.because(f"reply of {server} lost", server=server))
        return reply

    def runs_of(self, key: str) -> list[ServiceRun]:
        """Return the runs with an idempotency key. Linear in the length of the log."""
        return [run for run in self.log if run.key == key]

    def delay(self, server: str, before_s: float = 0.0, after_s: float = 0.0) -> None:
        """Add delays before and after the effect of each further call."""
        self._delays[server] = (before_s, after_s)

    def lose_replies(self, server: str, count: int) -> None:
        """Lose the replies of the next ``count`` calls after they took effect."""
        self._lose[server] = count

    def kill(self, server: str) -> None:
        """Kill a server: calls in progress break off, new ones are not sent."""
        self._dead.add(server)
        self._epochs[server] += 1

    def revive(self, server: str) -> None:
        """Start a dead or leaving server again."""
        self._dead.discard(server)
        self._leaving.discard(server)

    def leave(self, server: str) -> None:
        """Let a server refuse new calls and finish those in progress."""
        self._leaving.add(server)

    def _check_alive(self, server: str, epoch: int) -> None:
        if self._epochs[server] != epoch:
            raise ServerError(STREAM_LOST.because(f"{server} died", server=server))

    def _run(self, server: str, call: ServiceCall) -> ServiceReply:
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
