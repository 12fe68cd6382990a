"""Tests of crash attribution."""

import trio

from basilwinch.exception import REQUEST_QUARANTINED, BasilwinchError
from basilwinch.relay.tests.conftest import Fleet, collect, make_request
from basilwinch.standin import CRASH_MARK

CRASHING = f"please {CRASH_MARK} now"


async def send_repeatedly(fleet, times, pause_s, refused):
    """Send the crashing request several times, each with a new id and through the next node."""
    for number in range(times):
        relay = fleet.relays[number % len(fleet.relays)]
        try:
            await collect(relay, make_request(f"crash{number}", CRASHING))
        except BasilwinchError as error:
            refused.append(error.failure)
        await trio.sleep(pause_s)


def run_with_bystanders(fleet, run_trio, right_tokens, times, pause_s, bystanders=12):
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
                for number in range(bystanders):
                    callers.start_soon(ask, number)
                await trio.sleep(0.05)
                callers.start_soon(send_repeatedly, fleet, times, pause_s, refused)
            nursery.cancel_scope.cancel()

    run_trio(main, fleet)
    return wrong, refused


def test_crashing_request_costs_three_servers_at_most(run_trio, right_tokens):
    """Guards against a request that crashes the whole fleet when its caller sends it again."""
    fleet = Fleet(servers_per_range=8)
    for _ in range(3):
        fleet.add_node()
    wrong, refused = run_with_bystanders(fleet, run_trio, right_tokens, 12, 0.3)
    assert len(fleet.engines.states) - fleet.count_alive() <= 3
    assert not wrong
    assert {failure.kind for failure in refused} == {REQUEST_QUARANTINED}
    assert len(refused) == 12


def test_copies_through_two_nodes_at_once_cost_three_servers_at_most(run_trio):
    """Guards against two nodes that run the same suspect in isolation at the same time."""
    fleet = Fleet(servers_per_range=8)
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


def test_ended_isolation_does_not_come_back_over_a_third_node(fleet):
    """Guards against suspects that wait 10 s for an isolation that has already ended."""
    isolating, other = (fleet.add_node().suspects for _ in range(2))
    evidence = isolating._get_or_create_evidence("digest", 0.0)
    evidence.begin_isolation("n0", 10.0)
    other.merge_bytes(isolating.export_bytes(0.0), 0.0)
    late_data = other.export_bytes(0.0)
    evidence.end_isolation("n0")
    other.merge_bytes(isolating.export_bytes(0.1), 0.1)
    for registry in (isolating, other):
        registry.merge_bytes(late_data, 0.1)
        assert registry._evidence["digest"].isolating_node(0.1) == ""


def test_lost_zone_convicts_nobody(run_trio, right_tokens):
    """Guards against a zone loss after which all requests are isolated or refused."""
    fleet = Fleet(servers_per_range=12)
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
        for evidence in relay.suspects._evidence.values()
    )
