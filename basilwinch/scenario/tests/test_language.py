"""Tests of the scenario language."""

import pytest

from basilwinch.exception import SCENARIO_MALFORMED
from basilwinch.scenario.language import Pattern, parse_scenario


@pytest.fixture
def patterns():
    return [
        Pattern(("wait", "SECONDS"), None),
        Pattern(("kill", "server", "NAME"), None),
        Pattern(("kill", "vm", "NAME"), None),
        Pattern(("send", "COUNT", "prompt", "TEXT"), None),
    ]


def test_steps_keep_line_and_arguments(patterns):
    """Guards against wrong line numbers and arguments of steps."""
    text = "# A stage dies\n\nwait 0.5  # then\nkill vm n1\nsend 2 prompt 'নতুন নকশা'\n"
    scenario = parse_scenario(text, patterns)
    assert scenario.title == "A stage dies"
    assert [(s.line, s.arguments) for s in scenario.steps] == [
        (3, (0.5,)),
        (4, ("n1",)),
        (5, (2, "নতুন নকশা")),
    ]


@pytest.mark.parametrize(
    ("text", "line", "part"),
    [
        ("wait 1\nsleep 1", 2, "unknown word 'sleep'"),
        ("kill zone a", 1, "kill server NAME"),
        ("wait soon", 1, "wait SECONDS"),
        ("send 2.5 prompt x", 1, "send COUNT"),
        ("kill vm 'n1", 1, "quotation"),
    ],
)
def test_error_of_malformed_step_has_line_and_expected_syntax(patterns, text, line, part):
    """Guards against scenarios that pass because a malformed step was skipped."""
    failure = parse_scenario(text, patterns)
    assert failure.kind is SCENARIO_MALFORMED
    assert failure.detail["line"] == line
    assert part in failure.reason
