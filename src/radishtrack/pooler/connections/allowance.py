"""Decides how many connections to a member one node may have.

All nodes see the same count of a member's open connections, up to about 2 s late. Each
report gives every node rights, each of which permits one more connection until the next
report. In expectation, all nodes together have at most `overcommitment` times the free
connections as rights, so that only a burst at a larger fraction of the nodes than its
inverse within one report can take more than is free. The factor falls to half with each
report that shows more than the usable connections, and grows slowly otherwise.
"""

from __future__ import annotations

import hashlib
import math
from collections import deque
from typing import Final

import attrs

MIN_CONNECTIONS: Final = 1
"""Connections to a member that a node may use even if its share is smaller."""
REPORT_VALID_MS: Final = 3_000.0
"""Age up to which a report permits growth. Reports are usually less than 2 s old."""
MAX_OVERCOMMITMENT: Final = 8.0
"""Rights that all nodes together may have, as a multiple of the free connections. With
a factor of 1, most rights are at nodes without waiting work: simulated bursts at 8% of
the nodes then leave a fifth of the usable connections unused while work waits."""
MIN_OVERCOMMITMENT: Final = 1.0
"""Lower bound, and the value at the start, when all nodes may have restarted."""
OVERCOMMITMENT_GROWTH: Final = 1.25
"""Factor by which it grows with each report: from 1 to 8 in 10 reports or 9 s."""
MAX_RIGHTS: Final = 3
"""Rights of one node for one report."""
MAX_NODE_FRACTION: Final = 0.25
"""Fraction of the usable connections that one node may have. Without this bound, one
node whose statements get no response would take all free connections in time. Where
the fraction is small, `MAX_RIGHTS` beyond the equal share are permitted."""
REFUSAL_PAUSE_MS: Final = 1_000.0
"""Shortest time without growth after a refusal: one interval between reports."""
REFUSAL_SPREAD_MS: Final = 1_000.0
"""Random part of that time, so that refused nodes do not return together."""


@attrs.frozen
class ConnectionBudget:
    """Connections of a member and the nodes that share them.

    Parameters
    ----------
    accepted : int
        Connections that the member accepts.
    usable : int
        Connections that the nodes may use; the others stay free for restarts.
    nodes : int
        Number of nodes.
    """

    accepted: int
    usable: int
    nodes: int

    @property
    def kept_idle(self) -> int:
        """A node's equal share, which it may keep open without work."""
        return self.usable // self.nodes

    @property
    def equal_share(self) -> int:
        """Connections that a node may always use."""
        return max(MIN_CONNECTIONS, self.kept_idle)

    @property
    def max_limit(self) -> int:
        """Most connections of one node."""
        fraction = int(self.usable * MAX_NODE_FRACTION)
        return max(self.equal_share + MAX_RIGHTS, fraction)

    def count_free(self, connections: int) -> int:
        """Return how many connections may be added to `connections` open ones."""
        return max(0, self.usable - connections)


@attrs.frozen
class ConnectionReport:
    """A member's count of its open connections.

    Parameters
    ----------
    connections : int or None
        Open connections of all nodes; None if the member does not report them.
    requested_ms : float
        Time of the request; identifies the report.
    """

    connections: int | None
    requested_ms: float


NO_REPORT: Final = ConnectionReport(None, -math.inf)


def decide_rights(
    capacity: ConnectionBudget,
    connections: int,
    overcommitment: float,
    opened_since: int,
    draw: float,
) -> int:
    """Return a node's rights after a report.

    Parameters
    ----------
    capacity : ConnectionBudget
        The member's connections.
    connections : int
        Open connections of all nodes, as reported.
    overcommitment : float
        Rights that all nodes may have, as a multiple of the free connections.
    opened_since : int
        Connections that this node added after the report was requested; the report
        lacks them.
    draw : float
        Random number from 0 up to 1, of this node, member and report.
    """
    part = capacity.count_free(connections) / capacity.nodes
    # Rounding at random keeps the sum over all nodes where a part is below one.
    rights = math.floor(min(MAX_RIGHTS, overcommitment * part) + draw)
    return max(0, rights - opened_since)


def draw_number(seed: str, number: int) -> float:
    """Return the stable random number from 0 up to 1 of a report."""
    digest = hashlib.blake2b(f"{seed}/{number}".encode(), digest_size=8).digest()
    return int.from_bytes(digest) / 2**64


@attrs.define
class Allowance:
    """A node's connection limit at one member.

    Parameters
    ----------
    seed : str
        Names of the node and of the member, for random numbers.
    capacity : ConnectionBudget
        The member's connections.
    """

    seed: str
    capacity: ConnectionBudget
    limit: int = attrs.field(init=False)
    """Connections that the node may have."""
    rights: int = 0
    """Connections that the node may add to its limit."""
    overcommitment: float = MIN_OVERCOMMITMENT
    report: ConnectionReport = NO_REPORT
    report_count: int = 0
    refusals: int = 0
    """Number of connections refused because the member had no free one."""
    paused_until_ms: float = -math.inf
    added_ms: deque[float] = attrs.field(factory=deque)
    """Times at which the limit grew, no longer ago than `REPORT_VALID_MS`."""

    def __attrs_post_init__(self) -> None:
        self.limit = self.capacity.equal_share

    def set_capacity(self, capacity: ConnectionBudget) -> None:
        """Apply new settings or another number of nodes."""
        self.capacity = capacity
        self.limit = min(max(self.limit, capacity.equal_share), capacity.max_limit)

    def observe_report(self, report: ConnectionReport, now_ms: float) -> None:
        """Apply a report; one that was already applied has no effect."""
        if report.requested_ms <= self.report.requested_ms:
            return
        self.report = report
        self.report_count += 1
        if not self.has_valid_report(now_ms) or report.connections is None:
            return
        if report.connections > self.capacity.usable:
            self._set_limit(self.limit - 1)
            self.rights = 0
            self._set_overcommitment(self.overcommitment / 2)
            return
        self._set_overcommitment(self.overcommitment * OVERCOMMITMENT_GROWTH)
        while self.added_ms and self.added_ms[0] < now_ms - REPORT_VALID_MS:
            self.added_ms.popleft()
        self.rights = decide_rights(
            self.capacity,
            report.connections,
            self.overcommitment,
            sum(added_ms >= report.requested_ms for added_ms in self.added_ms),
            draw_number(self.seed, self.report_count),
        )

    def has_valid_report(self, now_ms: float) -> bool:
        """Return whether the last report counts connections and is recent."""
        return (
            self.report.connections is not None
            and now_ms - self.report.requested_ms <= REPORT_VALID_MS
        )

    def grow(self, wanted: int, now_ms: float) -> None:
        """Raise the limit by up to `wanted` connections, as far as rights permit."""
        if now_ms < self.paused_until_ms or not self.has_valid_report(now_ms):
            return
        added = min(wanted, self.rights, self.capacity.max_limit - self.limit)
        if added > 0:
            self.rights -= added
            self.limit += added
            self.added_ms.extend([now_ms] * added)

    def shrink(self, needed: int) -> None:
        """Lower the limit to the connections that the node has, and keep the rights.

        A connection that was closed is free again for all nodes, of which this one may
        need it first.
        """
        limit = max(needed, self.capacity.equal_share)
        if limit < self.limit:
            self.rights = min(MAX_RIGHTS, self.rights + self.limit - limit)
            self.limit = limit

    def record_refusal(self, now_ms: float) -> None:
        """Halve the extra connections and pause growth after a refusal."""
        self.refusals += 1
        self.rights = 0
        extra = self.limit - self.capacity.equal_share
        self._set_limit(self.capacity.equal_share + extra // 2)
        spread = draw_number(self.seed, -self.refusals)
        self.paused_until_ms = now_ms + REFUSAL_PAUSE_MS + REFUSAL_SPREAD_MS * spread

    def _set_overcommitment(self, factor: float) -> None:
        self.overcommitment = min(MAX_OVERCOMMITMENT, max(MIN_OVERCOMMITMENT, factor))

    def _set_limit(self, limit: int) -> None:
        self.limit = max(self.capacity.equal_share, limit)
