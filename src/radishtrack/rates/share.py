"""The holder's side of an organisation's rate: grants, batches, standing share."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

import attrs

from radishtrack.rates.bucket import Bucket
from radishtrack.rates.demand import DemandMeter, make_demand_meter
from radishtrack.rates.messages import (
    LeaseRecord,
    RateLimit,
    Stamp,
    StandingShare,
    TokenGrant,
    TokenRequest,
)

REQUEST_TIMEOUT_MS: Final = 100.0
FAILURE_RETRY_MS: Final = 100.0
"""Pause after a request could not be delivered to the allocator."""
BATCH_HORIZON_MS: Final = 100.0
"""A batch covers this much of the recent demand."""
HEARTBEAT_MS: Final = 4000.0
"""Longest pause between requests of an idle holder, so that its share stays lent."""
RETURN_MARGIN_MS: Final = 50.0
"""Unused tokens are given back when the grant's remaining validity is this short."""


@attrs.define(frozen=True)
class Admitted:
    """The request is within the rate.

    Parameters
    ----------
    request : TokenRequest or None
        To be sent to the allocator in the background.
    """

    request: TokenRequest | None = None


@attrs.define(frozen=True)
class NeedTokens:
    """No token is held; try again after the next grant, or at `retry_at_ms`.

    Parameters
    ----------
    request : TokenRequest or None
        To be sent to the allocator; None while another request is pending.
    retry_at_ms : float
        Time of the next attempt if no grant arrives.
    """

    request: TokenRequest | None
    retry_at_ms: float


@attrs.define(frozen=True)
class Refused:
    """The organisation is over its rate.

    Parameters
    ----------
    retry_after_ms : float
        Earliest useful time of a retry, in milliseconds from now.
    """

    retry_after_ms: float


Admission = Admitted | NeedTokens | Refused


@attrs.define
class HeldGrant:
    """Tokens of one grant at the holder."""

    request_id: int
    tokens: int
    expires_ms: float
    settle_at_once: bool


@attrs.define
class ShareState:
    """One organisation at one holder.

    Parameters
    ----------
    organisation : str
        The organisation.
    holder : str
        Name of this holder, unique for each process start.
    limit : RateLimit
        Configured limit of the organisation.
    demand : DemandMeter
        Recent arrivals.
    """

    organisation: str
    holder: str
    limit: RateLimit
    demand: DemandMeter
    grants: deque[HeldGrant] = attrs.field(factory=deque)
    pending: dict[int, float] = attrs.field(factory=dict)
    """Time at which each unanswered request was sent."""
    next_request_id: int = 1
    refused_until_ms: float = -math.inf
    last_sent_ms: float = -math.inf
    epoch: int = 0
    latest_stamp: Stamp | None = None
    echo: Stamp | None = None
    dormant_until_ms: float = -math.inf
    """The standing share is not used before this time."""
    standing: StandingShare | None = None
    standing_limit: RateLimit | None = None
    standing_revision: int = 0
    standing_until_ms: float = -math.inf
    standing_bucket: Bucket | None = None

    def try_admit(self, now_ms: float) -> Admission:
        """Decide on one request.

        A caller that got `NeedTokens` and calls again for the same request uses
        `retry_admit`, so that the request counts once as demand.
        """
        self.demand.count(now_ms)
        return self.retry_admit(now_ms)

    def retry_admit(self, now_ms: float) -> Admission:
        """Decide again on a request that waited for tokens."""
        raise NotImplementedError

    def on_grant(self, grant: TokenGrant, now_ms: float) -> bool:
        """Take the tokens of a grant; return whether it was accepted."""
        raise NotImplementedError

    def on_request_failed(self, request_id: int, now_ms: float) -> None:
        """Note that a request did not reach an allocator."""
        raise NotImplementedError

    def on_record(self, record: LeaseRecord, read_sent_ms: float) -> None:
        """Apply the standing share of a lease record.

        Parameters
        ----------
        record : LeaseRecord
            Record as read from the platform.
        read_sent_ms : float
            When this node sent the read, or the watch call, that returned it.
        """
        raise NotImplementedError

    def tick(self, now_ms: float) -> TokenRequest | None:
        """Return a request that gives back unused tokens or renews the loan."""
        raise NotImplementedError

    def leave(self, now_ms: float) -> TokenRequest:
        """Return the request that gives everything back when the holder drains."""
        raise NotImplementedError

    def set_limit(self, limit: RateLimit, now_ms: float) -> None:
        """Apply a new configuration."""
        raise NotImplementedError


def make_share_state(
    organisation: str, holder: str, limit: RateLimit, now_ms: float
) -> ShareState:
    """Return the state of an organisation that holds no tokens."""
    return ShareState(organisation, holder, limit, make_demand_meter(now_ms))
