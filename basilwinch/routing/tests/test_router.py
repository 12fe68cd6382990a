"""Tests of the chain router."""

import random

import prometheus_client
import pytest

from basilwinch.catalog import Catalog, Model, Server, ServerState
from basilwinch.exception import (
    DEADLINE_UNREACHABLE,
    NO_CHAIN,
    SERVER_LEAVING,
    SERVER_REFUSED,
    STAGE_DIED,
    STREAM_LOST,
    UNKNOWN_MODEL,
)
from basilwinch.observability import DecisionLog
from basilwinch.pipeline import Chain, LoadReport, Placement, Stage, TokenFrame
from basilwinch.routing import ChainRouter, RouteRequest, RoutingConfig

LAYERS = 8
STAGES = tuple(
    Stage(f"{part}{number}", first, first + 4)
    for part, first in (("a", 0), ("b", 4))
    for number in range(4)
)


def make_catalog(**changes):
    servers = {
        stage.server: Server(
            stage.server, "10.0.0.1:80", f"z{index % 3}", "r1", service="s", tokens_per_s=8000.0
        )
        for index, stage in enumerate(STAGES)
    }
    for name, state in changes.items():
        servers[name] = servers[name].replace(state=state)
    return Catalog(1, models={"m": Model("m", LAYERS, 1, 1)}, servers=servers)


@pytest.fixture
def registry():
    return prometheus_client.CollectorRegistry()


@pytest.fixture
def router(registry):
    made = ChainRouter.from_config(
        RoutingConfig("n1"), random.Random(1), DecisionLog(registry, write_lines=False)
    )
    made.update(make_catalog(), {"m": Placement("m", "", STAGES)}, 0.0)
    return made


def request(**fields):
    return RouteRequest(**({"request": "r", "model": "m", "max_tokens": 10} | fields))


def servers_chosen(router, now, count=200, **fields):
    """Return how often each server is chosen, without starting the requests."""
    found = {}
    for _ in range(count):
        for server in router.choose(request(**fields), now).chain.servers:
            found[server] = found.get(server, 0) + 1
    return found


def frame_of(choice, step_s=0.004, queued=0):
    load = tuple(LoadReport(name, queued, 8, 0.5, step_s) for name in choice.chain.servers)
    return TokenFrame("r", 1, 0, 1, choice.chain.stages, load=load)


def serve(router, now, slow=(), gap_s=0.012, count=40):
    """Run requests in sequence; servers in ``slow`` report five times the usual step time."""
    for _ in range(count):
        choice = router.choose(request(), now)
        router.begin(choice, now)
        for _ in range(10):
            frame = frame_of(choice)
            frame.load = tuple(
                report.replace(step_s=0.02) if report.server in slow else report
                for report in frame.load
            )
            now += gap_s
            router.observe(choice, frame, gap_s, now)
        router.finish(choice, None, now)
    return now


def test_choice_is_a_whole_chain_and_is_counted(router, registry):
    """Guards against chains with a gap and against decisions that are not counted."""
    for _ in range(100):
        chain = router.choose(request(), 0.0).chain
        assert Chain.from_stages("m", LAYERS, chain.stages)
    labels = {"kind": "route", "outcome": "chosen"}
    assert registry.get_sample_value("basilwinch_decisions_total", labels) == 100


def test_own_work_spreads_before_any_report(router):
    """Guards against a burst that goes to few servers because reports lag."""
    counts = {}
    for _ in range(80):
        choice = router.choose(request(), 0.0)
        router.begin(choice, 0.0)
        for server in choice.chain.servers:
            counts[server] = counts.get(server, 0) + 1
    assert len(counts) == 8 and max(counts.values()) <= 22


@pytest.mark.parametrize(
    ("mark", "kind"),
    [
        ("mark_leaving", None),
        ("mark_dead", None),
        (None, SERVER_LEAVING),
        (None, STAGE_DIED),
        (None, SERVER_REFUSED),
    ],
)
def test_leaving_and_dead_servers_get_nothing_at_once(router, mark, kind):
    """Guards against new requests to a server that is known to be leaving or dead."""
    if mark:
        getattr(router, mark)("a1", 1.0)
    else:
        router.finish(router.choose(request(), 0.0), kind.because("x", server="a1"), 1.0)
    assert "a1" not in servers_chosen(router, 1.0)
    assert "a1" not in router.in_use("m")


def test_leaving_server_is_never_probed_and_a_changed_entry_restores_it(router):
    """Guards against probes of a leaving server and against one that never returns to use."""
    router.mark_leaving("a1", 0.0)
    assert "a1" not in servers_chosen(router, 1000.0)
    placements = {"m": Placement("m", "", STAGES)}
    router.update(make_catalog(), placements, 1000.0)
    assert "a1" not in servers_chosen(router, 1000.0)
    router.update(make_catalog(a1=ServerState.LEAVING), placements, 1001.0)
    assert router.leaving() == ["a1"]
    router.update(make_catalog(), placements, 1002.0)
    assert "a1" in servers_chosen(router, 1002.0)


def test_dead_server_is_probed_lightly_and_restored_by_a_frame(router):
    """Guards against a dead server that gets traffic and a restarted one that gets none."""
    router.mark_dead("a1", 0.0)
    assert "a1" not in servers_chosen(router, 4.9)
    probes = [router.choose(request(), 5.1) for _ in range(50)]
    probes = [choice for choice in probes if "a1" in choice.chain.servers]
    assert len(probes) == 1 and probes[0].reason == "probe"
    router.observe(probes[0], frame_of(probes[0]), 0.1, 5.2)
    assert "a1" in servers_chosen(router, 5.3)


@pytest.mark.parametrize("dead", ["a", "ab"])
def test_servers_are_probed_also_if_no_chain_is_live(router, dead):
    """Guards against a model without a chain for good once all servers of a range were dead."""
    names = [stage.server for stage in STAGES if stage.server[0] in dead]
    for name in names:
        router.mark_dead(name, 0.0)
    assert not router.choose(request(), 4.9)
    probe = router.choose(request(), 5.1)
    assert probe.reason == "probe"
    chosen = set(probe.chain.servers)
    again = router.choose(request(), 5.2)
    assert not again or not chosen.intersection(names) & set(again.chain.servers)
    router.observe(probe, frame_of(probe), 0.1, 5.3)
    assert chosen <= set(router.in_use("m"))


def test_slow_stage_is_avoided_probed_and_used_again(router):
    """Guards against a slow stage that keeps its traffic or never regains it."""
    now = serve(router, 0.0)
    now = serve(router, now, slow={"b2"})
    assert "b2" not in router.in_use("m")
    assert servers_chosen(router, now, 100).get("b2", 0) <= 1
    now = serve(router, now, count=600)
    assert "b2" in router.in_use("m")


def test_degraded_link_is_avoided(router):
    """Guards against a slow link that keeps its traffic although faster links exist."""
    now = 0.0
    for _ in range(400):
        choice = router.choose(request(), now)
        router.begin(choice, now)
        bad = choice.chain.servers == ("a0", "b0")
        for _ in range(17):
            gap_s = 0.052 if bad else 0.012
            now += 0.002
            router.observe(choice, frame_of(choice), gap_s, now)
        router.finish(choice, None, now)
    pairs = [router.choose(request(), now).chain.servers for _ in range(400)]
    # A uniform choice among the 16 pairs would take this one 25 times.
    assert pairs.count(("a0", "b0")) <= 8
    assert sum(servers == ("a0", "b1") for servers in pairs) >= 10


def test_cached_prefix_is_used_until_the_server_has_too_much_load(router):
    """Guards against unused prefix caches and a popular prefix that overloads one server."""
    chains = {router.choose(request(cache_key="k"), 0.0).chain for _ in range(50)}
    assert len(chains) == 1
    loads = {}
    for _ in range(80):
        choice = router.choose(request(cache_key="k"), 0.0)
        router.begin(choice, 0.0)
        for server in choice.chain.servers:
            loads[server] = loads.get(server, 0) + 1
    assert max(loads.values()) <= 30


def test_failures_have_a_type(router):
    """Guards against a chain where none is usable and against requests refused too late."""
    assert router.choose(request(model="x"), 0.0).kind is UNKNOWN_MODEL
    models = {name: router._models["m"].replace(name=name) for name in ("m", "unplaced")}
    router._models = models
    assert router.choose(request(model="unplaced"), 0.0).kind is NO_CHAIN
    everything = frozenset(f"a{number}" for number in range(4))
    assert router.choose(request(excluded=everything), 0.0).kind is NO_CHAIN
    late = request(max_tokens=1000, deadline_s=0.5)
    assert router.choose(late, 0.0).kind is DEADLINE_UNREACHABLE
    assert router.choose(request(deadline_s=5.0), 0.0)
    for server in everything:
        router.mark_dead(server, 0.0)
    assert router.choose(request(), 0.0).kind is NO_CHAIN
    assert router.capacity("m") == 0


def test_excluded_servers_are_not_used(router):
    """Guards against a retry on the server that just failed."""
    excluded = frozenset({"a0", "a1", "a2", "b3"})
    assert not excluded & servers_chosen(router, 0.0, excluded=excluded).keys()


def test_isolated_request_has_its_servers_for_itself_and_nodes_agree(router):
    """Guards against a crashing request that breaks the streams of other callers."""
    other = ChainRouter.from_config(
        RoutingConfig("n2"), random.Random(2), DecisionLog.for_benchmark()
    )
    other.update(make_catalog(), {"m": Placement("m", "", STAGES)}, 0.0)
    choice = router.choose(request(isolated=True), 0.0)
    assert choice.chain == other.choose(request(isolated=True), 0.0).chain
    router.begin(choice, 0.0)
    assert not set(choice.chain.servers) & servers_chosen(router, 0.0).keys()
    router.finish(choice, None, 1.0)
    assert set(choice.chain.servers) <= servers_chosen(router, 1.0).keys()


def test_silent_server_is_found_by_the_streams_of_the_others(router):
    """Guards against traffic to a server that hangs without closing its connections."""
    now = serve(router, 0.0)
    silent = request(excluded=frozenset({"a0", "a1", "a2"}))
    choice = router.choose(silent, now)
    router.begin(choice, now)
    names = {f"b{number}" for number in range(4)}
    others = [
        router.choose(request(excluded=frozenset({"a3"} | names - {name})), now) for name in names
    ]
    for _ in range(30):
        now += 0.1
        for other in others:
            router.observe(other, frame_of(other), 0.1, now)
    router.finish(choice, STREAM_LOST.because("no frame for 3 s"), now)
    assert "a3" not in router.in_use("m")
    assert set(choice.chain.servers) - {"a3"} <= set(router.in_use("m"))
