"""Tests of the decision log."""

import io
import json

import prometheus_client

from basilwinch.observability import DecisionLog, configure_logs


def test_each_decision_is_counted_and_logged_once():
    """Guards against decisions that are not logged or not counted."""
    stream = io.StringIO()
    configure_logs("json", "info", stream)
    registry = prometheus_client.CollectorRegistry()
    DecisionLog(registry).record("route", "chosen", "least work", chain=["a", "b"])
    assert (
        registry.get_sample_value(
            "basilwinch_decisions_total", {"kind": "route", "outcome": "chosen"}
        )
        == 1
    )
    line = json.loads(stream.getvalue())
    assert (line["kind"], line["chain"], line["reason"]) == ("route", ["a", "b"], "least work")
