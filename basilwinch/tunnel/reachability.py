"""Decision whether this node has lost its links to all servers, without I/O."""

import math

__all__ = ["ProbeRound", "Reachability"]

PROBES_PER_ROUND = 3
PROBE_TIMEOUT_S = 0.3  # many round trips; a lost packet is sent again later than that
# Without the answer of any server for this long, a round is due even if nothing has failed. The
# nodes of a large fleet have few requests each, so all of them would probe all the time; they wait
# longer, up to the time that a lost link may cost the first caller and no other.
_MIN_IDLE_CHECK_S = 0.8
_MAX_IDLE_CHECK_S = 2.0
_FLEET_IDLE_CHECKS_PER_S = 60.0  # of all nodes together, until the maximum is reached
_MIN_ROUND_INTERVAL_S = 0.1  # between rounds while it is in doubt whether servers are reachable
_RETURN_CHECK_INTERVAL_S = 0.5  # between rounds of a disconnected node
_FAILED_ROUNDS_TO_DISCONNECT = 2
_GOOD_ROUNDS_TO_CONNECT = 2
# A round that lasts longer than this multiple of its time-out says more about this node, which was
# frozen or overloaded, than about its links.
_MAX_ROUND_FACTOR = 2.0


class ProbeRound:
    """Result of one round of probes.

    :param answered: number of servers that answered
    :param asked: number of servers that were asked
    :param duration_s: time that the round took, in seconds
    :param is_full: whether it asked as many servers as decide on the state of the links
    """

    __slots__ = ("answered", "asked", "duration_s", "is_full")

    def __init__(self, answered: int, asked: int, duration_s: float, is_full: bool = True):
        self.answered = answered
        self.asked = asked
        self.duration_s = duration_s
        self.is_full = is_full

    @property
    def is_valid(self) -> bool:
        """Whether the result says anything about the links of this node."""
        return self.answered > 0 or (
            self.asked > 0 and self.duration_s <= _MAX_ROUND_FACTOR * PROBE_TIMEOUT_S
        )


class Reachability:
    """Tracks whether servers answer on connections that this node opens itself.

    ``is_disconnected`` is true while none does, since ``disconnected_at``. All times are in seconds
    of one clock. Each call takes constant time.

    >>> links = Reachability()
    >>> links.record_failure(1.0)
    >>> for at in (1.0, 1.2):
    ...     links.record_round(ProbeRound(0, 3, 0.1), at)
    False
    True
    >>> links.is_disconnected
    True
    """

    __slots__ = (
        "is_disconnected",
        "disconnected_at",
        "_answered_at",
        "_heard_at",
        "_failed_at",
        "_round_at",
        "_failed_rounds",
        "_good_rounds",
        "_idle_check_s",
    )

    def __init__(self):
        self.is_disconnected = False
        self.disconnected_at = -math.inf
        # Opening time of the newest connection on which a server has answered.
        self._answered_at = -math.inf
        # Time of the newest response on any connection; an old one may live on alone.
        self._heard_at = -math.inf
        self._failed_at = -math.inf
        self._round_at = -math.inf
        self._failed_rounds = 0
        self._good_rounds = 0
        self._idle_check_s = _MIN_IDLE_CHECK_S

    def set_nodes(self, nodes: int) -> None:
        """Adapt the time between rounds without a failure to the number of nodes."""
        self._idle_check_s = min(
            _MAX_IDLE_CHECK_S, max(_MIN_IDLE_CHECK_S, nodes / _FLEET_IDLE_CHECKS_PER_S)
        )

    def record_answer(self, opened_at: float | None, now: float) -> None:
        """Record that a server answered on a connection.

        :param opened_at: time at which the connection was opened, None if that was long ago
        """
        self._heard_at = now
        if opened_at is None:
            return
        self._answered_at = max(self._answered_at, opened_at)
        if self._answered_at > self._failed_at:
            self._failed_rounds = 0

    def record_failure(self, now: float) -> None:
        """Record that a connection could not be opened, or broke before its first byte."""
        self._failed_at = max(self._failed_at, now)

    def is_in_doubt(self) -> bool:
        """Return whether the links may be lost: nothing has answered since the last failure."""
        return self.is_disconnected or self._failed_at > self._answered_at

    def has_answered_since(self, at: float) -> bool:
        """Return whether a server has answered on a connection that was opened later."""
        return self._answered_at > at

    def compute_round_due(self) -> float:
        """Return the time at which the next round of probes is due."""
        if self.is_disconnected:
            return self._round_at + _RETURN_CHECK_INTERVAL_S
        if self.is_in_doubt():
            return max(self._failed_at, self._round_at + _MIN_ROUND_INTERVAL_S)
        idle_due = max(self._answered_at, self._heard_at) + self._idle_check_s
        return max(idle_due, self._round_at + _MIN_ROUND_INTERVAL_S)

    def count_probes(self) -> int:
        """Return the number of servers that the next round asks: one, or more in doubt."""
        return PROBES_PER_ROUND if self.is_in_doubt() else 1

    def record_round(self, result: ProbeRound, now: float) -> bool:
        """Record a round of probes; return whether ``is_disconnected`` has changed.

        :param now: time at which the round ended
        """
        self._round_at = now
        if not result.asked:
            self._heard_at = now  # no server is registered, so none can be lost
        if not result.is_valid:
            return False
        if result.answered:
            self._failed_rounds = 0
            self._heard_at = now
            if not self.is_disconnected:
                self._answered_at = now
                return False
            return self._count_good_round(result, now)
        self._good_rounds = 0
        if not result.is_full:
            return False
        self._failed_rounds += 1
        if self.is_disconnected or self._failed_rounds < _FAILED_ROUNDS_TO_DISCONNECT:
            return False
        self.is_disconnected = True
        self.disconnected_at = now
        return True

    def _count_good_round(self, result: ProbeRound, now: float) -> bool:
        """Count a round in which most servers answered, and connect after enough of them."""
        self._good_rounds = self._good_rounds + 1 if 2 * result.answered > result.asked else 0
        if self._good_rounds < _GOOD_ROUNDS_TO_CONNECT:
            return False
        self.is_disconnected = False
        self._good_rounds = 0
        self._answered_at = now
        return True
