"""Unpacking of packed Cap'n Proto messages from untrusted senders.

The library's own reader of packed messages ends the process on a truncated one.
"""

__all__ = ["unpack"]

_MAX_UNPACKED_BYTES = 1 << 18  # four times the largest datagram
_WORD_BYTES = 8


def _find_runs(tag: int) -> tuple:
    """Return the runs of bytes that follow a tag, each after its zeros, and the last zeros.

    >>> _find_runs(0b00110001)
    (((b'', 1), (b'\\x00\\x00\\x00', 2)), b'\\x00\\x00')
    """
    runs = []
    zeros = count = 0
    for position in range(_WORD_BYTES):
        if tag >> position & 1:
            count += 1
            continue
        if count:
            runs.append((bytes(zeros), count))
            zeros = count = 0
        zeros += 1
    if count:
        runs.append((bytes(zeros), count))
        zeros = 0
    return tuple(runs), bytes(zeros)


_RUNS = [_find_runs(tag) for tag in range(256)]
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
    size = len(data)
    try:
        while at < size:
            tag = data[at]
            at += 1
            runs, zeros = _RUNS[tag]
            for zeros_before, count in runs:
                words += zeros_before
                words += data[at : at + count]
                at += count
            words += zeros
            if tag == _ZEROS:
                words += bytes(_WORD_BYTES * data[at])
                at += 1
            elif tag == _LITERAL:
                end = at + 1 + _WORD_BYTES * data[at]
                words += data[at + 1 : end]
                at = end
            if len(words) > _MAX_UNPACKED_BYTES:
                raise ValueError(f"message exceeds {_MAX_UNPACKED_BYTES} bytes")
    except IndexError:
        raise ValueError("packed message ends within a word") from None
    if at > size:
        raise ValueError("packed message ends within a word")
    return bytes(words)
