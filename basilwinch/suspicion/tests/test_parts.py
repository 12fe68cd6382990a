"""Tests of the attribution of crashes to parts of prompts."""

import json
import zlib

import pytest

from basilwinch.exception import CRASH_SUSPECT, Failure, ProtocolError
from basilwinch.observability import DecisionLog
from basilwinch.suspicion import SuspectConfig, SuspectRegistry, digest_part

COMMON, BAD, OTHER = (digest_part(name) for name in ("c0", "bad", "c1"))


@pytest.fixture
def make_registry():
    """Return a function that makes the registry of a node."""

    def make(node, **changes):
        config = SuspectConfig(node, progress_frames=2, weak_strikes=False, event_s=0.25, **changes)
        return SuspectRegistry(config, DecisionLog.for_benchmark())

    return make


def serve(registry, run, parts, now):
    """Run a request that makes progress."""
    registry.begin_attempt(run, run, ["s0"], False, now, parts)
    registry.record_frame(run, run, now + 0.1, 2)
    registry.end_attempt(run, run)


def crash(registry, run, server, parts, now, trial=False):
    """Run a request on whose first event its server crashes."""
    registry.begin_attempt(run, run, [server], False, now - 0.1, parts, trial)
    registry.report_death(server, now)
    registry.end_attempt(run, run)


def share(sender, receiver, now):
    return receiver.merge_bytes(sender.export_bytes(now), now)


def is_refused(registry, parts, now):
    return isinstance(registry.assess("new", parts, now), Failure)


def test_unknown_part_is_refused_on_all_nodes_after_one_crash(make_registry):
    """Guards against a crash for each node, and for each request with the part."""
    first, second = make_registry("n1"), make_registry("n2")
    serve(first, "r1", (COMMON,), 0.0)
    crash(first, "r2", "s1", (COMMON, BAD), 10.0)
    share(first, second, 10.05)
    for registry in (first, second):
        failure = registry.assess("r3", (COMMON, BAD), 10.1)
        assert failure.kind is CRASH_SUSPECT
        assert 0 < failure.retry_after < 30


def test_known_part_of_a_crashing_request_is_not_refused(make_registry):
    """Guards against refusing sound requests that share a part with the one that crashed."""
    first, second = make_registry("n1"), make_registry("n2")
    serve(second, "r1", (COMMON,), 0.0)
    crash(first, "r2", "s1", (COMMON, BAD), 10.0)
    assert share(first, second, 10.05) is True
    share(second, first, 10.06)
    for registry in (first, second):
        assert registry.assess("r3", (COMMON,), 10.1) is False
        assert is_refused(registry, (COMMON, BAD), 10.1)


def test_second_crash_convicts_the_part_and_clears_the_others(make_registry):
    """Guards against refusing the other parts of requests whose crash is explained."""
    first, second = make_registry("n1"), make_registry("n2")
    crash(first, "r1", "s1", (COMMON, BAD), 10.0)
    assert first.assess("r2", (OTHER, BAD), 14.1) is True
    crash(first, "r2", "s2", (OTHER, BAD), 14.2, trial=True)
    share(first, second, 14.3)
    for registry in (first, second):
        assert registry.assess("r3", (BAD,), 30.0).retry_after > 500
        assert registry.assess("r4", (COMMON,), 14.4) is False
        assert registry.assess("r5", (OTHER,), 14.4) is False


def test_parts_that_came_together_are_told_apart_before_one_is_convicted(make_registry):
    """Guards against blaming the common part of the requests for what the other part does."""
    registry = make_registry("n1")
    crash(registry, "r1", "s1", (COMMON, BAD), 10.0)
    crash(registry, "r2", "s2", (COMMON, BAD), 14.2, trial=True)
    assert registry.assess("r3", (COMMON,), 14.3) is True
    serve(registry, "r3", (COMMON,), 14.3)
    assert registry.assess("r4", (COMMON,), 14.5) is False
    assert registry.assess("r5", (COMMON, BAD), 14.5).retry_after > 500


def test_parts_that_always_come_together_are_refused_after_four_crashes(make_registry):
    """Guards against crashes without end because two parts cannot be told apart."""
    registry = make_registry("n1")
    for number in range(4):
        crash(registry, f"r{number}", f"s{number}", (COMMON, BAD), 10.0 + 5 * number)
    assert registry.assess("r9", (COMMON, BAD), 60.0).retry_after > 400


def test_lost_request_is_not_tried_again_at_once_beside_others_that_were_lost(make_registry):
    """Guards against a second crash by the retry of the request that caused the first one."""
    registry = make_registry("n1")
    for run, parts in (("r1", (COMMON, BAD)), ("r2", (OTHER,)), ("r3", (COMMON,))):
        registry.begin_attempt(run, run, ["s1"], False, 9.9, parts)
    registry.report_death("s1", 10.0)
    assert is_refused(registry, (COMMON, BAD), 10.1)
    assert is_refused(registry, (OTHER,), 10.1)
    assert registry.assess("r4", (COMMON,), 10.1) is True


def test_only_one_node_tries_a_suspected_part_one_request_at_a_time(make_registry):
    """Guards against a crash on each node when the time of refusal ends."""
    first, second = make_registry("n1"), make_registry("n2")
    crash(first, "r1", "s1", (BAD,), 10.0)
    share(first, second, 10.05)
    assert first.assess("r2", (BAD,), 14.1) is True
    first.begin_attempt("r2", "r2", ["s2"], False, 14.1, (BAD,), True)
    assert is_refused(first, (BAD,), 14.2)
    assert is_refused(second, (BAD,), 14.2)


def test_progress_of_a_trial_clears_the_part_on_all_nodes(make_registry):
    """Guards against refusing a new part for long because a server died by chance."""
    first, second = make_registry("n1"), make_registry("n2")
    crash(first, "r1", "s1", (BAD,), 10.0)
    share(first, second, 10.05)
    serve(first, "r2", (BAD,), 14.1)
    share(first, second, 14.3)
    for registry in (first, second):
        assert registry.assess("r3", (BAD,), 14.4) is False


def test_request_without_one_of_two_unknown_parts_is_tried_at_once(make_registry):
    """Guards against refusing a common part that no node knew before the crash."""
    registry = make_registry("n1")
    crash(registry, "r1", "s1", (COMMON, BAD), 10.0)
    assert is_refused(registry, (COMMON, BAD), 10.1)
    assert registry.assess("r2", (COMMON,), 10.1) is True
    serve(registry, "r2", (COMMON,), 10.1)
    assert registry.assess("r3", (COMMON,), 10.3) is False
    assert is_refused(registry, (COMMON, BAD), 10.3)


def test_part_in_use_on_servers_lost_at_once_is_not_convicted(make_registry):
    """Guards against refusing a popular part for minutes after the loss of a rack."""
    registry = make_registry("n1")
    for number in range(3):
        crash(registry, f"r{number}", f"s{number}", (COMMON,), 10.0 + number * 0.05)
    serve(registry, "r9", (COMMON,), 10.3)
    assert registry.assess("r10", (COMMON,), 10.5) is False


def test_loss_of_many_servers_at_once_makes_no_part_a_suspect(make_registry):
    """Guards against refusing requests with new parts after the loss of a zone."""
    registry = make_registry("n1")
    for number in range(6):
        crash(registry, f"r{number}", f"s{number}", (digest_part(f"p{number}"),), 10.0)
    assert not any(is_refused(registry, (digest_part(f"p{n}"),), 10.1) for n in range(6))


def test_server_that_dies_under_requests_in_progress_makes_no_part_a_suspect(make_registry):
    """Guards against suspecting requests that had been writing for a while."""
    registry = make_registry("n1")
    registry.begin_attempt("r1", "r1", ["s1"], False, 9.0, (COMMON,))
    registry.record_frame("r1", "r1", 9.5, 2)
    registry.report_death("s1", 10.0)
    assert not registry.list_entries(10.0)


def test_state_is_bounded_and_expires(make_registry):
    """Guards against state that grows with the number of parts that callers name."""
    registry = make_registry("n1", max_known_parts=10, max_suspects=5)
    for number in range(50):
        serve(registry, "r", (digest_part(f"p{number}"),), float(number))
        crash(registry, "r", f"s{number}", (digest_part(f"q{number}"),), number + 0.5)
    assert len(registry._known_parts) == 10
    assert len(registry.list_entries(50.0)) <= 5
    assert registry.list_entries(1000.0) == []


def test_node_that_starts_later_learns_of_a_convicted_part(make_registry):
    """Guards against crashes through a node that was restarted."""
    first = make_registry("n1")
    for number in range(2):
        crash(first, f"r{number}", f"s{number}", (BAD,), 10.0 + number)
    late = make_registry("n2")
    share(first, late, 20.0)
    assert is_refused(late, (BAD,), 20.1)


ROW = ["d", [["n/1", "s", "death", True, False, 0.5, True]], [], 9.0, [], False]


@pytest.mark.parametrize(
    "rows",
    [
        [["d"]],
        [["d" * 2000, *ROW[1:]]],
        [["d", [["n" * 2000, "s", "death", True, False, 0.5]], [], 9.0, []]],
        [[*ROW[:3], float("nan"), [], False]],
        [[*ROW[:3], float("inf"), [], False]],
        [["d", [["n/1", "s", "death", True, False, float("nan"), True]], [], 9.0, []]],
        [["d", [["n/1", "s", "fire", True, False, 0.5]], [], 9.0, []]],
        [[*ROW[:4], [["n", float("inf"), 1.0, []]]]],
        {"d": 1},
        7,
    ],
)
def test_malformed_entries_are_refused(make_registry, rows):
    """Guards against a message of a peer that ends the process or marks a part for ever."""
    with pytest.raises(ProtocolError):
        make_registry("n1").merge_bytes(zlib.compress(json.dumps(rows).encode()), 0.0)


@pytest.mark.parametrize("data", [b"x", zlib.compress(b"[" * 60000), zlib.compress(b"0" * 99999)])
def test_bytes_that_are_no_entries_are_refused(make_registry, data):
    """Guards against bytes that exhaust the stack or the memory of a node."""
    with pytest.raises(ProtocolError):
        make_registry("n1").merge_bytes(data, 0.0)


def test_long_and_negative_times_of_a_peer_are_limited(make_registry):
    """Guards against an entry that never expires."""
    registry = make_registry("n1")
    rows = [["d", [["n/1", "s", "death", True, False, -5.0, True]], [], 1e300, []]]
    registry.merge_bytes(zlib.compress(json.dumps(rows).encode()), 0.0)
    assert registry.list_entries(601.0) == []
