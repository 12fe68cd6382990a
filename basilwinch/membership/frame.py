"""Length-prefixed frames on a stream."""

import struct

import trio

from basilwinch.exception import MALFORMED_PACKET, PEER_UNREACHABLE, Failure

__all__ = ["MAX_REPLY_BYTES", "MAX_REQUEST_BYTES", "receive_frame", "send_frame", "send_request"]

_LENGTH = struct.Struct(">I")
MAX_REQUEST_BYTES = 1024
# A whole release state of 33,000 entries is about 6 MB before compression.
MAX_REPLY_BYTES = 32 * 1024 * 1024
_REQUEST_TIMEOUT_S = 5.0


async def send_frame(stream: trio.abc.Stream, data: bytes) -> None:
    """Send a frame: its length in four bytes, then the data."""
    await stream.send_all(_LENGTH.pack(len(data)) + data)


async def _receive_exactly(stream: trio.abc.Stream, size: int) -> bytes | None:
    data = bytearray()
    while len(data) < size:
        part = await stream.receive_some(min(65536, size - len(data)))
        if not part:
            return None
        data += part
    return bytes(data)


async def receive_frame(stream: trio.abc.Stream, limit: int) -> bytes | Failure:
    """Receive a frame.

    :param limit: maximum size in bytes; checked before memory is allocated
    :returns: the data, or ``MALFORMED_PACKET``
    """
    header = await _receive_exactly(stream, _LENGTH.size)
    if header is None:
        return MALFORMED_PACKET.because("the stream ended before all 4 bytes of the frame length")
    (size,) = _LENGTH.unpack(header)
    if size > limit:
        return MALFORMED_PACKET.because(f"frame of {size} bytes exceeds the limit of {limit} bytes")
    data = await _receive_exactly(stream, size)
    if data is None:
        return MALFORMED_PACKET.because(f"the stream ended inside a frame of {size} bytes")
    return data


async def send_request(transport, address: str, request: bytes) -> bytes | Failure:
    """Send a request frame to a node and receive the reply frame.

    :returns: the reply, or ``PEER_UNREACHABLE`` or ``MALFORMED_PACKET``
    """
    with trio.move_on_after(_REQUEST_TIMEOUT_S):
        try:
            async with await transport.open_stream(address) as stream:
                await send_frame(stream, request)
                return await receive_frame(stream, MAX_REPLY_BYTES)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            return PEER_UNREACHABLE.because(f"{address}: {error}")
    return PEER_UNREACHABLE.because(f"{address}: no answer within {_REQUEST_TIMEOUT_S} s")
