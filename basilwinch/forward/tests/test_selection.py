"""Tests of the selection of a plain server."""

import random

import pytest

from basilwinch.forward.message import ServerLoad
from basilwinch.forward.selection import ServerSelection
from basilwinch.view import ServerEntry


@pytest.fixture
def servers():
    return [
        ServerEntry(f"s{n}", "plain", "10.0.0.1", n, f"z{n}", 6, False, "", None, 1, 0)
        for n in range(3)
    ]


@pytest.fixture
def selection():
    return ServerSelection("z0", lambda: 100.0, random.Random(1))


def test_server_that_fails_part_of_its_requests_gets_fewer(servers, selection):
    """Guards against grey failures: the server looks healthy, but half of its requests fail."""
    for number in range(20):
        selection.begin("s0")
        selection.end("s0", failed=number % 2 == 0, load=None)
    chosen = [selection.choose(servers, set()).id for _ in range(20)]
    assert "s0" not in chosen


def test_busy_server_is_not_selected(servers, selection):
    selection.begin("s0")
    selection.end("s0", failed=False, load=ServerLoad(6, 4, 6))
    assert selection.choose(servers, set()).id != "s0"


def test_tried_and_leaving_servers_are_left_out(servers, selection):
    servers[1].leaving = True
    assert selection.choose(servers, {"s0"}).id == "s2"
    assert selection.choose(servers, {"s0", "s2"}) is None


def test_server_with_a_request_is_kept_by_prune(servers, selection):
    selection.begin("s0")
    selection.prune(known={})
    selection.end("s0", failed=None, load=None)
    selection.prune(known={})
    assert selection.choose(servers, set()) is not None
