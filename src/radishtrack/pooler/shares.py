"""Who may use an organisation's rate: the node itself, or the node it lends to.

Each node owns an even share of every rate. While all is well it lends its shares to
one node, the rates' holder, which hands the sum out in small batches to whoever needs
them. A node that does not hear from the holder uses its own shares again as soon as its
promise has ended. The holder counts a loan only until the promise can have ended, so a
share is never used twice:

- a promise lasts for `LOAN_MS` from when the node received an answer;
- the holder counts it for `LOAN_MS` from when it sent the answer that the node has
  confirmed to have received.

So it does not matter how many nodes take themselves for the holder: each grants no more
than what is lent to it, and a node lends to one at a time.
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

LOAN_MS: Final = 1_000.0
"""How long a node promises not to use its shares. Three exchanges fit in; a lost holder
interrupts small shares for as long."""
GRANT_MS: Final = 500.0
"""How long granted tokens may be used, from when they were asked for."""
REPLIES_KEPT: Final = 32
"""Answers whose sending times are remembered for each node."""
NOTHING_LENT: Final = 0
"""Number of no answer: a node that confirms it lends nothing yet, and a holder that
answers with it counts nothing as lent any more."""
SMALL_FLEET: Final = 16
"""Up to this number of nodes, an even share of less than one token of burst is rounded
up to one; above, the sum would exceed the burst by too much."""


def even_share(organisation: Organisation, nodes: int) -> tuple[float, float]:
    """Return rate (a second) and burst of one node's share."""
    part = 1.0 / max(1, nodes)
    burst = organisation.burst * part
    if burst < 1.0:
        burst = 1.0 if nodes <= SMALL_FLEET else 0.0
    return organisation.rate_per_s * part, burst


@attrs.define
class Borrower:
    """What the holder knows of one node that lends to it."""

    sent_ms: dict[int, float] = attrs.field(factory=dict)
    """When recent answers were sent, by number."""
    last_reply: int = 0
    lent_until_ms: float = 0.0
    nodes: int = 1
    """Nodes among which it divides the rates; a loan is one part of so many."""


@attrs.define
class LentBucket:
    """Tokens of one organisation at the holder."""

    bucket: Bucket
    outstanding: deque[tuple[float, int]] = attrs.field(factory=deque)
    """Granted tokens and when they can no longer be used."""


@attrs.define
class ShareHolder:
    """State of the rates' holder; construct it with `make_share_holder`.

    Parameters
    ----------
    epoch : int
        Number of this period as holder.
    since_ms : float
        When it began.
    """

    epoch: int
    since_ms: float
    organisations: Mapping[str, Organisation] = attrs.field(factory=dict)
    borrowers: dict[str, Borrower] = attrs.field(factory=dict)
    buckets: dict[str, LentBucket] = attrs.field(factory=dict)

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
        wanted: Iterable[tuple[str, int]],
        now_ms: float,
    ) -> tuple[int, tuple[tuple[str, int, float], ...]]:
        """Take a node's loan and return the number of the answer and the grants.

        Parameters
        ----------
        node : str
            The node.
        nodes : int
            Nodes among which it divides the rates.
        reply : int
            Number of the last answer of this period that the node has received.
        wanted : iterable
            Pairs of organisation and number of tokens.
        now_ms : float
            Present time in milliseconds.
        """
        self._refill(now_ms)
        borrower = self.borrowers.setdefault(node, Borrower())
        borrower.nodes = max(1, nodes)
        sent_ms = borrower.sent_ms.get(reply)
        if sent_ms is not None:
            lent_until_ms = sent_ms + LOAN_MS
            borrower.lent_until_ms = max(borrower.lent_until_ms, lent_until_ms)
        borrower.last_reply += 1
        borrower.sent_ms[borrower.last_reply] = now_ms
        borrower.sent_ms.pop(borrower.last_reply - REPLIES_KEPT, None)
        self._apply_rates(now_ms)
        granted = tuple(self._grant(name, tokens, now_ms) for name, tokens in wanted)
        return borrower.last_reply, granted

    def forget(self, node: str) -> None:
        """Count a node's shares as returned."""
        self.borrowers.pop(node, None)

    def _grant(self, name: str, tokens: int, now_ms: float) -> tuple[str, int, float]:
        lent = self.buckets.get(name)
        if lent is None:
            return name, 0, 0.0
        count = max(0, min(tokens, lent.bucket.available()))
        if count:
            lent.bucket.reserve(count)
            lent.outstanding.append((now_ms + GRANT_MS, count))
            return name, count, 0.0
        wait_ms = lent.bucket.wait_ms()
        return name, 0, wait_ms if math.isfinite(wait_ms) else GRANT_MS

    def _refill(self, now_ms: float) -> None:
        for lent in self.buckets.values():
            lent.bucket.refill(now_ms)
            while lent.outstanding and lent.outstanding[0][0] <= now_ms:
                _, count = lent.outstanding.popleft()
                lent.bucket.settle(count)

    def _apply_rates(self, now_ms: float) -> None:
        """Give the buckets the shares that are lent now."""
        lent = math.fsum(
            1.0 / borrower.nodes
            for borrower in self.borrowers.values()
            if borrower.lent_until_ms > now_ms
        )
        part = min(1.0, lent)
        for name, organisation in self.organisations.items():
            rate_micro = int(organisation.rate_per_s * part * MICRO)
            capacity = int(organisation.burst * part)
            known = self.buckets.get(name)
            if known is None:
                bucket = make_empty_bucket(rate_micro, capacity, now_ms)
                self.buckets[name] = LentBucket(bucket)
            else:
                known.bucket.configure(rate_micro, capacity)


def make_share_holder(epoch: int, since_ms: float) -> ShareHolder:
    """Return a holder to which nothing is lent yet."""
    return ShareHolder(epoch, since_ms)
