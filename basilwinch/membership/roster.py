"""Table of the nodes known, with the rules that merge what others say about them."""

import hashlib
import math

from basilwinch.membership.message import Member, MemberState, Update, node_id

__all__ = ["Entry", "Roster"]

# A node sends each update this many times log2(nodes) times; Das et al. (2002) use the same form.
# What is missed all the same shows in the roster digest.
_REPEAT = 2


class Entry:
    """A node with what is known about it.

    :param update: the newest update on it; introduces the node
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
        "rank",
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
        self.rank = hashlib.blake2b(f"watch/{update.name}".encode(), digest_size=8).digest()
        self.take(update, now)

    def take(self, update: Update, now: float) -> None:
        """Take over the fields of an update."""
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
        """Return the public form."""
        return Member(self.name, self.address, self.zone, self.region, self.state, self.leaving)

    @property
    def mark(self) -> int:
        """Contribution to the roster digest: the life and the leaving state, not suspicions, which
        pass and would make digests differ all the time."""
        key = b"%d %d %d" % (self.node, self.life, self.leaving)
        return int.from_bytes(hashlib.blake2b(key, digest_size=4).digest())


class Roster:
    """All nodes known, this one included.

    :param own: update that introduces this node
    :param now: present time
    :param listener: called with (entry, former state or None) at each change of state
    :ivar version: grows with each change

    Memory is linear in the number of nodes; all methods but :meth:`members`, :meth:`expire` and
    :meth:`introductions` take constant time or time linear in their arguments.
    """

    __slots__ = ("own", "entries", "digest", "version", "_queue", "_listener", "_alive")

    def __init__(self, own: Update, now: float, listener=None):
        self.own = Entry(own, now)
        self.entries = {own.node: self.own}
        self.digest = self.own.mark
        self._queue: dict[int, list] = {}
        self._listener = listener or (lambda entry, former: None)
        self._alive = 1
        self.version = 0
        self._enqueue(self.own, True)

    def __len__(self):
        """Number of nodes that are not dead."""
        return self._alive

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

    def absorb(self, update: Update, now: float) -> bool:
        """Merge an update.

        :returns: whether it changed anything
        """
        if update.node == self.own.node:
            return self._answer(update, now)
        entry = self.entries.get(update.node)
        if entry is None:
            if not update.name or node_id(update.name) != update.node:
                return False
            if update.state == MemberState.DEAD:
                return False
            entry = self.entries[update.node] = Entry(update, now)
            self._alive += 1
            self.digest ^= entry.mark
            self._enqueue(entry, True)
            self._listener(entry, None)
            return True
        if update.order <= (entry.life, entry.incarnation, entry.state):
            return False
        if update.life != entry.life and not update.name:
            # A new life may have another address, so it counts only with an introduction.
            return False
        self._change(entry, update, now)
        return True

    def _change(self, entry: Entry, update: Update, now: float) -> None:
        former, life = entry.state, entry.life
        if former != MemberState.DEAD:
            self.digest ^= entry.mark
            self._alive -= 1
        entry.take(update, now)
        if entry.state != MemberState.DEAD:
            self.digest ^= entry.mark
            self._alive += 1
        self._enqueue(entry, life != entry.life)
        if former != entry.state or life != entry.life:
            self._listener(entry, former)

    def _answer(self, update: Update, now: float) -> bool:
        """Contradict a wrong update on this node with a newer incarnation."""
        own = self.own
        if update.life > own.life:
            # The wall clock went back between two starts of this node.
            self._change(own, own.to_update(True).replace(life=update.life + 1), now)
            return True
        current = (own.life, own.incarnation, own.state)
        wrong = update.state != MemberState.ALIVE or update.leaving != own.leaving
        if own.state == MemberState.DEAD or update.order < current or not wrong:
            return False
        fresh = own.to_update(False).replace(incarnation=update.incarnation + 1)
        self._change(own, fresh, now)
        return True

    def set_own(self, now: float, leaving: bool, state: MemberState = MemberState.ALIVE) -> None:
        """Announce that this node leaves, or that it has stopped."""
        fresh = self.own.to_update(False)
        fresh = fresh.replace(incarnation=fresh.incarnation + 1, leaving=leaving, state=state)
        self._change(self.own, fresh, now)

    def mark_state(self, entry: Entry, state: MemberState, now: float) -> None:
        """Record the state that this node has found itself."""
        if entry.state != state:
            self._change(entry, entry.to_update(False).replace(state=state), now)

    @property
    def backlog(self) -> int:
        """Number of updates that are still to be sent."""
        return len(self._queue)

    def take_updates(self, limit: int) -> list[Update]:
        """Return the updates to send next, the least often sent first.

        :param limit: number of bytes for them, about 24 each plus the text of introductions
        """
        if not self._queue:
            return []
        repeats = math.ceil(_REPEAT * math.log2(len(self.entries) + 1))
        updates = []
        for node, item in sorted(self._queue.items(), key=lambda pair: pair[1][0])[:16]:
            entry = self.entries[node]
            limit -= 24
            if item[1]:
                limit -= len(entry.name) + len(entry.address) + len(entry.zone) + len(entry.region)
            if limit < 0 and updates:
                break
            updates.append(entry.to_update(item[1]))
            item[0] += 1
            if item[0] >= repeats:
                del self._queue[node]
        return updates

    def introductions(self) -> list[Update]:
        """Return an update on each node that is not dead, for a node that joins."""
        return [entry.to_update(True) for entry in self.members()]

    def preload(self, updates: list[Update], now: float) -> None:
        """Take in nodes that all others know already, so that no gossip on them is needed."""
        for update in updates:
            self.absorb(update, now)
        self._queue.clear()

    def expire(self, now: float, forget_s: float) -> None:
        """Forget nodes that have been dead for ``forget_s`` seconds."""
        for entry in list(self.entries.values()):
            if entry.state == MemberState.DEAD and now - entry.changed_at > forget_s:
                del self.entries[entry.node]
                self._queue.pop(entry.node, None)
