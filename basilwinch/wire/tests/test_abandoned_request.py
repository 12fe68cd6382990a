"""Tests of what a server receives of a request that its caller has given up, over real sockets."""

import socket

import pytest
import trio

from basilwinch.wire import connect

_LONG_BODY = b"x" * (8 << 20)  # more than the buffers of both ends hold
_HEADER = [(b"Content-Length", b"%d" % len(_LONG_BODY))]


@pytest.fixture
def run_server():
    """Return a function that runs an async test with the client's and the server's connection."""

    def run(test):
        async def main():
            with trio.fail_after(10), socket.create_server(("127.0.0.1", 0)) as listener:
                connection = await connect(*listener.getsockname(), 1.0)
                accepted, _ = listener.accept()
                accepted.setblocking(False)
                with trio.socket.from_stdlib_socket(accepted) as server:
                    await test(connection, server)

        trio.run(main)

    return run


async def read_to_end(server) -> int:
    """Return the number of bytes that a server receives up to the end of its connection."""
    count = 0
    while data := await server.recv(1 << 20):
        count += len(data)
    return count


def test_server_gets_no_rest_of_a_request_that_was_given_up(run_server):
    """Guards against bytes that a broken link holds up, and that reach the server and run there
    seconds after the caller has left."""

    async def test(connection, server):
        with trio.move_on_after(0.2):
            await connection.send(b"POST", b"/x", _HEADER, _LONG_BODY)
            await connection.receive_head()
        connection.close()
        with pytest.raises(ConnectionResetError):
            await read_to_end(server)

    run_server(test)


def test_connection_is_ended_in_order_after_a_complete_response(run_server):
    """Guards against resets of idle connections, which servers would count as failures."""

    async def test(connection, server):
        await connection.send(b"GET", b"/x", [], b"")
        await server.recv(1 << 16)
        await server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await connection.receive_head()
        assert await connection.receive_body(10) == b"ok"
        connection.close()
        assert await read_to_end(server) == 0

    run_server(test)
