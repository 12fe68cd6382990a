"""Tests of the retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from basilwinch.forward.budget import RetryBudget


@given(
    steps=st.lists(st.tuples(st.floats(0, 3), st.integers(0, 4), st.booleans()), max_size=80),
    nodes=st.integers(1, 70),
    leaves_reserve=st.booleans(),
)
def test_no_window_holds_more_retries_than_allowed_over_all_nodes(steps, nodes, leaves_reserve):
    """Guards against retry storms: a node that retries as often as it may stays within its part."""
    now = 0.0
    budget = RetryBudget(0.2, 196, 10.0, lambda: nodes, lambda: now)
    requests, retries = [], []
    for pause, count, retry in steps:
        now += pause
        for _ in range(count):
            budget.count_request("s")
            requests.append(now)
        while retry and budget.take("s", leaves_reserve):
            retries.append(now)
    for end in retries:
        inside = sum(end - 10 <= t <= end for t in retries)
        asked = sum(end - 10 <= t <= end for t in requests)
        assert inside <= 0.2 * asked + 196 / nodes + 0.2 * len(requests) + 1


def test_retries_of_new_requests_leave_some_for_responses_that_have_begun():
    """Guards against a broken stream that is lost as requests that servers reject, and that their
    callers can send again, have used up the budget."""
    budget = RetryBudget(0.2, 40, 10.0, lambda: 1, lambda: 0.0)
    while budget.take("s", leaves_reserve=True):
        pass
    assert budget.take("s")
