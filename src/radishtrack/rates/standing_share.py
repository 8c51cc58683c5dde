"""A holder's standing share: its fixed part of the limit, without an allocator.

While an allocator is available, the holder delegates the share to it; see `allocator`.
"""

from __future__ import annotations

import math

import attrs

from radishtrack.rates.bucket import Bucket, make_empty_bucket
from radishtrack.rates.messages import (
    DELEGATION_MS,
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
    """Revision of the latest lease record that was applied."""
    valid_until_ms: float = -math.inf
    delegated_until_ms: float = -math.inf
    """End of the delegation to the allocator."""
    received_ms: float = math.inf
    """When the holder received a share after having had none."""
    bucket: Bucket | None = None

    def try_consume(self, now_ms: float) -> bool:
        """Consume one token if the share is valid and not delegated."""
        if self.share is None or now_ms < self.delegated_until_ms:
            return False
        if now_ms >= self.valid_until_ms:
            self.discard()
            return False
        if self.bucket is None:
            start_ms = max(self.delegated_until_ms, self.received_ms)
            self.bucket = make_empty_bucket(*self._scale_to_limit(), start_ms)
        self.bucket.refill(now_ms)
        if self.bucket.available() < 1:
            return False
        self.bucket.consume(1)
        return True

    def apply(
        self, record: LeaseRecord, holder: str, read_sent_ms: float, now_ms: float
    ) -> None:
        """Apply a lease record unless a newer one was applied."""
        if record.revision < self.revision:
            return
        self.revision = record.revision
        share = next((s for s in record.standing_shares if s.holder == holder), None)
        if self.share is not None and now_ms >= self.valid_until_ms:
            self.discard()
        if share is None or share.burst == 0:
            self.discard()
            return
        if self.share is None:
            self.received_ms = now_ms
        self.valid_until_ms = max(
            self.valid_until_ms, read_sent_ms + STANDING_VALIDITY_MS
        )
        self.share = share
        self.share_limit = record.limit
        self._reconfigure(now_ms)

    def delegate(self, now_ms: float) -> None:
        """Leave the share unused for `DELEGATION_MS`; it starts empty after that."""
        self.delegated_until_ms = now_ms + DELEGATION_MS
        self.bucket = None

    def end_delegation(self, now_ms: float) -> None:
        """Allow use of the share from now on."""
        self.delegated_until_ms = min(self.delegated_until_ms, now_ms)

    def discard(self) -> None:
        """Discard the share."""
        self.share = None
        self.bucket = None
        self.valid_until_ms = -math.inf

    def set_limit(self, limit: RateLimit, now_ms: float) -> None:
        """Apply a newly configured limit; a lower one scales the share down."""
        self.limit = limit
        self._reconfigure(now_ms)

    def _reconfigure(self, now_ms: float) -> None:
        if self.bucket is not None and self.share is not None:
            self.bucket.refill(now_ms)
            self.bucket.configure(*self._scale_to_limit())

    def _scale_to_limit(self) -> tuple[int, int]:
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
