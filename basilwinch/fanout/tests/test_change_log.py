"""Tests of the changes that a reader keeps."""

import hypothesis
import pytest
from hypothesis import strategies as st

from basilwinch.fanout.change_log import _MAX_ANSWER_BYTES, _MAX_LOG_BYTES, ChangeLog
from basilwinch.fanout.message import decode_answer, decode_request
from basilwinch.store import WatchEvent

_HALF = b"x" * (_MAX_ANSWER_BYTES // 2)


@pytest.fixture
def log():
    return ChangeLog()


@hypothesis.given(
    steps=st.lists(st.tuples(st.integers(1, 3), st.integers(1, 3)), max_size=30),
    start=st.integers(0, 40),
)
def test_changes_after_a_revision_have_no_gaps(steps, start):
    """Guards against a node that misses a change of those that it asked for."""
    log, events, revision = ChangeLog(), [], 0
    for gap, count in steps:
        after, revision = revision, revision + gap
        batch = [WatchEvent(f"k{n}", _HALF[:9000], revision) for n in range(count)]
        events += batch
        log.extend(after, batch)
    position, received = start, []
    while found := log.list_after(position):
        received += found
        position = found[-1].mod_revision
    if log.list_after(start) is not None:
        assert received == [event for event in events if event.mod_revision > start]


def test_answers_are_bounded_and_end_with_a_whole_revision(log):
    """Guards against a slow link of a reader that one answer occupies for seconds, and against a
    transaction that reaches a node in part."""
    log.extend(1, [WatchEvent("a", _HALF[:100], 2)])
    log.extend(2, [WatchEvent("b", _HALF, 3), WatchEvent("c", _HALF, 3)])
    assert [event.key for event in log.list_after(1)] == ["a"]
    assert log.list_after(2) is None


def test_log_is_bounded_and_tells_what_it_has_dropped(log):
    """Guards against memory that grows with the changes of a day."""
    for revision in range(2, 200):
        log.extend(revision - 1, [WatchEvent("a", _HALF, revision)])
    assert log._bytes <= _MAX_LOG_BYTES
    assert log.list_after(1) is None
    assert log.list_after(198)


def test_log_begins_again_after_a_gap(log):
    """Guards against answers that leave out what this node read in another way."""
    log.extend(1, [WatchEvent("a", b"1", 2)])
    log.extend(9, [WatchEvent("b", b"1", 10)])
    assert log.list_after(2) is None
    assert [event.key for event in log.list_after(9)] == ["b"]


@hypothesis.given(st.binary(max_size=200))
def test_damaged_messages_are_refused(data):
    """Guards against a node that ends on what another one sends."""
    decode_answer(data)
    decode_request(data)
