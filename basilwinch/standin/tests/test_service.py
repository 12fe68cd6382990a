"""Tests of the plain stand-in services."""

import pytest
import trio
import trio.testing

from basilwinch.catalog import Server
from basilwinch.exception import SERVER_UNREACHABLE, STREAM_LOST, ServerError
from basilwinch.server import ServiceCall
from basilwinch.standin import DirectClient, PlainServices

SERVER = Server("p1", "10.0.0.9:80", "z1", "r1", service="depozit")
RELEASE = ServiceCall("POST", "/release/7", ((b"Idempotency-Key", b"k1"),), b"{}")


def test_log_has_exactly_the_calls_that_ran():
    """Guards against a lost reply whose call did not run, or a refused call that ran."""

    async def main():
        services = PlainServices(["p1"])
        client = DirectClient(services=services)

        async def outcome():
            try:
                return (await client.call(SERVER, RELEASE)).status
            except ServerError as error:
                return error.failure.kind

        assert await outcome() == 200
        services.lose_replies("p1", 1)
        assert await outcome() is STREAM_LOST
        assert len(services.find_runs("k1")) == 2
        services.delay("p1", before_s=1)
        async with trio.open_nursery() as nursery:

            async def kill():
                await trio.sleep(0.5)
                services.kill("p1")

            nursery.start_soon(kill)
            assert await outcome() is STREAM_LOST
        assert await outcome() is SERVER_UNREACHABLE
        assert len(services.log) == 2
        services.revive("p1")
        reply = await client.call(SERVER, ServiceCall("GET", "/release/7"))
        assert reply.body == b"{}"

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_unknown_server_is_unreachable():
    """Guards against a call to an unknown server that seems to have been sent."""

    async def main():
        with pytest.raises(ServerError):
            await DirectClient(services=PlainServices([])).call(SERVER, RELEASE)

    trio.run(main)
