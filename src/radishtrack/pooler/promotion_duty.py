"""The duty to order promotions, held by one node at a time under a lease."""

from __future__ import annotations

from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.pooler.duties import NO_HOLDER
from radishtrack.pooler.ports import Duty
from radishtrack.pooler.store_copy import StoreCopy
from radishtrack.revision import get_era

PROMOTION_DUTY: Final = "promotion"
"""Name of the duty's record in the store."""
DUTY_LEASE_MS: Final = 3_000.0
"""Time during which other nodes respect a claim. The longest step of a promotion,
waiting until evidence has expired, takes 2 s; the claim is renewed after it."""
ORDER_MARGIN_MS: Final = 800.0
"""Time that a claim must have left when a promotion is ordered."""
RENEW_AFTER_MS: Final = 1_000.0
"""Age at which a claim is renewed before the next step. A promotion without failures
takes less, so it needs no second call of the store."""


@attrs.define
class Claim:
    """A node's claim of the duty.

    Parameters
    ----------
    duty : Duty
        The record; its revision is the fencing token.
    requested_ms : float
        Time at which the claim was sent.
    """

    duty: Duty
    requested_ms: float


@attrs.define(eq=False)
class PromotionDuty:
    """One node's view of the duty."""

    name: str
    clock: Clock
    store_copy: StoreCopy

    def is_held_by_other(self) -> bool:
        """Return whether another node may hold the duty and its lease may still run.

        A restored store may have lost the record of the holder.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self.store_copy.settling.restored_ms < DUTY_LEASE_MS:
            return True
        observed = self.store_copy.duties.find(PROMOTION_DUTY)
        age_ms = now_ms - observed.observed_ms
        return self.is_taken_over() and age_ms < DUTY_LEASE_MS

    async def claim(self) -> Claim | None:
        """Claim the duty; return None if another node holds it.

        Raises
        ------
        StoreUnavailable
            If it is unknown whether the claim has succeeded.
        """
        if self.is_held_by_other():
            return None
        requested_ms = self.clock.now_ms()
        duty = await self.store_copy.duties.claim(PROMOTION_DUTY)
        if duty is None or get_era(duty.revision) != self.store_copy.era:
            return None
        return Claim(duty, requested_ms)

    async def renew(self, claim: Claim) -> bool:
        """Renew a claim that is old; return whether the promotion may go on.

        It may not if another node holds the duty, or if the store was restored after
        the claim: the renewal is then a record of the next era, but the announcement of
        the promotion's term may be lost.

        Raises
        ------
        StoreUnavailable
            If it is unknown whether the claim has succeeded.
        """
        observed = self.store_copy.duties.find(PROMOTION_DUTY).duty
        if observed.revision != claim.duty.revision or self.is_outdated(claim):
            return False
        requested_ms = self.clock.now_ms()
        if requested_ms - claim.requested_ms < RENEW_AFTER_MS:
            return True
        duty = await self.store_copy.duties.claim(PROMOTION_DUTY)
        if duty is None:
            # The record was replaced by another node or lost by a restored store.
            await self.store_copy.read_records()
            return False
        if get_era(duty.revision) > get_era(claim.duty.revision):
            return False
        claim.duty, claim.requested_ms = duty, requested_ms
        return True

    def may_order(self, claim: Claim) -> bool:
        """Return whether a claim lasts long enough for an order to arrive."""
        age_ms = self.clock.now_ms() - claim.requested_ms
        is_recent = age_ms <= DUTY_LEASE_MS - ORDER_MARGIN_MS
        return is_recent and not self.is_outdated(claim)

    def is_taken_over(self) -> bool:
        """Return whether the last observed record names another holder."""
        observed = self.store_copy.duties.find(PROMOTION_DUTY).duty
        return observed.holder not in (NO_HOLDER, self.name)

    def is_outdated(self, claim: Claim) -> bool:
        """Return whether the store was restored after a claim.

        It may have lost the claim and the announcement of the term. A response to a
        later claim of this process can show the restore before the copy has read it.
        """
        era = self.store_copy.era
        observed = self.store_copy.duties.find(PROMOTION_DUTY).duty
        if self.store_copy.duties.is_own_claim(observed):
            era = max(era, get_era(observed.revision))
        return get_era(claim.duty.revision) < era
