"""Tests of the registration of a node, in virtual time."""

import collections
import random

import pytest
import trio
import trio.testing

from basilwinch.peers.registrar import Registrar
from basilwinch.standin import MemoryKeyValueStore
from basilwinch.store import KeyValue

PREFIX = "nodes/"
KEY = PREFIX + "n0"


class Fleet:
    """Registrars that share a store and learn of its changes from one watch."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.store = MemoryKeyValueStore()
        self.registrars: dict[str, Registrar] = {}

    def add(self, number: int = 0) -> None:
        key, rng = f"{PREFIX}n{number}", random.Random(number)
        registrar = Registrar(key, b"value", self.store, lambda: len(self.registrars), rng)
        self.registrars[key] = registrar
        self.nursery.start_soon(registrar.run)

    async def watch(self, task_status) -> None:
        async with self.store.watch(PREFIX) as events:
            task_status.started()
            async for event in events:
                await trio.sleep(0.01)
                self.registrars[event.key].record_change(event.mod_revision)

    async def measure_absence(self, duration_s: float) -> float:
        """Return for how many seconds of a time the registration was missing."""
        absent, step_s = 0, 0.05
        for _ in range(round(duration_s / step_s)):
            await trio.sleep(step_s)
            absent += await self.store.get(KEY) is None
        return absent * step_s


@pytest.fixture
def run_fleet():
    """Return a function that runs an async test with a :class:`Fleet`."""

    def run(test, watched=True):
        async def main():
            async with trio.open_nursery() as nursery:
                fleet = Fleet(nursery)
                if watched:
                    await nursery.start(lambda task_status: fleet.watch(task_status))
                await test(fleet)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return run


@pytest.mark.parametrize("watched", [True, False])
@pytest.mark.parametrize(
    "delays_s",
    [(0.6,), (1.4,), (2.2,), (3.1,), (4.4,), (5.9,), (11.9,), (12.5,), (5.9, 5.9), (9.5, 1.0, 3.0)],
)
def test_write_that_is_done_late_ends_no_registration(run_fleet, delays_s, watched):
    """Guards against a registration under a lease that nobody renews (RECOVER)."""

    async def test(fleet):
        fleet.store.delay_writes(*delays_s)
        fleet.add()
        await trio.sleep(4.0 * len(delays_s) + 0.1)
        assert await fleet.measure_absence(60.0) == 0

    run_fleet(test, watched)


def test_registration_that_an_earlier_process_replaces_is_kept(run_fleet):
    """Guards against a late write of a process before a restart, which had no condition."""

    async def test(fleet):
        fleet.add()
        await trio.sleep(1.0)
        lease = (await fleet.store.grant(6.0)).lease
        await fleet.store.transact([], [KeyValue(KEY, b"value", 0, lease)])
        assert await fleet.measure_absence(30.0) == 0

    run_fleet(test)


@pytest.mark.parametrize("value", [b"value", b"older"])
def test_registration_of_an_earlier_process_is_taken_over(run_fleet, value):
    """Guards against a restarted node that drops out as the lease of its last process ends."""

    async def test(fleet):
        lease = (await fleet.store.grant(5.0)).lease
        await fleet.store.transact([], [KeyValue(KEY, value, 0, lease)])
        fleet.add()
        assert await fleet.measure_absence(30.0) == 0
        assert (await fleet.store.get(KEY)).value == b"value"

    run_fleet(test)


def test_registration_that_disappears_is_written_again_at_once(run_fleet):
    """Guards against a node that renews a lease without a key and never registers again."""

    async def test(fleet):
        fleet.add()
        await trio.sleep(1.0)
        await fleet.store.transact([], [], [KEY])
        assert await fleet.measure_absence(20.0) <= 0.1

    run_fleet(test)


def test_lease_that_ended_in_an_outage_is_replaced_at_the_next_renewal(run_fleet):
    """Guards against a second wait for the renewal after the loss of the lease was noticed."""

    async def test(fleet):
        fleet.add()
        await trio.sleep(1.0)
        fleet.store.down()
        await trio.sleep(13.0)
        fleet.store.up()
        assert await fleet.measure_absence(20.0) <= 4.1

    run_fleet(test, watched=False)


def test_nodes_whose_registrations_end_together_write_at_different_times(run_fleet):
    """Guards against a fleet that exceeds the rate of the store as an outage has ended leases."""

    async def test(fleet):
        nodes = 400
        for number in range(nodes):
            fleet.add(number)
        await trio.sleep(10.0)
        writes = collections.Counter()
        await fleet.store.transact([], [], list(fleet.registrars)[:100])
        for _ in range(50):
            before = fleet.store.calls["transact"]
            await trio.sleep(0.1)
            writes[round(trio.current_time(), 1)] = fleet.store.calls["transact"] - before
        assert sum(writes.values()) == 100
        assert max(writes.values()) <= 20

    run_fleet(test)
