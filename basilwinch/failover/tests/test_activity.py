"""Tests of the record of silent chains."""

import pytest

from basilwinch.failover import ChainActivity


@pytest.fixture
def activity():
    return ChainActivity()


def test_only_chains_without_a_recent_event_count_as_silent(activity):
    """Guards against a single silent chain that looks like a node that receives nothing."""
    for head_id in ("a", "b", "c"):
        activity.begin(head_id)
        activity.record(head_id, 10.0)
    activity.record("a", 10.75)
    activity.record("b", 11.0)
    assert activity.count_silent(11.5, 0.75) == (2, 3)
    assert activity.count_silent(11.5, 0.5) == (3, 3)
    assert activity.count_silent(11.5, 2.0) == (0, 3)


def test_new_stream_does_not_hide_the_silence_of_its_chain(activity):
    """Guards against a silent chain that counts as active because requests are still sent to it."""
    activity.begin("a")
    activity.record("a", 10.5)
    activity.begin("a")
    assert activity.count_silent(11.5, 1.0) == (1, 1)


def test_chain_counts_from_its_first_event(activity):
    """Guards against a chain that reads a long prompt and is taken for a silent one, so that a node
    with another silent chain seems to receive nothing."""
    activity.begin("a")
    assert activity.count_silent(20.0, 1.0) == (0, 0)
    activity.record("a", 20.0)
    assert activity.count_silent(20.5, 1.0) == (0, 1)
    assert activity.count_silent(21.0, 1.0) == (1, 1)


def test_chain_is_forgotten_with_its_last_stream(activity):
    """Guards against growing state, and against chains counted as silent because they are idle."""
    activity.begin("a")
    activity.begin("a")
    activity.record("a", 10.0)
    activity.end("a")
    assert activity.count_silent(12.0, 1.0) == (1, 1)
    activity.end("a")
    assert activity.count_silent(12.0, 1.0) == (0, 0)
    activity.begin("a")
    assert activity.count_silent(12.5, 1.0) == (0, 0)


def test_late_event_of_an_ended_stream_adds_no_chain(activity):
    """Guards against state that no end of a stream removes."""
    activity.begin("a")
    activity.end("a")
    activity.record("a", 10.5)
    assert activity.count_silent(12.0, 1.0) == (0, 0)
