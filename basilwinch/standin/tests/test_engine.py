"""Tests of the simulated engines."""

import pytest
import trio
import trio.testing

from basilwinch.catalog import Server
from basilwinch.exception import (
    FENCED,
    SERVER_LEAVING,
    SERVER_REFUSED,
    SERVER_UNREACHABLE,
    STAGE_DIED,
    ServerError,
)
from basilwinch.pipeline import Chain, FrameChecker, Placement, Stage
from basilwinch.server import EngineCall, OrderKind, ServerOrder
from basilwinch.standin import CRASH_MARK, DirectClient, StandinEngines, expected_tokens

STAGES = (Stage("a", 0, 4), Stage("b", 4, 8))
CHAIN = Chain("m", STAGES)


def server(name, **fields):
    return Server(name, "10.0.0.1:80", "z1", "r1", "k", 2, 0, "s", tokens_per_s=8000.0, **fields)


def run_with_engines(check):
    """Run ``check(engines, client)`` on a virtual clock."""

    async def main():
        engines = StandinEngines([server("a"), server("b"), server("c", checks_fencing=False)])
        engines.place([Placement("m", "", (*STAGES, Stage("c", 4, 8)))])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(engines.run)
            with trio.fail_after(100):
                await check(engines, DirectClient(engines, zone="z1"))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def call(request="r1", **fields):
    return EngineCall(
        **(
            {"request": request, "attempt": 1, "chain": CHAIN, "prompt": "hello " * 40}
            | {"max_tokens": 20}
            | fields
        )
    )


async def collect(client, engine_call, frames=None):
    frames = [] if frames is None else frames
    checker = FrameChecker(
        engine_call.request, engine_call.attempt, engine_call.chain, engine_call.resume_from
    )
    async with client.open(engine_call) as stream:
        async for frame in stream:
            assert checker.check(frame) is None
            frames.append(frame)
    return frames


async def failure_of(client, engine_call, frames=None):
    with pytest.raises(ServerError) as caught:
        await collect(client, engine_call, frames)
    return caught.value.failure


def test_streams_get_their_own_tokens_and_load():
    """Guards against sequences that get tokens of others, and streams without load reports."""

    async def check(engines, client):
        found = {}

        async def one(number):
            found[number] = await collect(client, call(f"r{number}", prompt=f"p{number}" * 99))

        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(one, number)
        for number, frames in found.items():
            assert [frame.token for frame in frames] == expected_tokens(f"p{number}" * 99, 20)
        reports = [report for frames in found.values() for f in frames for report in f.load]
        assert {report.server for report in reports} == {"a", "b"}
        assert not engines.states["a"].resident
        assert engines.states["a"].steps < 40 * 20 / 4

    run_with_engines(check)


def test_resumed_stream_continues_the_same_response():
    """Guards against a resume that repeats or changes tokens."""

    async def check(engines, client):
        frames = []
        with trio.move_on_after(0.2):
            async with client.open(call()) as stream:
                async for frame in stream:
                    frames.append(frame.token)
                    if len(frames) == 7:
                        break
        block = await client.export_kv(server("a"), "r1")
        await client.import_kv(server("a"), block)
        before = engines.prefill_tokens
        rest = await collect(client, call(attempt=2, resume_from=7, tokens=tuple(frames)))
        assert frames + [frame.token for frame in rest] == expected_tokens("hello " * 40, 20)
        assert engines.prefill_tokens - before < 2 * 67
        wrong = await collect(client, call(attempt=3, resume_from=1, tokens=(0,)))
        assert [frame.token for frame in wrong] != expected_tokens("hello " * 40, 19, 1)

    run_with_engines(check)


def test_dead_stage_breaks_its_streams_only():
    """Guards against streams that hang after a server dies, or fail although their servers live."""

    async def check(engines, client):
        chain = Chain("m", (STAGES[0], Stage("c", 4, 8)))
        async with trio.open_nursery() as nursery:

            async def other():
                assert len(await collect(client, call("r2", chain=chain))) == 20

            nursery.start_soon(other)

            async def kill():
                await trio.sleep(0.05)
                engines.kill("b")

            nursery.start_soon(kill)
            frames = []
            failure = await failure_of(client, call(max_tokens=500), frames)
            assert failure.kind is STAGE_DIED and failure.detail["server"] == "b" and frames
        assert (await failure_of(client, call())).kind is STAGE_DIED
        engines.revive("b")
        assert len(await collect(client, call())) == 20
        engines.kill("a")
        assert (await failure_of(client, call())).kind is SERVER_UNREACHABLE

    run_with_engines(check)


def test_leaving_server_finishes_its_streams():
    """Guards against draining that interrupts requests in progress."""

    async def check(engines, client):
        async with client.open(call()) as stream:
            frames = [await anext(stream)]
            engines.mark_leaving("b")
            assert (await failure_of(client, call("r2"))).kind is SERVER_LEAVING
            frames += [frame async for frame in stream]
        assert len(frames) == 20

    run_with_engines(check)


def test_crashing_prompt_kills_the_server_that_runs_it():
    """Guards against a simulation in which crashing requests do no harm."""

    async def check(engines, client):
        failure = await failure_of(client, call(prompt=CRASH_MARK))
        assert failure.kind is STAGE_DIED and not engines.states["a"].alive
        assert engines.states["b"].alive

    run_with_engines(check)


def test_fencing_and_layers():
    """Guards against stale orders on a server that checks fencing, and calls to unloaded layers."""

    async def check(engines, client):
        order = ServerOrder(OrderKind.UNLOAD, 5, "m", "", "", 4, 8)
        for name in ("b", "c"):
            await client.order(server(name), order)
        assert (await failure_of(client, call())).kind is SERVER_REFUSED
        load = order.replace(kind=OrderKind.LOAD, fence=4)
        with pytest.raises(ServerError) as caught:
            await client.order(server("b"), load)
        assert caught.value.failure.kind is FENCED
        reply = await client.order(server("c"), load)
        assert reply.holds == (("m", "", 4, 8),)
        assert len(engines.order_log) == 3

    run_with_engines(check)


def test_slow_stage_and_degraded_link_slow_the_stream_down():
    """Guards against injected faults without effect."""

    async def check(engines, client):
        async def duration():
            start = trio.current_time()
            await collect(client, call())
            return trio.current_time() - start

        normal = await duration()
        engines.slow("b", 5)
        assert await duration() > 2 * normal
        engines.slow("b", 1)
        engines.degrade(("b", "a"), 2000)
        assert await duration() > 2 * normal

    run_with_engines(check)
