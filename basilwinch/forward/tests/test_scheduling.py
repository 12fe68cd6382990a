"""Tests of the measurement of time for which a node is held up."""

import pytest

from basilwinch.forward.scheduling import SchedulingDelay


@pytest.mark.parametrize(
    ("waits", "late_s", "total_s"),
    [
        ([(1.0, 1.5)], [0.5], 0.5),
        ([(1.0, 1.0), (2.0, 1.5)], [0.0, 0.0], 0.0),
        ([(1.0, 1.5), (1.25, 1.5), (1.25, 1.75)], [0.5, 0.25, 0.5], 0.75),
        ([(1.25, 1.5), (1.0, 1.5)], [0.25, 0.5], 0.5),
        ([(1.0, 1.5), (2.0, 2.25), (1.75, 2.25)], [0.5, 0.25, 0.5], 1.0),
    ],
)
def test_time_in_which_many_waits_are_late_is_counted_once(waits, late_s, total_s):
    """Guards against a short pause that looks long because many requests waited in it."""
    counted = []
    delay = SchedulingDelay(counted.append)
    assert [delay.record(due_at, now) for due_at, now in waits] == late_s
    assert sum(counted) == total_s
