"""Tests of the attribution of crashes on nodes whose links to servers may be at fault."""

import random

import pytest
import trio

from basilwinch.exception import SERVER_UNREACHABLE, ServerError
from basilwinch.forward.crashes import CrashAttribution
from basilwinch.observability import DecisionLog
from basilwinch.suspicion import SuspectConfig, SuspectRegistry
from basilwinch.tunnel import Reachability, ReachabilityMonitor
from basilwinch.view import View
from basilwinch.view.server import ServerEntry


class RefusingProbe:
    """A probe to which each server refuses connections."""

    async def find_dead(self, servers):
        return servers[0]


class Connection:
    """A connection to a server that answers."""

    async def send(self, *request):
        pass

    async def receive_head(self):
        pass

    async def receive_body(self, max_bytes):
        pass

    def close(self):
        pass


class Connector:
    """Opens direct connections to the servers on the ports in ``reachable``."""

    def __init__(self, reachable):
        self.reachable = reachable
        self.opened = 0

    async def open_direct(self, host, port, timeout_s):
        self.opened += 1
        if port in self.reachable:
            return Connection()
        raise ServerError(SERVER_UNREACHABLE.because("refused"))


@pytest.fixture
def report():
    """Return a function that reports the failure of server 1 and returns the strikes for it."""

    def run(reachable, disconnected_for_s=None, failures=1):
        links = Reachability()
        view = View()
        for port in range(1, 5):
            entry = ServerEntry(f"s{port}", "svc", "10.0.0.1", port, "a", 8, False, "", None, 1, 1)
            view.set_server(entry, 1)
        suspects = SuspectRegistry(
            SuspectConfig("n1", weak_strikes=False), DecisionLog.for_benchmark()
        )
        connector = Connector(reachable)

        async def main():
            if disconnected_for_s is not None:
                links.is_disconnected = True
                links.disconnected_at = trio.current_time() - disconnected_for_s
            monitor = ReachabilityMonitor(
                links,
                connector,
                view,
                lambda: (),
                random.Random(1),
                trio.current_time,
                lambda: None,
            )
            crashes = CrashAttribution(suspects, RefusingProbe(), monitor)
            suspects.begin_attempt("r", "run", ["s1"], False, trio.current_time() - 0.2)
            async with trio.open_nursery() as nursery:
                for _ in range(failures):
                    nursery.start_soon(crashes.report_failure, view.servers["s1"], b"r")
            return suspects.list_entries(trio.current_time())

        entries = trio.run(main)
        return [strike.server for entry in entries for strike in entry.strikes], connector

    return run


def test_node_that_reaches_no_other_server_reports_no_crash(report):
    """Guards against requests that all nodes refuse because one node lost its links."""
    assert report(reachable=())[0] == []


def test_crash_is_reported_if_another_server_answers(report):
    """Guards against a crashing request that goes free because links are doubted."""
    assert report(reachable=(2, 3, 4))[0] == ["s1"]


def test_crash_that_a_carrier_has_seen_is_reported(report):
    """Guards against a crashing request that goes free at a node without links of its own."""
    strikes, connector = report(reachable=(), disconnected_for_s=2.0)
    assert strikes == ["s1"]
    assert connector.opened == 0


def test_refusal_from_before_the_loss_of_links_was_noticed_accuses_nobody(report):
    """Guards against a result of a direct check that is read after the node went to carriers."""
    assert report(reachable=(), disconnected_for_s=0.1)[0] == []


def test_failures_of_one_crash_are_checked_by_one_round_of_probes(report):
    """Guards against as many probes as requests that a crash has broken."""
    strikes, connector = report(reachable=(2, 3, 4), failures=30)
    assert strikes == ["s1"]
    assert connector.opened <= 3
