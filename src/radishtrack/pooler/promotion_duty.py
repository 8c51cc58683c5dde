"""The duty to order promotions, which one node at a time has for a short time."""

from __future__ import annotations

from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.pooler.control import NOBODY, Control
from radishtrack.pooler.ports import Duty

PROMOTION_DUTY: Final = "promotion"
"""Name of the duty's record in the store."""
DUTY_LEASE_MS: Final = 3_000.0
"""How long other nodes leave a claim alone. The longest step of a promotion, waiting
until evidence has ended, takes 2 s, and the claim is renewed after it."""
ORDER_MARGIN_MS: Final = 800.0
"""An order is given only while its claim has so much time left."""
RENEW_AFTER_MS: Final = 1_000.0
"""Age at which a claim is renewed before the next step; a promotion without trouble
takes less, and needs no second call of the store."""


@attrs.define
class Claim:
    """A node's hold on the duty.

    Parameters
    ----------
    duty : Duty
        The record; its revision is the fencing token.
    asked_ms : float
        When the claim was sent.
    """

    duty: Duty
    asked_ms: float


@attrs.define(eq=False)
class PromotionDuty:
    """One node's view of the duty."""

    name: str
    clock: Clock
    control: Control

    def is_taken(self) -> bool:
        """Tell whether another node has claimed the duty a moment ago."""
        known = self.control.find_duty(PROMOTION_DUTY)
        age_ms = self.clock.now_ms() - known.seen_ms
        return known.duty.holder not in (NOBODY, self.name) and age_ms < DUTY_LEASE_MS

    async def claim(self) -> Claim | None:
        """Become the node that may order promotions; None if another one is.

        Raises
        ------
        StoreUnavailable
            If it is not known whether the claim has succeeded.
        """
        if self.is_taken():
            return None
        asked_ms = self.clock.now_ms()
        duty = await self.control.claim_duty(PROMOTION_DUTY)
        return Claim(duty, asked_ms) if duty is not None else None

    async def renew(self, claim: Claim) -> bool:
        """Claim again if the claim is old; return whether this node has the duty.

        Raises
        ------
        StoreUnavailable
            If it is not known whether the claim has succeeded.
        """
        known = self.control.find_duty(PROMOTION_DUTY).duty
        if known.revision != claim.duty.revision:
            return False
        asked_ms = self.clock.now_ms()
        if asked_ms - claim.asked_ms < RENEW_AFTER_MS:
            return True
        duty = await self.control.claim_duty(PROMOTION_DUTY)
        if duty is None:
            return False
        claim.duty, claim.asked_ms = duty, asked_ms
        return True

    def may_order(self, claim: Claim) -> bool:
        """Tell whether a claim certainly lasts until an order has arrived."""
        age_ms = self.clock.now_ms() - claim.asked_ms
        return age_ms <= DUTY_LEASE_MS - ORDER_MARGIN_MS
