"""Checks which requests are refused and why, and that a refusal consumes no token."""

from __future__ import annotations

import pytest

from radishtrack.admission.admit import (
    MAX_TOKEN_WAITERS,
    AwaitTokens,
    Proceed,
    Reject,
    decide_admission,
)
from radishtrack.admission.fair_queue import FairQueue, make_fair_queue
from radishtrack.errors import ErrorCode, Outcome
from radishtrack.rates.messages import Stamp, TokenGrant, make_rate_limit
from radishtrack.rates.share import ShareState, make_share_state


def make_share(tokens: int, retry_after_ms: float = 0.0) -> ShareState:
    share = make_share_state("org", "h", make_rate_limit(100, 100), 0.0)
    share.make_request(0.0, 1)
    stamp = Stamp(1, 1, 0.0)
    grant = TokenGrant("org", "h", 1, stamp, tokens, 500.0, retry_after_ms)
    share.on_grant(grant, 0.0)
    return share


def make_queue(*, is_full: bool = False) -> FairQueue:
    queue = make_fair_queue(1)
    if is_full:
        queue.service_ms = 1_000.0
        queue.offer("other", 0.0, 1e6)
    return queue


@pytest.mark.parametrize(
    ("tokens", "retry_after_ms", "deadline_ms", "waiting", "is_full", "expected"),
    [
        (1, 0.0, 100.0, 0, False, Proceed),
        (0, 0.0, 100.0, 0, False, AwaitTokens),
        (0, 50.0, 100.0, 0, False, AwaitTokens),
        (0, 50.0, 40.0, 0, False, ErrorCode.OVER_RATE),
        (0, 300.0, 900.0, 0, False, ErrorCode.OVER_RATE),
        (0, 50.0, 100.0, MAX_TOKEN_WAITERS, False, ErrorCode.OVER_RATE),
        (1, 0.0, 100.0, 0, True, ErrorCode.REFUSED),
        (1, 0.0, 0.0, 0, False, ErrorCode.REFUSED),
    ],
)
def test_admission_depends_on_rate_and_queue(
    tokens: int,
    retry_after_ms: float,
    deadline_ms: float,
    waiting: int,
    is_full: bool,
    expected: type | ErrorCode,
) -> None:
    share = make_share(tokens, retry_after_ms)
    queue = make_queue(is_full=is_full)
    decision = decide_admission(share, queue, 1.0, deadline_ms, waiting=waiting)
    if isinstance(decision, Reject):
        assert decision.failure.code == expected
        assert decision.failure.outcome is Outcome.NOT_RUN
        assert share.held_tokens() == tokens
    else:
        assert type(decision) is expected


def test_waiting_requests_count_once_as_demand() -> None:
    """If retries counted as demand, they would raise the number of requested tokens."""
    share = make_share(0, 10.0)
    decide_admission(share, make_queue(), 1.0, 100.0)
    before = share.demand.weight
    decide_admission(share, make_queue(), 1.0, 100.0, is_retry=True)
    assert share.demand.weight == before
