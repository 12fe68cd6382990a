"""Fixtures of all tests in the package."""

import pytest
import structlog

from basilwinch.standin.loop import seed_trio_scheduler


@pytest.fixture(autouse=True)
def deterministic_scheduler():
    """Run the tasks of a test in the same order each time, also when it runs alone."""
    seed_trio_scheduler(0)


@pytest.fixture(autouse=True)
def default_logs():
    """Undo what a test has configured: its output is closed, and a later line would fail."""
    yield
    structlog.reset_defaults()
