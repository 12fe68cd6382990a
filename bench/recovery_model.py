"""Recovery scenarios of model requests."""

import math

import trio

from basilwinch.standin import CRASH_MARK
from bench.fleet import ZONES
from bench.recovery_fleet import NODES, ModelFleet

__all__ = ["SCENARIOS", "run_scenario"]

_FAULT_S = 2.0


def _busiest(fleet: ModelFleet) -> list[str]:
    """Return the live servers, the one with the most streams first."""
    states = [state for state in fleet.engines.states.values() if state.alive]
    return [s.name for s in sorted(states, key=lambda s: (-len(s.resident), s.name))]


async def _stage_death(fleet: ModelFleet, silent: bool) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.load, 10.0, 3.0)
        await trio.sleep(_FAULT_S)
        fleet.engines.kill(_busiest(fleet)[0], silent=silent)


async def stage_death(fleet: ModelFleet) -> None:
    """The busiest stage dies; its neighbours notice after 0.2 s."""
    await _stage_death(fleet, False)


async def silent_stage(fleet: ModelFleet) -> None:
    """The busiest stage stops silently."""
    await _stage_death(fleet, True)


async def zone_loss(fleet: ModelFleet) -> None:
    """All servers of a zone die at once; callers of its nodes are not counted."""
    zone = ZONES[fleet.seed % len(ZONES)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.load, 10.0, 3.0)
        await trio.sleep(_FAULT_S)
        for server in fleet.catalog.servers.values():
            if server.zone == zone:
                fleet.engines.kill(server.name)


async def rolling(fleet: ModelFleet) -> None:
    """All nodes and a third of the servers are replaced, one after another."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.load, 5.0, 12.0)
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
        fleet.engines.leave(name)
        while fleet.engines.states[name].resident:
            await trio.sleep(0.1)
        fleet.engines.kill(name)
        await trio.sleep(0.2)
        fleet.engines.revive(name)


async def crashing(fleet: ModelFleet) -> None:
    """A request that crashes its servers is sent 12 times through different nodes."""

    async def resend():
        for number in range(12):
            await fleet.ask(f"crash{number}", f"x {CRASH_MARK}", 50, (number * 4) % NODES)
            await trio.sleep(fleet.rng.uniform(0.0, 0.3))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.load, 10.0, 5.0)
        await trio.sleep(_FAULT_S)
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
    gaps = fleet.resumed_gaps(_FAULT_S)
    cut, wrong = fleet.count_bad()
    refused = sum(request.startswith("crash") for request, _ in fleet.failures)
    own = 12 if name == "crashing" else 0
    return {
        "requests": len(fleet.times) - own,
        "cut": cut - own if own else cut,
        "wrong": wrong,
        "total_s": [a + b for a, b in gaps if not math.isinf(b)],
        "detection_s": [detection for detection, _ in gaps],
        "recovery_s": [recovery for _, recovery in gaps if not math.isinf(recovery)],
        "servers_lost": crashed,
        "refused": refused,
    }
