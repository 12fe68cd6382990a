"""Record of a layout in the store."""

import json

from basilwinch.chains.layout import ChainMember
from basilwinch.exception import MALFORMED_PACKET, Failure

__all__ = ["decode_layout", "encode_layout"]

_MEMBER_VALUES = 3  # a newer version may add further values after these


def encode_layout(chains: list[list[ChainMember]]) -> bytes:
    """Return the record of a layout.

    >>> encode_layout([[ChainMember("s1", 0, 8)]])
    b'[[["s1", 0, 8]]]'
    """
    return json.dumps([[[m.server, m.first, m.end] for m in chain] for chain in chains]).encode()


def decode_layout(value: bytes) -> list[list[ChainMember]] | Failure:
    """Return the chains of a record, or ``MALFORMED_PACKET``.

    >>> decode_layout(b'[[["s1", 0, 8, "added later"]]]')
    [[ChainMember(server='s1', first=0, end=8)]]
    """
    try:
        return [
            [ChainMember(*row[:_MEMBER_VALUES]) for row in chain] for chain in json.loads(value)
        ]
    except (ValueError, TypeError) as error:
        return MALFORMED_PACKET.because(f"layout: {error!r}")
