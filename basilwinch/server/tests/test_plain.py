"""Tests of calls to plain services over real connections."""

import pytest
import trio

from basilwinch.catalog import Server
from basilwinch.exception import STREAM_LOST, ServerError
from basilwinch.server.call import ServiceCall
from basilwinch.server.plain import HttpServiceClient
from basilwinch.wire import drop_unsent_on_close

READ_BYTES = 9_000  # of the call, before the reply begins


@pytest.fixture
def call_service():
    """Return a function that makes calls to a server which replies before it has read them.

    It resets the connection after that, or reads on and ends it in order. The function returns
    bodies or errors.
    """

    def run(header: bytes, body_bytes: int, reset: bool, code: bytes = b"200"):
        async def reply(stream):
            head = b""
            while b"\r\n\r\n" not in head:
                head += await stream.receive_some(READ_BYTES)
            read = len(head.partition(b"\r\n\r\n")[2])
            while read < min(READ_BYTES, body_bytes):
                read += len(await stream.receive_some(READ_BYTES))
            await stream.send_all(b"HTTP/1.1 " + code + b" X\r\n" + header + b"\r\npart")
            await trio.sleep(0.05)
            if reset:
                drop_unsent_on_close(stream.socket)
            else:
                while read < body_bytes:
                    read += len(await stream.receive_some(1 << 20))
            await stream.aclose()

        async def call(client, server):
            try:
                reply = await client.call(server, ServiceCall("POST", "/x", (), b"x" * body_bytes))
                return reply.body
            except ServerError as error:
                return error

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, reply, 0)
                port = listeners[0].socket.getsockname()[1]
                server = Server("s", f"127.0.0.1:{port}", "z", "r", service="desk")
                client = HttpServiceClient.from_config(4)
                results = [await call(client, server) for _ in range(5)]
                nursery.cancel_scope.cancel()
                return results

        return trio.run(main)

    return run


@pytest.mark.parametrize("body_bytes", [10, 4_000_000])
def test_reset_reply_without_length_is_incomplete(call_service, body_bytes):
    """Guards against a cut reply that is passed on as a whole one."""
    results = call_service(b"", body_bytes, reset=True)
    assert all(isinstance(result, ServerError) for result in results)


@pytest.mark.parametrize("body_bytes", [10, 4_000_000])
def test_reply_that_ends_in_order_or_has_a_length_is_whole(call_service, body_bytes):
    """Guards against a whole reply that is refused as the call was not read to its end."""
    assert call_service(b"", body_bytes, reset=False) == [b"part"] * 5
    assert call_service(b"Content-Length: 4\r\n", body_bytes, reset=True) == [b"part"] * 5


@pytest.mark.parametrize("code", [b"000", b"099", b"101", b"600", b"700", b"999"])
def test_reply_with_an_invalid_status_is_lost(call_service, code):
    """Guards against a status outside 100 to 599 that is taken for the outcome of an order."""
    results = call_service(b"Content-Length: 4\r\n", 10, reset=False, code=code)
    assert all(isinstance(result, ServerError) for result in results)
    assert all(result.failure.kind is STREAM_LOST for result in results)
