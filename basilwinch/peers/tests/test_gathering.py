"""Tests of reports in a large fleet, which choose chains by the load of all nodes.

Pattern: many nodes choose at the same time by what they know of each other's load. The fleet runs
without a network; each report passes through the codec.
"""

import pytest

from basilwinch.chains.layout import ChainMember
from basilwinch.chains.load import FleetLoad, NodeReport, RequestLoad, ZoneLoad
from basilwinch.fanout import Readers
from basilwinch.peers import decode_report, encode_report
from basilwinch.peers.codec import _unpack_shares
from basilwinch.peers.gathering import Gathering

_STEP_S = 0.1
_TOKENS = 800
_CHAIN = [ChainMember("s1", 0, 8)]
_REQUEST_TOKEN_LAYERS = _TOKENS * 8


class Node:
    """A node with what it knows of the others; ``is_dead`` ends it, ``is_old`` gathers nothing."""

    def __init__(self, number, zones, clock, is_old):
        self.name, self.zone = f"n{number}", f"z{number % zones}"
        self.readers = Readers(self.name, self.zone)
        self.load = FleetLoad(clock)
        self.gathering = Gathering(self.zone, self.readers, self.load)
        self.is_old, self.is_dead = is_old, False
        self.report_at = number * 0.013

    def build_deliveries(self, peers, now):
        report = self.load.build_report(1)
        if self.is_old or not self.gathering.is_active(peers, now):
            deliveries = self.gathering.tell_all(report, peers)
            return [(d.report, d.names) for d in deliveries], len(peers)
        deliveries = self.gathering.divide(report, peers, False, len(peers) / 60, now)
        regular = self.gathering.count_regular(peers)
        return [(delivery.report, delivery.names) for delivery in deliveries], regular


class Fleet:
    """Nodes that report to each other on a virtual clock."""

    def __init__(self, size, zones, old=()):
        self.now = 0.0
        self.nodes = {
            node.name: node
            for node in (Node(n, zones, lambda: self.now, n in old) for n in range(size))
        }
        for node in self.nodes.values():
            node.load.report_interval_s = max(0.25, (size - 1) / 60)
            for other in self.nodes.values():
                if other is not node:
                    node.readers.add(other.name, "10.0.0.1", other.zone, not other.is_old)
        self.sent = self.crossed_bytes = 0

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += _STEP_S
            for node in self.nodes.values():
                if not node.is_dead and self.now >= node.report_at:
                    self._report(node)

    def _report(self, node):
        peers = [name for name in self.nodes if name != node.name]
        deliveries, regular = node.build_deliveries(peers, self.now)
        rate = 100 if node.readers.is_reader and regular < len(peers) else 60
        node.report_at = self.now + max(0.25, regular / rate)
        for report, names in deliveries:
            data = encode_report(node.name, 1, report)
            whole = decode_report(data)[2]
            understood_by_old = NodeReport(whole.shares, whole.avoided)
            self.sent += len(names)
            for name in names:
                other = self.nodes[name]
                self.crossed_bytes += (other.zone != node.zone) * len(data)
                received = understood_by_old if other.is_old else whole
                other.load.apply_report(node.name, received)
                other.gathering.apply(node.name, received, self.now)

    def start_requests(self, count=1):
        for node in self.nodes.values():
            for _ in range(count):
                node.load.add(_CHAIN, _TOKENS)

    def read_loads(self):
        return [node.load.get_load("s1").requests for node in self.nodes.values()]


@pytest.fixture
def run_fleet():
    """Return a function that builds a fleet with one request on each node, and runs it for 8 s."""

    def build(size=195, zones=5, old=()):
        fleet = Fleet(size, zones, old)
        fleet.start_requests()
        fleet.run(8.0)
        return fleet

    return build


@pytest.mark.parametrize(("size", "zones"), [(6, 3), (80, 3), (195, 5)])
def test_each_node_knows_the_load_of_all(run_fleet, size, zones):
    """Guards against nodes whose load is counted twice, or not at all."""
    assert run_fleet(size, zones).read_loads() == [size] * size


def test_large_fleet_knows_of_new_load_within_two_seconds(run_fleet):
    """Guards against chains that all nodes fill beyond their memory while the reports that would
    show it are 3 s apart."""
    fleet = run_fleet()
    fleet.start_requests()
    fleet.run(2.0)
    assert min(fleet.read_loads()) == 2 * 195


def test_reports_do_not_grow_with_the_fleet_nor_fill_the_links_between_zones(run_fleet):
    """Guards against load reports that took a tenth of the worth of a large fleet as traffic
    between zones."""
    fleet = run_fleet()
    fleet.sent = fleet.crossed_bytes = 0
    fleet.run(10.0)
    assert fleet.sent / 195 / 10.0 < 65
    # Without gathering 60 reports a second of 60 bytes and more, four fifths to other zones.
    assert fleet.crossed_bytes / 195 / 10.0 < 100


def test_load_stays_known_when_a_gatherer_of_each_zone_ends(run_fleet):
    """Guards against a zone whose load is forgotten with one node, and then exceeded."""
    fleet = run_fleet()
    gatherers = [node for node in fleet.nodes.values() if node.readers.is_reader]
    by_zone = {node.zone: node for node in gatherers}
    for node in by_zone.values():
        node.is_dead = True
    fleet.run(6.0)
    alive = [node for node in fleet.nodes.values() if not node.is_dead]
    assert min(node.load.get_load("s1").requests for node in alive) >= len(alive)


def test_nodes_without_gatherers_report_to_all_themselves(run_fleet):
    """Guards against load that nobody gathers because both gatherers of a zone have ended."""
    fleet = run_fleet()
    for node in fleet.nodes.values():
        node.is_dead = node.readers.is_reader and node.zone == "z1"
    fleet.run(10.0)
    alive = [node for node in fleet.nodes.values() if not node.is_dead]
    assert min(node.load.get_load("s1").requests for node in alive) >= len(alive)


def test_nodes_of_an_older_version_are_counted_once(run_fleet):
    """Guards against load that is lost, or counted twice, while a fleet is upgraded."""
    fleet = run_fleet(old=range(0, 195, 2))
    assert set(fleet.read_loads()) == {195}


def test_load_of_an_unknown_zone_is_ignored(run_fleet):
    """Guards against memory that grows with what a node sends."""
    fleet = run_fleet(80, 3)
    node = fleet.nodes["n0"]
    load = node.load.gather_zone_load([])
    node.gathering.apply("n1", NodeReport({}, {}, False, True, {"elsewhere": load}), fleet.now)
    assert "elsewhere" not in node.load.list_zone_loads()


def test_load_of_a_zone_survives_the_codec_and_damage_is_refused():
    """Guards against rows that are read in another order, and against a cut row."""
    shares = {5: RequestLoad(2, 1600), 0xFFFFFFFF: RequestLoad(1 << 40, 7)}
    report = NodeReport({}, {}, False, True, {"z1": ZoneLoad(shares, 0.25)})
    data = encode_report("n1", 1, report)
    load = decode_report(data)[2].zone_loads["z1"]
    rows = {server: (share.requests, share.token_layers) for server, share in load.shares.items()}
    assert rows == {5: (2, 1600), 0xFFFFFFFF: (0xFFFFFFFF, 7)}
    assert load.age_s == 0.25
    with pytest.raises(ValueError, match="bytes"):
        _unpack_shares(b"x" * 13)
