"""Answers of a reader to the nodes of its availability zone."""

import contextlib

import structlog

from basilwinch.exception import Failure
from basilwinch.fanout.connection import receive_message, send_message
from basilwinch.fanout.message import decode_request, encode_answer
from basilwinch.fanout.shared_reads import SharedReads

__all__ = ["ReaderServer"]

_MAX_CONNECTIONS = 512  # two for each node that asks, unless the node has fewer descriptors


class ReaderServer:
    """Serves connections of other nodes.

    :param reads: :class:`~basilwinch.fanout.shared_reads.SharedReads` of this node
    :param max_connections: maximum number of connections
    """

    __slots__ = ("_reads", "_max_connections", "_connections", "_log")

    def __init__(self, reads: SharedReads, max_connections: int = _MAX_CONNECTIONS):
        self._reads = reads
        self._max_connections = max_connections
        self._connections = 0
        self._log = structlog.get_logger("reader")

    async def serve(self, sock, peer: str) -> None:
        """Serve one connection until the other node closes it.

        :param sock: trio socket, after the line that names the protocol
        :param peer: IP address of the other node, for the log
        """
        if self._connections >= self._max_connections:
            self._log.info("reads of a node refused, too many connections", peer=peer)
            return
        self._connections += 1
        try:
            with contextlib.suppress(OSError):
                await self._answer_requests(sock, peer)
        finally:
            self._connections -= 1

    async def _answer_requests(self, sock, peer: str) -> None:
        while (data := await receive_message(sock)) is not None:
            request = data if isinstance(data, Failure) else decode_request(data)
            if isinstance(request, Failure):
                self._log.warning("read request malformed", peer=peer, reason=request.reason)
                return
            await send_message(sock, encode_answer(await self._reads.answer(request)))
