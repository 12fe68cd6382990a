"""Tests of restored platforms, dead publishers, slow readers, size limits and damaged input."""

import random

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from basilwinch.exception import RELEASE_GAP, Failure, PlatformError
from basilwinch.release import (
    Follower,
    FollowerConfig,
    Publisher,
    Replica,
    Revision,
    State,
    load_state,
    plan_note,
    read_head,
    read_note,
    read_recent,
)
from basilwinch.release.layout import StoredNote
from basilwinch.release.maintenance import MAX_HISTORY_NOTES, sweep, trim_history
from basilwinch.release.mapping import BUCKETS
from basilwinch.release.note import Item, ReleaseNote, Verb
from basilwinch.release.schema import KINDS
from basilwinch.standin import MemoryKeyValueStore


def run(main, *args):
    """Run an async function on a virtual clock."""
    return trio.run(main, *args, clock=trio.testing.MockClock(autojump_threshold=0))


def service(name, verb="added", **fields):
    """Return the text of a note about one service."""
    fields = {"kind": "plain"} | fields if verb == "added" else fields
    lines = [f'[[{verb}.service]]\nname = "{name}"']
    return "\n".join([*lines, *(f'{key} = "{value}"' for key, value in fields.items()), ""])


def server(name, service_name, number):
    """Return the text of a note that adds one server."""
    return (
        f'[[added.server]]\nname = "{name}"\naddress = "10.0.0.{number}:80"\n'
        f'zone = "z"\nregion = "r"\nservice = "{service_name}"\n'
    )


class PlatformSetup:
    """A platform with a publisher and nodes."""

    def __init__(self, nodes=1):
        self.store = MemoryKeyValueStore()
        self.rng = random.Random(5)
        self.publisher = self.new_publisher()
        self.replicas = [Replica() for _ in range(nodes)]

    def new_publisher(self):
        """Return a publisher that has read nothing yet."""
        return Publisher(self.store, self.rng, clock=lambda: 0.0, outcome_timeout_s=2.0)

    def follower(self, node=0):
        """Return the follower of a node."""
        config = FollowerConfig()
        return Follower(config, self.store, self.replicas[node], self.rng, clock=lambda: 0.0)

    async def publish(self, text):
        """Publish a note that must be accepted."""
        publication = await self.publisher.publish(read_note(text))
        assert publication, publication
        return publication


def test_a_restored_platform_gets_back_what_nodes_hold():
    """Guards against the loss of accepted notes when the platform is restored."""

    async def main():
        setup = PlatformSetup(2)
        await setup.publish(service("a"))
        saved = setup.store.snapshot()
        await setup.publish(service("b"))
        last = await setup.publish(service("c"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(setup.follower(0).run)
            await trio.sleep(1)
            assert setup.replicas[0].revision == 3
            setup.store.restore(saved)
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
        head = await read_head(setup.store)
        assert head.revision == last.revision
        assert set((await load_state(setup.store)).catalog.services) == {"a", "b", "c"}
        notes = await read_recent(setup.store, head.revision, 10)
        assert notes[-1].note == last.note, "the history must keep the note"
        await setup.follower(1).catch_up()
        assert setup.replicas[1].state == setup.replicas[0].state

    run(main)


def test_notes_on_both_sides_of_a_restore_stay_in_effect():
    """Guards against a merge of two histories that undoes a note of one of them."""

    async def main():
        setup = PlatformSetup(3)
        await setup.publish(service("a") + service("s"))
        for node in range(3):
            await setup.follower(node).catch_up()
        saved = setup.store.snapshot()
        await setup.publish(service("b") + service("s", "withdrawn") + server("w", "a", 2))
        await setup.follower(0).catch_up()
        setup.store.restore(saved)
        setup.publisher = setup.new_publisher()
        await setup.publish(service("c"))
        await setup.publish(server("v", "s", 1) + server("x", "a", 2) + server("y", "a", 3))
        await setup.follower(1).catch_up()
        forked = setup.replicas[0].apply_export(setup.replicas[1].export(-1))
        assert isinstance(forked, Failure) and forked.code == "release_forked"
        for node in (0, 1, 2):
            await setup.follower(node).catch_up()
        catalog = setup.replicas[0].catalog
        assert set(catalog.services) == {"a", "b", "c"}
        # Not merged: the service of v is withdrawn, and x has the address of w.
        assert set(catalog.servers) == {"w", "y"}
        assert all(replica.state == setup.replicas[0].state for replica in setup.replicas)
        assert setup.replicas[0].revision == 4

    run(main)


def test_notes_summed_up_after_a_restore_keep_their_ids():
    """Guards against a node that takes notes it already holds for those of another history."""

    async def main():
        setup = PlatformSetup(3)
        await setup.publish(service("a"))
        await setup.follower(0).catch_up()
        saved = setup.store.snapshot()
        await setup.publish(service("b"))
        await setup.follower(1).catch_up()
        await setup.publish(service("c"))
        # A node that read the whole state holds no notes to write back, only their ids.
        await setup.follower(2).catch_up()
        setup.store.restore(saved)
        for node in (2, 1, 0):
            await setup.follower(node).catch_up()
        assert (await read_head(setup.store)).revision.number == 3
        assert all(replica.state == setup.replicas[2].state for replica in setup.replicas)

    run(main)


def test_a_merge_by_a_node_that_is_behind_takes_nothing_back():
    """Guards against a second merge that restores older values of the held history."""

    async def main():
        setup = PlatformSetup(2)
        await setup.publish(service("a"))
        saved = setup.store.snapshot()
        await setup.publish(service("k"))
        await setup.follower(0).catch_up()
        await setup.publish(service("k", "changed", kind="model"))
        await setup.follower(1).catch_up()
        setup.store.restore(saved)
        setup.publisher = setup.new_publisher()
        await setup.publish(service("b"))
        await setup.publish(service("c"))
        for node in (0, 1, 0):
            await setup.follower(node).catch_up()
        catalog = setup.replicas[0].catalog
        assert set(catalog.services) == {"a", "b", "c", "k"}
        assert catalog.services["k"].kind == "model"
        assert setup.replicas[0].state == setup.replicas[1].state

    run(main)


def test_a_publisher_that_dies_before_the_head_has_no_effect():
    """Guards against half-applied notes and against unused values that are never deleted."""

    async def main():
        setup = PlatformSetup()
        await setup.publish(service("a"))
        keys = set(setup.store._pairs)
        big = "".join(service(f"s{n}-{'x' * 90}") for n in range(400))
        with trio.move_on_after(0.012):
            await setup.new_publisher().publish(read_note(big))
        assert set(setup.store._pairs) > keys, "the publisher must die between two writes"
        assert len((await load_state(setup.store)).catalog.services) == 1
        for number in range(70):
            verb = "withdrawn" if number % 2 else "added"
            await setup.publish(service("t", verb))
        assert await sweep(setup.store) > 0
        assert len((await load_state(setup.store)).catalog.services) == 1
        pages = await setup.store.scan("basilwinch/release/page/", 10_000)
        assert len(pages.items) < 70, "replaced pages must go after a while"

    run(main)


def test_a_slow_reader_gets_one_whole_state():
    """Guards against a state that mixes two revisions or is never read completely."""

    async def main():
        setup = PlatformSetup()
        await setup.publish("".join(service(f"s{n}") for n in range(200)))
        keys = set(setup.store._pairs)
        results = []

        async def load():
            results.append(await load_state(setup.store))

        async with trio.open_nursery() as nursery:
            setup.store.slow(1.0)
            nursery.start_soon(load)
            for number in range(8):
                await setup.publish(service(f"s{number}", "changed", kind="model"))
        (state,) = results
        assert keys <= set(setup.store._pairs), "replaced pages must stay for slow readers"
        changed = [name for name, entry in state.catalog.services.items() if entry.kind == "model"]
        assert len(changed) == state.revision.number - 1

    run(main)


def test_the_history_is_capped():
    """Guards against a history that grows without limit on the platform."""

    async def main():
        setup = PlatformSetup()
        for number in range(5):
            await setup.publish(service(f"s{number}"))
        assert await trim_history(setup.store, 2) == 2
        head = await read_head(setup.store)
        assert [
            stored_note.revision.number
            for stored_note in await read_recent(setup.store, head.revision, 9)
        ] == [
            3,
            4,
            5,
        ]
        assert MAX_HISTORY_NOTES >= 1000

    run(main)


def test_values_stay_below_the_limit_at_the_design_size():
    """Guards against values that the platform refuses: 12,000 servers, 21,000 organisations."""
    items = [_item("service", "proofwriter", {"kind": "model"})]
    for n in range(12_000):
        fields = {"address": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8000", "zone": "howrah"}
        fields |= {"region": "kolkata", "service": "proofwriter", "accelerator": "large-80"}
        items.append(_item("server", f"howrah-engine-{n:05d}", fields))
    for n in range(21_000):
        items.append(_item("organisation", f"সংস্থা-{n:05d}", {"key_digest": f"{n:064x}"}))

    async def main():
        setup = PlatformSetup()
        publication = await setup.publisher.publish(ReleaseNote("big", "", tuple(items)))
        assert publication, publication
        sizes = [len(pair.value) for pair in setup.store._pairs.values()]
        assert max(sizes) < 1_000_000
        state = await load_state(setup.store)
        assert (len(state.catalog.servers), len(state.catalog.organisations)) == (12_000, 21_000)
        before = setup.store.calls.copy()
        await setup.publish('[[changed.server]]\nname = "howrah-engine-00007"\nstate = "leaving"\n')
        assert (setup.store.calls - before)["transact"] == 1
        await _check_cost(state, setup)

    run(main)


async def _check_cost(state, setup):
    replica = Replica()
    replica.apply_state(state)
    config = FollowerConfig()
    await Follower(config, setup.store, replica, setup.rng, clock=lambda: 0.0).catch_up()
    same = sum(
        old is new
        for index in range(BUCKETS)
        for old, new in zip(state.page(index), replica.state.page(index), strict=True)
    )
    assert same == BUCKETS * len(KINDS) - 1, "one change must copy one bucket only"
    assert len(replica.export(1)) < 500
    other = Replica()
    assert other.apply_export(replica.export(0)) is True and other.state == replica.state


def _item(kind, name, fields):
    return Item(Verb.ADDED, kind, name, fields, {"": 1, "name": 1})


def _replica_at(count):
    """Return a replica with ``count`` notes."""
    replica, state = Replica(), State.empty()
    for number in range(1, count + 1):
        revision = Revision(number, f"n{number}")
        changes = plan_note(read_note(service(f"s{number}")), state)
        stored_note = StoredNote(
            revision, f"n{number}", state.revision, "", "", 0.0, tuple(changes)
        )
        assert replica.apply_notes([stored_note]) is True
        state = replica.state
    return replica


@given(
    whole=st.booleans(),
    cut=st.integers(0, 2000),
    flips=st.lists(st.tuples(st.integers(0, 2000), st.integers(1, 255)), max_size=3),
)
@settings(max_examples=200, derandomize=True, deadline=None)
def test_damaged_messages_change_nothing(whole, cut, flips):
    """Guards against a damaged message that stops a node or is partly applied."""
    source = _replica_at(5)
    data = bytearray(source.export(-1 if whole else 2))
    for position, flip in flips:
        data[position % len(data)] ^= flip
    damaged = bytes(data[: max(len(data) - cut, 0)])
    replica = _replica_at(2)
    before = replica.state
    result = replica.apply_export(damaged)
    if result is not True:
        assert replica.state is before
    elif damaged != source.export(-1 if whole else 2):
        # Flips that the checksum of the compression does not detect leave a valid, newer state.
        assert replica.revision > 2


def test_a_gap_is_reported_so_that_the_whole_state_is_fetched():
    """Guards against a node that skips missing notes."""
    source, replica = _replica_at(5), _replica_at(1)
    result = replica.apply_export(source.export(3))
    assert isinstance(result, Failure) and result.kind is RELEASE_GAP and replica.revision == 1
    assert replica.changed_since(0) == {"service/s1"} and replica.changed_since(-1) is None
    assert replica.apply_export(source.export(replica.revision)) is True
    assert replica.state == source.state and replica.apply_export(source.export(0)) is False
    assert source.apply_export(_replica_at(2).export(-1)) is False and source.revision == 5
    assert source.export(-1)[:1] == b"W" and source.export(0)[:1] == b"D"


def test_a_whole_state_is_applied_in_steps_and_takes_effect_at_the_end():
    """Guards against an event loop that is blocked, and against a half-applied state."""
    source, replica = _replica_at(9), Replica()
    steps = replica.apply_export_steps(source.export(-1))
    assert sum(replica.revision == 0 for _ in steps) == 9
    assert replica.state == source.state
    assert not source.warm(300) and source.export(-1) == replica.export(-1)


def test_a_damaged_head_is_a_typed_failure():
    """Guards against a reader that stops with an error of the JSON library."""

    async def main():
        setup = PlatformSetup()
        await setup.publish(service("a"))
        pair = setup.store._pairs["basilwinch/release/head"]
        await setup.store.transact([], [pair.replace(value=b"{")])
        with pytest.raises(PlatformError) as caught:
            await load_state(setup.store)
        assert caught.value.failure.code == "release_malformed"

    run(main)
