"""Checks the retry budget: retries must not multiply the load of a failing database."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from radishtrack.admission.retry_budget import make_retry_budget


@settings(max_examples=100, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from([0.0, 3.0, 90.0, 700.0]), st.integers(0, 150)),
        max_size=40,
    )
)
def test_retries_of_every_second_stay_within_ten_percent_plus_ten(
    steps: list[tuple[float, int]],
) -> None:
    budget = make_retry_budget()
    now_ms = 5_000.0
    requests: list[float] = []
    retries: list[float] = []
    for delay_ms, count in steps:
        now_ms += delay_ms
        for _ in range(count):
            budget.count_request(now_ms)
            requests.append(now_ms)
        for _ in range(40):
            if budget.try_retry(now_ms):
                retries.append(now_ms)
        recent_requests = sum(at_ms > now_ms - 1_000.0 for at_ms in requests)
        recent_retries = sum(at_ms > now_ms - 1_000.0 for at_ms in retries)
        assert recent_retries <= 0.1 * recent_requests + 10


def test_an_idle_database_allows_ten_retries_a_second() -> None:
    budget = make_retry_budget()
    assert sum(budget.try_retry(0.0) for _ in range(30)) == 10
    assert not budget.try_retry(900.0)
    assert budget.try_retry(1_100.0)


def test_one_more_retry_for_each_ten_requests_of_the_same_second() -> None:
    budget = make_retry_budget()
    retries = 0
    for start_ms in range(0, 1_000, 50):
        for _ in range(10):
            budget.count_request(start_ms)
        retries += sum(budget.try_retry(start_ms + 20.0) for _ in range(99))
    # The last retry follows the requests of 19 intervals.
    assert retries == 10 + 19


def test_requests_before_a_window_do_not_allow_retries_in_it() -> None:
    """Ten retries fit into a window that begins after 200 requests, not thirty."""
    budget = make_retry_budget()
    for _ in range(200):
        budget.count_request(10.0)
    assert sum(budget.try_retry(800.0) for _ in range(99)) == 10


def test_retries_stay_within_the_limit_after_their_requests_left_the_window() -> None:
    """A retry was allowed by a request that left the window before the retry did."""
    budget = make_retry_budget()
    assert sum(budget.try_retry(5_000.0) for _ in range(40)) == 10
    budget.count_request(5_700.0)
    for _ in range(9):
        budget.count_request(6_400.0)
    # At 7,100 ms the window holds nine requests and these retries.
    assert sum(budget.try_retry(6_400.0) for _ in range(40)) <= 0.1 * 9 + 10
