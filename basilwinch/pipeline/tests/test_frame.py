"""Tests of frames and chains."""

import pytest

from basilwinch.exception import (
    BROKEN_CHAIN,
    WRONG_ATTEMPT,
    WRONG_LAYERS,
    WRONG_POSITION,
    WRONG_REQUEST,
)
from basilwinch.pipeline import Chain, FrameChecker, Stage, TokenFrame

STAGES = (Stage("a", 0, 3), Stage("b", 3, 8))


@pytest.fixture
def checker():
    return FrameChecker("r1", 2, Chain.from_stages("m", 8, STAGES), start=5)


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"request": "r2"}, WRONG_REQUEST),
        ({"attempt": 1}, WRONG_ATTEMPT),
        ({"position": 6}, WRONG_POSITION),
        ({"position": 4}, WRONG_POSITION),
        ({"spans": STAGES[:1]}, WRONG_LAYERS),
        ({"spans": STAGES[::-1]}, WRONG_LAYERS),
        ({"spans": STAGES + STAGES[1:]}, WRONG_LAYERS),
    ],
)
def test_wrong_frame_is_refused_and_the_right_one_still_passes(checker, changes, kind):
    """Guards against foreign, stale, repeated or skipped tokens, and skipped or repeated layers."""
    frame = TokenFrame("r1", 2, 5, 42, STAGES)
    assert checker.check(frame.replace(**changes)).kind is kind
    assert checker.check(frame) is None


def test_frame_survives_its_json_form():
    """Guards against a field lost between the engine and the node."""
    frame = TokenFrame("r1", 2, 5, 42, STAGES, "text", True)
    assert TokenFrame.from_json_dict(frame.to_json_dict()) == frame


@pytest.mark.parametrize(
    "stages",
    [
        [],
        [Stage("a", 0, 4), Stage("b", 3, 8)],
        [Stage("a", 0, 8), Stage("b", 8, 8)],
        [Stage("a", 1, 8)],
        [Stage("a", 0, 9)],
    ],
)
def test_gap_or_overlap_is_a_broken_chain(stages):
    """Guards against a chain that skips or repeats layers."""
    assert Chain.from_stages("m", 8, stages).kind is BROKEN_CHAIN
