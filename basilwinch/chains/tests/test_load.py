"""Load of servers."""

import pytest

from basilwinch.chains import FleetLoad, Member
from basilwinch.chains.load import Share
from basilwinch.peers.codec import decode_report, encode_report


class Clock:
    """A clock that tests move."""

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


def test_server_forgotten_under_a_request_leaves_no_negative_load(load):
    """A crashed server's entry went while a request ran; its end then counted below zero, and the
    report to the other nodes could not be encoded, which ended the process."""
    members = [Member("s1", 0, 40)]
    load.add(members, 100)
    load.forget(known={})
    load.remove(members, 100)
    assert load.at("s1").requests == 0
    assert decode_report(encode_report("n1", 1, load.own))[2]["s1"].requests == 0


def test_forget_drops_servers_without_requests(load):
    members = [Member("s1", 0, 40)]
    load.add(members, 100)
    load.remove(members, 100)
    load.forget(known={})
    assert not load.own


def test_reports_of_other_nodes_count_until_they_are_old(load, clock):
    load.take_report("n2", {"s1": Share(3, 300)})
    assert load.at("s1").requests == 3
    clock.now += 2.0
    assert load.at("s1").requests == 0


def test_suspicion_doubles_and_ends(load, clock):
    load.suspect("s1", "test")
    clock.now += 1.1
    assert not load.is_suspect("s1")
    load.suspect("s1", "test")
    clock.now += 1.1
    assert load.is_suspect("s1")
