"""Failure tests of the router against the stand-in engines, nine nodes under full load."""

import pytest

from basilwinch.routing import ChainRouter
from bench.fleet import ZONES
from bench.simulation import Simulation


def run(fault, warm_up_s=4.0, measure_s=1.0, seed=7):
    """Saturate, inject ``fault(simulation)`` after 1 s, and measure after ``warm_up_s`` seconds."""
    simulation = Simulation(seed, "router", warm_up_s, measure_s)
    simulation.saturate()
    simulation.engines.scheduler.call_at(1.0, fault, simulation)
    simulation.run()
    return simulation


@pytest.fixture(scope="module")
def healthy_rate():
    return run(lambda simulation: None).meter.compute_work_rate()


def test_leaving_server_gets_nothing_after_three_seconds_and_nothing_breaks(healthy_rate):
    """Guards against new requests to a leaving server (I5) and interrupted streams (I6)."""
    simulation = run(lambda simulation: simulation.engines.mark_leaving("s00005"))
    failures = simulation.meter.failures
    assert simulation.meter.failed == 0
    # Each node learns of it from its own refused calls, of which some were sent at the same time.
    assert set(failures) == {"server_leaving"} and failures["server_leaving"] <= 4 * 9
    assert simulation.meter.compute_work_rate() > 0.85 * healthy_rate


def test_dead_stage_costs_its_streams_only(healthy_rate):
    """Guards against requests that keep failing on a server that is known to be dead."""
    simulation = run(lambda simulation: simulation.engines.kill("s00005"))
    assert simulation.meter.failed == 0
    assert simulation.meter.compute_work_rate() > 0.85 * healthy_rate


def test_each_node_learns_of_a_death_from_one_refused_call():
    """Guards against a node that sends call after call to a server that refuses connections."""
    simulation = run(lambda simulation: simulation.engines.kill("s00005", silent=True))
    # A silent death breaks no stream, so only new calls fail; a node may send two at once.
    assert sum(simulation.meter.failures.values()) <= 2 * 9


def test_restarted_server_is_used_again(healthy_rate):
    """Guards against capacity that is lost for good after a restart."""

    def restart(simulation):
        engines = simulation.engines
        engines.kill("s00005")
        engines.scheduler.call_at(2.0, engines.revive, "s00005")

    simulation = run(restart, warm_up_s=9.0)
    assert simulation.meter.failed == 0
    assert all("s00005" in router.in_use("hartie-32") for router in simulation.routers)
    assert simulation.meter.compute_work_rate() > 0.95 * healthy_rate


def test_lost_zone_leaves_the_candidates(monkeypatch):
    """Guards against failures that go on after a zone is lost."""
    failed_servers = {}
    finish = ChainRouter.finish

    def record_failure(router, choice, failure, now):
        if failure is not None:
            failed_servers.setdefault(id(router), set()).add(failure.detail["server"])
        finish(router, choice, failure, now)

    monkeypatch.setattr(ChainRouter, "finish", record_failure)

    def kill_zone(simulation):
        for server in simulation.catalog.servers.values():
            if server.zone == ZONES[0]:
                simulation.engines.kill(server.name)

    simulation = run(kill_zone)
    assert simulation.meter.failed == 0
    # Without membership a node cannot know of a server that none of its requests was on.
    for router in simulation.routers:
        assert failed_servers[id(router)]
        assert not failed_servers[id(router)] & set(router.in_use("hartie-32"))
    assert simulation.meter.tokens > 0


def test_slow_stage_returns_to_use():
    """Guards against a stage that stays avoided after it has recovered."""

    def slow(simulation):
        engines = simulation.engines
        engines.slow("s00005", 5.0)
        engines.scheduler.call_at(4.0, engines.slow, "s00005", 1.0)

    simulation = run(slow, warm_up_s=9.0)
    assert all("s00005" in router.in_use("hartie-32") for router in simulation.routers)
    assert simulation.meter.failures == {}
