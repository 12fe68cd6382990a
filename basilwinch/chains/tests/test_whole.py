"""Choice among whole chains: many nodes with rare reports, and uneven chains."""

import json
import random

import pytest

from basilwinch.chains import FleetLoad, PathFinder, WholeChains, plan_chains
from basilwinch.chains.load import NodeReport, Share, mark_server

NODES = 60
TOKENS = 1000
RATE_PER_S = 45.0  # what the site of this layout takes on its heaviest days
RESPONSE_S = 2.0
INTERVAL_S = 1.0


@pytest.fixture
def layout(servers, engine):
    chains = plan_chains(servers, engine, [])
    entries = {s.id: s for s in servers}
    for chain in chains:
        for member in chain:
            entries[member.server].layers = (member.first, member.end)
    return chains


def _value(chains):
    return json.dumps([[[m.server, m.first, m.end] for m in c] for c in chains]).encode()


def _play(servers, engine, layout, whole: bool):
    """Play 20 s of arrivals at many nodes; return how far memory was overfilled at the worst."""
    rng = random.Random(7)
    now = 0.0
    loads = [FleetLoad(lambda: now) for _ in range(NODES)]
    choosers = []
    for number, load in enumerate(loads):
        load.interval_s = INTERVAL_S
        chains = WholeChains(load, random.Random(number))
        chains.apply("llm", _value(layout))
        choosers.append((chains, PathFinder(load)))
    entries = {s.id: s for s in servers}
    running, worst, reported_at = [], 0.0, 0.0
    while now < 20.0:
        now += rng.expovariate(RATE_PER_S)
        for item in [item for item in running if item[0] <= now]:
            running.remove(item)
            loads[item[1]].remove(item[2], TOKENS)
        if now - reported_at >= INTERVAL_S:
            reported_at = now
            _report(loads)
        node = rng.randrange(NODES)
        chains, finder = choosers[node]
        choice = chains.find("llm", entries, engine, TOKENS, 760) if whole else None
        choice = choice or finder.find(servers, engine, TOKENS, 760)
        if choice is not None:
            loads[node].add(choice.members, TOKENS)
            running.append((now + RESPONSE_S, node, choice.members))
        worst = max(worst, _overfill(loads, entries, engine))
    return worst


def _report(loads):
    for node, load in enumerate(loads):
        shares = {mark_server(s): Share(h.requests, h.token_layers) for s, h in load.own.items()}
        for other in loads:
            if other is not load:
                other.take_report(str(node), NodeReport(shares, {}))


def _overfill(loads, entries, engine):
    worst = 0.0
    for entry in entries.values():
        if entry.layers:
            held = entry.layers[1] - entry.layers[0]
            room = engine.kinds[entry.kind].memory_mb - held * engine.layer_mb
            used = sum(load.own[entry.id].token_layers for load in loads if entry.id in load.own)
            worst = max(worst, used * engine.token_layer_bytes / 1e6 / room)
    return worst


def test_many_nodes_with_rare_reports_do_not_crowd_one_chain(servers, engine, layout):
    """Nodes that each took the best path overfilled its memory; its newest streams then paused."""
    assert _play(servers, engine, layout, whole=False) > 1.0
    assert _play(servers, engine, layout, whole=True) <= 1.0


def test_chain_with_a_lost_leaving_or_avoided_member_is_left_out(servers, engine, layout):
    load = FleetLoad(lambda: 100.0)
    chains = WholeChains(load, random.Random(1))
    chains.apply("llm", _value(layout[:2]))
    entries = {s.id: s for s in servers}
    load.suspect(layout[0][1].server, "test")
    for _ in range(10):
        assert chains.find("llm", entries, engine, TOKENS, 760).members == layout[1]
    entries[layout[1][0].server].leaving = True
    assert chains.find("llm", entries, engine, TOKENS, 760) is None


def test_unreadable_layout_leaves_the_one_held(servers, engine, layout):
    chains = WholeChains(FleetLoad(lambda: 100.0), random.Random(1))
    chains.apply("llm", _value(layout))
    chains.apply("llm", b"{")
    entries = {s.id: s for s in servers}
    assert chains.find("llm", entries, engine, TOKENS, 760) is not None
    chains.apply("llm", None)
    assert chains.find("llm", entries, engine, TOKENS, 760) is None
