"""Tests over real sockets on the loopback interface."""

import contextlib
import random

import prometheus_client
import trio

from basilwinch.membership import (
    Keyring,
    Membership,
    MembershipCollector,
    MembershipConfig,
    UdpTransport,
)
from basilwinch.membership.simulation import HeadSource, LoggedReplica, publish
from basilwinch.membership.transport import split_address
from basilwinch.observability import DecisionLog
from basilwinch.standin import MemoryKeyValueStore


def test_two_nodes_find_each_other_over_udp_and_fetch_over_tcp():
    """Guards against a protocol that works only on the in-memory network. The state is too large
    for a datagram, so it is fetched over TCP."""

    async def main():
        store = MemoryKeyValueStore()
        for _ in range(20):
            await publish(store, bytes(range(250)))
        transports = [await UdpTransport.bind("127.0.0.1:0") for _ in range(2)]
        nodes = []
        for number, transport in enumerate(transports):
            config = MembershipConfig(
                name=f"entry-{number}",
                address=transport.address,
                zone="howrah",
                region="kolkata",
                cluster="test",
                keyring=Keyring({1: b"k" * 32}),
                peers=(transports[0].address,),
                life=number + 1,
                probe_period_s=0.1,
                ack_timeout_s=0.04,
                bytes_per_s=1e6,
            )
            replica = LoggedReplica()
            # Only the first node has a platform.
            source = None if number else HeadSource(store, replica)
            log = DecisionLog.for_benchmark()
            rng = random.Random(number)
            nodes.append(Membership.from_config(config, transport, replica, rng, log, source))
        async with trio.open_nursery() as nursery:
            for node in nodes:
                nursery.start_soon(node.run)
            with trio.fail_after(10):
                while not (nodes[1].ready() and nodes[1].revision_sync.revision == 20):
                    await trio.sleep(0.02)
                while any(len(node.members(0)) != 2 for node in nodes):
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        for transport in transports:
            await transport.aclose()
        return nodes[1]

    node = trio.run(main)
    registry = prometheus_client.CollectorRegistry()
    registry.register(MembershipCollector(node))
    value = registry.get_sample_value
    assert value("basilwinch_membership_members", {"state": "alive"}) == 2
    assert value("basilwinch_membership_revision") == 20
    assert value("basilwinch_membership_fetches_total") >= 1


def test_node_outlives_streams_reset_before_they_are_accepted(reset_connections):
    """Guards against the error of one connection that ends the whole process."""

    async def main():
        transport = await UdpTransport.bind("127.0.0.1:0")
        config = MembershipConfig(
            name="entry-0",
            address=transport.address,
            zone="howrah",
            region="kolkata",
            cluster="test",
            keyring=Keyring({1: b"k" * 32}),
            peers=(transport.address,),
            life=1,
        )
        log = DecisionLog.for_benchmark()
        node = Membership.from_config(config, transport, LoggedReplica(), random.Random(1), log)
        host, port = split_address(transport.address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.run)
            with trio.fail_after(10):
                for sent in (b"", b"\0", b"\xff" * 4000):
                    reset_connections(host, port, sent)
                    async with await transport.open_stream(transport.address) as stream:
                        await stream.send_all(b"\xff" * 100)
                        with contextlib.suppress(trio.BrokenResourceError):
                            assert await stream.receive_some() == b""
            nursery.cancel_scope.cancel()
        await transport.aclose()

    trio.run(main)
