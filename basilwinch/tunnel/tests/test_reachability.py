"""Tests of the decision whether a node has lost its links to all servers."""

import pytest

from basilwinch.tunnel.reachability import PROBE_TIMEOUT_S, ProbeRound, Reachability


@pytest.fixture
def links():
    """Links on which a server has answered at 0 s."""
    links = Reachability()
    links.record_answer(0.0, 0.0)
    return links


def run_rounds(links, start, end, answered=0, asked=3):
    """Run the rounds that are due in a period; return the time at which the state changed."""
    now = start
    while (now := max(now, links.compute_round_due())) < end:
        is_full = links.count_probes() == 3
        now += PROBE_TIMEOUT_S if not answered else 0.002
        if not answered:
            links.record_failure(now)
        if links.record_round(ProbeRound(answered, asked, 0.3, is_full), now):
            return now
    return None


def test_node_whose_connections_are_refused_is_disconnected_at_once(links):
    """Guards against callers that fail for seconds on a node without links."""
    links.record_failure(5.0)
    for now in (5.002, 5.104):
        assert links.compute_round_due() <= now
        changed = links.record_round(ProbeRound(0, 3, 0.002), now)
    assert changed
    assert links.is_disconnected


def test_node_whose_connections_hang_is_disconnected_within_two_seconds(links):
    """Guards against a node that waits for an error that never comes."""
    links.record_answer(1.0, 1.0)
    assert run_rounds(links, 1.0, 3.0) <= 3.0


def test_connection_that_lives_on_does_not_hide_that_new_ones_are_refused(links):
    """Guards against a node that takes old connections for links to servers."""
    for number in range(20):
        now = 5.0 + number / 10
        links.record_answer(None, now)
        links.record_failure(now)
        if now >= links.compute_round_due():
            links.record_round(ProbeRound(0, 3, 0.002), now)
    assert links.is_disconnected


def test_loss_of_one_server_or_zone_leaves_the_node_connected(links):
    """Guards against a detour because some servers have crashed."""
    links.record_failure(5.0)
    assert links.is_in_doubt()
    assert not links.record_round(ProbeRound(1, 3, 0.3), 5.3)
    assert not links.is_in_doubt()
    links.record_failure(5.4)
    assert not links.record_round(ProbeRound(0, 3, 0.3), 5.7)
    links.record_answer(5.75, 5.76)
    links.record_failure(5.8)
    assert not links.record_round(ProbeRound(0, 3, 0.3), 6.1)


def test_answer_on_a_connection_from_before_the_failure_leaves_the_doubt(links):
    """Guards against crashes that are blamed on requests when the links were lost."""
    links.record_failure(5.0)
    links.record_answer(4.9, 5.1)
    assert links.is_in_doubt()
    assert not links.has_answered_since(5.0)


def test_round_that_was_held_up_by_a_freeze_does_not_count(links):
    """Guards against a node that was frozen and takes its own time-outs for lost links."""
    links.record_failure(5.0)
    for now in (9.0, 13.0, 17.0):
        assert not links.record_round(ProbeRound(0, 3, 4.0), now)
    assert not links.is_disconnected


def test_node_without_servers_at_its_start_is_connected(links):
    """Guards against a node that is disconnected before it has read the servers."""
    links = Reachability()
    for number in range(10):
        assert not links.record_round(ProbeRound(0, 0, 0.0), number / 10)
    assert links.compute_round_due() > 0.9


def test_idle_node_asks_one_server_a_second_and_busy_one_none(links):
    """Guards against probes that each server of a large fleet gets from each node."""
    assert links.count_probes() == 1
    assert links.compute_round_due() >= 0.8
    links.record_answer(None, 5.0)
    assert links.compute_round_due() >= 5.8


def test_links_that_return_are_used_after_two_good_rounds(links):
    """Guards against a node that goes back and forth while its links come and go."""
    links.record_failure(5.0)
    links.record_round(ProbeRound(0, 3, 0.0), 5.0)
    links.record_round(ProbeRound(0, 3, 0.0), 5.2)
    assert links.is_disconnected
    assert not links.record_round(ProbeRound(3, 3, 0.0), 6.0)
    assert not links.record_round(ProbeRound(1, 3, 0.3), 6.5)
    assert not links.record_round(ProbeRound(3, 3, 0.0), 7.0)
    assert links.record_round(ProbeRound(2, 3, 0.0), 7.5)
    assert not links.is_disconnected


@pytest.mark.parametrize(("nodes", "probes_per_s"), [(6, 8), (48, 61), (195, 100), (490, 246)])
def test_idle_nodes_of_a_large_fleet_probe_less_often(nodes, probes_per_s):
    """Guards against probes that cost a large fleet more than its requests do: 2.6 for each request
    on a calm day of 195 nodes. A failure still leads to a round at once."""
    links = Reachability()
    links.set_nodes(nodes)
    now = 0.0
    links.record_answer(now, now)
    due = links.compute_round_due()
    assert nodes / (due - now) <= probes_per_s
    links.record_failure(now + 0.1)
    assert links.compute_round_due() <= now + 0.2
