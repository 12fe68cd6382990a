"""Sums of the intervals through which a change takes its way, against the bound."""

import pytest

from basilwinch.entry.settings import Bounds
from basilwinch.view.timing import WatchTiming

BOUNDS_S = [0.25, 0.5, 1.0, 2.0, 3.0, 4.0, 8.0, 60.0]
CALL_S = 0.02  # a call to the store on a new connection, which answers in 4 ms


@pytest.fixture(params=BOUNDS_S)
def timing(request):
    return WatchTiming.from_bounds(request.param, 3.0, 1.2)


def test_change_is_in_force_in_time_though_the_reader_is_cut_off(timing):
    """Guards against a node that trusts a reader for longer than the bound allows.

    The reader is cut off, and the change made, right after a check of the reader. Its answers are
    refused from ``max_reader_age_s`` on, and the node then asks the store, and its watch.
    """
    refused_s = timing.max_reader_age_s
    assert refused_s + 2 * CALL_S <= timing.apply_s or timing.apply_s < 0.4
    assert timing.apply_s - refused_s >= timing.apply_s / 8


def test_change_is_in_force_in_time_though_the_reader_is_dead(timing):
    """Guards against a node that waits for the answer of a dead reader beyond the bound."""
    missed_s = timing.ask_age_s + timing.answer_timeout_s
    assert missed_s <= timing.max_reader_age_s + 1e-9


def test_sound_reader_has_a_newer_proof_before_the_old_one_is_refused(timing):
    """Guards against intervals that leave out readers which are sound."""
    confirmed_s = timing.check_interval_s + timing.batch_pause_s + CALL_S
    assert confirmed_s <= timing.max_reader_age_s or timing.apply_s < 0.4
    # In quiet times one question for each proof is enough.
    assert timing.check_interval_s <= timing.ask_age_s


def test_change_is_in_force_in_time_through_a_sound_reader(timing):
    """Guards against pauses that join series of changes for longer than the bound allows.

    The change meets a pause of the reader and one of the node.
    """
    assert 2 * timing.batch_pause_s + 2 * CALL_S <= timing.apply_s


def test_pause_between_failed_calls_leaves_time_to_read_the_change(timing):
    """Guards against a node that waits out the bound after the store is back."""
    assert timing.max_retry_pause_s <= timing.apply_s / 2


def test_tighter_of_the_bounds_decides():
    """Guards against servers that get requests after they have left, as only the time for the
    configuration was looked at."""
    bounds = Bounds(8.0, 5.0, True, 0.2, 10.0, 100, 4.0, 1.0, 3.0, 1.2)
    assert WatchTiming.from_config(bounds) == WatchTiming.from_bounds(1.0, 3.0, 1.2)
