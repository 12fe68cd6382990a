"""First lines of a tunnel: the request for a server, and the carrier's answer."""

import enum
import re

from basilwinch.record import Record

__all__ = [
    "MAX_LINE_BYTES",
    "TunnelAnswer",
    "TunnelRequest",
    "decode_answer",
    "decode_request",
    "encode_answer",
    "encode_request",
]

MAX_LINE_BYTES = 512
_REQUEST = re.compile(rb"TUNNEL/1 ([!-~]{1,200}) ([0-9.]{7,15}):([0-9]{1,5})\n")


class TunnelAnswer(enum.StrEnum):
    """What a carrier answers.

    ``OK``: connected to the server. ``REFUSED``: the server refused the connection.
    ``UNREACHABLE``: it did not answer. ``UNKNOWN``: the carrier knows no such server in use.
    ``DISCONNECTED``: the carrier has lost all servers itself. ``BUSY``: it takes no more tunnels.
    """

    OK = "ok"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    DISCONNECTED = "disconnected"
    BUSY = "busy"


class TunnelRequest(Record):
    """A server by id, with its address as the origin knows it."""

    __slots__ = ("server_id", "host", "port")


def encode_request(request: TunnelRequest) -> bytes:
    """Return the first line of a tunnel.

    >>> encode_request(TunnelRequest("i-7f", "10.0.0.9", 8080))
    b'TUNNEL/1 i-7f 10.0.0.9:8080\\n'
    """
    return f"TUNNEL/1 {request.server_id} {request.host}:{request.port}\n".encode()


def decode_request(line: bytes) -> TunnelRequest | None:
    """Return the request of a first line, or None if it is malformed.

    >>> decode_request(b"GET / HTTP/1.1\\n") is None
    True
    """
    match = _REQUEST.fullmatch(line)
    if match is None or int(match[3]) > 65535:
        return None
    return TunnelRequest(match[1].decode(), match[2].decode(), int(match[3]))


def encode_answer(answer: TunnelAnswer) -> bytes:
    """Return the carrier's line."""
    return answer.value.encode() + b"\n"


def decode_answer(line: bytes) -> TunnelAnswer | None:
    """Return the answer of a carrier's line without its line feed, or None if it is malformed.

    >>> decode_answer(b"busy"), decode_answer(b"bu")
    (<TunnelAnswer.BUSY: 'busy'>, None)
    """
    try:
        return TunnelAnswer(line.decode("latin-1"))
    except ValueError:
        return None
