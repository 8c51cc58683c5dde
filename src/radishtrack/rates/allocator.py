"""The allocator of one organisation: keeps the token bucket and grants tokens.

A standing share is the fixed part of the limit that a holder may use without the
allocator. It is set aside unless the holder delegates it: the holder then leaves it
unused for `DELEGATION_MS` from the receipt of a grant, and echoes the grant's stamp.
The allocator counts this time from when it made the grant.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

from radishtrack.rates.bucket import Bucket, make_empty_bucket
from radishtrack.rates.holder_view import (
    MIN_CREDIT,
    HolderView,
    accrue_credits,
    fair_tokens,
    has_contenders,
    make_holder_view,
)
from radishtrack.rates.lease import (
    LEASE_MS,
    LeaseState,
    LeaseWrite,
    PendingWrite,
    make_lease_state,
)
from radishtrack.rates.messages import (
    DELEGATION_MS,
    DRIFT_MARGIN,
    MAX_GRANT_VALIDITY_MS,
    MICRO,
    MIN_GRANT_VALIDITY_MS,
    STANDING_VALIDITY_MS,
    LeaseRecord,
    NotAllocator,
    RateLimit,
    ReleasedLevel,
    Stamp,
    StandingShare,
    TokenGrant,
    TokenRequest,
)
from radishtrack.rates.reservations import Reservations, make_reservations
from radishtrack.rates.standing_plan import Amount, plan_shares, sum_set_aside

DELEGATION_STOP_MS: Final = 4_000.0
"""Delegations end when the rest of the lease is this short, so that the holders
have their standing shares before a platform outage ends the lease."""
MIN_RETRY_MS: Final = 25.0
"""Limits how often a holder requests tokens while its organisation is over its rate."""
MAX_RETRY_MS: Final = 1_000.0
MAX_CONTENTION_WAIT_MS: Final = 100.0
"""Longest retry time that is due to other holders waiting for tokens."""
HOLDER_RETENTION_MS: Final = STANDING_VALIDITY_MS


@attrs.define
class Allocator:
    """One node's state for the allocation of one organisation's tokens.

    Parameters
    ----------
    organisation : str
        The organisation.
    limit : RateLimit
        Configured limit of the organisation.
    lease : LeaseState
        Lease of the organisation.
    """

    organisation: str
    limit: RateLimit
    lease: LeaseState
    bucket: Bucket | None = None
    epoch: int = 0
    sequence: int = 0
    holders: dict[str, HolderView] = attrs.field(factory=dict)
    reservations: Reservations = attrs.field(factory=make_reservations)
    delegations_ended_ms: float = -math.inf
    """Echoes of grants made up to this time start no delegation."""
    share_in_force_ms: dict[StandingShare, float] = attrs.field(factory=dict)
    """When a write of this allocator that contains the share was first confirmed."""
    released: ReleasedLevel | None = None

    def observe(self, record: LeaseRecord | None, version: int, now_ms: float) -> None:
        """Apply the result of a read or watch; version 0 if there is no record."""
        pending = self.lease.find_own_write(record)
        if pending is not None:
            self._confirm(pending, version, now_ms)
            return
        self.lease.observe(record, version, now_ms)
        if not self.lease.is_own:
            self.bucket = None

    def should_acquire(self, now_ms: float) -> bool:
        """Return whether the lease is free and this node may try to acquire it."""
        return self.lease.should_acquire(now_ms)

    def should_renew(self, now_ms: float) -> bool:
        """Return whether this node should extend its lease."""
        return self.lease.should_renew(now_ms)

    def prepare_write(self, now_ms: float) -> LeaseWrite:
        """Return the write that acquires or renews the lease.

        Call it directly before sending: the lease is measured from `now_ms`. After a
        conflict, or without a response, read the object and call `observe`.
        """
        revision = self.lease.next_revision()
        oldest_ms = now_ms - HOLDER_RETENTION_MS
        self.holders = {
            name: view
            for name, view in self.holders.items()
            if view.last_request_ms >= oldest_ms
        }
        previous = self.lease.record
        # The holders scale their shares by the limit from which they were computed.
        is_planned = self.lease.is_own or previous is None
        limit = self.limit if is_planned or previous is None else previous.limit
        record = LeaseRecord(
            self.organisation,
            self.lease.node,
            self.lease.next_epoch(),
            revision,
            LEASE_MS,
            limit,
            self._plan(revision, now_ms),
        )
        return self.lease.begin_write(record, now_ms)

    def on_lease_written(self, revision: int, version: int, now_ms: float) -> None:
        """Apply the platform's confirmation of a write."""
        pending = self.lease.pending.get(revision)
        if pending is not None:
            self._confirm(pending, version, now_ms)

    def on_holder_replaced(self, holder: str) -> None:
        """Plan no further standing share for a holder that the membership replaced.

        Its present share stays set aside while the holder could still be using it.
        """
        view = self.holders.get(holder)
        if view is not None:
            view.is_replaced = True

    def prepare_release(self, now_ms: float) -> LeaseWrite | None:
        """Stop granting and return the write that hands the bucket over.

        After a conflict and an `observe` it may be called again.
        """
        record = self.lease.record
        if self.lease.is_own and self.bucket is not None:
            self._advance(now_ms)
            self.released = ReleasedLevel(self.bucket.level_units, self.bucket.reserved)
            self.lease.relinquish()
            self.bucket = None
        is_ours = record is not None and (record.holder_node, record.epoch) == (
            self.lease.node,
            self.epoch,
        )
        if record is None or self.released is None or not is_ours or record.released:
            return None
        revision = self.lease.next_revision()
        return self.lease.begin_write(
            attrs.evolve(record, revision=revision, released=self.released), now_ms
        )

    def set_limit(self, limit: RateLimit, now_ms: float) -> None:
        """Apply a newly configured limit."""
        if self.bucket is not None:
            self._advance(now_ms)
        self.limit = limit
        if self.bucket is not None:
            self._reconfigure(now_ms)

    def on_request(
        self, request: TokenRequest, now_ms: float
    ) -> TokenGrant | NotAllocator:
        """Process a holder's request.

        Parameters
        ----------
        request : TokenRequest
            Request as received; it may be late, duplicated or out of order.
        now_ms : float
            Present time on this node's clock.

        Returns
        -------
        TokenGrant or NotAllocator
            The grant, which may have no tokens.
        """
        if self.bucket is None or not self.lease.is_held(now_ms):
            return NotAllocator(self.organisation)
        self._advance(now_ms)
        view = self.holders.get(request.holder)
        if view is None:
            view = self.holders[request.holder] = make_holder_view(now_ms)
        self._settle(request)
        self._update(view, request, now_ms)
        self._reconfigure(now_ms)
        if request.request_id <= view.last_request_id:
            last = view.last_grant
            if last is not None and last.request_id == request.request_id:
                return last
            return self._make_grant(request, 0, 0.0, now_ms)
        view.last_request_id = request.request_id
        view.last_grant = self._grant(view, request, now_ms)
        return view.last_grant

    def grant_validity_ms(self) -> float:
        """Return the validity of grants: the clamped time to refill half the burst."""
        if self.limit.rate_micro == 0:
            return MAX_GRANT_VALIDITY_MS
        half_burst_ms = self.limit.burst * 1000.0 * MICRO / (2 * self.limit.rate_micro)
        return min(MAX_GRANT_VALIDITY_MS, max(MIN_GRANT_VALIDITY_MS, half_burst_ms))

    def _confirm(self, pending: PendingWrite, version: int, now_ms: float) -> None:
        if version <= self.lease.version:
            return
        record = pending.write.record
        is_new = not self.lease.is_own and record.released is None
        self.lease.confirm(pending, version, now_ms)
        for share in record.standing_shares:
            self.share_in_force_ms.setdefault(share, now_ms)
        if is_new:
            self._start(pending, now_ms)

    def _start(self, pending: PendingWrite, now_ms: float) -> None:
        self.epoch = pending.write.record.epoch
        self.sequence = 0
        self.holders = {}
        self.reservations = make_reservations()
        self.delegations_ended_ms = -math.inf
        self.released = None
        self.share_in_force_ms = {
            share: now_ms for share in pending.write.record.standing_shares
        }
        # The use in the last seconds of an expired lease is unknown: start empty.
        self.bucket = make_empty_bucket(self.limit.rate_micro, self.limit.burst, now_ms)
        released = pending.replaced.released if pending.replaced else None
        if released is not None:
            self.bucket.level_units = released.level_units
            self.bucket.reserved = released.outstanding
            self.reservations.add(
                "",
                0,
                released.outstanding,
                now_ms + MAX_GRANT_VALIDITY_MS * DRIFT_MARGIN,
            )
        self._reconfigure(now_ms)

    def _advance(self, now_ms: float) -> None:
        """Apply the refill and the expiry of grants up to now.

        A delegation that ended since the last call counts as ended at that call,
        which can only underestimate the available tokens.
        """
        assert self.bucket is not None
        self._reconfigure(now_ms)
        for expired in self.reservations.pop_expired(now_ms):
            self.bucket.refill(expired.expires_ms)
            self.bucket.settle(expired.tokens)
        self.bucket.refill(now_ms)

    def _reconfigure(self, now_ms: float) -> None:
        assert self.bucket is not None
        set_aside = self._sum_set_aside(now_ms)
        self.bucket.configure(
            max(0, self.limit.rate_micro - set_aside.rate_micro),
            max(0, self.limit.burst - set_aside.burst),
        )

    def _sum_set_aside(self, now_ms: float) -> Amount:
        """Return the part of the limit that holders may use as standing shares now."""
        records = [pending.write.record for pending in self.lease.pending.values()]
        if self.lease.record is not None:
            records.append(self.lease.record)
        delegating = {
            name for name, view in self.holders.items() if view.is_delegating(now_ms)
        }
        return sum_set_aside(records, delegating)

    def _settle(self, request: TokenRequest) -> None:
        assert self.bucket is not None
        for settlement in request.settlements:
            freed = self.reservations.settle(request.holder, settlement)
            self.bucket.settle(freed, min(freed, settlement.returned))

    def _update(self, view: HolderView, request: TokenRequest, now_ms: float) -> None:
        view.last_request_ms = now_ms
        view.is_leaving |= request.leaving
        view.revision = max(view.revision, request.standing_revision)
        if request.request_id > view.last_request_id:
            view.demand_per_second = request.demand_per_second
            if request.token_count > 0:
                view.tokens_requested_ms = now_ms
        echo = request.echo
        # A stamp of another epoch is a time on another node's clock.
        if (
            echo is not None
            and echo.epoch == self.epoch
            and echo.sent_ms > self.delegations_ended_ms
        ):
            view.delegated_until_ms = max(
                view.delegated_until_ms, echo.sent_ms + DELEGATION_MS / DRIFT_MARGIN
            )

    def _grant(
        self, view: HolderView, request: TokenRequest, now_ms: float
    ) -> TokenGrant:
        assert self.bucket is not None
        accrue_credits(self.holders, self.bucket.rate_micro / MICRO, now_ms)
        tokens = fair_tokens(
            self.holders, view, request.token_count, self.bucket.available(), now_ms
        )
        retry_after_ms = 0.0
        if tokens > 0:
            self.bucket.reserve(tokens)
            view.credit = max(MIN_CREDIT, view.credit - tokens)
            self.reservations.add(
                request.holder,
                request.request_id,
                tokens,
                now_ms + self.grant_validity_ms() * DRIFT_MARGIN,
            )
        view.has_shortfall = tokens < request.token_count
        if view.has_shortfall:
            wait_ms = self.bucket.wait_ms()
            if has_contenders(self.holders, view, now_ms):
                wait_ms = max(wait_ms, min(view.wait_ms(), MAX_CONTENTION_WAIT_MS))
            retry_after_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))
        return self._make_grant(request, tokens, retry_after_ms, now_ms)

    def _make_grant(
        self, request: TokenRequest, tokens: int, retry_after_ms: float, now_ms: float
    ) -> TokenGrant:
        assert self.bucket is not None
        self.sequence += 1
        is_delegation = self.lease.expires_ms - now_ms > DELEGATION_STOP_MS
        if not is_delegation:
            self._end_delegations(now_ms)
        return TokenGrant(
            self.organisation,
            request.holder,
            request.request_id,
            Stamp(self.epoch, self.sequence, now_ms),
            tokens,
            self.grant_validity_ms(),
            retry_after_ms,
            tokens > 0 and 2 * self.bucket.reserved >= self.bucket.capacity,
            is_delegation,
        )

    def _end_delegations(self, now_ms: float) -> None:
        self.delegations_ended_ms = now_ms
        for view in self.holders.values():
            view.delegated_until_ms = -math.inf

    def _plan(self, revision: int, now_ms: float) -> tuple[StandingShare, ...]:
        previous = self.lease.record.standing_shares if self.lease.record else ()
        if not self.lease.is_own:
            return previous
        active = {n for n, view in self.holders.items() if view.needs_standing_share()}
        # A holder that has sent this allocator no request keeps its share while it
        # may be in use.
        without_request = {
            share.holder
            for share in previous
            if share.holder not in self.holders and not self._is_applied(share, now_ms)
        }
        had_share = {share.holder for share in previous}
        ranked = sorted(active | without_request, key=lambda n: (n not in had_share, n))
        return plan_shares(
            previous,
            ranked,
            self.limit,
            revision,
            lambda share: self._is_applied(share, now_ms),
        )

    def _is_applied(self, share: StandingShare, now_ms: float) -> bool:
        view = self.holders.get(share.holder)
        if view is not None and (
            view.is_leaving or view.revision >= share.since_revision
        ):
            return True
        in_force_ms = self.share_in_force_ms.get(share, math.inf)
        return now_ms - in_force_ms >= STANDING_VALIDITY_MS * DRIFT_MARGIN


def make_allocator(organisation: str, node: str, limit: RateLimit) -> Allocator:
    """Return the state of a node that has read no lease record yet."""
    return Allocator(organisation, limit, make_lease_state(node))
