"""Tests of the histories of a store."""

import pytest

from basilwinch.store import Position, StoreHistory


@pytest.fixture
def history():
    history = StoreHistory(lambda: 0.0)
    history.observe(4, 0)
    return history


def test_first_era_begins_no_history(history):
    assert (history.number, history.era) == (0, 4)


def test_another_era_begins_a_history_whatever_its_number(history):
    """Guards against a store that loses its count, whose answers would be taken for late ones."""
    calls = []
    history.subscribe(lambda: calls.append(history.number))
    for number, era in enumerate((5, 3, "x", 0), 1):
        assert history.observe(era, history.number)
        assert history.number == number
    assert calls == [1, 2, 3, 4]


def test_answer_on_its_way_during_a_restore_is_not_of_the_current_history(history):
    """Guards against a late answer that would begin the earlier history again."""
    assert history.observe(5, 0)
    assert not history.observe(4, 0)
    assert (history.number, history.era) == (1, 5)


def test_missing_era_changes_nothing(history):
    assert history.observe(None, 0)
    assert (history.number, history.era) == (0, 4)


def test_positions_of_different_histories_include_none_of_each_other():
    """Guards against a view that is confirmed by a revision of another history."""
    assert not Position(1, 9).includes(Position(0, 3))
    assert not Position(0, 9).includes(Position(1, 3))
    assert Position(1, 3).includes(Position(1, 3))
