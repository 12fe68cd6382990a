"""Tests of connections of callers, with valid, malformed and random input."""

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from basilwinch.view import CallerLimits
from basilwinch.wire import CallerConnection, drop_unsent_on_close

LIMITS = CallerLimits(header_bytes=2048, body_bytes=4096, header_s=1.0, idle_s=2.0)


def serve(chunks, handle=None, end=True):
    """Send chunks to a connection; return the bytes received and the requests handled."""
    seen = []

    async def answer(exchange):
        seen.append((exchange.method, exchange.target, exchange.body))
        await exchange.respond(200, [], b"ok")

    received = bytearray()

    async def main():
        ours, theirs = trio.testing.memory_stream_pair()
        connection = CallerConnection(theirs, handle or answer, lambda: LIMITS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.run)

            async def read():
                async for data in ours:
                    received.extend(data)

            nursery.start_soon(read)
            try:
                for chunk in chunks:
                    await ours.send_all(chunk)
                    await trio.sleep(0.01)
                if end:
                    await trio.sleep(0.5)
                    await ours.send_eof()
            except trio.BrokenResourceError:
                return

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return bytes(received), seen


GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


def test_pipelined_requests_are_answered_in_order():
    received, seen = serve([GET + GET.replace(b"/a", b"/b") + GET.replace(b"/a", b"/c")])
    assert [target for _, target, _ in seen] == [b"/a", b"/b", b"/c"]
    assert received.count(b"HTTP/1.1 200") == 3


def test_request_in_single_bytes_is_read():
    received, seen = serve([bytes([byte]) for byte in GET])
    assert len(seen) == 1


@pytest.mark.parametrize(
    "header",
    [
        b"Content-Length: 5\r\nContent-Length: 6\r\n",
        b"Content-Length: 5\r\nTransfer-Encoding: chunked, identity\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length: 5, 6\r\n",
        b"Content-Length : 5\r\n",
        b"X-A: b\r\n folded: c\x00\r\n",
    ],
)
def test_ambiguous_framing_reaches_no_handler(header):
    """Guards against request smuggling with bytes that another parser reads as a second request."""
    hidden = b"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
    received, seen = serve([b"POST /a HTTP/1.1\r\nHost: h\r\n" + header + b"\r\n" + hidden])
    assert seen == []
    assert received.startswith(b"HTTP/1.1 400") or received.startswith(b"HTTP/1.1 501")


def test_length_with_chunked_encoding_is_not_passed_on_as_two_requests():
    text = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
    received, seen = serve([text + b"0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"])
    assert all(target != b"/hidden" for _, target, _ in seen)
    assert received.startswith(b"HTTP/1.1")


def test_oversized_header_and_body_are_refused():
    received, seen = serve([b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 5000])
    assert seen == []
    assert received.startswith(b"HTTP/1.1 431")
    body = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000
    received, seen = serve([body])
    assert seen == []
    assert received.startswith(b"HTTP/1.1 413")


def test_slow_header_and_body_get_408():
    received, seen = serve([b"GET /a HT"], end=False)
    assert received.startswith(b"HTTP/1.1 408")
    received, seen = serve(
        [b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab"], end=False
    )
    assert received.startswith(b"HTTP/1.1 408")
    assert seen == []


def test_disconnect_of_a_caller_cancels_its_request():
    """Guards against servers that continue work for a caller that has disconnected."""
    ended = []

    async def handle(exchange):
        try:
            await trio.sleep_forever()
        finally:
            ended.append(exchange.target)

    received, _ = serve([GET], handle)
    assert ended == [b"/a"]
    assert received == b""


def test_error_of_a_handler_closes_only_its_connection():
    async def handle(exchange):
        raise KeyError("fault")

    received, _ = serve([GET], handle)
    assert received == b""


PIECES = st.sampled_from(
    [
        GET,
        b"POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"zz\r\n",
        b"\r\n",
        b"Content-Length: 3\r\n",
        b"\x00\xff",
        b"HEAD /h HTTP/1.1\r\nHost: h\r\n\r\n",
        b"GET / HTTP/1.0\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"A" * 3000,
    ]
)


@settings(max_examples=150, deadline=None)
@given(pieces=st.lists(PIECES, max_size=8), cut=st.integers(1, 40))
def test_any_bytes_give_http_responses_or_a_closed_connection(pieces, cut):
    data = b"".join(pieces)
    chunks = [data[n : n + cut * 50] for n in range(0, len(data), cut * 50)]
    received, seen = serve(chunks)
    assert received == b"" or received.startswith(b"HTTP/1.1 ")
    assert received.count(b"HTTP/1.1 200") <= len(seen)


def receive_cut_response(version: bytes) -> tuple[bytes, bool]:
    """Read a response that its handler gives up; return its bytes and whether it was reset."""
    received = bytearray()

    async def give_up(exchange):
        await exchange.start(200, [])
        await exchange.send(b"part")
        await trio.sleep(0.1)

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                trio.serve_tcp, lambda s: CallerConnection(s, give_up, lambda: LIMITS).run(), 0
            )
            stream = await trio.testing.open_stream_to_socket_listener(listeners[0])
            await stream.send_all(b"GET /a HTTP/%b\r\nHost: h\r\n\r\n" % version)
            try:
                async for data in stream:
                    received.extend(data)
                return False
            except trio.BrokenResourceError:
                return True
            finally:
                nursery.cancel_scope.cancel()

    was_reset = trio.run(main)
    return bytes(received), was_reset


def test_cut_response_looks_whole_to_no_caller():
    """Guards against a stream that is given up, and looks whole as it ends with its connection."""
    received, was_reset = receive_cut_response(b"1.0")
    assert received.endswith(b"part") and was_reset
    received, _ = receive_cut_response(b"1.1")
    assert b"part" in received and not received.endswith(b"0\r\n\r\n")


def serve_on_loopback(handle, test):
    """Run a test with the caller's end of a connection on loopback.

    :param handle: async function that responds to the request of the caller
    :param test: async function of the caller's trio socket stream and of the node's
    """

    async def main():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = listeners[0].socket.getsockname()
        caller = await trio.open_tcp_stream(*address)
        stream = await listeners[0].accept()
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(CallerConnection(stream, handle, lambda: LIMITS).run)
                await caller.send_all(GET)
                await test(caller, stream)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_response_larger_than_the_buffers_is_sent_whole():
    """Guards against bytes lost or repeated when the system takes a part of a send."""
    body = bytes(range(256)) * 40000

    async def handle(exchange):
        await exchange.respond(200, [], body)

    async def test(caller, stream):
        await trio.sleep(0.1)
        received = b""
        while not received.endswith(body):
            data = await caller.receive_some()
            assert data, "the response ended early"
            received += data

    serve_on_loopback(handle, test)


def test_reset_while_sending_raises_broken_resource_error():
    """Guards against errors of the system that the handlers of requests do not expect."""
    errors = []

    async def handle(exchange):
        with trio.CancelScope(shield=True):
            await exchange.start(200, [])
            try:
                for _ in range(1000):
                    await exchange.send(b"x" * 1000)
                    await trio.sleep(0.001)
            except Exception as error:
                errors.append(error)
                raise

    async def test(caller, stream):
        await caller.receive_some(10)
        drop_unsent_on_close(caller)
        await caller.aclose()
        while not errors:
            await trio.sleep(0.01)

    serve_on_loopback(handle, test)
    assert [type(error) for error in errors] == [trio.BrokenResourceError]


def test_send_on_a_closed_stream_raises_closed_resource_error():
    """Guards against a send on the descriptor of a closed connection."""
    errors = []

    async def handle(exchange):
        with trio.CancelScope(shield=True):
            await exchange.start(200, [])
            await trio.sleep(0.1)
            try:
                await exchange.send(b"x")
            except Exception as error:
                errors.append(error)

    async def test(caller, stream):
        await caller.receive_some(10)
        await stream.aclose()
        while not errors:
            await trio.sleep(0.01)

    serve_on_loopback(handle, test)
    assert [type(error) for error in errors] == [trio.ClosedResourceError]


def test_sends_that_never_wait_let_other_tasks_run():
    """Guards against a response that holds up the node while its bytes are ready at once."""
    turns = 0
    seen = []

    async def handle(exchange):
        await exchange.start(200, [])
        for _ in range(100):
            await exchange.send(b"x")
        seen.append(turns)

    async def test(caller, stream):
        nonlocal turns
        while not seen:
            turns += 1
            await trio.lowlevel.checkpoint()

    serve_on_loopback(handle, test)
    assert seen[0] >= 5


def test_nothing_is_sent_after_a_cancellation():
    """Guards against a response that continues after its handler has been given up."""
    ended = []

    async def handle(exchange):
        await exchange.start(200, [])
        with trio.CancelScope() as scope:
            scope.cancel()
            await exchange.send(b"late")
        ended.append(scope.cancelled_caught)
        await exchange.end()

    async def test(caller, stream):
        received = b""
        while not received.endswith(b"0\r\n\r\n"):
            received += await caller.receive_some()
        assert b"late" not in received

    serve_on_loopback(handle, test)
    assert ended == [True]


@pytest.mark.parametrize("checkpoints", [1, 2, 3])
def test_invalid_request_on_an_evicted_connection_raises_nothing(checkpoints):
    """Guards against an exception that ends the process, as the connection is closed between the
    read of an invalid request and its response."""

    async def main():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = listeners[0].socket.getsockname()
        for _ in range(8):
            async with await trio.open_tcp_stream(*address) as caller:
                await caller.send_all(b"\0\r\n\r\n")
                connection = CallerConnection(await listeners[0].accept(), None, lambda: LIMITS)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(connection.run)
                    for _ in range(checkpoints):
                        await trio.lowlevel.checkpoint()
                    connection.evict()

    trio.run(main)
