"""Plans the standing shares that an allocator writes into its lease record."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

import attrs

from radishtrack.rates.messages import LeaseRecord, RateLimit, StandingShare

STANDING_DIVISOR: Final = 2
"""Standing shares together have at most half of the limit."""


@attrs.define(frozen=True)
class Amount:
    """A rate in millionths of a request per second, and a burst."""

    rate_micro: int
    burst: int


ZERO_AMOUNT: Final = Amount(0, 0)


def sum_held(shares: Iterable[StandingShare]) -> Amount:
    """Return the most that the holders of `shares` may use together."""
    held = list(shares)
    return Amount(
        sum(share.held_rate_micro for share in held),
        sum(share.held_burst for share in held),
    )


def sum_set_aside(records: Iterable[LeaseRecord], delegating: set[str]) -> Amount:
    """Return the most that holders may use, whichever of `records` is in force.

    Parameters
    ----------
    records : iterable of LeaseRecord
        The record in force and those of pending writes.
    delegating : set of str
        Holders that leave their share unused.
    """
    largest: dict[str, Amount] = {}
    for record in records:
        for share in record.standing_shares:
            if share.holder in delegating:
                continue
            largest_yet = largest.get(share.holder, ZERO_AMOUNT)
            largest[share.holder] = Amount(
                max(largest_yet.rate_micro, share.held_rate_micro),
                max(largest_yet.burst, share.held_burst),
            )
    return Amount(
        sum(amount.rate_micro for amount in largest.values()),
        sum(amount.burst for amount in largest.values()),
    )


def plan_shares(
    previous: Iterable[StandingShare],
    holders: Iterable[str],
    limit: RateLimit,
    revision: int,
    is_applied: Callable[[StandingShare], bool],
) -> tuple[StandingShare, ...]:
    """Divide half of the limit equally between the holders.

    A share that shrinks stays set aside at its old size until its holder certainly
    applies the new one, so shares only grow into what is free.

    Parameters
    ----------
    previous : iterable of StandingShare
        Shares of the last record.
    holders : iterable of str
        Holders that need a share, by descending priority.
    limit : RateLimit
        Configured limit.
    revision : int
        Revision of the planned record.
    is_applied : callable
        Returns whether the holder of a share can no longer use an older, larger one.

    Returns
    -------
    tuple of StandingShare
        Their held parts add up to at most half of the limit, if those of `previous` do.
    """
    half_rate = limit.rate_micro // STANDING_DIVISOR
    half_burst = limit.burst // STANDING_DIVISOR
    # A share with a burst below one request could never be used.
    selected = list(holders)[:half_burst]
    count = max(1, len(selected))
    target = Amount(half_rate // count, half_burst // count)
    shares = {
        share.holder: _shrink(
            share, target, share.holder in selected, revision, is_applied
        )
        for share in previous
    }
    for holder in selected:
        held = sum_held(shares.values())
        free = Amount(half_rate - held.rate_micro, half_burst - held.burst)
        share = shares.get(holder, StandingShare(holder, 0, 0, revision, 0, 0))
        shares[holder] = _grow(share, target, free, revision)
    return tuple(
        share
        for _, share in sorted(shares.items())
        if share.held_burst > 0 or share.held_rate_micro > 0
    )


def _shrink(
    share: StandingShare,
    target: Amount,
    is_selected: bool,
    revision: int,
    is_applied: Callable[[StandingShare], bool],
) -> StandingShare:
    if is_applied(share):
        share = attrs.evolve(
            share, held_rate_micro=share.rate_micro, held_burst=share.burst
        )
    rate_micro = min(share.rate_micro, target.rate_micro) if is_selected else 0
    burst = min(share.burst, target.burst) if is_selected else 0
    return _resize(share, rate_micro, burst, revision)


def _grow(
    share: StandingShare, target: Amount, free: Amount, revision: int
) -> StandingShare:
    max_rate_micro = share.held_rate_micro + max(0, free.rate_micro)
    max_burst = share.held_burst + max(0, free.burst)
    rate_micro = max(share.rate_micro, min(target.rate_micro, max_rate_micro))
    burst = max(share.burst, min(target.burst, max_burst))
    if burst == 0 or rate_micro == 0:
        return share
    return _resize(share, rate_micro, burst, revision)


def _resize(
    share: StandingShare, rate_micro: int, burst: int, revision: int
) -> StandingShare:
    if (rate_micro, burst) == (share.rate_micro, share.burst):
        return share
    return StandingShare(
        share.holder,
        rate_micro,
        burst,
        revision,
        max(share.held_rate_micro, rate_micro),
        max(share.held_burst, burst),
    )
