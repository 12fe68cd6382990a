"""Tests of the fair queue, of deadlines and of the asynchronous admission context."""

import heapq
import random

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from basilwinch.admission import Admission, AdmissionConfig, AdmitRequest
from basilwinch.admission.queue import FairQueue, QueueEntry
from basilwinch.catalog import Organisation
from basilwinch.exception import DEADLINE_UNREACHABLE, QUEUE_FULL
from basilwinch.observability import DecisionLog


def admission(slots, *rules, **config):
    made = Admission.from_config(AdmissionConfig(**config), DecisionLog.for_benchmark())
    made.update({rule.name: rule for rule in rules}, 1, 0.0)
    made._slots["m"] = slots
    return made


def in_virtual_time(function):
    trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))


def simulate(made, load, seconds, service_s, deadline_s=None, seed=1):
    """Serve Poisson arrivals ``{organisation: rate}`` of 10 tokens each.

    :returns: dict of responses in time by organisation, number of refused requests
    """
    rng = random.Random(seed)
    events, number = [], 0
    for name, rate in load.items():
        heapq.heappush(events, (rng.expovariate(rate), number, "arrive", name, None))
        number += 1
    served, refused = dict.fromkeys(load, 0), 0

    def start(entries, now):
        nonlocal number
        for entry in entries:
            if entry.state == "running":
                number += 1
                heapq.heappush(events, (now + service_s, number, "end", entry.organisation, entry))

    while events:
        now, _, what, name, entry = heapq.heappop(events)
        if now > seconds:
            break
        request = AdmitRequest("r", name, "m", 10, deadline_s)
        if what == "end":
            served[name] += entry.deadline is None or now <= entry.deadline
            start(made.finish(request, entry, 10, now), now)
            continue
        number += 1
        heapq.heappush(events, (now + rng.expovariate(load[name]), number, "arrive", name, None))
        entry = made.offer(request, now)
        refused += not entry
        if entry:
            start([entry], now)
    return served, refused


def test_a_flooding_organisation_leaves_others_their_share():
    """Guards against a flood that takes the slots of organisations within their share."""
    made = admission(10, Organisation("a", ""), Organisation("b", ""), Organisation("c", ""))
    served, _ = simulate(made, {"a": 300.0, "b": 30.0, "c": 30.0}, 60, 0.1)
    assert served["b"] >= 0.95 * 30 * 60 and served["c"] >= 0.95 * 30 * 60
    assert sum(served.values()) >= 0.97 * 100 * 60


def test_slots_are_divided_by_share_when_all_want_more():
    """Guards against shares that have no effect under load."""
    made = admission(10, Organisation("a", "", share=3.0), Organisation("b", "", share=1.0))
    served, _ = simulate(made, {"a": 200.0, "b": 200.0}, 60, 0.1)
    assert served["a"] == pytest.approx(3 * served["b"], rel=0.05)


def test_goodput_does_not_fall_past_saturation():
    """Guards against work on requests whose deadline has passed."""
    rates = {}
    for load in (0.95, 2.0, 5.0):
        made = admission(10, Organisation("a", ""), Organisation("b", ""))
        served, _ = simulate(made, {"a": 50 * load, "b": 50 * load}, 60, 0.1, deadline_s=0.5)
        rates[load] = sum(served.values()) / 60
    assert rates[2.0] >= 0.95 * rates[0.95] and rates[5.0] >= 0.95 * rates[0.95]


def test_a_request_is_refused_early_with_the_time_to_retry():
    """Guards against accepting a request that cannot be answered in time."""
    queue = FairQueue(1, 100, 100)
    first = QueueEntry("a", 1.0, 0, 10, None)
    queue.offer(first, 0.0)
    queue.release(first, 10, 1.0)
    for _ in range(5):
        assert queue.offer(QueueEntry("a", 1.0, 0, 10, None), 1.0) is None
    failure = queue.offer(QueueEntry("a", 1.0, 0, 10, 3.0), 1.0)
    assert failure.kind is DEADLINE_UNREACHABLE and failure.retry_after >= 2.0
    assert queue.offer(QueueEntry("a", 1.0, 0, 10, 10.0), 1.0) is None


def test_queues_are_bounded_for_each_organisation():
    """Guards against one organisation that fills the queue of all."""
    queue = FairQueue(1, 2, 10)
    for _ in range(3):
        assert queue.offer(QueueEntry("a", 1.0, 0, 1, None), 0.0) is None
    assert queue.offer(QueueEntry("a", 1.0, 0, 1, None), 0.0).kind is QUEUE_FULL
    assert queue.offer(QueueEntry("b", 1.0, 0, 1, None), 0.0) is None


def test_a_vanished_caller_frees_its_place_and_its_slot_at_once():
    """Guards against slots that stay taken after a caller disconnected."""

    async def scenario():
        made = admission(1, Organisation("a", ""))
        started = []

        async def call(name, scope, seconds):
            with scope:
                async with made.enter(AdmitRequest(name, "a", "m")) as ticket:
                    assert ticket
                    started.append((name, trio.current_time()))
                    await trio.sleep(seconds)

        scopes = [trio.CancelScope() for _ in range(3)]
        async with trio.open_nursery() as nursery:
            for index, scope in enumerate(scopes):
                nursery.start_soon(call, f"r{index}", scope, 100.0)
                await trio.sleep(0.1)
            scopes[1].cancel()
            await trio.sleep(0.7)
            scopes[0].cancel()
        queue = made._queues["m"]
        assert (queue.running, queue.queued) == (0, 0)
        assert [name for name, _ in started] == ["r0", "r2"]
        assert started[1][1] - started[0][1] == pytest.approx(1.0, abs=0.01)

    in_virtual_time(scenario)


def test_a_queued_request_is_told_when_its_deadline_passes():
    """Guards against a caller that waits beyond its deadline because no slot becomes free."""

    async def scenario():
        made = admission(1, Organisation("a", ""))
        async with made.enter(AdmitRequest("r0", "a", "m")) as ticket:
            assert ticket
            before = trio.current_time()
            async with made.enter(AdmitRequest("r1", "a", "m", 1, 2.0)) as refused:
                assert refused.kind is DEADLINE_UNREACHABLE
                assert trio.current_time() - before == pytest.approx(2.0, abs=0.01)
            made.set_capacity("m", 2)
            async with made.enter(AdmitRequest("r2", "a", "m")) as other:
                assert other

    in_virtual_time(scenario)


steps = st.lists(
    st.tuples(
        st.sampled_from(["offer", "release", "cancel"]), st.integers(0, 5), st.integers(1, 9)
    ),
    max_size=80,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(steps, st.integers(1, 3))
def test_counts_match_the_requests_in_any_order_of_events(events, slots):
    """Guards against slots that are lost or granted twice."""
    queue, entries = FairQueue(slots, 4, 12), []
    for now, (what, number, tokens) in enumerate(events):
        if what == "offer":
            entry = QueueEntry(f"o{number}", 1.0 + number, number % 2, tokens, None)
            if queue.offer(entry, now) is None:
                entries.append(entry)
        elif entries:
            entry = entries[number % len(entries)]
            if what == "cancel":
                queue.cancel(entry)
            elif entry.state == "running":
                queue.release(entry, tokens, now)
        states = [entry.state for entry in entries]
        assert queue.running == states.count("running") <= slots
        assert queue.queued == states.count("queued") <= 12
        assert queue.running == slots or not queue.queued
    for entry in entries:
        queue.cancel(entry)
        queue.release(entry, 1, 1000.0) if entry.state == "running" else None
    assert (queue.running, queue.queued, queue._queued_tokens) == (0, 0, 0)
