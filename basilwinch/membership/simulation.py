"""Clusters in memory on a virtual clock, for tests and benchmarks."""

import struct
from random import Random

import trio

from basilwinch.exception import MALFORMED_PACKET, Failure, PlatformError
from basilwinch.membership.config import MembershipConfig
from basilwinch.membership.membership import Membership
from basilwinch.membership.memory import MemoryNetwork
from basilwinch.membership.packet import Keyring
from basilwinch.observability import DecisionLog
from basilwinch.store import Compare, KeyValue

__all__ = ["Cluster", "HeadSource", "LoggedReplica", "Node", "locate", "publish"]

HEAD = "test/head"
_ENTRY = struct.Struct(">QI")
# Zones of the two regions of today's size and of the design size.
_SMALL = (("cluj-centru", "ro-nord"), ("cluj-somes", "ro-nord"), ("cluj-manastur", "ro-nord"))
_LARGE = tuple((f"zone-{number}", f"region-{number % 4}") for number in range(11))
_SAME_REGION_S = 0.0005
_OTHER_REGION_S = 0.05


def locate(index: int, nodes: int) -> tuple[str, str]:
    """Return zone and region of a node: three zones of one region up to 9 nodes, else the 11 zones
    and 4 regions of the design size."""
    zones = _SMALL if nodes <= 9 else _LARGE
    return zones[index % len(zones)]


class LoggedReplica:
    """A replica whose state is the list of all accepted changes, each an opaque value."""

    def __init__(self):
        self.changes: list[bytes] = []

    @property
    def revision(self) -> int:
        """Number of changes held."""
        return len(self.changes)

    def export(self, since: int) -> bytes:
        """Return the changes after a revision."""
        changes = self.changes[since:]
        return _ENTRY.pack(since, len(changes)) + b"".join(
            struct.pack(">I", len(change)) + change for change in changes
        )

    def warm(self, count: int) -> bool:
        """Nothing to prepare."""
        return False

    def absorb(self, data: bytes) -> bool | Failure:
        """Apply changes, whole and only forward."""
        since, count = _ENTRY.unpack_from(data)
        if since + count <= self.revision:
            return False
        if since > self.revision:
            return MALFORMED_PACKET.because(f"changes after {since}, held is {self.revision}")
        position, changes = _ENTRY.size, []
        for _ in range(count):
            (size,) = struct.unpack_from(">I", data, position)
            changes.append(data[position + 4 : position + 4 + size])
            position += 4 + size
        self.changes = self.changes[:since] + changes
        return True


class HeadSource:
    """The platform with one key for the head and one for each change."""

    def __init__(self, store, replica: LoggedReplica):
        self._store = store
        self._replica = replica

    async def refresh(self) -> bool:
        """Read the head and the changes that are missing."""
        head = await self._store.get(HEAD)
        target = int(head.value) if head else 0
        changed = False
        while self._replica.revision < target:
            revision = self._replica.revision
            note = await self._store.get(f"test/note/{revision + 1}")
            if self._replica.revision == revision:
                self._replica.changes = [*self._replica.changes, note.value]
                changed = True
        return changed

    def watch(self):
        """Watch the head."""
        return self._store.watch(HEAD)

    def is_met(self, event) -> bool:
        """Tell whether the replica holds what an event announced."""
        return self._replica.revision >= int(event.value)


async def publish(store, change: bytes) -> int | None:
    """Accept a change with one compare-and-swap, rebasing until it succeeds.

    :returns: its revision, or None if the platform refused it for certain
    """
    while True:
        try:
            head = await store.get(HEAD)
        except PlatformError:
            return None
        revision = int(head.value) + 1 if head else 1
        puts = [
            KeyValue(HEAD, str(revision).encode(), 0),
            KeyValue(f"test/note/{revision}", change, 0),
        ]
        compare = Compare(HEAD, head.mod_revision if head else 0)
        try:
            if (await store.transact([compare], puts)).succeeded:
                return revision
        except PlatformError:
            note = await _read_surely(store, f"test/note/{revision}")
            if note is not None and note.value == change:
                return revision


async def _read_surely(store, key: str):
    while True:
        try:
            return await store.get(key)
        except PlatformError:
            await trio.sleep(0.2)


class Node:
    """A node of a :class:`Cluster`.

    :param cluster: the cluster
    :param index: number of the node
    :param settings: changes of :class:`MembershipConfig`
    """

    def __init__(self, cluster: "Cluster", index: int, settings: dict):
        self.cluster = cluster
        self.index = index
        self.name = f"entry-{index}"
        self.address = f"10.0.{index // 250}.{index % 250 + 1}:7400"
        self.zone, self.region = locate(index, cluster.size)
        self.settings = settings
        self.started_at = None
        self._scope = None
        self._lives = 0

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._scope is not None

    def start(self) -> None:
        """Start the process with an empty state."""
        cluster = self.cluster
        self._lives += 1
        self.started_at = trio.current_time()
        config = MembershipConfig(
            name=self.name,
            address=self.address,
            zone=self.zone,
            region=self.region,
            cluster="test",
            life=1_700_000_000_000_000 + int(self.started_at * 1e6) + self._lives,
            **({"keyring": cluster.keyring, "peers": cluster.seeds} | self.settings),
        )
        rng = Random(f"{cluster.seed}/{self.index}/{self._lives}")
        self.transport = cluster.network.transport(self.address)
        self.replica = cluster.make_replica()
        source = cluster.make_source(self) if cluster.make_source else None
        self.membership = Membership.from_config(
            config, self.transport, self.replica, rng, cluster.log, source, cluster.vm_list
        )
        cluster.on_start(self)
        self._scope = trio.CancelScope()
        cluster.nursery.start_soon(self._run, self._scope)

    async def _run(self, scope: trio.CancelScope) -> None:
        with scope:
            await self.membership.run()

    def kill(self) -> None:
        """End the process without a word."""
        self._scope.cancel()
        self._scope = None
        self.cluster.network.remove(self.address)

    def pause(self, seconds: float) -> None:
        """Let the process stand still for a while."""
        self.transport.pause(trio.current_time() + seconds)

    def names(self) -> list[str]:
        """Return the names of the members that this node sees."""
        return [member.name for member in self.membership.members(trio.current_time())]


class Cluster:
    """Nodes on one network.

    :param nursery: nursery that the processes run in
    :param size: number of nodes
    :param seed: seed of the network and of all nodes
    :param store: key-value service, or None
    :param make_replica: makes the replica of a node
    :param make_source: makes the revision source of a node, or None
    :param faults: arguments of :class:`MemoryNetwork`
    :param settings: changes of :class:`MembershipConfig` for all nodes
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        size: int,
        seed: int = 0,
        store=None,
        make_replica=LoggedReplica,
        make_source=None,
        faults: dict | None = None,
        settings: dict | None = None,
    ):
        self.nursery = nursery
        self.size = size
        self.seed = seed
        self.store = store
        self.vm_list = None
        self.log = DecisionLog.for_benchmark()
        self.keyring = Keyring({1: b"k" * 32})
        self.on_start = lambda node: None
        self.make_replica = make_replica
        self.make_source = make_source
        if store and not make_source:
            self.make_source = lambda node: HeadSource(store, node.replica)
        self.network = MemoryNetwork(seed, self._delay_s, **(faults or {}))
        nursery.start_soon(self.network.run)
        self.nodes = [Node(self, index, settings or {}) for index in range(size)]
        self.seeds = tuple(node.address for node in self.nodes[:9])
        self._regions = {node.address: node.region for node in self.nodes}

    def _delay_s(self, source: str, target: str) -> float:
        same = self._regions.get(source) == self._regions.get(target)
        return _SAME_REGION_S if same else _OTHER_REGION_S

    def running(self) -> list[Node]:
        """Return the nodes that run."""
        return [node for node in self.nodes if node.running]

    def start(self) -> None:
        """Start all nodes at once."""
        for node in self.nodes:
            node.start()

    def introduce_all(self) -> None:
        """Let all nodes know each other at once, as after an hour of running."""
        now = trio.current_time()
        updates = [node.membership.roster.own.to_update(True) for node in self.nodes]
        for node in self.running():
            node.membership.roster.preload(updates, now)

    def agree(self, revision: int) -> bool:
        """Tell whether all running nodes hold a revision."""
        return all(node.replica.revision >= revision for node in self.running())

    def converged(self) -> bool:
        """Tell whether all running nodes see exactly the running nodes."""
        names = sorted(node.name for node in self.running())
        return all(node.names() == names for node in self.running())

    async def wait(self, condition, limit_s: float) -> float | None:
        """Wait for a condition.

        :returns: seconds until it held, or None if it did not within the limit
        """
        start = trio.current_time()
        while not condition():
            if trio.current_time() - start > limit_s:
                return None
            await trio.sleep(0.05)
        return trio.current_time() - start
