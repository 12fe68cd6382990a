"""Tests of connections to a server through another node, over real sockets."""

import socket

import pytest
import trio

from basilwinch.exception import SERVER_UNREACHABLE, TUNNEL_UNAVAILABLE, ServerError
from basilwinch.tunnel.tests.conftest import ORIGIN_IP
from basilwinch.wire import ConnectionPool, drop_unsent_on_close

REQUEST = (b"POST", b"/x", [(b"Content-Length", b"4")], b"body")
BODY = b"event " * 30000  # more than one frame


async def read_request(stream) -> bytes:
    """Return one request with a body of four bytes, or what came before the connection ended."""
    data = b""
    while not data.endswith(b"body") and (part := await stream.receive_some()):
        data += part
    return data


def make_answer(head: bytes, body: bytes, reset: bool = False):
    """Return a server that answers each connection once, then ends or resets it."""

    async def answer(stream):
        if await read_request(stream):
            await stream.send_all(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + body)
            if reset:
                await trio.sleep(0.05)
                linger = b"\1\0\0\0\0\0\0\0"
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    return answer


async def call(connection) -> bytes:
    await connection.send(*REQUEST)
    await connection.receive_head()
    return await connection.receive_body(1 << 20)


LENGTH = b"Content-Length: %d\r\n" % len(BODY)
HEADS = [
    pytest.param(LENGTH, id="length"),
    pytest.param(b"", id="ends with its connection"),
]


@pytest.mark.parametrize("head", HEADS)
def test_response_arrives_whole_through_a_carrier(run_path, head):
    """Guards against bytes that a carrier changes or drops, with and without a length."""

    async def test(path):
        await path.start_server(make_answer(head, BODY))
        name = await path.start_carrier(1)
        connection = await path.open()
        assert await call(connection) == BODY
        connection.close()
        await path.wait_until(lambda: path.listeners[name].count_tunnels() == 0)

    run_path(test)


def test_response_is_broken_if_the_server_resets_its_connection(run_path):
    """Guards against a response without a length that ends early and looks complete."""

    async def test(path):
        await path.start_server(make_answer(b"", BODY, reset=True))
        await path.start_carrier(1)
        with pytest.raises(ServerError):
            await call(await path.open())

    run_path(test)


def make_early_answer(head: bytes, body: bytes, read_bytes: int):
    """Return a server that answers before it has read a long body, and then resets."""

    async def answer(stream):
        read = 0
        while read < read_bytes and (part := await stream.receive_some()):
            read += len(part)
        await stream.send_all(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + body)
        await trio.sleep(0.1)
        drop_unsent_on_close(stream.socket)

    return answer


async def call_with_body(connection, body_bytes: int, pause_s: float = 0.0) -> bytes:
    header = [(b"Content-Length", b"%d" % body_bytes)]
    await connection.send(b"POST", b"/x", header, b"x" * body_bytes)
    await connection.receive_head()
    await trio.sleep(pause_s)
    return await connection.receive_body(1 << 20)


@pytest.mark.parametrize("body_bytes", [10, 20_000, 4_000_000])
def test_response_is_broken_if_the_server_resets_before_it_has_read_the_body(run_path, body_bytes):
    """Guards against a cut response that looks complete, as a send of the carrier has taken the
    reset."""

    async def test(path):
        await path.start_server(make_early_answer(b"", b"half", min(body_bytes, 9_000)))
        await path.start_carrier(1)
        for _ in range(10):
            connection = await path.open()
            with pytest.raises(ServerError):
                await call_with_body(connection, body_bytes)
            connection.close()

    run_path(test)


@pytest.mark.parametrize("body_bytes", [10, 20_000, 4_000_000])
def test_response_with_length_arrives_though_the_server_resets_after_it(run_path, body_bytes):
    """Guards against a whole response that the carrier drops on its way to a slow origin."""

    async def test(path):
        body = BODY * 5
        head = b"Content-Length: %d\r\n" % len(body)
        await path.start_server(make_early_answer(head, body, min(body_bytes, 9_000)))
        await path.start_carrier(1)
        for _ in range(3):
            connection = await path.open()
            assert await call_with_body(connection, body_bytes, pause_s=0.3) == body
            connection.close()

    run_path(test)


def test_response_is_broken_if_the_carrier_ends(run_path):
    """Guards against a response that looks complete because its carrier has died."""

    async def test(path):
        async def answer(stream):
            await read_request(stream)
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nhalf")
            await trio.sleep_forever()

        await path.start_server(answer)
        name = await path.start_carrier(1)
        connection = await path.open()
        await connection.send(*REQUEST)
        await connection.receive_head()
        assert await connection.receive_data() == b"half"
        path.scopes[name].cancel()
        with pytest.raises(ServerError):
            await connection.receive_data()

    run_path(test)


def test_server_sees_the_end_of_the_tunnel_when_the_origin_gives_up(run_path):
    """Guards against servers that work on for callers that have left."""

    async def test(path):
        async def answer(stream):
            while await stream.receive_some():
                pass

        await path.start_server(answer)
        await path.start_carrier(1)
        connection = await path.open()
        await connection.send(*REQUEST)
        await path.wait_until(lambda: path.accepted == 1)
        start = trio.current_time()
        connection.close()
        await path.wait_until(lambda: path.closed == 1)
        assert trio.current_time() - start < 0.3

    run_path(test)


def test_tunnel_is_reused_until_the_server_closes_it(run_path):
    """Guards against a new connection to the server for each request, and against a dead one."""

    async def test(path):
        async def answer(stream):
            for _ in range(2):
                await read_request(stream)
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        await path.start_server(answer)
        await path.start_carrier(1)
        pool = ConnectionPool(trio.current_time, 1.0, 60.0, 4, path.connector.open)
        address = ("127.0.0.1", path.server_port)
        for _ in range(2):
            assert await pool.call(address, REQUEST, 100) == (200, b"ok")
        assert path.accepted == 1
        await path.wait_until(lambda: path.closed == 1)
        await trio.sleep(0.05)
        assert await pool.call(address, REQUEST, 100) == (200, b"ok")
        assert path.accepted == 2

    run_path(test)


def test_next_carrier_is_asked_if_one_does_not_carry(run_path):
    """Guards against a request that fails because of one frozen, stopping or cut-off carrier."""

    async def test(path):
        await path.start_server(make_answer(b"Content-Length: 2\r\n", b"ok"))
        frozen = await trio.open_tcp_listeners(path.port, host="127.0.0.29")
        path.carriers.add("n9", "127.0.0.29", "a")
        stopping, disconnected = await path.start_carrier(1), await path.start_carrier(2)
        path.listeners[stopping].stop()
        path.carrier_links[disconnected].is_disconnected = True
        for _ in range(2):
            with pytest.raises(ServerError) as error:
                await path.open()
            assert error.value.failure.kind is TUNNEL_UNAVAILABLE
            assert path.connector.find_obstacle() is not None
            assert path.connector.is_isolated()
            await trio.sleep(1.1)
        await path.start_carrier(3)
        for _ in range(3):
            assert await call(await path.open()) == b"ok"
        assert len(frozen) == 1

    run_path(test)


def test_server_that_refuses_is_told_from_a_carrier_that_does_not_carry(run_path):
    """Guards against a crash of a server that a disconnected node takes for its own fault."""

    async def test(path):
        path.server_port = path.port  # nothing listens there on 127.0.0.1
        path.set_server(leaving=False)
        await path.start_carrier(1)
        with pytest.raises(ServerError) as error:
            await path.open()
        assert error.value.failure.kind is SERVER_UNREACHABLE

    run_path(test)


def test_carrier_that_reaches_no_server_itself_blames_none(run_path):
    """Guards against requests that are refused for long because a carrier has just lost its links
    and takes all servers for crashed."""

    async def test(path):
        path.server_port = path.port  # nothing listens there on 127.0.0.1
        path.set_server(leaving=False)
        path.others_answer = False
        await path.start_carrier(1)
        with pytest.raises(ServerError) as error:
            await path.open()
        assert error.value.failure.kind is TUNNEL_UNAVAILABLE

    run_path(test)


def test_carrier_opens_no_connection_to_a_server_that_leaves(run_path):
    """Guards against requests that reach a leaving server through a node that knows of it."""

    async def test(path):
        await path.start_server(make_answer(b"", b""))
        path.set_server(leaving=True)
        await path.start_carrier(1)
        with pytest.raises(ServerError):
            await path.open()
        assert path.accepted == 0

    run_path(test)


@pytest.mark.parametrize(
    ("origin_ip", "line"),
    [
        (ORIGIN_IP, b"TUNNEL/1 s1 127.0.0.1:1\n"),
        (ORIGIN_IP, b"TUNNEL/1 other 127.0.0.1:%d\n"),
        (ORIGIN_IP, b"GET / HTTP/1.1\r\n\r\n"),
        (ORIGIN_IP, b"x" * 600),
        ("127.0.0.99", b"TUNNEL/1 s1 127.0.0.1:%d\n"),
    ],
)
def test_carrier_connects_only_registered_nodes_to_registered_servers(run_path, origin_ip, line):
    """Guards against the use of a carrier as a proxy to any address."""

    async def test(path):
        await path.start_server(make_answer(b"", b""))
        await path.start_carrier(1, origin_ip)
        line_sent = line % path.server_port if b"%d" in line else line
        with trio.socket.socket() as sock:
            await sock.bind((ORIGIN_IP, 0))
            await sock.connect(("127.0.0.21", path.port))
            await sock.send(line_sent)
            try:
                answer = await sock.recv(100)
            except ConnectionResetError:
                answer = b""
        assert answer in (b"", b"unknown\n")
        assert path.accepted == 0

    run_path(test)


def test_carrier_takes_no_more_tunnels_than_its_limit(run_path, monkeypatch):
    """Guards against a carrier that runs out of descriptors for its own callers."""

    async def test(path):
        async def answer(stream):
            while await stream.receive_some():
                pass

        monkeypatch.setattr("basilwinch.tunnel.listener._MAX_TUNNELS", 3)
        await path.start_server(answer)
        await path.start_carrier(1)
        tunnels = [await path.open() for _ in range(3)]
        with pytest.raises(ServerError):
            await path.open()
        tunnels.pop().close()
        await trio.sleep(1.1)
        tunnels.append(await path.open())
        assert path.accepted == 4

    run_path(test)


def test_request_that_the_origin_gives_up_is_dropped_by_the_carrier(run_path):
    """Guards against a request that a broken link holds up behind its carrier, and that reaches the
    server seconds after the caller has left."""

    async def test(path):
        ends = []

        async def answer(stream):
            try:
                await read_request(stream)
                ends.append(await stream.receive_some())
            except trio.BrokenResourceError:
                ends.append("reset")

        await path.start_server(answer)
        await path.start_carrier(1)
        connection = await path.open()
        with trio.move_on_after(0.2):
            await call(connection)
        connection.close()
        await path.wait_until(lambda: ends)
        assert ends == ["reset"]

    run_path(test)


FIRST_BYTES = [b"", b"TUNNEL/1 s1", b"TUNNEL/1 s1 127.0.0.1:9\n", b"READ/1\n"]


@pytest.mark.parametrize("sent", FIRST_BYTES)
@pytest.mark.parametrize("source", ["", ORIGIN_IP], ids=["unknown", "registered"])
def test_carrier_outlives_connections_reset_before_they_are_accepted(
    run_path, reset_connections, sent, source
):
    """Guards against the error of one connection that ends the whole process (LOST)."""

    async def test(path):
        await path.start_server(make_answer(LENGTH, BODY))
        await path.start_carrier(1)
        for _ in range(3):
            reset_connections("127.0.0.21", path.port, sent, source=source)
            await trio.sleep(0.05)
        connection = await path.open()
        assert await call(connection) == BODY
        connection.close()

    run_path(test)


@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.02])
@pytest.mark.parametrize("sent", FIRST_BYTES)
def test_carrier_outlives_connections_reset_while_they_are_served(run_path, sent, delay_s):
    """Guards against the error of one connection that ends the whole process (LOST)."""

    async def test(path):
        await path.start_server(make_answer(LENGTH, BODY))
        name = await path.start_carrier(1)
        for _ in range(20):
            origin = await trio.open_tcp_stream("127.0.0.21", path.port, local_address=ORIGIN_IP)
            await origin.send_all(sent.replace(b":9\n", b":%d\n" % path.server_port))
            await trio.sleep(delay_s)
            drop_unsent_on_close(origin.socket)
            origin.socket.close()
        connection = await path.open()
        assert await call(connection) == BODY
        connection.close()
        await path.wait_until(lambda: path.listeners[name].count_tunnels() == 0)

    run_path(test)


def test_carrier_outlives_an_unexpected_error_of_a_connection(run_path):
    """Guards against a defect in the service of one connection that ends the whole process."""

    async def test(path):
        await path.start_server(make_answer(LENGTH, BODY))
        name = await path.start_carrier(1)

        async def fail(sock, peer):
            raise ValueError("defect")

        path.listeners[name].protocols[b"FAIL/1\n"] = fail
        failed = await trio.open_tcp_stream("127.0.0.21", path.port, local_address=ORIGIN_IP)
        await failed.send_all(b"FAIL/1\n")
        while await failed.receive_some():
            pass
        connection = await path.open()
        assert await call(connection) == BODY
        connection.close()

    run_path(test)
