"""Tests of the watcher when the store is restored from an older copy."""

import random

import trio
import trio.testing

from basilwinch.view import View
from basilwinch.view.tests.standin import Store, make_source
from basilwinch.view.timing import WatchTiming
from basilwinch.view.watcher import StoreWatcher

_SERVERS = 1000
_FLEET_NODES = 490
_STORE_READS_PER_S = 2000

TIMING = WatchTiming.from_bounds(2.0, 3.0, 1.2)


def _run(test, seed=1):
    """Run an async test with a store, its view and the watcher, on a virtual clock."""

    async def main():
        store, view = Store(), View()
        store.put("op/config", b"5")
        for number in range(_SERVERS):
            store.put(f"servers/s{number}")
        watcher = StoreWatcher(
            make_source(store), view, random.Random(seed), trio.current_time, TIMING
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await trio.sleep(0.1)
            await test(store, view, watcher)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_large_fleet_reads_the_configuration_at_once_and_all_keys_in_turn():
    """Guards against a fleet that exceeds the store's rate of reads after a restore."""
    delays = []

    async def test(store, view, watcher):
        watcher.set_nodes(_FLEET_NODES, _FLEET_NODES)
        copy = store.copy()
        await trio.sleep(3.0)
        store.scans.clear()
        store.restore(copy)
        store.put("op/config", b"9")
        restored_at = trio.current_time()
        await trio.sleep(8.0)
        assert view.configuration.version == 9
        (at,) = [at for prefix, at in store.scans if not prefix]
        (configuration_at,) = [at for prefix, at in store.scans if prefix == "op/config"]
        assert configuration_at - restored_at < 0.1
        delays.append(at - configuration_at)

    for seed in range(20):
        _run(test, seed)
    pages = 1 + _SERVERS // 500
    assert max(delays) < 2 * _FLEET_NODES * pages / _STORE_READS_PER_S
    assert sum(delays) / len(delays) > 0.4 * _FLEET_NODES * pages / _STORE_READS_PER_S


def test_keys_that_are_not_written_again_are_dropped_later():
    """Guards against peers that are forgotten at once, so that each node takes all of a shared
    budget, and against peers that are never forgotten."""

    async def test(store, view, watcher):
        changes = []
        watcher.node_keys.on_key = lambda key, value, revision: changes.append((key, value))
        copy = store.copy()
        store.put("basilwinch/nodes/n1")
        store.put("basilwinch/nodes/n2")
        await trio.sleep(1.0)
        store.restore(copy)
        await trio.sleep(2.0)
        store.put("basilwinch/nodes/n1")
        await trio.sleep(8.0)
        assert all(value is not None for _, value in changes)
        await trio.sleep(5.0)
        assert [key for key, value in changes if value is None] == ["basilwinch/nodes/n2"]

    _run(test)


def test_keys_that_are_gone_without_an_event_are_dropped():
    """Guards against a peer whose registration ended in a part of the history that was dropped."""

    async def test(store, view, watcher):
        changes = []
        watcher.node_keys.on_key = lambda key, value, revision: changes.append((key, value))
        store.put("basilwinch/nodes/n1")
        await trio.sleep(1.0)
        store.silent = True
        store.delete("basilwinch/nodes/n1")
        store.compact()
        await trio.sleep(3.0)
        assert changes[-1] == ("basilwinch/nodes/n1", None)

    _run(test)


def test_restore_during_an_outage_and_another_one_are_followed():
    """Guards against a read after the first restore that ends what the second one began."""

    async def test(store, view, watcher):
        copy = store.copy()
        for number in range(6):
            store.down = number % 2 == 0
            await trio.sleep(0.05 * number)
            store.restore(copy)
            store.down = False
            await trio.sleep(0.01 * number)
            store.restore(copy)
            version = 20 + number
            store.put("op/config", b"%d" % version)
            await trio.sleep(2.5)
            assert view.configuration.version == version
            assert view.age(trio.current_time()) < 2.0

    _run(test)
