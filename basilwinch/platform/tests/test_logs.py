"""End-to-end tests of the log lines of requests."""

import pytest
import structlog

from basilwinch.observability.logs import REQUEST_END_EVENTS

TOKENS = [(b"X-Token-Count", b"100,18")]


def test_line_that_ends_a_request_is_marked_as_such(run_with):
    """Guards against a line that is renamed, and then left out beyond the rate of lines."""

    async def test(site):
        with structlog.testing.capture_logs() as lines:
            assert (await site.call(b"GET", b"/safe/a", b"1"))[0] == 200
            assert (await site.call(b"GET", b"/none", b"2"))[0] == 404
            site.node._rejecting = True
            assert (await site.call(b"GET", b"/safe/a", b"3"))[0] == 503
            # A line is written after the response has been sent.
            await site.wait_until(lambda: sum("request" in line for line in lines) == 3)
        assert {line["event"] for line in lines if "request" in line} == REQUEST_END_EVENTS

    run_with(test)


@pytest.mark.parametrize("path", [b"/safe/a", b"/s/a"])
@pytest.mark.parametrize(("retry_after", "kind"), [(None, "full"), (b"9.5", "back-off of 9.5 s")])
def test_reason_tells_why_servers_refused_a_request(run_with, path, retry_after, kind):
    """Guards against a log that does not tell a full server from one that asks for a pause."""

    async def test(site):
        for server in site.platform.servers:
            server.faults, server.retry_after = ["full"] * 50, retry_after
        with structlog.testing.capture_logs() as lines:
            assert (await site.call(b"POST", path, b"r1", b"{}", headers=TOKENS))[0] == 503
            await site.wait_until(lambda: any(line["event"] == "request ended" for line in lines))
        ended = next(line for line in lines if line["event"] == "request ended")
        assert ended["reason"] == f"server answered with status 503: {kind}"

    run_with(test)
