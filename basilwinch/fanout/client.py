"""Questions of a node to the reader of its availability zone."""

import structlog
import trio

from basilwinch.exception import ProtocolError, ServerError
from basilwinch.fanout.connection import ReaderConnection
from basilwinch.fanout.message import ReadAnswer, ReadRequest
from basilwinch.fanout.readers import Readers

__all__ = ["ReaderClient"]

_CONNECT_TIMEOUT_S = 0.3  # a round trip within a zone takes under 2 ms
_MAX_IDLE_CONNECTIONS = 2  # one waits for changes, the other asks for positions


class ReaderClient:
    """Asks the reader that :class:`~basilwinch.fanout.readers.Readers` names, over TCP.

    ``reader`` is the name of the node that answered last. A reader that does not answer is left out
    for a while.

    :param readers: the choice of readers
    :param local_ip: own IP address
    :param port: TCP port on which all nodes answer other nodes
    :param clock: function that returns the time in seconds
    :param answer_timeout_s: time for an answer beyond the wait that a question allows, in seconds
    """

    __slots__ = (
        "_readers",
        "_local_ip",
        "_port",
        "_clock",
        "_answer_timeout_s",
        "_idle",
        "_asking",
        "reader",
        "_log",
    )

    def __init__(self, readers: Readers, local_ip: str, port: int, clock, answer_timeout_s: float):
        self._readers = readers
        self._local_ip = local_ip
        self._port = port
        self._clock = clock
        self._answer_timeout_s = answer_timeout_s
        self._idle: list[ReaderConnection] = []
        self._asking: set[trio.CancelScope] = set()
        self.reader: str | None = None
        self._log = structlog.get_logger("reader")

    async def ask(self, request: ReadRequest) -> ReadAnswer | None:
        """Return the answer of a reader, or None if the store itself must be asked."""
        name = self._readers.choose(self._clock())
        if name != self.reader:
            self.close_idle()
            self.reader = name
        if name is None:
            return None
        reason = "no answer in time"
        with trio.move_on_after(request.wait_s + self._answer_timeout_s) as scope:
            self._asking.add(scope)
            try:
                return await self._exchange(name, request)
            except (OSError, ProtocolError, ServerError) as error:
                reason = repr(error)
            finally:
                self._asking.discard(scope)
        if name == self.reader:
            self.avoid_reader(name, reason)
        return None

    def avoid_reader(self, name: str, reason: str) -> None:
        """Ask another node, or the store, from now on; questions in progress end without an answer.

        :param name: name of the reader at fault
        :param reason: why, for the log
        """
        self._log.info("reader left out", reader=name, reason=reason)
        self._readers.avoid(name, self._clock())
        self.reader = None
        self.close_idle()
        for scope in self._asking:
            scope.cancel()

    async def _exchange(self, name: str, request: ReadRequest) -> ReadAnswer:
        connection = self._idle.pop() if self._idle else await self._open(name)
        answer = None
        try:
            answer = await connection.ask(request)
            return answer
        finally:
            is_current = name == self.reader and len(self._idle) < _MAX_IDLE_CONNECTIONS
            if answer is not None and is_current:
                self._idle.append(connection)
            else:
                connection.close()

    async def _open(self, name: str) -> ReaderConnection:
        ip = self._readers.get_ip(name)
        return await ReaderConnection.open(ip, self._port, _CONNECT_TIMEOUT_S, self._local_ip)

    def close_idle(self) -> None:
        """Close the connections that are not in use."""
        while self._idle:
            self._idle.pop().close()
