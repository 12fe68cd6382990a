"""Fixtures of all tests in the package."""

import socket

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


@pytest.fixture
def reset_connections():
    """Return a function that opens connections to an address and resets them.

    It lets no other task run, so that a listener of the same process accepts them only afterwards.
    """

    def reset(host: str, port: int, sent: bytes = b"", count: int = 20, source: str = "") -> None:
        for _ in range(count):
            connection = socket.create_connection((host, port), 1.0, (source, 0))
            connection.sendall(sent)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            connection.close()

    return reset
