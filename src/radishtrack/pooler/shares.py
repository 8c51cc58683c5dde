"""Divides rates between nodes, so that no share is used twice.

Each node has an even share of every rate. Normally it delegates its shares to one node,
the rate coordinator, which grants tokens of the sum in small batches on request. A node
that loses the coordinator uses its own shares again when its delegation expires. The
coordinator counts a delegation no longer than the node does:

- at the node, it lasts for `DELEGATION_MS` from when the node received a response;
- at the coordinator, it lasts for `DELEGATION_MS` from when the coordinator sent the
  last response that the node has confirmed.

Therefore several nodes may act as coordinator at a time: each grants no more than is
delegated to it, and a node delegates to one at a time.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from radishtrack.pooler.catalog import Organisation
from radishtrack.rates.bucket import Bucket, make_empty_bucket
from radishtrack.rates.messages import MICRO

DELEGATION_MS: Final = 1_000.0
"""How long a node leaves its own shares unused after a response. Three exchanges fit
in; losing the coordinator interrupts small shares for as long."""
GRANT_MS: Final = 500.0
"""Validity of granted tokens, from the time of the request."""
TRACKED_RESPONSES: Final = 32
"""Responses to each node whose sending times are kept."""
NO_DELEGATION: Final = 0
"""Response number that no response has. A node that confirms it delegates nothing yet;
a coordinator that sends it counts none of the node's shares as delegated."""
SMALL_FLEET_NODES: Final = 16
"""Up to this number of nodes, a share of less than one token of burst is rounded up to
one; with more nodes, the sum would exceed the burst by too much."""


def even_share(organisation: Organisation, nodes: int) -> tuple[float, float]:
    """Return tokens per second and burst of one node's share."""
    part = 1.0 / max(1, nodes)
    burst = organisation.burst * part
    if burst < 1.0:
        burst = 1.0 if nodes <= SMALL_FLEET_NODES else 0.0
    return organisation.rate_per_s * part, burst


@attrs.define
class Delegation:
    """One node's delegation, as the coordinator counts it."""

    sent_ms: dict[int, float] = attrs.field(factory=dict)
    """When recent responses were sent, by number."""
    last_reply: int = 0
    delegated_until_ms: float = 0.0
    nodes: int = 1
    """Number of nodes among which it divides the rates; it delegates one such part."""


@attrs.define
class DelegatedBucket:
    """Tokens of one organisation at the coordinator."""

    bucket: Bucket
    outstanding: deque[tuple[float, int]] = attrs.field(factory=deque)
    """Expiry and number of granted tokens, in order of expiry."""


@attrs.define
class RateCoordinator:
    """State of the rate coordinator; construct it with `make_rate_coordinator`.

    Parameters
    ----------
    epoch : int
        Revision of the duty's record that made this node the coordinator.
    since_ms : float
        When it became the coordinator.
    """

    epoch: int
    since_ms: float
    organisations: Mapping[str, Organisation] = attrs.field(factory=dict)
    delegations: dict[str, Delegation] = attrs.field(factory=dict)
    buckets: dict[str, DelegatedBucket] = attrs.field(factory=dict)

    def configure(
        self, organisations: Mapping[str, Organisation], now_ms: float
    ) -> None:
        """Apply the configured rates."""
        self._refill(now_ms)
        self.organisations = organisations
        for name in self.buckets.keys() - organisations.keys():
            del self.buckets[name]
        self._apply_rates(now_ms)

    def exchange(
        self,
        node: str,
        nodes: int,
        reply: int,
        requested: Iterable[tuple[str, int]],
        now_ms: float,
    ) -> tuple[int, tuple[tuple[str, int, float], ...]]:
        """Record a node's delegation and return a response number and the grants.

        Parameters
        ----------
        node : str
            The delegating node.
        nodes : int
            Number of nodes among which it divides the rates.
        reply : int
            Number of the last response of this epoch that it has received.
        requested : iterable
            Pairs of organisation and number of tokens.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        tuple
            Number of the response, and for each request the organisation, the granted
            tokens and, if there are none, the time in milliseconds until there may be.
        """
        self._refill(now_ms)
        delegation = self.delegations.setdefault(node, Delegation())
        delegation.nodes = max(1, nodes)
        sent_ms = delegation.sent_ms.get(reply)
        if sent_ms is not None:
            delegated_until_ms = sent_ms + DELEGATION_MS
            delegation.delegated_until_ms = max(
                delegation.delegated_until_ms, delegated_until_ms
            )
        delegation.last_reply += 1
        delegation.sent_ms[delegation.last_reply] = now_ms
        delegation.sent_ms.pop(delegation.last_reply - TRACKED_RESPONSES, None)
        self._apply_rates(now_ms)
        granted = tuple(self._grant(name, tokens, now_ms) for name, tokens in requested)
        return delegation.last_reply, granted

    def remove_delegation(self, node: str) -> None:
        """Count a node's shares as returned."""
        self.delegations.pop(node, None)

    def _grant(self, name: str, tokens: int, now_ms: float) -> tuple[str, int, float]:
        delegated = self.buckets.get(name)
        if delegated is None:
            return name, 0, 0.0
        count = max(0, min(tokens, delegated.bucket.available()))
        if count:
            delegated.bucket.reserve(count)
            delegated.outstanding.append((now_ms + GRANT_MS, count))
            return name, count, 0.0
        wait_ms = delegated.bucket.wait_ms()
        return name, 0, wait_ms if math.isfinite(wait_ms) else GRANT_MS

    def _refill(self, now_ms: float) -> None:
        for delegated in self.buckets.values():
            delegated.bucket.refill(now_ms)
            while delegated.outstanding and delegated.outstanding[0][0] <= now_ms:
                _, count = delegated.outstanding.popleft()
                delegated.bucket.settle(count)

    def _apply_rates(self, now_ms: float) -> None:
        """Set the buckets to the shares that are delegated now."""
        delegated_part = math.fsum(
            1.0 / delegation.nodes
            for delegation in self.delegations.values()
            if delegation.delegated_until_ms > now_ms
        )
        part = min(1.0, delegated_part)
        for name, organisation in self.organisations.items():
            rate_micro = int(organisation.rate_per_s * part * MICRO)
            capacity = int(organisation.burst * part)
            existing = self.buckets.get(name)
            if existing is None:
                bucket = make_empty_bucket(rate_micro, capacity, now_ms)
                self.buckets[name] = DelegatedBucket(bucket)
            else:
                existing.bucket.configure(rate_micro, capacity)


def make_rate_coordinator(epoch: int, since_ms: float) -> RateCoordinator:
    """Return a coordinator to which no shares are delegated yet."""
    return RateCoordinator(epoch, since_ms)
