"""Stateful test of a cluster under random sequences of failures.

The rules append steps to a script, and a model of the cluster decides which steps are possible. The
script then runs on a virtual clock, so that Hypothesis can shrink failing sequences.
"""

import trio
import trio.testing
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from basilwinch.exception import PlatformError
from basilwinch.membership.simulation import Cluster, publish
from basilwinch.standin import MemoryKeyValueStore

SIZE = 6
# After a partition both sides treat each other as dead. It takes up to 5 periods until a dead node
# is probed, 15 until differing rosters lead to a fetch, and some more for the gossip after that.
CONVERGENCE_LIMIT_S = 40.0


class ClusterMachine(RuleBasedStateMachine):
    """Kills, pauses, partitions, outages and publications in any order."""

    def __init__(self):
        super().__init__()
        self.script = []
        self.up = set(range(SIZE))

    @precondition(lambda self: len(self.up) > 1)
    @rule(data=st.data())
    def kill(self, data):
        """End a process."""
        index = data.draw(st.sampled_from(sorted(self.up)))
        self.up.discard(index)
        self.script.append(("kill", index))

    @precondition(lambda self: len(self.up) < SIZE)
    @rule(data=st.data())
    def restart(self, data):
        """Start a process with an empty state."""
        index = data.draw(st.sampled_from(sorted(set(range(SIZE)) - self.up)))
        self.up.add(index)
        self.script.append(("start", index))

    @rule(index=st.integers(0, SIZE - 1), seconds=st.sampled_from([0.5, 3.0, 12.0]))
    def pause(self, index, seconds):
        """Suspend a process."""
        if index in self.up:
            self.script.append(("pause", index, seconds))

    @rule(side=st.sets(st.integers(0, SIZE - 1), min_size=1, max_size=SIZE - 1))
    def partition(self, side):
        """Partition the network into two sides."""
        self.script.append(("partition", side))

    @rule()
    def heal(self):
        """End the partition."""
        self.script.append(("heal",))

    @rule(is_up=st.booleans())
    def platform(self, is_up):
        """Begin or end an outage of the platform."""
        self.script.append(("platform", is_up))

    @rule(lost=st.booleans())
    def accept(self, lost):
        """Publish a change; the answer of the platform may be lost."""
        self.script.append(("publish", lost))

    @rule(seconds=st.sampled_from([0.1, 1.0, 8.0]))
    def wait(self, seconds):
        """Let time pass."""
        self.script.append(("wait", seconds))

    def teardown(self):
        """Run the script."""
        trio.run(self._run, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _run(self):
        self.held, self.accepted = {}, []
        async with trio.open_nursery() as nursery:
            store = MemoryKeyValueStore()
            faults = {"loss": 0.05, "duplicate": 0.05, "jitter": 2.0}
            cluster = Cluster(nursery, SIZE, seed=len(self.script), store=store, faults=faults)
            cluster.start()
            await trio.sleep(5)
            nursery.start_soon(self._check_invariants, cluster)
            for step in self.script:
                await self._do(cluster, *step)
            store.up()
            cluster.network.heal()
            for node in cluster.nodes:
                if not node.running:
                    node.start()
            await self._publish(store)
            await cluster.wait(
                lambda: cluster.converged() and cluster.all_hold(len(self.accepted)),
                CONVERGENCE_LIMIT_S,
            )
            assert cluster.converged()
            assert all(node.membership.ready() for node in cluster.nodes)
            assert all(node.replica.changes == self.accepted for node in cluster.nodes)
            nursery.cancel_scope.cancel()

    async def _check_invariants(self, cluster):
        """Check repeatedly that no node goes back to an older revision or holds a change that was
        not accepted."""
        while True:
            for node in cluster.running():
                key, changes = (node.index, node._start_count), node.replica.changes
                assert len(changes) >= self.held.get(key, 0)
                self.held[key] = len(changes)
                known = min(len(changes), len(self.accepted))
                assert changes[:known] == self.accepted[:known]
            await trio.sleep(0.1)

    async def _publish(self, store):
        change = b"change %d" % len(self.accepted)
        try:
            if await publish(store, change):
                self.accepted.append(change)
        except PlatformError:
            raise AssertionError("publish reports refusals as None") from None

    async def _do(self, cluster, action, *arguments):
        if action == "kill":
            cluster.nodes[arguments[0]].kill()
        elif action == "start":
            cluster.nodes[arguments[0]].start()
        elif action == "pause":
            cluster.nodes[arguments[0]].pause(arguments[1])
        elif action == "partition":
            cluster.network.partition([cluster.nodes[index].address for index in arguments[0]])
        elif action == "heal":
            cluster.network.heal()
        elif action == "platform":
            (cluster.store.up if arguments[0] else cluster.store.down)()
        elif action == "publish":
            if arguments[0]:
                cluster.store.lose_answers(1)
            await self._publish(cluster.store)
        else:
            await trio.sleep(arguments[0])


ClusterMachine.TestCase.settings = settings(
    derandomize=True, max_examples=30, stateful_step_count=15, deadline=None, database=None
)
TestClusterMachine = ClusterMachine.TestCase
