"""Reports of servers."""

import pytest
import trio
import trio.testing

from basilwinch.exception import SERVER_UNREACHABLE, Failure, ServerError
from basilwinch.forward.reports import ServerReports
from basilwinch.view import ServerEntry


class Pool:
    """Counts calls; kept connections have been dropped by the server without notice."""

    def __init__(self):
        self.calls = 0
        self.down = False
        self.dropped = False

    async def call(self, address, request, limit, fresh=False):
        self.calls += 1
        await trio.sleep(0.01)
        if self.down or (self.dropped and not fresh):
            raise ServerError(SERVER_UNREACHABLE.because("reset"))
        return 200, b'{"stalled": []}'


class Dialect:
    """Spells the question."""

    def build_report_request(self):
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
    assert pool.calls == 1


def test_head_that_does_not_answer_is_told_to_all(pool, server):
    pool.down = True
    results = _ask_together(pool, server, 5)
    assert all(isinstance(result, Failure) for result in results)
    assert pool.calls == 1


def test_dropped_connection_does_not_accuse_the_head(pool, server):
    """Servers drop idle connections without notice; the reset of one was taken for a dead head."""
    pool.dropped = True
    assert _ask_together(pool, server, 1) == [{"stalled": []}]
