"""Tests that retries can't double an overload."""

from __future__ import annotations

from radishtrack.pooler.catalog import ReadClass, Route
from radishtrack.pooler.retry import MAX_ATTEMPTS, make_attempt_plan
from radishtrack.pooler.scheduling.retry_limit import RetryLimit

ROUTE = Route("d", "g", ReadClass.STRICT, 0.0, 800.0, 153.0, 0, False)


def count_retries(limit: RetryLimit | None, *, is_sent: bool) -> int:
    """Return the retries of 1,000 statements in 10 s whose attempts all fail."""
    retries = 0
    for number in range(1_000):
        now_ms = 10.0 * number
        plan = make_attempt_plan(ROUTE, now_ms)
        plan.limit = limit
        if limit is not None:
            limit.count_first()
        plan.attempts, plan.is_sent = 1, is_sent
        # A read asks twice for each retry.
        while plan.may_retry(now_ms) and plan.may_retry(now_ms):
            retries += 1
            plan.attempts += 1
    return retries


def test_retries_are_a_fraction_of_first_attempts() -> None:
    """Before, 1,000 failing statements were sent 6,000 times."""
    assert count_retries(None, is_sent=True) == 1_000 * (MAX_ATTEMPTS - 1)
    assert 200 <= count_retries(RetryLimit(), is_sent=True) <= 235


def test_statements_that_were_not_sent_use_up_no_retries() -> None:
    limit = RetryLimit()
    assert count_retries(limit, is_sent=False) == 1_000 * (MAX_ATTEMPTS - 1)
    assert limit.try_retry(10_000.0)
