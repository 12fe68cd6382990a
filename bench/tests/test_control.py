"""Tests that the checks of the control benchmark can fail."""

import pytest
import trio
import trio.testing

from basilwinch.catalog import Catalog, Organisation
from basilwinch.lease import HeldLease
from basilwinch.observability import configure_logs
from bench import control
from bench.control_cluster import Observer, Operator, make_cluster
from bench.control_lease import run_lease


def _run(function, *arguments):
    return trio.run(function, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


def test_stale_orders_are_counted(monkeypatch):
    """Guards against a benchmark that passes although holders do not wait for old orders."""
    configure_logs(level="critical")
    monkeypatch.setattr(HeldLease, "check_order", lambda self, checks, now: None)
    result = _run(run_lease, 1, 200.0)
    assert result["ignoring_stale"] > 0
    assert result["checking_stale"] == 0


class _BadReplica:
    """A replica with a set revision and set values of the two entries."""

    def __init__(self, revision: int, values):
        self.revision = revision
        names = ("first-a", "first-b")
        entries = {
            name: Organisation(name, "0" * 64, tokens_per_s=value)
            for name, value in zip(names, values, strict=True)
        }
        self.catalog = Catalog(revision, organisations=entries)


def test_reverts_halves_and_lost_notes_are_counted():
    """Guards against an observer that misses violations."""

    async def main():
        async with trio.open_nursery() as nursery:
            cluster = make_cluster(nursery, 1, 1, {})
            operator = Operator(cluster.store, "first", 1)
            observer = Observer(cluster, [operator])
            cluster.start()
            node = cluster.nodes[0]
            node.replica = _BadReplica(2, (1.0, 1.0))
            observer.sample()
            assert (observer.reverts, observer.half_applied) == (0, 0)
            node.replica = _BadReplica(1, (1.0, 2.0))
            observer.sample()
            assert (observer.reverts, observer.half_applied) == (1, 1)
            operator.accepted[5] = ("id", 3.0)
            assert observer.count_lost() == 2
            nursery.cancel_scope.cancel()

    _run(main)


@pytest.mark.parametrize(
    ("key", "value"), [("bytes_max", 2001), ("spread_s", 16.1), ("cpu", 0.05), ("memory_mb", 257)]
)
def test_a_missed_target_is_reported(key, value):
    """Guards against a benchmark that exits with 0 although a target is missed."""
    good = {
        "seed": 1,
        "spread_s": 1,
        "bytes_max": 1,
        "cpu": 0,
        "memory_mb": 1,
        "reverts": 0,
        "half_applied": 0,
        "calls_per_s": 1,
    }
    assert control._check([], {9: [good]}, []) == []
    assert len(control._check([], {9: [good | {key: value}]}, [])) == 1
    assert len(control._check([], {9: [good], 30: [good | {"calls_per_s": 4}]}, [])) == 1
