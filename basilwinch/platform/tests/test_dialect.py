"""Tests of the decoding of header fields."""

import math

import pytest

from basilwinch.platform import Dialect


@pytest.mark.parametrize(
    ("prefix", "shared_parts"),
    [
        (b"", ()),
        (b"5c1e07a2:800", ()),
        (b"5c1e07a2:800, 91bd3f06:410 ,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (b"A:1,0a:1,b:1", ("a",)),
        (b"5c1e07a2:-1,b:1", ()),
        (b"5c1e07a2:nan,b:1", ()),
        (b"5c1e07a2,b:1", ()),
        (b":1,b:1", ()),
        (b"g:1,b:1", ()),
        (b"a:1,,b:1", ()),
        (b"a:9999999999,b:1", ()),
        (b"\xb2:1,b:1", ()),
        (b"a" * 65 + b":1,b:1", ()),
        (b",".join(b"%x:1" % number for number in range(200)), ()),
    ],
)
def test_shared_parts_are_read_only_from_a_well_formed_prefix(prefix, shared_parts):
    """Guards against untrusted text in the state that nodes keep and exchange per part."""
    assert Dialect().read_request({b"x-prompt-prefix": prefix}).shared_parts == shared_parts


@pytest.mark.parametrize(
    ("text", "limit"),
    [
        (None, math.inf),
        (b"8.25", 8.25),
        (b" 12 ", 12.0),
        (b"0", 0.0),
        (b"0.000", 0.0),
        (b"999999999999", math.inf),
        (b"1" * 400, None),
        (b"", None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e3", None),
        (b"1.", None),
        (b".5", None),
        (b"8,25", None),
        (b"\xb2", None),
        (b"8.25, 8.25", None),
    ],
)
def test_server_limit_is_read_only_from_a_decimal_number(text, limit):
    """Guards against untrusted text that stops a server's requests, or the node."""
    headers = {} if text is None else {b"server-limit": text}
    assert Dialect().read_server_limit(headers) == limit
