"""The membership of one node: probes, gossip, fetches and the watch."""

import collections
from random import Random

import trio

from basilwinch.exception import MALFORMED_PACKET, STALE_SENDER, WRONG_DESTINATION, Failure
from basilwinch.membership.budget import DATAGRAM_OVERHEAD
from basilwinch.membership.codec import decode_body, encode_body
from basilwinch.membership.config import MembershipConfig
from basilwinch.membership.detector import Detector
from basilwinch.membership.exchange import Exchange
from basilwinch.membership.fetch import Fetcher
from basilwinch.membership.message import Kind, Member, MemberState, Message, Update, node_id
from basilwinch.membership.origin import OriginCheck
from basilwinch.membership.outbox import Outbox
from basilwinch.membership.packet import Keyring, Packet, PacketReader
from basilwinch.membership.roster import Entry, Roster
from basilwinch.membership.seeds import Seeds
from basilwinch.membership.spread import Replica, Spread
from basilwinch.membership.transport import Transport
from basilwinch.membership.watch import (
    RevisionSource,
    Watcher,
    choose_watchers,
    rank_watchers,
    reading_delay,
)
from basilwinch.observability import DecisionLog
from basilwinch.store import VmList

__all__ = ["Membership"]

# Part of the burst that must be left for pushes; without them probes carry the changes.
_PUSH_LEVEL = 0.3
# Digests of the rosters must differ for this long before all members are fetched; gossip alone
# settles a change within a few periods.
_DISAGREE_PERIODS = 15
_URGENT_PEERS = 3
# Covers all nodes of today's size; at larger sizes gossip carries the news on.
_FAREWELL_PEERS = 8
_SEEDS_WHEN_ALONE = 3
_SEED_PERIODS = 10
_EXPIRE_PERIODS = 60
_DROP_LOG_S = 10.0
_COALESCE_S = 0.02
# Shortest time between two fetches of the whole state after changes that did not fit.
_WHOLE_S = 5.0


class Membership:
    """What this node knows of the other nodes. Build it with :meth:`from_config`.

    Each message costs time linear in its size. Memory is linear in the number of nodes.

    :ivar outbox: budget and counters of the traffic
    :ivar dropped: counter of dropped packets by failure code
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
        self.roster = Roster(own, now, self._note_change)
        self.detector = Detector(self.roster, config, rng, now)
        self.spread = Spread(replica, log)
        self.outbox = Outbox(config, transport, self.roster, self.spread, rng)
        self.dropped = collections.Counter()
        self._reader = PacketReader(config.cluster, config.keyring)
        self._origin = OriginCheck(node)
        self._fetcher = Fetcher(
            transport,
            self._reader,
            self._origin,
            self.outbox,
            self.roster,
            self.spread,
            self.drop,
        )
        self._seeds = Seeds(config, vm_list, rng)
        self._watcher = None
        if source:
            self._watcher = Watcher(
                source,
                config,
                self._is_chosen,
                self._reading_delay,
                self._on_platform_read,
                rng,
                log,
            )
        self._nursery = None
        self._hastening = False
        self._whole_at = -_WHOLE_S
        self._order: list[int] = []
        self._choice = (-1, False)
        self._synced = False
        self._agreed_at = now
        self._logged_at: dict[str, float] = {}

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
        :param transport: datagrams and streams to other nodes
        :param replica: state in effect on this node
        :param rng: source of randomness
        :param log: decision log
        :param source: the platform, or None for a node that never reads it
        :param vm_list: the platform's list of VMs, or None
        """
        return cls(config, transport, replica, rng, log, source, vm_list)

    def add_exchange(self, exchange: Exchange) -> None:
        """Let a payload travel with the messages.

        :raises ValueError: if its kind is taken
        """
        self.outbox.exchanges.add(exchange)

    def members(self, now: float) -> list[Member]:
        """Return the nodes that are not dead, this one included, ordered by name."""
        return [entry.to_member() for entry in self.roster.members()]

    def has_left(self, name: str) -> bool:
        """Tell whether a node said itself that it leaves; a node that died did not."""
        entry = self.roster.entries.get(node_id(name))
        return entry is not None and entry.leaving

    def is_watcher(self, now: float) -> bool:
        """Tell whether this node is among those of its zone that watch the platform. Linear in the
        number of nodes after a change of the roster, else constant."""
        version, is_chosen = self._choice
        if version != self.roster.version:
            config = self._config
            chosen = choose_watchers(self.roster, config.zone, config.watchers_per_zone)
            is_chosen = self.roster.own.node in chosen
            self._choice = (self.roster.version, is_chosen)
        return is_chosen

    def _is_chosen(self) -> bool:
        return self.is_watcher(trio.current_time())

    def _reading_delay(self) -> float:
        count = self._config.watchers_per_zone
        self._order = rank_watchers(self.roster, count, self.spread.revision)
        return reading_delay(self._order, self.roster.own.node)

    def is_watching(self) -> bool:
        """Tell whether a watch is open; it lasts a little longer than the choice."""
        return self._watcher is not None and self._watcher.watching

    def ready(self) -> bool | Failure:
        """Return True, or ``NOT_READY`` while the state in effect cannot be determined."""
        return self.spread.check()

    def use_keys(self, keyring: Keyring) -> None:
        """Change the keys without a stop. Steps of a rotation: the new key second on all nodes, the
        new key first on all nodes, the old key removed."""
        self.outbox.use_keys(keyring)
        self._reader.use_keys(keyring)

    def hasten(self, kind: int) -> None:
        """Send the payload of an exchange to a few peers at once."""
        self.outbox.exchanges.urgent.add(kind)
        self._hasten()

    def _hasten(self) -> None:
        """Send urgent payloads after a moment, so that news of one event shares its messages.

        A crashed batch makes a dozen changes within milliseconds; a message for each of them used
        up the byte budget before the last, decisive one.
        """
        if self._nursery and self.outbox.exchanges.urgent and not self._hastening:
            self._hastening = True
            self._nursery.start_soon(self._send_urgent_soon)

    async def _send_urgent_soon(self) -> None:
        await trio.sleep(_COALESCE_S)
        self._hastening = False
        await self._send_urgent()

    async def run(self) -> None:
        """Take part until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._receive)
            nursery.start_soon(self._probe)
            nursery.start_soon(self._seeds.run)
            nursery.start_soon(self._transport.serve_streams, self._fetcher.serve)
            if self._watcher:
                nursery.start_soon(self._watcher.run)

    async def send_payload(self, name: str, kind: int, data: bytes) -> None:
        """Send a payload to one node by its name; it is lost if the node is not known."""
        entry = self.roster.entries.get(node_id(name))
        if entry is not None:
            await self.outbox.send_payload(entry, kind, data)

    async def leave(self) -> None:
        """Tell some peers that this node takes no new work; gossip carries it on."""
        self.roster.set_own(trio.current_time(), leaving=True)
        await self.outbox.send_to_some(_FAREWELL_PEERS)

    async def stop(self) -> None:
        """Tell some peers that this node ends now, so that no suspicion is needed."""
        self.roster.set_own(trio.current_time(), leaving=True, state=MemberState.DEAD)
        await self.outbox.send_to_some(_FAREWELL_PEERS)

    async def _send_urgent(self) -> None:
        if self.outbox.exchanges.urgent:
            await self.outbox.send_to_some(_URGENT_PEERS)

    async def _on_platform_read(self, changed: bool) -> None:
        self.spread.note_platform()
        if changed:
            await self._push()

    async def _push(self) -> None:
        """Send a new revision to a few peers."""
        if self.outbox.budget.level(trio.current_time()) < _PUSH_LEVEL:
            return
        own, revision = self.roster.own, self.spread.revision
        behind = [entry for entry in self.roster.others() if entry.revision < revision]
        self._rng.shuffle(behind)
        ranks = {node: rank for rank, node in enumerate(self._order)}
        rest = [entry for entry in behind if entry.node not in ranks]
        rest.sort(key=lambda entry: entry.zone != own.zone)
        watchers = [entry for entry in behind if entry.node in ranks]
        watchers.sort(key=lambda entry: ranks[entry.node])
        # The next watchers in order need not read then; the first of the rest is in the own zone.
        for entry in (rest[:1] + watchers + rest[1:])[: self._config.push_peers]:
            await self.outbox.send_changes(entry)

    async def _probe(self) -> None:
        period = 0
        while True:
            await trio.sleep_until(self.detector.due_at)
            now = trio.current_time()
            starts = now >= self.detector.period_at
            for send in self.detector.poll(now):
                await self.outbox.send_to(send)
            if not starts:
                continue
            period += 1
            await self._send_urgent()
            await self._ping_seeds(period)
            if period % _EXPIRE_PERIODS == 0:
                self.roster.expire(now, self._config.forget_s)

    async def _ping_seeds(self, period: int) -> None:
        alone = not self._synced or len(self.roster) == 1
        if not alone and period % _SEED_PERIODS:
            return
        known = {entry.address for entry in self.roster.members()}
        for address in self._seeds.choose(known, _SEEDS_WHEN_ALONE if alone else 1):
            await self.outbox.send(address, self.outbox.header(Kind.PING), None)

    def _note_change(self, entry: Entry, former: MemberState | None) -> None:
        if entry is self.roster.own:
            return
        self.detector.note_state(entry, trio.current_time())
        reason = "introduced" if former is None else f"was {former.name.lower()}"
        state = entry.state.name.lower()
        self._log.record("member", state, reason, node=entry.name, zone=entry.zone)

    def drop(self, failure: Failure) -> None:
        """Count a packet that is dropped; logs each code at most once in 10 s."""
        now = trio.current_time()
        self.dropped[failure.code] += 1
        if now - self._logged_at.get(failure.code, -_DROP_LOG_S) >= _DROP_LOG_S:
            self._logged_at[failure.code] = now
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
            self.outbox.spend("received", len(data) + DATAGRAM_OVERHEAD)
            if failure is not None:
                await self._handle_stale(address, packet, message, entry, failure)
            elif packet.destination == self.roster.own.life & 0xFFFFFFFF:
                await self._handle(address, packet, message)
            elif message.kind is Kind.PING:
                await self._acknowledge(address, packet, message, None)
            else:
                self.drop(WRONG_DESTINATION.because(f"a {message.kind} for another process"))

    async def _handle_stale(self, address, packet, message, entry, failure) -> None:
        """Tell a node whose wall clock went back which life is known of it."""
        self.drop(failure)
        if entry and message.kind is Kind.PING and self._origin.may_answer(trio.current_time()):
            answer = self.outbox.header(Kind.ACK, probe=message.probe)
            answer.updates = (entry.to_update(True),)
            sealed = self.outbox.seal(encode_body(answer), packet.life)
            self.outbox.spend("sent", len(sealed) + DATAGRAM_OVERHEAD)
            await self._transport.send(address, sealed)

    async def _acknowledge(
        self, address: str, packet: Packet, message: Message, entry: Entry | None
    ) -> None:
        """Answer a ping with what the sender lacks.

        :param address: where the ping came from, used if the node is not known
        :param entry: None if one of the two nodes does not know the other's present process; the
            answer then introduces this node
        """
        address = entry.address if entry else address
        answer = self.outbox.header(Kind.ACK, probe=message.probe)
        await self.outbox.send(address, answer, entry, packet.life, message.revision)

    async def _handle(self, address: str, packet: Packet, message: Message) -> None:
        """Handle a message to this process."""
        now = trio.current_time()
        for update in message.updates:
            self.roster.absorb(update, now)
        entry = self.roster.entries.get(packet.sender)
        if entry is None or entry.life != packet.life:
            if message.kind is Kind.PING:
                await self._acknowledge(address, packet, message, None)
            return
        entry.revision, entry.ready = message.revision, message.ready
        self._compare_rosters(entry, message, now)
        if message.revision > self.spread.revision:
            if message.large:
                self._start_fetch(entry)
            elif message.delta:
                applied = self.spread.absorb(message.delta, entry.name)
                if isinstance(applied, Failure) and now - self._whole_at > _WHOLE_S:
                    self._whole_at = now
                    self._start_fetch(entry, whole=True)
        self.spread.note_peer(packet.sender, message, len(self.roster) - 1)
        if message.payloads:
            failures = self.outbox.exchanges.absorb(entry.name, message.payloads, now)
            for failure in failures:
                self.drop(failure)
            self._hasten()
        await self._answer(address, packet, message, entry)

    async def _answer(self, address: str, packet: Packet, message: Message, entry: Entry) -> None:
        send = None
        if message.kind is Kind.PING:
            await self._acknowledge(address, packet, message, entry)
            return
        if message.kind is Kind.PING_REQ:
            now = trio.current_time()
            send = self.detector.on_request(entry, message.probe, message.about, now)
        elif message.kind is Kind.ACK:
            send = self.detector.on_ack(entry, message.probe, message.about)
            if any(update.node == entry.node and update.name for update in message.updates):
                # An introduction in an answer means that the peer does not know this node.
                await self._introduce(entry)
        elif message.kind is not Kind.DIGEST:
            self.drop(MALFORMED_PACKET.because(f"a {message.kind} in a datagram"))
            return
        if send:
            await self.outbox.send_to(send)
        if message.revision < self.spread.revision:
            await self.outbox.send_changes(entry)

    def _start_fetch(self, entry: Entry, members: bool = False, whole: bool = False) -> None:
        self._nursery.start_soon(self._fetcher.fetch, entry, members, whole)

    async def _introduce(self, entry: Entry) -> None:
        message = self.outbox.header(Kind.DIGEST)
        await self.outbox.send(entry.address, message, None, entry.life)
        if not self._synced:
            self._start_fetch(entry, members=True)

    def _compare_rosters(self, entry: Entry, message: Message, now: float) -> None:
        if message.roster == self.roster.digest:
            self._agreed_at = now
            self._synced = True
        elif now - self._agreed_at > _DISAGREE_PERIODS * self._config.period_s:
            # The next try is spread over time because many nodes see the same difference.
            self._agreed_at = now - self._rng.random() * self._config.period_s
            self._start_fetch(entry, members=True)
