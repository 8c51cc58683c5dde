"""A holder's standing share: its fixed part of the limit without an allocator."""

from __future__ import annotations

import math

import attrs

from radishtrack.rates.bucket import Bucket, make_empty_bucket
from radishtrack.rates.messages import (
    LOAN_MS,
    STANDING_VALIDITY_MS,
    LeaseRecord,
    RateLimit,
    StandingShare,
)


@attrs.define
class StandingState:
    """Standing share of one organisation at one holder.

    Parameters
    ----------
    limit : RateLimit
        Configured limit of the organisation.
    """

    limit: RateLimit
    share: StandingShare | None = None
    share_limit: RateLimit | None = None
    """Limit from which the share was computed."""
    revision: int = 0
    """Revision of the lease record that is applied."""
    valid_until_ms: float = -math.inf
    dormant_until_ms: float = -math.inf
    """End of the loan to the allocator."""
    owned_from_ms: float = math.inf
    """When the present share was received."""
    bucket: Bucket | None = None

    def try_take(self, now_ms: float) -> bool:
        """Use one token of the share if it is active."""
        if self.share is None or now_ms < self.dormant_until_ms:
            return False
        if now_ms >= self.valid_until_ms:
            self.give_up()
            return False
        if self.bucket is None:
            start_ms = max(self.dormant_until_ms, self.owned_from_ms)
            self.bucket = make_empty_bucket(*self._scaled(), start_ms)
        self.bucket.refill(now_ms)
        if self.bucket.available() < 1:
            return False
        self.bucket.consume(1)
        return True

    def apply(
        self, record: LeaseRecord, holder: str, read_sent_ms: float, now_ms: float
    ) -> None:
        """Apply a lease record; one that is older than the applied one is ignored."""
        if record.revision < self.revision:
            return
        self.revision = record.revision
        share = next((s for s in record.standing_shares if s.holder == holder), None)
        if self.share is not None and now_ms >= self.valid_until_ms:
            self.give_up()
        if share is None or share.burst == 0:
            self.give_up()
            return
        if self.share is None:
            self.owned_from_ms = now_ms
        self.valid_until_ms = max(
            self.valid_until_ms, read_sent_ms + STANDING_VALIDITY_MS
        )
        self.share = share
        self.share_limit = record.limit
        self._reconfigure(now_ms)

    def lend(self, now_ms: float) -> None:
        """Leave the share unused for `LOAN_MS`; it is empty after that."""
        self.dormant_until_ms = now_ms + LOAN_MS
        self.bucket = None

    def end_loan(self, now_ms: float) -> None:
        """Allow use of the share from now on."""
        self.dormant_until_ms = min(self.dormant_until_ms, now_ms)

    def give_up(self) -> None:
        """Forget the share."""
        self.share = None
        self.bucket = None
        self.valid_until_ms = -math.inf

    def set_limit(self, limit: RateLimit, now_ms: float) -> None:
        """Apply a new configuration: the share shrinks with the limit."""
        self.limit = limit
        self._reconfigure(now_ms)

    def _reconfigure(self, now_ms: float) -> None:
        if self.bucket is not None and self.share is not None:
            self.bucket.refill(now_ms)
            self.bucket.configure(*self._scaled())

    def _scaled(self) -> tuple[int, int]:
        assert self.share is not None and self.share_limit is not None
        old = self.share_limit
        rate_micro = (
            self.share.rate_micro
            * min(self.limit.rate_micro, old.rate_micro)
            // max(1, old.rate_micro)
        )
        burst = self.share.burst * min(self.limit.burst, old.burst) // old.burst
        return rate_micro, burst


def make_standing_state(limit: RateLimit) -> StandingState:
    """Return the state of a holder without a standing share."""
    return StandingState(limit)
