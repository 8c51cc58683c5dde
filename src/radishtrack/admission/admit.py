"""The admission decision of a holder, from the organisation's rate and the queue."""

from __future__ import annotations

from typing import Final

import attrs

from radishtrack.admission.fair_queue import FairQueue
from radishtrack.errors import ErrorCode, Failure, Outcome
from radishtrack.rates.messages import TokenRequest
from radishtrack.rates.share import Admitted, NeedTokens, ShareState

MAX_TOKEN_WAITERS: Final = 64
"""Requests of one organisation that may wait for tokens at one holder."""
MAX_REFUSAL_WAIT_MS: Final = 100.0
"""A request of an organisation over its rate waits up to this long for a retry."""


@attrs.define(frozen=True)
class Proceed:
    """The request may acquire a connection from the gate.

    Parameters
    ----------
    request : TokenRequest or None
        To be sent to the allocator in the background.
    """

    request: TokenRequest | None


@attrs.define(frozen=True)
class AwaitTokens:
    """Decide again after the next grant, or at `retry_at_ms`.

    Parameters
    ----------
    request : TokenRequest or None
        To be sent to the allocator now.
    retry_at_ms : float
        Time of the next decision if no grant arrives.
    """

    request: TokenRequest | None
    retry_at_ms: float


@attrs.define(frozen=True)
class Reject:
    """The request fails without having run.

    Parameters
    ----------
    failure : Failure
        Failure that the client gets.
    """

    failure: Failure


AdmissionDecision = Proceed | AwaitTokens | Reject


def decide_admission(
    share: ShareState,
    queue: FairQueue,
    now_ms: float,
    deadline_ms: float,
    *,
    waiting: int = 0,
    is_retry: bool = False,
) -> AdmissionDecision:
    """Decide on one request of the organisation of `share`.

    The queue is checked first, because a token of a request that the queue then
    refuses would be lost.

    Parameters
    ----------
    share : ShareState
        The organisation's tokens at this holder.
    queue : FairQueue
        Queue for the connections of the request's database.
    now_ms, deadline_ms : float
        Present time and the latest start of the request.
    waiting : int
        Other requests of the organisation that wait for tokens at this holder.
    is_retry : bool
        Whether the previous decision on this request was `AwaitTokens`.

    Returns
    -------
    Proceed, AwaitTokens or Reject
        Next step of the request.
    """
    refused = queue.check(share.organisation, now_ms, deadline_ms)
    if refused is not None:
        return _reject(ErrorCode.REFUSED, refused.reason, refused.estimated_wait_ms)
    decide = share.retry_admit if is_retry else share.try_admit
    admission = decide(now_ms)
    if isinstance(admission, Admitted):
        return Proceed(admission.request)
    if isinstance(admission, NeedTokens):
        # `retry_at_ms` is the timeout of the token request, not when its grant is
        # expected, so it is no reason to refuse a request with a short deadline.
        decision = AwaitTokens(
            admission.request, min(admission.retry_at_ms, deadline_ms)
        )
        if admission.request is not None:
            return decision
        if waiting >= MAX_TOKEN_WAITERS or now_ms >= deadline_ms:
            return _reject_over_rate(0.0)
        return decision
    retry_after_ms = admission.retry_after_ms
    retry_at_ms = now_ms + retry_after_ms
    if (
        retry_after_ms > MAX_REFUSAL_WAIT_MS
        or waiting >= MAX_TOKEN_WAITERS
        or retry_at_ms >= deadline_ms
    ):
        return _reject_over_rate(retry_after_ms)
    return AwaitTokens(None, retry_at_ms)


def _reject_over_rate(retry_after_ms: float) -> Reject:
    return _reject(ErrorCode.OVER_RATE, "organisation is over its rate", retry_after_ms)


def _reject(code: ErrorCode, message: str, retry_after_ms: float) -> Reject:
    return Reject(Failure("admit", "", Outcome.NOT_RUN, code, message, retry_after_ms))
