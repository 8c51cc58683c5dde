"""Choice of the next primary among fenced members."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from radishtrack.group.status import Group, MemberStatus, count_next_holders


@attrs.define(frozen=True)
class Elected:
    """The member to promote.

    Parameters
    ----------
    member : str
        Name of the member.
    start_sequence : int
        Length of the log with which the new term begins.
    members : tuple of str
        The members of the new term, if they are others than those of the last one.
    """

    member: str
    start_sequence: int
    members: tuple[str, ...] = ()


@attrs.define(frozen=True)
class NotElected:
    """No member can be promoted safely."""

    reason: str


def discard_limit(status: MemberStatus, group: Group) -> int:
    """Return the sequence beyond which a member must discard its log.

    A member that missed promotions may hold changes that one of them left out, even if
    a later term started beyond them; a client may have the outcome "not run" for them.

    Parameters
    ----------
    status : MemberStatus
        The member's status; its log is part of the log of `status.term`.
    group : Group
        The group with the starts of all terms.

    Returns
    -------
    int
        The lowest start of the terms that the member missed, or the end of its log.
    """
    starts = (
        start.sequence
        for start in group.history
        if status.term < start.term <= group.term
    )
    return min(starts, default=status.position.sequence)


def kept_sequence(status: MemberStatus, group: Group) -> int:
    """Return how much of a member's log belongs to the log of the group's term.

    These parts are all prefixes of the same log, so their lengths alone order them.
    """
    return min(status.position.sequence, discard_limit(status, group))


def elect(
    statuses: Iterable[MemberStatus],
    group: Group,
    new_term: int,
    leaving: frozenset[str] = frozenset(),
    confirmed_sequence: int = 0,
) -> Elected | NotElected:
    """Choose the most advanced fenced member.

    Parameters
    ----------
    statuses : iterable of MemberStatus
        Responses to the fence command.
    group : Group
        The record read before fencing.
    new_term : int
        The term for which the members were fenced.
    leaving : frozenset of str
        Members that are being taken out of service.
    confirmed_sequence : int
        A sequence up to which commits are known to be confirmed. Members that keep
        their logs have it; one that started again without its log may not.

    Returns
    -------
    Elected or NotElected
        The member and where the new term begins, or why no member was chosen.
    """
    all_fenced = {
        status.member: status
        for status in statuses
        if _has_log_of_group(status, group)
        and status.fenced_term == new_term
        and status.term < new_term
    }
    fenced = {
        member: status
        for member, status in all_fenced.items()
        if member in group.members
    }
    if len(fenced) < group.fence_quorum:
        return NotElected(
            f"{len(fenced)} of {len(group.members)} members fenced for term "
            f"{new_term}; {group.fence_quorum} are needed"
        )

    max_sequence = max(kept_sequence(status, group) for status in fenced.values())
    if max_sequence < confirmed_sequence:
        return NotElected(
            f"the fenced members have commits up to {max_sequence}, and commits up to "
            f"{confirmed_sequence} are confirmed"
        )
    # A member that still holds changes which an earlier promotion left out would
    # restore them; it has to discard them before it is fenced, see `discard_limit`.
    complete = [
        status
        for status in all_fenced.values()
        if status.position.sequence == kept_sequence(status, group) == max_sequence
    ]
    members = group.members
    if _can_change_members(all_fenced.values(), group, max_sequence):
        members = group.next_members
    candidates = [status for status in complete if status.member in members]
    if not candidates:
        return NotElected(
            "the most advanced fenced member has changes to discard first"
        )

    def preference(status: MemberStatus) -> tuple[bool, bool, str]:
        # The replaced primary ranks after members with an equal log because most
        # voters cannot reach it.
        return (
            status.member in leaving
            or (bool(group.next_members) and status.member not in group.next_members),
            status.member == group.primary,
            status.member,
        )

    # A leaving member that is strictly ahead is still elected: it may be the only
    # fenced member that holds an acknowledged commit, and losing the commit is worse
    # than a second promotion when the member leaves.
    chosen = min(candidates, key=preference).member
    if members == group.members:
        return Elected(chosen, max_sequence)
    return Elected(chosen, max_sequence, members)


def _has_log_of_group(status: MemberStatus, group: Group) -> bool:
    # A member that is new in the list has joined the term only with a matching log.
    return status.member in group.members or (
        status.member in group.next_members and status.term == group.term
    )


def _can_change_members(
    fenced: Iterable[MemberStatus], group: Group, start_sequence: int
) -> bool:
    """Return whether each majority of the next members contains the new term's log.

    One of the holders must be a possible primary: without changes that only it has.
    """
    if not group.next_members:
        return False
    kept = [
        (status.position.sequence, kept_sequence(status, group))
        for status in fenced
        if status.member in group.next_members
    ]
    holders = sum(sequence >= start_sequence for _, sequence in kept)
    return (
        holders >= count_next_holders(group)
        and (start_sequence, start_sequence) in kept
    )
