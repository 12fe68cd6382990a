"""End-to-end tests of nodes that have lost their links to all servers."""

import pytest
import trio

from basilwinch.exception import ServerError
from basilwinch.platform.tests.conftest import HOSTS

STREAM_BODY = b"".join(b"id: %d\ndata: token\n\n" % number for number in range(1, 7))


async def send_all_kinds(site, prefix: bytes) -> list:
    """Send a request of each kind; return statuses and bodies."""
    answers = [await site.call(b"GET", b"/safe/a", prefix + b"-safe")]
    answers.append(await site.call(b"POST", b"/unsafe/a", prefix + b"-unsafe", b"order"))
    headers = [(b"X-Token-Count", b"50,18")]
    answers.append(await site.call(b"POST", b"/s/a", prefix + b"-s", b"body", headers=headers))
    return [(status, body) for status, _, body in answers]


@pytest.mark.parametrize("how", ["hang", "reset", "refuse"])
def test_callers_of_a_node_without_links_are_served_through_another(run_fleet, how):
    """Guards against callers that are served far worse because of where they connect."""

    async def test(fleet):
        await fleet.cut([0], how)
        for number in range(4):
            answers = await send_all_kinds(fleet.sites[0], b"r%d" % number)
            assert [status for status, _ in answers] == [200] * 3
            assert answers[2][1] == STREAM_BODY
            assert fleet.count_runs(b"r%d-unsafe" % number) == 1
        assert await fleet.sites[0].read_readiness() == 200
        assert any(site.node._tunnels.count_tunnels() for site in fleet.sites[1:])
        assert b"basilwinch_disconnected 1.0" in fleet.sites[0].node.metrics.render()
        assert b"basilwinch_disconnected 0.0" in fleet.sites[1].node.metrics.render()
        await fleet.heal([0])
        assert [s for s, _ in await send_all_kinds(fleet.sites[0], b"back")] == [200] * 3

    run_fleet(test)


def test_carried_request_is_decided_once_and_counts_only_at_its_node(run_fleet):
    """Guards against budgets, limits and keys that two nodes apply to one request."""

    async def test(fleet):
        await fleet.cut([0], "refuse")
        answers = await send_all_kinds(fleet.sites[0], b"r")
        assert [status for status, _ in answers] == [200] * 3
        runs = [h for s in fleet.platform.servers for h in s.headers]
        assert len(runs) == 3
        for header in runs:
            assert header[b"x-tenant"] == b"org"
            assert b"x-credential" not in header
            assert 0 < int(header[b"x-deadline-ms"]) <= 1500
        counts = [b"basilwinch_requests_total{" in s.node.metrics.render() for s in fleet.sites]
        assert counts == [True, False, False]
        status, _, _ = await fleet.sites[0].call(b"GET", b"/safe/a", b"r9", key="unknown")
        assert status == 401

    run_fleet(test)


def test_most_nodes_without_links_are_carried_by_the_one_that_has_them(run_fleet):
    """Guards against tunnels through nodes that have lost their links, too, and in a circle."""

    async def test(fleet):
        await fleet.cut([0, 1], "refuse")
        for number in range(3):
            for site in fleet.sites:
                answers = await send_all_kinds(
                    site, b"%s-%d" % (site.settings.name.encode(), number)
                )
                assert [status for status, _ in answers] == [200] * 3
        assert not any(site.node._tunnels.count_tunnels() for site in fleet.sites[:2])

    run_fleet(test)


def test_callers_are_refused_at_once_while_no_node_has_links(run_fleet):
    """Guards against requests that wait for their deadline, and nodes that all leave rotation."""

    async def test(fleet):
        await fleet.cut([0, 1, 2], "hang")
        await trio.sleep(0.5)  # reports of the others
        for site in fleet.sites:
            start = trio.current_time()
            status, header, _ = await site.call(b"GET", b"/safe/a", b"r")
            assert status == 503 and float(header[b"retry-after"]) >= 0.5
            assert trio.current_time() - start < 0.2
            assert await site.read_readiness() == 200
        await fleet.heal([0, 1, 2])
        assert (await fleet.sites[0].call(b"GET", b"/safe/a", b"r2"))[0] == 200

    run_fleet(test)


def test_node_that_reaches_neither_servers_nor_nodes_leaves_the_rotation(run_fleet):
    """Guards against callers that keep coming to a node that can only refuse them."""

    async def test(fleet):
        site = fleet.sites[0]
        for name in ("node-1", "node-2"):
            site.node._carriers.remove(name)
            site.node._carriers.add(name, "127.0.0.49", "z0")
        await fleet.cut([0], "refuse")
        await site.call(b"GET", b"/safe/a", b"r")
        status, header, _ = await site.call(b"GET", b"/safe/a", b"r2")
        assert status == 503 and float(header[b"retry-after"]) < 0.1
        assert await site.read_readiness() == 503

    run_fleet(test)


def test_node_without_links_accuses_no_request_and_no_server(run_fleet):
    """Guards against requests that all nodes refuse because one node lost its links."""

    async def test(fleet):
        site = fleet.sites[0]
        async with trio.open_nursery() as callers:

            async def send(number):
                headers = [
                    (b"X-Token-Count", b"50,18"),
                    (b"X-Prompt-Prefix", b"f1:9,e%d:9" % number),
                ]
                try:
                    await site.call(
                        b"POST", b"/s/a", b"c%d" % number, b"%d" % number, headers=headers
                    )
                except ServerError:
                    return

            for number in range(20):
                callers.start_soon(send, number)
            await trio.sleep(0.03)
            await fleet.cut([0], "reset")
        now = trio.current_time()
        for other in fleet.sites:
            strikes = [e for e in other.node._suspects.list_entries(now) if e.strikes]
            assert strikes == []
            assert not any(other.node.load.is_suspect(s.id) for s in fleet.platform.servers)

    run_fleet(test)


def test_crash_under_a_carried_request_is_attributed_once(run_fleet):
    """Guards against a crashing request that goes free at a node without links."""

    async def test(fleet):
        await fleet.cut([0], "refuse")
        await trio.sleep(0.6)  # refusals from right after the loss of links accuse nobody
        for server in fleet.platform.servers:
            server.crashing_parts = {b"dead0001"}
        headers = [(b"X-Token-Count", b"50,18"), (b"X-Prompt-Prefix", b"dead0001:9,e1:9")]
        site = fleet.sites[0]
        status, _, _ = await site.call(b"POST", b"/s/a", b"r1", b"body", headers=headers)
        assert status == 502
        crashed = [server.id for server in fleet.platform.servers if server.has_crashed]
        entries = site.node._suspects.list_entries(trio.current_time())
        struck = [strike.server for e in entries for strike in e.strikes if e.digest[:5] != "part:"]
        assert crashed and sorted(struck) == sorted(crashed)

    run_fleet(test)


def test_stream_goes_on_when_its_carrier_ends(run_fleet):
    """Guards against a stream that ends with the node that carries it, or loses events."""

    async def test(fleet):
        await fleet.cut([0], "refuse")
        site = fleet.sites[0]
        site.node._carriers.remove("node-2")
        for server in fleet.platform.servers:
            server.faults = ["pause"] if server.kind else []
        answers = []

        async def send():
            headers = [(b"X-Token-Count", b"50,18")]
            answers.append(
                await site.call(b"POST", b"/s/a", b"r", b"body", headers=headers, deadline_ms=3000)
            )

        async with trio.open_nursery() as callers:
            callers.start_soon(send)
            await site.wait_until(lambda: fleet.sites[1].node._tunnels.count_tunnels())
            await trio.sleep(0.1)
            site.node._carriers.add("node-2", HOSTS[2], "z0")
            fleet.scopes[1].cancel()
        status, _, body = answers[0]
        assert (status, body) == (200, STREAM_BODY)

    run_fleet(test)
