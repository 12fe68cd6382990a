"""Tests of a node whose store is restored from an older copy."""

import json

import pytest
import trio

from basilwinch.chains.controller import LAYOUT_PREFIX
from basilwinch.chains.load import NodeReport
from basilwinch.lease.holder import LEASE_KEY_PREFIX
from basilwinch.peers.codec import decode_report, encode_report
from basilwinch.peers.convictions import CONVICTIONS_PREFIX
from basilwinch.peers.exchange import NODES_PREFIX
from basilwinch.view import read_boot_clock

_LEASE_KEY = f"{LEASE_KEY_PREFIX}layout/holder"
_LAYOUT_KEY = f"{LAYOUT_PREFIX}llm"


@pytest.fixture
def write_version(configuration):
    """Return a function that writes a version of the configuration with a key of its own."""

    def write(site, version):
        tenants = [{"name": "org", "api-keys": ["key-1", f"key-of-{version}"]}]
        newer = configuration | {"version": version, "tenants": tenants}
        site.platform.put("op/config", json.dumps(newer).encode())

    return write


class Peer:
    """A peer on another loopback address, which answers each report with a version."""

    def __init__(self, site, version):
        self.site = site
        self.version = version
        self.asked = 0

    async def run(self) -> None:
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await sock.bind(("127.0.0.2", self.site.settings.peer_port))
        while True:
            data, address = await sock.recvfrom(65535)
            self.asked += decode_report(data)[6]
            report = NodeReport({}, {})
            answer = encode_report("n2", 1, report, version=self.version)
            await sock.sendto(answer, address)


def _is_current(site, version) -> bool:
    view = site.node.view
    return view.configuration.version == version and view.age(read_boot_clock()) < 1.0


def test_change_is_seen_though_the_store_has_passed_the_old_revision(run_with, write_version):
    """Guards against a watch that goes on from a revision that was given out again."""

    async def test(site):
        copy = site.platform.copy()
        write_version(site, 5)
        await site.wait_until(lambda: _is_current(site, 5))
        cursor = site.platform.revision
        site.platform.outage_status = 503
        await trio.sleep(0.5)
        site.platform.restore(copy)
        write_version(site, 9)
        while site.platform.revision <= cursor + 3:
            site.platform.put("basilwinch/other", b"1")
        site.platform.outage_status = None
        with trio.fail_after(2.0):
            await site.wait_until(lambda: _is_current(site, 9))

    run_with(test)


def test_change_is_seen_if_no_call_fails_while_the_store_is_restored(run_with, write_version):
    """Guards against a node that takes the older revision of a restored store as applied."""

    async def test(site):
        copy = site.platform.copy()
        write_version(site, 5)
        await site.wait_until(lambda: _is_current(site, 5))
        for _ in range(20):
            site.platform.put("basilwinch/other", b"1")
        await trio.sleep(1.5)
        site.platform.restore(copy)
        await trio.sleep(0.2)
        write_version(site, 9)
        with trio.fail_after(2.0):
            await site.wait_until(lambda: _is_current(site, 9))

    run_with(test)


@pytest.mark.parametrize("era", [b"0", b"x", b"-1"])
def test_odd_era_stops_no_node(run_with, write_version, era):
    """Guards against a node that stops to follow a store whose era falls or can't be read."""

    async def test(site):
        copy = site.platform.copy()
        write_version(site, 5)
        await site.wait_until(lambda: _is_current(site, 5))
        site.platform.restore(copy, era)
        write_version(site, 9)
        with trio.fail_after(4.0):
            await site.wait_until(lambda: _is_current(site, 9))
        assert (await site.call(b"GET", b"/safe/a", b"r1", key="key-of-9"))[0] == 200

    run_with(test)


def test_restore_without_an_era_is_seen_from_the_revision(run_with, write_version):
    """Guards against a node that trusts a store whose revision has fallen, if it names no era."""

    async def test(site):
        site.platform.era = b""
        copy = site.platform.copy()
        write_version(site, 5)
        for _ in range(9):
            site.platform.put("basilwinch/other", b"1")
        await site.wait_until(lambda: _is_current(site, 5))
        site.platform.restore(copy, b"")
        write_version(site, 9)
        with trio.fail_after(4.0):
            await site.wait_until(lambda: _is_current(site, 9))
        assert site.node._store.history.number == 1

    run_with(test)


def test_two_restores_in_a_row_are_followed(run_with, write_version):
    """Guards against a node that waits for the end of the first restore when the second comes."""

    async def test(site):
        copy = site.platform.copy()
        for number in range(2):
            write_version(site, 5 + number)
            await trio.sleep(0.3)
            site.platform.restore(copy)
            await trio.sleep(0.1 * number)
        site.platform.restore(site.platform.copy())
        write_version(site, 9)
        with trio.fail_after(2.0):
            await site.wait_until(lambda: _is_current(site, 9))

    run_with(test)


def test_node_registers_again_soon_after_a_restore(run_with):
    """Guards against peers that leave out a node whose registration the store lost."""

    async def test(site):
        copy = site.platform.copy()
        items = {k: v for k, v in copy[0].items() if not k.startswith("basilwinch/")}
        await trio.sleep(0.5)
        site.platform.restore((items, copy[1], {}, 0))
        with trio.fail_after(2.0):
            await site.wait_until(lambda: NODES_PREFIX + "n1" in site.platform.items)
            await site.wait_until(lambda: site.platform.items[NODES_PREFIX + "n1"][2] != 0)

    run_with(test)


def test_lease_of_another_node_is_neither_renewed_nor_ended(run_with):
    """Guards against a lease id that the restored store has given out again."""

    async def test(site):
        await site.wait_until(lambda: _LEASE_KEY in site.platform.items)
        items, revision, leases, _ = site.platform.copy()
        items = {k: v for k, v in items.items() if not k.startswith("basilwinch/")}
        ids = sorted(leases)
        site.platform.restore((items, revision, {}, 0))
        # The other node has got all ids that this one may still know.
        for lease in ids:
            site.platform.leases[lease] = (60_000, trio.current_time() + 60.0)
            site.platform.put(f"basilwinch/other/{lease}", b"1", lease)
        site.platform.last_lease_id = max(ids)
        other = json.dumps({"owner": "n2", "token": "t"}).encode()
        site.platform.put(_LEASE_KEY, other, max(ids))
        await site.wait_until(lambda: site.node._store.history.number == 1)
        until = {lease: site.platform.leases[lease] for lease in ids}
        await trio.sleep(5.5)
        assert site.platform.items[_LEASE_KEY][0] == other
        assert {lease: site.platform.leases.get(lease) for lease in ids} == until

    run_with(test)


def test_layout_that_the_store_lost_is_written_again_by_its_writer(run_with):
    """Guards against a layout of the older copy that moves layers back."""

    async def test(site):
        layout = site.platform.items[_LAYOUT_KEY][0]
        items, revision, leases, last = site.platform.copy()
        older = json.dumps([[["c0", 0, 8]]]).encode()
        items = items | {_LAYOUT_KEY: (older, 2, 0)}
        orders = sum(server.orders for server in site.platform.servers)
        site.platform.restore((items, revision, leases, last))
        with trio.fail_after(3.0):
            await site.wait_until(lambda: site.platform.items[_LAYOUT_KEY][0] == layout)
        await trio.sleep(0.5)
        assert sum(server.orders for server in site.platform.servers) == orders

    run_with(test)


def test_conviction_that_the_store_lost_is_written_again(run_with):
    """Guards against a conviction that no node stores, as each takes it for stored."""

    async def test(site):
        digest = "d" * 32
        site.node._suspects._get_or_create_evidence(digest, trio.current_time())
        evidence = site.node._suspects._evidence[digest]
        evidence.convicted_at = trio.current_time()
        evidence.until = trio.current_time() + 60.0
        key = CONVICTIONS_PREFIX + digest
        copy = site.platform.copy()
        await site.wait_until(lambda: key in site.platform.items)
        site.platform.restore(copy)
        with trio.fail_after(4.0):
            await site.wait_until(lambda: key in site.platform.items)

    run_with(test)


def test_server_that_left_after_the_copy_gets_no_requests(run_with):
    """Guards against the entry of a server that has left and is back with the older copy."""

    async def test(site):
        copy = site.platform.copy()
        left = site.platform.servers[0]
        left.state = "draining"
        site.platform.register(left)
        await site.wait_until(lambda: site.node.view.servers["p0"].leaving)
        site.platform.restore(copy)
        await trio.sleep(0.5)
        assert site.node.view.servers["p0"].leaving
        site.platform.delete("servers/p0")
        await site.wait_until(lambda: "p0" not in site.node.view.servers)
        copy = (copy[0], *site.platform.copy()[1:])
        site.platform.restore(copy)
        await trio.sleep(0.5)
        assert "p0" not in site.node.view.servers

    run_with(test)


def test_server_registered_after_the_copy_gets_time_to_return(run_with):
    """Guards against servers that are dropped because the older copy does not have them yet."""

    async def test(site):
        items, revision, leases, last = site.platform.copy()
        items = {k: v for k, v in items.items() if k != "servers/p0"}
        await trio.sleep(2.0)
        site.platform.restore((items, revision, leases, last))
        for _ in range(10):
            await trio.sleep(0.1)
            assert "p0" in site.node.view.servers
        site.platform.register(site.platform.servers[0])
        await trio.sleep(3.0)
        assert "p0" in site.node.view.servers

    run_with(test)


def test_node_does_not_serve_from_a_copy_that_is_older_than_a_peer_says(run_with, write_version):
    """Guards against a node that starts on an older copy and serves a key that was taken away, or
    refuses what its peers serve."""

    async def test(site):
        site.platform.put(NODES_PREFIX + "n2", b'{"ip": "127.0.0.2"}')
        await site.wait_until(lambda: site.node._peers.count_peers() == 1)
        peer = Peer(site, 9)
        site.nursery.start_soon(peer.run)
        # As after a start; a report of the peer would otherwise accept what was read before.
        site.node.view.confirmed_at = site.node.view._read_at = float("-inf")
        site.platform.restore(site.platform.copy())
        await site.wait_until(lambda: peer.asked)
        await trio.sleep(1.2)
        assert (await site.call(b"GET", b"/safe/a", b"r1"))[0] == 503
        assert (await site.call(b"GET", b"/none/a", b"r2"))[0] == 503
        assert await site.read_readiness() == 503
        write_version(site, 9)
        await site.wait_until(lambda: _is_current(site, 9))
        assert (await site.call(b"GET", b"/safe/a", b"r3"))[0] == 200
        assert (await site.call(b"GET", b"/none/a", b"r4"))[0] == 404

    run_with(test)


def test_peer_that_does_not_answer_delays_a_node_only_for_a_second(run_with):
    """Guards against nodes that wait for each other for ever after all of them were killed."""

    async def test(site):
        site.platform.put(NODES_PREFIX + "n2", b'{"ip": "127.0.0.2"}')
        await site.wait_until(lambda: site.node._peers.count_peers() == 1)
        site.node.view.confirmed_at = float("-inf")
        site.platform.restore(site.platform.copy())
        with trio.fail_after(2.5):
            while await site.read_readiness() != 200:
                await trio.sleep(0.1)

    run_with(test)
