"""Failure detection: probes, indirect probes and suspicion.

The number of probes that a node sends per period does not depend on the number of nodes.

References: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
Group Membership Protocol", DSN 2002; A. Dadgar, J. Phillips, J. Currey, "Lifeguard: SWIM-ing with
Situational Awareness", 2017 (longer time-outs of a node that was itself slow).
"""

import math
from random import Random

from basilwinch.membership.config import MembershipConfig
from basilwinch.membership.message import MemberState, MessageKind
from basilwinch.membership.roster import Entry, Roster
from basilwinch.record import Record

__all__ = ["Detector", "OutgoingMessage"]

# Every this many periods one random dead node is probed as well, so that the two sides of a healed
# partition find each other.
_DEAD_PROBE_INTERVAL_PERIODS = 5
# Open probes on behalf of other nodes.
_MAX_FORWARDED_PROBES = 256


class OutgoingMessage(Record):
    """A message to send.

    :param entry: roster entry of the receiver
    :param kind: :class:`MessageKind`
    :param probe: number of the probe, 0 in a message without a probe
    :param about: id of the target of an indirect probe, 0 for a direct one
    """

    __slots__ = ("entry", "kind", "probe", "about")
    _defaults = {"about": 0}


class Detector:
    """Chooses which nodes to probe and decides which nodes are suspect or dead.

    :param roster: :class:`Roster`, changed in place
    :param config: :class:`MembershipConfig`
    :param rng: source of randomness
    :param now: present time in seconds
    """

    __slots__ = (
        "_config",
        "_due_at",
        "_probe_order",
        "_open_probe",
        "_period",
        "_probe_number",
        "_forwarded_probes",
        "_rng",
        "_roster",
        "_suspects",
        "pauses",
        "next_period_at",
    )

    def __init__(self, roster: Roster, config: MembershipConfig, rng: Random, now: float):
        self._roster = roster
        self._config = config
        self._rng = rng
        self._probe_order: list[int] = []
        # (target, probe number, time of the ack time-out) or None.
        self._open_probe = None
        self._probe_number = rng.getrandbits(31)
        # By own probe number: (origin, number of the origin's probe, time of expiry).
        self._forwarded_probes: dict[int, tuple] = {}
        self._suspects: dict[int, float] = {}
        self._period = 0
        self.pauses = 0
        self.next_period_at = now + rng.random() * config.probe_period_s
        self._due_at = self.next_period_at

    @property
    def due_at(self) -> float:
        """Time at which :meth:`poll` is to be called next."""
        return self._due_at

    def _next_probe_number(self) -> int:
        self._probe_number = (self._probe_number + 1) & 0xFFFFFFFF
        return self._probe_number

    def suspicion_timeout_s(self) -> float:
        """Return the seconds after which a suspect counts as dead. They grow with the time that an
        update takes to reach all nodes."""
        scale = max(1.0, math.log10(len(self._roster)))
        return self._config.suspicion_periods * self._config.probe_period_s * scale

    def poll(self, now: float) -> list[OutgoingMessage]:
        """Return the messages that are due, and mark nodes suspect or dead. Takes time linear in
        the number of nodes.

        :param now: present time in seconds
        """
        messages = []
        if self._open_probe and now >= self._open_probe[2]:
            messages += self._request_indirect_probes(now)
        if now >= self.next_period_at:
            if now - self.next_period_at > 2 * self._config.probe_period_s:
                self._reset_after_pause(now)
            self._end_period(now)
            messages += self._start_period(now)
        self._mark_timed_out_suspects_dead(now)
        self._due_at = min(
            self.next_period_at,
            self._open_probe[2] if self._open_probe else math.inf,
            min(self._suspects.values(), default=math.inf),
        )
        return messages

    def _reset_after_pause(self, now: float) -> None:
        """Discard the open probe and restart the suspicion time-outs after a pause of this process,
        because acks that arrived in the meantime may still be unread."""
        self.pauses += 1
        self._open_probe = None
        for node in self._suspects:
            self._suspects[node] = now + self.suspicion_timeout_s()

    def _end_period(self, now: float) -> None:
        if self._open_probe:
            entry = self._open_probe[0]
            self._open_probe = None
            if entry.state == MemberState.ALIVE:
                self._roster.mark_state(entry, MemberState.SUSPECT, now)
        for probe, forwarded in list(self._forwarded_probes.items()):
            if now >= forwarded[2]:
                del self._forwarded_probes[probe]

    def _mark_timed_out_suspects_dead(self, now: float) -> None:
        for node, deadline in list(self._suspects.items()):
            if now >= deadline:
                del self._suspects[node]
                entry = self._roster.entries.get(node)
                if entry and entry.state == MemberState.SUSPECT:
                    self._roster.mark_state(entry, MemberState.DEAD, now)

    def update_suspicion(self, entry: Entry, now: float) -> None:
        """Start or end the suspicion time-out of a node after its state has changed."""
        if entry.state == MemberState.SUSPECT:
            deadline = self._suspects.setdefault(entry.node, now + self.suspicion_timeout_s())
            self._due_at = min(self._due_at, deadline)
        else:
            self._suspects.pop(entry.node, None)

    def _start_period(self, now: float) -> list[OutgoingMessage]:
        self._period += 1
        self.next_period_at = max(self.next_period_at + self._config.probe_period_s, now + 1e-3)
        messages = []
        target = self._next_target()
        if target:
            probe = self._next_probe_number()
            self._open_probe = (target, probe, now + self._config.ack_timeout_s)
            messages.append(OutgoingMessage(target, MessageKind.PING, probe))
        if self._period % _DEAD_PROBE_INTERVAL_PERIODS == 0:
            entries = self._roster.entries.values()
            dead = [entry for entry in entries if entry.state == MemberState.DEAD]
            if dead:
                messages.append(
                    OutgoingMessage(
                        self._rng.choice(dead), MessageKind.PING, self._next_probe_number()
                    )
                )
        return messages

    def _next_target(self) -> Entry | None:
        """Return the next node to probe. Each round covers all nodes in a random order, which
        bounds the time until a failed node is probed."""
        for _ in range(2):
            while self._probe_order:
                entry = self._roster.entries.get(self._probe_order.pop())
                if entry and entry.state != MemberState.DEAD:
                    return entry
            self._probe_order = [
                node for node in self._roster.entries if node != self._roster.own.node
            ]
            self._rng.shuffle(self._probe_order)
        return None

    def _request_indirect_probes(self, now: float) -> list[OutgoingMessage]:
        target, probe, _ = self._open_probe
        self._open_probe = (target, probe, math.inf)
        candidates = [entry for entry in self._roster.others() if entry is not target]
        chosen = self._rng.sample(
            candidates, min(self._config.indirect_probe_peers, len(candidates))
        )
        return [
            OutgoingMessage(candidate, MessageKind.PING_REQ, probe, target.node)
            for candidate in chosen
        ]

    def on_ping_req(
        self, origin: Entry, probe: int, target: int, now: float
    ) -> OutgoingMessage | None:
        """Return the ping to send to ``target`` on behalf of ``origin``.

        :param probe: number of the probe of ``origin``
        :returns: None if the target is not known or too many probes on behalf of other nodes are
            open
        """
        entry = self._roster.entries.get(target)
        if entry is None or len(self._forwarded_probes) >= _MAX_FORWARDED_PROBES:
            return None
        number = self._next_probe_number()
        self._forwarded_probes[number] = (origin, probe, now + 2 * self._config.probe_period_s)
        return OutgoingMessage(entry, MessageKind.PING, number)

    def on_ack(self, sender: Entry, probe: int, about: int) -> OutgoingMessage | None:
        """Handle an ack.

        :returns: the ack to forward if this node probed on behalf of another node, else None
        """
        forwarded = self._forwarded_probes.pop(probe, None)
        if forwarded:
            return OutgoingMessage(forwarded[0], MessageKind.ACK, forwarded[1], sender.node)
        if self._open_probe and probe == self._open_probe[1]:
            answered = about or sender.node
            if answered == self._open_probe[0].node:
                self._open_probe = None
        return None
