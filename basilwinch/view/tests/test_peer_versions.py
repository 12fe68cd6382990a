"""Tests of the age of a view whose peers have a newer version in force."""

import pytest

from basilwinch.view import Configuration, View

INFINITY = float("inf")


@pytest.fixture
def view():
    view = View()
    view.set_configuration(Configuration(5, [], {}, None, None), 1)
    return view


def _set_peers(view, count):
    view.set_peers(lambda: count, lambda: None)


def test_new_version_of_a_peer_makes_the_view_older_only_from_then_on(view):
    """Guards against refusals at each change, as nodes apply it some tenths of a second apart."""
    _set_peers(view, 0)
    view.confirm(9.0)
    view.record_peer_version(7, 10.0)
    view.confirm(11.0)
    assert view.age(11.5) == 1.5
    view.set_configuration(Configuration(7, [], {}, None, None), 2)
    assert view.age(11.5) == 0.5


def test_view_of_a_starting_node_counts_only_after_a_peer_has_answered(view):
    """Guards against a node that starts on the older copy of a restored store."""
    _set_peers(view, 2)
    view.confirm(9.0)
    assert view.age(9.1) == INFINITY
    view.record_peer_version(7, 9.1)
    assert view.age(9.2) == INFINITY
    view.set_configuration(Configuration(7, [], {}, None, None), 2)
    assert view.age(9.5) == 0.5


def test_second_answer_of_a_peer_while_the_node_asks_counts_too(view):
    """Guards against the answer of a peer that has just started on the same older copy."""
    _set_peers(view, 2)
    view.confirm(9.0)
    view.record_peer_version(5, 9.1)
    assert view.age(9.2) == pytest.approx(0.2)
    view.record_peer_version(7, 9.3)
    assert view.age(9.4) == INFINITY


def test_running_node_keeps_the_age_of_its_view_after_a_restore(view):
    """Guards against nodes that all refuse requests at once because of one that was ahead."""
    _set_peers(view, 2)
    view.confirm(5.0)
    view.record_peer_version(5, 5.1)
    view.begin_history(8.0)
    view.confirm(8.0)
    view.record_peer_version(7, 8.1)
    view.confirm(9.0)
    assert view.age(9.0) == 4.0


def test_version_that_no_peer_names_any_more_is_not_expected(view):
    """Guards against a node that is never ready again because of one damaged report."""
    _set_peers(view, 0)
    view.confirm(9.0)
    view.record_peer_version(1 << 60, 10.0)
    view.confirm(39.0)
    assert view.age(39.0) > 28.0
    view.confirm(41.0)
    assert view.age(41.0) == 0.0
    view.record_peer_version(7, 42.0)
    view.confirm(45.0)
    assert view.age(45.0) == 3.0


def test_peer_without_a_configuration_ends_no_wait(view):
    _set_peers(view, 1)
    view.confirm(9.0)
    view.record_peer_version(0, 9.1)
    assert view.age(9.2) == INFINITY
    assert view.age(10.0) == 1.0
