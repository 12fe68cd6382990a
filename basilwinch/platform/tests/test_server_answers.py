"""End-to-end tests of what servers ask for in the headers of their answers."""

import pytest
import trio

TOKENS = [(b"X-Token-Count", b"50,18")]


async def send_many(site, method, path, count, headers=()):
    """Send requests one after another; return their statuses."""
    statuses = []
    for number in range(count):
        request_id = b"%s-%d-%d" % (path, number, len(site.platform.servers))
        statuses.append((await site.call(method, path, request_id, headers=headers))[0])
    return statuses


@pytest.mark.parametrize(("method", "path"), [(b"GET", b"/safe/a"), (b"POST", b"/s/a")])
def test_server_that_says_it_is_leaving_gets_no_more_requests(run_with, method, path):
    """Guards against requests to a server that stops before its entry says so."""

    async def test(site):
        await send_many(site, method, path, 1, TOKENS)
        server = next(s for s in site.platform.servers if s.runs)
        server.names_leaving = True
        while len(server.runs) < 2:
            await send_many(site, method, path, 1, TOKENS)
        assert await send_many(site, method, path, 10, TOKENS) == [200] * 10
        site.platform.register(server)
        await trio.sleep(0.2)
        assert await send_many(site, method, path, 10, TOKENS) == [200] * 10
        assert len(server.runs) == 2

    run_with(test)


def test_server_that_has_started_again_gets_requests_again(run_with):
    """Guards against a server that is left out for good because it once said that it leaves."""

    async def test(site):
        server = site.platform.servers[0]
        server.names_leaving = True
        await send_many(site, b"GET", b"/safe/a", 1)
        await send_many(site, b"GET", b"/safe/a", 5)
        assert len(server.runs) == 1
        server.names_leaving, server.born = False, 2
        site.platform.register(server)
        await site.wait_until(lambda: not site.node.view.servers[server.id].leaving)
        await send_many(site, b"GET", b"/safe/a", 2)
        assert len(server.runs) == 3

    run_with(test, plain=1)


@pytest.mark.parametrize(
    ("method", "path", "kind"), [(b"GET", b"/safe/a", None), (b"POST", b"/s/a", "card")]
)
def test_server_that_names_a_time_to_wait_gets_no_request_until_then(run_with, method, path, kind):
    """Guards against requests that a full server turns away again and again."""

    async def test(site):
        servers = [s for s in site.platform.servers if s.kind == kind]
        for server in servers:
            server.faults, server.retry_after = ["full"] * 50, b"3.0"
        statuses = await send_many(site, method, path, 8, TOKENS)
        assert set(statuses) == {503}
        asked = [server for server in servers if server.refused_at]
        assert asked and all(len(server.refused_at) == 1 for server in asked)
        for server in servers:
            server.faults = []
        await trio.sleep(3.1)
        assert await send_many(site, method, path, 3, TOKENS) == [200] * 3

    run_with(test)


@pytest.mark.parametrize("digits", [b"9" * 400, b"9" * 5000, b"\xb2", b"-1", b"1e999"])
@pytest.mark.parametrize(("method", "path"), [(b"GET", b"/safe/a"), (b"POST", b"/s/a")])
def test_malformed_numbers_of_a_server_leave_its_answer_whole(run_with, digits, method, path):
    """Guards against an answer that is lost because of a number that no float or int can hold."""

    async def test(site):
        for server in site.platform.servers:
            server.extra_header = [
                (b"X-Server-Load", b"1,2," + digits),
                (b"Keep-Alive", b"timeout=" + digits),
                (b"Server-Limit", digits),
                (b"Retry-After", digits),
                (b"X-Weight-Versions", digits),
            ]
        assert await send_many(site, method, path, 6, TOKENS) == [200] * 6

    run_with(test)


@pytest.mark.parametrize("digits", [b"9" * 400, b"9" * 5000])
@pytest.mark.parametrize(("method", "path"), [(b"GET", b"/safe/a"), (b"POST", b"/s/a")])
def test_malformed_numbers_of_a_caller_do_not_end_its_connection(run_with, digits, method, path):
    """Guards against a request that is read and gets no answer at all."""
    names = (b"X-Deadline-Ms", b"X-Token-Count", b"X-Length-Hint", b"X-Prompt-Prefix")

    async def test(site):
        for name in names:
            value = b"5," + digits if name == b"X-Token-Count" else digits
            header = [(name, value)] + (TOKENS if name != b"X-Token-Count" else [])
            status, _, _ = await site.call(method, path, b"r-" + name, headers=header)
            assert status == 200

    run_with(test)


def test_long_number_of_the_last_event_does_not_end_the_connection(run_with):
    """Guards against a stream that is resumed and gets no answer at all."""

    async def test(site):
        for server in site.platform.servers:
            server.faults = ["nameless"]
        header = [*TOKENS, (b"Last-Event-Id", b"9" * 5000)]
        status, _, _ = await site.call(b"POST", b"/s/a", b"r", headers=header)
        assert status

    run_with(test)


def test_server_that_says_it_is_leaving_gets_none_after_its_entry_has_lapsed(run_with):
    """Guards against requests to a server that stops, because its entry came back meanwhile."""

    async def test(site):
        server, other = (s for s in site.platform.servers if s.kind is None)
        server.names_leaving = True
        while not server.runs:
            await send_many(site, b"GET", b"/safe/a", 1)
        site.platform.delete(f"servers/{server.id}")
        await site.wait_until(lambda: server.id not in site.node.view.servers)
        site.platform.register(server)
        await site.wait_until(lambda: server.id in site.node.view.servers)
        assert await send_many(site, b"GET", b"/safe/a", 10) == [200] * 10
        assert len(server.runs) == 1

    run_with(test)
