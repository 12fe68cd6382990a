"""Frames for the bytes from a server, which tell the end of a connection from its loss."""

__all__ = ["END_FRAME", "FrameReader", "encode_frames"]

_LENGTH_BYTES = 2
_MAX_FRAME_BYTES = (1 << 16) - 1
END_FRAME = bytes(_LENGTH_BYTES)  # a length of 0: the server has ended the connection in order


def encode_frames(data: bytes) -> bytes:
    """Return data as frames.

    >>> encode_frames(b"abc")
    b'\\x00\\x03abc'
    """
    frames = []
    for start in range(0, len(data), _MAX_FRAME_BYTES):
        part = data[start : start + _MAX_FRAME_BYTES]
        frames.append(len(part).to_bytes(_LENGTH_BYTES, "big") + part)
    return b"".join(frames)


class FrameReader:
    """Extracts the data of frames as it arrives. ``is_ended`` is true after the end frame.

    >>> reader = FrameReader()
    >>> reader.feed(b"\\x00\\x03ab"), reader.is_ended
    (b'ab', False)
    >>> reader.feed(b"c" + END_FRAME), reader.is_ended
    (b'c', True)
    """

    __slots__ = ("is_ended", "_left", "_length")

    def __init__(self):
        self.is_ended = False
        self._left = 0  # bytes of the current frame that have not arrived
        self._length = b""  # incomplete length field

    def feed(self, data: bytes) -> bytes:
        """Return the data of the frames in the next bytes.

        Bytes after the end frame are dropped. Linear in the bytes.
        """
        parts = []
        position = 0
        while position < len(data) and not self.is_ended:
            if self._left:
                part = data[position : position + self._left]
                self._left -= len(part)
                position += len(part)
                parts.append(part)
                continue
            part = data[position : position + _LENGTH_BYTES - len(self._length)]
            self._length += part
            position += len(part)
            if len(self._length) == _LENGTH_BYTES:
                self._left = int.from_bytes(self._length, "big")
                self._length = b""
                self.is_ended = self._left == 0
        return b"".join(parts)
