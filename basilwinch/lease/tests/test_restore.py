"""Tests of lease holders whose store is restored from an older copy and names its era."""

import random

import pytest
import trio
import trio.testing

from basilwinch.lease import LeaseConfig, LeaseHolder
from basilwinch.standin import MemoryKeyValueStore
from basilwinch.store import StoreHistory
from basilwinch.view.shared_watch import SharedWatchStore

TTL_S, MARGIN_S = 4.0, 1.0


class Client:
    """A node's client of a shared store, which sees a restore when told so."""

    def __init__(self, store):
        self._store = store
        self.history = StoreHistory()
        self.history.observe(1, 0)

    def __getattr__(self, name):
        return getattr(self._store, name)


class Fleet:
    """Holders that compete for one lease, with the fencing tokens of each."""

    def __init__(self, nodes: int, wrap):
        self.store = MemoryKeyValueStore()
        self.clients = [wrap(Client(self.store)) for _ in range(nodes)]
        config = [LeaseConfig("layout", f"n{n}", TTL_S, MARGIN_S, 0.0) for n in range(nodes)]
        self.holders = [
            LeaseHolder.from_config(config[n], self.clients[n], random.Random(n))
            for n in range(nodes)
        ]
        self.held: dict[int, object] = {}
        self.fences: list[int] = []

    async def run_task(self, node: int, held) -> None:
        self.held[node] = held
        self.fences.append(held.fence)
        await trio.sleep_forever()

    def list_valid(self) -> list[int]:
        """Return the nodes that may send orders now."""
        now = trio.current_time()
        return [n for n, held in self.held.items() if held.check(now) is None]

    async def watch_holders(self) -> None:
        while True:
            assert len(self.list_valid()) <= 1
            await trio.sleep(0.01)

    def restore(self, copy, era: int) -> None:
        self.store.restore(copy)
        for client in self.clients:
            client.history.observe(era, client.history.number)


@pytest.fixture
def run_fleet():
    """Return a function that runs an async test with holders on a virtual clock."""

    def run(test, nodes=3, wrap=lambda client: client):
        async def main():
            fleet = Fleet(nodes, wrap)
            async with trio.open_nursery() as nursery:
                for node, holder in enumerate(fleet.holders):
                    nursery.start_soon(
                        holder.run, lambda held, node=node: fleet.run_task(node, held)
                    )
                nursery.start_soon(fleet.watch_holders)
                await test(fleet)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return run


def test_lease_that_the_store_lost_is_held_by_one_node_at_a_time(run_fleet):
    """Guards against two layout controllers after a restore that has lost the lease."""

    async def test(fleet):
        copy = fleet.store.snapshot()
        for era in range(2, 8):
            await trio.sleep(7.0)
            assert len(fleet.list_valid()) == 1
            fleet.restore(copy, era)
            assert not fleet.list_valid()

    run_fleet(test)


def test_lease_that_the_store_still_has_is_kept(run_fleet):
    """Guards against seconds without a layout controller after each restore."""

    async def test(fleet):
        await trio.sleep(7.0)
        holder = fleet.list_valid()
        copy = fleet.store.snapshot()
        await trio.sleep(1.0)
        fleet.restore(copy, 2)
        await trio.sleep(0.3)
        assert fleet.list_valid() == holder
        await trio.sleep(20.0)
        assert fleet.list_valid() == holder
        assert len(fleet.fences) == 1

    run_fleet(test)


def test_fencing_tokens_rise_though_revisions_fall(run_fleet):
    """Guards against orders of an earlier holder that a server prefers, as their token is higher.

    The new holder has never heard of the earlier one.
    """

    async def test(fleet):
        copy = fleet.store.snapshot()
        for era in range(2, 6):
            for _ in range(50):
                await fleet.store.transact([], [])
            fleet.store.revision += 1000
            await trio.sleep(7.0)
            fleet.restore(copy, era)
        await trio.sleep(7.0)
        assert len(fleet.fences) == 5
        assert fleet.fences == sorted(set(fleet.fences))

    run_fleet(test)


def test_holder_that_notices_the_restore_late_overlaps_with_no_other(run_fleet):
    """Guards against a holder that is cut from the store while it loses its lease."""

    async def test(fleet):
        await trio.sleep(1.0)
        copy = fleet.store.snapshot()
        pairs = {k: v for k, v in copy[1].items() if not k.endswith("holder")}
        await trio.sleep(6.0)
        (holder,) = fleet.list_valid()
        late = fleet.clients[holder]

        late.keep_alive = late.get = late.revoke = _never
        fleet.store.restore((copy[0], pairs, {}))
        for number, client in enumerate(fleet.clients):
            if number != holder:
                client.history.observe(2, 0)
        await trio.sleep(12.0)
        assert fleet.list_valid() not in ([], [holder])

    run_fleet(test)


def test_lease_that_the_store_lost_with_its_holder_is_soon_held_again(run_fleet):
    """Guards against candidates that wait for an event which the restored store never sends."""

    async def test(fleet):
        copy = fleet.store.snapshot()
        await trio.sleep(7.0)
        (holder,) = fleet.list_valid()
        fleet.restore(copy, 2)
        stopped = fleet.clients[holder]
        stopped.get = _never
        await trio.sleep(TTL_S + 3.0)
        assert fleet.list_valid() not in ([], [holder])

    # Delivers no event, as none is published.
    run_fleet(test, wrap=SharedWatchStore)


async def _never(*_):
    await trio.sleep_forever()
