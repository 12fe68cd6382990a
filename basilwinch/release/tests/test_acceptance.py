"""State machine test of acceptance, propagation and restored platforms."""

import random

import trio
import trio.testing
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from basilwinch.exception import Failure, PlatformError
from basilwinch.release import (
    Follower,
    FollowerConfig,
    Publication,
    Publisher,
    Replica,
    State,
    load_state,
    read_head,
    read_history,
    read_note,
)
from basilwinch.standin import MemoryKeyValueStore

NOT_ACCEPTED_CODES = {"platform_unavailable", "note_conflict", "note_invalid", "note_contended"}
DIGITS = {"a": "1", "b": "2", "c": "3", "d": "4"}
EDITS = st.lists(
    st.tuples(st.sampled_from(["added", "changed", "withdrawn"]), st.sampled_from("abcd")),
    min_size=1,
    max_size=2,
    unique_by=lambda edit: edit[1],
)
FAULTS = st.sampled_from(["none", "answers", "requests", "outage", "slow"])


def run(main, *args):
    """Run an async function on a virtual clock."""
    return trio.run(main, *args, clock=trio.testing.MockClock(autojump_threshold=0))


def edit_text(edits, value):
    """Return the text of a note that edits organisations; each value must be new."""
    text = ""
    for verb, name in edits:
        text += f'[[{verb}.organisation]]\nname = "{name}"\n'
        if verb != "withdrawn":
            text += f"requests_per_s = {value}\n"
        if verb == "added":
            text += f'key_digest = "{DIGITS[name] * 64}"\n'
    return text


class Acceptance(RuleBasedStateMachine):
    """Three publishers and three nodes on a platform with faults."""

    def __init__(self):
        super().__init__()
        self.rng = random.Random(7)
        self.store = MemoryKeyValueStore()
        self.publishers = [
            Publisher(self.store, self.rng, clock=lambda: 0.0, outcome_timeout_s=2.0)
            for _ in range(3)
        ]
        self.replicas = [Replica() for _ in range(3)]
        self.followers = [
            Follower(FollowerConfig(), self.store, replica, self.rng, clock=lambda: 0.0)
            for replica in self.replicas
        ]
        self.held = [State.empty() for _ in self.replicas]
        self.ever_held = set()
        self.accepted, self.refused = [], []
        self.messages = []
        self.count = 0
        self.snapshot = None
        self.restored = False

    async def _inject_fault(self, fault, start, length):
        await trio.sleep(start)
        if fault == "answers":
            self.store.lose_answers(1)
        elif fault == "requests":
            self.store.lose_requests(1)
        elif fault == "outage":
            self.store.down()
            await trio.sleep(length)
        elif fault == "slow":
            self.store.slow(length)
            await trio.sleep(length)
        self.store.up()
        self.store.slow(0)

    @rule(
        notes=st.lists(EDITS, min_size=1, max_size=3),
        fault=FAULTS,
        start=st.sampled_from([0.0, 0.003, 0.005, 0.006]),
        length=st.sampled_from([0.01, 1.0, 9.0]),
    )
    def publish(self, notes, fault, start, length):
        """Publish notes concurrently while a fault is injected."""

        async def publish(publisher, edits, value):
            note = read_note(edit_text(edits, value))
            note_id = f"note{value}"
            result = await publisher.publish(note, note_id)
            if isinstance(result, Publication):
                self.accepted.append(note_id)
            elif result.code in NOT_ACCEPTED_CODES:
                self.refused.append(note_id)

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._inject_fault, fault, start, length)
                for publisher, edits in zip(self.publishers, notes, strict=False):
                    self.count += 1
                    nursery.start_soon(publish, publisher, edits, self.count)

        run(main)
        self.store.lose_answers(0)
        self.store.lose_requests(0)

    @rule(node=st.integers(0, 2))
    def follow(self, node):
        """Let a node read the platform."""
        run(self._catch_up, node)

    async def _catch_up(self, node):
        try:
            await self.followers[node].catch_up()
        except PlatformError as error:
            raise AssertionError(error) from error

    @rule(source=st.integers(0, 2), back=st.sampled_from([0, 1, 3, 100]))
    def send(self, source, back):
        """Let a node export its state; the message may be delivered late, twice or never."""
        replica = self.replicas[source]
        self.messages.append(replica.export(replica.revision - back))

    @rule(taker=st.integers(0, 2), age=st.integers(0, 5))
    def deliver(self, taker, age):
        """Let a node take one of the latest messages."""
        if age >= len(self.messages):
            return
        replica = self.replicas[taker]
        result = replica.apply_export(self.messages[-1 - age])
        if isinstance(result, Failure):
            assert result.code in ("release_gap", "release_forked"), result
            assert result.code != "release_forked" or self.restored

    @rule()
    def save(self):
        """Take a backup of the platform."""
        self.snapshot = self.store.snapshot()

    @rule()
    def restore(self):
        """Restore the platform from the backup."""
        if self.snapshot:
            run(self._restore)

    async def _restore(self):
        self.store.restore(self.snapshot)
        self.restored = True

    @invariant()
    def no_replica_goes_back(self):
        """Guards against a node whose state reverts to an older revision or leaves its history."""
        for index, replica in enumerate(self.replicas):
            assert replica.revision >= self.held[index].revision.number
            assert replica.state.contains(self.held[index].revision)
            if replica.revision == self.held[index].revision.number:
                assert replica.state == self.held[index]
            self.held[index] = replica.state
            self.ever_held.add(replica.state.revision)

    def teardown(self):
        """Check that all nodes agree and that no revision that was in effect is lost.

        Unless the platform was restored, each accepted note must have taken effect whole and once,
        and no refused one.
        """
        run(self._settle)

    async def _settle(self):
        for _ in range(3):
            for node in range(3):
                await self._catch_up(node)
        state = await load_state(self.store)
        assert all(replica.state == state for replica in self.replicas)
        for revision in self.ever_held:
            assert state.contains(revision), f"{revision} was in effect and is lost"
        if self.restored:
            return
        head = await read_head(self.store)
        history = await read_history(self.store, head.revision, 0)
        notes = [stored_note.note for stored_note in history]
        assert len(set(notes)) == len(notes), "a note took effect twice"
        assert set(self.accepted) <= set(notes), "an accepted note is lost"
        assert not set(self.refused) & set(notes), "a refused note took effect"
        replayed = State.empty()
        for stored_note in history:
            replayed = replayed.applied(stored_note.revision, stored_note.changes)
        assert replayed.catalog == state.catalog, "a note is half applied"


Acceptance.TestCase.settings = settings(
    max_examples=40,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    # The explain phase is left out because it takes minutes after a failure.
    phases=[Phase.explicit, Phase.generate, Phase.shrink],
    suppress_health_check=[HealthCheck.too_slow],
)
TestAcceptance = Acceptance.TestCase
