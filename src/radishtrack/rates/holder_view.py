"""An allocator's view of its holders, and their fair shares of scarce tokens."""

from __future__ import annotations

import math
from typing import Final

import attrs

from radishtrack.rates.fair_division import divide_fairly
from radishtrack.rates.messages import TokenGrant

CONTENTION_MS: Final = 1_000.0
"""A holder competes for tokens for this long after it requested some."""
RESERVE_MS: Final = 100.0
"""Of the credit of a holder whose last request was granted in full, at most its fair
share of this time is set aside."""
MIN_CREDIT: Final = -1.0
"""Lower limit of a credit: tokens unclaimed by others are not charged beyond it."""
MAX_CREDIT_MS: Final = 250.0
"""Caps the credit of a holder that requests nothing: 1 token, plus its fair share of
this time."""


@attrs.define
class HolderView:
    """The allocator's view of one holder."""

    credit_ms: float
    """Time up to which the credit is counted."""
    last_request_ms: float
    last_request_id: int = 0
    last_grant: TokenGrant | None = None
    demand_per_second: float = 0.0
    tokens_requested_ms: float = -math.inf
    """Last time it requested tokens."""
    fair_share_per_second: float = 0.0
    """Its max-min fair share of the rate."""
    credit: float = 0.0
    """Tokens of its fair share that it has not received."""
    delegated_until_ms: float = -math.inf
    """The holder leaves its standing share unused until then."""
    revision: int = 0
    """Revision of the lease record whose standing share the holder applies."""
    is_leaving: bool = False
    is_replaced: bool = False
    has_shortfall: bool = False
    """Whether its last request was not granted in full."""

    def is_delegating(self, now_ms: float) -> bool:
        """Return whether the holder certainly leaves its standing share unused."""
        return self.is_leaving or now_ms < self.delegated_until_ms

    def needs_standing_share(self) -> bool:
        """Return whether the holder should have a standing share."""
        return not (self.is_leaving or self.is_replaced)

    def is_contending(self, now_ms: float) -> bool:
        """Return whether the holder competes for tokens."""
        return now_ms - self.tokens_requested_ms <= CONTENTION_MS

    def wait_ms(self) -> float:
        """Return the time until its credit amounts to one token."""
        if self.credit >= 1.0 or self.fair_share_per_second <= 0.0:
            return 0.0
        return (1.0 - self.credit) * 1000.0 / self.fair_share_per_second


def accrue_credits(
    holders: dict[str, HolderView], rate_per_second: float, now_ms: float
) -> None:
    """Divide the rate between the contending holders and update their credits."""
    contending = {
        name: view for name, view in holders.items() if view.is_contending(now_ms)
    }
    fair_shares = divide_fairly(
        {name: view.demand_per_second for name, view in contending.items()},
        rate_per_second,
    )
    for name, view in contending.items():
        view.fair_share_per_second = fair_shares[name]
        elapsed_ms = max(0.0, now_ms - view.credit_ms)
        ceiling = 1.0 + view.fair_share_per_second * MAX_CREDIT_MS / 1000.0
        view.credit = min(
            ceiling, view.credit + view.fair_share_per_second * elapsed_ms / 1000.0
        )
        view.credit_ms = now_ms


def fair_tokens(
    holders: dict[str, HolderView],
    view: HolderView,
    token_count: int,
    available: int,
    now_ms: float,
) -> int:
    """Return the number of tokens to grant to one request.

    A holder gets its credit, or what remains when the credits of the others are set
    aside if that is more, so that unclaimed tokens are not held back.
    """
    if token_count <= 0 or available <= 0:
        return 0
    others = _contenders(holders, view, now_ms)
    reserved = int(sum(_reserved(other) for other in others))
    most = int(max(view.credit, available - reserved))
    if most < 1 and all(view.credit >= other.credit for other in others):
        # No holder has a whole token of credit: the one with the most gets one.
        most = 1
    return max(0, min(token_count, available, most))


def has_contenders(
    holders: dict[str, HolderView], view: HolderView, now_ms: float
) -> bool:
    """Return whether other holders wait for tokens."""
    return any(other.has_shortfall for other in _contenders(holders, view, now_ms))


def _contenders(
    holders: dict[str, HolderView], view: HolderView, now_ms: float
) -> list[HolderView]:
    return [
        other
        for other in holders.values()
        if other is not view and other.is_contending(now_ms)
    ]


def _reserved(view: HolderView) -> float:
    credit = max(0.0, view.credit)
    if view.has_shortfall:
        return credit
    return min(credit, view.fair_share_per_second * RESERVE_MS / 1000.0)


def make_holder_view(now_ms: float) -> HolderView:
    """Return the view of a holder that has made no request yet."""
    return HolderView(now_ms, now_ms)
