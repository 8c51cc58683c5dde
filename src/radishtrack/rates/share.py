"""The holder's side of an organisation's rate: grants, batches and admission."""

from __future__ import annotations

import math
from typing import Final

import attrs

from radishtrack.rates.demand import DemandMeter, make_demand_meter
from radishtrack.rates.messages import (
    MAX_GRANT_VALIDITY_MS,
    LeaseRecord,
    RateLimit,
    Settlement,
    Stamp,
    TokenGrant,
    TokenRequest,
)
from radishtrack.rates.standing_share import StandingState, make_standing_state

REQUEST_TIMEOUT_MS: Final = 100.0
FAILURE_RETRY_MS: Final = 100.0
"""Pause after a request could not be delivered to the allocator."""
BATCH_HORIZON_MS: Final = 100.0
"""A batch lasts this long at the recent demand."""
PREFETCH_HORIZON_MS: Final = 20.0
"""New tokens are requested when the held ones last less than this."""
MAX_UNMET: Final = 64
"""At most this many requests may wait, so more tokens would not be used."""
HEARTBEAT_MS: Final = 4000.0
"""Longest pause between requests of an idle holder, to keep its share delegated."""
RETURN_MARGIN_MS: Final = 50.0
"""Unused tokens are returned when the grant's remaining validity is this short."""


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

ADMITTED: Final = Admitted()


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
    standing : StandingState
        Share that is used while no allocator is available.
    """

    organisation: str
    holder: str
    limit: RateLimit
    demand: DemandMeter
    standing: StandingState
    grants: list[HeldGrant] = attrs.field(factory=list)
    """Grants with tokens, by time of expiry."""
    settlements: dict[int, Settlement] = attrs.field(factory=dict)
    """Changes of grants since the last request."""
    pending: dict[int, float] = attrs.field(factory=dict)
    """Time at which each unanswered request was sent."""
    next_request_id: int = 1
    unmet: int = 0
    """Waiting requests that no token request has counted yet."""
    refused_until_ms: float = -math.inf
    last_sent_ms: float = -math.inf
    epoch: int = 0
    latest_stamp: Stamp | None = None
    echo: Stamp | None = None
    leaving: bool = False
    needs_settlement: bool = False
    """Whether a used grant must be settled as soon as no request is pending."""

    def try_admit(self, now_ms: float) -> Admission:
        """Decide on one request.

        A caller that got `NeedTokens` decides again with `retry_admit`, so that the
        request counts once as demand.
        """
        self.demand.count(now_ms)
        return self.retry_admit(now_ms)

    def retry_admit(self, now_ms: float) -> Admission:
        """Decide again on a request that waited for tokens."""
        if self.grants and self.grants[0].expires_ms <= now_ms:
            self._drop_expired(now_ms)
        if self.grants:
            return self._use_grant(self.grants[0], now_ms)
        if self.standing.try_consume(now_ms):
            return ADMITTED
        if now_ms < self.refused_until_ms:
            return Refused(self.refused_until_ms - now_ms)
        if self._is_request_pending(now_ms):
            self.unmet = min(self.unmet + 1, MAX_UNMET)
            return NeedTokens(None, self.last_sent_ms + REQUEST_TIMEOUT_MS)
        request = self.make_request(
            now_ms, max(1 + self.unmet, self._batch_size(now_ms))
        )
        return NeedTokens(request, now_ms + REQUEST_TIMEOUT_MS)

    def on_grant(self, grant: TokenGrant, now_ms: float) -> bool:
        """Store the tokens of a grant; return whether they can be used."""
        sent_ms = self.pending.pop(grant.request_id, None)
        if sent_ms is None or grant.stamp.epoch < self.epoch:
            return False
        self.epoch = grant.stamp.epoch
        self._apply_delegation(grant, now_ms)
        if grant.retry_after_ms > 0:
            self.refused_until_ms = now_ms + grant.retry_after_ms
        # Measured from when the request was sent, because the holder does not know how
        # long the grant was in transit.
        expires_ms = sent_ms + min(grant.valid_ms, MAX_GRANT_VALIDITY_MS)
        if grant.tokens <= 0:
            return False
        if expires_ms <= now_ms:
            self._record_settlement(grant.request_id, 0, grant.tokens)
            return False
        self.grants.append(
            HeldGrant(grant.request_id, grant.tokens, expires_ms, grant.settle_at_once)
        )
        self.grants.sort(key=_by_expiry)
        return True

    def on_request_failed(self, request_id: int, now_ms: float) -> None:
        """Stop waiting for a request that did not reach an allocator."""
        if self.pending.pop(request_id, None) is not None:
            self.refused_until_ms = now_ms + FAILURE_RETRY_MS

    def on_record(
        self, record: LeaseRecord, read_sent_ms: float, now_ms: float
    ) -> None:
        """Apply the standing share of a lease record.

        Parameters
        ----------
        record : LeaseRecord
            Record as read from the platform.
        read_sent_ms : float
            When this node sent the read, or the watch call, that returned it.
        now_ms : float
            Present time.
        """
        self.epoch = max(self.epoch, record.epoch)
        if not self.leaving:
            self.standing.apply(record, self.holder, read_sent_ms, now_ms)

    def tick(self, now_ms: float) -> TokenRequest | None:
        """Return a request that returns tokens or renews the delegation, if due."""
        self._drop_expired(now_ms)
        self._return_surplus(now_ms)
        is_returning = any(change.returned for change in self.settlements.values())
        is_heartbeat_due = now_ms - self.last_sent_ms >= HEARTBEAT_MS
        if self.needs_settlement and not self._is_request_pending(now_ms):
            return self.make_request(now_ms, 0)
        if is_returning or (is_heartbeat_due and self.standing.share is not None):
            return self.make_request(now_ms, 0)
        return None

    def leave(self, now_ms: float) -> TokenRequest:
        """Drop all tokens and the standing share, because the holder drains.

        Returns the request that reports the tokens as unused.
        """
        self.leaving = True
        self.standing.discard()
        for grant in self.grants:
            self._record_settlement(grant.request_id, 0, grant.tokens)
        self.grants.clear()
        return self.make_request(now_ms, 0)

    def make_request(self, now_ms: float, token_count: int) -> TokenRequest:
        """Return a token request; one for 0 tokens only reports settlements."""
        request_id = self.next_request_id
        self.next_request_id += 1
        # A grant for an older request would have expired on arrival.
        oldest_ms = now_ms - MAX_GRANT_VALIDITY_MS
        self.pending = {
            pending_id: sent_ms
            for pending_id, sent_ms in self.pending.items()
            if sent_ms > oldest_ms
        }
        self.pending[request_id] = now_ms
        self.last_sent_ms = now_ms
        self.unmet = 0
        self.needs_settlement = False
        settlements = tuple(self.settlements.values())
        self.settlements.clear()
        return TokenRequest(
            self.organisation,
            self.holder,
            request_id,
            token_count,
            self.demand.per_second(now_ms),
            settlements,
            self.echo,
            self.standing.revision,
            self.leaving,
        )

    def set_limit(self, limit: RateLimit, now_ms: float) -> None:
        """Apply a newly configured limit."""
        self.limit = limit
        self.standing.set_limit(limit, now_ms)

    def held_tokens(self) -> int:
        """Return the tokens of all grants held."""
        return sum(grant.tokens for grant in self.grants)

    def _use_grant(self, grant: HeldGrant, now_ms: float) -> Admission:
        grant.tokens -= 1
        if grant.tokens == 0:
            del self.grants[0]
            self.needs_settlement |= grant.settle_at_once
        self._record_settlement(grant.request_id, grant.tokens)
        if self._is_request_pending(now_ms):
            return ADMITTED
        held = grant.tokens if len(self.grants) == 1 else self.held_tokens()
        needed = self.demand.per_second(now_ms) * PREFETCH_HORIZON_MS / 1000.0
        if now_ms >= self.refused_until_ms and held < needed - 1.0:
            return Admitted(self.make_request(now_ms, self._batch_size(now_ms)))
        if self.needs_settlement:
            return Admitted(self.make_request(now_ms, 0))
        return ADMITTED

    def _batch_size(self, now_ms: float) -> int:
        return math.ceil(self.demand.per_second(now_ms) * BATCH_HORIZON_MS / 1000.0)

    def _is_request_pending(self, now_ms: float) -> bool:
        return bool(self.pending) and now_ms - self.last_sent_ms < REQUEST_TIMEOUT_MS

    def _record_settlement(
        self, request_id: int, remaining: int, returned: int = 0
    ) -> None:
        previous = self.settlements.get(request_id)
        returned_before = previous.returned if previous is not None else 0
        self.settlements[request_id] = Settlement(
            request_id, remaining, returned_before + returned
        )

    def _drop_expired(self, now_ms: float) -> None:
        while self.grants and self.grants[0].expires_ms <= now_ms:
            grant = self.grants.pop(0)
            self._record_settlement(grant.request_id, 0, grant.tokens)

    def _return_surplus(self, now_ms: float) -> None:
        for grant in list(self.grants):
            left_ms = grant.expires_ms - now_ms
            needed = math.ceil(self.demand.per_second(now_ms) * left_ms / 1000.0)
            surplus = grant.tokens - needed
            if left_ms < RETURN_MARGIN_MS and surplus > 0:
                grant.tokens -= surplus
                self._record_settlement(grant.request_id, grant.tokens, surplus)
                if grant.tokens == 0:
                    self.grants.remove(grant)

    def _apply_delegation(self, grant: TokenGrant, now_ms: float) -> None:
        if self.latest_stamp is not None and grant.stamp <= self.latest_stamp:
            return
        self.latest_stamp = grant.stamp
        if grant.is_delegation:
            self.echo = grant.stamp
            self.standing.delegate(now_ms)
        else:
            self.echo = None
            self.standing.end_delegation(now_ms)


def _by_expiry(grant: HeldGrant) -> float:
    return grant.expires_ms


def make_share_state(
    organisation: str, holder: str, limit: RateLimit, now_ms: float
) -> ShareState:
    """Return the state of an organisation that holds no tokens."""
    return ShareState(
        organisation,
        holder,
        limit,
        make_demand_meter(now_ms),
        make_standing_state(limit),
    )
