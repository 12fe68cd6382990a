"""Tests of the etcd client against the stand-in gateway on 127.0.0.1."""

from contextlib import asynccontextmanager

import hypercorn
import hypercorn.trio
import pytest
import trio

from basilwinch.exception import BasilwinchError
from basilwinch.standin import MemoryKeyValueStore
from basilwinch.standin.etcd import EtcdGateway
from basilwinch.store import Compare, KeyValue
from basilwinch.store.etcd import EtcdConfig, EtcdStore


@asynccontextmanager
async def serve(store, timeout_s=5.0, endpoints=()):
    """Serve a store and yield a client of it."""
    config = hypercorn.Config()
    config.bind = ["127.0.0.1:0"]
    config.errorlog = None
    async with trio.open_nursery() as nursery:
        stop = trio.Event()
        config.graceful_timeout = 0.1
        urls = await nursery.start(
            lambda task_status: hypercorn.trio.serve(
                EtcdGateway(store), config, shutdown_trigger=stop.wait, task_status=task_status
            )
        )
        async with EtcdStore.from_config(EtcdConfig((*endpoints, urls[0]), timeout_s)) as client:
            yield client
        stop.set()


async def code_of(call):
    """Return the failure code that an awaitable raises."""
    with pytest.raises(BasilwinchError) as caught:
        await call
    return caught.value.failure.code


def test_the_client_behaves_like_the_store_in_memory():
    """Guards against a client that deviates from the interface in any call."""

    async def main():
        store = MemoryKeyValueStore()
        # Nothing listens on the first endpoint, so the client must use the next one.
        async with serve(store, endpoints=("http://127.0.0.1:9",)) as client:
            assert await client.get("মডেল") is None
            grant = await client.grant(1.5)
            puts = [KeyValue("মডেল/ক", b"\x00\xff", 0, grant.lease), KeyValue("মডেল/খ", b"", 0)]
            first = await client.transact([Compare("মডেল/ক", 0)], puts)
            assert first.succeeded and first.revision == store.revision
            again = await client.transact([Compare("মডেল/ক", 0)], puts)
            assert not again.succeeded
            found = await client.get("মডেল/ক")
            assert found == KeyValue("মডেল/ক", b"\x00\xff", first.revision, grant.lease)
            for prefix in ("মডেল/", ""):
                page = await client.scan(prefix, 1)
                assert ([item.key for item in page.items], page.more) == (["মডেল/ক"], True)
                page = await client.scan(prefix, 1, after="মডেল/ক")
                assert ([item.key for item in page.items], page.more) == (["মডেল/খ"], False)
            assert (await client.keep_alive(grant.lease)).ttl_s == 2
            await client.revoke(grant.lease)
            assert await code_of(client.keep_alive(grant.lease)) == "lease_lost"
            await client.transact([], [], ["মডেল/খ"])
            assert await client.get("মডেল/ক") is None and await client.get("মডেল/খ") is None

    trio.run(main)


def test_a_watch_streams_past_and_new_events():
    """Guards against events lost between a read and the start of a watch."""

    async def main():
        store = MemoryKeyValueStore(max_retained_events=3)
        async with serve(store) as client:
            outcome = await client.transact([], [KeyValue("a/1", b"1", 0)])
            with trio.fail_after(5):
                async with client.watch("a/", outcome.revision) as events:
                    assert (await anext(events)).value == b"1"
                    await client.transact([], [KeyValue("b/1", b"", 0)], ["a/1"])
                    event = await anext(events)
                    assert (event.key, event.value) == ("a/1", None)
                    store.down()
                    assert await code_of(anext(events)) == "platform_unavailable"
            store.up()
            for number in range(4):
                await client.transact([], [KeyValue(f"a/{number}", b"", 0)])
            assert await code_of(_open(client.watch("a/", 2))) == "history_compacted"

    trio.run(main)


async def _open(watch):
    async with watch:
        pass


def test_failures_with_and_without_effect_are_distinguished():
    """Guards against retrying a write that took effect, and against needless ambiguity."""

    async def main():
        store = MemoryKeyValueStore()
        write = [KeyValue("a", b"1", 0)]
        async with serve(store, timeout_s=0.3) as client:
            store.lose_answers(1)
            assert await code_of(client.transact([], write)) == "platform_ambiguous"
            assert (await client.get("a")).value == b"1"
            store.slow(1)
            assert await code_of(client.transact([], write)) == "platform_ambiguous"
            assert await code_of(client.get("a")) == "platform_unavailable"
            store.slow(0)
            store.down()
            assert await code_of(client.transact([], write)) == "platform_unavailable"
            store.up()
            large = [KeyValue("a", bytes(1_000_001), 0)]
            assert await code_of(client.transact([], large)) == "platform_refused"
        config = EtcdConfig(("http://127.0.0.1:9",), 0.3)
        async with EtcdStore.from_config(config) as client:
            assert await code_of(client.transact([], write)) == "platform_unavailable"
            assert await code_of(_open(client.watch("a"))) == "platform_unavailable"

    trio.run(main)
