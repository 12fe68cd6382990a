"""Runs all scenarios of the repository, and checks that a failing one is reported."""

import logging
import pathlib

import pytest
import structlog

from basilwinch.exception import EXPECTATION_FAILED
from basilwinch.scenario import PATTERNS, parse_scenario, read_scenario, run_scenario

FILES = sorted(pathlib.Path("scenarios").glob("*.txt"))


@pytest.fixture(autouse=True)
def quiet_logs():
    """Suppress log lines below level critical, of which each routing decision writes one."""
    level = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=level)
    yield
    structlog.reset_defaults()


@pytest.fixture
def run():
    def parse_and_run(text, seed=1):
        scenario = parse_scenario(text, PATTERNS)
        assert scenario, scenario
        return run_scenario(scenario, seed)

    return parse_and_run


def test_scenario_files_are_found():
    """Guards against a run in another working directory, which would find no scenario."""
    assert len(FILES) >= 20


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_scenario_passes(path):
    """Guards against a failed expectation or a violated invariant in any scenario."""
    verdict = run_scenario(read_scenario(path), 1)
    assert verdict.passed, verdict.render()


def test_same_seed_gives_the_same_verdict(run):
    """Guards against use of the real clock and of unseeded random generators."""
    text = "start 6 servers 3 plain 3 vms\nrequests 5 tokens 10 for 3\nkill vm n1\n"
    assert run(text, 3) == run(text, 3)


def test_wrong_expectation_fails(run):
    """Guards against expectations that never fail."""
    verdict = run("start 6 servers 3 plain 3 vms\nplatform down\norder o via n1\nexpect o done\n")
    assert verdict.failure.kind is EXPECTATION_FAILED
    assert not verdict.passed
