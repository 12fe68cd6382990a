"""End-to-end tests of prompts with a part that crashes each server that writes on it."""

import pytest
import trio

from basilwinch.chains.load import NodeReport
from basilwinch.exception import ServerError
from basilwinch.observability import DecisionLog
from basilwinch.peers import PeerExchange, decode_report, encode_report
from basilwinch.peers.exchange import NODES_PREFIX
from basilwinch.peers.registration import encode_registration
from basilwinch.suspicion import SuspectConfig, SuspectRegistry, digest_part
from basilwinch.suspicion.evidence import unpack

CRASHING_PART = b"dead0001"


@pytest.fixture
def send():
    """Return a function that sends a stream request with the given parts of its prompt."""

    async def send_stream(site, number, *shared_parts):
        parts = [*shared_parts, b"%x" % (0x100 + number)]
        headers = [
            (b"X-Token-Count", b"100,18"),
            (b"X-Prompt-Prefix", b",".join(part + b":40" for part in parts)),
        ]
        try:
            status, _, body = await site.call(
                b"POST", b"/s/a", b"r%d" % number, b"body %d" % number, headers=headers
            )
        except ServerError:
            return None
        return status if body else -status

    return send_stream


def test_request_with_a_convicted_part_is_refused_at_once_while_no_chain_is_free(run_with, send):
    """Guards against a request that waits for a chain although it will be refused."""

    async def test(site):
        site.node._suspects.apply_stored_conviction(
            digest_part(CRASHING_PART.decode()), 60.0, trio.current_time()
        )
        for server in site.platform.servers:
            site.node.load.suspect(server.id, "test")
        start = trio.current_time()
        assert await send(site, 1, b"f1", CRASHING_PART) == -503
        assert trio.current_time() - start < 0.15
        assert not [run for server in site.platform.servers for run in server.runs]

    run_with(test)


def test_requests_with_a_crashing_part_cost_two_servers_at_most(run_with, send):
    """Guards against a part of a prompt that crashes chain after chain in different requests."""

    async def test(site):
        for server in site.platform.servers:
            server.crashing_parts = {CRASHING_PART}
        for number in range(6):
            assert await send(site, number, b"f%d" % (number % 3)) == 200
        for number in range(10, 22):
            await send(site, number, b"f%d" % (number % 3), CRASHING_PART)
            await trio.sleep(0.1)
        assert sum(server.has_crashed for server in site.platform.servers) <= 2
        sound = [await send(site, number, b"f%d" % (number % 3)) for number in range(30, 36)]
        assert sound == [200] * 6

    run_with(test, chains=5)


def test_crash_is_attributed_when_the_reset_of_the_connection_is_late(run_with, send):
    """Guards against a crashing request that goes free because its silent chain was abandoned."""

    async def test(site):
        async def refuse_while_it_runs(server):
            await site.wait_until(lambda: not server.faults)
            server.refuse_connections()

        heads = [server for server in site.platform.servers if server.kind and not server.layers[0]]
        for server in heads:
            server.faults = ["mute"]
            site.nursery.start_soon(refuse_while_it_runs, server)
        await send(site, 1, b"f1")
        lost = [server.id for server in heads if not server.faults]
        evidence = site.node._suspects.list_entries(trio.current_time())
        struck = {strike.server for entry in evidence for strike in entry.strikes}
        assert lost and struck == set(lost)

    run_with(test)


def test_node_that_asks_is_told_of_suspects_that_all_others_know(run_with):
    """Guards against a node that starts, and serves requests that have crashed servers until the
    next report that happens to carry them, up to four seconds later."""

    async def test(site):
        site.platform.put(NODES_PREFIX + "n2", b'{"ip": "127.0.0.2"}')
        await site.wait_until(lambda: site.node._peers.count_peers() == 1)
        suspects, now = site.node._suspects, trio.current_time()
        suspects.begin_attempt("r1", "r1", ["c0"], False, now - 0.1, (digest_part("bad"),))
        suspects.report_death("c0", now)
        suspects.end_attempt("r1", "r1")
        await trio.sleep(2.0)
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sock:
            await sock.bind(("127.0.0.2", site.settings.peer_port))
            for number in range(3):
                question = encode_report("n2", number, NodeReport({}, {}), asking=True)
                address = (site.settings.front.host, site.settings.peer_port)
                await sock.sendto(question, address)
                with trio.fail_after(1.0):
                    answer = decode_report((await sock.recvfrom(65535))[0])
                assert unpack(answer[3])

    run_with(test)


def test_suspects_learned_from_others_are_not_sent_to_all_nodes(run_with, monkeypatch):
    """Guards against a large fleet in which one crash makes each node tell all others: that took
    more of the links between zones than all other reports. Own evidence still goes to all."""
    told = set()
    send_report = PeerExchange._send_report

    async def record(self, sock, peers, report, suspects, usage=None):
        told.update(peers if suspects else ())
        await send_report(self, sock, peers, report, suspects, usage)

    async def test(site):
        node = site.node
        for number in range(40):
            value = encode_registration("127.0.0.9", f"z{number % 2 + 1}")
            site.platform.put(NODES_PREFIX + f"m{number}", value)
        await site.wait_until(lambda: node._peers.count_peers() == 40)
        await trio.sleep(2.0)
        peer = SuspectRegistry(SuspectConfig("m1", weak_strikes=False), DecisionLog.for_benchmark())
        _crash(peer, "r1", "c0")
        monkeypatch.setattr(PeerExchange, "_send_report", record)
        node._suspects.merge_bytes(peer.export_bytes(trio.current_time()), trio.current_time())
        await trio.sleep(1.5)
        assert len(told) <= 4, "the readers of both other zones"
        _crash(node._suspects, "r2", "c2")
        await trio.sleep(1.0)
        assert len(told) == 40

    run_with(test)


def _crash(registry, run_id, server):
    now = trio.current_time()
    registry.begin_attempt(run_id, run_id, [server], False, now - 0.1, (digest_part(run_id),))
    registry.report_death(server, now)
    registry.end_attempt(run_id, run_id)
