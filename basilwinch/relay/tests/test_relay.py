"""Tests of attempts, resume, stalls, retries and drain."""

import pytest
import trio
import trio.testing

from basilwinch.exception import (
    DEADLINE_EXCEEDED,
    DRAINING,
    NO_CHAIN,
    RETRIES_EXHAUSTED,
    SERVER_REFUSED,
    BasilwinchError,
    ServerError,
)
from basilwinch.relay.tests.conftest import collect, make_request


def test_responses_stay_whole_when_stages_die(fleet, run_trio, right_tokens):
    """Guards against tokens lost, repeated or mixed between attempts after a stage death."""
    relay, wrong, gaps = fleet.add_node(), [], []

    async def ask(number):
        request = make_request(number, f"prompt {number}", 60)
        times = []
        tokens = await collect(relay, request, lambda frame: times.append(trio.current_time()))
        if tokens != right_tokens(request):
            wrong.append(number)
        gaps.append(max(b - a for a, b in zip(times, times[1:], strict=False)))

    async def main():
        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(ask, number)
            await trio.sleep(0.05)
            fleet.engines.kill("a0")
            await trio.sleep(0.05)
            fleet.engines.kill("b1")

    run_trio(main, fleet)
    assert not wrong
    assert len(gaps) == 20 and max(gaps) < 1.0
    assert relay.in_progress == 0


def test_silent_stage_is_detected_within_a_second(fleet, run_trio, right_tokens):
    """Guards against a stream that waits without limit for a stage that stopped silently."""
    relay, times = fleet.add_node(), []
    request = make_request(1, tokens=200)

    def stop(frame):
        times.append(trio.current_time())
        if frame.position == 30:
            for name in ("a0", "a1", "a2", "b0", "b1", "b2"):
                fleet.engines.kill(name, silent=True)

    async def main():
        assert await collect(relay, request, stop) == right_tokens(request)

    run_trio(main, fleet)
    # The request meets at most three silent chains, and each costs at most a second.
    assert max(b - a for a, b in zip(times, times[1:], strict=False)) < 4.0


def test_cancelled_caller_frees_the_slot_at_once(fleet, run_trio):
    """Guards against engines that continue to generate for disconnected callers."""
    relay = fleet.add_node()

    async def main():
        with trio.move_on_after(0.1):
            await collect(relay, make_request(1, tokens=10_000))
        assert not any(state.resident for state in fleet.engines.states.values())
        assert relay.in_progress == 0

    run_trio(main, fleet)


def test_deadline_ends_the_response(fleet, run_trio):
    """Guards against responses that continue past their deadline."""
    relay = fleet.add_node()

    async def main():
        for state in fleet.engines.states.values():
            state.slowdown = 1000.0
        with pytest.raises(BasilwinchError) as caught:
            await collect(relay, make_request(1, tokens=50, deadline_s=0.5))
        assert caught.value.failure.kind is DEADLINE_EXCEEDED
        assert trio.current_time() < 0.6

    run_trio(main, fleet)


def test_drain_finishes_streams_and_refuses_new_ones(fleet, run_trio, right_tokens):
    """Guards against a draining node that interrupts streams or accepts new requests."""
    relay, request = fleet.add_node(), make_request(1)
    done = []

    async def ask():
        done.append(await collect(relay, request))

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.01)
            nursery.start_soon(relay.drain)
            await trio.sleep(0.001)
            with pytest.raises(BasilwinchError) as caught:
                await collect(relay, make_request(2))
            assert caught.value.failure.kind is DRAINING
        assert done == [right_tokens(request)]

    run_trio(main, fleet)


def test_leaving_servers_cost_no_retry(fleet, run_trio, right_tokens):
    """Guards against failed requests during a rolling replacement."""
    relay = fleet.add_node(retry_reserve=0.0, retry_ratio=0.0)

    async def main():
        for name in ("a0", "a1", "a2", "b0", "b1"):
            fleet.engines.mark_leaving(name)
        for number in range(10):
            request = make_request(number)
            assert await collect(relay, request) == right_tokens(request)

    run_trio(main, fleet)


class RefusingClient:
    """Refuses every call."""

    def __init__(self):
        self.calls = 0

    def open(self, call):
        self.calls += 1
        raise ServerError(SERVER_REFUSED.because("full"))


def test_retries_of_the_fleet_stay_below_the_budget(fleet, run_trio):
    """Guards against retries that multiply the load of an overloaded fleet."""
    client, requests = RefusingClient(), 300
    relay = fleet.add_node(client, retry_reserve=5.0, retry_ratio=0.2, chain_wait_s=0.0)

    async def main():
        for number in range(requests):
            with pytest.raises(BasilwinchError) as caught:
                await collect(relay, make_request(number))
            assert caught.value.failure.kind in (RETRIES_EXHAUSTED, NO_CHAIN)

    run_trio(main, fleet)
    assert client.calls - requests <= 0.2 * requests + 5.0 + 1.0


class ExtraFrameClient:
    """Adds frames of another request or attempt, and repeated ones, to each stream."""

    def __init__(self, client):
        self._client = client

    def open(self, call):
        return _ExtraFrames(self._client.open(call))


class _ExtraFrames:
    def __init__(self, context):
        self._context = context

    async def __aenter__(self):
        return _add_frames(await self._context.__aenter__())

    async def __aexit__(self, *details):
        return await self._context.__aexit__(*details)


async def _add_frames(frames):
    async for frame in frames:
        yield frame.replace(request="other", token=1)
        yield frame.replace(attempt=frame.attempt + 1, token=2)
        yield frame
        yield frame.replace(token=3)


def test_foreign_and_repeated_frames_are_dropped(fleet, run_trio, right_tokens):
    """Guards against frames of another request or attempt, and repeated ones, reaching a caller."""
    relay, request = fleet.add_node(ExtraFrameClient(fleet.client)), make_request(1)

    async def main():
        assert await collect(relay, request) == right_tokens(request)

    run_trio(main, fleet)
