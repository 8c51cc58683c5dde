"""Ranks the members that can run a read; a read tries them in this order."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

ZONE_COST: Final = 1.0
"""Cost of a member in another zone, because traffic between zones is expensive. It is
above the cost of opening a connection, and equals that of one statement in flight for
each slot, so that a busy member in the node's zone does not build up a queue while
others are idle."""
CONNECT_COST: Final = 0.6
"""Cost of opening a connection, which occupies a slot of the member for about as long
as a statement."""
PRIMARY_COST: Final = 0.5
"""Cost of the primary for reads that replicas can serve: writes need its slots."""
BEHIND_COST: Final = 1.5
"""Cost of a member that may not have applied the position yet. A refusal costs a round
trip and the read moves to another member, so any other member is tried first."""
FAR_BEHIND_COST: Final = 10.0
"""Cost of a member that would refuse the read; it is tried last."""


@attrs.frozen
class Candidate:
    """A member that may run a read.

    Parameters
    ----------
    member : str
        Name.
    is_local : bool
        Whether it is in the node's zone.
    is_primary : bool
        Whether it is the primary of the group.
    has_connection : bool
        Whether the organisation has an idle connection to it.
    in_flight : int
        Statements of this node that run or wait there.
    slots : int
        Statements that the member runs at once.
    service_ms : float
        Recent mean duration of a statement there.
    is_behind : bool
        Whether it may lack the position that the read needs.
    is_far_behind : bool
        Whether it very likely lacks it.
    """

    member: str
    is_local: bool
    is_primary: bool
    has_connection: bool
    in_flight: int
    slots: int
    service_ms: float
    is_behind: bool = False
    is_far_behind: bool = False


def rank_candidates(candidates: Iterable[Candidate]) -> tuple[str, ...]:
    """Return the members in the order in which a read tries them.

    The cost grows with the statements in flight for each slot and with the recent
    duration of statements, so that a slow member gets fewer reads.
    """
    all_candidates = tuple(candidates)
    fastest_ms = min(
        (candidate.service_ms for candidate in all_candidates), default=1.0
    )
    ranked = sorted(
        all_candidates,
        key=lambda candidate: (_cost(candidate, fastest_ms), candidate.member),
    )
    return tuple(candidate.member for candidate in ranked)


def _cost(candidate: Candidate, fastest_ms: float) -> float:
    slowness = candidate.service_ms / max(fastest_ms, 1.0)
    cost = slowness * (1.0 + candidate.in_flight / max(1, candidate.slots))
    if not candidate.is_local:
        cost += ZONE_COST
    if not candidate.has_connection:
        cost += CONNECT_COST
    if candidate.is_primary:
        cost += PRIMARY_COST
    if candidate.is_behind:
        cost += BEHIND_COST
    if candidate.is_far_behind:
        cost += FAR_BEHIND_COST
    return cost
