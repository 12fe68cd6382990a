"""Tests of the choice of the node that carries a connection."""

import random
from collections import Counter

import pytest

from basilwinch.tunnel import Carriers


@pytest.fixture
def make_carriers():
    """Return a function that makes carriers of zones a, b and c, as many in each."""

    def make(nodes_in_zone):
        carriers = Carriers("a", random.Random(7))
        for number in range(3 * nodes_in_zone):
            carriers.add(f"n{number}", f"10.0.{number // 250}.{number % 250}", "abc"[number % 3])
        return carriers

    return make


def zone_of(name):
    return "abc"[int(name[1:]) % 3]


def test_carrier_is_in_the_zone_of_the_server_if_one_is_usable(make_carriers):
    """Guards against bytes that cross zones twice."""
    carriers = make_carriers(2)
    assert zone_of(carriers.choose("b", 0.0)) == "b"
    for name in ("n1", "n4"):
        carriers.set_disconnected(name, True, 0.0)
    assert zone_of(carriers.choose("b", 0.0)) == "a"
    for name in ("n0", "n3"):
        carriers.set_disconnected(name, True, 0.0)
    assert zone_of(carriers.choose("b", 0.0)) == "c"


def test_tunnels_spread_over_the_nodes_of_a_large_fleet(make_carriers):
    """Guards against carriers whose own callers starve, at 490 nodes."""
    carriers = make_carriers(163)
    chosen = Counter()
    for _ in range(1630):
        name = carriers.choose("b", 0.0)
        carriers.count_tunnel(name, 1)
        chosen[name] += 1
    assert len(chosen) > 150
    assert max(chosen.values()) <= 20


def test_carrier_that_failed_is_left_out_for_longer_each_time(make_carriers):
    """Guards against requests that each wait for a node that is frozen or gone."""
    carriers = make_carriers(1)
    carriers.avoid("n1", 0.0)
    assert carriers.choose("b", 0.9) != "n1"
    assert carriers.choose("b", 1.1) == "n1"
    carriers.avoid("n1", 1.1)
    assert carriers.choose("b", 2.9) != "n1"
    carriers.record_success("n1")
    carriers.avoid("n1", 10.0)
    assert carriers.choose("b", 11.1) == "n1"


def test_report_of_a_disconnected_node_expires(make_carriers):
    """Guards against a node that is never used again because its last report was lost."""
    carriers = make_carriers(1)
    for name in ("n0", "n1", "n2"):
        carriers.set_disconnected(name, True, 0.0)
    assert carriers.all_disconnected(0.5)
    assert carriers.choose("b", 0.5) is None
    assert not carriers.all_disconnected(3.0)
    assert carriers.choose("b", 3.0) == "n1"
    carriers.set_disconnected("n1", True, 10.0, report_interval_s=8.0)
    assert carriers.choose("b", 30.0) != "n1"
    assert carriers.choose("b", 35.0) == "n1"


def test_unknown_nodes_are_ignored(make_carriers):
    """Guards against reports and tunnels of nodes that are not registered."""
    carriers = make_carriers(1)
    carriers.set_disconnected("other", True, 0.0)
    carriers.avoid("other", 0.0)
    carriers.count_tunnel("other", 1)
    carriers.remove("n1")
    assert not carriers.has_address("10.0.0.1")
    assert carriers.choose("b", 0.0) in ("n0", "n2")
