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

A node that has just started may delegate at once, before the others divide the rates by
one node more. The shares then add up to more than the rate, but the coordinator leaves
out the largest share that each other node may use by itself, so it grants no more than
what remains. Its own shares the node may not use until all have read its record.

Tokens of a share are counted once for each moment. A process that starts has neither
used nor delegated its shares since its start, and an earlier process of its name ended
before it. So the coordinator credits the shares of that time, as if they had been
delegated to it, but not the time in which it or another coordinator may have counted a
delegation of the earlier process.
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
SMALL_GRANT_MS: Final = 250.0
"""Validity of a grant of a few tokens. Operations wait for them, so they are used on
arrival, and a bucket of a few tokens refills only when its grants have expired."""
SMALL_GRANT_TOKENS: Final = 3
"""Largest number of tokens of such a grant."""
UNDELEGATED_WAIT_MS: Final = 20.0
"""Wait for tokens while no shares are delegated: a few round trips between nodes."""
UNUSED_LIMIT_MS: Final = 1_000.0
"""Longest time for which a starting node's unused shares are credited; a start takes
less."""
ROUNDING: Final = 1e-9
"""Error of a sum of parts that must not round up a whole number of tokens."""
TRACKED_RESPONSES: Final = 32
"""Responses to each node whose sending times are kept."""
NO_DELEGATION: Final = 0
"""Response number that no response has. A node that confirms it delegates nothing yet;
a coordinator that sends it counts none of the node's shares as delegated."""
SMALL_FLEET_NODES: Final = 16
"""Up to this number of nodes, a share of less than one token of burst is rounded up to
one; with more nodes, the sum would exceed the burst by too much."""


def grant_validity_ms(tokens: int) -> float:
    """Return for how long a grant of `tokens` is valid, from the time of the request.

    Node and coordinator both compute it from the number of tokens.
    """
    return SMALL_GRANT_MS if tokens <= SMALL_GRANT_TOKENS else GRANT_MS


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
    """Expiry and number of granted tokens, in the order in which they were granted. A
    small grant after a large one is settled with the large one at the latest."""

    def refill(self, now_ms: float) -> None:
        """Add the refill up to now and settle the grants that have expired.

        Each is settled as of its expiry, since its tokens limit the refill until then.
        """
        while self.outstanding and self.outstanding[0][0] <= now_ms:
            expires_ms, count = self.outstanding.popleft()
            self.bucket.refill(expires_ms)
            self.bucket.settle(count)
        self.bucket.refill(now_ms)


@attrs.define
class RateCoordinator:
    """State of the rate coordinator; construct it with `make_rate_coordinator`.

    Parameters
    ----------
    epoch : int
        Revision of the duty's record that made this node the coordinator.
    since_ms : float
        When it became the coordinator.
    sole_since_ms : float
        Since when no other coordinator has counted a delegation.
    """

    epoch: int
    since_ms: float
    sole_since_ms: float
    organisations: Mapping[str, Organisation] = attrs.field(factory=dict)
    nodes: tuple[str, ...] = ()
    """Names of the nodes that may use shares of their own."""
    delegations: dict[str, Delegation] = attrs.field(factory=dict)
    buckets: dict[str, DelegatedBucket] = attrs.field(factory=dict)
    part: float = 0.0
    """Part of every rate that the buckets have."""

    def configure(
        self,
        organisations: Mapping[str, Organisation],
        nodes: Iterable[str],
        now_ms: float,
    ) -> None:
        """Apply the configured rates and the names of all nodes."""
        self._refill_all(now_ms)
        self.organisations = organisations
        self.nodes = tuple(nodes)
        for name in self.buckets.keys() - organisations.keys():
            del self.buckets[name]
        self.part = self._delegated_part(now_ms)
        self._apply_rates(now_ms)

    def renew(self, epoch: int, now_ms: float) -> None:
        """Continue with a later claim of the duty.

        Delegations stay: nodes count them as long whatever the epoch is. Another node
        may have been the coordinator in between.
        """
        self.epoch = epoch
        self.sole_since_ms = max(self.sole_since_ms, now_ms + DELEGATION_MS)

    def exchange(
        self,
        node: str,
        nodes: int,
        reply: int,
        requested: Iterable[tuple[str, int]],
        now_ms: float,
        unused_ms: float = 0.0,
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
        unused_ms : float
            Time in milliseconds for which its shares were unused until now.

        Returns
        -------
        tuple
            Number of the response, and for each request the organisation, the granted
            tokens and, if there are none, the time in milliseconds until there may be.
        """
        delegation = self.delegations.setdefault(node, Delegation())
        delegation.nodes = max(1, nodes)
        credited_ms = 0.0
        sent_ms = delegation.sent_ms.get(reply)
        if sent_ms is not None:
            counted_until_ms = delegation.delegated_until_ms
            if counted_until_ms < now_ms:
                uncounted_ms = now_ms - max(counted_until_ms, self.sole_since_ms)
                credited_ms = min(unused_ms, UNUSED_LIMIT_MS, uncounted_ms)
            delegation.delegated_until_ms = max(
                counted_until_ms, sent_ms + DELEGATION_MS
            )
        delegation.last_reply += 1
        delegation.sent_ms[delegation.last_reply] = now_ms
        delegation.sent_ms.pop(delegation.last_reply - TRACKED_RESPONSES, None)
        part = self._delegated_part(now_ms)
        if part != self.part:
            self._refill_all(now_ms)
            credited_part = min(1.0 / delegation.nodes, max(0.0, part - self.part))
            self.part = part
            self._apply_rates(now_ms)
            if credited_ms > 0:
                self._credit(credited_part, credited_ms)
        granted = tuple(self._grant(name, tokens, now_ms) for name, tokens in requested)
        return delegation.last_reply, granted

    def remove_delegation(self, node: str, now_ms: float) -> None:
        """Count a node's shares as returned."""
        self._refill_all(now_ms)
        self.delegations.pop(node, None)
        self.part = self._delegated_part(now_ms)
        self._apply_rates(now_ms)

    def _grant(self, name: str, tokens: int, now_ms: float) -> tuple[str, int, float]:
        delegated = self.buckets.get(name)
        if delegated is None:
            return name, 0, 0.0
        delegated.refill(now_ms)
        count = max(0, min(tokens, delegated.bucket.available()))
        if count:
            delegated.bucket.reserve(count)
            expires_ms = now_ms + grant_validity_ms(count)
            delegated.outstanding.append((expires_ms, count))
            return name, count, 0.0
        if self.part == 0.0:
            # The nodes delegate with their next requests.
            return name, 0, UNDELEGATED_WAIT_MS
        wait_ms = delegated.bucket.wait_ms()
        return name, 0, wait_ms if math.isfinite(wait_ms) else GRANT_MS

    def _refill_all(self, now_ms: float) -> None:
        for delegated in self.buckets.values():
            delegated.refill(now_ms)

    def _delegated_part(self, now_ms: float) -> float:
        """Return the part of every rate that no node uses by itself."""
        delegated = {
            name
            for name, delegation in self.delegations.items()
            if delegation.delegated_until_ms > now_ms
        }
        part = math.fsum(1.0 / self.delegations[name].nodes for name in delegated)
        used_elsewhere = math.fsum(
            1.0 / self._count_nodes(name)
            for name in self.nodes
            if name not in delegated
        )
        return max(0.0, min(part, 1.0 - used_elsewhere))

    def _count_nodes(self, name: str) -> int:
        """Return the number of nodes among which a node divides, as far as known."""
        delegation = self.delegations.get(name)
        return len(self.nodes) if delegation is None else delegation.nodes

    def _apply_rates(self, now_ms: float) -> None:
        """Set the buckets to the shares that are delegated now."""
        for name, organisation in self.organisations.items():
            rate_micro = int(organisation.rate_per_s * self.part * MICRO)
            # A part of a token is rounded up: a bucket of two tokens instead of three
            # refuses a small organisation below its rate.
            capacity = math.ceil(organisation.burst * self.part - ROUNDING)
            existing = self.buckets.get(name)
            if existing is None:
                bucket = make_empty_bucket(rate_micro, capacity, now_ms)
                self.buckets[name] = DelegatedBucket(bucket)
            else:
                existing.bucket.configure(rate_micro, capacity)

    def _credit(self, part: float, unused_ms: float) -> None:
        for name, organisation in self.organisations.items():
            rate_micro = int(organisation.rate_per_s * part * MICRO)
            self.buckets[name].bucket.credit(rate_micro, unused_ms)


def make_rate_coordinator(
    epoch: int, since_ms: float, restarted_ms: float | None = None
) -> RateCoordinator:
    """Return a coordinator to which no shares are delegated yet.

    Parameters
    ----------
    epoch : int
        Revision of the duty's record.
    since_ms : float
        Current time in milliseconds.
    restarted_ms : float, optional
        Start of this process, if an earlier process of this node was the coordinator
        before; that process has ended, and its delegations with it.
    """
    sole_since_ms = since_ms + DELEGATION_MS if restarted_ms is None else restarted_ms
    return RateCoordinator(epoch, since_ms, sole_since_ms)
