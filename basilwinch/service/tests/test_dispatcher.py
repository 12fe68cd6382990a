"""Tests of calls to plain services."""

import random

import pytest
import trio
from trio.testing import MockClock

from basilwinch.catalog import Catalog, Server, Service
from basilwinch.exception import DEADLINE_EXCEEDED, NO_CHAIN, RETRIES_EXHAUSTED
from basilwinch.observability import DecisionLog
from basilwinch.server import ServiceCall
from basilwinch.service import ServiceDispatcher
from basilwinch.standin import DirectClient, PlainServices

NAMES = ("p1", "p2", "p3")
LOOK_UP = ServiceCall("GET", "/stock")


@pytest.fixture
def services():
    return PlainServices(NAMES)


@pytest.fixture
def dispatcher(services):
    log = DecisionLog.for_benchmark()
    dispatcher = ServiceDispatcher(DirectClient(services=services), random.Random(1), log)
    servers = {
        n: Server(n, f"127.0.0.1:{i}", "z", "r", service="desk") for i, n in enumerate(NAMES)
    }
    dispatcher.update(Catalog(1, servers=servers, services={"desk": Service("desk", "plain")}))
    return dispatcher


def run(dispatcher, timeout_s=5.0):
    clock = MockClock(autojump_threshold=0)
    return trio.run(dispatcher.call, "desk", LOOK_UP, timeout_s, clock=clock)


def test_idempotent_call_moves_to_another_server(services, dispatcher):
    """Guards against a call that fails although one server is left.

    One server is dead, and one loses its reply.
    """
    services.kill("p1")
    services.lose_replies("p2", 1)
    assert run(dispatcher).status == 404


def test_all_servers_down_is_a_typed_failure(services, dispatcher):
    """Guards against retries without limit."""
    for name in NAMES:
        services.kill(name)
    assert run(dispatcher).kind is RETRIES_EXHAUSTED


def test_slow_service_ends_at_the_deadline(services, dispatcher):
    """Guards against callers that wait without limit for a server that hangs."""
    for name in NAMES:
        services.delay(name, before_s=60.0)
    assert run(dispatcher, 1.0).kind is DEADLINE_EXCEEDED


def test_leaving_server_is_no_candidate(dispatcher):
    """Guards against new calls to a leaving server."""
    for name in NAMES:
        dispatcher.mark_leaving(name)
    assert run(dispatcher).kind is NO_CHAIN


def test_failed_server_comes_last_until_its_backoff_ends(services, dispatcher):
    """Guards against a retry in each call because of the same dead server."""
    services.kill("p1")

    async def scenario():
        for _ in range(6):
            await dispatcher.call("desk", LOOK_UP, 5.0)
        now = trio.current_time()
        last = [dispatcher.candidates("desk", now)[-1].name for _ in range(5)]
        later = {dispatcher.candidates("desk", now + 100)[0].name for _ in range(50)}
        return last, later

    last, later = trio.run(scenario, clock=MockClock(autojump_threshold=0))
    assert set(last) == {"p1"}
    assert "p1" in later
