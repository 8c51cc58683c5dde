"""Conditions for a planned change of term: a leaving primary, or other members.

The primary is fenced first, so that it commits nothing more; once a replica has its
whole log, an ordinary promotion elects that replica. The write outage lasts for the lag
of that replica instead of a detection time, and no commit is discarded.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from radishtrack.group.status import Group, MemberStatus, Role, count_next_holders

MAX_LAG_CHANGES: Final = 1_000
"""A replica further behind would take too long to catch up with a fenced primary."""


def should_switch_over(
    group: Group, statuses: Iterable[MemberStatus], leaving: frozenset[str], rank: int
) -> bool:
    """Decide whether this node starts a planned change of primary now.

    Parameters
    ----------
    group : Group
        The group's record.
    statuses : iterable of MemberStatus
        Recent statuses of the members.
    leaving : frozenset of str
        Members that are being taken out of service.
    rank : int
        This node's rank in the placement order; only rank 0 starts the change.
    """
    if rank != 0 or not (group.next_members or group.primary in leaving):
        return False
    in_service = {
        status.member: status
        for status in statuses
        if status.term == group.term and not status.is_fenced
    }
    primary = in_service.get(group.primary)
    if primary is None:
        return False
    needed = primary.position.sequence - MAX_LAG_CHANGES
    if group.next_members:
        return _count_next(in_service.values(), group, needed) >= count_next_holders(
            group
        )
    return any(
        status.position.sequence >= needed
        for status in _iterate_successors(in_service.values(), group, leaving)
    )


def has_caught_up(
    fenced_primary: MemberStatus,
    group: Group,
    statuses: Iterable[MemberStatus],
    leaving: frozenset[str],
) -> bool:
    """Return whether the members that stay have all of the primary's log.

    This is one replica, or enough of the next members if the list changes.
    """
    if group.next_members:
        sequence = fenced_primary.position.sequence
        holders = _count_next((fenced_primary, *statuses), group, sequence)
        return holders >= count_next_holders(group)
    return any(
        status.position >= fenced_primary.position
        for status in _iterate_successors(statuses, group, leaving)
        if status.term == group.term
    )


def _count_next(statuses: Iterable[MemberStatus], group: Group, sequence: int) -> int:
    holders = {
        status.member
        for status in statuses
        if status.member in group.next_members
        and status.term == group.term
        and status.position.sequence >= sequence
    }
    return len(holders)


def _iterate_successors(
    statuses: Iterable[MemberStatus], group: Group, leaving: frozenset[str]
) -> Iterable[MemberStatus]:
    return (
        status
        for status in statuses
        if status.member != group.primary
        and status.member not in leaving
        and status.role is Role.REPLICA
    )
