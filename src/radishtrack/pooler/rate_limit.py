"""Admits operations at one node, with tokens of the rates' holder or its own shares."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from radishtrack.pooler.catalog import Organisation
from radishtrack.pooler.shares import GRANT_MS, LOAN_MS, even_share

SECOND_MS: Final = 1_000.0
PREFETCH_FROM: Final = 4
"""Operations since the last exchange from which on tokens are asked for in advance;
below, tokens would mostly expire unused, which costs small organisations their rate."""
PREFETCH_SHARE: Final = 0.5
"""Part of these operations for which tokens are asked in advance."""


@attrs.define
class OwnShare:
    """A node's own share of one rate; a token bucket that may be lent.

    Parameters
    ----------
    rate_per_s : float
        Tokens added a second.
    burst : float
        Most tokens that it holds.
    updated_ms : float
        When the tokens were last counted.
    """

    rate_per_s: float
    burst: float
    updated_ms: float
    tokens: float = 0.0

    def refill(self, now_ms: float) -> None:
        """Count the tokens up to `now_ms`."""
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        self.updated_ms = max(self.updated_ms, now_ms)
        added = self.rate_per_s * elapsed_ms / SECOND_MS
        self.tokens = min(self.burst, self.tokens + added)

    def restart(self, now_ms: float) -> None:
        """Start empty: until now the share was lent."""
        self.tokens = 0.0
        self.updated_ms = now_ms


@attrs.define
class Demand:
    """What a node needs and has of one organisation's rate."""

    share: OwnShare
    tokens: int = 0
    """Granted tokens that were not used yet."""
    expires_ms: float = 0.0
    used: int = 0
    """Operations since the last exchange."""
    missing: int = 0
    """Operations that wait for a token."""
    refused_until_ms: float = 0.0
    """The holder has no token before."""


@attrs.define
class RateLimiter:
    """State of one node; nothing is lent at first."""

    demands: dict[str, Demand] = attrs.field(factory=dict)
    lent_until_ms: float = 0.0
    """The node does not use its own shares before."""
    is_lending: bool = False

    def configure(
        self, organisations: Mapping[str, Organisation], nodes: int, now_ms: float
    ) -> None:
        """Apply the configured rates; new shares start empty.

        Restarts would otherwise add up to a second burst.
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

    def take(self, organisation: str, now_ms: float) -> bool:
        """Use a token if there is one."""
        demand = self.demands.get(organisation)
        if demand is None:
            return False
        if demand.tokens > 0 and now_ms < demand.expires_ms:
            demand.tokens -= 1
            demand.used += 1
            return True
        if now_ms < self.lent_until_ms:
            return False
        if self.is_lending:
            self._end_loan()
        demand.share.refill(now_ms)
        if demand.share.tokens < 1.0:
            return False
        demand.share.tokens -= 1.0
        return True

    def asks_from_ms(self, organisation: str) -> float:
        """Return from when on the holder may have a token."""
        demand = self.demands.get(organisation)
        return demand.refused_until_ms if demand is not None else float("inf")

    def want(self, organisation: str, count: int) -> None:
        """Note that `count` more operations wait for a token."""
        demand = self.demands.get(organisation)
        if demand is not None:
            demand.missing = max(0, demand.missing + count)

    def start_later(self, from_ms: float) -> None:
        """Use the own shares only from a time on."""
        self.lent_until_ms = max(self.lent_until_ms, from_ms)
        self.is_lending = True

    def end_promise(self, now_ms: float) -> None:
        """Take the own shares back, because the holder has given up its duty."""
        self.lent_until_ms = min(self.lent_until_ms, now_ms)

    def list_wanted(self, now_ms: float) -> tuple[tuple[str, int], ...]:
        """Return what to ask the holder for, and start counting anew."""
        return tuple(self._drain_wanted(now_ms))

    def note_granted(
        self,
        granted: Iterable[tuple[str, int, float]],
        asked_ms: float,
        now_ms: float,
    ) -> None:
        """Take in the holder's answer to what was asked for at `asked_ms`."""
        self.lent_until_ms = max(self.lent_until_ms, now_ms + LOAN_MS)
        self.is_lending = True
        for name, tokens, wait_ms in granted:
            demand = self.demands.get(name)
            if demand is None:
                continue
            if tokens:
                left = demand.tokens if now_ms < demand.expires_ms else 0
                demand.tokens = left + tokens
                # All tokens end with the oldest ones, which keeps one time for them.
                expires_ms = asked_ms + GRANT_MS
                if left:
                    expires_ms = min(expires_ms, demand.expires_ms)
                demand.expires_ms = expires_ms
            elif wait_ms > 0:
                demand.refused_until_ms = now_ms + wait_ms

    def _drain_wanted(self, now_ms: float) -> Iterable[tuple[str, int]]:
        for name, demand in self.demands.items():
            ahead = 0
            if demand.used >= PREFETCH_FROM:
                ahead = int(demand.used * PREFETCH_SHARE)
            left = demand.tokens if now_ms < demand.expires_ms else 0
            wanted = demand.missing + max(0, ahead - left)
            demand.used = 0
            if wanted and now_ms >= demand.refused_until_ms:
                yield name, wanted

    def _end_loan(self) -> None:
        """Use the own shares from the end of the promise on."""
        self.is_lending = False
        for demand in self.demands.values():
            demand.share.restart(self.lent_until_ms)
