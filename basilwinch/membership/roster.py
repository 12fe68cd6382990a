"""Table of the known nodes, and the rules that merge updates on them."""

import hashlib
import math

from basilwinch.membership.message import Member, MemberState, Update, node_id

__all__ = ["Entry", "Roster"]

# A node sends each update _SENDS_PER_LOG2_NODES * log2(n) times in a roster of n nodes. Das et al.
# (2002), see detector.py, use the same form. Differing roster digests reveal updates that are lost
# nevertheless.
_SENDS_PER_LOG2_NODES = 2


class Entry:
    """State of a known node.

    :param update: the first update on it, which introduces the node
    """

    __slots__ = (
        "node",
        "name",
        "address",
        "zone",
        "region",
        "life",
        "incarnation",
        "state",
        "leaving",
        "changed_at",
        "revision",
        "ready",
        "sent_revision",
        "sent_at",
        "rendezvous_hash",
    )

    def __init__(self, update: Update, now: float):
        self.node = update.node
        self.name = update.name
        self.zone = update.zone
        self.region = update.region
        self.revision = 0
        self.ready = False
        self.sent_revision = 0
        self.sent_at = -math.inf
        self.rendezvous_hash = hashlib.blake2b(
            f"watch/{update.name}".encode(), digest_size=8
        ).digest()
        self.apply(update, now)

    def apply(self, update: Update, now: float) -> None:
        """Replace the state by that of a newer update."""
        if update.life != getattr(self, "life", None):
            self.revision, self.ready, self.sent_at = 0, False, -math.inf
        self.life = update.life
        self.incarnation = update.incarnation
        self.state = update.state
        self.leaving = update.leaving
        self.changed_at = now
        if update.address:
            self.address = update.address

    def to_update(self, introduce: bool) -> Update:
        """Return an update on this node.

        :param introduce: whether to include name, address, zone and region
        """
        details = (self.name, self.address, self.zone, self.region) if introduce else ()
        return Update(self.node, self.life, self.incarnation, self.state, self.leaving, *details)

    def to_member(self) -> Member:
        """Return the node as :meth:`Membership.members` lists it."""
        return Member(self.name, self.address, self.zone, self.region, self.state, self.leaving)

    @property
    def digest_term(self) -> int:
        """Number that the roster digest combines by XOR. It covers the life and whether the node
        leaves; suspicions are short and would make digests differ all the time."""
        key = b"%d %d %d" % (self.node, self.life, self.leaving)
        return int.from_bytes(hashlib.blake2b(key, digest_size=4).digest())


class Roster:
    """All known nodes, including this one.

    :param own: update that introduces this node
    :param now: present time in seconds
    :param listener: called with the entry and its former state, None for a new node, at each change
        of its state or life
    :ivar digest: digest of the nodes that are not dead
    :ivar version: increases with each new node and with each merged, detected or announced change

    Memory is linear in the number of nodes. :meth:`members` and :meth:`introductions` sort the
    nodes, :meth:`others` and :meth:`expire` take time linear in their number, and
    :meth:`take_updates` sorts the updates that are still to be sent. The other methods take
    constant time or time linear in their arguments.
    """

    __slots__ = ("own", "entries", "digest", "version", "_queue", "_listener", "_live_count")

    def __init__(self, own: Update, now: float, listener=None):
        self.own = Entry(own, now)
        self.entries = {own.node: self.own}
        self.digest = self.own.digest_term
        # By node id: [times sent, whether to introduce the node].
        self._queue: dict[int, list] = {}
        self._listener = listener or (lambda entry, former: None)
        self._live_count = 1
        self.version = 0
        self._enqueue(self.own, True)

    def __len__(self):
        """Number of nodes that are not dead."""
        return self._live_count

    def members(self) -> list[Entry]:
        """Return the entries that are not dead, ordered by name."""
        live = (entry for entry in self.entries.values() if entry.state != MemberState.DEAD)
        return sorted(live, key=lambda entry: entry.name)

    def others(self) -> list[Entry]:
        """Return the entries of the other nodes that are alive."""
        own = self.own
        return [
            entry
            for entry in self.entries.values()
            if entry.state == MemberState.ALIVE and entry is not own
        ]

    def _enqueue(self, entry: Entry, introduce: bool) -> None:
        self.version += 1
        self._queue[entry.node] = [0, introduce]

    def merge(self, update: Update, now: float) -> bool:
        """Merge an update from another node.

        :returns: whether it changed the roster
        """
        if update.node == self.own.node:
            return self._refute(update, now)
        entry = self.entries.get(update.node)
        if entry is None:
            if not update.name or node_id(update.name) != update.node:
                return False
            if update.state == MemberState.DEAD:
                return False
            entry = self.entries[update.node] = Entry(update, now)
            self._live_count += 1
            self.digest ^= entry.digest_term
            self._enqueue(entry, True)
            self._listener(entry, None)
            return True
        if update.precedence <= (entry.life, entry.incarnation, entry.state):
            return False
        if update.life != entry.life and not update.name:
            # A new life may have another address, so it is accepted only with an introduction.
            return False
        self._change(entry, update, now)
        return True

    def _change(self, entry: Entry, update: Update, now: float) -> None:
        former, life = entry.state, entry.life
        if former != MemberState.DEAD:
            self.digest ^= entry.digest_term
            self._live_count -= 1
        entry.apply(update, now)
        if entry.state != MemberState.DEAD:
            self.digest ^= entry.digest_term
            self._live_count += 1
        self._enqueue(entry, life != entry.life)
        if former != entry.state or life != entry.life:
            self._listener(entry, former)

    def _refute(self, update: Update, now: float) -> bool:
        """Refute a wrong update on this node with a newer incarnation."""
        own = self.own
        if update.life > own.life:
            # The wall clock was set back between two starts of this node.
            self._change(own, own.to_update(True).replace(life=update.life + 1), now)
            return True
        current = (own.life, own.incarnation, own.state)
        wrong = update.state != MemberState.ALIVE or update.leaving != own.leaving
        if own.state == MemberState.DEAD or update.precedence < current or not wrong:
            return False
        refutation = own.to_update(False).replace(incarnation=update.incarnation + 1)
        self._change(own, refutation, now)
        return True

    def announce_own_state(
        self, now: float, leaving: bool, state: MemberState = MemberState.ALIVE
    ) -> None:
        """Announce that this node leaves or that it stops."""
        announcement = self.own.to_update(False)
        announcement = announcement.replace(
            incarnation=announcement.incarnation + 1, leaving=leaving, state=state
        )
        self._change(self.own, announcement, now)

    def mark_state(self, entry: Entry, state: MemberState, now: float) -> None:
        """Set the state that this node has detected itself."""
        if entry.state != state:
            self._change(entry, entry.to_update(False).replace(state=state), now)

    @property
    def backlog(self) -> int:
        """Number of nodes with an update that is still to be sent."""
        return len(self._queue)

    def take_updates(self, limit: int) -> list[Update]:
        """Return the updates to send next, those sent fewest times first.

        :param limit: approximate size in bytes, at 24 per update plus the text of an introduction
        :returns: up to 16 updates; at least one if any is to be sent, even if it exceeds the limit
        """
        if not self._queue:
            return []
        max_sends = math.ceil(_SENDS_PER_LOG2_NODES * math.log2(len(self.entries) + 1))
        updates = []
        for node, send_state in sorted(self._queue.items(), key=lambda pair: pair[1][0])[:16]:
            entry = self.entries[node]
            limit -= 24
            if send_state[1]:
                limit -= len(entry.name) + len(entry.address) + len(entry.zone) + len(entry.region)
            if limit < 0 and updates:
                break
            updates.append(entry.to_update(send_state[1]))
            send_state[0] += 1
            if send_state[0] >= max_sends:
                del self._queue[node]
        return updates

    def introductions(self) -> list[Update]:
        """Return an introduction of each node that is not dead, for a node that joins."""
        return [entry.to_update(True) for entry in self.members()]

    def preload(self, updates: list[Update], now: float) -> None:
        """Merge updates that all nodes know already, so that they are not sent as gossip."""
        for update in updates:
            self.merge(update, now)
        self._queue.clear()

    def expire(self, now: float, dead_retention_s: float) -> None:
        """Remove nodes that have been dead for more than ``dead_retention_s`` seconds."""
        for entry in list(self.entries.values()):
            if entry.state == MemberState.DEAD and now - entry.changed_at > dead_retention_s:
                del self.entries[entry.node]
                self._queue.pop(entry.node, None)
