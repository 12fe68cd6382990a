"""Tests of the link between zones, which paths and chains use after servers are lost."""

import random

import pytest

from basilwinch.chains import FleetLoad, PathFinder, plan_chains
from basilwinch.chains.zone_link import ZoneLinkBudget, compute_crossing_limit, count_crossings

TRANSFER_S = 0.0345  # of a request of mean size on the largest site


@pytest.mark.parametrize("nodes", [1, 6, 68, 300])
def test_nodes_together_keep_below_the_rate_of_the_link(nodes):
    """Guards against nodes that all cross as often as they can; they sent 76 GB in 34 s."""
    now = 0.0
    rng = random.Random(4)
    budgets = [ZoneLinkBudget(lambda: nodes, lambda: now, rng) for _ in range(nodes)]
    used = 0.0
    for tick in range(2000):
        now = tick / 10
        for budget in budgets:
            while budget.allows(TRANSFER_S):
                budget.take(TRANSFER_S)
                used += TRANSFER_S
    # The usable fraction of 0.8 and the burst of 0.3 s; the rest up to 0.9 is for nodes that exceed
    # their part by part of a transfer.
    assert used < 0.9 * now + 0.3
    assert used > 0.5 * now


def test_burst_after_an_idle_time_ends_before_callers_leave():
    """Guards against a long queue when a chain breaks and all nodes cross at the same moment."""
    rng = random.Random(5)
    now = 0.0
    budgets = [ZoneLinkBudget(lambda: 68, lambda: now, rng) for _ in range(68)]
    now = 100.0
    allowed = [budget for budget in budgets if budget.allows(TRANSFER_S)]
    assert len(allowed) * TRANSFER_S < 0.6


def test_path_crosses_only_where_it_may(servers, engine):
    entries = {s.id: s for s in servers}
    for chain in plan_chains(servers, engine, []):
        for member in chain:
            entries[member.server].layers = (member.first, member.end)
    # Each zone loses the last or the first members of its chains.
    kept = [s for s in servers if s.layers]
    kept = [s for s in kept if (s.layers[1] < 80 if s.zone == "z0" else s.layers[0] > 0)]
    finder = PathFinder(FleetLoad(lambda: 100.0))
    path = finder.find(kept, engine, 1000, 760)
    zones = [entries[m.server].zone for m in path.members]
    assert path.crossings == count_crossings(zones) > 0
    assert finder.find(kept, engine, 1000, 760, cross_zones=False) is None


def test_chains_are_not_repaired_from_other_zones_beyond_the_crossing_limit(servers, engine):
    """Guards against too many crossings when five chains lose members one after the other and only
    other zones have free servers."""
    engine.token_transfer_s = 91800 * 8 / 26e9
    allowed = compute_crossing_limit(engine)
    chains = plan_chains(servers, engine, [])
    present = {s.id: s for s in servers}
    for chain in list(chains):
        del present[chain[0].server]
        chains = plan_chains(list(present.values()), engine, chains)
        zones = [[present[m.server].zone for m in chain] for chain in chains]
        assert sum(count_crossings(zone) for zone in zones) <= allowed
    assert len(chains) >= 3
