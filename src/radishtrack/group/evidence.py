"""Evidence that one round of status polls gives about a term and its log."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import attrs

from radishtrack.group.status import Group, MemberStatus, Role
from radishtrack.session.position import Position


@attrs.define(frozen=True)
class StatusRound:
    """The responses to status polls that were all sent at or after `started_ms`.

    Parameters
    ----------
    started_ms : float
        Lower bound of the send times, in milliseconds of the clock.
    statuses : mapping of str to MemberStatus
        Status of each member that responded in the round, by name.
    """

    started_ms: float
    statuses: Mapping[str, MemberStatus]


@attrs.define(frozen=True)
class ServeReplicas:
    """The named replicas hold every commit acknowledged before the round.

    Parameters
    ----------
    members : tuple of str
        Replicas that may serve immediately.
    position : Position
        A position that covers every acknowledged commit.
    """

    members: tuple[str, ...]
    position: Position


@attrs.define(frozen=True)
class ServeReplicasAtLeast:
    """Any replica of the term at or past the primary's position may serve."""

    position: Position


@attrs.define(frozen=True)
class ServePrimary:
    """The primary may serve; its position after the read needs confirmation."""

    position: Position


@attrs.define(frozen=True)
class NoEvidence:
    """The round does not show that the term is current."""

    reason: str


StrictChoice = ServeReplicas | ServeReplicasAtLeast | ServePrimary | NoEvidence


def count_confirming_replicas(group: Group) -> int:
    """Return how many replicas must hold a commit before it is acknowledged.

    Together with the primary they must meet every fence quorum: with five members one
    replica is not enough, because the primary and that replica can both be outside
    the three fenced members.
    """
    if len(group.members) == 1:
        return 0
    return max(1, len(group.members) - group.fence_quorum)


def is_in_service(status: MemberStatus, group: Group) -> bool:
    """Return whether a status belongs to the group's term and is not fenced."""
    return (
        status.member in group.members
        and status.term == group.term
        and not status.is_fenced
    )


def iterate_replicas(status_round: StatusRound, group: Group) -> Iterator[MemberStatus]:
    """Yield the replicas of the round that are in service in the group's term."""
    return (
        status
        for status in status_round.statuses.values()
        if is_in_service(status, group)
        and status.member != group.primary
        and status.role is Role.REPLICA
    )


def find_primary(status_round: StatusRound, group: Group) -> MemberStatus | None:
    """Return the primary's status if it is in service in the group's term."""
    status = status_round.statuses.get(group.primary)
    if status is None or not is_in_service(status, group):
        return None
    return status if status.role is Role.PRIMARY else None


def count_unfenced(status_round: StatusRound, group: Group) -> int:
    """Return the number of members reported unfenced in the group's term."""
    return sum(
        is_in_service(status, group) for status in status_round.statuses.values()
    )


def has_term_evidence(status_round: StatusRound, group: Group) -> bool:
    """Return whether the group's term was still current when the round started.

    A member never returns to an earlier term, so a member reported unfenced in the term
    was not fenced before the round. With n - fence quorum + 1 such members fewer than
    a fence quorum were fenced, and no later term had been recorded.
    """
    needed = len(group.members) - group.fence_quorum + 1
    return count_unfenced(status_round, group) >= needed


def confirmed_position(status_round: StatusRound, group: Group) -> Position | None:
    """Return the most advanced position that enough unfenced replicas have reached.

    Parameters
    ----------
    status_round : StatusRound
        Responses of members.
    group : Group
        The group and its term.

    Returns
    -------
    Position or None
        Every later promotion keeps the log of the term up to this position; None
        without enough replicas.
    """
    needed = count_confirming_replicas(group)
    if needed == 0:
        primary = find_primary(status_round, group)
        return None if primary is None else primary.position
    return _nth_most_advanced(iterate_replicas(status_round, group), needed)


def choose_strict(status_round: StatusRound, group: Group) -> StrictChoice:
    """Choose where a strict read that arrived before the round can run.

    The primary and at least ``needed`` replicas (see `count_confirming_replicas`) hold
    an acknowledged commit. If ``missing`` replicas did not respond in the term, at
    least ``needed - missing`` of the others hold it, so the position at that rank
    covers it. Once ``missing`` reaches ``needed``, only the primary's position does.

    Parameters
    ----------
    status_round : StatusRound
        A round that started after the read arrived.
    group : Group
        The group and its term.

    Returns
    -------
    ServeReplicas, ServeReplicasAtLeast, ServePrimary or NoEvidence
        The members that may serve, or why none may.
    """
    if not has_term_evidence(status_round, group):
        unfenced = count_unfenced(status_round, group)
        return NoEvidence(
            f"{unfenced} of {len(group.members)} members are unfenced in term "
            f"{group.term}"
        )
    replicas = tuple(iterate_replicas(status_round, group))
    missing = len(group.members) - 1 - len(replicas)
    rank = count_confirming_replicas(group) - missing
    covering = _nth_most_advanced(iter(replicas), rank) if rank > 0 else None
    if covering is not None:
        return ServeReplicas(_members_at(replicas, covering), covering)
    primary = find_primary(status_round, group)
    if primary is None:
        return NoEvidence("neither the primary nor enough replicas responded")
    if _members_at(replicas, primary.position):
        return ServeReplicasAtLeast(primary.position)
    return ServePrimary(primary.position)


def _members_at(
    replicas: tuple[MemberStatus, ...], position: Position
) -> tuple[str, ...]:
    return tuple(
        status.member
        for status in replicas
        if status.position.sequence >= position.sequence
    )


def _nth_most_advanced(statuses: Iterator[MemberStatus], rank: int) -> Position | None:
    positions = sorted((status.position for status in statuses), reverse=True)
    return positions[rank - 1] if len(positions) >= rank else None
