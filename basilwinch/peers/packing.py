"""Unpacking of packed Cap'n Proto messages from untrusted senders.

The library's own reader of packed messages ends the process on a truncated one.
"""

__all__ = ["unpack"]

_MAX_UNPACKED_BYTES = 1 << 18  # four times the largest datagram
_WORD_BYTES = 8
# By tag: positions in a word of the bytes that follow it.
_POSITIONS = [
    tuple(position for position in range(_WORD_BYTES) if tag >> position & 1) for tag in range(256)
]
_ZEROS, _LITERAL = 0x00, 0xFF  # tags that are followed by a number of words


def unpack(data: bytes) -> bytes:
    """Return the words of a packed message. Linear in its length.

    :param data: packed message
    :raises ValueError: if it is truncated or too long

    >>> unpack(bytes.fromhex("240304 0001"))
    b'\\x00\\x00\\x03\\x00\\x00\\x04\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x00'
    """
    words = bytearray()
    at = 0
    try:
        while at < len(data):
            tag = data[at]
            at += 1
            word = bytearray(_WORD_BYTES)
            for position in _POSITIONS[tag]:
                word[position] = data[at]
                at += 1
            words += word
            if tag == _ZEROS:
                words += bytes(_WORD_BYTES * data[at])
                at += 1
            elif tag == _LITERAL:
                end = at + 1 + _WORD_BYTES * data[at]
                if end > len(data):
                    raise ValueError("packed message ends within literal words")
                words += data[at + 1 : end]
                at = end
            if len(words) > _MAX_UNPACKED_BYTES:
                raise ValueError(f"message exceeds {_MAX_UNPACKED_BYTES} bytes")
    except IndexError:
        raise ValueError("packed message ends within a word") from None
    return bytes(words)
