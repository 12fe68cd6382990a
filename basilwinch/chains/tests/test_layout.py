"""Tests of the layout of chains."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basilwinch.chains import plan_chains
from basilwinch.chains.tests.conftest import KINDS
from basilwinch.view import Engine, ServerEntry


def check_chain(chain, engine, entries):
    """Check that each layer appears once, in order, on distinct servers with memory for it."""
    position = 0
    for member in chain:
        assert member.first == position
        position = member.end
        count = member.end - member.first
        assert 0 < count * engine.layer_mb <= engine.kinds[entries[member.server].kind].memory_mb
    assert position == engine.layers
    assert len({member.server for member in chain}) == len(chain)


def test_site_gets_a_chain_in_each_zone(servers, engine):
    chains = plan_chains(servers, engine, [])
    entries = {s.id: s for s in servers}
    for chain in chains:
        check_chain(chain, engine, entries)
    zones = [{entries[m.server].zone for m in chain} for chain in chains]
    assert all(len(z) == 1 for z in zones)
    assert set.union(*zones) == {"z0", "z1", "z2"}
    assert len(chains) == 5


def test_layout_stays_as_long_as_its_servers_do(servers, engine):
    chains = plan_chains(servers, engine, [])
    assert plan_chains(list(reversed(servers)), engine, chains) == chains


def test_lost_member_moves_only_its_layers(servers, engine):
    """Guards against intact servers loading layers again after another one crashed."""
    chains = plan_chains(servers, engine, [])
    lost = chains[0][1].server
    rest = [s for s in servers if s.id != lost]
    repaired = plan_chains(rest, engine, chains)
    entries = {s.id: s for s in rest}
    assert len(repaired) == len(chains)
    for chain in repaired:
        check_chain(chain, engine, entries)
    kept = {(m.server, m.first, m.end) for c in repaired for m in c}
    assert {(m.server, m.first, m.end) for c in chains for m in c if m.server != lost} <= kept


def test_chain_that_cannot_be_repaired_is_dissolved(servers, engine):
    few = [s for s in servers if s.zone == "z0" and s.kind != "l4"]
    chains = plan_chains(few, engine, [])
    assert len(chains) == 1
    assert plan_chains(few[:2], engine, chains) == []


@settings(max_examples=150, deadline=None)
@given(
    kinds_and_zones=st.lists(
        st.tuples(st.sampled_from(sorted(KINDS)), st.sampled_from(["z0", "z1"])), max_size=40
    ),
    layers=st.sampled_from([8, 40, 80]),
    losses=st.sets(st.integers(0, 39), max_size=6),
)
def test_every_layout_is_valid_for_any_servers(kinds_and_zones, layers, losses):
    engine = Engine(layers, 1750.0, 22950.0, KINDS, 1.0, 0.01, 0.02, 100.0, 3, 974, 14.0)
    servers = [
        ServerEntry(f"s{n}", "llm", "10.0.0.1", n, zone, 96, False, kind, None, 1, 0)
        for n, (kind, zone) in enumerate(kinds_and_zones)
    ]
    chains = plan_chains(servers, engine, [])
    rest = [s for n, s in enumerate(servers) if n not in losses]
    for plan, present in ((chains, servers), (plan_chains(rest, engine, chains), rest)):
        entries = {s.id: s for s in present}
        for chain in plan:
            check_chain(chain, engine, entries)
        used = [m.server for chain in plan for m in chain]
        assert len(used) == len(set(used))


@pytest.mark.parametrize("kind", ["", "unknown"])
def test_servers_of_an_unknown_kind_get_no_layers(servers, engine, kind):
    for server in servers:
        server.kind = kind
    assert plan_chains(servers, engine, []) == []


def test_rolling_replacement_moves_no_layers_of_intact_servers(servers, engine):
    """Guards against a plan that uses the new server of a rolling replacement, which starts before
    the old one leaves, for a further chain. The old server's chain could then not be repaired and
    was dissolved, so that all its members loaded layers again.
    """
    entries = {s.id: s for s in servers}
    chains = plan_chains(servers, engine, [])
    for number, member in enumerate([chains[1][2], chains[0][0], chains[2][0], chains[4][0]]):
        old = entries[member.server]
        new = old.replace(id=f"new-{number}")
        entries[new.id] = new
        with_both = plan_chains(list(entries.values()), engine, chains)
        assert with_both == chains
        del entries[old.id]
        repaired = plan_chains(list(entries.values()), engine, chains, frozenset([old.id]))
        kept = {(m.server, m.first, m.end) for c in repaired for m in c}
        before = {(m.server, m.first, m.end) for c in chains for m in c}
        assert {row for row in before if row[0] != old.id} <= kept
        chains = repaired
        for chain in chains:
            check_chain(chain, engine, entries)


def test_chain_waits_for_a_member_that_just_crashed(servers, engine):
    few = [s for s in servers if s.zone == "z0" and s.kind != "l4"]
    chains = plan_chains(few, engine, [])
    lost = chains[0][1].server
    rest = [s for s in few if s.id != lost]
    assert plan_chains(rest, engine, chains, frozenset([lost])) == chains
    back = [s.replace(id="back") if s.id == lost else s for s in few]
    repaired = plan_chains(back, engine, chains, frozenset([lost]))
    check_chain(repaired[0], engine, {s.id: s for s in back})
    assert sum(m in chains[0] for m in repaired[0]) == len(chains[0]) - 1
