"""Tests that nodes of the version in production and of this one understand each other.

``production/`` holds what that version wrote: its schema, a report and suspects. The rule for
changes is in docs/compatibility.md.
"""

import json
import pathlib
import zlib

import capnp
import pytest

from basilwinch.chains.layout import ChainMember
from basilwinch.chains.load import NodeReport, RequestLoad, ZoneLoad
from basilwinch.chains.record import decode_layout
from basilwinch.chains.server_limits import ServerUsage
from basilwinch.observability import DecisionLog
from basilwinch.peers import decode_report, encode_report
from basilwinch.peers.packing import unpack
from basilwinch.peers.registration import (
    Registration,
    decode_registration,
    encode_registration,
)
from basilwinch.suspicion import SuspectConfig, SuspectRegistry, digest_part
from basilwinch.tunnel.handshake import TunnelRequest, decode_request, encode_request

_PRODUCTION = pathlib.Path(__file__).with_name("production")
_USAGE = (0.5, {3: ServerUsage(8.0, 1.5, 2.0, 3.0)})


@pytest.fixture
def production_schema():
    """Return the generated schema of the version in production."""
    # A parser of its own, since both schemas have the same id.
    return capnp.SchemaParser().load(str(_PRODUCTION / "schema.capnp"))


@pytest.fixture
def registry():
    config = SuspectConfig("n2", progress_frames=2, weak_strikes=False, event_s=0.25)
    return SuspectRegistry(config, DecisionLog.for_benchmark())


def test_report_of_production_is_read_as_it_was_meant():
    """Guards against a field that is read in another meaning than it was written."""
    data = (_PRODUCTION / "report.bin").read_bytes()
    node, sequence, report, suspects, usage, version, is_asking = decode_report(data)
    assert (node, sequence, suspects, version, is_asking) == ("n1", 7, b"x", 12, True)
    shares = {server: (load.requests, load.token_layers) for server, load in report.shares.items()}
    assert shares == {5: (2, 800), 6: (1, 40)}
    assert (report.avoided, report.disconnected) == ({9: 0.5}, True)
    assert usage[0] == _USAGE[0]
    assert usage[1] == _USAGE[1]
    assert not report.is_gathered
    assert not report.zone_loads


def test_production_reads_a_report_as_it_was_meant(production_schema):
    """Guards against a number of a field that is used again for something else."""
    zone_loads = {"a": ZoneLoad({5: RequestLoad(9, 9)}, 1.0)}
    report = NodeReport({5: RequestLoad(2, 800)}, {9: 0.5}, True, True, zone_loads)
    data = encode_report("n1", 7, report, b"x", _USAGE, 12, True)
    with production_schema.LoadReport.from_bytes(unpack(data)) as message:
        assert (message.node, message.sequence, message.suspects) == ("n1", 7, b"x")
        shares = [(row.server, row.requests, row.tokenLayers) for row in message.shares]
        assert shares == [(5, 2, 800)]
        assert [(row.server, row.forMs) for row in message.avoided] == [(9, 500)]
        assert (message.version, message.asking, message.disconnected) == (12, True, True)
        limited = [(row.server, row.limitPerS, row.ageMs) for row in message.limited]
        assert (message.usageMs, limited) == (500, [(3, 8.0, 1500)])


def test_registration_of_production_names_no_reader():
    """Guards against questions that a node of that version refuses, and load that it never sees."""
    registration = decode_registration(b'{"ip": "10.0.0.1", "zone": "z0"}')
    assert registration == Registration("10.0.0.1", "z0", False)


def test_registration_of_a_newer_version_is_kept():
    """Guards against a node that is unknown to others because it says more of itself."""
    registration = decode_registration(b'{"ip": "10.0.0.1", "zone": "z0", "reads": 2, "new": []}')
    assert registration == Registration("10.0.0.1", "z0", False)


def test_production_reads_a_registration():
    """Guards against a record without a field that nodes of that version need."""
    fields = json.loads(encode_registration("10.0.0.1", "z0"))
    assert (fields["ip"], fields["zone"]) == ("10.0.0.1", "z0")


def test_suspects_of_production_are_known(registry):
    """Guards against a request that crashes servers and is refused by the nodes of one version
    only."""
    registry.merge_bytes((_PRODUCTION / "suspects.bin").read_bytes(), 10.1)
    assert not registry.assess("r9", (digest_part("bad"),), 10.2)


def test_suspects_of_a_newer_version_are_known(registry):
    """Guards against suspects that are all lost because a newer version adds a value."""
    rows = json.loads(zlib.decompress((_PRODUCTION / "suspects.bin").read_bytes()))
    for row in rows:
        row.append("added later")
        row[1] = [[*strike, "added later"] for strike in row[1]]
    registry.merge_bytes(zlib.compress(json.dumps(rows).encode()), 10.1)
    assert not registry.assess("r9", (digest_part("bad"),), 10.2)


def test_layouts_of_production_and_of_a_newer_version_are_kept():
    """Guards against a layout controller that plans all chains anew because it cannot read the
    layout of another version."""
    expected = [[ChainMember("s1", 0, 4), ChainMember("s2", 4, 8)]]
    assert decode_layout(b'[[["s1", 0, 4], ["s2", 4, 8]]]') == expected
    assert decode_layout(b'[[["s1", 0, 4, 1], ["s2", 4, 8, {"x": 2}]]]') == expected


def test_tunnels_of_production_are_opened():
    """Guards against an origin and a carrier of different versions that cannot connect."""
    line = b"TUNNEL/1 i-7f 10.0.0.9:8080\n"
    assert decode_request(line) == TunnelRequest("i-7f", "10.0.0.9", 8080)
    assert encode_request(TunnelRequest("i-7f", "10.0.0.9", 8080)) == line
