"""Tests of the decoding of load reports, which are not authenticated."""

import random
import subprocess
import sys

import pytest

from basilwinch.chains.load import NodeReport, RequestLoad
from basilwinch.exception import Failure
from basilwinch.peers.codec import decode_report, encode_report
from basilwinch.peers.packing import unpack

REPORT = encode_report("node", 7, NodeReport({5: RequestLoad(1, 800)}, {9: 0.5}), b"suspects")
# A truncated packed message, on which the reader of the library ends the process.
TRUNCATED = "010b500103010711091a11091711110f036e31110402119e01a120031104013109f401"


def test_malformed_report_does_not_end_the_process():
    """Guards against one datagram, of any sender, that ends a node."""
    code = (
        "from basilwinch.peers.codec import decode_report\n"
        f"assert not decode_report(bytes.fromhex({TRUNCATED!r}))"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


@pytest.mark.parametrize("seed", range(4))
def test_damaged_report_is_decoded_or_refused(seed):
    """Guards against datagrams on which the decoder fails in any other way."""
    rng = random.Random(seed)
    for _ in range(500):
        data = bytearray(REPORT)
        for _ in range(rng.randint(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        report = decode_report(bytes(data[: rng.randint(0, len(data))]))
        assert isinstance(report, (tuple, Failure))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x00",
        b"\xff",
        b"\x00\xff" * 30_000,
        b"\xff" + b"\xff" * 8 + b"\xff",
        REPORT.replace(b"node", b"n\xffde"),
    ],
)
def test_report_that_cannot_be_read_is_refused(data):
    """Guards against truncated or inflated messages, and names that are not UTF-8."""
    assert not decode_report(data)


def test_report_survives_packing():
    """Guards against an unpacking that differs from the packing of other nodes."""
    shares = {number: RequestLoad(number, number << 8) for number in range(200)}
    report = decode_report(
        encode_report("node", 1 << 40, NodeReport(shares, {}), bytes(range(256)))
    )
    assert report[:2] == ("node", 1 << 40)
    assert {s: load.token_layers for s, load in report[2].shares.items()} == {
        number: number << 8 for number in range(200)
    }
    assert report[3] == bytes(range(256))


def test_report_that_claims_more_rows_than_it_has_bytes_is_refused():
    """Guards against a small datagram that keeps a node busy for minutes."""
    rows = 1 << 20
    list_pointer = (1 | rows << 35).to_bytes(8, "little")  # a list of rows without any bytes
    words = [
        (8 << 32).to_bytes(8, "little"),  # one segment of eight words
        (2 << 32 | 5 << 48).to_bytes(8, "little"),  # a structure of two words and five pointers
        bytes(24),
        list_pointer,
        bytes(24),
    ]
    message = b"".join(words)
    packed = b"".join(b"\xff" + message[at : at + 8] + b"\x00" for at in range(0, len(message), 8))
    assert not decode_report(packed)


def _unpack_by_bytes(data: bytes) -> bytes | None:
    """Return the words of a packed message, taken byte by byte as the format describes it."""
    rest = list(data)
    words = bytearray()
    try:
        while rest:
            tag = rest.pop(0)
            words += bytes(rest.pop(0) if tag >> bit & 1 else 0 for bit in range(8))
            if tag == 0x00:
                words += bytes(8 * rest.pop(0))
            elif tag == 0xFF:
                words += bytes(rest.pop(0) for _ in range(8 * rest.pop(0)))
    except IndexError:
        return None
    return bytes(words)


@pytest.mark.parametrize("seed", range(4))
def test_messages_of_all_tags_are_unpacked_as_the_format_says(seed):
    """Guards against bytes at wrong places of a word, and against truncated messages."""
    rng = random.Random(seed)
    refused = 0
    for _ in range(1000):
        tags = [rng.choice((0x00, 0xFF, rng.randrange(256))) for _ in range(rng.randint(1, 12))]
        data = b""
        for tag in tags:
            data += bytes((tag, *rng.choices(range(1, 256), k=tag.bit_count())))
            if tag in (0x00, 0xFF):
                words = rng.randrange(4)
                data += bytes((words,)) + (rng.randbytes(8 * words) if tag else b"")
        data = data[: rng.choice((len(data), rng.randrange(len(data) + 1)))]
        expected = _unpack_by_bytes(data)
        if expected is None:
            refused += 1
            with pytest.raises(ValueError):
                unpack(data)
        else:
            assert unpack(data) == expected
    assert 100 < refused < 900
