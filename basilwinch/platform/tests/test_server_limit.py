"""End-to-end tests of the limits that servers name in their answers."""

import trio

_LIMIT_PER_S = 4.0
_TOKENS = [(b"X-Token-Count", b"100,18")]


async def _send_steadily(site, method, path, count, interval_s, statuses, headers=()):
    """Send requests at a fixed rate, and collect status and Retry-After."""

    async def send(number):
        status, header, _ = await site.call(method, path, b"r%d" % number, b"", headers=headers)
        statuses.append((status, header.get(b"retry-after")))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(send, number)
            await trio.sleep(interval_s)


def _count_most(times, window_s) -> int:
    """Return the largest number of times within a window."""
    return max(sum(start <= at < start + window_s for at in times) for start in times)


def test_plain_server_gets_no_more_than_the_limit_that_it_names(run_with):
    """Guards against a server that gets all requests although it named a lower rate."""

    async def test(site):
        server = site.platform.servers[0]
        server.limit = b"%.1f" % _LIMIT_PER_S
        statuses = []
        await _send_steadily(site, b"GET", b"/safe/a", 80, 0.05, statuses)
        assert _count_most(server.run_times, 2.0) <= 1.5 * _LIMIT_PER_S * 2.0 + 5
        assert len(server.run_times) >= _LIMIT_PER_S * 4 * 0.7
        refused = [retry_after for status, retry_after in statuses if status != 200]
        assert {status for status, _ in statuses} == {200, 503}
        assert all(float(retry_after) > 0 for retry_after in refused)

    run_with(test, plain=1)


def test_head_of_a_chain_gets_no_more_than_the_limit_that_it_names(run_with):
    """Guards against streams that all go to the fastest chain, whatever its head takes."""

    async def test(site):
        heads = [s for s in site.platform.servers if s.layers and s.layers[0] == 0]
        for server in heads:
            server.limit = b"%.1f" % _LIMIT_PER_S
        statuses = []
        await _send_steadily(site, b"POST", b"/s/a", 90, 0.04, statuses, _TOKENS)
        for server in heads:
            assert _count_most(server.run_times, 2.0) <= 1.5 * _LIMIT_PER_S * 2.0 + 5
        assert sum(len(server.run_times) for server in heads) >= _LIMIT_PER_S * 2 * 3.6 * 0.7

    run_with(test)


def test_server_that_names_no_limit_any_more_gets_all_requests_again(run_with):
    """Guards against a limit that outlasts the need of its server."""

    async def test(site):
        server = site.platform.servers[0]
        server.limit = b"2"
        await _send_steadily(site, b"GET", b"/safe/a", 20, 0.05, [])
        server.limit = None
        await trio.sleep(1.0)
        assert (await site.call(b"GET", b"/safe/a", b"x1"))[0] == 200
        statuses = []
        await _send_steadily(site, b"GET", b"/safe/a", 20, 0.05, statuses)
        assert {status for status, _ in statuses} == {200}

    run_with(test, plain=1)
