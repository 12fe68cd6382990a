"""Connections that carry the messages of reads, each with its length before it."""

import contextlib

from basilwinch.exception import OVERSIZED_PACKET, Failure, ProtocolError
from basilwinch.fanout.message import (
    MAX_MESSAGE_BYTES,
    READ_PROTOCOL_LINE,
    ReadAnswer,
    ReadRequest,
    decode_answer,
    encode_request,
)
from basilwinch.wire import open_socket

__all__ = ["ReaderConnection", "receive_message", "send_message"]

_LENGTH_BYTES = 4
_ACCEPTED = b"ok\n"  # answer to the line that names the protocol


async def send_message(sock, data: bytes) -> None:
    """Send a message with its length."""
    view = memoryview(len(data).to_bytes(_LENGTH_BYTES, "big") + data)
    while view:
        view = view[await sock.send(view) :]


async def receive_message(sock) -> bytes | Failure | None:
    """Return the next message, None at the end, or ``OVERSIZED_PACKET`` if it is too long."""
    header = await _receive_exactly(sock, _LENGTH_BYTES)
    if header is None:
        return None
    length = int.from_bytes(header, "big")
    if length > MAX_MESSAGE_BYTES:
        return OVERSIZED_PACKET.because(f"message of {length} bytes, at most {MAX_MESSAGE_BYTES}")
    return await _receive_exactly(sock, length)


async def _receive_exactly(sock, count: int) -> bytes | None:
    """Return a number of bytes, or None if the connection ends before."""
    data = b""
    while len(data) < count:
        part = await sock.recv(count - len(data))
        if not part:
            return None
        data += part
    return data


class ReaderConnection:
    """A connection to a reader, for one request at a time.

    :param sock: connected trio socket
    """

    __slots__ = ("_sock",)

    def __init__(self, sock):
        self._sock = sock

    @classmethod
    async def open(cls, ip: str, port: int, timeout_s: float, local_ip: str) -> "ReaderConnection":
        """Open a connection.

        :param local_ip: own IP address, by which the reader knows this node
        :raises ServerError: if the reader can't be reached
        :raises OSError: if the connection is lost, or the node does not accept it
        """
        sock = await open_socket(ip, port, timeout_s, local_ip)
        with contextlib.ExitStack() as undo:
            undo.callback(sock.close)
            await sock.send(READ_PROTOCOL_LINE)
            accepted = await _receive_exactly(sock, len(_ACCEPTED))
            if accepted != _ACCEPTED:
                raise ConnectionResetError(f"reads not accepted: {accepted!r}")
            undo.pop_all()
        return cls(sock)

    async def ask(self, request: ReadRequest) -> ReadAnswer:
        """Send a request, and return its answer.

        :raises OSError: if the connection is lost or closed
        :raises ProtocolError: if the answer is malformed
        """
        await send_message(self._sock, encode_request(request))
        data = await receive_message(self._sock)
        if data is None:
            raise ConnectionResetError("the reader closed the connection")
        answer = data if isinstance(data, Failure) else decode_answer(data)
        if isinstance(answer, Failure):
            raise ProtocolError(answer)
        return answer

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()
