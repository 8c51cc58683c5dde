"""Admits operations at one node, with granted tokens or the node's own shares."""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from radishtrack.pooler.catalog import Organisation
from radishtrack.pooler.shares import DELEGATION_MS, even_share, grant_validity_ms

MS_PER_S: Final = 1_000.0
PREFETCH_MIN_USED: Final = 4
"""Tokens used since the last exchange from which on more are requested in advance.
With fewer, most tokens would expire unused, which costs small organisations their
rate."""
PREFETCH_FRACTION: Final = 0.5
"""Fraction of these tokens that is requested in advance."""
MAX_REFUNDED: Final = 64
"""Refunded tokens of one organisation that are kept; bounds the memory."""


@attrs.frozen
class RateToken:
    """A token that admitted one operation.

    Parameters
    ----------
    organisation : str
        Organisation whose rate it belongs to.
    expires_ms : float or None
        End of its validity if it was granted; None if it is from the node's own share.
    """

    organisation: str
    expires_ms: float | None


@attrs.define
class OwnShare:
    """A node's own share of one rate: a token bucket, unused while delegated.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Capacity in tokens.
    updated_ms : float
        Time of the last refill.
    """

    rate_per_s: float
    burst: float
    updated_ms: float
    tokens: float = 0.0

    def refill(self, now_ms: float) -> None:
        """Add the tokens due since the last refill."""
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        self.updated_ms = max(self.updated_ms, now_ms)
        added = self.rate_per_s * elapsed_ms / MS_PER_S
        self.tokens = min(self.burst, self.tokens + added)

    def reset(self, now_ms: float) -> None:
        """Empty the bucket when a delegation ends."""
        self.tokens = 0.0
        self.updated_ms = now_ms


@attrs.define
class Demand:
    """Demand for one organisation's rate at this node, and the tokens for it."""

    share: OwnShare
    tokens: int = 0
    """Granted tokens that are not used yet."""
    expires_ms: float = 0.0
    refunded: list[float] = attrs.field(factory=list)
    """Ends of the validity of refunded tokens, in order."""
    used_tokens: int = 0
    """Granted tokens that were used since the last exchange."""
    waiting: int = 0
    """Operations that wait for a token."""
    refused_until_ms: float = 0.0
    """The coordinator has no token before this time."""

    def count_refunded(self, now_ms: float) -> int:
        """Remove refunded tokens that have expired; return the number of others."""
        while self.refunded and self.refunded[0] <= now_ms:
            self.refunded.pop(0)
        return len(self.refunded)


@attrs.define
class RateLimiter:
    """Rate limits of one node; its shares are not delegated at first."""

    demands: dict[str, Demand] = attrs.field(factory=dict)
    delegated_until_ms: float = 0.0
    """The coordinator may count this node's shares before this time."""
    joined_ms: float = 0.0
    """Other nodes may divide the rates without this node before this time."""
    is_delegating: bool = False
    unused_since_ms: float | None = None
    """Since when this process has neither used nor delegated its own shares; None once
    it has."""

    def configure(
        self, organisations: Mapping[str, Organisation], nodes: int, now_ms: float
    ) -> None:
        """Apply the configured rates; new shares start empty.

        Otherwise each restart would admit up to one more burst.
        """
        for name in self.demands.keys() - organisations.keys():
            del self.demands[name]
        for name, organisation in organisations.items():
            rate, burst = even_share(organisation, nodes)
            demand = self.demands.get(name)
            if demand is None:
                self.demands[name] = Demand(OwnShare(rate, burst, now_ms))
                continue
            demand.share.refill(now_ms)
            demand.share.rate_per_s, demand.share.burst = rate, burst
            demand.share.tokens = min(demand.share.tokens, burst)

    def acquire(self, organisation: str, now_ms: float) -> RateToken | None:
        """Acquire a token of an organisation; return None if there is none."""
        demand = self.demands.get(organisation)
        if demand is None:
            return None
        if demand.count_refunded(now_ms):
            demand.used_tokens += 1
            return RateToken(organisation, demand.refunded.pop(0))
        if demand.tokens > 0 and now_ms < demand.expires_ms:
            demand.tokens -= 1
            demand.used_tokens += 1
            return RateToken(organisation, demand.expires_ms)
        if now_ms < self.own_from_ms:
            return None
        if self.is_delegating:
            self._reset_own_shares()
        demand.share.refill(now_ms)
        if demand.share.tokens < 1.0:
            return None
        demand.share.tokens -= 1.0
        self.unused_since_ms = None
        return RateToken(organisation, None)

    def refund(self, token: RateToken, now_ms: float) -> bool:
        """Return the token of an operation of which nothing was sent to a member.

        The coordinator assumes that a granted token is used at any time within its
        validity, so using it later in that time exceeds no rate. A token of the node's
        own share is not returned: the share has been refilled meanwhile, up to its
        burst, which a token that was never taken would have prevented.

        Returns
        -------
        bool
            Whether the token can be used again.
        """
        demand = self.demands.get(token.organisation)
        if demand is None or token.expires_ms is None or token.expires_ms <= now_ms:
            return False
        bisect.insort(demand.refunded, token.expires_ms)
        del demand.refunded[MAX_REFUNDED:]
        demand.used_tokens = max(0, demand.used_tokens - 1)
        return True

    def next_request_ms(self, organisation: str) -> float:
        """Return the earliest time at which the coordinator may have a token."""
        demand = self.demands.get(organisation)
        return demand.refused_until_ms if demand is not None else float("inf")

    def add_waiting(self, organisation: str, count: int) -> None:
        """Add `count` to the number of operations that wait for a token."""
        demand = self.demands.get(organisation)
        if demand is not None:
            demand.waiting = max(0, demand.waiting + count)

    def defer_own_shares(self, from_ms: float) -> None:
        """Leave this node's own shares unused until `from_ms`, also if it delegates."""
        self.joined_ms = from_ms
        self.is_delegating = True

    @property
    def own_from_ms(self) -> float:
        """Time before which this node does not use its own shares."""
        return max(self.delegated_until_ms, self.joined_ms)

    def end_delegation(self, now_ms: float) -> None:
        """Use this node's shares again, since the coordinator no longer counts them."""
        self.delegated_until_ms = min(self.delegated_until_ms, now_ms)

    def unused_ms(self, now_ms: float) -> float:
        """Return for how long the shares of a starting process have been unused."""
        return 0.0 if self.unused_since_ms is None else now_ms - self.unused_since_ms

    def collect_requests(self, now_ms: float) -> tuple[tuple[str, int], ...]:
        """Return the tokens to request, and reset the counts of used tokens."""
        return tuple(self._collect_requests(now_ms))

    def record_grants(
        self,
        granted: Iterable[tuple[str, int, float]],
        requested_ms: float,
        now_ms: float,
    ) -> None:
        """Record the coordinator's response to a request sent at `requested_ms`."""
        self.delegated_until_ms = max(self.delegated_until_ms, now_ms + DELEGATION_MS)
        self.is_delegating = True
        for name, tokens, wait_ms in granted:
            demand = self.demands.get(name)
            if demand is None:
                continue
            if tokens:
                unused_tokens = demand.tokens if now_ms < demand.expires_ms else 0
                demand.tokens = unused_tokens + tokens
                # All tokens expire with the oldest, so that one expiry time suffices.
                expires_ms = requested_ms + grant_validity_ms(tokens)
                if unused_tokens:
                    expires_ms = min(expires_ms, demand.expires_ms)
                demand.expires_ms = expires_ms
            elif wait_ms > 0:
                demand.refused_until_ms = now_ms + wait_ms

    def _collect_requests(self, now_ms: float) -> Iterable[tuple[str, int]]:
        for name, demand in self.demands.items():
            prefetch = 0
            if demand.used_tokens >= PREFETCH_MIN_USED:
                prefetch = int(demand.used_tokens * PREFETCH_FRACTION)
            unused_tokens = demand.tokens if now_ms < demand.expires_ms else 0
            unused_tokens += demand.count_refunded(now_ms)
            requested = demand.waiting + max(0, prefetch - unused_tokens)
            demand.used_tokens = 0
            if requested and now_ms >= demand.refused_until_ms:
                yield name, requested

    def _reset_own_shares(self) -> None:
        """Restart this node's own shares empty, as of the end of the delegation."""
        self.is_delegating = False
        for demand in self.demands.values():
            demand.share.reset(self.own_from_ms)
