"""Tests of the payloads that nodes exchange."""

import pytest
import trio

from basilwinch.daemon.exchange import LeavingExchange, ReachabilityExchange
from basilwinch.exception import MALFORMED_PACKET
from basilwinch.standin import run_virtual

REACHED, NOT_REACHED = b"\1", b"\0"


class Orders:
    def is_platform_reachable(self):
        return False


class Router:
    def __init__(self):
        self.names = []

    def leaving(self):
        return list(self.names)

    def mark_leaving(self, name, now):
        self.names.append(name)


@pytest.fixture
def reachability():
    return ReachabilityExchange(Orders(), lambda name: name == "gone")


@pytest.mark.parametrize(
    ("reports", "after_s", "reached"),
    [
        ({}, 0.0, False),
        ({"n2": NOT_REACHED}, 1.0, False),
        ({"n2": NOT_REACHED, "n3": REACHED}, 1.0, True),
        ({"n2": NOT_REACHED}, 30.0, True),
        ({"gone": NOT_REACHED}, 30.0, False),
        ({"n2": NOT_REACHED}, 700.0, False),
    ],
)
def test_node_that_stops_reporting_may_reach_the_platform(reachability, reports, after_s, reached):
    """Guards against a node that takes its own isolation for an outage.

    It would answer "not run" although a silent node may have claimed the order (I3).
    """

    async def check():
        for node, data in reports.items():
            reachability.merge(node, data, trio.current_time())
        await trio.sleep(after_s)
        return reachability.may_peers_reach_platform()

    assert run_virtual(check) is reached


def test_leaving_servers_are_merged_once_and_expire():
    """Guards against requests to a server that another node knows to be leaving,
    and against old reports that are sent or merged again.
    """
    first, second = LeavingExchange(Router()), LeavingExchange(router := Router())
    first._router.names = ["s1", "সার্ভার ২"]
    data = first.export(200, 10.0)
    assert second.merge("n1", data, 11.0) is True
    assert router.names == ["s1", "সার্ভার ২"]
    assert second.merge("n1", data, 11.5) is False
    assert first.export(200, 40.0) == b""


@pytest.mark.parametrize("data", [b"\xff", b"old s1", b"nan"])
def test_malformed_leaving_report_is_refused(data):
    """Guards against a malformed payload that raises an exception or marks a server as leaving."""
    router = Router()
    assert LeavingExchange(router).merge("n1", data, 0.0).kind is MALFORMED_PACKET
    assert router.names == []
