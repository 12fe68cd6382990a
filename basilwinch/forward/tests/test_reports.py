"""Reports of servers."""

import pytest
import trio
import trio.testing

from basilwinch.exception import SERVER_UNREACHABLE, Failure, ServerError
from basilwinch.forward.reports import ServerReports
from basilwinch.view import ServerEntry


class Connection:
    """Answers with a report."""

    def __init__(self, pool):
        self._pool = pool

    async def send(self, *call):
        await trio.sleep(0.01)

    async def receive_head(self):
        return None

    async def receive_body(self, limit):
        return b'{"stalled": []}'

    def close(self):
        self._pool.closed += 1


class Pool:
    """Counts connections."""

    opened = 0
    closed = 0
    down = False

    async def acquire(self, address):
        self.opened += 1
        if self.down:
            raise ServerError(SERVER_UNREACHABLE.because("down"))
        return Connection(self)


class Dialect:
    """Spells the question."""

    def report_query(self):
        return (b"GET", b"/report", [], b"")


@pytest.fixture
def pool():
    return Pool()


@pytest.fixture
def server():
    return ServerEntry("s1", "llm", "10.0.0.1", 1, "z0", 8, False, "l4", None, 1, 0)


def _ask_together(pool, server, count):
    results = []

    async def main():
        reports = ServerReports(pool, Dialect(), trio.current_time)

        async def ask():
            results.append(await reports.ask(server))

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(ask)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return results


def test_streams_of_a_silent_chain_share_one_question(pool, server):
    """A chain that went silent was asked by each of its streams, eight times a second."""
    results = _ask_together(pool, server, 30)
    assert results == [{"stalled": []}] * 30
    assert pool.opened == pool.closed == 1


def test_head_that_does_not_answer_is_told_to_all(pool, server):
    pool.down = True
    results = _ask_together(pool, server, 5)
    assert all(isinstance(result, Failure) for result in results)
    assert pool.opened == 1
