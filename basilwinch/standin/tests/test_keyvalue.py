"""Tests of the in-memory key-value store and VM list."""

import pytest
import trio
import trio.testing

from basilwinch.exception import BasilwinchError
from basilwinch.standin import LaggingVmList, MemoryKeyValueStore
from basilwinch.store import Compare, KeyValue


def run(main):
    """Run an async function on a virtual clock."""
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def put(key, value=b"x", lease=0):
    """Return a key-value pair to write."""
    return KeyValue(key, value, 0, lease)


async def code_of(call):
    """Return the failure code that an awaitable raises."""
    with pytest.raises(BasilwinchError) as caught:
        await call
    return caught.value.failure.code


def test_only_one_of_two_writers_with_the_same_revision_succeeds():
    """Guards against lost updates."""

    async def main():
        store = MemoryKeyValueStore()
        first = await store.transact([Compare("a", 0)], [put("a", b"1"), put("b")])
        second = await store.transact([Compare("a", 0)], [put("a", b"2")])
        assert (first.succeeded, second.succeeded) == (True, False)
        found = await store.get("a")
        assert (found.value, found.mod_revision) == (b"1", first.revision)
        page = await store.scan("", 1)
        assert ([item.key for item in page.items], page.more) == (["a"], True)
        page = await store.scan("", 1, after="a")
        assert ([item.key for item in page.items], page.more) == (["b"], False)

    run(main)


def test_an_expired_lease_deletes_its_keys_and_wakes_watches():
    """Guards against keys that outlive the lease of a dead holder."""

    async def main():
        store = MemoryKeyValueStore()
        async with store.watch("k/") as events:
            lease = (await store.grant(5)).lease
            await store.transact([], [put("k/a", b"1", lease)])
            assert (await anext(events)).value == b"1"
            start = trio.current_time()
            assert (await anext(events)).value is None
            assert trio.current_time() - start < 5
        assert await code_of(store.keep_alive(lease)) == "lease_lost"
        assert await code_of(store.transact([], [put("k/b", b"", lease)])) == "lease_lost"

    run(main)


def test_failures_tell_refused_from_ambiguous_writes():
    """Guards against a simulation without ambiguous writes, outages or restores of the platform."""

    async def main():
        store = MemoryKeyValueStore()
        saved = store.snapshot()
        store.lose_answers(1)
        assert await code_of(store.transact([], [put("a")])) == "platform_ambiguous"
        assert await store.get("a")
        store.lose_requests(1)
        assert await code_of(store.transact([], [put("b")])) == "platform_ambiguous"
        assert await store.get("b") is None
        store.down()
        assert await code_of(store.transact([], [put("b")])) == "platform_unavailable"
        store.up()
        async with store.watch("", 2) as events:
            assert (await anext(events)).key == "a"
            store.restore(saved)
            assert await code_of(anext(events)) == "platform_unavailable"
        assert await store.get("a") is None
        assert await code_of(store.transact([], [put("b", bytes(1_000_001))])) == "platform_refused"
        assert store.calls["watch"] == 1 and store.open_watches == 0

    run(main)


def test_vm_list_shows_changes_after_the_lag():
    """Guards against a simulated VM list that is always current, unlike the real one."""

    async def main():
        vms = LaggingVmList(lag_s=30)
        vms.set("a", "10.0.0.1")
        assert await vms.snapshot() == []
        await trio.sleep(30)
        assert [entry.name for entry in await vms.snapshot()] == ["a"]

    run(main)
