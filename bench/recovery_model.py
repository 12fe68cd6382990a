"""Recovery scenarios of model requests."""

import math

import trio

from basilwinch.standin import CRASH_MARK
from bench.fleet import ZONES
from bench.recovery_fleet import NODES, ModelFleet

__all__ = ["SCENARIOS", "run_scenario"]

_FAULT_AT_S = 2.0


def _list_busiest_first(fleet: ModelFleet) -> list[str]:
    """Return the names of the live servers, those with the most streams first."""
    states = [state for state in fleet.engines.states.values() if state.alive]
    return [s.name for s in sorted(states, key=lambda s: (-len(s.resident), s.name))]


async def _kill_busiest_server(fleet: ModelFleet, silent: bool) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.generate_load, 10.0, 3.0)
        await trio.sleep(_FAULT_AT_S)
        fleet.engines.kill(_list_busiest_first(fleet)[0], silent=silent)


async def stage_death(fleet: ModelFleet) -> None:
    """The busiest server dies; neighbouring stages notice after 0.2 s."""
    await _kill_busiest_server(fleet, False)


async def silent_stage(fleet: ModelFleet) -> None:
    """The busiest server stops without closing connections."""
    await _kill_busiest_server(fleet, True)


async def zone_loss(fleet: ModelFleet) -> None:
    """All servers of a zone die at once; the nodes of the zone go on."""
    zone = ZONES[fleet.seed % len(ZONES)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.generate_load, 10.0, 3.0)
        await trio.sleep(_FAULT_AT_S)
        for server in fleet.catalog.servers.values():
            if server.zone == zone:
                fleet.engines.kill(server.name)


async def rolling(fleet: ModelFleet) -> None:
    """All nodes and a third of the servers are replaced, one after another."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.generate_load, 5.0, 12.0)
        nursery.start_soon(_replace_servers, fleet)
        await trio.sleep(1.0)
        for number in range(NODES):
            old = fleet.nodes[number]
            fleet.nodes[number] = fleet.make_node(number)
            await old.drain()
            await trio.sleep(0.5)


async def _replace_servers(fleet: ModelFleet) -> None:
    await trio.sleep(0.5)
    for name in sorted(fleet.catalog.servers)[::3]:
        fleet.engines.mark_leaving(name)
        while fleet.engines.states[name].resident:
            await trio.sleep(0.1)
        fleet.engines.kill(name)
        await trio.sleep(0.2)
        fleet.engines.revive(name)


async def crashing(fleet: ModelFleet) -> None:
    """A request that crashes its servers is sent 12 times, through different nodes."""

    async def resend():
        for number in range(12):
            await fleet.send_request(f"crash{number}", f"x {CRASH_MARK}", 50, (number * 4) % NODES)
            await trio.sleep(fleet.rng.uniform(0.0, 0.3))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.generate_load, 10.0, 5.0)
        await trio.sleep(_FAULT_AT_S)
        nursery.start_soon(resend)


SCENARIOS = {
    "stage_death": stage_death,
    "silent_stage": silent_stage,
    "zone_loss": zone_loss,
    "rolling": rolling,
    "crashing": crashing,
}


def run_scenario(name: str, seed: int, simple: bool) -> dict:
    """Run a scenario and return its figures."""
    fleet = ModelFleet(seed, simple)
    fleet.run(SCENARIOS[name])
    crashed = sum(not state.alive for state in fleet.engines.states.values())
    recoveries = fleet.measure_recoveries(_FAULT_AT_S)
    cut, wrong = fleet.count_cut_and_wrong()
    refused = sum(request.startswith("crash") for request, _ in fleet.failures)
    crash_requests = 12 if name == "crashing" else 0
    return {
        "requests": len(fleet.event_times) - crash_requests,
        "cut": cut - crash_requests if crash_requests else cut,
        "wrong": wrong,
        "total_s": [
            detection + recovery for detection, recovery in recoveries if not math.isinf(recovery)
        ],
        "detection_s": [detection for detection, _ in recoveries],
        "recovery_s": [recovery for _, recovery in recoveries if not math.isinf(recovery)],
        "servers_lost": crashed,
        "refused": refused,
    }
