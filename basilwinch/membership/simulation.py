"""Clusters on an in-memory network and a virtual clock, for tests and benchmarks."""

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

HEAD_KEY = "test/head"
_CHANGES_HEADER = struct.Struct(">QI")
# Zones and their regions: of a cluster of up to 9 nodes, and of the largest planned cluster.
_SMALL_CLUSTER_ZONES = (
    ("cluj-centru", "ro-nord"),
    ("cluj-somes", "ro-nord"),
    ("cluj-manastur", "ro-nord"),
)
_LARGE_CLUSTER_ZONES = tuple((f"zone-{number}", f"region-{number % 4}") for number in range(11))
_SAME_REGION_DELAY_S = 0.0005
_OTHER_REGION_DELAY_S = 0.05


def locate(index: int, nodes: int) -> tuple[str, str]:
    """Return the zone and region of a node: one of three zones of a region for up to 9 nodes, else
    one of the 11 zones and 4 regions of the largest planned cluster."""
    zones = _SMALL_CLUSTER_ZONES if nodes <= 9 else _LARGE_CLUSTER_ZONES
    return zones[index % len(zones)]


class LoggedReplica:
    """A replica whose state is the list of all accepted changes, which are opaque bytes."""

    def __init__(self):
        self.changes: list[bytes] = []

    @property
    def revision(self) -> int:
        """Number of changes held."""
        return len(self.changes)

    def export(self, since: int) -> bytes:
        """Return the changes after a revision."""
        changes = self.changes[since:]
        return _CHANGES_HEADER.pack(since, len(changes)) + b"".join(
            struct.pack(">I", len(change)) + change for change in changes
        )

    def warm(self, count: int) -> bool:
        """Return False, as :meth:`export` needs no preparation."""
        return False

    def apply_export(self, data: bytes) -> bool | Failure:
        """Apply exported changes, all or none, and only if they are newer."""
        since, count = _CHANGES_HEADER.unpack_from(data)
        if since + count <= self.revision:
            return False
        if since > self.revision:
            return MALFORMED_PACKET.because(
                f"changes follow revision {since}, but the replica is at {self.revision}"
            )
        position, changes = _CHANGES_HEADER.size, []
        for _ in range(count):
            (size,) = struct.unpack_from(">I", data, position)
            changes.append(data[position + 4 : position + 4 + size])
            position += 4 + size
        self.changes = self.changes[:since] + changes
        return True


class HeadSource:
    """Revision source over a store with one key for the head and one for each change."""

    def __init__(self, store, replica: LoggedReplica):
        self._store = store
        self._replica = replica

    async def refresh(self) -> bool:
        """Read the head and the changes that the replica lacks."""
        head = await self._store.get(HEAD_KEY)
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
        return self._store.watch(HEAD_KEY)

    def is_applied(self, event) -> bool:
        """Return whether the replica holds the revision that an event announced."""
        return self._replica.revision >= int(event.value)


async def publish(store, change: bytes) -> int | None:
    """Publish a change with a compare-and-swap on the head, and retry after a conflict.

    :returns: its revision, or None if it was certainly not published
    """
    while True:
        try:
            head = await store.get(HEAD_KEY)
        except PlatformError:
            return None
        revision = int(head.value) + 1 if head else 1
        puts = [
            KeyValue(HEAD_KEY, str(revision).encode(), 0),
            KeyValue(f"test/note/{revision}", change, 0),
        ]
        compare = Compare(HEAD_KEY, head.mod_revision if head else 0)
        try:
            if (await store.transact([compare], puts)).succeeded:
                return revision
        except PlatformError:
            note = await _read_until_answered(store, f"test/note/{revision}")
            if note is not None and note.value == change:
                return revision


async def _read_until_answered(store, key: str):
    while True:
        try:
            return await store.get(key)
        except PlatformError:
            await trio.sleep(0.2)


class Node:
    """A node of a :class:`Cluster`.

    :param cluster: the cluster
    :param index: index of the node in the cluster
    :param settings: fields of :class:`MembershipConfig` that differ from the defaults
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
        # Also added to the life, so that two starts at one virtual time differ.
        self._start_count = 0

    @property
    def running(self) -> bool:
        """Whether the process of the node is running."""
        return self._scope is not None

    def start(self) -> None:
        """Start the process with an empty state."""
        cluster = self.cluster
        self._start_count += 1
        self.started_at = trio.current_time()
        config = MembershipConfig(
            name=self.name,
            address=self.address,
            zone=self.zone,
            region=self.region,
            cluster="test",
            life=1_700_000_000_000_000 + int(self.started_at * 1e6) + self._start_count,
            **({"keyring": cluster.keyring, "peers": cluster.seeds} | self.settings),
        )
        rng = Random(f"{cluster.seed}/{self.index}/{self._start_count}")
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
        """End the process abruptly, without notice to its peers."""
        self._scope.cancel()
        self._scope = None
        self.cluster.network.remove(self.address)

    def pause(self, seconds: float) -> None:
        """Block the datagrams of the process for a number of seconds, as if it were suspended. Its
        streams and platform calls go on."""
        self.transport.pause(trio.current_time() + seconds)

    def names(self) -> list[str]:
        """Return the names of the members that this node sees."""
        return [member.name for member in self.membership.members(trio.current_time())]


class Cluster:
    """Nodes on one network.

    :param nursery: nursery in which the processes run
    :param size: number of nodes
    :param seed: seed of the network and of all nodes
    :param store: key-value store of the platform, or None
    :param make_replica: returns a new replica for a node
    :param make_source: returns the revision source of a node; None for a :class:`HeadSource` if
        there is a store
    :param faults: arguments of :class:`MemoryNetwork`
    :param settings: fields of :class:`MembershipConfig` that differ from the defaults, for all
        nodes
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
        return _SAME_REGION_DELAY_S if same else _OTHER_REGION_DELAY_S

    def running(self) -> list[Node]:
        """Return the nodes that are running."""
        return [node for node in self.nodes if node.running]

    def start(self) -> None:
        """Start all nodes at once."""
        for node in self.nodes:
            node.start()

    def introduce_all(self) -> None:
        """Add all nodes to the rosters of the running nodes without gossip, as in a cluster that
        has run for a long time."""
        now = trio.current_time()
        updates = [node.membership.roster.own.to_update(True) for node in self.nodes]
        for node in self.running():
            node.membership.roster.preload(updates, now)

    def all_hold(self, revision: int) -> bool:
        """Return whether all running nodes hold a revision or a later one."""
        return all(node.replica.revision >= revision for node in self.running())

    def converged(self) -> bool:
        """Return whether each running node lists exactly the running nodes as members."""
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
