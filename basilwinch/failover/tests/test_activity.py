"""Tests of the record of silent chains."""

import pytest

from basilwinch.failover import ChainActivity


@pytest.fixture
def activity():
    return ChainActivity()


def test_only_chains_without_a_recent_event_count_as_silent(activity):
    """Guards against a single silent chain that looks like a node that receives nothing."""
    for head_id in ("a", "b", "c"):
        activity.begin(head_id, 10.0)
    activity.record("a", 10.75)
    activity.record("b", 11.0)
    assert activity.count_silent(11.5, 0.75) == (2, 3)
    assert activity.count_silent(11.5, 0.5) == (3, 3)
    assert activity.count_silent(11.5, 2.0) == (0, 3)


def test_new_stream_does_not_hide_the_silence_of_its_chain(activity):
    """Guards against a silent chain that counts as active because requests are still sent to it."""
    activity.begin("a", 10.0)
    activity.record("a", 10.5)
    activity.begin("a", 11.5)
    assert activity.count_silent(11.5, 1.0) == (1, 1)


def test_new_chain_is_not_silent_before_it_had_time_to_send(activity):
    """Guards against chains that count as silent before their first event can arrive."""
    activity.begin("a", 10.0)
    assert activity.count_silent(10.5, 1.0) == (0, 1)
    assert activity.count_silent(11.0, 1.0) == (1, 1)


def test_chain_is_forgotten_with_its_last_stream(activity):
    """Guards against growing state, and against chains counted as silent because they are idle."""
    activity.begin("a", 10.0)
    activity.begin("a", 10.0)
    activity.end("a")
    assert activity.count_silent(12.0, 1.0) == (1, 1)
    activity.end("a")
    assert activity.count_silent(12.0, 1.0) == (0, 0)
    activity.begin("a", 12.0)
    assert activity.count_silent(12.5, 1.0) == (0, 1)


def test_late_event_of_an_ended_stream_adds_no_chain(activity):
    """Guards against state that no end of a stream removes."""
    activity.begin("a", 10.0)
    activity.end("a")
    activity.record("a", 10.5)
    assert activity.count_silent(12.0, 1.0) == (0, 0)


def test_newest_event_of_any_chain_is_known(activity):
    """Guards against the pause of a whole node that looks like the silence of one chain."""
    assert activity.last_event_at is None
    activity.begin("a", 10.0)
    activity.begin("b", 10.0)
    assert activity.last_event_at is None
    activity.record("a", 10.25)
    activity.record("b", 10.5)
    activity.end("b")
    assert activity.last_event_at == 10.5
