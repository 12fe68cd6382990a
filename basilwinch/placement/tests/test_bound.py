"""Tests of the bound."""

import itertools

import pytest

from basilwinch.catalog import Model, Server
from basilwinch.pipeline import Placement, Stage
from basilwinch.placement import Workload, bound_of_fleet, bound_of_placements

MODEL = {"m": Model("m", 4, 10, 1)}
MIX = Workload({"m": 1})


def server(name, rate=8.0, memory=100):
    return Server(name, "", "z", "r", "a", 1, memory, "s", True, rate)


def fleet(*servers):
    return {entry.name: entry for entry in servers}


def placed(*stages):
    return {"m": Placement("m", "", tuple(Stage(*stage) for stage in stages))}


def rate_of(servers, placements, **options):
    options = {"workload": MIX} | options
    return bound_of_placements(servers, MODEL, placements, **options).tokens_per_s


def test_flow_is_limited_by_the_narrowest_boundary():
    """Guards against counting the rate of stages that no chain can reach."""
    servers = fleet(server("a"), server("b"), server("c", 80.0))
    stages = placed(("a", 0, 2), ("b", 0, 2), ("c", 2, 4))
    assert rate_of(servers, stages) == pytest.approx(8.0)
    assert rate_of(servers, placed(("a", 0, 2), ("c", 3, 4))) == pytest.approx(0.0)


def test_links_limit_the_flow_between_stages():
    """Guards against a bound that ignores a degraded link."""
    servers = fleet(server("a"), server("b"), server("c"))
    stages = placed(("a", 0, 2), ("b", 2, 4), ("c", 2, 4))
    links = {("a", "b"): 0.5, ("a", "c"): 1.0}
    assert rate_of(servers, stages, links=links) == pytest.approx(1.5)
    assert rate_of(servers, stages, links={}) == pytest.approx(0.0)


def test_cache_memory_limits_the_flow():
    """Guards against a bound that ignores the KV cache.

    60 bytes are free, and one token a second needs 20 (2 layers, 10 tokens of context, 1 s).
    """
    servers = fleet(server("a", memory=80), server("b"))
    stages = placed(("a", 0, 2), ("b", 2, 4))
    assert rate_of(servers, stages, workload=Workload({"m": 1}, 10, 1.0)) == pytest.approx(3.0)


def test_sub_ranges_never_lower_the_bound():
    """Guards against a bound for parts of stages that misses routes over whole stages."""
    servers = fleet(server("a"), server("b"), server("c"))
    stages = placed(("a", 0, 3), ("b", 2, 4), ("c", 3, 4))
    assert rate_of(servers, stages) < rate_of(servers, stages, whole_stages=False) + 1e-9
    assert rate_of(servers, stages, whole_stages=False) == pytest.approx(24 / 5, rel=0.2)


@pytest.mark.parametrize("rates", [(8.0, 8.0, 4.0), (8.0, 2.0, 1.0), (5.0, 5.0, 5.0)])
def test_fleet_bound_is_over_every_placement(rates):
    """Guards against a fleet bound below what some placement reaches, by trying all of them."""
    servers = fleet(*(server(f"s{i}", rate, 20) for i, rate in enumerate(rates)))
    models = {"m": Model("m", 3, 10, 1)}
    ranges = [(0, 1), (1, 2), (2, 3), (0, 2), (1, 3)]
    best = max(
        bound_of_placements(
            servers,
            models,
            placed(*((n, *r) for n, r in zip(servers, choice, strict=True))),
            MIX,
        ).tokens_per_s
        for choice in itertools.product(ranges, repeat=3)
    )
    bound = bound_of_fleet(servers.values(), models, MIX).tokens_per_s
    assert 0 < best <= bound + 1e-9
    assert bound == pytest.approx(sum(rates) / 3)


def test_fleet_bound_is_zero_where_no_model_fits():
    """Guards against a positive bound for a fleet without room for one copy."""
    assert bound_of_fleet([server("a", memory=30)], MODEL, MIX).tokens_per_s == 0.0


def test_two_models_share_by_demand():
    """Guards against a bound that lets one model use the rate of another."""
    models = {"m": Model("m", 4, 10, 1), "n": Model("n", 2, 10, 1)}
    bound = bound_of_fleet([server("a", 12.0), server("b")], models, Workload({"m": 3, "n": 1}))
    assert bound.tokens_per_s == pytest.approx(20 / 3.5)
    assert bound.by_model["m"] == pytest.approx(3 * bound.by_model["n"])
