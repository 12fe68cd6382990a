"""Short seeded soak runs of long streams; the checks must report violations added on purpose."""

from bench.silences import PLANTED_WORDS
from bench.soak_processes import run_seed


def test_no_stream_is_lost_to_silent_and_refusing_servers(tmp_path):
    """Guards against a stream whose chain falls silent and goes on, and which the node gives up
    for another chain that then refuses it."""
    faults = ["silence_and_refuse"]
    report = run_seed(20, seconds=6.0, nodes=3, folder=str(tmp_path), silences=faults)
    assert report["violations"] == []
    assert report["streams"] > 50


def test_no_stream_is_lost_to_pauses_of_nodes_and_series_of_configurations(tmp_path):
    """Guards against a node that takes its own pause for a silence of its chains, and against one
    that ends streams as a new configuration comes into force."""
    faults = ["pause", "configure"]
    report = run_seed(10, seconds=3.0, nodes=3, folder=str(tmp_path), silences=faults)
    assert report["violations"] == []
    assert report["streams"] > 50
    assert "pause" in report["faults"]


def test_planted_violations_of_streams_are_caught(tmp_path):
    """Guards against checks that never fire."""
    report = run_seed(
        1, seconds=1.0, nodes=2, folder=str(tmp_path), plant="streams", silences=["reload"]
    )
    for words in PLANTED_WORDS:
        assert any(words in violation for violation in report["violations"]), words
