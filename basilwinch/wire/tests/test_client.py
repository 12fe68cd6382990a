"""Tests of connections to servers."""

import h11
import pytest
import trio
import trio.testing

from basilwinch.exception import ServerError
from basilwinch.wire.client import ServerConnection
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
