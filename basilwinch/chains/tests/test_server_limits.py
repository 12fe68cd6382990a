"""Tests of the limits that servers name, shared by several nodes."""

import math
import random

import pytest

from basilwinch.chains.load import NodeReport, hash_server_id
from basilwinch.chains.server_limits import ServerLimits, ServerUsage
from basilwinch.peers.codec import decode_report, encode_report

REPORT_INTERVAL_S = 0.25
REPORTS_PER_S = 60  # of one node to all others; more nodes report less often
ANSWER_S = 0.05
LIMIT_WINDOW_S = 4.0  # in which the servers measure


class Nodes:
    """Nodes that send requests to one server, and report to each other.

    :param count: number of nodes
    :param limit_per_s: function of the time that returns the limit that the server names
    """

    def __init__(self, count, limit_per_s):
        self.now = 0.0
        self.limit_per_s = limit_per_s
        self.nodes = [ServerLimits(lambda: self.now) for _ in range(count)]
        self.sent: list[float] = []
        self.answers: list[tuple[float, int]] = []
        self.cut_off: set[int] = set()
        self.interval_s = max(REPORT_INTERVAL_S, count / REPORTS_PER_S)
        for node in self.nodes:
            node.set_nodes(count, self.interval_s)

    def restart(self, number):
        self.nodes[number] = ServerLimits(lambda: self.now)
        self.nodes[number].set_nodes(len(self.nodes), self.interval_s)

    def run(self, seconds, offered_per_s, rng, shares=None):
        """Offer requests at random times; ``shares`` are the nodes' weights."""
        step_s = 0.01
        for _ in range(round(seconds / step_s)):
            self.now += step_s
            for at, number in [a for a in self.answers if a[0] <= self.now]:
                self.answers.remove((at, number))
                self.nodes[number].observe("s", self.limit_per_s(self.now))
            while rng.random() < offered_per_s * step_s / 2:
                number = rng.choices(range(len(self.nodes)), shares)[0]
                if not self.nodes[number].list_exhausted(["s"]):
                    self.nodes[number].take("s")
                    self.sent.append(self.now)
                    self.answers.append((self.now + ANSWER_S, number))
            if round(self.now / step_s) % round(self.interval_s / step_s) == 0:
                self._exchange()

    def _exchange(self):
        reports = [node.build_report() for node in self.nodes]
        for sender, report in enumerate(reports):
            for receiver, node in enumerate(self.nodes):
                if sender != receiver and not self.cut_off & {sender, receiver}:
                    node.apply_report(f"n{sender}", *report)

    def count_most(self, start):
        """Return the most requests in a window that begins at ``start`` or later."""
        times = [at for at in self.sent if at >= start]
        return max(sum(t <= at < t + LIMIT_WINDOW_S for at in times) for t in times)


def _allow(limit_per_s):
    return 1.5 * limit_per_s * LIMIT_WINDOW_S + 5


@pytest.mark.parametrize("count", [1, 6, 9, 60])
@pytest.mark.parametrize("limit_per_s", [1.0, 8.3, 60.0])
def test_nodes_together_keep_to_a_limit_and_use_it(count, limit_per_s):
    """Guards against nodes that each apply the whole limit, and against a limit left unused."""
    fleet = Nodes(count, lambda now: limit_per_s)
    fleet.run(20, 3 * limit_per_s, random.Random(count))
    assert fleet.count_most(3.0) <= _allow(limit_per_s)
    used = sum(at >= 10 for at in fleet.sent)
    # The servers allow five requests beyond a rate, so as many may be missing from it.
    assert used >= (0.75 if count < 60 else 0.5) * limit_per_s * 10 - 5


def test_limit_holds_with_uneven_callers_who_move(seed=4):
    """Guards against shares of the nodes that no longer fit where the requests arrive."""
    fleet = Nodes(6, lambda now: 8.0)
    rng = random.Random(seed)
    for number in range(5):
        fleet.run(5, 30.0, rng, [20 if node == number else 1 for node in range(6)])
    assert fleet.count_most(3.0) <= _allow(8.0)
    assert len(fleet.sent) >= 8.0 * 25 * 0.6


def test_limit_holds_while_nodes_are_cut_off_and_restarted(seed=5):
    """Guards against nodes without reports that take the shares of all others."""
    fleet = Nodes(6, lambda now: 8.0)
    rng = random.Random(seed)
    fleet.run(8, 40.0, rng)
    fleet.cut_off = {0, 1, 2}
    fleet.run(8, 40.0, rng)
    fleet.cut_off = set()
    for number in (0, 3):
        fleet.restart(number)
    fleet.run(8, 40.0, rng)
    assert fleet.count_most(3.0) <= _allow(8.0)


def test_limit_that_changes_with_each_answer_gives_no_new_burst(seed=6):
    """Guards against a full bucket at each change of a limit."""
    fleet = Nodes(3, lambda now: 8.0 + (round(now * 100) % 7) / 10)
    fleet.run(20, 40.0, random.Random(seed))
    assert fleet.count_most(3.0) <= _allow(8.6)


def test_server_that_takes_nothing_is_still_asked_and_may_recover(seed=7):
    """Guards against a limit of zero that can never be withdrawn."""
    fleet = Nodes(3, lambda now: 0.0 if now < 12 else math.inf)
    fleet.run(12, 20.0, random.Random(seed))
    assert sum(at >= 4 for at in fleet.sent) > 0
    assert fleet.count_most(3.0) <= _allow(0.0)
    fleet.run(8, 20.0, random.Random(seed))
    assert sum(at >= 16 for at in fleet.sent) > 20


def test_malformed_limit_leaves_the_last_one_in_force():
    """Guards against a server that is freed of its limit by an answer that cannot be read."""
    limits = ServerLimits(lambda: 0.0)
    limits.observe("s", 1.0)
    limits.observe("s", None)
    for _ in range(5):
        limits.take("s")
    assert limits.list_exhausted(["s", "other"]) == {"s"}


def test_limits_expire_and_go_with_their_servers():
    """Guards against state that stays for servers that are gone or silent."""
    now = [0.0]
    limits = ServerLimits(lambda: now[0])
    for number in range(5):
        limits.observe(f"s{number}", 1.0)
    limits.prune({"s0", "s1"})
    assert limits.count_limited() == 2
    limits.observe("s1", math.inf)
    now[0] = 10.0
    limits.prune({"s0", "s1"})
    assert len(limits.build_report()[1]) == 1
    now[0] = 31.0
    limits.prune({"s0", "s1"})
    assert limits.build_report()[1] == {}


def test_report_of_many_servers_is_bounded():
    """Guards against a report that does not fit into a datagram."""
    limits = ServerLimits(lambda: 0.0)
    for number in range(2000):
        limits.observe(f"s{number}", 1.0)
    data = encode_report("n", 1, NodeReport({}, {}), b"", limits.build_report())
    assert len(data) < 60_000


@pytest.mark.parametrize(
    "usage",
    [
        ServerUsage(float("nan"), 0.0, 1.0, 1.0),
        ServerUsage(-1.0, 0.0, 1.0, 1.0),
        ServerUsage(1.0, 0.0, float("nan"), 1.0),
        ServerUsage(1.0, 0.0, 1.0, math.inf),
        ServerUsage(1.0, 0.0, -1.0, 1.0),
    ],
)
def test_impossible_values_of_a_peer_are_ignored(usage):
    """Guards against a report that stops, or frees, the requests to a server."""
    data = encode_report("n", 1, NodeReport({}, {}), b"", (1.0, {hash_server_id("s"): usage}))
    assert decode_report(data)[4] == (1.0, {})


def test_huge_values_of_a_peer_do_no_lasting_harm():
    """Guards against one report after which a server gets nothing for long."""
    now = [100.0]
    limits = ServerLimits(lambda: now[0])
    limits.set_nodes(2, REPORT_INTERVAL_S)
    limits.observe("s", 10.0)
    usage = ServerUsage(10.0, 1e9, 3e38, 3e38)
    limits.apply_report("n2", 1e9, {hash_server_id("s"): usage})
    now[0] += 5.0
    limits.list_exhausted(["s"])
    now[0] += 5.0
    assert limits.list_exhausted(["s"]) == set()


def test_time_to_wait_is_bounded_and_expires():
    """Guards against a server that is left out for good by one answer, and against stale state."""
    now = [0.0]
    limits = ServerLimits(lambda: now[0])
    limits.hold("s", 1e9)
    limits.hold("s", 1.0)
    now[0] = 59.0
    assert limits.list_exhausted(["s", "t"]) == {"s"}
    now[0] = 61.0
    assert limits.list_exhausted(["s", "t"]) == set()
    limits.hold("gone", 30.0)
    limits.prune({"s": None})
    assert limits.list_exhausted(["gone"]) == set()
