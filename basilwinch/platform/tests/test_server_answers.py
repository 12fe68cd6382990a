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


INVALID_STATUSES = ["000", "099", "101", "600", "700", "999"]


async def expect_no_answer(site, method, path) -> None:
    """Send a request; the answer must say that the outcome is not known, and be no server's."""
    status, headers, _ = await site.call(method, path, b"r" + path, headers=TOKENS)
    assert status == 502
    assert b"x-server-stamp" not in headers


def give_faults(site, kind, *faults) -> list:
    """Let all servers of a kind have the same faults; return the servers."""
    servers = [server for server in site.platform.servers if server.kind == kind]
    for server in servers:
        server.faults = list(faults)
    return servers


@pytest.mark.parametrize("code", INVALID_STATUSES)
def test_answer_with_an_invalid_status_is_no_answer(run_with, code):
    """Guards against a status outside 100 to 599 that reaches a caller (MIXED)."""

    async def test(site):
        plain = give_faults(site, None, f"status {code}")
        await expect_no_answer(site, b"POST", b"/unsafe/a")
        assert sum(len(server.runs) for server in plain) == 1
        give_faults(site, None, f"status {code}")
        await expect_no_answer(site, b"GET", b"/safe/a")
        plain[0].faults, plain[1].faults = [f"status {code}"] * 20, []
        assert await send_many(site, b"GET", b"/safe/b", 10) == [200] * 10

    run_with(test)


@pytest.mark.parametrize("earlier", [[], ["cut"]], ids=["first", "resumed"])
@pytest.mark.parametrize("code", INVALID_STATUSES)
def test_stream_goes_on_elsewhere_after_an_invalid_status(run_with, configuration, code, earlier):
    """Guards against a stream that begins with such a status, or is resumed from one (MIXED)."""
    configuration["routes"][2]["max-attempts"] = 3

    async def test(site):
        faults = [*earlier, f"status {code}"]  # the first servers that are asked have them
        for server in give_faults(site, "card"):
            server.faults = faults
        status, headers, body = await site.call(b"POST", b"/s/a", b"r1", headers=TOKENS)
        assert (status, faults) == (200, [])
        assert b"x-server-stamp" in headers
        assert body == b"".join(b"id: %d\ndata: token\n\n" % number for number in range(1, 7))

    run_with(test, chains=3)


@pytest.mark.parametrize("code", INVALID_STATUSES)
def test_stream_with_invalid_statuses_only_is_no_answer(run_with, code):
    """Guards against such a status of the last attempt at a stream (MIXED)."""

    async def test(site):
        give_faults(site, "card", *[f"status {code}"] * 5)
        await expect_no_answer(site, b"POST", b"/s/a")

    run_with(test)


@pytest.mark.parametrize("code", ["000", "700"])
def test_carried_answer_with_an_invalid_status_is_no_answer(run_fleet, code):
    """Guards against such a status that reaches a caller through a carrier (MIXED)."""

    async def test(fleet):
        await fleet.cut([0], "refuse")
        site = fleet.sites[0]
        give_faults(site, None, f"status {code}")
        await expect_no_answer(site, b"POST", b"/unsafe/a")
        assert fleet.count_runs(b"r/unsafe/a") == 1
        give_faults(site, None)
        assert await send_many(site, b"GET", b"/safe/b", 3) == [200] * 3

    run_fleet(test)
