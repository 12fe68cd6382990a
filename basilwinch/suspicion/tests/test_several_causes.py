"""Tests of the attribution of crashes when several requests crash servers at the same time."""


def test_strike_of_this_node_is_sent_before_those_that_others_have_seen(
    make_entry_registry, crash_under, exchange
):
    """Guards against a crash that other nodes do not hear of because the report is full."""
    nodes = [make_entry_registry(name) for name in ("n1", "n2")]
    for number in range(20):
        for crash in range(2):
            now = 10.0 + 5 * number + 2.5 * crash
            crash_under(nodes[0], f"old{number}", f"s{number}-{crash}", now, (f"part:p{number}",))
            exchange(nodes, now + 0.05)
    crash_under(nodes[1], "cause", "s98", 112.0)
    exchange(nodes, 112.05, max_entries=4)
    assert "cause" in {entry.digest for entry in nodes[0].list_entries(112.1)}
