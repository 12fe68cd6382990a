"""End-to-end tests of the log lines of requests."""

import structlog

from basilwinch.observability.logs import REQUEST_END_EVENTS


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
