"""End-to-end tests of the log lines of requests."""

import pytest
import structlog

from basilwinch.exception import ServerError
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


def find_line(lines, event):
    """Return the first line of an event, or None."""
    return next((line for line in lines if line["event"] == event), None)


def test_silence_of_one_chain_is_told_from_a_pause_of_the_node(run_with):
    """Guards against streams that move to another chain without a trace of what was silent."""

    async def test(site):
        for server in site.platform.servers:
            server.faults = ["pause"]
        with structlog.testing.capture_logs() as lines:
            status, _, body = await site.call(
                b"POST", b"/s/a", b"r1", b"{}", headers=TOKENS, deadline_ms=3000
            )
            assert status == 200 and body.endswith(b"id: 6\ndata: token\n\n")
        begun = find_line(lines, "backup begun")
        assert begun["last_id"] == 3
        assert begun["silent_s"] > 0.9
        assert begun["held_up_s"] < 0.5
        assert (begun["silent_chains"], begun["chains"]) == (1, 1)

    run_with(test)


def test_refused_stream_leaves_no_chain_behind(run_with):
    """Guards against a chain that counts as silent for good because its stream was refused."""

    async def test(site):
        for server in site.platform.servers:
            server.faults = ["full"] * 50
        with structlog.testing.capture_logs() as lines:
            await site.call(b"POST", b"/s/a", b"r1", b"{}", headers=TOKENS)
        failed = find_line(lines, "stream attempt failed")
        assert failed["silent_s"] < 0.5
        assert failed["chains"] == 0  # none has sent an event
        assert not site.node._forwarder._components.activity._heads

    run_with(test)


def test_lost_stream_is_counted_by_its_cause_and_its_end(run_with):
    """Guards against lost streams of which the metrics do not tell why they were lost."""

    async def test(site):
        for server in site.platform.servers:
            server.faults = ["cut"] + ["reset"] * 50
        with structlog.testing.capture_logs() as lines:
            with pytest.raises(ServerError):
                await site.call(b"POST", b"/s/a", b"r1", b"{}", headers=TOKENS)
            await site.wait_until(lambda: find_line(lines, "request ended"))
        ended = find_line(lines, "request ended")
        assert ended["outcome"] == "stream_lost"
        assert (ended["cause"], ended["end"]) == ("broken", "outcome_unknown")
        counter = b'basilwinch_lost_streams_total{cause="broken",end="outcome_unknown"} 1.0'
        assert counter in site.node.metrics.render()

    run_with(test, chains=1)


def test_request_that_ends_in_an_unexpected_error_is_logged_as_such(run_with, monkeypatch):
    """Guards against a fault of the node that looks like a caller who has left."""

    async def fail(self, context):
        raise ValueError("broken")

    monkeypatch.setattr("basilwinch.forward.stream.StreamForwarder.forward", fail)

    async def test(site):
        with structlog.testing.capture_logs() as lines:
            with pytest.raises(ServerError):
                await site.call(b"POST", b"/s/a", b"r1", b"{}", headers=TOKENS)
            await site.wait_until(lambda: any(line["event"] == "request ended" for line in lines))
        ended = next(line for line in lines if line["event"] == "request ended")
        assert (ended["request"], ended["outcome"]) == ("r1", "internal_error")

    run_with(test)
