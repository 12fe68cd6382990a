"""Tests of the client of the store while the store is restored."""

import pytest
import trio

from basilwinch.exception import HISTORY_FORKED, PLATFORM_AMBIGUOUS, PlatformError
from basilwinch.platform import MetadataStore
from basilwinch.platform.tests.standin import StandinPlatform
from basilwinch.store import Compare, KeyValue


@pytest.fixture
def run_client():
    """Return a function that runs an async test with a store and a client."""

    def run(test):
        async def main():
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    platform = StandinPlatform({})
                    await platform.start(nursery)
                    await test(platform, MetadataStore("127.0.0.1", platform.port))
                    nursery.cancel_scope.cancel()

        trio.run(main)

    return run


def test_write_on_a_revision_that_was_given_out_again_is_not_taken_for_done(run_client):
    """Guards against a conditional write that hits another value than the one it was meant for."""

    async def test(platform, client):
        copy = platform.copy()
        platform.put("a", b"old")
        item = await client.get("a")
        platform.restore(copy)
        platform.put("a", b"of another node")
        with pytest.raises(PlatformError) as info:
            await client.transact([Compare("a", item.mod_revision)], [KeyValue("a", b"new", 0)])
        assert info.value.failure.kind is PLATFORM_AMBIGUOUS
        assert client.history.number == 1

    run_client(test)


def test_watch_from_an_earlier_history_fails_though_the_store_has_the_revision(run_client):
    """Guards against a watch that skips what was written under revisions given out again."""

    async def test(platform, client):
        copy = platform.copy()
        platform.put("a", b"1")
        position = await client.read_position()
        platform.restore(copy)
        for _ in range(5):
            platform.put("b", b"1")
        for _ in range(2):
            with pytest.raises(PlatformError) as info:
                await client.poll("", position, 0.1)
            assert info.value.failure.kind is HISTORY_FORKED
        changes = await client.poll("", await client.read_position(), 0.1)
        assert changes.events == []

    run_client(test)


def test_watch_that_waits_during_the_restore_fails(run_client):
    async def test(platform, client):
        copy = platform.copy()
        platform.put("a", b"1")
        position = await client.read_position()

        async def restore():
            await trio.sleep(0.1)
            platform.restore(copy)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(restore)
            with pytest.raises(PlatformError) as info:
                await client.poll("", position, 5.0)
        assert info.value.failure.kind is HISTORY_FORKED

    run_client(test)
