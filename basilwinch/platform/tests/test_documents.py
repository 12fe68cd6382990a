"""Tests of documents in the store that another writer has put there."""

import itertools
import json
import math

import pytest
import trio

from basilwinch.chains.record import decode_layout
from basilwinch.chains.zone_link import compute_crossing_limit
from basilwinch.exception import Failure
from basilwinch.peers.registration import decode_registration, encode_registration
from basilwinch.platform import decode_configuration, decode_server
from basilwinch.platform.tests.site import make_configuration
from basilwinch.standin.malformed import UNREADABLE, list_malformed
from basilwinch.view import Configuration

ENTRY = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "z0",
    "slots": 6,
    "state": "ready",
    "kind": "card",
    "layers": {"from": 0, "to": 4, "version": 1},
    "born": 1,
    "sequence": 4,
}
UNREADABLE_ENTRIES = {
    "nested": b"[" * 2000,
    "infinite": json.dumps(ENTRY | {"layers": {"from": 0, "to": math.inf}}).encode(),
    "huge": json.dumps(ENTRY | {"slots": 10**400}).encode(),
    "port": json.dumps(ENTRY | {"address": "127.0.0.1:80800"}).encode(),
}


@pytest.mark.parametrize("value", UNREADABLE_ENTRIES.values(), ids=UNREADABLE_ENTRIES)
def test_unreadable_server_entry_ends_no_node(run_with, value):
    """Guards against a node that ends, again at each start, because of one entry in the store."""

    async def test(site):
        site.platform.put("servers/odd", value)
        for name in (b"a", b"b", b"c"):
            await trio.sleep(0.3)
            assert (await site.call(b"GET", b"/safe/a", name))[0] == 200
        assert "odd" not in site.node.view.servers
        # Every server is probed, one by one, until none is left that could end the node.
        for _ in range(20):
            await site.node._monitor.probe()

    run_with(test)


def test_server_entry_is_refused_or_within_range():
    """Guards against an entry whose values later code can't use."""
    assert decode_server("servers/i-1", json.dumps(ENTRY).encode()).layers == (0, 4)
    for value in list_malformed(ENTRY):
        entry = decode_server("servers/i-1", value)
        if entry is None:
            continue
        assert 0 < entry.port < 65536 and entry.host == "127.0.0.1"
        assert 0 <= entry.slots < 1 << 32 and 0 <= entry.born_ms < 1 << 53
        assert entry.layers is None or 0 <= entry.layers[0] < entry.layers[1] <= 1 << 16
        for text in (entry.service, entry.zone, entry.kind):
            assert len(text.encode()) <= 1 << 15


@pytest.mark.parametrize("server_id", ["", "a b", "a\r\nX-Tenant: b", "\ud800", "\u00e9"])
def test_server_id_that_no_header_can_hold_is_refused(server_id):
    """Guards against an id that changes the header of a request, or can't be encoded."""
    assert decode_server(f"servers/{server_id}", json.dumps(ENTRY).encode()) is None


@pytest.mark.parametrize(
    "address",
    ["", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1"]
    + ["10.0.0.1:8_0", "10.0.0.1:+80", "a.example:80", "[::1]:80", "10.0.0.256:80", "10.1:80"],
)
def test_server_address_that_is_no_ip_and_port_is_refused(address):
    """Guards against an address that can't be connected to, or is looked up by name."""
    assert decode_server("servers/i", json.dumps(ENTRY | {"address": address}).encode()) is None


def test_configuration_is_refused_or_usable():
    """Guards against a configuration that ends every node, or fails once a request needs it."""
    document = make_configuration()
    split = [{"service": "plain", "weight": 90}, {"service": "llm", "weight": 10}]
    document["routes"] = [document["routes"][0] | {"traffic-split": split}]
    document["services"][1]["engine"] |= {"pipe-mbps": 26000.0, "act-bytes": 45900.0}
    document["services"][1]["engine"] |= {"usual": {"prompt": 760, "answer": 200}}
    document["limits"] = {"max-body-bytes": 4096, "idle-timeout-ms": 1000}
    assert decode_configuration(json.dumps(document).encode()).version == 3
    for value in list_malformed(document):
        configuration = decode_configuration(value)
        assert configuration is None or _is_usable(configuration)


def _is_usable(configuration: Configuration) -> bool:
    """Return whether the figures of a configuration are finite, and those divided by above 0."""
    engines = [s.engine for s in configuration.services.values() if s.engine is not None]
    positive = [e.step_ms for e in engines] + [e.prefill_tokens_per_ms for e in engines]
    positive += [e.mean_request_tokens for e in engines]
    positive += [e.layers for e in engines] + [e.layer_mb for e in engines]
    positive += [sum(weight for _, weight in r.targets) for r in configuration.routes]
    others = [route.timeout_s for route in configuration.routes]
    others += [e.token_transfer_s for e in engines] + [e.load_s for e in engines]
    others += [configuration.limits.body_bytes, configuration.limits.idle_s]
    limits = [compute_crossing_limit(engine) for engine in engines]
    assert all(limit is None or limit >= 0 for limit in limits)
    return all(0 < value < 1e18 for value in positive) and all(0 <= v < 1e18 for v in others)


def test_configuration_that_cannot_be_read_leaves_the_older_one_in_force(run_with):
    """Guards against a node that stops serving, or ends, because of one bad configuration."""

    async def test(site):
        for value in (b"[" * 100_000, b'{"version": 1e999}', b'{"version": 9, "routes": 1}'):
            site.platform.put("op/config", value)
            await trio.sleep(0.4)
            assert site.node.view.version == 3
            assert (await site.call(b"GET", b"/safe/a", b"a"))[0] == 200
        changed = make_configuration() | {"version": 10, "tenants": None}
        site.platform.put("op/config", json.dumps(changed).encode())
        await site.wait_until(lambda: site.node.view.version == 10)

    run_with(test)


NODE_KEYS = [
    "basilwinch/nodes/odd",
    "basilwinch/layout/llm",
    "basilwinch/convictions/odd",
    "basilwinch/lease/layout/holder",
    "basilwinch/unknown",
]


@pytest.mark.parametrize("key", NODE_KEYS)
def test_unreadable_record_of_another_node_ends_no_node(run_with, key):
    """Guards against a node that ends because of a registration, layout or conviction."""

    async def test(site):
        values = (*UNREADABLE, b"null", b"[]", b"[[]]", b"[[[1e999, 0, 1]]]", b'{"ttl_s": 1e999}')
        values += (b'{"ip": "no.address", "zone": "z0"}', b'{"ip": "\\u0000"}', b'{"ip": []}')
        for value in values:
            site.platform.put(key, value)
        await trio.sleep(1.0)
        for name in (b"a", b"b", b"c"):
            header = [(b"X-Token-Count", b"50,18")]
            assert (await site.call(b"POST", b"/s/a", name, headers=header))[0] == 200

    run_with(test)


def test_registration_is_refused_or_within_range():
    """Guards against a node to which no datagram can be sent."""
    document = json.loads(encode_registration("10.0.0.1", "z0"))
    for value in list_malformed(document):
        registration = decode_registration(value)
        if not isinstance(registration, Failure):
            assert registration.ip == "10.0.0.1" and len(registration.zone.encode()) <= 1 << 15


def test_layout_is_refused_or_within_range():
    """Guards against chains that later code can't use."""
    document = [[["s1", 0, 4], ["s2", 4, 8]], [["s3", 0, 8]]]
    for value in list_malformed(document):
        chains = decode_layout(value)
        if isinstance(chains, Failure):
            continue
        assert all(chains)
        for member in itertools.chain(*chains):
            assert isinstance(member.server, str) and 0 <= member.first < member.end <= 4096
