"""Order ids and the issue time that they contain."""

import re

__all__ = ["MAX_ORDER_ID_BYTES", "is_valid_id", "read_issue_time"]

MAX_ORDER_ID_BYTES = 200

_UUID_V7 = re.compile(r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}", re.I)
_ULID = re.compile(r"[0-7][0-9A-HJKMNP-TV-Z]{25}", re.I)
_SECONDS_PREFIX = re.compile(r"(1[0-9]{9}(?:\.[0-9]{1,6})?)-.+", re.S)
_CROCKFORD_BASE32 = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"


def is_valid_id(order_id: str) -> bool:
    """Return whether an order id is printable and has 1 to ``MAX_ORDER_ID_BYTES`` bytes.

    >>> is_valid_id("o-17"), is_valid_id(""), is_valid_id("o" * 201)
    (True, False, False)
    """
    return 0 < len(order_id.encode()) <= MAX_ORDER_ID_BYTES and order_id.isprintable()


def read_issue_time(order_id: str) -> float | None:
    """Return the issue time of an id in seconds since 1970, or None if it contains none.

    Three forms contain one: UUID version 7 and ULID (milliseconds), and ``<seconds>-<anything>``.

    >>> read_issue_time("1791000000.25-order-17")
    1791000000.25
    >>> read_issue_time("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")  # example of RFC 9562
    1645557742.0
    >>> read_issue_time("01ARZ3NDEKTSV4RRFFQ69G5FAV")  # example of the ULID specification
    1469922850.259
    >>> read_issue_time("order-17") is None
    True
    """
    match = _SECONDS_PREFIX.fullmatch(order_id)
    if match:
        return float(match[1])
    if _UUID_V7.fullmatch(order_id):
        return int(order_id.replace("-", "")[:12], 16) / 1000
    if _ULID.fullmatch(order_id):
        value = 0
        for character in order_id[:10].upper():
            value = value * 32 + _CROCKFORD_BASE32.index(character)
        return value / 1000
    return None
