"""Tests of the load report and of the parser of event streams."""

import json

import pytest

from basilwinch.load import LoadReporter, Sample
from basilwinch.load.caller import _EventReader


@pytest.fixture
def reader():
    return _EventReader(started_at=10.0)


def event(text):
    document = {"choices": [{"delta": {"content": text}}]}
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def test_percentiles_are_in_milliseconds():
    """Guards against a unit error in the report."""
    reporter = LoadReporter()
    for number in range(1, 101):
        reporter.add(Sample("stream", "ok", 1.0, number / 1000, (0.02,)))
    row = reporter.to_dict(10.0)["latencies"]["first_token"]
    assert row["p50_ms"] == pytest.approx(50, rel=0.01)
    assert row["p95_ms"] == pytest.approx(95, rel=0.01)


def test_failed_calls_are_counted_by_code_and_not_timed():
    """Guards against fast refusals that lower the reported latencies."""
    reporter = LoadReporter()
    reporter.add(Sample("stream", "rate_limited", 0.001))
    document = reporter.to_dict(1.0)
    assert document["codes"] == {"rate_limited": 1}
    assert document["latencies"] == {}


def test_stream_without_end_marker_is_cut(reader):
    """Guards against counting a broken stream as a success."""
    stream = event("a") + event("b")
    reader.feed(stream[:30], 10.5)
    reader.feed(stream[30:], 11.0)
    assert (reader.code, reader.first_token_s, reader.token_gaps_s) == ("cut", 1.0, [0.0])
    reader.feed(b"data: [DONE]\n\n", 11.1)
    assert reader.code == "ok"


def test_error_event_gives_its_code(reader):
    """Guards against counting error events as tokens."""
    reader.feed(b'data: {"error": {"code": "stage_died"}}\n\n', 10.1)
    assert reader.code == "stage_died"
