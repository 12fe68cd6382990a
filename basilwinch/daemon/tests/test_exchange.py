"""Tests of what nodes tell each other."""

import pytest
import trio

from basilwinch.daemon.exchange import ContactExchange, LeavingExchange
from basilwinch.exception import MALFORMED_PACKET
from basilwinch.standin import run_virtual

UP, DOWN = b"\1", b"\0"


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
def contact():
    return ContactExchange(Orders(), lambda name: name == "gone")


@pytest.mark.parametrize(
    ("reports", "after_s", "reached"),
    [
        ({}, 0.0, False),
        ({"n2": DOWN}, 1.0, False),
        ({"n2": DOWN, "n3": UP}, 1.0, True),
        ({"n2": DOWN}, 30.0, True),
        ({"gone": DOWN}, 30.0, False),
        ({"n2": DOWN}, 700.0, False),
    ],
)
def test_silent_node_counts_as_one_that_may_reach_the_platform(contact, reports, after_s, reached):
    """Guards against "not run" from a node that is cut off alone (I3)."""

    async def check():
        for node, data in reports.items():
            contact.merge(node, data, trio.current_time())
        await trio.sleep(after_s)
        return contact.is_reached_by_peers()

    assert run_virtual(check) is reached


def test_leaving_servers_travel_once_and_expire():
    """Guards against a server that each node must ask itself, and against old news."""
    first, second = LeavingExchange(Router()), LeavingExchange(router := Router())
    first._router.names = ["s1", "সার্ভার ২"]
    data = first.export(200, 10.0)
    assert second.merge("n1", data, 11.0) is True
    assert router.names == ["s1", "সার্ভার ২"]
    assert second.merge("n1", data, 11.5) is False
    assert first.export(200, 40.0) == b""


@pytest.mark.parametrize("data", [b"\xff", b"old s1", b"nan"])
def test_malformed_leaving_report_is_typed(data):
    """Guards against a packet that stops the node or marks a server."""
    router = Router()
    assert LeavingExchange(router).merge("n1", data, 0.0).kind is MALFORMED_PACKET
    assert router.names == []
