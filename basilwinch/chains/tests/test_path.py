"""Tests of the selection of a path."""

import pytest

from basilwinch.chains import FleetLoad, PathFinder, plan_chains


@pytest.fixture
def load():
    return FleetLoad(lambda: 100.0)


@pytest.fixture
def placed(servers, engine):
    entries = {s.id: s for s in servers}
    for chain in plan_chains(servers, engine, []):
        for member in chain:
            entries[member.server].layers = (member.first, member.end)
    return servers


def check_path(path, engine):
    position = 0
    for member in path.members:
        assert member.first == position
        position = member.end
    assert position == engine.layers
    assert len({m.server for m in path.members}) == len(path.members)


def test_path_runs_every_layer_once_on_distinct_servers(placed, engine, load):
    """Guards against a search that splits a server's range at a boundary and names it twice."""
    path = PathFinder(load).find(placed, engine, 1000, 760)
    check_path(path, engine)
    assert path.pass_ms > 0


def test_load_spreads_over_chains(placed, engine, load):
    finder = PathFinder(load)
    heads = set()
    for _ in range(100):
        path = finder.find(placed, engine, 1000, 760)
        check_path(path, engine)
        load.add(path.members, 1000)
        heads.add(path.members[0].server)
    assert len(heads) >= 3


def test_no_server_is_filled_beyond_its_memory(placed, engine, load):
    """Guards against preemption in a burst: requests beyond the memory of all chains must wait."""
    finder = PathFinder(load)
    count = 0
    while (path := finder.find(placed, engine, 2000, 760)) is not None:
        load.add(path.members, 2000)
        count += 1
        assert count < 1000
    for entry in placed:
        if entry.layers:
            layer_count = entry.layers[1] - entry.layers[0]
            free_mb = engine.kinds[entry.kind].memory_mb - layer_count * engine.layer_mb
            used_mb = load.get_load(entry.id).token_layers * engine.token_layer_bytes / 1e6
            assert used_mb <= free_mb
    assert count > 50


def test_path_avoids_suspect_and_leaving_servers(placed, engine, load):
    finder = PathFinder(load)
    first = finder.find(placed, engine, 1000, 760)
    load.suspect(first.members[1].server, "test")
    second = finder.find(placed, engine, 1000, 760)
    assert first.members[1].server not in {m.server for m in second.members}
    entries = {s.id: s for s in placed}
    entries[second.members[0].server].leaving = True
    third = finder.find(placed, engine, 1000, 760)
    assert second.members[0].server not in {m.server for m in third.members}
    check_path(third, engine)


def test_no_path_without_every_layer(placed, engine, load):
    for entry in placed:
        if entry.layers and entry.layers[0] == 0:
            entry.layers = None
    assert PathFinder(load).find(placed, engine, 1000, 760) is None
