"""Tests that each invariant checker accepts a valid history and rejects invalid ones."""

import pytest

from basilwinch.history import (
    CHECKERS,
    Answered,
    AttemptSent,
    History,
    Invoked,
    LayersRan,
    NoteAccepted,
    NoteApplied,
    OrderRan,
    Outcome,
    ServerLeaving,
    ServerReturned,
    ServerStopped,
    TokenDelivered,
    VmStarted,
    VmStopped,
    check_history,
)

SPANS = (("a", 0, 3), ("b", 3, 8))


def deliver(position, spans=SPANS, request="r1", attempt=1):
    return TokenDelivered(1.0 + position, request, attempt, position, 8, spans)


@pytest.fixture
def valid_events():
    """Return the events of a history in which every invariant holds."""
    return [
        VmStarted(0.0, "n1"),
        VmStarted(0.0, "n2"),
        NoteAccepted(0.5, 1, "d1"),
        NoteApplied(0.6, "n1", 1, "d1"),
        NoteApplied(3.4, "n2", 1, "d1"),
        Invoked(1.0, "r1", "xy"),
        AttemptSent(1.0, "r1", "a"),
        LayersRan(1.0, "r1", 1, 0, "a", 0, 3),
        LayersRan(1.0, "r1", 1, 0, "b", 3, 8),
        deliver(0),
        LayersRan(2.0, "r1", 1, 1, "a", 0, 3),
        LayersRan(2.0, "r1", 1, 1, "b", 3, 8),
        deliver(1),
        ServerLeaving(2.0, "a"),
        AttemptSent(4.9, "r2", "a"),
        Invoked(4.9, "r2", ""),
        Answered(5.0, "r1", Outcome.COMPLETE, "xy"),
        Answered(5.1, "r2", Outcome.COMPLETE, ""),
        ServerStopped(6.0, "a", True),
        ServerReturned(7.0, "a"),
        AttemptSent(20.0, "r2", "a"),
        Invoked(1.0, "o1"),
        OrderRan(1.2, "o1", "p1"),
        Answered(1.3, "o1", Outcome.DONE),
        Invoked(1.0, "o2"),
        Answered(1.3, "o2", Outcome.NOT_RUN),
    ]


INVALID_HISTORIES = {
    "I1 gap": ("I1", [deliver(2, (("a", 0, 3), ("b", 4, 8)))]),
    "I1 layers run twice": ("I1", [deliver(2, (("a", 0, 3), ("b", 2, 8)))]),
    "I1 last layers missing": ("I1", [deliver(2, (("a", 0, 3),))]),
    "I1 servers saw other layers": ("I1", [deliver(2), LayersRan(3.0, "r1", 1, 2, "a", 0, 8)]),
    "I2 wrong response": (
        "I2",
        [Invoked(5.0, "r3", "xy"), Answered(6.0, "r3", Outcome.COMPLETE, "yx")],
    ),
    "I2 truncated response": (
        "I2",
        [Invoked(5.0, "r3", "xy"), Answered(6.0, "r3", Outcome.COMPLETE, "x")],
    ),
    "I2 never sent": ("I2", [Answered(6.0, "r9", Outcome.COMPLETE, "")]),
    "I2 answered twice": ("I2", [Answered(6.0, "r1", Outcome.COMPLETE, "xy")]),
    "I2 token repeated": ("I2", [deliver(1)]),
    "I2 token lost": ("I2", [deliver(3)]),
    "I3 ran before": ("I3", [Answered(2.0, "o1", Outcome.NOT_RUN)]),
    "I3 ran after": ("I3", [OrderRan(60.0, "o2", "p1")]),
    "I4 ran twice": ("I4", [OrderRan(9.0, "o1", "p2")]),
    "I5 late request": ("I5", [AttemptSent(5.5, "r9", "a")]),
    "I6 interrupted": (
        "I6",
        [
            AttemptSent(1.0, "r4", "a"),
            Invoked(1.0, "r4", "x"),
            Answered(6.1, "r4", Outcome.FAILED),
        ],
    ),
    "I6 no answer": ("I6", [AttemptSent(1.0, "r5", "a")]),
    "I7 revert": ("I7", [NoteApplied(9.0, "n1", 0, "d0")]),
    "I7 different state": ("I7", [NoteApplied(9.0, "n1", 1, "dx")]),
    "I7 half applied": ("I7", [NoteAccepted(9.0, 2, "d2"), NoteApplied(9.1, "n1", 2, "d1")]),
    "I7 too late": ("I7", [VmStarted(0.2, "n3"), NoteApplied(3.6, "n3", 1, "d1")]),
}


def test_valid_history_passes(valid_events):
    """Guards against checkers that reject valid behaviour."""
    assert check_history(History(valid_events)) == []


@pytest.mark.parametrize("name", INVALID_HISTORIES)
def test_invalid_history_is_rejected(valid_events, name):
    """Guards against checkers that never fail."""
    invariant, events = INVALID_HISTORIES[name]
    violations = CHECKERS[invariant](History(valid_events + events))
    assert violations
    assert {violation.invariant for violation in violations} == {invariant}


def test_stopped_vm_need_not_apply(valid_events):
    """Guards against a violation for a VM that was down while a note propagated."""
    events = [VmStarted(0.2, "n3"), VmStopped(1.0, "n3")]
    assert CHECKERS["I7"](History(valid_events + events)) == []
