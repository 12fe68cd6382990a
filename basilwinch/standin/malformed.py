"""Malformed documents, for tests of what reads them."""

import json

__all__ = ["UNREADABLE", "list_malformed"]

UNREADABLE = (b"", b"\xff\xfe", b"{", b"nul", b"[" * 100_000, b'{"a":' * 100_000, b"1" * 5000)
_HUGE = 10**400  # JSON sets no limit, but a float can't hold it
# Replacements for any value of a document, as JSON.
_VALUES = [
    "null",
    "true",
    "-1",
    "0",
    "0.5",
    "1e999",
    "-1e999",
    "NaN",
    "1e-300",
    str(_HUGE),
    str(-_HUGE),
    '""',
    '"x"',
    r'"\ud800"',
    '"\\u0000"',
    json.dumps("x" * 50_000),
    "[]",
    "[[]]",
    "{}",
    '[{"from": 0}]',
    "[" * 500 + "]" * 500,
]
_MARK = "\ufffd"


def list_malformed(document):
    """Yield unreadable documents, and all that differ from a document in one value.

    Each value at any depth is removed, and replaced by values of other types and ranges. Some of
    the results are valid.

    :param document: value that JSON can represent
    """
    yield from UNREADABLE
    for changed in _replace_each(document):
        text = json.dumps(changed)
        mark = json.dumps(_MARK)
        for value in _VALUES if mark in text else ():
            yield text.replace(mark, value).encode()
        if mark not in text:
            yield text.encode()


def _replace_each(value):
    """Yield copies in which one value is the mark, or one is missing."""
    yield _MARK
    if isinstance(value, dict):
        for key, part in value.items():
            yield {name: value[name] for name in value if name != key}
            for changed in _replace_each(part):
                yield value | {key: changed}
    elif isinstance(value, list):
        for index, part in enumerate(value):
            yield value[:index] + value[index + 1 :]
            for changed in _replace_each(part):
                yield [*value[:index], changed, *value[index + 1 :]]
