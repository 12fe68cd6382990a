"""Tests of connections to servers."""

import socket

import h11
import pytest
import trio
import trio.testing

from basilwinch.exception import OUTCOME_UNKNOWN, ServerError
from basilwinch.wire.client import ServerConnection, connect, drop_unsent_on_close
from basilwinch.wire.pool import ConnectionPool

_LONG_BODY = b"x" * 100_000
_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Socket:
    """A socket that has a response ready at once, and never accepts the rest of a long body."""

    def __init__(self, on_receive=lambda: None, response=_RESPONSE):
        self._on_receive = on_receive
        self._parts = [response]
        self.closed = False

    async def recv(self, count):
        if not self._parts:
            await trio.sleep_forever()
        await trio.lowlevel.checkpoint()
        self._on_receive()
        return self._parts.pop(0)

    async def send(self, data):
        if len(data) > 1000:
            await trio.sleep_forever()
        return len(data)

    def setsockopt(self, level, option, value):
        pass

    def close(self):
        self.closed = True


@pytest.fixture
def run():
    """Return a function that runs an async test on a mock clock that skips waits."""

    def run(test):
        async def main():
            with trio.fail_after(60):
                await test()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return run


def test_bytes_received_when_the_wait_is_cancelled_are_kept(run):
    """Guards against losing received bytes when a wait is cancelled while a body is being sent."""

    async def test():
        scope = trio.CancelScope()
        connection = ServerConnection(Socket(scope.cancel), "10.0.0.1", 1)
        await connection.send(b"POST", b"/", [(b"Content-Length", b"100000")], _LONG_BODY)
        with scope:
            await connection.receive_head()
        with trio.move_on_after(5) as waited:
            response = await connection.receive_head()
        assert not waited.cancelled_caught
        assert isinstance(response, h11.Response)
        assert await connection.receive_body(10) == b"ok"

    run(test)


def _answer_with(header: bytes):
    return Socket(response=b"HTTP/1.1 200 OK\r\n" + header + b"Content-Length: 2\r\n\r\nok")


@pytest.mark.parametrize(
    ("header", "kept"),
    [
        (b"", 1),
        (b"Connection: close\r\n", 0),
        (b"Keep-Alive: timeout=4, max=9\r\n", 1),
        (b"keep-alive: TIMEOUT=0\r\n", 0),
    ],
)
def test_connection_is_kept_for_the_keep_alive_time_of_its_server(run, header, kept):
    async def test():
        pool = ConnectionPool(trio.current_time, 1.0, 60.0, 4)
        sock = _answer_with(header)
        connection = ServerConnection(sock, "10.0.0.1", 1)
        await connection.send(b"GET", b"/", [], b"")
        await connection.receive_head()
        await connection.receive_body(10)
        pool.release(connection)
        pool.close_expired()
        assert sock.closed == (not kept)
        await trio.sleep(3.0)
        pool.close_expired()
        assert sock.closed == (not kept or b"timeout=4" in header)

    run(test)


class EndlessSocket(Socket):
    """A socket that has further bytes ready without end."""

    def __init__(self, start: bytes, repeated: bytes):
        super().__init__()
        self._start = start
        self._repeated = repeated
        self.received = 0

    async def recv(self, count):
        await trio.lowlevel.checkpoint()
        data, self._start = self._start or self._repeated, b""
        self.received += len(data)
        assert self.received < 4 << 20, "reads on without end"
        return data


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"", b"x" * 1000),
        (b"HTTP/1.1 200 OK\r\n", b"a: " + b"b" * 90 + b"\r\n"),
        (b"HTTP/1.1 200 ", b"OK" * 500),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
    ],
)
def test_head_without_end_is_given_up(run, start, repeated):
    """Guards against reading, and keeping, a head that never ends."""

    async def test():
        connection = ServerConnection(EndlessSocket(start, repeated), "10.0.0.1", 1)
        await connection.send(b"GET", b"/", [], b"")
        with pytest.raises(ServerError):
            await connection.receive_head()

    run(test)


@pytest.mark.parametrize(
    ("header", "repeated"),
    [
        (b"", b"x" * 1000),
        (b"Transfer-Encoding: chunked\r\n", b"3e8\r\n" + b"x" * 1000 + b"\r\n"),
        (b"Transfer-Encoding: chunked\r\n", b"0" * 1000),
        (b"Content-Length: 999999999999\r\n", b"x" * 1000),
    ],
)
def test_body_without_end_is_given_up(run, header, repeated):
    """Guards against reading, and keeping, a body that never ends."""

    async def test():
        start = b"HTTP/1.1 200 OK\r\n" + header + b"\r\n"
        connection = ServerConnection(EndlessSocket(start, repeated), "10.0.0.1", 1)
        await connection.send(b"GET", b"/", [], b"")
        await connection.receive_head()
        with pytest.raises(ServerError):
            await connection.receive_body(1 << 20)

    run(test)


class LosingSocket:
    """A socket that breaks after the first bytes of a response.

    As the system does, it tells its loss once, to ``teller``; a receive after that returns an end.

    :param response: bytes that arrive before
    :param teller: ``send`` or ``recv``, the call that fails; None if the server ends in order
    :param error: the failure
    """

    def __init__(self, response, teller, error=None):
        self._parts = [response]
        self._teller = teller
        self._error = error
        self._lost = trio.Event()

    async def recv(self, count):
        if self._parts:
            return self._parts.pop(0)
        if self._teller == "send":
            await self._lost.wait()
        await trio.lowlevel.checkpoint()
        if self._teller == "recv":
            raise self._error
        return b""

    async def send(self, data):
        await trio.lowlevel.checkpoint()
        if self._parts:
            return min(len(data), 1000)
        if self._teller != "send":
            await trio.sleep_forever()
        self._lost.set()
        raise self._error

    def setsockopt(self, level, option, value):
        pass

    def close(self):
        pass


_LOSSES = [ConnectionResetError(104, "reset"), BrokenPipeError(32, "pipe"), TimeoutError(110, "t")]
_PARTIAL = b"HTTP/1.1 200 OK\r\n\r\npart"


async def _receive_answer(sock):
    connection = ServerConnection(sock, "10.0.0.1", 1)
    await connection.send(b"POST", b"/", [(b"Content-Length", b"100000")], _LONG_BODY)
    await connection.receive_head()
    return await connection.receive_body(100)


@pytest.mark.parametrize("teller", ["send", "recv"])
@pytest.mark.parametrize("error", _LOSSES, ids=lambda error: type(error).__name__)
def test_response_without_length_is_incomplete_if_its_connection_is_lost(run, teller, error):
    """Guards against a cut response that is passed on as a whole one."""

    async def test():
        with pytest.raises(ServerError):
            await _receive_answer(LosingSocket(_PARTIAL, teller, error))

    run(test)


def test_response_without_length_is_complete_at_an_end_in_order(run):
    """Guards against a whole response that is refused because the body was not read to its end."""

    async def test():
        assert await _receive_answer(LosingSocket(_PARTIAL, None)) == b"part"

    run(test)


@pytest.mark.parametrize("teller", ["send", "recv"])
def test_response_with_length_is_complete_though_the_server_reads_no_more(run, teller):
    """Guards against a whole response that is refused because the rest of a body was not sent."""

    async def test():
        sock = LosingSocket(_RESPONSE, teller, ConnectionResetError(104, "reset"))
        assert await _receive_answer(sock) == b"ok"

    run(test)


@pytest.mark.parametrize("body_bytes", [10, 20_000, 4_000_000])
@pytest.mark.parametrize("unread", [True, False])
def test_reset_response_without_length_is_incomplete(body_bytes, unread):
    """Guards against a cut response that is passed on as a whole one, with real connections.

    :param unread: whether the server leaves a part of the body unread, so that its close resets
    """

    async def answer(stream):
        read = 0
        while read < min(body_bytes, 9_000 if unread else body_bytes):
            read += len(await stream.receive_some(9_000))
        await stream.send_all(_PARTIAL)
        await trio.sleep(0.02)
        drop_unsent_on_close(stream.socket)
        await stream.aclose()

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, answer, 0)
            port = listeners[0].socket.getsockname()[1]
            for _ in range(10):
                connection = await connect("127.0.0.1", port, 1.0)
                header = [(b"Content-Length", b"%d" % body_bytes)]
                with pytest.raises(ServerError), trio.fail_after(5):
                    await connection.send(b"POST", b"/", header, b"x" * body_bytes)
                    await connection.receive_head()
                    await connection.receive_body(100)
                connection.close()
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.fixture
def connect_pair():
    """Return a function that returns a connection and the server's end of it, on loopback."""

    async def connect_pair():
        listener = socket.create_server(("127.0.0.1", 0))
        with listener:
            connection = await connect("127.0.0.1", listener.getsockname()[1], 5.0)
            server, _ = listener.accept()
        await connection.send(b"GET", b"/", [], b"")
        return connection, server

    return connect_pair


def test_bytes_that_arrive_with_a_cancellation_are_received_later(connect_pair):
    """Guards against losing bytes of a socket that becomes readable as the wait is cancelled."""

    async def test():
        connection, server = await connect_pair()
        scope = trio.CancelScope()

        async def receive():
            with scope:
                await connection.receive_head()

        with trio.fail_after(20), server:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(receive)
                await trio.testing.wait_all_tasks_blocked()
                server.sendall(_RESPONSE)
                scope.cancel()
            assert scope.cancelled_caught
            assert (await connection.receive_head()).status_code == 200
            assert await connection.receive_body(10) == b"ok"
        connection.close()

    trio.run(test)


def test_waits_cancelled_at_any_time_lose_no_bytes(connect_pair):
    """Guards against a cancellation between the read of bytes and their use."""

    async def test():
        connection, server = await connect_pair()
        body = bytes(range(256)) * 4
        parts = []

        async def send():
            server.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            for start in range(0, len(body), 4):
                server.sendall(body[start : start + 4])
                await trio.sleep(0.0005)

        with trio.fail_after(30), server:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                head = None
                while sum(map(len, parts)) < len(body):
                    with trio.move_on_after(0.0007):
                        head = head or await connection.receive_head()
                        parts.append(await connection.receive_data())
        assert b"".join(parts) == body
        connection.close()

    trio.run(test)


def test_lost_and_closed_connections_raise_errors_of_servers(connect_pair):
    """Guards against other exceptions than ServerError from the wait for a socket."""

    async def test():
        connection, server = await connect_pair()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        server.close()
        with trio.fail_after(20):
            with pytest.raises(ServerError):
                await connection.receive_head()
            connection, server = await connect_pair()
            connection.close()
            with server, pytest.raises(ServerError):
                await connection.receive_head()

    trio.run(test)


def test_readable_socket_without_bytes_is_waited_for_again(connect_pair, monkeypatch):
    """Guards against an error when the system reports a socket as readable that has no bytes."""

    async def test():
        connection, server = await connect_pair()
        wait_readable = trio.lowlevel.wait_readable
        waits = []

        async def wait_once_in_vain(sock):
            waits.append(sock)
            if len(waits) == 1:
                await trio.lowlevel.checkpoint()
                return
            server.sendall(_RESPONSE)
            await wait_readable(sock)

        monkeypatch.setattr(trio.lowlevel, "wait_readable", wait_once_in_vain)
        with trio.fail_after(20), server:
            assert (await connection.receive_head()).status_code == 200
        assert len(waits) == 2
        connection.close()

    trio.run(test)


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize(
    "code",
    [b"000", b"0", b"00", b"0000", b"099", b"101", b"600", b"700", b"999", b"1000", b"20", b"2e2"]
    + [b"+20", b"-20", b"", b"\xb2\xb0\xb0"],
)
def test_response_with_an_invalid_status_is_a_failure(run, code, version):
    """Guards against a status that is passed on though it is not from 100 to 599."""

    async def test():
        head = b"HTTP/" + version + b" " + code + b" X\r\nContent-Length: 2\r\n\r\nok"
        connection = ServerConnection(Socket(response=head), "10.0.0.1", 80)
        await connection.send(b"GET", b"/", [], b"")
        with pytest.raises(ServerError) as info:
            await connection.receive_head()
        assert info.value.failure.kind is OUTCOME_UNKNOWN
        assert not connection.finish(0.0)

    run(test)


@pytest.mark.parametrize("code", [200, 299, 404, 500, 599])
def test_response_with_an_unassigned_status_is_passed_on(run, code):
    async def test():
        head = b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\nok" % code
        connection = ServerConnection(Socket(response=head), "10.0.0.1", 80)
        await connection.send(b"GET", b"/", [], b"")
        assert (await connection.receive_head()).status_code == code

    run(test)
