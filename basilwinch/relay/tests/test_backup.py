"""Tests of a backup attempt beside a silent chain."""

import pytest
import trio
import trio.testing

from basilwinch.exception import SERVER_REFUSED, STREAM_LOST, ServerError
from basilwinch.relay.tests.conftest import Fleet, collect, make_request

# Longer than any stall timeout, also than the tripled one of an empty retry budget.
PAUSE_S = 4.0


class FaultyClient:
    """Changes what the first attempt and the later ones send.

    :param client: client that runs the attempts
    :param first: async generator function that changes the frames of the first attempt
    :param later: the same for all others, or an error raised by their ``open``
    """

    def __init__(self, client, first, later):
        self._client = client
        self._changes = first, later
        self.calls = []
        self.open_calls = []

    def open(self, call):
        self.calls.append(call)
        change = self._changes[call.attempt > 1]
        if isinstance(change, Exception):
            raise change
        return _ChangedStream(self, call, self._client.open(call), change)


class _ChangedStream:
    def __init__(self, client, call, context, change):
        self._client = client
        self._call = call
        self._context = context
        self._change = change

    async def __aenter__(self):
        frames = await self._context.__aenter__()
        self._client.open_calls.append(self._call)
        return self._change(frames)

    async def __aexit__(self, *details):
        self._client.open_calls.remove(self._call)
        return await self._context.__aexit__(*details)


def pause_at(position, pause_s=PAUSE_S):
    """Return a change that waits before the frame at a position."""

    async def change(frames):
        async for frame in frames:
            if frame.position == position:
                await trio.sleep(pause_s)
            yield frame

    return change


async def send_nothing(frames):
    await trio.sleep_forever()
    yield


async def lose_stream(frames):
    raise ServerError(STREAM_LOST.because("reset"))
    yield


async def end_early(frames):
    return
    yield


async def skip_token(frames):
    async for frame in frames:
        yield frame.replace(position=frame.position + 1)


async def change_nothing(frames):
    async for frame in frames:
        yield frame


REFUSAL = ServerError(SERVER_REFUSED.because("full"))
FAULTS_OF_BACKUPS = {
    "refuses": REFUSAL,
    "is_reset": lose_stream,
    "ends_early": end_early,
    "skips_a_token": skip_token,
    "is_mute": send_nothing,
}


@pytest.mark.parametrize("position", [0, 5])
@pytest.mark.parametrize("fault", FAULTS_OF_BACKUPS)
def test_silent_chain_that_goes_on_is_kept_while_others_fail(
    fleet, run_trio, right_tokens, fault, position
):
    """Guards against a lost response whose chain was closed before another had delivered."""
    client = FaultyClient(fleet.client, pause_at(position), FAULTS_OF_BACKUPS[fault])
    relay, request = fleet.add_node(client), make_request(1)

    async def main():
        assert await collect(relay, request) == right_tokens(request)

    run_trio(main, fleet)
    assert len(client.calls) > 1


def test_silent_chain_is_kept_without_another_chain(run_trio, right_tokens):
    """Guards against a lost response if no other chain is found while its own is silent."""
    fleet = Fleet(servers_per_range=1)
    client = FaultyClient(fleet.client, pause_at(5), change_nothing)
    relay, request = fleet.add_node(client, chain_wait_s=0.5), make_request(1)

    async def main():
        assert await collect(relay, request) == right_tokens(request)

    run_trio(main, fleet)
    assert len(client.calls) == 1


def test_silent_chain_is_kept_without_a_retry(fleet, run_trio, right_tokens):
    """Guards against a lost response if the retry budget is empty while its chain is silent."""
    client = FaultyClient(fleet.client, pause_at(5), change_nothing)
    relay = fleet.add_node(client, retry_reserve=0.0, retry_ratio=0.0, chain_wait_s=0.5)
    request = make_request(1)

    async def main():
        assert await collect(relay, request) == right_tokens(request)

    run_trio(main, fleet)
    assert len(client.calls) == 1
