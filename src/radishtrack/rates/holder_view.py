"""What an allocator knows about a holder, and its fair part of scarce tokens."""

from __future__ import annotations

import math
from typing import Final

import attrs

from radishtrack.rates.fair_division import divide_fairly
from radishtrack.rates.messages import TokenGrant

CONTENTION_MS: Final = 1_000.0
"""A holder competes for tokens for this long after a request."""
RESERVE_MS: Final = 100.0
"""Tokens are set aside for this much of the part of a holder that got all it wanted."""
LOWEST_CREDIT: Final = -1.0
"""Tokens that nobody else claimed are not charged beyond this."""
CREDIT_MS: Final = 250.0
"""Credits of a holder that asks for nothing stop growing after this time."""


@attrs.define
class HolderView:
    """One holder as seen by the allocator."""

    credit_ms: float
    """Time up to which the credit is counted."""
    seen_ms: float
    last_request_id: int = 0
    last_grant: TokenGrant | None = None
    demand_per_second: float = 0.0
    wanted_ms: float = -math.inf
    """Last time it asked for tokens."""
    part_per_second: float = 0.0
    """Its part of the rate by max-min fairness."""
    credit: float = 0.0
    """Tokens of its part that it has not received."""
    lent_until_ms: float = -math.inf
    """The holder leaves its standing share unused until then."""
    revision: int = 0
    """Lease record whose standing share the holder applies."""
    is_leaving: bool = False
    is_gone: bool = False
    is_short: bool = False
    """Its last request was not granted in full."""

    def is_lending(self, now_ms: float) -> bool:
        """Return whether the holder surely leaves its standing share unused."""
        return self.is_leaving or now_ms < self.lent_until_ms

    def needs_standing_share(self) -> bool:
        """Return whether the holder is to have a standing share."""
        return not (self.is_leaving or self.is_gone)

    def is_contending(self, now_ms: float) -> bool:
        """Return whether the holder competes for tokens."""
        return now_ms - self.wanted_ms <= CONTENTION_MS

    def wait_ms(self) -> float:
        """Return the time until its part amounts to one token."""
        if self.credit >= 1.0 or self.part_per_second <= 0.0:
            return 0.0
        return (1.0 - self.credit) * 1000.0 / self.part_per_second


def accrue_credits(
    holders: dict[str, HolderView], rate_per_second: float, now_ms: float
) -> None:
    """Divide the rate over the contending holders and count their credits."""
    contending = {
        name: view for name, view in holders.items() if view.is_contending(now_ms)
    }
    parts = divide_fairly(
        {name: view.demand_per_second for name, view in contending.items()},
        rate_per_second,
    )
    for name, view in contending.items():
        view.part_per_second = parts[name]
        elapsed_ms = max(0.0, now_ms - view.credit_ms)
        ceiling = 1.0 + view.part_per_second * CREDIT_MS / 1000.0
        view.credit = min(
            ceiling, view.credit + view.part_per_second * elapsed_ms / 1000.0
        )
        view.credit_ms = now_ms


def fair_tokens(
    holders: dict[str, HolderView],
    view: HolderView,
    requested_tokens: int,
    available: int,
    now_ms: float,
) -> int:
    """Return the tokens for one request.

    A holder gets its credit, or what remains when the credits of the others are set
    aside, so unclaimed tokens are not held back.
    """
    if requested_tokens <= 0 or available <= 0:
        return 0
    others = _contenders(holders, view, now_ms)
    reserved = int(sum(_reserved(other) for other in others))
    most = int(max(view.credit, available - reserved))
    if most < 1 and all(view.credit >= other.credit for other in others):
        # Less than one token each: it goes to the holder that is owed most.
        most = 1
    return max(0, min(requested_tokens, available, most))


def has_contenders(
    holders: dict[str, HolderView], view: HolderView, now_ms: float
) -> bool:
    """Return whether other holders wait for tokens."""
    return any(other.is_short for other in _contenders(holders, view, now_ms))


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
    if view.is_short:
        return credit
    return min(credit, view.part_per_second * RESERVE_MS / 1000.0)


def make_holder_view(now_ms: float) -> HolderView:
    """Return the view of a holder that asked for nothing yet."""
    return HolderView(now_ms, now_ms)
