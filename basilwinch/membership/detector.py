"""Failure detection: probes, indirect probes and suspicion.

The cost of a node does not depend on the number of nodes.

References: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
Group Membership Protocol", DSN 2002; A. Dadgar, J. Phillips, J. Currey, "Lifeguard: SWIM-ing with
Situational Awareness", 2017 (the longer wait of a node that was itself slow).
"""

import math
from random import Random

from basilwinch.membership.config import MembershipConfig
from basilwinch.membership.message import Kind, MemberState
from basilwinch.membership.roster import Entry, Roster
from basilwinch.record import Record

__all__ = ["Detector", "Send"]

# Every this many periods a node also tries a node that it holds for dead, so that two sides of a
# healed partition find each other.
_RETRY_DEAD_PERIODS = 5
_RELAY_LIMIT = 256


class Send(Record):
    """A message to send: ``entry`` is the receiver."""

    __slots__ = ("entry", "kind", "probe", "about")
    _defaults = {"about": 0}


class Detector:
    """Chooses whom to probe and decides who is suspect or dead.

    :param roster: :class:`Roster`, changed in place
    :param config: :class:`MembershipConfig`
    :param rng: source of randomness
    :param now: present time in seconds
    """

    __slots__ = (
        "_config",
        "_due_at",
        "_order",
        "_pending",
        "_period",
        "_probe",
        "_relays",
        "_rng",
        "_roster",
        "_suspects",
        "pauses",
        "period_at",
    )

    def __init__(self, roster: Roster, config: MembershipConfig, rng: Random, now: float):
        self._roster = roster
        self._config = config
        self._rng = rng
        self._order: list[int] = []
        self._pending = None
        self._probe = rng.getrandbits(31)
        self._relays: dict[int, tuple] = {}
        self._suspects: dict[int, float] = {}
        self._period = 0
        self.pauses = 0
        self.period_at = now + rng.random() * config.period_s
        self._due_at = self.period_at

    @property
    def due_at(self) -> float:
        """Time of the next call of :meth:`poll`."""
        return self._due_at

    def _next_probe(self) -> int:
        self._probe = (self._probe + 1) & 0xFFFFFFFF
        return self._probe

    def suspicion_s(self) -> float:
        """Return the time from suspicion to death; grows with the time that an update takes to
        reach all nodes."""
        scale = max(1.0, math.log10(len(self._roster)))
        return self._config.suspicion_periods * self._config.period_s * scale

    def poll(self, now: float) -> list[Send]:
        """Return the messages that are due. Linear in the number of suspects.

        :param now: present time in seconds
        """
        sends = []
        if self._pending and now >= self._pending[2]:
            sends += self._ask_helpers(now)
        if now >= self.period_at:
            if now - self.period_at > 2 * self._config.period_s:
                self._resume(now)
            self._end_period(now)
            sends += self._start_period(now)
        self._bury(now)
        self._due_at = min(
            self.period_at,
            self._pending[2] if self._pending else math.inf,
            min(self._suspects.values(), default=math.inf),
        )
        return sends

    def _resume(self, now: float) -> None:
        """Discard what was due while this node itself was paused: the answers may wait unread."""
        self.pauses += 1
        self._pending = None
        for node in self._suspects:
            self._suspects[node] = now + self.suspicion_s()

    def _end_period(self, now: float) -> None:
        if self._pending:
            entry = self._pending[0]
            self._pending = None
            if entry.state == MemberState.ALIVE:
                self._roster.mark_state(entry, MemberState.SUSPECT, now)
        for probe, relay in list(self._relays.items()):
            if now >= relay[2]:
                del self._relays[probe]

    def _bury(self, now: float) -> None:
        """Mark nodes dead whose suspicion has lasted."""
        for node, deadline in list(self._suspects.items()):
            if now >= deadline:
                del self._suspects[node]
                entry = self._roster.entries.get(node)
                if entry and entry.state == MemberState.SUSPECT:
                    self._roster.mark_state(entry, MemberState.DEAD, now)

    def note_state(self, entry: Entry, now: float) -> None:
        """Start or end the suspicion of a node after a change of its state."""
        if entry.state == MemberState.SUSPECT:
            deadline = self._suspects.setdefault(entry.node, now + self.suspicion_s())
            self._due_at = min(self._due_at, deadline)
        else:
            self._suspects.pop(entry.node, None)

    def _start_period(self, now: float) -> list[Send]:
        self._period += 1
        self.period_at = max(self.period_at + self._config.period_s, now + 1e-3)
        sends = []
        target = self._next_target()
        if target:
            probe = self._next_probe()
            self._pending = (target, probe, now + self._config.ack_s)
            sends.append(Send(target, Kind.PING, probe))
        if self._period % _RETRY_DEAD_PERIODS == 0:
            entries = self._roster.entries.values()
            dead = [entry for entry in entries if entry.state == MemberState.DEAD]
            if dead:
                sends.append(Send(self._rng.choice(dead), Kind.PING, self._next_probe()))
        return sends

    def _next_target(self) -> Entry | None:
        """Return the next node in a random order that covers all nodes before it repeats, which
        bounds the time until a dead node is probed."""
        for _ in range(2):
            while self._order:
                entry = self._roster.entries.get(self._order.pop())
                if entry and entry.state != MemberState.DEAD:
                    return entry
            self._order = [node for node in self._roster.entries if node != self._roster.own.node]
            self._rng.shuffle(self._order)
        return None

    def _ask_helpers(self, now: float) -> list[Send]:
        target, probe, _ = self._pending
        self._pending = (target, probe, math.inf)
        helpers = [entry for entry in self._roster.others() if entry is not target]
        chosen = self._rng.sample(helpers, min(self._config.helpers, len(helpers)))
        return [Send(helper, Kind.PING_REQ, probe, target.node) for helper in chosen]

    def on_request(self, origin: Entry, probe: int, target: int, now: float) -> Send | None:
        """Return the probe of a helper, or None if the target is not known."""
        entry = self._roster.entries.get(target)
        if entry is None or len(self._relays) >= _RELAY_LIMIT:
            return None
        own = self._next_probe()
        self._relays[own] = (origin, probe, now + 2 * self._config.period_s)
        return Send(entry, Kind.PING, own)

    def on_ack(self, sender: Entry, probe: int, about: int) -> Send | None:
        """Note an answer.

        :returns: the answer to pass on if this node probed as a helper, else None
        """
        relay = self._relays.pop(probe, None)
        if relay:
            return Send(relay[0], Kind.ACK, relay[1], sender.node)
        if self._pending and probe == self._pending[1]:
            answered = about or sender.node
            if answered == self._pending[0].node:
                self._pending = None
        return None
