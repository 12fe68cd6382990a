"""Encoding of notes and whole states for the exchange between nodes.

A message starts with one byte: ``D`` for notes, as compressed JSON, or ``W`` for a whole state, as
a header and one compressed block for each page. Separate blocks limit the memory that decoding
needs, and a node that exports its state again encodes only the blocks that changed.
"""

import json
import struct
import zlib

from basilwinch.exception import RELEASE_MALFORMED
from basilwinch.release.layout import StoredNote
from basilwinch.release.mapping import BUCKETS
from basilwinch.release.state import Revision, State, encode_page

__all__ = ["PageCache", "decode_steps", "encode_notes", "encode_state"]

_BLOCK_HEADER = struct.Struct("!HI")
# Limit on the unpacked size of a block or of a message of notes, against decompression bombs. A
# page has 45 KB at 33,000 entries.
_MAX_UNPACKED_BYTES = 4_000_000
_DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    IndexError,
    struct.error,
    zlib.error,
)


class PageCache:
    """Cache of the encoded pages of the state that was encoded last."""

    __slots__ = ("_pages",)

    def __init__(self):
        self._pages: dict[int, tuple[tuple, bytes]] = {}

    def encode(self, state: State, index: int) -> bytes:
        """Return the compressed form of a page, empty if it has no entries."""
        buckets = state.page(index)
        if self._holds(index, buckets):
            return self._pages[index][1]
        page = encode_page(buckets)
        data = zlib.compress(page, 1) if page else b""
        self._pages[index] = (buckets, data)
        return data

    def warm(self, state: State, count: int) -> bool:
        """Encode up to ``count`` changed pages into the cache.

        :returns: whether changed pages are left
        """
        for index in range(BUCKETS):
            if not self._holds(index, state.page(index)):
                if count == 0:
                    return True
                self.encode(state, index)
                count -= 1
        return False

    def _holds(self, index: int, buckets: tuple) -> bool:
        cached = self._pages.get(index)
        return bool(cached) and all(a is b for a, b in zip(cached[0], buckets, strict=True))


def encode_notes(notes: list[bytes]) -> bytes:
    """Return the message for consecutive notes, each given as JSON."""
    return b"D" + zlib.compress(b"[" + b",".join(notes) + b"]", 1)


def encode_state(state: State, cache: PageCache) -> bytes:
    """Return the message for a whole state."""
    trail = [(revision.number, revision.id) for revision in state.trail]
    header = {"revision": (state.revision.number, state.revision.id), "trail": trail}
    blocks = [b"W", _pack(BUCKETS, zlib.compress(json.dumps(header).encode(), 1))]
    for index in range(BUCKETS):
        if data := cache.encode(state, index):
            blocks.append(_pack(index, data))
    return b"".join(blocks)


def decode_steps(data: bytes):
    """Decode a message, as a generator with one step for each page.

    :returns: list of notes, a whole state, or ``RELEASE_MALFORMED``
    """
    try:
        if data[:1] == b"D":
            return [StoredNote.from_dict(fields) for fields in json.loads(_unpack(data[1:]))]
        if data[:1] == b"W":
            return (yield from _state_steps(data))
    except _DECODE_ERRORS as error:
        return RELEASE_MALFORMED.because(f"{type(error).__name__}: {error}")
    return RELEASE_MALFORMED.because(
        f"expected a message that starts with b'D' or b'W', got {data[:1]!r}"
    )


def _state_steps(data: bytes):
    pages: dict[int, bytes] = {}
    header = None
    position = 1
    while position < len(data):
        index, size = _BLOCK_HEADER.unpack_from(data, position)
        position += _BLOCK_HEADER.size
        block = data[position : position + size]
        if len(block) < size or index > BUCKETS or index in pages:
            raise ValueError(
                f"block {index} is shorter than {size} bytes, repeated or above index {BUCKETS}"
            )
        position += size
        if index == BUCKETS:
            header = json.loads(_unpack(block))
        else:
            pages[index] = block
    revision = Revision(int(header["revision"][0]), str(header["revision"][1]))
    trail = [Revision(int(number), str(unique_id)) for number, unique_id in header["trail"]]
    return (yield from State.build_steps(revision, trail, _LazyPages(pages)))


class _LazyPages:
    """Compressed pages, each decompressed when it is read."""

    __slots__ = ("_pages",)

    def __init__(self, pages: dict[int, bytes]):
        self._pages = pages

    def items(self):
        for index, block in self._pages.items():
            yield index, _unpack(block)


def _pack(index: int, data: bytes) -> bytes:
    return _BLOCK_HEADER.pack(index, len(data)) + data


def _unpack(data: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    text = unpacker.decompress(data, _MAX_UNPACKED_BYTES)
    if not unpacker.eof:
        raise ValueError(
            f"a block or message is truncated or unpacks to over {_MAX_UNPACKED_BYTES} bytes"
        )
    return text
