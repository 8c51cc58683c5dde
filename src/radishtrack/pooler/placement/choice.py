"""Orders the members that can run a read by the expected time to its completion."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs

from radishtrack.pooler.catalog import ReadClass
from radishtrack.pooler.evidence import GroupEvidence
from radishtrack.pooler.member_pool import MemberPool
from radishtrack.pooler.member_ranking import (
    BEHIND_COST,
    FAR_BEHIND_COST,
    PRIMARY_COST,
    ZONE_COST,
    Candidate,
)
from radishtrack.pooler.placement.capacity import (
    MemberCapacity,
    make_member_capacity,
    queue_factor,
)
from radishtrack.pooler.placement.service_times import ServiceTimes, StatementKind

CONNECT_MS: Final = 14.0
"""Time to open a connection: 12 ms of a slot and the round trips."""
CONNECTION_WAIT_COST: Final = 4.0
"""Cost of waiting for a connection of this node, which one statement or a whole
transaction with its pauses holds."""
FAILURE_COST: Final = 2.0
"""Cost of a failed attempt: the retry at another member, and the risk that it fails as
well, after which the client gets the failure."""
STRICT_COST: Final = 1.5
"""Additional cost of an idle primary that has much strict work; it doubles at a load
equal to the limit."""
UNKNOWN_COST: Final = 0.25
"""Cost of a member whose speed is unknown."""
UNKNOWN_LIMIT: Final = 0.5
"""Factor of the limit of a member whose speed is unknown."""
PROBE_SHARE: Final = 0.02
"""Fraction of reads that an unknown member gets although others are better."""
SPREAD: Final = 0.2
"""Random part of the cost when reports are old. Nodes decide on the same reports; with
it, a small difference of cost moves a part of the reads only, while the cost of a zone
(five times as much) still keeps 99% of them."""
SMALLEST_DRAW: Final = 1e-12
"""Replaces a drawn 0, which has no logarithm."""
SPREAD_AGE_MS: Final = 1_000.0
"""Age of reports from which the random part is complete."""


@attrs.define
class Estimate:
    """Expected cost of a read at one member, in service times of the fastest one.

    Parameters
    ----------
    member : str
        Name.
    load, limit : float
        Expected statements there, and how many it runs well at once.
    slowness : float
        Response time without a queue, relative to the fastest candidate.
    failure_rate : float
        Fraction of statements expected to fail.
    completion : float
        Expected time to completion, including failures and connections.
    other : float
        Costs of zone, primary, missing log and missing knowledge.
    is_unknown : bool
        Whether there are no recent samples of its speed.
    """

    member: str
    load: float
    limit: float
    slowness: float
    failure_rate: float
    completion: float
    other: float
    is_unknown: bool

    @property
    def cost(self) -> float:
        """Cost by which members are compared."""
        return self.completion + self.other


def estimate_cost(
    candidate: Candidate,
    capacity: MemberCapacity,
    *,
    connections: int,
    usual_ms: float,
    slowness: float,
    fastest: float,
    now_ms: float,
) -> Estimate:
    """Return the expected cost of a read at a member.

    Parameters
    ----------
    candidate : Candidate
        The member.
    capacity : MemberCapacity
        What is known about it.
    connections : int
        Connections that this node may have to it.
    usual_ms : float
        Usual response time of the statement in milliseconds.
    slowness : float
        The member's slowness.
    fastest : float
        Slowness of the fastest candidate, which the other costs relate to.
    now_ms : float
        Current time in milliseconds.
    """
    is_unknown = capacity.is_unknown(now_ms)
    limit = capacity.limit(now_ms) * (UNKNOWN_LIMIT if is_unknown else 1.0)
    load = capacity.load(candidate.in_flight, now_ms)
    slowness /= fastest
    failure_rate = capacity.failure_rate(now_ms)
    completion = slowness * (1.0 + queue_factor(load, limit)) / (1.0 - failure_rate)
    completion += FAILURE_COST * failure_rate
    waiting = candidate.in_flight + 1 - connections
    if waiting > 0:
        completion += CONNECTION_WAIT_COST * waiting / max(1, connections)
    elif not candidate.has_connection:
        completion += slowness * CONNECT_MS / max(1.0, usual_ms * fastest)
    other = 0.0 if candidate.is_local else ZONE_COST
    if candidate.is_primary:
        strict = capacity.strict_work(now_ms)
        strict_share = strict / (strict + 1.0)
        other += PRIMARY_COST + STRICT_COST * strict_share * (
            1.0 + load / max(1.0, limit)
        )
    if candidate.is_behind:
        other += BEHIND_COST
    if candidate.is_far_behind:
        other += FAR_BEHIND_COST
    if is_unknown:
        other += UNKNOWN_COST
    return Estimate(
        candidate.member,
        load,
        limit,
        slowness,
        failure_rate,
        completion,
        other,
        is_unknown,
    )


def order_estimates(
    estimates: Iterable[Estimate],
    report_age_ms: float,
    draw: Callable[[], float],
) -> tuple[str, ...]:
    """Return the members in the order in which a read tries them.

    Parameters
    ----------
    estimates : iterable of Estimate
        The members that can run it.
    report_age_ms : float
        Age of the oldest report that the estimates use.
    draw : callable
        Returns random numbers, at least 0 and below 1.
    """
    spread = SPREAD * min(1.0, report_age_ms / SPREAD_AGE_MS)
    keyed = [
        (estimate.cost - spread * _draw_gumbel(draw), estimate.member, estimate)
        for estimate in estimates
    ]
    keyed.sort(key=lambda item: item[:2])
    ordered = [estimate for _, _, estimate in keyed]
    probed = [
        estimate
        for estimate in ordered[1:]
        if estimate.is_unknown
        and estimate.other < BEHIND_COST
        and estimate.load < estimate.limit
    ]
    if probed and not ordered[0].is_unknown and draw() < PROBE_SHARE:
        ordered.remove(probed[0])
        ordered.insert(0, probed[0])
    return tuple(estimate.member for estimate in ordered)


def _draw_gumbel(draw: Callable[[], float]) -> float:
    """Return a number whose addition makes the choice a logit choice."""
    return -math.log(-math.log(draw() or SMALLEST_DRAW))


@attrs.define(eq=False)
class Placement:
    """Chooses members of one group by what this node has learned about them."""

    draw: Callable[[], float] = random.random
    times: ServiceTimes = attrs.field(factory=ServiceTimes)

    def make_capacity(self, slots: int) -> MemberCapacity:
        """Return the state of a member of which nothing is known."""
        return make_member_capacity(slots, self.times)

    def observe(self, pool: MemberPool, evidence: GroupEvidence) -> None:
        """Apply a member's last report and its role to its state."""
        name = pool.member.name
        observation = evidence.observations.get(name)
        if observation is not None:
            pool.capacity.observe_load(
                observation.report.busy, observation.requested_ms
            )
        if evidence.primary:
            pool.capacity.observe_role(name == evidence.primary)

    def estimate(
        self,
        candidates: Iterable[Candidate],
        pools: Mapping[str, MemberPool],
        evidence: GroupEvidence,
        read_class: ReadClass,
        now_ms: float,
    ) -> list[Estimate]:
        """Return the expected cost of a read at each member."""
        usual_ms = self.times.usual_ms((StatementKind.READ, read_class))
        pairs = [(candidate, pools[candidate.member]) for candidate in candidates]
        for _, pool in pairs:
            self.observe(pool, evidence)
        slowness = [pool.capacity.slowness(now_ms) for _, pool in pairs]
        fastest = min(slowness, default=1.0)
        return [
            estimate_cost(
                candidate,
                pool.capacity,
                connections=pool.gate.queue.connections,
                usual_ms=usual_ms,
                slowness=own_slowness,
                fastest=fastest,
                now_ms=now_ms,
            )
            for (candidate, pool), own_slowness in zip(pairs, slowness, strict=True)
        ]

    def order(
        self,
        candidates: Iterable[Candidate],
        pools: Mapping[str, MemberPool],
        evidence: GroupEvidence,
        read_class: ReadClass,
        now_ms: float,
    ) -> tuple[str, ...]:
        """Return the members in the order in which a read tries them."""
        estimates = self.estimate(candidates, pools, evidence, read_class, now_ms)
        age_ms = max(
            (pools[e.member].capacity.report_age_ms(now_ms) for e in estimates),
            default=0.0,
        )
        return order_estimates(estimates, age_ms, self.draw)
