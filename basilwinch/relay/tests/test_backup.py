"""Tests of a backup attempt beside a silent chain."""

import math
import random
from collections import Counter

import pytest
import trio
import trio.testing

from basilwinch.exception import (
    DEADLINE_EXCEEDED,
    RETRIES_EXHAUSTED,
    SERVER_LEAVING,
    SERVER_REFUSED,
    STREAM_LOST,
    BasilwinchError,
    FailureKind,
    ServerError,
)
from basilwinch.relay import run
from basilwinch.relay.tests.conftest import Fleet, collect, make_request
from basilwinch.standin.loop import seed_trio_scheduler
from basilwinch.suspicion import SuspectRegistry, digest_request

# Longer than any stall timeout, also than the tripled one of an empty retry budget.
PAUSE_S = 4.0


class FaultyClient:
    """Changes what the first attempt and the later ones send.

    :param client: client that runs the attempts
    :param first: async generator function that changes the frames of the first attempt
    :param later: the same for all others, or the kind of failure with which they are refused
    """

    def __init__(self, client, first, later):
        self._client = client
        self._changes = first, later
        self.calls = []
        self.open_calls = []
        self.open_at_import = []

    def open(self, call):
        self.calls.append(call)
        change = self._changes[call.attempt > 1]
        if isinstance(change, FailureKind):
            raise ServerError(change.because("refused", server=call.chain.servers[0]))
        return _ChangedStream(self, call, self._client.open(call), change)

    async def export_kv(self, server, request):
        self.open_at_import.append(len(self.open_calls))
        return await self._client.export_kv(server, request)

    async def import_kv(self, server, block):
        await self._client.import_kv(server, block)


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


FAULTS_OF_BACKUPS = {
    "refuses": SERVER_REFUSED,
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


def lose_after(position, pause_s):
    """Return a change that loses the stream after a pause at a position."""

    async def change(frames):
        async for frame in frames:
            if frame.position == position:
                await trio.sleep(pause_s)
                raise ServerError(STREAM_LOST.because("reset"))
            yield frame

    return change


def start_after(pause_s):
    """Return a change that delays the whole stream."""

    async def change(frames):
        await trio.sleep(pause_s)
        async for frame in frames:
            yield frame

    return change


def count_loads(relay, servers):
    """Return this node's requests on each server."""
    stages = [relay.router._stage_table.find_stage("m", name) for name in servers]
    return [stage.local_sequences for stage in stages]


def is_unloaded(relay, fleet):
    return not any(count_loads(relay, fleet.engines.states))


def test_backup_that_delivers_is_relayed_and_the_primary_closed(fleet, run_trio, right_tokens):
    """Guards against a chain that stays silent for long, and against a loser that runs on."""
    client = FaultyClient(fleet.client, pause_at(5), change_nothing)
    relay, request, frames, still_open = fleet.add_node(client), make_request(1), [], []

    def watch(frame):
        frames.append((frame.position, frame.attempt))
        still_open.append([call.attempt for call in client.open_calls])

    async def main():
        assert await collect(relay, request, watch) == right_tokens(request)
        assert trio.current_time() < 2.0

    run_trio(main, fleet)
    assert frames == [(number, 1 if number < 5 else 2) for number in range(request.max_tokens)]
    assert still_open[-1] == [2] and not client.open_calls
    assert not set(client.calls[0].chain.servers) & set(client.calls[1].chain.servers)
    assert client.calls[1].resume_from == 5
    assert client.open_at_import == []
    assert is_unloaded(relay, fleet)


def test_no_token_is_lost_or_repeated_whichever_chain_is_first(run_trio, right_tokens):
    """Guards against parts of two runs joined when both deliver at about the same time."""
    won = set()
    for step in range(60):
        fleet = Fleet()
        client = FaultyClient(fleet.client, pause_at(5, 0.88 + step / 2000), change_nothing)
        relay, request, attempts = fleet.add_node(client), make_request(step, tokens=20), []

        async def main(relay=relay, request=request, attempts=attempts):
            tokens = await collect(relay, request, lambda frame: attempts.append(frame.attempt))
            assert tokens == right_tokens(request)

        run_trio(main, fleet)
        assert attempts == sorted(attempts)
        assert not client.open_calls and is_unloaded(relay, fleet)
        won.add((attempts[-1], len(client.calls)))
    assert {(1, 1), (1, 2), (2, 2)} <= won


def test_refused_backup_costs_a_retry_but_no_run(fleet, run_trio, right_tokens):
    """Guards against refusals that use up the attempts with which the response is resumed."""
    client = FaultyClient(fleet.client, lose_after(5, PAUSE_S), SERVER_REFUSED)
    relay, request = fleet.add_node(client, max_attempts=2), make_request(1)
    budgets = []

    async def heal():
        await trio.sleep(PAUSE_S - 0.1)
        budgets.append(relay.budget._balance)
        client._changes = client._changes[0], change_nothing

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(heal)
            assert await collect(relay, request) == right_tokens(request)

    run_trio(main, fleet)
    refused = client.calls[1:-1]
    assert len(refused) >= 2
    assert budgets[0] < 20.0 - len(refused) + 2.0
    # The head that has refused is avoided by the next one.
    assert refused[0].chain.servers[0] != refused[1].chain.servers[0]


def test_attempts_that_may_have_run_are_limited(fleet, run_trio, right_tokens):
    """Guards against more runs than allowed while a silent chain is kept."""
    client = FaultyClient(fleet.client, pause_at(5, 30.0), lose_stream)
    relay, request = fleet.add_node(client, max_attempts=3), make_request(1)

    async def main():
        assert await collect(relay, request) == right_tokens(request)

    run_trio(main, fleet)
    assert len(client.calls) == 3


@pytest.mark.parametrize("position", [0, 5])
def test_silent_chain_stays_open_beside_mute_ones(fleet, run_trio, right_tokens, position):
    """Guards against a chain closed for silence alone, with more than one backup beside it."""
    client = FaultyClient(fleet.client, pause_at(position, 10.0), send_nothing)
    relay, request, still_open = fleet.add_node(client), make_request(1), []

    async def watch():
        while True:
            await trio.sleep(0.01)
            still_open.append([call.attempt for call in client.open_calls])

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            assert await collect(relay, request) == right_tokens(request)
            nursery.cancel_scope.cancel()

    run_trio(main, fleet)
    assert all(attempts[0] == 1 and len(attempts) <= 2 for attempts in still_open[:900])
    assert len(client.calls) <= relay.config.max_attempts


def test_backup_goes_on_alone_after_the_primary_has_failed(fleet, run_trio, right_tokens):
    """Guards against a primary whose failure ends the backup beside it."""
    client = FaultyClient(fleet.client, lose_after(5, 1.2), start_after(0.7))
    relay, request = fleet.add_node(client), make_request(1)

    async def main():
        assert await collect(relay, request) == right_tokens(request)

    run_trio(main, fleet)
    assert len(client.calls) == 2


def test_response_is_resumed_after_both_have_failed(fleet, run_trio, right_tokens):
    """Guards against a response that ends, or hangs, when both of its attempts fail."""
    client = FaultyClient(fleet.client, lose_after(5, 1.2), lose_after(5, 1.2))
    relay, request = fleet.add_node(client), make_request(1)

    async def heal():
        while len(client.calls) < 2:
            await trio.sleep(0.01)
        client._changes = client._changes[0], change_nothing

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(heal)
            assert await collect(relay, request) == right_tokens(request)

    run_trio(main, fleet)
    assert len(client.calls) == 3
    # The cache of the first chain may be read only once nothing runs there any more.
    assert not any(client.open_at_import)


def test_failure_of_all_attempts_is_a_plain_error(fleet, run_trio):
    """Guards against exception groups, and attempts beyond the limit, when everything fails."""
    client = FaultyClient(fleet.client, lose_after(5, 1.2), lose_stream)
    relay = fleet.add_node(client, max_attempts=4)

    async def main():
        with pytest.raises(BasilwinchError) as caught:
            await collect(relay, make_request(1))
        assert caught.value.failure.kind is RETRIES_EXHAUSTED

    run_trio(main, fleet)
    assert len(client.calls) == 4
    assert not client.open_calls and is_unloaded(relay, fleet) and relay.in_progress == 0


def test_leaving_server_costs_the_silent_chain_nothing(fleet, run_trio, right_tokens):
    """Guards against a response that ends as its backups meet servers that are leaving."""
    client = FaultyClient(fleet.client, pause_at(5), SERVER_LEAVING)
    relay, request = fleet.add_node(client, max_attempts=2), make_request(1)

    async def main():
        assert await collect(relay, request) == right_tokens(request)

    run_trio(main, fleet)
    assert len(client.calls) > 1


def test_both_chains_are_loaded_while_both_run(fleet, run_trio, right_tokens):
    """Guards against a backup, or a silent chain, that the router takes for free."""
    client = FaultyClient(fleet.client, pause_at(5, 1.6), start_after(0.9))
    relay, request, loads = fleet.add_node(client), make_request(1), []

    async def watch():
        while len(client.open_calls) < 2:
            await trio.sleep(0.01)
        loads.extend(count_loads(relay, call.chain.servers) for call in client.calls)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            assert await collect(relay, request) == right_tokens(request)

    run_trio(main, fleet)
    assert loads == [[1, 1], [1, 1]]
    assert is_unloaded(relay, fleet) and not relay.suspects._running


class StuckStream:
    """Never finishes closing."""

    def __init__(self, context):
        self._context = context

    async def __aenter__(self):
        return await self._context.__aenter__()

    async def __aexit__(self, *details):
        await self._context.__aexit__(*details)
        await trio.sleep_forever()


@pytest.mark.parametrize("stuck", [False, True])
def test_caller_who_leaves_ends_both_attempts(fleet, run_trio, stuck):
    """Guards against a backup or a silent chain that runs on for a caller who has left."""
    client = FaultyClient(fleet.client, pause_at(5, 30.0), send_nothing)
    relay = fleet.add_node(client)
    if stuck:
        open_stream = client.open
        client.open = lambda call: StuckStream(open_stream(call))

    async def main():
        with trio.move_on_after(1.3):
            await collect(relay, make_request(1))
        assert trio.current_time() < (2.31 if stuck else 1.31)
        assert len(client.calls) == 2 and not client.open_calls
        assert not any(state.resident for state in fleet.engines.states.values())
        assert is_unloaded(relay, fleet) and relay.in_progress == 0
        assert not relay.suspects._running and not relay.suspects._isolations

    run_trio(main, fleet)


def test_deadline_ends_both_attempts(fleet, run_trio):
    """Guards against a deadline that is missed while two chains are silent."""
    client = FaultyClient(fleet.client, pause_at(5, 30.0), send_nothing)
    relay = fleet.add_node(client)

    async def main():
        with pytest.raises(BasilwinchError) as caught:
            await collect(relay, make_request(1, deadline_s=1.2))
        assert caught.value.failure.kind is DEADLINE_EXCEEDED
        assert trio.current_time() < 1.25
        assert len(client.calls) == 2 and not client.open_calls
        assert is_unloaded(relay, fleet)

    run_trio(main, fleet)


def test_drain_waits_for_a_response_with_a_backup(fleet, run_trio, right_tokens):
    """Guards against a draining node that drops a silent chain or refuses its backup."""
    client = FaultyClient(fleet.client, pause_at(5), lose_stream)
    relay, request, done = fleet.add_node(client), make_request(1), []

    async def ask():
        done.append(await collect(relay, request))

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.2)
            await relay.drain()
            assert done == [right_tokens(request)]

    run_trio(main, fleet)
    assert len(client.calls) > 1


def test_caller_who_reads_slowly_starts_no_backup(fleet, run_trio, right_tokens):
    """Guards against a second run because the caller, not the chain, was slow."""
    client = FaultyClient(fleet.client, change_nothing, change_nothing)
    relay, request, tokens = fleet.add_node(client), make_request(1, tokens=8), []

    async def main():
        async with relay.run(request) as frames:
            async for frame in frames:
                tokens.append(frame.token)
                await trio.sleep(3.0)

    run_trio(main, fleet)
    assert tokens == right_tokens(request)
    assert len(client.calls) == 1


def test_pause_of_the_node_starts_no_backup(fleet, run_trio, right_tokens):
    """Guards against second runs of all streams after the node itself stood still."""
    client = FaultyClient(fleet.client, pause_at(5, 0.2), change_nothing)
    relay, request = fleet.add_node(client), make_request(1)

    async def stand_still():
        await trio.sleep(0.15)
        trio.lowlevel.current_clock().jump(1.3)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stand_still)
            assert await collect(relay, request) == right_tokens(request)

    run_trio(main, fleet)
    assert len(client.calls) == 1


def test_isolated_suspect_has_no_backup(fleet, run_trio, right_tokens, monkeypatch):
    """Guards against a suspect that runs on two chains at once while it is isolated."""
    client = FaultyClient(fleet.client, pause_at(0), change_nothing)
    relay, request, beside = fleet.add_node(client), make_request(1), []
    begin = SuspectRegistry.begin_attempt

    def record(self, digest, run_id, servers, isolated, now):
        beside.append((isolated, len(client.open_calls)))
        begin(self, digest, run_id, servers, isolated, now)

    monkeypatch.setattr(SuspectRegistry, "begin_attempt", record)

    async def main():
        # A request that is sent again after a strike needs isolation from its first attempt.
        digest = digest_request(request.organisation, request.model, request.prompt)
        relay.suspects.report_stall(digest, ("a0", "b0"), trio.current_time())
        assert await collect(relay, request) == right_tokens(request)

    run_trio(main, fleet)
    assert beside == [(True, 0), (True, 0)]


def test_servers_of_a_chain_that_goes_on_are_used_again(fleet, run_trio, right_tokens):
    """Guards against a model without a chain since its slow servers are taken for dead."""
    client = FaultyClient(fleet.client, pause_at(5), SERVER_REFUSED)
    relay, request = fleet.add_node(client), make_request(1)

    async def main():
        assert await collect(relay, request) == right_tokens(request)
        assert set(client.calls[0].chain.servers) <= set(relay.router.in_use("m"))

    run_trio(main, fleet)


def test_silence_of_all_chains_starts_backups_one_by_one(fleet, run_trio, right_tokens):
    """Guards against second runs of all requests when the node or its links are the cause; one in
    half a second finds out whether another chain delivers, which is as silent here."""
    client = FaultyClient(fleet.client, pause_at(5), start_after(5.0))
    relay, requests, done = fleet.add_node(client), [make_request(n) for n in range(12)], []

    async def ask(request):
        done.append(await collect(relay, request) == right_tokens(request))

    async def main():
        async with trio.open_nursery() as nursery:
            for request in requests:
                nursery.start_soon(ask, request)

    run_trio(main, fleet)
    assert done == [True] * 12
    assert len(client.calls) <= 12 + PAUSE_S / 0.5
    assert len({call.chain.servers[0] for call in client.calls}) > 1


def test_silent_server_of_all_chains_is_replaced(fleet, run_trio, right_tokens):
    """Guards against streams that wait for good as the silent server is part of all chains."""
    relay, done, heads = fleet.add_node(), [], set()
    others = ("b1", "b2", "b3")

    async def ask(number):
        request = make_request(number, tokens=400)
        tokens = await collect(relay, request, lambda frame: heads.add(frame.spans[0].server))
        done.append(tokens == right_tokens(request))

    async def main():
        for name in others:
            relay.router.mark_leaving(name, trio.current_time())
        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(ask, number)
            await trio.sleep(0.1)
            assert len(heads) > 1 and not done
            for name in others:
                relay.router.mark_live(name, trio.current_time())
            fleet.engines.kill("b0", silent=True)
        assert trio.current_time() < 6.0

    run_trio(main, fleet)
    assert done == [True] * 6


class RandomClient:
    """Gives each attempt a random fault, and pauses of up to two stall timeouts.

    :param client: client that runs the attempts
    :param rng: source of randomness
    """

    def __init__(self, client, rng):
        self._client = client
        self._rng = rng
        self.runs = Counter()
        self.calls = []
        self.open_calls = []

    def open(self, call):
        faults = (change_nothing, lose_stream, end_early, skip_token, send_nothing, SERVER_REFUSED)
        weights = (12, 1, 1, 1, 2, 3)
        position, pause_s = self._rng.randrange(40), self._rng.uniform(0.0, 2.0)
        pauses = (pause_at(position, pause_s), lose_after(position, pause_s), start_after(pause_s))
        change = self._rng.choices(faults + pauses, weights + (8, 4, 2))[0]
        if change is not SERVER_REFUSED:
            self.runs[call.request] += 1
        single = FaultyClient(self._client, change, change)
        single.calls, single.open_calls = self.calls, self.open_calls
        return single.open(call)


@pytest.mark.parametrize("seed", range(10))
def test_random_faults_leave_responses_and_counts_right(run_trio, right_tokens, seed):
    """Guards against wrong tokens, attempts beyond the limit, and attempts that are never ended."""
    rng, fleet, outcomes = random.Random(seed), Fleet(), []
    client = RandomClient(fleet.client, rng)
    relay = fleet.add_node(client, max_attempts=4, chain_wait_s=3.0)

    async def ask(number):
        request = make_request(number, f"prompt {number}", deadline_s=rng.choice((30.0, 4.0)))
        received, expected = [], right_tokens(request)
        with trio.move_on_after(rng.choice((math.inf, 1.5))) as scope:
            try:
                await collect(relay, request, lambda frame: received.append(frame.token))
                outcomes.append("whole")
            except BasilwinchError as error:
                outcomes.append(error.failure.code)
        if scope.cancelled_caught:
            outcomes.append("left")
        assert received == expected[: len(received)]
        assert outcomes[-1] != "whole" or received == expected

    async def main():
        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(ask, number)
                await trio.sleep(rng.uniform(0.0, 0.3))

    run_trio(main, fleet)
    assert len(outcomes) == 30 and outcomes.count("whole") >= 10
    assert max(client.runs.values()) <= relay.config.max_attempts
    assert not client.open_calls and not relay.attempts and relay.in_progress == 0
    assert is_unloaded(relay, fleet)
    assert not relay.suspects._running and not relay.suspects._isolations
    assert relay.activity.count_silent(0.0, 0.0) == (0, 0)
    assert not any(state.resident for state in fleet.engines.states.values())


@pytest.mark.parametrize("seed", range(6))
def test_backup_that_is_late_does_not_begin(fleet, run_trio, right_tokens, monkeypatch, seed):
    """Guards against a backup that replaces one which has delivered at the same moment."""
    seed_trio_scheduler(seed)
    client = FaultyClient(fleet.client, pause_at(5), start_after(1.5))
    relay, request, posted = fleet.add_node(client), make_request(1), trio.Event()
    post = run.Run._post

    def post_and_wake(self, *details):
        post(self, *details)
        posted.set()

    async def wait_for_post(*details):
        if len(client.calls) == 2:
            await posted.wait()
        return False

    monkeypatch.setattr(run.Run, "_post", post_and_wake)
    monkeypatch.setattr(run, "await_isolation", wait_for_post)

    async def main():
        assert await collect(relay, request) == right_tokens(request)

    run_trio(main, fleet)
    assert len(client.calls) == 2
