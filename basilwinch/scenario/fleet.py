"""Simulated fleet of a scenario: servers, platform and VMs, with a history of events."""

import random
from contextlib import asynccontextmanager

import trio

from basilwinch.catalog import Catalog
from basilwinch.daemon.cluster import (
    build_follower,
    connect_exchanges,
    track_members,
)
from basilwinch.daemon.core import CoreConfig, ExternalSystems, NodeCore
from basilwinch.daemon.embedded import plan_placements
from basilwinch.daemon.holding import build_holding_note
from basilwinch.exception import PLATFORM_UNAVAILABLE, Failure, PlatformError
from basilwinch.history import (
    AttemptSent,
    History,
    NoteAccepted,
    NoteApplied,
    OrderRan,
    ServerLeaving,
    ServerStopped,
    VmStarted,
    VmStopped,
)
from basilwinch.membership import (
    Keyring,
    Membership,
    MembershipConfig,
    MemoryNetwork,
    ReleaseSource,
)
from basilwinch.observability import DecisionLog
from basilwinch.release import Publisher, read_note
from basilwinch.scenario.note import render_fleet
from basilwinch.server import EngineCall, ServiceCall
from basilwinch.standin import DirectClient, MemoryKeyValueStore, PlainServices, StandinEngines

__all__ = ["Fleet", "Vm", "ZONES"]

ZONES = ("zone-a", "zone-b", "zone-c")
# Name of the model and of its service.
MODEL = "model"
PLAIN_SERVICE = "desk"
# Wall clock at time 0 of the virtual clock; ids of orders contain wall-clock time.
WALL_CLOCK_START_S = 1_790_000_000.0
POLL_INTERVAL_S = 0.02


def read_wall_clock() -> float:
    """Return the simulated wall-clock time in seconds since the Unix epoch."""
    return WALL_CLOCK_START_S + trio.current_time()


class PartitionableStore:
    """Access of one VM to the key-value service, which can be partitioned."""

    def __init__(self, store: MemoryKeyValueStore):
        self._store = store
        self.partitioned = False

    def __getattr__(self, name):
        if self.partitioned:
            raise PlatformError(PLATFORM_UNAVAILABLE.because("VM is partitioned from the platform"))
        return getattr(self._store, name)


class RecordingClient:
    """Records each call in the history and sends it by a direct client."""

    def __init__(self, client: DirectClient, history: History):
        self._client = client
        self._history = history

    @asynccontextmanager
    async def open(self, call: EngineCall):
        """Record a call and open its stream of frames."""
        states = self._client.engines.states
        for server in call.chain.servers:
            # A dead server receives nothing, because the attempt cannot connect.
            if states[server].alive:
                self._history.append(AttemptSent(trio.current_time(), call.request, server))
        async with self._client.open(call) as frames:
            yield frames

    async def call(self, server, call: ServiceCall):
        """Record a call of a plain service and send it."""
        headers = {name.lower(): value for name, value in call.headers}
        request = headers.get(b"idempotency-key", b"").decode().partition("-")[2]
        self._history.append(AttemptSent(trio.current_time(), request, server.name))
        return await self._client.call(server, call)


class Vm:
    """State of one running VM of a scenario."""

    __slots__ = ("name", "address", "core", "membership", "scope", "store", "serving", "ended")

    def __init__(self, name: str, address: str, core: NodeCore, membership: Membership, store):
        self.name = name
        self.address = address
        self.core = core
        self.membership = membership
        self.store = store
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        #: Whether the load balancer sends requests to it.
        self.serving = False


class Fleet:
    """All servers, VMs and platform services of a scenario.

    :param seed: seed of all random choices
    :param history: receives the events
    :param nursery: runs the engines, the network and the VMs
    """

    __slots__ = (
        "seed",
        "rng",
        "history",
        "store",
        "network",
        "engines",
        "services",
        "vms",
        "publisher",
        "nursery",
        "_accepted_revisions",
    )

    def __init__(self, seed: int, history: History, nursery: trio.Nursery):
        self.seed = seed
        self.rng = random.Random(seed)
        self.history = history
        self.store = MemoryKeyValueStore()
        self.network = MemoryNetwork(seed)
        self.engines = StandinEngines([], seed=seed)
        self.services = PlainServices([])
        self.vms: dict[str, Vm] = {}
        self.publisher = Publisher(self.store, self.rng, clock=read_wall_clock)
        self.nursery = nursery
        self._accepted_revisions: set[int] = set()

    @property
    def client(self) -> RecordingClient:
        """Client of all servers that records its calls."""
        return RecordingClient(DirectClient(self.engines, self.services), self.history)

    async def start(self, servers: int, plain: int, vms: int) -> None:
        """Publish the first note and its placement, and start servers and VMs.

        :param servers: number of model servers
        :param plain: number of plain servers
        :param vms: number of VMs
        """
        note = read_note(render_fleet(servers, plain, ZONES, MODEL, PLAIN_SERVICE))
        catalog = await self.publish(note)
        engines = [s for s in catalog.servers.values() if s.service == MODEL]
        self.engines = StandinEngines(engines, seed=self.seed)
        self.services = PlainServices(
            [s.name for s in catalog.servers.values() if s.service == PLAIN_SERVICE]
        )
        self.nursery.start_soon(self.engines.run)
        self.nursery.start_soon(self.network.run)
        placements = plan_placements(catalog, self.seed, DecisionLog.for_benchmark())
        self.engines.place(placements.values())
        await self.publish(build_holding_note(catalog, placements.values()))
        async with trio.open_nursery() as starting:
            for number in range(vms):
                starting.start_soon(self.start_vm, f"n{number + 1}")

    async def publish(self, note, publisher: Publisher | None = None) -> Catalog | Failure:
        """Publish a note and record its acceptance.

        :returns: catalog after the note, or the failure if it was not accepted
        """
        publisher = publisher or self.publisher
        publication = await publisher.publish(note)
        if not publication:
            return publication
        revision = publication.revision
        if revision.number not in self._accepted_revisions:
            self._accepted_revisions.add(revision.number)
            self.history.append(NoteAccepted(trio.current_time(), revision.number, revision.id))
        return (await publisher.refresh()).catalog

    async def start_vm(self, name: str) -> None:
        """Start a VM and return when it is ready, or after 30 s."""
        number = int(name.removeprefix("n"))
        zone = ZONES[number % len(ZONES)]
        address = f"10.0.0.{number}:7000"
        store = PartitionableStore(self.store)
        config = CoreConfig(name, zone, "region", 256, self.rng.getrandbits(31), False)
        core = NodeCore.from_config(
            config, ExternalSystems(store, self.client, self.client), wall_clock=read_wall_clock
        )
        rng = random.Random(self.rng.getrandbits(31))
        membership = Membership.from_config(
            self._membership_config(name, zone, address),
            self.network.transport(address),
            core.replica,
            rng,
            core.decision_log,
            source=ReleaseSource(store, build_follower(core, store, rng), core.replica),
        )
        connect_exchanges(core, membership)
        core.check_synced = lambda: _check_synced(membership)
        vm = self.vms[name] = Vm(name, address, core, membership, store)
        self.nursery.start_soon(self._run_vm, vm)
        with trio.move_on_after(30):
            while core.check_ready() is not None:
                await trio.sleep(POLL_INTERVAL_S)
            vm.serving = True
            self.history.append(VmStarted(trio.current_time(), name))

    def _membership_config(self, name: str, zone: str, address: str) -> MembershipConfig:
        life = int((WALL_CLOCK_START_S + trio.current_time()) * 1e6)
        peers = tuple(vm.address for vm in self.vms.values())
        return MembershipConfig(
            name=name,
            address=address,
            zone=zone,
            region="region",
            cluster="scenario",
            keyring=Keyring({1: b"scenario key 16+"}),
            peers=peers,
            life=life,
        )

    async def _run_vm(self, vm: Vm) -> None:
        with vm.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(vm.membership.run)
                nursery.start_soon(vm.core.run)
                nursery.start_soon(vm.core.orders.maintain)
                nursery.start_soon(track_members, vm.core, vm.membership)
                await self._record_revisions(vm)

    async def _record_revisions(self, vm: Vm) -> None:
        recorded_id = None
        while True:
            replica = vm.core.replica
            if replica.revision_id != recorded_id and replica.revision:
                recorded_id = replica.revision_id
                self.history.append(
                    NoteApplied(trio.current_time(), vm.name, replica.revision, recorded_id)
                )
            await trio.sleep(POLL_INTERVAL_S)

    def kill_vm(self, name: str) -> None:
        """Kill a VM: its connections break and it sends no leave message."""
        vm = self.vms.pop(name)
        vm.scope.cancel()
        vm.ended.set()
        self.network.remove(vm.address)
        self.history.append(VmStopped(trio.current_time(), name))

    async def stop_vm(self, name: str) -> None:
        """Shut a VM down gracefully: make it unready, drain it, then stop it."""
        vm = self.vms[name]
        vm.serving = False
        await vm.membership.leave()
        await vm.core.relay.drain()
        await vm.core.orders.flush()
        await vm.membership.stop()
        self.kill_vm(name)

    def partition_vm(self, name: str) -> None:
        """Partition a VM from the platform and its peers."""
        vm = self.vms[name]
        vm.store.partitioned = True
        self.network.partition((vm.address,))
        self.history.append(VmStopped(trio.current_time(), name))

    def heal(self) -> None:
        """End all partitions."""
        self.network.heal()
        for vm in self.vms.values():
            if vm.store.partitioned:
                vm.store.partitioned = False
                self.history.append(VmStarted(trio.current_time(), vm.name))

    def kill_server(self, name: str) -> None:
        """Kill an engine or a plain server."""
        if name in self.engines.states:
            self.engines.kill(name)
        else:
            self.services.kill(name)
        self.history.append(ServerStopped(trio.current_time(), name, False))

    def kill_zone(self, zone: str) -> None:
        """Kill all servers and VMs of a zone."""
        catalog = next(iter(self.vms.values())).core.catalog
        for server in sorted(catalog.servers):
            if catalog.servers[server].zone == zone:
                self.kill_server(server)
        for vm in list(self.vms.values()):
            if vm.core.config.zone == zone:
                self.kill_vm(vm.name)

    def mark_server_leaving(self, name: str) -> None:
        """Mark a server as leaving: it refuses new calls and finishes those in progress."""
        (self.engines if name in self.engines.states else self.services).mark_leaving(name)
        self.history.append(ServerLeaving(trio.current_time(), name))

    async def stop_server(self, name: str) -> None:
        """Mark an engine as leaving, wait until its streams have ended, then stop it."""
        self.mark_server_leaving(name)
        while self.engines.states[name].resident:
            await trio.sleep(POLL_INTERVAL_S)
        self.engines.kill(name)
        self.history.append(ServerStopped(trio.current_time(), name, True))

    def record_orders(self) -> None:
        """Add the orders that the plain servers ran to the history."""
        for run in self.services.log:
            if run.method != "GET":
                order = run.key.partition("-")[2]
                self.history.append(OrderRan(run.time, order, run.server))


def _check_synced(membership: Membership) -> Failure | None:
    ready = membership.ready()
    return ready if isinstance(ready, Failure) else None
