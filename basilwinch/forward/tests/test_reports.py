"""Tests of the reports of servers."""

import contextlib

import pytest
import trio
import trio.testing

from basilwinch import platform
from basilwinch.document import parse_object
from basilwinch.exception import SERVER_UNREACHABLE, DocumentError, Failure, ServerError
from basilwinch.forward.reports import ServerReports
from basilwinch.standin.malformed import UNREADABLE, list_malformed
from basilwinch.view import ServerEntry


class Pool:
    """Counts calls; with ``dropped``, the server has closed idle connections without notice."""

    def __init__(self):
        self.calls = 0
        self.down = False
        self.dropped = False
        self.body = b'{"stalled": []}'

    async def call(self, address, request, max_body_bytes, fresh=False):
        self.calls += 1
        await trio.sleep(0.01)
        if self.down or (self.dropped and not fresh):
            raise ServerError(SERVER_UNREACHABLE.because("reset"))
        return 200, self.body


class Dialect:
    """Encodes the query."""

    def build_report_request(self):
        return (b"GET", b"/report", [], b"")


@pytest.fixture
def pool():
    return Pool()


@pytest.fixture
def server():
    return ServerEntry("s1", "llm", "10.0.0.1", 1, "z0", 8, False, "l4", None, 1, 0)


def _fetch_together(pool, server, count):
    results = []

    async def main():
        reports = ServerReports(pool, Dialect(), trio.current_time)

        async def fetch():
            results.append(await reports.fetch(server))

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(fetch)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return results


def test_streams_of_a_silent_chain_share_one_query(pool, server):
    """Guards against each stream of a silent chain sending its own queries, eight a second."""
    results = _fetch_together(pool, server, 30)
    assert results == [{"stalled": []}] * 30
    assert pool.calls == 1


def test_failed_query_is_reported_to_all_waiting_tasks(pool, server):
    pool.down = True
    results = _fetch_together(pool, server, 5)
    assert all(isinstance(result, Failure) for result in results)
    assert pool.calls == 1


def test_closed_idle_connection_is_not_a_failure_of_the_head(pool, server):
    """Guards against taking the reset of an idle connection, which the server had closed without
    notice, for a crashed head."""
    pool.dropped = True
    assert _fetch_together(pool, server, 1) == [{"stalled": []}]


@pytest.mark.parametrize("body", [*UNREADABLE, b"[]", b"1e999"])
def test_malformed_report_is_a_failure_of_its_server(pool, server, body):
    """Guards against an error that ends the request which asked for the report."""
    pool.body = body
    (report,) = _fetch_together(pool, server, 1)
    assert isinstance(report, Failure)


def test_malformed_rows_of_a_report_blame_no_server():
    """Guards against a report that ends a stalled request, or has a sound server left out."""
    rows = [{"id": "a", "address": "10.0.0.2:80"}, {"id": "b", "address": "10.0.0.3:80"}]
    for value in list_malformed({"stalled": rows}):
        with contextlib.suppress(DocumentError):
            report = parse_object(value, "report")
            address = platform.Dialect().find_stalled_server(report, b"b")
            assert address is None or isinstance(address, str)
