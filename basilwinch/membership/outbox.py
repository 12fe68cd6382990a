"""Sending of messages: what each one carries, and what it costs."""

import collections
from random import Random

import trio

from basilwinch.membership.budget import DATAGRAM_OVERHEAD_BYTES, ByteBudget
from basilwinch.membership.codec import encode_body
from basilwinch.membership.config import MembershipConfig
from basilwinch.membership.detector import OutgoingMessage
from basilwinch.membership.exchange import Exchanges
from basilwinch.membership.message import MemberState, Message, MessageKind
from basilwinch.membership.packet import MAX_DATAGRAM_BYTES, Sealer
from basilwinch.membership.revision_sync import RevisionSync
from basilwinch.membership.roster import Entry, Roster
from basilwinch.membership.transport import Transport

__all__ = ["Outbox"]

# Upper bound of the fixed parts of a packet: envelope, MAC, revision, probe.
_PACKET_FIXED_BYTES = 110
# Limit of the member updates in each message: five updates, or one with an introduction.
_UPDATES_LIMIT_BYTES = 120
# Limit when many nodes change at once, e.g. when a region is cut off, if the budget allows it.
_BACKLOG_UPDATES_LIMIT_BYTES = 400
_BACKLOG_THRESHOLD_UPDATES = 8
_BACKLOG_MIN_FILL_RATIO = -0.25
# At or below this share of the burst, payloads are sent only in messages with urgent payloads,
# because payloads can wait longer than configuration changes.
_PAYLOAD_MIN_FILL_RATIO = 0.5


class Outbox:
    """Builds, authenticates and sends messages, and counts their bytes.

    :param config: :class:`MembershipConfig`
    :param transport: :class:`Transport`
    :param roster: :class:`Roster`
    :param revision_sync: :class:`RevisionSync`
    :param rng: source of randomness
    """

    __slots__ = (
        "_config",
        "_rng",
        "_roster",
        "_sealer",
        "_revision_sync",
        "_transport",
        "budget",
        "exchanges",
        "traffic",
    )

    def __init__(
        self,
        config: MembershipConfig,
        transport: Transport,
        roster: Roster,
        revision_sync: RevisionSync,
        rng: Random,
    ):
        self._config = config
        self._transport = transport
        self._roster = roster
        self._revision_sync = revision_sync
        self._rng = rng
        self._sealer = Sealer(config.cluster, config.keyring, roster.own.node, config.life)
        self.budget = ByteBudget(config.bytes_per_s, config.burst_s)
        self.exchanges = Exchanges()
        self.traffic = collections.Counter()

    def use_keys(self, keyring) -> None:
        """Sign with the first key of a keyring from now on."""
        self._sealer.use_keys(keyring)

    def new_message(self, kind: MessageKind, **fields) -> Message:
        """Return a message with the revision, the readiness and the roster digest of this node."""
        revision, ready = self._revision_sync.revision, self._revision_sync.ready
        return Message(kind, revision, ready, roster=self._roster.digest, **fields)

    def seal(self, body: bytes, destination: int) -> bytes:
        """Return an authenticated packet.

        :param body: encoded message
        :param destination: life of the receiver, 0 if it is not known
        """
        self._sealer.life = self._roster.own.life
        return self._sealer.seal(body, destination)

    def spend(self, part: str, size: int) -> None:
        """Charge bytes on the wire to the budget and to a counter.

        :param part: ``sent``, ``received`` or ``platform``
        """
        self.traffic[part] += size
        self.budget.spend(size, trio.current_time())

    async def send(
        self,
        address: str,
        message: Message,
        entry: Entry | None,
        life: int = 0,
        receiver_revision: int | None = None,
        urgent=frozenset(),
        messages_left: int = 1,
    ) -> None:
        """Send a message, with member updates, configuration changes and payloads that fit into its
        packet.

        :param entry: the receiver; None if it is not known or does not know this node, in which
            case the message introduces this node
        :param life: life of the receiver, 0 if it is not known
        :param receiver_revision: revision that the receiver holds; None to send no changes
        :param urgent: kinds of payloads that may use the reserve of their budget
        :param messages_left: number of messages that share the available budget of urgent kinds
        """
        now = trio.current_time()
        use_backlog_limit = (
            self._roster.backlog > _BACKLOG_THRESHOLD_UPDATES
            and self.budget.fill_ratio(now) > _BACKLOG_MIN_FILL_RATIO
        )
        limit = _BACKLOG_UPDATES_LIMIT_BYTES if use_backlog_limit else _UPDATES_LIMIT_BYTES
        message.updates += tuple(self._roster.take_updates(limit))
        if entry is None:
            message.updates += (self._roster.own.to_update(True),)
        elif entry.state != MemberState.ALIVE:
            # The receiver learns that it counts as suspect or dead, and can refute it.
            message.updates += (entry.to_update(False),)
        room = MAX_DATAGRAM_BYTES - _PACKET_FIXED_BYTES - sum(map(_update_size, message.updates))
        if receiver_revision is not None and receiver_revision < self._revision_sync.revision:
            message.delta, message.large = self._revision_sync.delta(receiver_revision, room)
            if entry:
                entry.sent_revision, entry.sent_at = self._revision_sync.revision, now
        if entry and (urgent or self.budget.fill_ratio(now) > _PAYLOAD_MIN_FILL_RATIO):
            room -= len(message.delta) + sum(len(data) for _, data in message.payloads)
            message.payloads += self.exchanges.export(room, now, urgent, messages_left)
        packet = self.seal(encode_body(message), life)
        self.spend("sent", len(packet) + DATAGRAM_OVERHEAD_BYTES)
        self.traffic[f"sent_{message.kind}"] += 1
        self.traffic["sent_change_bytes"] += len(message.delta)
        self.traffic["sent_payload_bytes"] += sum(len(data) for _, data in message.payloads)
        await self._transport.send(address, packet)

    async def send_outgoing(
        self, outgoing: OutgoingMessage, receiver_revision: int | None = None
    ) -> None:
        """Build the message that an :class:`OutgoingMessage` describes, and send it.

        :param receiver_revision: revision that the receiver holds; None to send no changes
        """
        message = self.new_message(outgoing.kind, probe=outgoing.probe, about=outgoing.about)
        await self.send(
            outgoing.entry.address, message, outgoing.entry, outgoing.entry.life, receiver_revision
        )

    async def send_changes(self, entry: Entry) -> None:
        """Send the configuration changes that a peer lacks, unless they were sent within one
        probe period."""
        recent = trio.current_time() - entry.sent_at < self._config.probe_period_s
        if not (recent and entry.sent_revision == self._revision_sync.revision):
            await self.send_outgoing(OutgoingMessage(entry, MessageKind.DIGEST, 0), entry.revision)

    async def send_payload(self, entry: Entry, kind: int, data: bytes) -> None:
        """Send a payload to one node; it is dropped unless more than half of the burst is left."""
        if self.budget.fill_ratio(trio.current_time()) > _PAYLOAD_MIN_FILL_RATIO:
            message = self.new_message(MessageKind.DIGEST, payloads=((kind, data),))
            await self.send(entry.address, message, entry, entry.life)

    async def send_to_random_peers(self, count: int) -> None:
        """Send a message with all urgent payloads to up to ``count`` random nodes."""
        urgent, self.exchanges.urgent = frozenset(self.exchanges.urgent), set()
        others = self._roster.others()
        receivers = self._rng.sample(others, min(count, len(others)))
        for number, entry in enumerate(receivers):
            message = self.new_message(MessageKind.DIGEST)
            messages_left = len(receivers) - number
            await self.send(entry.address, message, entry, entry.life, None, urgent, messages_left)


def _update_size(update) -> int:
    """Return an upper bound of the bytes of an encoded update: 32 for its numbers, and twice the
    bytes of its texts."""
    text = update.name + update.address + update.zone + update.region
    return 32 + 2 * len(text.encode())
