"""Tests of what the detection of stalled chains measures."""

from types import SimpleNamespace

import pytest
import trio
import trio.testing

from basilwinch.exception import SERVER_UNREACHABLE
from basilwinch.failover import ChainActivity
from basilwinch.forward.scheduling import SchedulingDelay
from basilwinch.forward.stall import StallDetector


@pytest.fixture
def total_s():
    """Return the list of the node's delays in seconds."""
    return []


@pytest.fixture
def clock():
    return trio.testing.MockClock(autojump_threshold=0)


@pytest.fixture
def make_detector(total_s, clock):
    """Return a function that makes the detector of a chain whose head does not answer.

    The function takes for how long the node stands still while it probes the members, and the
    member that the probe finds dead.
    """

    def make(probe_pause_s=0.0, dead=None):
        async def find_dead(members):
            clock.jump(probe_pause_s)
            await trio.lowlevel.checkpoint()
            return dead

        async def fetch(head):
            await trio.lowlevel.checkpoint()
            return SERVER_UNREACHABLE.because("no answer")

        components = SimpleNamespace(
            view=SimpleNamespace(servers={}),
            member_probe=SimpleNamespace(find_dead=find_dead),
            server_reports=SimpleNamespace(fetch=fetch),
            scheduling_delay=SchedulingDelay(total_s.append),
            activity=ChainActivity(),
            last_backup_at=float("-inf"),
        )
        path = SimpleNamespace(members=[], pass_ms=20.0, prefill_ms=0.0)
        head = SimpleNamespace(id="a", host="h", port=1)
        return StallDetector(path, components, None, head)

    return make


def test_time_for_which_the_node_was_held_up_in_a_silence_is_measured(
    make_detector, total_s, clock
):
    """Guards against a pause of the node that looks like the silence of a chain."""

    async def receive():
        await trio.sleep(0.05)
        clock.jump(0.7)
        await trio.sleep_forever()

    async def test():
        stall = await make_detector().wait(receive)
        # Two waits, of 0.08 s and 0.12 s, ended after 0.75 s each.
        assert stall.silence.held_up_s == pytest.approx(0.67 + 0.63)
        assert stall.silence.silent_s == pytest.approx(1.5)
        assert sum(total_s) == pytest.approx(0.67 + 0.63)

    trio.run(test, clock=clock)


def test_silence_of_a_chain_alone_is_no_delay_of_the_node(make_detector, total_s, clock):
    """Guards against a silent chain that looks like a pause of the node."""

    async def test():
        stall = await make_detector().wait(trio.sleep_forever)
        assert stall.silence.held_up_s == sum(total_s) == 0.0

    trio.run(test, clock=clock)


def test_each_silence_is_measured_for_itself(make_detector, total_s, clock):
    """Guards against the delays of earlier silences of a stream in its last one."""
    calls = []

    async def receive():
        calls.append(trio.current_time())
        if len(calls) == 1:
            clock.jump(0.5)
            await trio.sleep_forever()
        return b"data"

    async def test():
        detector = make_detector()
        assert await detector.wait(receive) == b"data"
        assert sum(total_s) == pytest.approx(0.42)
        stall = await detector.wait(trio.sleep_forever)
        assert stall.silence.held_up_s == 0.0

    trio.run(test, clock=clock)


def test_result_of_a_probe_in_which_the_node_stood_still_is_dropped(make_detector, total_s, clock):
    """Guards against a member that is taken for dead because the node was held up."""
    dead = SimpleNamespace(id="b", host="m", port=2)

    async def test():
        assert (await make_detector(0.1, dead).wait(trio.sleep_forever)).faulty_address == "m:2"
        assert not total_s
        assert (await make_detector(1.2, dead).wait(trio.sleep_forever)).faulty_address == "h:1"
        assert sum(total_s) == pytest.approx(1.0)

    trio.run(test, clock=clock)


def test_chain_that_has_just_delivered_is_no_silent_chain(make_detector, clock):
    """Guards against a log that shows all chains as silent whenever an attempt fails without a
    silence."""
    detector = make_detector()
    activity = detector._components.activity

    async def main():
        for head in ("a", "b"):
            activity.begin(head)
            activity.record(head, trio.current_time())
        clock.jump(1.0)
        activity.record("b", trio.current_time())
        silence = detector.describe_silence()
        assert (silence.silent_chains, silence.chains) == (1, 2)

    trio.run(main, clock=clock)
