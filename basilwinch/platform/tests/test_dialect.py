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


@pytest.mark.parametrize(
    ("status", "value", "seconds"),
    [
        (503, b"2", 2.0),
        (503, b" 0.25 ", 0.25),
        (503, b"0", None),
        (503, b"-1", None),
        (503, b"Sat, 05 Dec 2026 08:00:00 GMT", None),
        (503, b"", None),
        (429, b"2", None),
        (200, b"2", None),
    ],
)
def test_time_to_wait_of_a_server_is_read_from_a_503_only(status, value, seconds):
    """Guards against a server that is left out because of a field that does not say so."""
    assert Dialect().read_retry_after(status, {b"retry-after": value}) == seconds


@pytest.mark.parametrize(("value", "leaving"), [(b"1", True), (b" 1", True), (b"0", False)])
def test_server_says_that_it_is_leaving(value, leaving):
    """Guards against a server that is taken for leaving because of another value."""
    assert Dialect().is_leaving({b"server-leaving": value}) is leaving
    assert Dialect().is_leaving({}) is False


@pytest.mark.parametrize(
    ("status", "headers", "description"),
    [
        (503, {b"server-leaving": b"1"}, "server leaving"),
        (503, {b"server-leaving": b"1", b"retry-after": b"2"}, "server leaving"),
        (503, {b"server-leaving": b"0"}, "full"),
        (503, {b"retry-after": b"2"}, "back-off of 2 s"),
        (503, {b"retry-after": b"0.25", b"at-server": b"10.2.64.3:8080"}, "back-off of 0.25 s"),
        (503, {b"retry-after": b"0"}, "full"),
        (503, {b"retry-after": b"soon"}, "full"),
        (503, {b"at-server": b"10.2.64.3:8080"}, "member 10.2.64.3:8080 at fault"),
        (421, {b"at-server": b"10.2.64.3:8080"}, "member 10.2.64.3:8080 at fault"),
        (421, {b"retry-after": b"2"}, "rejected as another instance"),
        (421, {}, "rejected as another instance"),
        (503, {}, "full"),
        (429, {}, "full"),
        (400, {}, "other error"),
    ],
)
def test_kinds_of_refusals_are_told_apart(status, headers, description):
    """Guards against a log that does not tell a full server from a leaving or a faulty one."""
    headers = {b"x-not-executed": b"1"} | headers
    assert Dialect().describe_refusal(status, headers) == description


@pytest.mark.parametrize("status", [429, 503])
def test_refusal_without_a_promise_is_not_described_as_a_full_server(status):
    """Guards against a request that may have run, but is taken for a refused one in the log."""
    assert Dialect().describe_refusal(status, {}) == "not marked as not run"


@pytest.mark.parametrize("value", [b"", b"10.2.64.3", b"a b:1", b"a:1\xff", b"a" * 300 + b":1"])
def test_malformed_address_of_a_member_is_not_logged(value):
    """Guards against untrusted text of any length in the log."""
    headers = {b"x-not-executed": b"1", b"at-server": value}
    assert Dialect().describe_refusal(503, headers) == "full"
