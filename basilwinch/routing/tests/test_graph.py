"""Tests of subsets and of the graph of stages."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilwinch.catalog import Server
from basilwinch.pipeline import Chain, Stage
from basilwinch.routing import RoutingConfig
from basilwinch.routing.estimate import LinkEstimates, ServerEstimate, StageEstimate
from basilwinch.routing.graph import StageGraph
from basilwinch.routing.subset import choose_subset


def estimate(name, first, end, tokens_per_s=8000.0):
    server = Server(name, "10.0.0.1:80", "z1", "r1", service="s", tokens_per_s=tokens_per_s)
    return StageEstimate(Stage(name, first, end), ServerEstimate(server), RoutingConfig("n"))


def test_flow_is_limited_by_the_narrowest_layers():
    """Guards against stages that get more flow than the rest of the chain can carry."""
    stages = [estimate("a", 0, 4), estimate("b", 4, 8), estimate("c", 4, 8), estimate("d", 0, 8)]
    graph = StageGraph(8, stages)
    assert graph.flow == pytest.approx(3000)
    assert [stage.flow for stage in stages] == pytest.approx([2000, 1000, 1000, 1000])


@given(st.integers(0, 2**32), st.integers(2, 20))
def test_every_boundary_leads_to_a_whole_chain(seed, count):
    """Guards against a boundary without a path to the last layer, for any layer ranges."""
    rng = random.Random(seed)
    stages = []
    for number in range(count):
        first = rng.randrange(8)
        stages.append(estimate(f"s{number}", first, rng.randrange(first + 1, 9)))
    graph = StageGraph(8, stages)
    if not graph.complete:
        assert graph.flow == 0
        return
    for _ in range(10):
        layer, chain = 0, []
        while layer < 8:
            stage = rng.choice(graph.boundaries[layer].stages)
            chain.append(stage.stage)
            layer = stage.end
        assert Chain.from_stages("m", 8, chain)


def test_subset_is_bounded_stable_and_covers_all_ranges():
    """Guards against unbounded state and against a subset that changes with each join."""
    stages = [Stage(f"s{n}", 4 * (n % 3), 4 * (n % 3) + 4) for n in range(3000)]
    chosen = choose_subset("n1", stages, 90, {})
    assert len(chosen) == 90
    assert {stage.first for stage in chosen} == {0, 4, 8}
    again = choose_subset("n1", stages[30:], 90, {})
    assert len(set(chosen) & set(again)) >= 85
    other = choose_subset("n2", stages, 90, {})
    assert len(set(chosen) & set(other)) <= 10
    used = {stage.server for n in range(490) for stage in choose_subset(f"n{n}", stages, 90, {})}
    assert len(used) == 3000


def test_links_learn_and_forget():
    """Guards against a link that is avoided permanently after it was degraded once."""
    links = LinkEstimates(2, 10.0)
    ends = [estimate(name, 0, 4).server for name in "abc"]
    link = links.get_or_create(ends[0], ends[1], 0.0)
    for step in range(100):
        links.learn([link], 0.06, 0.01, step * 0.01)
    # Leakage to the default delay and the stage delay ratio absorb part of the 0.05 s.
    assert links.delay(ends[0], ends[1], 1.0) == pytest.approx(0.05, rel=0.1)
    assert links.delay(ends[0], ends[1], 200.0) < 0.03
    for target in ends[1:]:
        links.get_or_create(ends[2], target, 1.0)
    assert len(links) == 2
