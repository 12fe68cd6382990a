"""Tests of the decisions on a second run."""

import pytest

from basilwinch.failover import Race, Silence, should_back_up

MAX_ATTEMPTS = 4


@pytest.fixture
def race():
    race = Race(2)
    race.begin("primary")
    return race


def test_primary_is_kept_until_its_backup_delivers(race):
    """A chain that is closed when its backup is sent is missing if the backup is refused."""
    race.begin("backup")
    assert race.active == ["primary", "backup"]
    race.end("backup", False)
    assert race.active == ["primary"]
    assert race.deliver("primary") == []


@pytest.mark.parametrize(("first", "closed"), [("primary", "backup"), ("backup", "primary")])
def test_only_the_first_to_deliver_is_relayed(race, first, closed):
    """Parts of two runs must not alternate within a response."""
    race.begin("backup")
    assert race.deliver(first) == [closed]
    race.end(closed, True)
    assert race.active == [first]
    assert race.deliver(first) == []


def test_attempts_in_progress_count_as_runs(race):
    """Two attempts beside each other must not exceed the runs that the route allows."""
    assert race.may_begin(MAX_ATTEMPTS)
    race.begin("backup")
    assert not race.may_begin(MAX_ATTEMPTS)
    race.end("primary", True)
    assert not race.may_begin(MAX_ATTEMPTS)


def test_refused_backup_is_no_run(race):
    """A refusal must not use up the run that resumes the response."""
    race.begin("backup")
    race.end("backup", False)
    assert race.may_begin(MAX_ATTEMPTS)


def test_refusals_are_limited(race):
    """A request that each server refuses must not be sent for ever."""
    for number in range(3):
        race.begin(number)
        race.end(number, False)
    assert not race.may_begin(MAX_ATTEMPTS)


def test_request_that_may_run_once_has_no_backup():
    """A request that must not repeat is never sent to a second chain beside the first."""
    race = Race(1)
    race.begin("primary")
    assert not race.may_begin(MAX_ATTEMPTS)


def test_known_fault_is_backed_up_at_once():
    """A stream must not wait for the time-out if the member at fault is known."""
    assert should_back_up(Silence(0.1, is_fault_known=True, chains=2, silent_chains=2), 1.0)


def test_silence_of_all_chains_starts_second_runs_one_by_one():
    """Nodes that hear nothing from any chain must not repeat all their requests at once, but find
    out whether a chain that they don't use yet delivers."""
    assert should_back_up(Silence(5.0, chains=3, silent_chains=3), 1.0)
    assert not should_back_up(Silence(5.0, chains=3, silent_chains=3, since_backup_s=0.1), 1.0)
    assert should_back_up(Silence(5.0, chains=3, silent_chains=3, since_backup_s=0.6), 1.0)
    assert should_back_up(Silence(5.0, chains=3, silent_chains=2, since_backup_s=0.1), 1.0)


def test_attempts_in_progress_are_limited():
    """A route that allows many runs must not get all of them beside each other."""
    race = Race(10, max_active=3)
    for number in range(3):
        assert race.may_begin(10)
        race.begin(number)
    assert not race.may_begin(10)


def test_pause_of_the_node_is_no_silence_of_the_chain():
    """A node that stood still must not take the time for silence of its chains."""
    assert not should_back_up(Silence(1.4, held_up_s=1.3), 1.0)
