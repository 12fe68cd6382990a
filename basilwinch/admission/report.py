"""Encoding of usage reports."""

import enum
import hashlib
import math

from basilwinch.exception import MALFORMED_USAGE, Failure

__all__ = ["Direction", "pack_report", "short_id", "unpack_report"]

# Rates are sent as one byte on a logarithmic scale, 10% a step, from 1/600 to 10^8 a second.
_STEPS = 10.0
_OFFSET = 64


class Direction(enum.IntEnum):
    """Where the rows of a section go."""

    DIRECT = 1
    UP = 2
    DOWN = 3


def short_id(name: str) -> int:
    """Return three bytes of a digest of a name.

    Among 21,000 names about 13 pairs share an id by chance. Their usage is then added up, which
    can only make their limits stricter.
    """
    return int.from_bytes(hashlib.blake2s(name.encode(), digest_size=3).digest(), "little")


def pack_report(sections, seconds: float = 0.0) -> bytes:
    """Encode a report.

    :param seconds: time over which the rates were counted, at most 6553 s
    :param sections: list of (direction, rows); a row is (id, four rates: granted requests and
        tokens, wanted requests and tokens)
    :returns: two bytes of tenths of a second; one byte of direction and two of length for each
        section; for each row three bytes of id, one of flags and one for each rate that is neither
        0 nor implied
    """
    parts = [min(65535, round(seconds * 10)).to_bytes(2, "little")]
    for direction, rows in sections:
        parts.append(bytes((direction,)) + len(rows).to_bytes(2, "little"))
        for key, rates in rows:
            requests, tokens, wanted_requests, wanted_tokens = map(_code, rates)
            codes = (
                requests,
                tokens,
                # Where nothing was refused, the wanted rate equals the granted one.
                0 if wanted_requests == requests else wanted_requests,
                0 if wanted_tokens == tokens else wanted_tokens,
            )
            flags = sum(1 << place for place, code in enumerate(codes) if code)
            parts.append(key.to_bytes(3, "little") + bytes((flags, *filter(None, codes))))
    return b"".join(parts)


def unpack_report(data: bytes) -> tuple[list, float] | Failure:
    """Decode a report.

    :returns: (sections, seconds) as in :func:`pack_report`, or ``MALFORMED_USAGE``

    >>> unpack_report(pack_report([(Direction.UP, [(7, (1.0, 0.0, 1.0, 0.0))])], 4.8))
    ([(<Direction.UP: 2>, [(7, (1.0, 0.0, 1.0, 0.0))])], 4.8)
    """
    if len(data) < 2:
        return MALFORMED_USAGE.because(f"{len(data)} bytes")
    sections, offset = [], 2
    try:
        while offset < len(data):
            direction = Direction(data[offset])
            count = int.from_bytes(data[offset + 1 : offset + 3], "little")
            offset += 3
            rows = []
            for _ in range(count):
                key = int.from_bytes(data[offset : offset + 3], "little")
                flags = data[offset + 3]
                offset += 4
                rates = []
                for place in range(4):
                    rates.append(_rate(data[offset]) if flags >> place & 1 else 0.0)
                    offset += flags >> place & 1
                requests, tokens, wanted_requests, wanted_tokens = rates
                rows.append(
                    (key, (requests, tokens, wanted_requests or requests, wanted_tokens or tokens))
                )
            sections.append((direction, rows))
    except (IndexError, ValueError) as error:
        return MALFORMED_USAGE.because(f"at byte {offset} of {len(data)}: {error}")
    return sections, int.from_bytes(data[:2], "little") / 10


def _code(rate: float) -> int:
    if rate <= 0:
        return 0
    return max(1, min(255, round(math.log(rate) * _STEPS) + _OFFSET))


def _rate(code: int) -> float:
    return math.exp((code - _OFFSET) / _STEPS) if code else 0.0
