"""Tests of the convictions of suspects in the store."""

import random

import pytest
import trio
import trio.testing

from basilwinch.exception import PLATFORM_UNAVAILABLE, Failure, PlatformError
from basilwinch.observability import DecisionLog
from basilwinch.peers.convictions import CONVICTIONS_PREFIX, ConvictionRecords
from basilwinch.standin import MemoryKeyValueStore
from basilwinch.store import LeaseGrant, StoreHistory, Transaction
from basilwinch.suspicion import SuspectConfig, SuspectRegistry, digest_part

BAD = digest_part("bad")
KEY = CONVICTIONS_PREFIX + BAD


class Store:
    """A store that all nodes of a test share; it sends changes to them at once."""

    def __init__(self):
        self.values: dict[str, bytes] = {}
        self.nodes: list[ConvictionRecords] = []
        self.writes = 0
        self.is_down = False
        self.history = StoreHistory()

    async def grant(self, ttl_s):
        if self.is_down:
            raise PlatformError(PLATFORM_UNAVAILABLE.because("down"))
        return LeaseGrant(1, ttl_s)

    async def transact(self, compares, puts):
        self.writes += 1
        if compares[0].key in self.values:
            return Transaction(False, 1)
        for put in puts:
            self.values[put.key] = put.value
            for node in self.nodes:
                node.apply(put.key, put.value)
        return Transaction(True, 1)


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def add_node(store):
    """Return a function that adds a node and returns its registry and its records."""

    def add(name):
        config = SuspectConfig(name, progress_frames=2, weak_strikes=False, event_s=0.25)
        suspects = SuspectRegistry(config, DecisionLog.for_benchmark())
        records = ConvictionRecords(suspects, store, random.Random(name))
        for key, value in store.values.items():
            records.apply(key, value)
        store.nodes.append(records)
        return suspects, records

    return add


def convict(suspects, now):
    for number in range(2):
        suspects.begin_attempt(f"r{number}", f"r{number}", [f"s{number}"], False, now - 1, (BAD,))
        suspects.report_death(f"s{number}", now + number)
        suspects.end_attempt(f"r{number}", f"r{number}")


def run_virtual(test, store):
    async def main():
        async with trio.open_nursery() as nursery:
            for records in store.nodes:
                nursery.start_soon(records.run)
            await test()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_part_stays_refused_after_all_nodes_were_killed(store, add_node):
    """Guards against the crashes of a known part starting again after a restart of the fleet."""
    convicting = [add_node(f"n{number}")[0] for number in range(3)]

    async def test():
        for suspects in convicting:
            convict(suspects, trio.current_time())
        await trio.sleep(4)
        restarted, _ = add_node("n0")
        assert isinstance(restarted.assess("r", (BAD,), trio.current_time()), Failure)

    run_virtual(test, store)
    assert list(store.values) == [KEY]
    assert store.writes < 3


def test_conviction_is_written_once_the_store_is_back(store, add_node):
    """Guards against a conviction that is lost in an outage of the store."""
    suspects, _ = add_node("n0")
    store.is_down = True

    async def test():
        convict(suspects, trio.current_time())
        await trio.sleep(5)
        store.is_down = False
        await trio.sleep(2)

    run_virtual(test, store)
    assert list(store.values) == [KEY]


def test_part_that_is_cleared_soon_is_not_written(store, add_node):
    """Guards against a conviction that outlasts the proof that its part is harmless."""
    suspects, _ = add_node("n0")

    async def test():
        convict(suspects, trio.current_time())
        suspects.begin_attempt("r", "r", ["s9"], False, trio.current_time(), (BAD,))
        suspects.record_frame("r", "r", trio.current_time() + 1, 2)
        await trio.sleep(5)

    run_virtual(test, store)
    assert not store.values


def test_end_of_a_conviction_in_the_store_ends_it_on_nodes_without_evidence(store, add_node):
    """Guards against a part that is refused for ever, or no longer where its crashes are known."""
    other, other_records = add_node("n1")
    own, own_records = add_node("n0")

    async def test():
        now = trio.current_time()
        convict(own, now)
        for records in (other_records, own_records):
            records.apply(KEY, b'{"ttl_s": 60}')
            records.apply(KEY, None)
        assert other.assess("r", (BAD,), now + 5) is False
        assert isinstance(own.assess("r", (BAD,), now + 5), Failure)

    trio.run(test)


@pytest.mark.parametrize(
    ("digest", "value"),
    [
        (BAD, b""),
        (BAD, b"\xff"),
        (BAD, b"7"),
        (BAD, b"{}"),
        (BAD, b'{"ttl_s": NaN}'),
        (BAD, b'{"ttl_s": -1}'),
        (BAD, b'{"ttl_s": 1e999}'),
        (BAD, b'{"ttl_s": []}'),
        ("x" * 129, b'{"ttl_s": 60}'),
    ],
)
def test_malformed_conviction_is_ignored(add_node, digest, value):
    """Guards against an entry of another writer that ends the process or refuses requests."""
    suspects, records = add_node("n0")

    async def test():
        records.apply(CONVICTIONS_PREFIX + digest, value)
        assert suspects.assess("r", (digest,), trio.current_time()) is False

    trio.run(test)


@pytest.mark.parametrize("delay_s", [1.0, 5.9])
def test_conviction_that_is_cleared_before_it_is_stored_late_refuses_nothing(delay_s, add_node):
    """Guards against a sound part that is refused for minutes, as a write without an answer was
    done after the conviction had been cleared."""
    shared = MemoryKeyValueStore()
    suspects, _ = add_node("n0")
    records = ConvictionRecords(suspects, shared, random.Random(1))

    async def test():
        shared.delay_writes(delay_s, *[30.0] * 20)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(records.run)
            convict(suspects, trio.current_time())
            while not shared.calls["transact"]:
                await trio.sleep(0.1)
            now = trio.current_time()
            suspects.begin_attempt("r", "r", ["s9"], False, now, (BAD,))
            suspects.record_frame("r", "r", now, 2)
            assert not suspects.list_convictions(now)
            await trio.sleep(delay_s + 1.0)
            assert await shared.get(KEY) is None
            await trio.sleep(40.0)
            assert await shared.get(KEY) is None
            nursery.cancel_scope.cancel()

    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("delays_s", [[0.1], [1.0], [5.9], [5.9, 5.9, 5.9], [30.0]])
def test_conviction_that_is_stored_late_ends_with_its_time(delays_s, add_node):
    """Guards against a conviction that is missing in the store, or stays there, after a write
    without an answer."""
    shared = MemoryKeyValueStore()
    suspects, _ = add_node("n0")
    records = ConvictionRecords(suspects, shared, random.Random(1))

    async def test():
        shared.delay_writes(*delays_s)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(records.run)
            convict(suspects, trio.current_time())
            await trio.sleep(5.0)
            assert await shared.get(KEY) is not None
            await trio.sleep(590.0)
            assert await shared.get(KEY) is not None
            await trio.sleep(12.0)
            assert await shared.get(KEY) is None
            nursery.cancel_scope.cancel()

    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))
