"""Outgoing messages of one node: what travels in each one, and its cost."""

import collections
from random import Random

import trio

from basilwinch.membership.budget import DATAGRAM_OVERHEAD, ByteBudget
from basilwinch.membership.codec import encode_body
from basilwinch.membership.config import MembershipConfig
from basilwinch.membership.detector import Send
from basilwinch.membership.exchange import Exchanges
from basilwinch.membership.message import Kind, MemberState, Message
from basilwinch.membership.packet import MAX_DATAGRAM, Sealer
from basilwinch.membership.roster import Entry, Roster
from basilwinch.membership.spread import Spread
from basilwinch.membership.transport import Transport

__all__ = ["Outbox"]

# Upper bound of a packet without its variable parts: envelope, MAC, revision, probe.
_FIXED_BYTES = 110
# Room for gossip about members in each message: five changes or one introduction.
_UPDATE_BYTES = 120
# Room when many nodes change at once, e.g. when a region is cut off, as long as the budget allows.
_BACKLOG_BYTES = 400
_BACKLOG = 8
_BACKLOG_LEVEL = -0.25
# Part of the burst that must be left for payloads, which can wait longer than changes.
_PAYLOAD_LEVEL = 0.5


class Outbox:
    """Builds, seals, counts and sends messages.

    :param config: :class:`MembershipConfig`
    :param transport: :class:`Transport`
    :param roster: :class:`Roster`
    :param spread: :class:`Spread`
    :param rng: source of randomness
    """

    __slots__ = (
        "_config",
        "_rng",
        "_roster",
        "_sealer",
        "_spread",
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
        spread: Spread,
        rng: Random,
    ):
        self._config = config
        self._transport = transport
        self._roster = roster
        self._spread = spread
        self._rng = rng
        self._sealer = Sealer(config.cluster, config.keyring, roster.own.node, config.life)
        self.budget = ByteBudget(config.bytes_per_s, config.burst_s)
        self.exchanges = Exchanges()
        self.traffic = collections.Counter()

    def use_keys(self, keyring) -> None:
        """Sign with the first key of another keyring from now on."""
        self._sealer.use_keys(keyring)

    def header(self, kind: Kind, **fields) -> Message:
        """Return a message with the digests of this node's state."""
        revision, ready = self._spread.revision, self._spread.complete
        return Message(kind, revision, ready, roster=self._roster.digest, **fields)

    def seal(self, body: bytes, destination: int) -> bytes:
        """Return the packet for a body."""
        self._sealer.life = self._roster.own.life
        return self._sealer.seal(body, destination)

    def spend(self, part: str, size: int) -> None:
        """Count bytes on the wire; ``part`` is ``sent`` or ``received``."""
        self.traffic[part] += size
        self.budget.spend(size, trio.current_time())

    async def send(
        self,
        address: str,
        message: Message,
        entry: Entry | None,
        life: int = 0,
        held: int | None = None,
        urgent=frozenset(),
        shares: int = 1,
    ) -> None:
        """Send a message with what fits beside it.

        :param entry: the receiver; None if it does not know this node or is not known itself, so
            that this node introduces itself
        :param life: life of the receiver, 0 if it is not known
        :param held: revision that the receiver holds; None to send no changes
        :param urgent: kinds of payloads that may use the reserve of their budget
        :param shares: messages that the reserve must still do for
        """
        now = trio.current_time()
        wide = self._roster.backlog > _BACKLOG and self.budget.level(now) > _BACKLOG_LEVEL
        limit = _BACKLOG_BYTES if wide else _UPDATE_BYTES
        message.updates += tuple(self._roster.take_updates(limit))
        if entry is None:
            message.updates += (self._roster.own.to_update(True),)
        elif entry.state != MemberState.ALIVE:
            # The receiver learns what is thought of it and can contradict.
            message.updates += (entry.to_update(False),)
        room = MAX_DATAGRAM - _FIXED_BYTES - sum(map(_update_size, message.updates))
        if held is not None and held < self._spread.revision:
            message.delta, message.large = self._spread.delta(held, room)
            if entry:
                entry.sent_revision, entry.sent_at = self._spread.revision, now
        if entry and (urgent or self.budget.level(now) > _PAYLOAD_LEVEL):
            room -= len(message.delta) + sum(len(data) for _, data in message.payloads)
            message.payloads += self.exchanges.export(room, now, urgent, shares)
        packet = self.seal(encode_body(message), life)
        self.spend("sent", len(packet) + DATAGRAM_OVERHEAD)
        self.traffic[f"sent_{message.kind}"] += 1
        self.traffic["sent_change_bytes"] += len(message.delta)
        self.traffic["sent_payload_bytes"] += sum(len(data) for _, data in message.payloads)
        await self._transport.send(address, packet)

    async def send_to(self, send: Send, held: int | None = None) -> None:
        """Send a message of the detector."""
        message = self.header(send.kind, probe=send.probe, about=send.about)
        await self.send(send.entry.address, message, send.entry, send.entry.life, held)

    async def send_changes(self, entry: Entry) -> None:
        """Send what a peer lacks, unless that was done within the last period."""
        recent = trio.current_time() - entry.sent_at < self._config.period_s
        if not (recent and entry.sent_revision == self._spread.revision):
            await self.send_to(Send(entry, Kind.DIGEST, 0), entry.revision)

    async def send_payload(self, entry: Entry, kind: int, data: bytes) -> None:
        """Send a payload that is meant for one node; without budget it is dropped."""
        if self.budget.level(trio.current_time()) > _PAYLOAD_LEVEL:
            message = self.header(Kind.DIGEST, payloads=((kind, data),))
            await self.send(entry.address, message, entry, entry.life)

    async def send_to_some(self, count: int) -> None:
        """Send a message without a probe to some random nodes, with all urgent payloads."""
        urgent, self.exchanges.urgent = frozenset(self.exchanges.urgent), set()
        others = self._roster.others()
        chosen = self._rng.sample(others, min(count, len(others)))
        for number, entry in enumerate(chosen):
            message = self.header(Kind.DIGEST)
            shares = len(chosen) - number
            await self.send(entry.address, message, entry, entry.life, None, urgent, shares)


def _update_size(update) -> int:
    """Upper bound of an encoded update."""
    text = update.name + update.address + update.zone + update.region
    return 32 + 2 * len(text.encode())
