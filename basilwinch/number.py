"""Whole numbers in header fields and events, which another party has written."""

__all__ = ["parse_digits"]

_MAX_DIGITS = 18  # fits 64 bits; the conversion of a longer number may fail


def parse_digits(text: bytes | str) -> int | None:
    """Return the number that ASCII digits stand for, or None if there is none or it is too long.

    >>> parse_digits(b"042"), parse_digits(""), parse_digits(b"-1"), parse_digits(b"9" * 400)
    (42, None, None, None)
    """
    if len(text) > _MAX_DIGITS or not text.isascii() or not text.isdigit():
        return None
    return int(text)
