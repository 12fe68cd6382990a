"""Tests of the load of servers."""

import pytest

from basilwinch.chains import ChainMember, FleetLoad
from basilwinch.chains.load import NodeReport, RequestLoad, hash_server_id
from basilwinch.peers.codec import decode_report, encode_report
from basilwinch.tunnel import Reachability


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def load(clock):
    return FleetLoad(clock)


def test_server_removed_during_a_request_leaves_no_negative_load(load):
    """Guards against a negative count when a request ends after its server's entry was removed. The
    report could then not be encoded, which ended the process."""
    members = [ChainMember("s1", 0, 40)]
    load.add(members, 100)
    load.prune(known={})
    load.remove(members, 100)
    assert load.get_load("s1").requests == 0
    assert not decode_report(encode_report("n1", 1, load.build_report(10)))[2].shares


def test_prune_drops_servers_without_requests(load):
    members = [ChainMember("s1", 0, 40)]
    load.add(members, 100)
    load.remove(members, 100)
    load.prune(known={})
    assert not load.own


def test_reports_of_other_nodes_count_until_they_are_old(load, clock):
    load.apply_report("n2", NodeReport({hash_server_id("s1"): RequestLoad(3, 300)}, {}))
    assert load.get_load("s1").requests == 3
    clock.now += 2.0
    assert load.get_load("s1").requests == 0


def test_suspicion_doubles_and_ends(load, clock):
    load.suspect("s1", "test")
    clock.now += 1.1
    assert not load.is_suspect("s1")
    load.suspect("s1", "test")
    clock.now += 1.1
    assert load.is_suspect("s1")


def _create_loads(clock, count):
    return [FleetLoad(clock) for _ in range(count)]


def _send_report(loads, sender, servers=80):
    report = decode_report(encode_report("n", 1, loads[sender].build_report(servers)))[2]
    for number, load in enumerate(loads):
        if number != sender:
            load.apply_report(f"n{sender}", report)


def test_dead_server_costs_a_large_fleet_few_requests(clock):
    """Guards against each of 68 nodes losing several requests to the same dead member."""
    loads = _create_loads(clock, 68)
    lost = 0
    for number in range(340):
        load = loads[number % 68]
        if not load.is_suspect("dead"):
            lost += 1
            load.suspect("dead", "no answer")
            _send_report(loads, number % 68)
        clock.now += 0.01
    assert lost <= 12
    assert all(load.is_suspect("dead") for load in loads)


def test_server_is_avoided_only_while_two_nodes_report_it(clock):
    loads = _create_loads(clock, 3)
    loads[0].suspect("s1", "test")
    _send_report(loads, 0)
    _send_report(loads, 0)
    assert not loads[2].is_suspect("s1")
    clock.now += 0.5
    loads[1].suspect("s1", "test")
    _send_report(loads, 1)
    assert loads[2].is_suspect("s1")
    clock.now += 0.6
    assert not loads[2].is_suspect("s1")
    loads[2].prune(known={"s1"})
    clock.now += 4.0
    loads[2].prune(known={"s1"})
    assert not loads[2]._remote_avoided_until


def test_node_cut_off_from_many_servers_reports_none_of_them(clock):
    loads = _create_loads(clock, 4)
    for cut in (0, 1):
        for server in range(30):
            loads[cut].suspect(f"s{server}", "connection refused")
        _send_report(loads, cut)
    assert not any(loads[2].is_suspect(f"s{server}") for server in range(30))


def test_new_suspicion_triggers_a_report_at_once(clock):
    load = FleetLoad(clock)
    calls = []
    load.on_suspect = lambda: calls.append(clock.now)
    load.suspect("s1", "test")
    load.suspect("s1", "test")
    assert calls == [100.0]


def test_report_of_a_node_takes_few_bytes():
    """Guards against reports with full server ids, 65 MB in a minute with little load."""
    load = FleetLoad(lambda: 0.0)
    for number in range(30):
        load.add([ChainMember(f"i-{number:010x}", 0, 9)], 1000)
    assert len(encode_report("edge-cluj-manastur-18", 1, load.build_report(90))) < 500


def test_node_whose_links_may_be_at_fault_reports_no_server_as_avoided(clock):
    """Guards against sound servers that all nodes avoid because one zone lost its links."""
    links = Reachability()
    load = FleetLoad(clock, links)
    load.suspect("s1", "test")
    links.record_failure(clock.now)
    assert load.build_report(10).avoided == {}
    links.record_answer(clock.now + 0.01, clock.now + 0.02)
    assert hash_server_id("s1") in load.build_report(10).avoided


def test_node_takes_back_that_it_avoids_a_server(load):
    """Guards against servers that stay avoided after their accusers found themselves at fault."""
    for node in ("n2", "n3"):
        load.apply_report(node, NodeReport({}, {hash_server_id("s1"): 4.0}))
    assert load.is_suspect("s1")
    load.apply_report("n2", NodeReport({}, {}, disconnected=True))
    assert not load.is_suspect("s1")


def test_loss_of_links_is_reported(clock):
    """Guards against tunnels through a node that has lost its links, too."""
    links = Reachability()
    links.is_disconnected = True
    data = encode_report("n1", 1, FleetLoad(clock, links).build_report(10))
    assert decode_report(data)[2].disconnected
    assert not decode_report(encode_report("n1", 1, NodeReport({}, {})))[2].disconnected
