"""Encoding of usage reports."""

import enum
import hashlib
import math

from basilwinch.exception import MALFORMED_USAGE, Failure

__all__ = ["Direction", "assign_ids", "pack_report", "unpack_report"]

# Rates are sent as one byte on a logarithmic scale, 10% a step, from 1/600 to 10^8 per second.
_CODES_PER_E_FOLD = 10.0
_CODE_OF_UNIT_RATE = 64


class Direction(enum.IntEnum):
    """Direction of the rows of a section: to all nodes, towards the home node, or back from it."""

    DIRECT = 1
    UP = 2
    DOWN = 3


def assign_ids(names) -> dict[str, int]:
    """Return an id of three bytes for each name, the same on all nodes with the same names.

    Among 21,000 names about 13 pairs would share a three-byte digest. The later name in sorted
    order then takes the next free digest, with another salt.

    >>> sorted(assign_ids(["a", "b"])) == ["a", "b"]
    True
    """
    ids: dict[str, int] = {}
    used_ids = set()
    for name in sorted(names):
        salt = 0
        while (organisation_id := _short_digest(name, salt)) in used_ids:
            salt += 1
        used_ids.add(organisation_id)
        ids[name] = organisation_id
    return ids


def _short_digest(name: str, salt: int) -> int:
    digest = hashlib.blake2s(name.encode(), digest_size=3, salt=salt.to_bytes(8, "little"))
    return int.from_bytes(digest.digest(), "little")


def pack_report(sections, interval_s: float = 0.0) -> bytes:
    """Encode a report.

    :param interval_s: seconds over which the rates were counted, at most 6553
    :param sections: list of (direction, rows); a row is (id, four rates: granted requests and
        tokens, wanted requests and tokens)
    :returns: two bytes of tenths of a second; one byte of direction and two of length for each
        section; for each row three bytes of id, one of flags and one for each rate that is neither
        0 nor implied
    """
    parts = [min(65535, round(interval_s * 10)).to_bytes(2, "little")]
    for direction, rows in sections:
        parts.append(bytes((direction,)) + len(rows).to_bytes(2, "little"))
        for organisation_id, rates in rows:
            requests, tokens, wanted_requests, wanted_tokens = map(_encode_rate, rates)
            codes = (
                requests,
                tokens,
                # Where nothing was refused, the wanted rate equals the granted one.
                0 if wanted_requests == requests else wanted_requests,
                0 if wanted_tokens == tokens else wanted_tokens,
            )
            flags = sum(1 << bit for bit, code in enumerate(codes) if code)
            parts.append(
                organisation_id.to_bytes(3, "little") + bytes((flags, *filter(None, codes)))
            )
    return b"".join(parts)


def unpack_report(data: bytes) -> tuple[list, float] | Failure:
    """Decode a report.

    :returns: (sections, interval_s) as in :func:`pack_report`, or ``MALFORMED_USAGE``

    >>> unpack_report(pack_report([(Direction.UP, [(7, (1.0, 0.0, 1.0, 0.0))])], 4.8))
    ([(<Direction.UP: 2>, [(7, (1.0, 0.0, 1.0, 0.0))])], 4.8)
    """
    if len(data) < 2:
        return MALFORMED_USAGE.because(f"a report of {len(data)} bytes, expected at least 2")
    sections, offset = [], 2
    try:
        while offset < len(data):
            direction = Direction(data[offset])
            count = int.from_bytes(data[offset + 1 : offset + 3], "little")
            offset += 3
            rows = []
            for _ in range(count):
                organisation_id = int.from_bytes(data[offset : offset + 3], "little")
                flags = data[offset + 3]
                offset += 4
                rates = []
                for bit in range(4):
                    rates.append(_decode_rate(data[offset]) if flags >> bit & 1 else 0.0)
                    offset += flags >> bit & 1
                requests, tokens, wanted_requests, wanted_tokens = rates
                rows.append(
                    (
                        organisation_id,
                        (requests, tokens, wanted_requests or requests, wanted_tokens or tokens),
                    )
                )
            sections.append((direction, rows))
    except (IndexError, ValueError) as error:
        return MALFORMED_USAGE.because(
            f"report of {len(data)} bytes is truncated or has an unknown direction "
            f"at byte {offset}: {error}"
        )
    return sections, int.from_bytes(data[:2], "little") / 10


def _encode_rate(rate: float) -> int:
    if rate <= 0:
        return 0
    return max(1, min(255, round(math.log(rate) * _CODES_PER_E_FOLD) + _CODE_OF_UNIT_RATE))


def _decode_rate(code: int) -> float:
    return math.exp((code - _CODE_OF_UNIT_RATE) / _CODES_PER_E_FOLD) if code else 0.0
