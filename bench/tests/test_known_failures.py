"""Tests of the plugin that tolerates the failures listed in KNOWN-RED.txt."""

import pytest

pytest_plugins = ["pytester"]

PASSES, FAILS = "def test_x():\n    pass\n", "def test_x():\n    assert False\n"


@pytest.fixture
def run_suite(pytester):
    """Return a function that runs a suite of one test file with a list of known failures."""

    def run(test_source, listed):
        pytester.makepyfile(test_a=test_source)
        lines = "".join(f"- test: {node_id}\n  seen: something\n" for node_id in listed)
        pytester.path.joinpath("KNOWN-RED.txt").write_text(lines)
        return pytester.runpytest_inprocess("-p", "bench.known_failures")

    return run


def test_listed_failure_is_run_printed_and_tolerated(run_suite):
    """Guards against a listed test that is skipped, hidden or fails the suite."""
    result = run_suite(FAILS, ["test_a.py::test_x"])
    assert result.ret == 0
    result.assert_outcomes(xfailed=1)
    result.stdout.fnmatch_lines(["failed as listed: test_a.py::test_x"])


def test_failure_that_is_not_listed_fails_the_suite(run_suite):
    """Guards against tolerating other tests of a file with a listed one."""
    result = run_suite(FAILS + "def test_y():\n    assert False\n", ["test_a.py::test_x"])
    assert result.ret == 1
    result.assert_outcomes(failed=1, xfailed=1)


def test_listed_test_that_passes_is_printed(run_suite):
    """Guards against an entry that stays after its fault has been fixed."""
    result = run_suite(PASSES, ["test_a.py::test_x"])
    assert result.ret == 0
    result.stdout.fnmatch_lines(["PASSED THOUGH LISTED: test_a.py::test_x"])


def test_listed_test_that_does_not_exist_fails_the_suite(run_suite):
    """Guards against an entry that no longer matches its renamed test."""
    result = run_suite(PASSES, ["test_a.py::test_gone", "test_gone.py::test_x"])
    assert result.ret == 4


def test_entry_with_more_than_a_node_id_lists_no_test_of_the_suite(run_suite):
    """Guards against tolerating a test for which only a special run is listed."""
    result = run_suite(FAILS, ["test_a.py::test_x, with seed 4"])
    assert result.ret == 1
