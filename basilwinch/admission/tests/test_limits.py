"""Tests of limits over several nodes."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basilwinch.admission import Admission, AdmissionConfig, AdmitRequest, Usage, UsageExchange
from basilwinch.admission.report import Direction, assign_ids, pack_report, unpack_report
from basilwinch.admission.tests.nodes import Nodes, organisation, send_poisson_requests
from basilwinch.catalog import Organisation
from basilwinch.exception import MALFORMED_USAGE, MODEL_NOT_ALLOWED, RATE_LIMITED, WRONG_KEY
from basilwinch.observability import DecisionLog


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_small_limit_follows_demand_at_random_nodes(seed):
    """Guards against refusing bursts that are within the limit because it was split evenly."""
    nodes = Nodes(9, [organisation(2.0)])
    asked, granted = send_poisson_requests(nodes, 1.5, 600, seed=seed)
    assert len(granted) >= 0.95 * asked


@pytest.mark.parametrize("loss", [0.0, 0.1])
@pytest.mark.parametrize("limit", [2.0, 50.0])
def test_the_limit_holds_over_time_at_demand_of_ten_times_the_limit(limit, loss):
    """Guards against granting more than the limit because reports lag or are lost."""
    nodes = Nodes(9, [organisation(limit)], loss=loss)
    _, granted = send_poisson_requests(nodes, 10 * limit, 300)
    late = [at for at in granted if at > 100]
    assert 0.85 * limit <= len(late) / 200 <= 1.05 * limit


def test_the_limit_moves_with_the_demand():
    """Guards against a share that stays at a node that gets no requests any more."""
    nodes = Nodes(9, [organisation(20.0)])
    _, granted = send_poisson_requests(
        nodes, 100.0, 180, pick=lambda rng, now: 0 if now < 90 else 5
    )
    assert len([at for at in granted if 40 <= at < 90]) >= 0.9 * 20 * 50
    assert len([at for at in granted if 110 <= at < 180]) >= 0.9 * 20 * 70


@pytest.mark.parametrize("count", [9, 490])
def test_grants_without_reports_stay_within_the_stated_bound(count):
    """Guards against more than n * max(1, burst / n) + rate * seconds without any reports."""
    nodes = Nodes(count, [organisation(2.0)])
    nodes.connected = lambda i, j: False
    granted = sum(
        nodes.ask(node, "o", float(at)) for at in range(60) for node in range(count) for _ in "abc"
    )
    burst = 8.0
    assert granted <= count * max(1.0, burst / count) + 2.0 * 60


def test_two_sides_of_a_partition_stay_within_the_limit():
    """Guards against each side of a partition granting the whole limit."""
    nodes = Nodes(9, [organisation(20.0)])
    send_poisson_requests(nodes, 100.0, 60)
    nodes.connected = lambda i, j: (i < 3) == (j < 3)
    _, granted = send_poisson_requests(nodes, 100.0, 120, start=60.0)
    late = [at for at in granted if at > 100]
    assert len(late) / 80 <= 1.1 * 20


def test_tokens_are_charged_as_generated():
    """Guards against a charge that stays at the expected tokens after the request has ended."""
    admission = Admission.from_config(AdmissionConfig(), DecisionLog.for_benchmark())
    admission.update({"o": organisation(tokens_per_s=100.0)}, 1, 0.0)
    # A lone request may use the burst of 4 s, but not twice.
    request = AdmitRequest("r", "o", "m", 390)
    entry = admission.offer(request, 0.0)
    refused = admission.offer(request, 0.0)
    assert refused.kind is RATE_LIMITED and refused.retry_after > 0
    admission.finish(request, entry, 10, 1.0)
    assert admission.offer(AdmitRequest("r", "o", "m", 300), 1.0)


def test_models_and_unknown_organisations_are_refused():
    """Guards against requests that no rule allows."""
    admission = Admission.from_config(AdmissionConfig(), DecisionLog.for_benchmark())
    admission.update({"o": organisation(models=("m",))}, 1, 0.0)
    assert admission.offer(AdmitRequest("r", "o", "n"), 0.0).kind is MODEL_NOT_ALLOWED
    assert admission.offer(AdmitRequest("r", "p", "m"), 0.0).kind is WRONG_KEY
    assert admission.offer(AdmitRequest("r", "o", "m"), 0.0)


def test_idle_organisations_leave_no_state():
    """Guards against memory that grows with every organisation ever seen."""
    rules = [Organisation(f"o{i}", "", 2.0) for i in range(100)]
    nodes = Nodes(1, rules)
    for rule in rules:
        nodes.ask(0, rule.name, 0.0)
    assert len(nodes.nodes[0].collect_usage(10.0)) == 100
    assert nodes.nodes[0].collect_usage(1000.0) == [] and not nodes.nodes[0]._limits._states


class Grid:
    """Nodes of a large fleet with their exchanges on a virtual clock."""

    def __init__(self, count, rules):
        names = [f"n{i:03}" for i in range(count)]
        by_name = {rule.name: rule for rule in rules}
        self.nodes = Nodes(count, rules)
        self.exchanges = {}
        for name, admission in zip(names, self.nodes.nodes, strict=True):
            self.exchanges[name] = UsageExchange(name, admission, random.Random(name))
            self.exchanges[name].update(by_name, names, 0.0)
        self.bytes = 0
        self.nodes.interval = 1.0
        self.nodes.report = self.report

    def report(self, now):
        for name, exchange in self.exchanges.items():
            for target, data in exchange.poll(now):
                self.bytes += len(data)
                assert self.exchanges[target].merge(name, data, now) is False


def test_a_large_fleet_limits_an_organisation_through_its_home():
    """Guards against usage that does not reach the home node, or totals that do not come back."""
    grid = Grid(64, [organisation(20.0), Organisation("p", "", 100.0)])
    _, granted = send_poisson_requests(grid.nodes, 100.0, 900)
    # The excess before the first totals arrived is made up for at half the limit.
    assert len(granted) <= 20 * 900 + 80
    late = [at for at in granted if at > 450]
    assert 0.8 * 20 <= len(late) / 450 <= 1.05 * 20


def test_uncontended_organisations_are_not_refused_in_a_large_fleet():
    """Guards against refusals caused by the noise of sampled report rows."""
    grid = Grid(64, [organisation(2.0)])
    asked, granted = send_poisson_requests(grid.nodes, 0.8, 400)
    assert len(granted) >= 0.97 * asked


rates = st.tuples(*[st.floats(0, 1e6)] * 4)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2**24 - 1), rates), max_size=20))
def test_reports_are_decoded_within_the_step_of_the_scale(rows):
    """Guards against rates that are changed by encoding and decoding."""
    [(direction, decoded)], interval_s = unpack_report(pack_report([(Direction.UP, rows)], 4.8))
    assert interval_s == 4.8
    assert direction is Direction.UP and len(decoded) == len(rows)
    for (key, sent), (other, got) in zip(rows, decoded, strict=True):
        assert key == other
        for before, after in zip(sent[:2], got[:2], strict=True):
            assert after == pytest.approx(before, rel=0.06, abs=0.002)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=60))
def test_malformed_reports_are_typed_failures(data):
    """Guards against an exception, or rows returned, from a report that cannot be decoded."""
    report = unpack_report(data)
    assert report or report.kind is MALFORMED_USAGE


def test_usage_of_unknown_organisations_is_ignored():
    """Guards against state kept for organisations that only a peer's older revision has."""
    nodes = Nodes(2, [organisation(2.0)])
    nodes.nodes[0].record_peer_usage("n1", [Usage("gone", 5.0, 0.0)], 1.0)
    assert not nodes.nodes[0]._limits._states


def test_ids_do_not_collide_among_all_organisations():
    """Guards against mixing up the usage of two organisations with equal digests."""
    names = [f"org{i}" for i in range(21_000)]
    ids = assign_ids(names)
    assert len(set(ids.values())) == 21_000 and max(ids.values()) < 2**24
    assert ids == assign_ids(reversed(names))
