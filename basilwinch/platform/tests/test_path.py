"""End-to-end tests of a caller, an entry node, the platform's store and its servers."""

import json

import pytest
import trio

from basilwinch.exception import ServerError
from basilwinch.wire import connect


def _runs(site, service):
    return [r for s in site.platform.servers if s.service == service for r in s.runs]


def test_plain_request_returns_the_signature_of_the_server(run_with):
    async def test(site):
        status, header, body = await site.call(b"GET", b"/safe/a?b=1", b"r1")
        assert status == 200
        assert body.startswith(b"done by p")
        assert header[b"x-server-stamp"] == body.rpartition(b" ")[2]

    run_with(test)


def test_server_gets_the_organisation_and_never_the_key(run_with):
    async def test(site):
        forged = [(b"X-Tenant", b"other"), (b"X-Hop-Count", b"1.1.1.1:1=0-8")]
        await site.call(b"GET", b"/safe/a", b"r1", headers=forged)
        seen = [h for s in site.platform.servers for h in s.headers]
        assert len(seen) == 1
        assert seen[0][b"x-tenant"] == b"org"
        assert b"x-credential" not in seen[0]
        assert b"x-hop-count" not in seen[0]

    run_with(test)


def test_idempotent_request_is_repeated_after_a_reset(run_with):
    async def test(site):
        for server in site.platform.servers:
            server.faults = ["reset"] if server.id == "p0" else []
        for number in range(4):
            status, _, _ = await site.call(b"GET", b"/safe/a", b"r%d" % number)
            assert status == 200

    run_with(test)


def test_non_idempotent_request_runs_once_and_is_not_reported_as_not_run(run_with):
    """After a reset it is unknown whether the request that was sent has run."""

    async def test(site):
        for server in site.platform.servers:
            server.faults = ["reset"]
        status, _, _ = await site.call(b"POST", b"/unsafe/a", b"r1", b"order")
        assert status == 502
        assert _runs(site, "plain") == [b"r1"]

    run_with(test)


def test_non_idempotent_request_goes_to_another_server_if_it_has_not_run(run_with):
    async def test(site):
        site.platform.servers[0].faults = ["full"]
        site.platform.servers[1].faults = ["full"]
        status, header, _ = await site.call(b"POST", b"/unsafe/a", b"r1", b"order")
        assert status == 503
        assert float(header[b"retry-after"]) < 1
        status, _, _ = await site.call(b"POST", b"/unsafe/a", b"r2", b"order")
        assert status == 200
        assert _runs(site, "plain") == [b"r2"]

    run_with(test)


def test_idempotent_request_is_retried_when_a_server_does_not_respond(run_with):
    """Guards against a long wait for a mute server: the retry must succeed within 0.4 s."""

    async def test(site):
        site.platform.servers[0].faults = ["mute"]
        site.platform.servers[1].faults = []
        for number in range(3):
            start = trio.current_time()
            status, _, _ = await site.call(b"GET", b"/safe/a", b"r%d" % number)
            assert status == 200
            assert trio.current_time() - start < 0.4

    run_with(test)


@pytest.mark.parametrize("fault", ["copy", "copy without id"])
def test_late_copy_of_an_answer_reaches_no_other_caller(run_with, fault):
    """Guards against a second copy of an answer that arrives on a connection in use again: the next
    caller would get it, or its own answer would go to the caller after it."""

    async def test(site):
        server = site.platform.servers[0]
        server.faults = [fault, "wait"]
        assert (await site.call(b"GET", b"/safe/a", b"r1"))[0] == 200
        status, headers, _ = await site.call(b"GET", b"/safe/a", b"r2")
        assert status == 502 or headers[b"x-request-id"] == b"r2"
        status, headers, _ = await site.call(b"GET", b"/safe/a", b"r3")
        assert (status, headers[b"x-request-id"]) == (200, b"r3")

    run_with(test, plain=1)


def test_unknown_key_and_route_are_refused(run_with):
    async def test(site):
        assert (await site.call(b"GET", b"/safe/a", b"r1", key="other"))[0] == 401
        assert (await site.call(b"GET", b"/none/a", b"r2"))[0] == 404

    run_with(test)


def test_stream_is_complete_and_in_order(run_with):
    async def test(site):
        tokens = [(b"X-Token-Count", b"100,18")]
        status, header, body = await site.call(b"POST", b"/s/a", b"r1", b"{}", headers=tokens)
        assert status == 200
        assert body == b"".join(b"id: %d\ndata: token\n\n" % n for n in range(1, 7))
        heads = [h for s in site.platform.servers if s.kind for h in s.headers]
        hops = heads[0][b"x-hop-count"].decode().split(",")
        assert [hop.partition("=")[2] for hop in hops] == ["0-4", "4-8"]

    run_with(test)


def test_broken_stream_resumes_at_another_chain_within_one_response(run_with):
    """The chain fails within an event; another chain sends the remaining events once, in order."""

    async def test(site):
        heads = [s for s in site.platform.servers if s.layers and s.layers[0] == 0]
        for server in heads:
            server.faults = ["cut"]
        tokens = [(b"X-Token-Count", b"100,18")]
        status, header, body = await site.call(b"POST", b"/s/a", b"r1", b"{}", headers=tokens)
        assert status == 200
        assert body == b"".join(b"id: %d\ndata: token\n\n" % n for n in range(1, 7))
        resumed = [h for s in heads for h in s.headers if b"last-event-id" in h]
        assert resumed[0][b"last-event-id"] == b"3"

    run_with(test)


def _set_faults(site, *faults):
    for server in site.platform.servers:
        server.faults = list(faults)


_TOKENS = [(b"X-Token-Count", b"100,18")]
_STREAM = b"".join(b"id: %d\ndata: token\n\n" % number for number in range(1, 7))


def test_answer_without_length_or_chunks_is_relayed_whole(run_with):
    """Guards against an answer that is lost, or cut, because only its connection ends it."""

    async def test(site):
        _set_faults(site, "unframed")
        status, _, body = await site.call(b"GET", b"/safe/a", b"r1")
        assert (status, body) == (200, b"whole body")
        status, _, body = await site.call(b"POST", b"/s/a", b"r2", b"{}", headers=_TOKENS)
        assert (status, body) == (200, _STREAM)
        _set_faults(site)
        assert (await site.call(b"GET", b"/safe/a", b"r3"))[0] == 200

    run_with(test)


def test_stream_without_length_that_ends_within_an_event_is_resumed(run_with):
    """Guards against a stream that broke off within an event and looks complete to its caller."""

    async def test(site):
        heads = [s for s in site.platform.servers if s.layers and s.layers[0] == 0]
        for server in heads:
            server.faults = ["unframed cut"]
        status, _, body = await site.call(b"POST", b"/s/a", b"r1", b"{}", headers=_TOKENS)
        assert (status, body) == (200, _STREAM)

    run_with(test)


def test_stream_that_ends_within_an_event_and_cannot_resume_looks_cut(run_with, configuration):
    """Guards against the proper end of a stream whose last events are missing."""
    for route in configuration["routes"]:
        route.pop("can-resume", None)

    async def test(site):
        _set_faults(site, "unframed cut")
        with pytest.raises(ServerError):
            await site.call(b"POST", b"/s/a", b"r1", b"{}", headers=_TOKENS)

    run_with(test)


def test_answer_without_end_is_given_up_and_repeated_elsewhere(run_with):
    """Guards against memory that grows with bytes that a faulty server sends without end."""

    async def test(site):
        for server in site.platform.servers:
            server.faults = ["endless"] if server.id in ("p0", "c0") else []
        for number in range(4):
            status, _, body = await site.call(
                b"POST", b"/s/a", b"s%d" % number, b"{}", headers=_TOKENS
            )
            assert (status, body) == (200, _STREAM)
            status, _, body = await site.call(b"GET", b"/safe/a", b"r%d" % number)
            assert status == 200
            assert body.startswith(b"done by p1")

    run_with(test)


def test_new_configuration_and_withdrawn_key_take_effect(run_with, configuration):
    async def test(site):
        newer = configuration | {"version": 9, "tenants": [{"name": "org", "api-keys": ["key-2"]}]}
        site.platform.put("op/config", json.dumps(newer).encode())
        await site.wait_until(lambda: site.node.view.configuration.version == 9)
        assert (await site.call(b"GET", b"/safe/a", b"r1"))[0] == 401
        older = json.dumps(configuration).encode()
        site.platform.put("op/config", older)
        await trio.sleep(0.5)
        assert site.node.view.configuration.version == 9

    run_with(test)


def test_view_is_correct_after_a_compaction_of_the_history(run_with):
    """Guards against a view that keeps a removed server.

    The removal was compacted, so that no watch reports it.
    """

    async def test(site):
        site.platform.items.pop("servers/p0")
        site.platform.revision += 1
        site.platform.compact_history()
        await site.wait_until(lambda: "p0" not in site.node.view.servers)

    run_with(test)


def test_leaving_server_gets_no_requests(run_with):
    async def test(site):
        server = site.platform.servers[0]
        server.state = "draining"
        site.platform.register(server)
        await site.wait_until(lambda: site.node.view.servers["p0"].leaving)
        for number in range(6):
            await site.call(b"GET", b"/safe/a", b"r%d" % number)
        assert not server.runs

    run_with(test)


def test_keys_are_refused_and_node_is_not_ready_when_the_view_is_too_old(run_with):
    """Without the store a revoked key is not noticed: all are refused after ``bounds.revoke_s``."""

    async def test(site):
        assert await site.read_readiness() == 200
        site.platform.outage_status = 503
        with trio.fail_after(6):
            while (await site.call(b"GET", b"/safe/a", b"r1"))[0] != 503:
                await trio.sleep(0.1)
        assert await site.read_readiness() == 503
        status, header, _ = await site.call(b"GET", b"/safe/a", b"r2")
        assert float(header[b"retry-after"]) < 0.1
        site.platform.outage_status = None
        with trio.fail_after(5):
            while (await site.call(b"GET", b"/safe/a", b"r3"))[0] != 200:
                await trio.sleep(0.1)

    run_with(test)


def test_servers_whose_lease_expires_during_an_outage_get_time_to_return(run_with):
    async def test(site):
        site.platform.outage_status = 503
        await trio.sleep(1.9)  # above 1.5 heartbeats, the least silence that may expire an entry
        site.platform.delete("servers/p0")
        site.platform.outage_status = None
        await trio.sleep(1.2)
        assert "p0" in site.node.view.servers
        await site.wait_until(lambda: "p0" not in site.node.view.servers)

    run_with(test)


def test_malformed_server_entries_are_ignored(run_with):
    async def test(site):
        entries = [b"\xff\x00", b"[]", b'{"service": 7}', b'{"service":"plain","state":"odd"}']
        for number, value in enumerate(entries):
            site.platform.put(f"servers/g{number}", value)
        await trio.sleep(0.6)
        assert not [s for s in site.node.view.servers if s.startswith("g")]
        assert (await site.call(b"GET", b"/safe/a", b"r1"))[0] == 200

    run_with(test)


def test_request_long_after_the_stop_signal_is_refused(run_with, monkeypatch):
    """Guards against accepting a stream late after SIGTERM.

    A stream accepted 4.5 s after SIGTERM was cut at the end of the grace period.
    """
    monkeypatch.setattr("basilwinch.entry.node._ACCEPT_AFTER_STOP_S", 0.3)

    async def test(site):
        kept = await connect("127.0.0.1", site.settings.front.port, 1.0)
        site.nursery.start_soon(site.node._drain)
        await trio.sleep(0.1)
        assert (await site.call(b"GET", b"/safe/a", b"r1"))[0] == 200
        assert await site.read_readiness() == 503
        late = await connect("127.0.0.1", site.settings.front.port, 1.0)
        await trio.sleep(0.4)
        header = [(b"Host", b"h.example"), (b"X-Request-Id", b"r2"), (b"X-Credential", b"key-1")]
        await late.send(b"GET", b"/safe/a", header, b"")
        response = await late.receive_head()
        assert response.status_code == 503
        assert b"r2" not in _runs(site, "plain")
        with pytest.raises(ServerError):
            await connect("127.0.0.1", site.settings.front.port, 1.0)
        kept.close()

    run_with(test)


def test_connection_accepted_last_before_the_drain_is_served(run_with, monkeypatch):
    """Guards against a request of a connection that was accepted at the end of the time for that,
    and cut off because its task had not started when the node looked for open connections."""
    monkeypatch.setattr("basilwinch.entry.node._ACCEPT_AFTER_STOP_S", 0.1)

    async def test(site):
        node, answered = site.node, []

        async def serve():
            node._connections.add(serve)
            await trio.sleep(0.2)
            answered.append(True)
            node._connections.discard(serve)

        class Acceptor:
            def cancel(self):
                site.nursery.start_soon(serve)

        node._front_scope = Acceptor()
        await node._drain()
        assert answered

    run_with(test)


def test_request_that_may_have_run_is_never_reported_as_not_run(run_with):
    """Guards against a 503, which means not run, after an attempt that may have run.

    The 503 was sent when one attempt failed and the next server was full.
    """

    async def test(site):
        for number, faults in enumerate((["reset", "full"], ["full", "reset"])):
            site.platform.servers[0].faults = faults[:1]
            site.platform.servers[1].faults = faults[1:]
            before = len(_runs(site, "plain"))
            status, _, _ = await site.call(b"GET", b"/safe/a", b"r%d" % number)
            if len(_runs(site, "plain")) > before:
                assert status not in (408, 421, 429, 503)

    run_with(test)


def _is_complete(status: int, body: bytes) -> bool:
    return status == 200 and body == b"".join(b"id: %d\ndata: token\n\n" % n for n in range(1, 7))


def test_slow_stream_is_kept_when_the_retry_budget_is_spent(run_with, monkeypatch):
    """Guards against giving up a slow chain when the retry budget is spent.

    The chain was given up after 1 s, and the rest of the stream was lost.
    """
    monkeypatch.setattr("basilwinch.forward.budget.RetryBudget.take", lambda *_: False)

    async def test(site):
        for server in site.platform.servers:
            server.faults = ["pause"]
        tokens = [(b"X-Token-Count", b"100,18")]
        status, _, body = await site.call(
            b"POST", b"/s/a", b"r1", b"{}", headers=tokens, deadline_ms=3000
        )
        assert _is_complete(status, body)

    run_with(test)


def test_slow_stream_resumes_at_another_chain(run_with):
    async def test(site):
        heads = [s for s in site.platform.servers if s.layers and s.layers[0] == 0]
        heads[0].faults, heads[1].faults = ["pause"], ["pause"]
        tokens = [(b"X-Token-Count", b"100,18")]
        start = trio.current_time()
        status, _, body = await site.call(
            b"POST", b"/s/a", b"r1", b"{}", headers=tokens, deadline_ms=3000
        )
        assert _is_complete(status, body)
        assert trio.current_time() - start < 1.4
        assert sorted(len(s.runs) for s in heads) == [1, 1]

    run_with(test)


def test_stalled_stream_that_sends_single_bytes_resumes_at_another_chain(run_with):
    """Guards against a server that has stalled and is kept, as it sends a byte now and then."""

    async def test(site):
        heads = [s for s in site.platform.servers if s.layers and s.layers[0] == 0]
        for head in heads:
            head.faults = ["trickle"]
        answers = []

        async def send():
            tokens = [(b"X-Token-Count", b"100,18")]
            answers.append(
                await site.call(b"POST", b"/s/a", b"r1", b"{}", headers=tokens, deadline_ms=4000)
            )

        with trio.fail_after(2.0):  # the caller would have left
            async with trio.open_nursery() as callers:
                callers.start_soon(send)
                await site.wait_until(lambda: any(head.runs for head in heads))
                for head in heads:
                    head.faults.clear()
        status, _, body = answers[0]
        assert _is_complete(status, body)
        assert sorted(len(head.runs) for head in heads) == [1, 1]

    run_with(test)


def test_events_before_one_at_fault_reach_the_caller(run_with):
    """Guards against a gap in a stream that resumes after events that were never sent on."""

    async def test(site):
        heads = [s for s in site.platform.servers if s.layers and s.layers[0] == 0]
        for head in heads:
            head.faults = ["nameless"]
        tokens = [(b"X-Token-Count", b"100,18")]
        status, _, body = await site.call(b"POST", b"/s/a", b"r1", b"{}", headers=tokens)
        assert _is_complete(status, body)

    run_with(test)


def test_stream_moves_from_a_chain_with_a_crashed_member_before_it_is_late(run_with):
    """Guards against slow detection of a crashed member.

    The report of the chain's first server showed the dead member only after 300 ms; a gap of 250 ms
    counts as a late stream.
    """

    async def test(site):
        heads = [s for s in site.platform.servers if s.layers and s.layers[0] == 0]
        tails = [s for s in site.platform.servers if s.layers and s.layers[0] == 4]
        for head in heads:
            head.faults = ["pause"]
        first = []

        async def crash_other_member():
            await site.wait_until(lambda: any(head.runs for head in heads))
            first.extend(head for head in heads if head.runs)
            hops = first[0].headers[0][b"x-hop-count"].decode()
            next(t for t in tails if f":{t.port}=" in hops).crash()
            for head in heads:
                head.faults = []

        site.nursery.start_soon(crash_other_member)
        tokens = [(b"X-Token-Count", b"100,18")]
        start = trio.current_time()
        status, _, body = await site.call(
            b"POST", b"/s/a", b"r1", b"{}", headers=tokens, deadline_ms=3000
        )
        assert _is_complete(status, body)
        assert trio.current_time() - start < 0.5
        assert sum(len(head.runs) for head in heads) == 2

    run_with(test)


def test_late_stream_is_counted_by_the_objective_that_it_missed(run_with, configuration):
    configuration["routes"][2]["gap-target-ms"] = 250

    async def test(site):
        heads = [s for s in site.platform.servers if s.layers and s.layers[0] == 0]
        tokens = [(b"X-Token-Count", b"100,18")]
        await site.call(b"POST", b"/s/a", b"r1", b"{}", headers=tokens)
        assert b'late_streams_total{objective="gap"}' not in site.node.metrics.render()
        for server in heads:
            server.faults = ["pause"]
        await site.call(b"POST", b"/s/a", b"r2", b"{}", headers=tokens, deadline_ms=3000)
        # The node updates its metrics after the caller has received the response.
        render = site.node.metrics.render
        await site.wait_until(lambda: b'late_streams_total{objective="gap"} 1.0' in render())
        assert b"first_event_seconds_count 2.0" in render()

    run_with(test)
