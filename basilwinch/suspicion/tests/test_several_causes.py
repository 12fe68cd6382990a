"""Tests of the attribution of crashes when several requests crash servers at the same time."""

import pytest

from basilwinch.exception import Failure
from basilwinch.suspicion import digest_part

COMMON, BAD = digest_part("c0"), digest_part("bad")


def is_refused(registry, digest, now, parts=()):
    return isinstance(registry.assess(digest, parts, now), Failure)


def make_progress(registry, request, server, now, parts=()):
    registry.begin_attempt(request, request, [server], False, now, parts)
    registry.record_frame(request, request, now + 0.1, 2)
    registry.end_attempt(request, request)


@pytest.mark.parametrize("causes", [2, 3, 5])
def test_crashing_requests_that_alternate_are_refused_after_two_crashes_each(
    make_entry_registry, crash_under, exchange, causes
):
    """Guards against taking the crashes of several requests for the loss of a rack."""
    nodes = [make_entry_registry(f"n{number}") for number in range(causes)]
    now = 10.0
    for crash in range(2):
        for cause, node in enumerate(nodes):
            now += 0.11
            crash_under(node, f"r{cause}", f"s{crash}-{cause}", now)
            exchange(nodes, now + 0.02)
    for node in nodes:
        assert all(is_refused(node, f"r{cause}", now + 0.1) for cause in range(causes))


def test_request_is_refused_although_others_crash_servers_in_the_same_moment(
    make_entry_registry, crash_under, exchange
):
    """Guards against a loss of several servers that clears the strikes of an earlier crash."""
    nodes = [make_entry_registry(name) for name in ("n1", "n2", "n3", "n4")]
    crash_under(nodes[0], "cause", "s0", 9.0)
    exchange(nodes, 9.05)
    for number, node in enumerate(nodes):
        crash_under(node, f"r{number}", f"s{number + 1}", 10.0 + number / 100)
    exchange(nodes, 10.1)
    crash_under(nodes[3], "cause", "s9", 12.0)
    exchange(nodes, 12.05)
    assert all(is_refused(node, "cause", 12.1) for node in nodes)
    assert not any(is_refused(node, "r2", 12.1) for node in nodes)


def test_one_death_that_two_nodes_report_counts_once(make_entry_registry, crash_under, exchange):
    """Guards against refusing a request that was sent by two nodes to one server that died."""
    nodes = [make_entry_registry(name) for name in ("n1", "n2")]
    crash_under(nodes[0], "sound", "s1", 10.0)
    crash_under(nodes[1], "sound", "s1", 10.2)
    exchange(nodes, 10.25)
    assert not any(is_refused(node, "sound", 10.3) for node in nodes)
    crash_under(nodes[1], "sound", "s1", 14.0)
    exchange(nodes, 14.05)
    assert all(is_refused(node, "sound", 14.1) for node in nodes)


def test_servers_of_a_rack_lost_at_once_accuse_no_request(
    make_entry_registry, crash_under, exchange
):
    """Guards against refusing requests that were on the servers of a lost rack."""
    nodes = [make_entry_registry(name) for name in ("n1", "n2")]
    for number in range(6):
        crash_under(nodes[number % 2], f"r{number}", f"s{number}", 10.0 + number / 100)
    exchange(nodes, 10.1)
    exchange(nodes, 10.2)
    for node in nodes:
        assert not any(is_refused(node, f"r{number}", 10.3) for number in range(6))


def test_request_that_crashes_several_servers_does_not_convict_its_part(
    make_entry_registry, crash_under, exchange
):
    """Guards against refusing all requests with the first part of one crashing request."""
    nodes = [make_entry_registry(name) for name in ("n1", "n2", "n3")]
    for number, node in enumerate(nodes):
        crash_under(node, "cause", f"s{number}", 10.0 + number, (COMMON,))
        exchange(nodes, 10.05 + number)
    for node in nodes:
        assert is_refused(node, "cause", 13.0)
        assert node.assess("sound", (COMMON,), 13.0) is False


def test_requests_lost_beside_a_convicted_one_do_not_accuse_their_parts(make_entry_registry):
    """Guards against refusing the parts of sound requests that only shared a server."""
    registry = make_entry_registry("n1")
    for number in range(2):
        now = 10.0 + number
        for request in ("cause", f"sound{number}"):
            parts = () if request == "cause" else (COMMON,)
            registry.begin_attempt(request, request, [f"s{number}"], False, now - 0.1, parts)
        registry.report_death(f"s{number}", now)
        for request in ("cause", f"sound{number}"):
            registry.end_attempt(request, request)
    assert is_refused(registry, "cause", 11.5)
    assert registry.assess("sound2", (COMMON,), 11.5) is False


def test_conviction_of_a_part_leaves_the_strikes_of_requests(make_entry_registry, crash_under):
    """Guards against a crashing request that goes free because its part was blamed first."""
    registry = make_entry_registry("n1")
    crash_under(registry, "cause", "s1", 10.0, (COMMON,))
    crash_under(registry, "other", "s2", 15.0, (COMMON,), trial=True)
    assert is_refused(registry, "sound", 15.1, (COMMON,))
    crash_under(registry, "cause", "s3", 20.0, ())
    assert is_refused(registry, "cause", 20.1)


def test_part_is_convicted_by_different_requests_beside_a_crashing_request(
    make_entry_registry, crash_under, exchange
):
    """Guards against a crashing part that goes free while a request crashes servers, too."""
    nodes = [make_entry_registry(name) for name in ("n1", "n2")]
    crash_under(nodes[0], "cause", "s1", 10.0, (COMMON,))
    crash_under(nodes[1], "r1", "s2", 10.2, (BAD,))
    exchange(nodes, 10.25)
    crash_under(nodes[0], "cause", "s3", 10.4, (COMMON,))
    crash_under(nodes[1], "r2", "s4", 15.0, (BAD,), trial=True)
    exchange(nodes, 15.1)
    for node in nodes:
        assert is_refused(node, "cause", 15.2)
        assert is_refused(node, "r3", 15.2, (BAD,))
        assert node.assess("sound", (COMMON,), 15.2) is False


def test_lost_request_leaves_the_trial_of_its_part_to_others(make_entry_registry, crash_under):
    """Guards against a second crash that tells neither the request nor its part apart."""
    registry = make_entry_registry("n1")
    crash_under(registry, "r1", "s1", 10.0, (BAD,))
    assert is_refused(registry, "r1", 15.0, (BAD,))
    assert registry.assess("r2", (BAD,), 15.0) is True


def test_progress_clears_a_request_that_was_lost_twice(make_entry_registry, crash_under, exchange):
    """Guards against refusing a sound request that was on two servers that crashed."""
    nodes = [make_entry_registry(name) for name in ("n1", "n2")]
    crash_under(nodes[0], "sound", "s1", 10.0)
    crash_under(nodes[0], "sound", "s2", 10.3)
    exchange(nodes, 10.35)
    make_progress(nodes[0], "sound", "s3", 10.3)
    exchange(nodes, 10.5)
    assert not any(is_refused(node, "sound", 10.6) for node in nodes)


def test_strike_of_this_node_is_sent_before_those_that_others_have_seen(
    make_entry_registry, crash_under, exchange
):
    """Guards against a crash that other nodes do not hear of because the report is full."""
    nodes = [make_entry_registry(name) for name in ("n1", "n2")]
    for number in range(20):
        for crash in range(2):
            now = 10.0 + 5 * number + 2.5 * crash
            crash_under(nodes[0], f"old{number}", f"s{number}-{crash}", now, (f"part:p{number}",))
            exchange(nodes, now + 0.05)
    crash_under(nodes[1], "cause", "s98", 112.0)
    exchange(nodes, 112.05, max_entries=4)
    assert "cause" in {entry.digest for entry in nodes[0].list_entries(112.1)}
