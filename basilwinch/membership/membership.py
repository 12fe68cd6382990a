"""Membership of one node in the cluster: probes, gossip, fetches and the platform watch."""

import collections
from random import Random

import trio

from basilwinch.exception import MALFORMED_PACKET, STALE_SENDER, WRONG_DESTINATION, Failure
from basilwinch.membership.budget import DATAGRAM_OVERHEAD_BYTES
from basilwinch.membership.codec import decode_body, encode_body
from basilwinch.membership.config import MembershipConfig
from basilwinch.membership.detector import Detector
from basilwinch.membership.exchange import Exchange
from basilwinch.membership.fetch import Fetcher
from basilwinch.membership.message import Member, MemberState, Message, MessageKind, Update, node_id
from basilwinch.membership.origin import OriginCheck
from basilwinch.membership.outbox import Outbox
from basilwinch.membership.packet import Keyring, Packet, PacketReader
from basilwinch.membership.revision_sync import Replica, RevisionSync
from basilwinch.membership.roster import Entry, Roster
from basilwinch.membership.seeds import Seeds
from basilwinch.membership.transport import Transport
from basilwinch.membership.watch import (
    RevisionSource,
    Watcher,
    choose_watchers,
    compute_read_delay_s,
    rank_watchers,
)
from basilwinch.observability import DecisionLog
from basilwinch.store import VmList

__all__ = ["Membership"]

# Below this share of the burst no revision is pushed; probes carry the changes then.
_PUSH_MIN_FILL_RATIO = 0.3
# All members are fetched when no peer's roster digest has matched for this long. Gossip alone
# spreads a change within a few periods.
_ROSTER_MISMATCH_PERIODS = 15
_URGENT_PAYLOAD_PEERS = 3
# Reaches all other nodes of a cluster of 9; in larger clusters gossip forwards the notice.
_LEAVE_NOTICE_PEERS = 8
_SEEDS_WHILE_JOINING = 3
_SEED_PING_INTERVAL_PERIODS = 10
_EXPIRY_INTERVAL_PERIODS = 60
_DROP_LOG_INTERVAL_S = 10.0
_COALESCE_DELAY_S = 0.02
# Minimum time between two fetches of the whole release state after changes that did not apply.
_WHOLE_FETCH_INTERVAL_S = 5.0


class Membership:
    """This node's view of the cluster. Build it with :meth:`from_config`.

    A message is handled in time linear in its size. Memory is linear in the number of nodes.

    :ivar outbox: sender of messages, with the budget and the counters of the traffic
    :ivar dropped: number of dropped packets and payloads and of failed fetches, by failure code
    """

    def __init__(
        self,
        config: MembershipConfig,
        transport: Transport,
        replica: Replica,
        rng: Random,
        log: DecisionLog,
        source: RevisionSource | None,
        vm_list: VmList | None,
    ):
        now = trio.current_time()
        self._config = config
        self._transport = transport
        self._rng = rng
        self._log = log
        node = node_id(config.name)
        details = (config.name, config.address, config.zone, config.region)
        own = Update(node, config.life, 0, MemberState.ALIVE, False, *details)
        self.roster = Roster(own, now, self._on_state_change)
        self.detector = Detector(self.roster, config, rng, now)
        self.revision_sync = RevisionSync(replica, log)
        self.outbox = Outbox(config, transport, self.roster, self.revision_sync, rng)
        self.dropped = collections.Counter()
        self._reader = PacketReader(config.cluster, config.keyring)
        self._origin = OriginCheck(node)
        self._fetcher = Fetcher(
            transport,
            self._reader,
            self._origin,
            self.outbox,
            self.roster,
            self.revision_sync,
            self.drop,
        )
        self._seeds = Seeds(config, vm_list, rng)
        self._watcher = None
        if source:
            self._watcher = Watcher(
                source,
                config,
                self._is_chosen,
                self._compute_read_delay_s,
                self._on_platform_read,
                rng,
                log,
            )
        self._nursery = None
        self._urgent_send_scheduled = False
        self._whole_fetch_at = -_WHOLE_FETCH_INTERVAL_S
        self._read_order: list[int] = []
        self._watcher_choice = (-1, False)
        # Whether the roster digest has matched that of a peer since the start.
        self._roster_confirmed = False
        self._rosters_agreed_at = now
        self._drop_logged_at: dict[str, float] = {}

    @classmethod
    def from_config(
        cls,
        config: MembershipConfig,
        transport: Transport,
        replica: Replica,
        rng: Random,
        log: DecisionLog,
        source: RevisionSource | None = None,
        vm_list: VmList | None = None,
    ) -> "Membership":
        """Build the membership of this node.

        :param config: settings
        :param transport: sends datagrams and opens streams to other nodes
        :param replica: release state of this node
        :param rng: source of randomness
        :param log: decision log
        :param source: reads revisions from the platform; None for a node that never reads it
        :param vm_list: the platform's list of VMs, a source of seed addresses, or None
        """
        return cls(config, transport, replica, rng, log, source, vm_list)

    def add_exchange(self, exchange: Exchange) -> None:
        """Send the payloads of an exchange with the messages, and merge those received.

        :raises ValueError: if another exchange has the same kind
        """
        self.outbox.exchanges.add(exchange)

    def members(self, now: float) -> list[Member]:
        """Return the nodes that are not dead, including this one, ordered by name."""
        return [entry.to_member() for entry in self.roster.members()]

    def has_announced_leave(self, name: str) -> bool:
        """Return whether a node has announced that it leaves. False for a node that failed without
        this notice, and for an unknown node."""
        entry = self.roster.entries.get(node_id(name))
        return entry is not None and entry.leaving

    def is_watcher(self, now: float) -> bool:
        """Return whether this node is one of the chosen watchers of its zone. Takes time linear in
        the number of nodes after a change of the roster, else constant time."""
        version, is_chosen = self._watcher_choice
        if version != self.roster.version:
            config = self._config
            chosen = choose_watchers(self.roster, config.zone, config.watchers_per_zone)
            is_chosen = self.roster.own.node in chosen
            self._watcher_choice = (self.roster.version, is_chosen)
        return is_chosen

    def _is_chosen(self) -> bool:
        return self.is_watcher(trio.current_time())

    def _compute_read_delay_s(self) -> float:
        count = self._config.watchers_per_zone
        self._read_order = rank_watchers(self.roster, count, self.revision_sync.revision)
        return compute_read_delay_s(self._read_order, self.roster.own.node)

    def is_watching(self) -> bool:
        """Return whether a watch is open. It stays open for a while after this node is no longer
        chosen."""
        return self._watcher is not None and self._watcher.watching

    def ready(self) -> bool | Failure:
        """Return True, or ``NOT_READY`` while this node cannot know whether its release state is
        current."""
        return self.revision_sync.check()

    def use_keys(self, keyring: Keyring) -> None:
        """Replace the packet keys of the running node. A rotation takes three steps, each on all
        nodes: add the new key second, move it first, remove the old key."""
        self.outbox.use_keys(keyring)
        self._reader.use_keys(keyring)

    def mark_urgent(self, kind: int) -> None:
        """Mark the payload of an exchange as urgent, so that it is sent to a few peers without
        waiting for the next probe.

        :param kind: kind of the exchange
        """
        self.outbox.exchanges.urgent.add(kind)
        self._schedule_urgent_send()

    def _schedule_urgent_send(self) -> None:
        """Send urgent payloads after a short delay, so that related payloads share a message.

        The crash of a batch of requests on a server changes a dozen suspect requests within
        milliseconds. With a message for each change, the byte budget would be used up before the
        last one, which matters most.
        """
        if self._nursery and self.outbox.exchanges.urgent and not self._urgent_send_scheduled:
            self._urgent_send_scheduled = True
            self._nursery.start_soon(self._send_urgent_after_delay)

    async def _send_urgent_after_delay(self) -> None:
        await trio.sleep(_COALESCE_DELAY_S)
        self._urgent_send_scheduled = False
        await self._send_urgent()

    async def run(self) -> None:
        """Take part in the cluster until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._receive)
            nursery.start_soon(self._run_detector)
            nursery.start_soon(self._seeds.run)
            nursery.start_soon(self._transport.serve_streams, self._fetcher.serve)
            if self._watcher:
                nursery.start_soon(self._watcher.run)

    async def send_payload(self, name: str, kind: int, data: bytes) -> None:
        """Send a payload to the node called ``name``. It is dropped if the node is not known or the
        byte budget is low."""
        entry = self.roster.entries.get(node_id(name))
        if entry is not None:
            await self.outbox.send_payload(entry, kind, data)

    async def leave(self) -> None:
        """Tell some peers that this node accepts no new work; gossip forwards the notice."""
        self.roster.announce_own_state(trio.current_time(), leaving=True)
        await self.outbox.send_to_random_peers(_LEAVE_NOTICE_PEERS)

    async def stop(self) -> None:
        """Tell some peers that this node stops now, so that they need not detect its failure."""
        self.roster.announce_own_state(trio.current_time(), leaving=True, state=MemberState.DEAD)
        await self.outbox.send_to_random_peers(_LEAVE_NOTICE_PEERS)

    async def _send_urgent(self) -> None:
        if self.outbox.exchanges.urgent:
            await self.outbox.send_to_random_peers(_URGENT_PAYLOAD_PEERS)

    async def _on_platform_read(self, changed: bool) -> None:
        self.revision_sync.record_platform_read()
        if changed:
            await self._push()

    async def _push(self) -> None:
        """Send a new revision to a few peers that do not hold it."""
        if self.outbox.budget.fill_ratio(trio.current_time()) < _PUSH_MIN_FILL_RATIO:
            return
        own, revision = self.roster.own, self.revision_sync.revision
        behind = [entry for entry in self.roster.others() if entry.revision < revision]
        self._rng.shuffle(behind)
        positions = {node: position for position, node in enumerate(self._read_order)}
        rest = [entry for entry in behind if entry.node not in positions]
        rest.sort(key=lambda entry: entry.zone != own.zone)
        watchers = [entry for entry in behind if entry.node in positions]
        watchers.sort(key=lambda entry: positions[entry.node])
        # The revision goes first to one node that is not a watcher, of this zone if possible, then
        # to the next watchers in read order, which then need not read the head themselves.
        for entry in (rest[:1] + watchers + rest[1:])[: self._config.push_peers]:
            await self.outbox.send_changes(entry)

    async def _run_detector(self) -> None:
        period = 0
        while True:
            await trio.sleep_until(self.detector.due_at)
            now = trio.current_time()
            period_starts = now >= self.detector.next_period_at
            for outgoing in self.detector.poll(now):
                await self.outbox.send_outgoing(outgoing)
            if not period_starts:
                continue
            period += 1
            await self._send_urgent()
            await self._ping_seeds(period)
            if period % _EXPIRY_INTERVAL_PERIODS == 0:
                self.roster.expire(now, self._config.dead_retention_s)

    async def _ping_seeds(self, period: int) -> None:
        joining = not self._roster_confirmed or len(self.roster) == 1
        if not joining and period % _SEED_PING_INTERVAL_PERIODS:
            return
        known = {entry.address for entry in self.roster.members()}
        for address in self._seeds.choose(known, _SEEDS_WHILE_JOINING if joining else 1):
            await self.outbox.send(address, self.outbox.new_message(MessageKind.PING), None)

    def _on_state_change(self, entry: Entry, former: MemberState | None) -> None:
        if entry is self.roster.own:
            return
        self.detector.update_suspicion(entry, trio.current_time())
        reason = "introduced" if former is None else f"was {former.name.lower()}"
        state = entry.state.name.lower()
        self._log.record("member", state, reason, node=entry.name, zone=entry.zone)

    def drop(self, failure: Failure) -> None:
        """Count a dropped packet or payload, or a failed fetch, and log each failure code at most
        once in 10 s."""
        now = trio.current_time()
        self.dropped[failure.code] += 1
        if (
            now - self._drop_logged_at.get(failure.code, -_DROP_LOG_INTERVAL_S)
            >= _DROP_LOG_INTERVAL_S
        ):
            self._drop_logged_at[failure.code] = now
            self._log.record("packet", failure.code, failure.reason)

    async def _receive(self) -> None:
        while True:
            address, data = await self._transport.receive()
            packet = self._reader.open(data)
            if isinstance(packet, Failure):
                self.drop(packet)
                continue
            entry = self.roster.entries.get(packet.sender)
            failure = self._origin.check(packet, entry)
            if failure is not None and failure.kind is not STALE_SENDER:
                self.drop(failure)
                continue
            message = decode_body(packet.body)
            if isinstance(message, Failure):
                self.drop(message)
                continue
            self.outbox.spend("received", len(data) + DATAGRAM_OVERHEAD_BYTES)
            if failure is not None:
                await self._handle_stale(address, packet, message, entry, failure)
            elif packet.destination == self.roster.own.life & 0xFFFFFFFF:
                await self._handle(address, packet, message)
            elif message.kind is MessageKind.PING:
                await self._acknowledge(address, packet, message, None)
            else:
                self.drop(
                    WRONG_DESTINATION.because(
                        f"{message.kind} with destination {packet.destination}, expected "
                        f"{self.roster.own.life & 0xFFFFFFFF}, the low 32 bits of the life of this "
                        "process"
                    )
                )

    async def _handle_stale(self, address, packet, message, entry, failure) -> None:
        """Tell a node whose wall clock was set back which later life of it is known here."""
        self.drop(failure)
        if (
            entry
            and message.kind is MessageKind.PING
            and self._origin.may_answer(trio.current_time())
        ):
            answer = self.outbox.new_message(MessageKind.ACK, probe=message.probe)
            answer.updates = (entry.to_update(True),)
            sealed = self.outbox.seal(encode_body(answer), packet.life)
            self.outbox.spend("sent", len(sealed) + DATAGRAM_OVERHEAD_BYTES)
            await self._transport.send(address, sealed)

    async def _acknowledge(
        self, address: str, packet: Packet, message: Message, entry: Entry | None
    ) -> None:
        """Answer a ping, with the changes that the sender lacks.

        :param address: source address of the ping, used if the sender is not known
        :param entry: the sender; None if one of the two nodes does not know the present process of
            the other, in which case the answer introduces this node
        """
        address = entry.address if entry else address
        answer = self.outbox.new_message(MessageKind.ACK, probe=message.probe)
        await self.outbox.send(address, answer, entry, packet.life, message.revision)

    async def _handle(self, address: str, packet: Packet, message: Message) -> None:
        """Handle a message addressed to this process."""
        now = trio.current_time()
        for update in message.updates:
            self.roster.merge(update, now)
        entry = self.roster.entries.get(packet.sender)
        if entry is None or entry.life != packet.life:
            if message.kind is MessageKind.PING:
                await self._acknowledge(address, packet, message, None)
            return
        entry.revision, entry.ready = message.revision, message.ready
        self._compare_rosters(entry, message, now)
        if message.revision > self.revision_sync.revision:
            if message.large:
                self._start_fetch(entry)
            elif message.delta:
                applied = self.revision_sync.apply_export(message.delta, entry.name)
                if (
                    isinstance(applied, Failure)
                    and now - self._whole_fetch_at > _WHOLE_FETCH_INTERVAL_S
                ):
                    self._whole_fetch_at = now
                    self._start_fetch(entry, whole_state=True)
        self.revision_sync.record_peer(packet.sender, message, len(self.roster) - 1)
        if message.payloads:
            failures = self.outbox.exchanges.merge(entry.name, message.payloads, now)
            for failure in failures:
                self.drop(failure)
            self._schedule_urgent_send()
        await self._answer(address, packet, message, entry)

    async def _answer(self, address: str, packet: Packet, message: Message, entry: Entry) -> None:
        outgoing = None
        if message.kind is MessageKind.PING:
            await self._acknowledge(address, packet, message, entry)
            return
        if message.kind is MessageKind.PING_REQ:
            now = trio.current_time()
            outgoing = self.detector.on_ping_req(entry, message.probe, message.about, now)
        elif message.kind is MessageKind.ACK:
            outgoing = self.detector.on_ack(entry, message.probe, message.about)
            if any(update.node == entry.node and update.name for update in message.updates):
                # An ack that introduces its sender may mean that the sender does not know this
                # node, so this node introduces itself.
                await self._introduce(entry)
        elif message.kind is not MessageKind.DIGEST:
            self.drop(MALFORMED_PACKET.because(f"message of kind {message.kind} in a datagram"))
            return
        if outgoing:
            await self.outbox.send_outgoing(outgoing)
        if message.revision < self.revision_sync.revision:
            await self.outbox.send_changes(entry)

    def _start_fetch(self, entry: Entry, members: bool = False, whole_state: bool = False) -> None:
        self._nursery.start_soon(self._fetcher.fetch, entry, members, whole_state)

    async def _introduce(self, entry: Entry) -> None:
        message = self.outbox.new_message(MessageKind.DIGEST)
        await self.outbox.send(entry.address, message, None, entry.life)
        if not self._roster_confirmed:
            self._start_fetch(entry, members=True)

    def _compare_rosters(self, entry: Entry, message: Message, now: float) -> None:
        if message.roster == self.roster.digest:
            self._rosters_agreed_at = now
            self._roster_confirmed = True
        elif now - self._rosters_agreed_at > _ROSTER_MISMATCH_PERIODS * self._config.probe_period_s:
            # The jitter spreads the next fetch over one period, because many nodes see the same
            # difference.
            self._rosters_agreed_at = now - self._rng.random() * self._config.probe_period_s
            self._start_fetch(entry, members=True)
