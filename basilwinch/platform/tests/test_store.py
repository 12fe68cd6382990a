"""Tests of the client of the store while the store is restored."""

import base64
import contextlib
import json

import pytest
import trio

from basilwinch.exception import (
    HISTORY_FORKED,
    PLATFORM_AMBIGUOUS,
    PLATFORM_UNAVAILABLE,
    PlatformError,
)
from basilwinch.platform import MetadataStore
from basilwinch.platform.tests.standin import StandinPlatform
from basilwinch.standin.malformed import list_malformed
from basilwinch.store import Compare, KeyValue, Position
from basilwinch.wire import ConnectionPool


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


ITEM = {"key": "servers/i", "value": base64.b64encode(b"{}").decode(), "revision": 4, "lease": 2}
EVENTS = {"events": [ITEM, {"key": "a", "revision": 5, "deleted": True}], "as-of": 5}
CALLS = {
    "get": (ITEM, lambda client: client.get("servers/i")),
    "scan": (
        {"items": [ITEM], "more-pages": False, "as-of": 5},
        lambda client: client.scan_at(""),
    ),
    "position": ({"items": [], "as-of": 5}, lambda client: client.read_position()),
    "poll": (EVENTS, lambda client: client.poll("", Position(0, 3), 0.1)),
    "transact": ({"revision": 6}, lambda client: client.transact([], [])),
    "grant": ({"lease": 7, "ttl-ms": 4000}, lambda client: client.grant(4.0)),
    "keep_alive": ({"ttl-ms": 4000}, lambda client: client.keep_alive(7)),
    "revoke": ({}, lambda client: client.revoke(7)),
}


@pytest.mark.parametrize(("answer", "call"), CALLS.values(), ids=CALLS)
def test_malformed_answer_of_the_store_is_a_failure_of_the_call(monkeypatch, answer, call):
    """Guards against a node that ends because of an answer that lacks a field or can't be read."""
    client = MetadataStore("127.0.0.1", 1)
    bodies = iter([json.dumps(answer).encode(), *list_malformed(answer)])

    async def exchange(pool, address, request, max_body_bytes, fresh=False):
        return 200, {}, next(bodies)

    monkeypatch.setattr(ConnectionPool, "exchange", exchange)
    trio.run(call, client)
    for _ in range(bodies.__length_hint__()):
        with contextlib.suppress(PlatformError):
            trio.run(call, client)


@pytest.mark.parametrize("key", [r"servers/\ud800", r"\u0000"])
def test_key_or_value_of_another_writer_does_not_hide_the_other_items(monkeypatch, key):
    """Guards against a node that can read no key because one can't be decoded."""
    odd = f'{{"key": "{key}", "value": "?", "revision": 3}}'
    body = f'{{"items": [{odd}, {json.dumps(ITEM)}], "more-pages": false, "as-of": 5}}'.encode()

    async def exchange(pool, address, request, max_body_bytes, fresh=False):
        return 200, {}, body

    monkeypatch.setattr(ConnectionPool, "exchange", exchange)
    page, position = trio.run(MetadataStore("127.0.0.1", 1).scan_at, "")
    assert page.items[0].key.encode() and page.items[0].value == b""
    assert page.items[1] == KeyValue("servers/i", b"{}", 4, 2)
    assert position == Position(0, 5)


@pytest.mark.parametrize("status", [600, 999])
def test_invalid_status_of_the_store_says_nothing_of_a_write(run_client, status):
    """Guards against a write that is taken for refused, though it may be done."""

    async def test(platform, client):
        platform.outage_status = status
        with pytest.raises(PlatformError) as info:
            await client.transact([], [KeyValue("a", b"new", 0)])
        assert info.value.failure.kind is PLATFORM_AMBIGUOUS
        with pytest.raises(PlatformError) as info:
            await client.get("a")
        assert info.value.failure.kind is PLATFORM_UNAVAILABLE

    run_client(test)
