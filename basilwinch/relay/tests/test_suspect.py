"""Tests of crash attribution."""

import trio

from basilwinch.exception import REQUEST_QUARANTINED, BasilwinchError
from basilwinch.relay.tests.conftest import Fleet, collect, make_request
from basilwinch.standin import CRASH_MARK

CRASHING = f"please {CRASH_MARK} now"


async def send_repeatedly(fleet, times, pause_s, refused):
    """Send the crashing request again and again, through another node and with a new id."""
    for number in range(times):
        relay = fleet.relays[number % len(fleet.relays)]
        try:
            await collect(relay, make_request(f"crash{number}", CRASHING))
        except BasilwinchError as error:
            refused.append(error.failure)
        await trio.sleep(pause_s)


def run_with_bystanders(fleet, run_trio, right_tokens, times, pause_s, crowd=12):
    wrong, refused = [], []

    async def ask(number):
        relay = fleet.relays[number % len(fleet.relays)]
        request = make_request(number, f"innocent {number}", 150)
        try:
            if await collect(relay, request) != right_tokens(request):
                wrong.append(number)
        except BasilwinchError as error:
            wrong.append((number, error.failure))

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.exchange)
            async with trio.open_nursery() as callers:
                for number in range(crowd):
                    callers.start_soon(ask, number)
                await trio.sleep(0.05)
                callers.start_soon(send_repeatedly, fleet, times, pause_s, refused)
            nursery.cancel_scope.cancel()

    run_trio(main, fleet)
    return wrong, refused


def test_crashing_request_costs_three_servers_at_most(run_trio, right_tokens):
    """Guards against a request that takes the fleet down when its caller sends it again."""
    fleet = Fleet(width=8)
    for _ in range(3):
        fleet.add_node()
    wrong, refused = run_with_bystanders(fleet, run_trio, right_tokens, 12, 0.3)
    assert len(fleet.engines.states) - fleet.count_alive() <= 3
    assert not wrong
    assert {failure.kind for failure in refused} == {REQUEST_QUARANTINED}
    assert len(refused) == 12


def test_copies_through_two_nodes_at_once_cost_three_servers_at_most(run_trio):
    """Guards against two nodes that try the same suspect at the same time."""
    fleet = Fleet(width=8)
    for _ in range(2):
        fleet.add_node()

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.exchange)
            async with trio.open_nursery() as callers:
                for _ in range(2):
                    callers.start_soon(send_repeatedly, fleet, 4, 0.1, [])
            nursery.cancel_scope.cancel()

    run_trio(main, fleet)
    assert len(fleet.engines.states) - fleet.count_alive() <= 3


def test_ended_isolated_run_does_not_come_back_over_a_third_node(fleet):
    """Guards against suspects that wait 10 s for an isolated run that has ended."""
    tester, other = (fleet.add_node().suspects for _ in range(2))
    evidence = tester._record("digest", 0.0)
    evidence.begin_test("n0", 10.0)
    other.absorb_bytes(tester.export(0.0), 0.0)
    late = other.export(0.0)
    evidence.end_test("n0")
    other.absorb_bytes(tester.export(0.1), 0.1)
    for registry in (tester, other):
        registry.absorb_bytes(late, 0.1)
        assert registry._records["digest"].tester(0.1) == ""


def test_lost_zone_convicts_nobody(run_trio, right_tokens):
    """Guards against a zone loss that sends all requests into isolation or gets them refused."""
    fleet = Fleet(width=12)
    for _ in range(2):
        fleet.add_node()
    wrong, longest = [], []

    async def ask(number):
        relay = fleet.relays[number % 2]
        request = make_request(number, f"innocent {number}", 150)
        times = [trio.current_time()]
        tokens = await collect(relay, request, lambda frame: times.append(trio.current_time()))
        if tokens != right_tokens(request):
            wrong.append(number)
        longest.append(max(b - a for a, b in zip(times, times[1:], strict=False)))

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.exchange)
            async with trio.open_nursery() as callers:
                for number in range(40):
                    callers.start_soon(ask, number)
                await trio.sleep(0.05)
                for number in range(4):
                    fleet.engines.kill(f"a{number}")
                    fleet.engines.kill(f"b{number}")
            nursery.cancel_scope.cancel()

    run_trio(main, fleet)
    assert not wrong
    assert max(longest) < 5.0
    assert not any(
        evidence.is_convicted()
        for relay in fleet.relays
        for evidence in relay.suspects._records.values()
    )
