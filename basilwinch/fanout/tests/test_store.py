"""Tests of a watcher that reads the store through another node, with messages over real sockets.

The nodes share an event loop, and each has a loopback address of its own.
"""

import random

import pytest
import trio

from basilwinch.fanout import FanoutStore, Readers, ReaderServer
from basilwinch.fanout.client import ReaderClient
from basilwinch.fanout.message import READ_PROTOCOL_LINE
from basilwinch.fanout.shared_reads import SharedReads
from basilwinch.standin.port import find_free_port
from basilwinch.tunnel import Carriers, Reachability, TunnelListener
from basilwinch.view import View
from basilwinch.view.tests.standin import Store, make_source
from basilwinch.view.watcher import StoreWatcher


class Access(Store):
    """One node's access to a shared store; ``cut`` makes its calls fail, ``calls`` counts them."""

    def __init__(self, shared: Store):
        super().__init__()
        self.shared = shared
        self.calls = 0

    @property
    def down(self):
        return self.shared.down or self.cut

    @down.setter
    def down(self, value):
        self.cut = value

    def __getattribute__(self, name):
        if name in ("items", "events", "revision", "silent", "compacted", "era", "changed"):
            return getattr(object.__getattribute__(self, "shared"), name)
        return object.__getattribute__(self, name)

    def _answer(self):
        self.calls += 1
        super()._answer()


class Node:
    """A node with its watcher; ``is_paused`` stops its answers, ``offset_s`` moves its clock."""

    def __init__(self, shared: Store, number: int, port: int):
        self.name, self.ip = f"n{number}", f"127.0.0.{50 + number}"
        self.port = port
        self.access = Access(shared)
        self.view = View()
        self.offset_s = 0.0
        self.is_paused = False
        self.scope = trio.CancelScope()
        self.start()

    def start(self):
        self.readers = Readers(self.name, "z0")
        self.reads = SharedReads(self.access.history, f"{self.name}-{random.random()}", self.clock)
        self.client = ReaderClient(self.readers, self.ip, self.port, self.clock)
        store = FanoutStore(self.access, self.readers, self.client, self.reads)
        source = make_source(self.access).replace_store(store)
        self.watcher = StoreWatcher(source, self.view, random.Random(1), self.clock)
        self.carriers = Carriers("z0", random.Random(2))
        self.listener = TunnelListener(
            Reachability(), None, self.carriers, self.view, self.ip, trio.current_time
        )
        self.listener.protocols[READ_PROTOCOL_LINE] = ReaderServer(self).serve

    def clock(self) -> float:
        return trio.current_time() + self.offset_s

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(self.port, host=self.ip)
                nursery.start_soon(trio.serve_listeners, self.listener.serve, listeners)
                nursery.start_soon(self.watcher.run)

    async def answer(self, request):
        answer = await self.reads.answer(request)
        while self.is_paused:
            await trio.sleep(0.05)
        return answer


@pytest.fixture
def run_nodes():
    """Return a function that runs an async test with a store, readers and the other nodes."""

    def run(test, size=4):
        async def main():
            store, port = Store(), find_free_port("127.0.0.50")
            nodes = [Node(store, number, port) for number in range(size)]
            for node in nodes:
                for other in nodes:
                    if other is not node:
                        node.readers.add(other.name, other.ip, "z0", True)
                        node.carriers.add(other.name, other.ip, "z0")
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    for node in nodes:
                        nursery.start_soon(node.run)
                    await trio.sleep(1.5)
                    readers = [node for node in nodes if node.readers.is_reader]
                    others = [node for node in nodes if not node.readers.is_reader]
                    await test(store, readers, others)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    return run


def max_age(nodes) -> float:
    return max(node.view.age(node.clock()) for node in nodes)


def test_changes_reach_all_nodes_though_few_read_the_store(run_nodes):
    """Guards against calls of each node for each change, and against nodes that fall behind."""

    async def test(store, readers, others):
        before = [node.access.calls for node in others]
        for number in range(8):
            store.put(f"servers/s{number}")
            await trio.sleep(0.5)
            assert max_age(readers + others) < 2.2
        assert all(len(node.view.servers) == 8 for node in readers + others)
        assert [node.access.calls for node in others] == before

    run_nodes(test)


def test_node_reads_the_store_itself_when_its_readers_have_ended(run_nodes):
    """Guards against nodes that learn nothing, or refuse keys, after the loss of all readers."""

    async def test(store, readers, others):
        for node in readers:
            node.scope.cancel()
        store.put("servers/s1")
        for _ in range(20):
            await trio.sleep(0.1)
            assert max_age(others) < 3.5
        assert all("s1" in node.view.servers for node in others)

    run_nodes(test)


def test_node_reads_the_store_itself_when_its_readers_are_frozen(run_nodes):
    """Guards against a reader that accepts questions and answers none of them."""

    async def test(store, readers, others):
        for node in readers:
            node.is_paused = True
        store.put("servers/s1")
        for _ in range(30):
            await trio.sleep(0.1)
            assert max_age(others) < 3.5
        assert all("s1" in node.view.servers for node in others)

    run_nodes(test)


def test_view_is_not_confirmed_by_what_a_reader_knew_before_it_was_frozen(run_nodes):
    """Guards against a reader that was suspended, wakes, and tells as new what it knew before: a
    key that was withdrawn meanwhile would be accepted."""

    async def test(store, readers, others):
        for node in readers:
            node.access.down = True
        changed_at = trio.current_time()
        store.put("op/config", b"2")
        for node in others:
            node.access.down = True
        for node in readers:
            node.offset_s = 5.0  # the time of the suspension passes at once
        for _ in range(20):
            await trio.sleep(0.1)
            assert all(node.view.confirmed_at <= changed_at for node in others)

    run_nodes(test)


def test_reader_that_is_cut_off_from_the_store_is_left_out(run_nodes):
    """Guards against a store that turns the readers away and serves the other nodes."""

    async def test(store, readers, others):
        for node in readers:
            node.access.down = True
        await trio.sleep(1.0)
        store.put("servers/s1")
        for _ in range(40):
            await trio.sleep(0.1)
            assert max_age(others) < 4.0
        assert all("s1" in node.view.servers for node in others)

    run_nodes(test)


def test_restore_of_a_store_without_eras_is_not_hidden_by_a_reader(run_nodes):
    """Guards against a view that is confirmed by a reader of a restored store, whose revisions are
    given out again."""

    async def test(store, readers, others):
        copy = store.copy()
        for number in range(4):
            store.put(f"servers/s{number}")
        await trio.sleep(1.5)
        store.restore(copy, tell=False)
        store.put("op/config", b"7")
        await trio.sleep(4.0)
        for node in readers + others:
            assert node.view.version == 7
            assert not node.view.servers

    run_nodes(test)


def test_server_that_left_is_not_back_after_its_reader_has_restarted(run_nodes):
    """Guards against a node that takes the answers of a restarted reader for those of the process
    before."""

    async def test(store, readers, others):
        store.put("servers/s1")
        await trio.sleep(0.5)
        store.delete("servers/s1")
        await trio.sleep(0.5)
        for node in readers:
            node.reads._process += "-restarted"
            node.reads._log.clear()
        calls = [node.access.calls for node in others]
        await trio.sleep(2.0)
        assert all("s1" not in node.view.servers for node in others)
        assert all(node.access.calls > before for node, before in zip(others, calls, strict=True))

    run_nodes(test)
