"""Tests of a backup with real connections, which pass from the backup's task to the caller's."""

import json
from functools import partial

import pytest
import trio

from basilwinch.pipeline import TokenFrame
from basilwinch.relay.tests.conftest import Fleet, collect, make_request
from basilwinch.server import EngineCall, HttpEngineClient
from basilwinch.standin import expected_tokens

REFUSAL = b'{"error": {"code": "server_refused", "reason": "full"}}'


class EngineSocket:
    """Answers calls over TCP; the first attempt pauses before position 5.

    :param refuses: whether later attempts are refused
    """

    def __init__(self, refuses):
        self._refuses = refuses
        self.calls = []
        self.closed = []

    async def serve(self, stream):
        data = b""
        while b"\r\n\r\n" not in data:
            data += await stream.receive_some()
        head, _, body = data.partition(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        while len(body) < int(fields[b"content-length"]):
            body += await stream.receive_some()
        content = json.loads(body)
        del content["addresses"]
        call = EngineCall.from_json_dict(content)
        self.calls.append(call)
        if call.attempt > 1 and self._refuses:
            size = len(REFUSAL)
            head = f"HTTP/1.1 503 Full\r\nconnection: close\r\ncontent-length: {size}\r\n\r\n"
            await stream.send_all(head.encode() + REFUSAL)
            await stream.aclose()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wait_for_close, stream, call.attempt, nursery.cancel_scope)
            await self._send_frames(stream, call)
            nursery.cancel_scope.cancel()
        await stream.aclose()

    async def _wait_for_close(self, stream, attempt, scope):
        await stream.receive_some()
        self.closed.append(attempt)
        scope.cancel()

    async def _send_frames(self, stream, call):
        await stream.send_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")
        tokens = expected_tokens(call.prompt, call.max_tokens)
        for position in range(call.resume_from, call.max_tokens):
            if call.attempt == 1 and position == 5:
                await trio.sleep(2.0)
            is_last = position + 1 == call.max_tokens
            frame = TokenFrame(
                call.request,
                call.attempt,
                position,
                tokens[position],
                call.chain.stages,
                final=is_last,
            )
            await stream.send_all(json.dumps(frame.to_json_dict()).encode() + b"\n")
            await trio.sleep(0.005)


@pytest.mark.parametrize("refuses", [False, True])
def test_stream_passes_between_tasks(refuses, right_tokens):
    """Guards against a connection that breaks when another task than its own reads it on."""
    fleet, engines, request, attempts = Fleet(), EngineSocket(refuses), make_request(1), []

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                partial(trio.serve_tcp, engines.serve, 0, host="127.0.0.1")
            )
            port = listeners[0].socket.getsockname()[1]
            servers = fleet.catalog.servers
            client = HttpEngineClient.from_config(
                lambda name: servers[name].replace(address=f"127.0.0.1:{port}"), 8
            )
            relay = fleet.add_node(client)
            with trio.fail_after(10):
                tokens = await collect(relay, request, lambda frame: attempts.append(frame.attempt))
            assert tokens == right_tokens(request)
            assert relay.in_progress == 0
            with trio.fail_after(1):
                while not refuses and 1 not in engines.closed:
                    await trio.sleep(0.01)
            await client.close()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert attempts[-1] == (1 if refuses else 2)
    assert len(engines.calls) > 1
