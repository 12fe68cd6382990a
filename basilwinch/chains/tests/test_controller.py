"""Tests of the layout controller when another node takes over."""

import json

import pytest
import structlog
import trio
import trio.testing

from basilwinch import platform
from basilwinch.chains import FleetLoad, plan_chains
from basilwinch.chains.controller import LAYOUT_PREFIX, LayoutController
from basilwinch.standin.malformed import UNREADABLE
from basilwinch.store import Compare, KeyValue, StoreHistory, Transaction
from basilwinch.view import CallerLimits, Configuration, Service, View


class Store:
    """Stores layouts, and the times at which they were written."""

    def __init__(self):
        self.items = {}
        self.written_at = []
        self.history = StoreHistory()

    async def get(self, key):
        return self.items.get(key)

    async def transact(self, compares, puts):
        self.written_at.append(trio.current_time())
        for put in puts:
            self.items[put.key] = KeyValue(put.key, put.value, 1, 0)
        return Transaction(True, 1)


class Dialect:
    def build_report_request(self):
        return ()


class Pool:
    async def call(self, address, request, max_body_bytes, fresh=False):
        await trio.sleep_forever()


class Lease:
    condition = Compare("lease", 1)

    def check(self, now):
        return None


@pytest.fixture
def view(servers, engine):
    view = View()
    services = {"llm": Service("llm", engine)}
    view.set_configuration(Configuration(1, [], services, None, CallerLimits()), 1)
    for server in servers:
        view.set_server(server, 1)
    view.confirm(0.0)
    return view


@pytest.fixture
def planned_after(view):
    """Return a function that runs a controller for 3 s; it returns after how many seconds the
    controller first wrote a layout."""

    def run(layout):
        store = Store()
        if layout is not None:
            rows = [[[m.server, m.first, m.end] for m in chain] for chain in layout]
            key = LAYOUT_PREFIX + "llm"
            store.items[key] = KeyValue(key, json.dumps(rows).encode(), 1, 0)

        async def main():
            start = trio.current_time()
            controller = LayoutController(
                view, store, Dialect(), Pool(), FleetLoad(trio.current_time)
            )
            with trio.move_on_after(3):
                await controller.run(Lease())
            return [written - start for written in store.written_at]

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))[0]

    return run


def test_first_plan_waits_for_further_servers(planned_after):
    assert planned_after(None) >= 1.0


def test_new_controller_repairs_a_chain_at_once(planned_after, view, servers, engine):
    """Guards against a controller that takes over after an outage and waits a second before it
    repairs a chain, as at the first start."""
    layout = plan_chains(servers, engine, [])
    view.remove_server(layout[0][1].server, 2, "test")
    assert planned_after(layout) < 0.1


def test_new_controller_waits_if_many_members_are_absent(planned_after, view, servers, engine):
    layout = plan_chains(servers, engine, [])
    for chain in layout:
        view.remove_server(chain[0].server, 2, "test")
    assert planned_after(layout) >= 1.0


def test_server_of_an_unknown_kind_is_logged_once_and_the_rest_planned(view, engine):
    """Guards against a server that is left out without a word, or that keeps the others from being
    used."""
    server = next(iter(view.servers.values()))
    view.set_server(server.replace(kind="never-seen"), 2)
    store = Store()

    async def main():
        controller = LayoutController(view, store, Dialect(), Pool(), FleetLoad(trio.current_time))
        with trio.move_on_after(3):
            await controller.run(Lease())

    with structlog.testing.capture_logs() as lines:
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    rows = json.loads(store.items[LAYOUT_PREFIX + "llm"].value)
    assert rows
    assert not any(member[0] == server.id for chain in rows for member in chain)
    errors = [line for line in lines if line["log_level"] == "error"]
    assert [(line["server"], line["kind"]) for line in errors] == [(server.id, "never-seen")]


class ReportingPool:
    """Answers report queries with a body, and counts the orders."""

    def __init__(self, body):
        self.body = body
        self.orders = 0

    async def call(self, address, request, max_body_bytes, fresh=False):
        if request[0] == b"POST":
            self.orders += 1
            return 202, b""
        return 200, self.body


@pytest.mark.parametrize("body", [*UNREADABLE, b"[]", b"null", b"{}", b'{"sequence": 1e999}'])
def test_malformed_report_of_a_server_ends_no_controller_and_causes_no_order(view, body):
    """Guards against one server that ends each node that holds the lease of the layout."""
    pool = ReportingPool(body)

    async def main():
        load = FleetLoad(trio.current_time)
        controller = LayoutController(view, Store(), platform.Dialect(), pool, load)
        with trio.move_on_after(3):
            await controller.run(Lease())

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert not pool.orders
