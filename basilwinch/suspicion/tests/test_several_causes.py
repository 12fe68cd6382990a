"""Tests of the attribution of crashes when several requests crash servers at the same time."""

import pytest

from basilwinch.exception import Failure


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
