"""Frames on a stream: a length, then the data."""

import struct

import trio

from basilwinch.exception import MALFORMED_PACKET, PEER_UNREACHABLE, Failure

__all__ = ["MAX_REPLY", "MAX_REQUEST", "receive_frame", "send_frame", "swap_frames"]

_LENGTH = struct.Struct(">I")
MAX_REQUEST = 1024
# The whole state at the design size is about 6 MB before compression.
MAX_REPLY = 32 * 1024 * 1024
_TIMEOUT_S = 5.0


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

    :param limit: largest size accepted; checked before memory is taken
    :returns: the data, or ``MALFORMED_PACKET``
    """
    head = await _receive_exactly(stream, _LENGTH.size)
    if head is None:
        return MALFORMED_PACKET.because("the stream ended before a frame")
    (size,) = _LENGTH.unpack(head)
    if size > limit:
        return MALFORMED_PACKET.because(f"frame of {size} bytes, at most {limit}")
    data = await _receive_exactly(stream, size)
    if data is None:
        return MALFORMED_PACKET.because("the stream ended inside a frame")
    return data


async def swap_frames(transport, address: str, request: bytes) -> bytes | Failure:
    """Send a request to a node and return the reply.

    :returns: the reply, or ``PEER_UNREACHABLE`` or ``MALFORMED_PACKET``
    """
    with trio.move_on_after(_TIMEOUT_S):
        try:
            async with await transport.open_stream(address) as stream:
                await send_frame(stream, request)
                return await receive_frame(stream, MAX_REPLY)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            return PEER_UNREACHABLE.because(f"{address}: {error}")
    return PEER_UNREACHABLE.because(f"{address}: no answer within {_TIMEOUT_S} s")
