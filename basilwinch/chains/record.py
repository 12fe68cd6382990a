"""Record of a layout in the store."""

import json

from basilwinch.chains.layout import ChainMember
from basilwinch.document import parse_document
from basilwinch.exception import MALFORMED_DOCUMENT, DocumentError, Failure

__all__ = ["MAX_LAYERS", "decode_layout", "encode_layout"]

MAX_LAYERS = 4096  # far above any model, and low enough for loops over layers
_MEMBER_VALUES = 3  # a newer version may add further values after these


def encode_layout(chains: list[list[ChainMember]]) -> bytes:
    """Return the record of a layout.

    >>> encode_layout([[ChainMember("s1", 0, 8)]])
    b'[[["s1", 0, 8]]]'
    """
    return json.dumps([[[m.server, m.first, m.end] for m in chain] for chain in chains]).encode()


def decode_layout(value: bytes) -> list[list[ChainMember]] | Failure:
    """Return the chains of a record, or ``MALFORMED_DOCUMENT``.

    >>> decode_layout(b'[[["s1", 0, 8, "added later"]]]')
    [[ChainMember(server='s1', first=0, end=8)]]
    >>> decode_layout(b'[[["s1", 8, 0]]]')
    Failure(malformed_document: layout: row 0 of chain 0 is no range of layers of a server)
    """
    try:
        chains = parse_document(value)
    except DocumentError as error:
        return error.failure
    if not isinstance(chains, list) or not all(_is_list(chain) for chain in chains):
        return MALFORMED_DOCUMENT.because("layout: expected a list of chains, each with a member")
    for number, chain in enumerate(chains):
        for index, row in enumerate(chain):
            if not _is_member(row):
                return MALFORMED_DOCUMENT.because(
                    f"layout: row {index} of chain {number} is no range of layers of a server"
                )
    return [[ChainMember(*row[:_MEMBER_VALUES]) for row in chain] for chain in chains]


def _is_list(value) -> bool:
    return isinstance(value, list) and bool(value)


def _is_member(row) -> bool:
    if not isinstance(row, list) or len(row) < _MEMBER_VALUES:
        return False
    server, first, end = row[:_MEMBER_VALUES]
    if not isinstance(server, str) or type(first) is not int or type(end) is not int:
        return False
    return 0 <= first < end <= MAX_LAYERS
