"""Fixtures of all tests."""

import pytest

from basilwinch.standin.loop import seed_trio_scheduler


@pytest.fixture(autouse=True)
def repeatable_scheduler():
    """Make each test see the same order of tasks in every run, alone or among others."""
    seed_trio_scheduler(0)
