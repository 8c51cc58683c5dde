"""Decides when a primary is moved out of an evacuated zone, and by which members."""

from __future__ import annotations

from typing import Final

from radishtrack.group.status import Role
from radishtrack.pooler.catalog import MemberReport
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.member_pool import MemberPool

EVACUATION_RETRY_MS: Final = 5_000.0
"""Pause after an attempt that found no successor outside. Each attempt fences replicas
and so delays commits; a replica that lags needs seconds to receive the log."""


def is_in_evacuated_zone(access: GroupAccess, member: str) -> bool:
    """Return whether a member of a group is in an evacuated zone."""
    pool = access.pools.get(member)
    return pool is not None and access.evacuated.includes(pool.member.zone)


def list_evacuated_members(access: GroupAccess) -> frozenset[str]:
    """Return the group's members that are in evacuated zones."""
    return frozenset(
        name for name in access.pools if is_in_evacuated_zone(access, name)
    )


def can_move_primary(access: GroupAccess) -> bool:
    """Return whether a member outside the evacuated zones can take over.

    While the primary in the zone still takes work, reports of different times can't be
    compared, and a member with any position may catch up. Afterwards the log is at
    rest, and the member must have what the zone's replicas have received.
    """
    reports = [
        report
        for name, pool in access.pools.items()
        if (report := _find_successor_report(access, name, pool)) is not None
    ]
    if not reports:
        return False
    primary = access.primary_pool
    if primary is not None and access.may_use(primary.member.name, for_primary=True):
        return True
    most_advanced = max(report.position for report in reports)
    return all(
        report.position <= most_advanced
        for name in list_evacuated_members(access) - {access.evidence.primary}
        if name not in access.evidence.incomplete
        and (report := access.evidence.find_report(name)) is not None
    )


def is_primary_stranded(access: GroupAccess) -> bool:
    """Return whether the primary may get no work and no other member can take over.

    Waiting for a promotion is then of no use.
    """
    primary = access.primary_pool
    if primary is None or not access.evacuated.includes(primary.member.zone):
        return False
    may_serve = access.may_use(primary.member.name, for_primary=True)
    return not may_serve and not can_move_primary(access)


def order_fences(access: GroupAccess, names: list[str]) -> list[list[str]]:
    """Return members in the groups in which a promotion fences them.

    A replica receives no more of the log once it is fenced. Those in evacuated zones
    are fenced first, so that one outside is the most advanced.
    """
    first = [
        name
        for name in names
        if is_in_evacuated_zone(access, name) and access.pools[name].is_reachable
    ]
    rest = [name for name in names if name not in first]
    return [group for group in (first, rest) if group]


def may_start_evacuation(
    *,
    has_failed_attempt: bool,
    last_claim_ms: float,
    rank_delay_ms: float,
    now_ms: float,
) -> bool:
    """Return whether a planned promotion out of a zone may start now.

    Parameters
    ----------
    has_failed_attempt : bool
        Whether a promotion to a later term was announced for the group without effect.
    last_claim_ms : float
        When any node was last seen to claim the duty of promotions.
    rank_delay_ms : float
        Delay of this node after the first one in the order of nodes.
    now_ms : float
        Current time in milliseconds.
    """
    retry_ms = last_claim_ms + EVACUATION_RETRY_MS + rank_delay_ms
    return not has_failed_attempt or now_ms >= retry_ms


def _find_successor_report(
    access: GroupAccess, name: str, pool: MemberPool
) -> MemberReport | None:
    """Return a member's report if the member may become the primary."""
    report = access.evidence.find_report(name)
    if (
        report is None
        or access.evacuated.includes(pool.member.zone)
        or not pool.is_reachable
        or pool.member.is_leaving
        or name in access.unlisted_ms
        or name in access.evidence.incomplete
        or report.role is not Role.REPLICA
        or report.term != access.evidence.term
    ):
        return None
    return report
