"""Fixtures of all tests in the package."""

import pytest

from basilwinch.standin.loop import seed_trio_scheduler


@pytest.fixture(autouse=True)
def deterministic_scheduler():
    """Run the tasks of a test in the same order each time, also when it runs alone."""
    seed_trio_scheduler(0)
