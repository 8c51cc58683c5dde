"""Detection of failed members and the conditions for starting a promotion."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

from radishtrack.group.evidence import is_in_service
from radishtrack.group.status import Group, MemberStatus, Role

POLL_INTERVAL_MS: Final = 250.0
"""Interval of status polls to a member while no request waits for one."""

SUSPICION_MS: Final = 1_500.0
"""Time without a healthy status after which a member is suspected."""

REFUSED_SUSPICION_MS: Final = 500.0
"""Time of refused connections after which a member is suspected. Usually its host runs
without it then, so this can be shorter than `SUSPICION_MS`. A network may refuse
connections as well, so a promotion needs votes and fences in any case."""

VOTE_LIFETIME_MS: Final = 1_500.0
"""Time for which a vote counts; an older one may no longer be true."""

RANK_DELAY_MS: Final = 500.0
"""Start delay of a promoter per placement rank, so that attempts seldom race."""

ABANDONED_MS: Final = 1_000.0
"""Time after which another node completes a promotion that stopped after fencing."""


def is_healthy_status(status: MemberStatus, group: Group) -> bool:
    """Return whether a status shows that the member fulfils its role in the group.

    A recorded primary that responds but was never promoted, or was demoted by an error,
    accepts no writes and must be suspected like an unresponsive one. A fenced primary
    is left to `FencingWatch`, which needs no vote.
    """
    if status.member != group.primary:
        return True
    if status.term > group.term:
        # The caller's record is outdated, which is no fault of the member.
        return True
    return status.role is Role.PRIMARY and status.term == group.term


def was_promoted(statuses: Iterable[MemberStatus], group: Group) -> bool:
    """Return whether a replica shows that the recorded primary was promoted.

    A replica joins a term only after its primary did. A primary of a lower term has
    then lost its data, and must not be promoted again.
    """
    return any(
        status.member != group.primary and status.term == group.term
        for status in statuses
    )


@attrs.define
class Suspicion:
    """Time of the last healthy status and of refused connections, by member."""

    last_healthy_ms: dict[str, float] = attrs.field(factory=dict)
    refused_ms: dict[str, float] = attrs.field(factory=dict)
    """First refused connection since the last poll with another result."""

    def set_members(self, members: Iterable[str], now_ms: float) -> None:
        """Track exactly `members`; a new one starts as if it had just responded."""
        self.last_healthy_ms = {
            member: self.last_healthy_ms.get(member, now_ms) for member in members
        }

    def record_healthy_status(self, member: str, now_ms: float) -> None:
        """Record a healthy status, which also ends a series of refused connections."""
        if member in self.last_healthy_ms:
            self.last_healthy_ms[member] = now_ms
        self.refused_ms.pop(member, None)

    def record_refusal(self, member: str, now_ms: float) -> None:
        """Record that the member's host refused a connection."""
        self.refused_ms.setdefault(member, now_ms)

    def record_no_response(self, member: str) -> None:
        """Record a failure that does not show whether the member runs."""
        self.refused_ms.pop(member, None)

    def reset(self, member: str, now_ms: float) -> None:
        """Restart the member's suspicion time, for example after its promotion."""
        self.record_healthy_status(member, now_ms)

    def is_suspected(self, member: str, now_ms: float) -> bool:
        """Return whether a member was unhealthy or refused connections for too long."""
        last_healthy_ms = self.last_healthy_ms.get(member)
        if last_healthy_ms is None:
            return False
        refused_ms = self.refused_ms.get(member, now_ms)
        return (
            now_ms - last_healthy_ms >= SUSPICION_MS
            or now_ms - refused_ms >= REFUSED_SUSPICION_MS
        )


@attrs.define(frozen=True)
class Vote:
    """One voter's report on the primary."""

    is_unreachable: bool
    received_ms: float


@attrs.define
class VoteTally:
    """Votes of all voters on whether the primary is unreachable.

    Parameters
    ----------
    voters : tuple of str
        All voters, whether they respond or not.
    """

    voters: tuple[str, ...]
    votes: dict[str, Vote] = attrs.field(factory=dict)

    def record(self, voter: str, is_unreachable: bool, now_ms: float) -> None:
        """Record the latest vote of a voter; other nodes are ignored."""
        if voter in self.voters:
            self.votes[voter] = Vote(is_unreachable, now_ms)

    def has_majority(self, now_ms: float) -> bool:
        """Return whether a majority of all voters reports the primary unreachable.

        Voters that did not respond count as opposed: otherwise one node that is cut off
        from all others would be a majority by itself.
        """
        agreeing = sum(
            vote.is_unreachable and now_ms - vote.received_ms <= VOTE_LIFETIME_MS
            for vote in self.votes.values()
        )
        return agreeing > len(self.voters) // 2


def make_vote_tally(voters: Iterable[str]) -> VoteTally:
    """Return a tally without votes."""
    return VoteTally(tuple(dict.fromkeys(voters)))


def start_delay_ms(rank: int) -> float:
    """Return how long a node waits before it starts a promotion.

    Parameters
    ----------
    rank : int
        Rank of the node in the database's placement order; 0 starts immediately.

    Returns
    -------
    float
        Delay in milliseconds.
    """
    return RANK_DELAY_MS * rank


@attrs.define
class FencingWatch:
    """Time since which members are fenced for a term that is not recorded."""

    term: int = 0
    since_ms: float | None = None

    def observe(
        self, statuses: Iterable[MemberStatus], group: Group, now_ms: float
    ) -> None:
        """Compare the members' latest statuses with the group's record."""
        has_fenced = any(
            status.member in group.all_members
            and status.fenced_term > group.term
            and not is_in_service(status, group)
            for status in statuses
        )
        if not has_fenced:
            self.since_ms = None
        elif self.since_ms is None or self.term != group.term:
            self.since_ms = now_ms
        self.term = group.term

    def is_abandoned(self, now_ms: float, rank: int = 0) -> bool:
        """Return whether this node should complete the promotion.

        Parameters
        ----------
        now_ms : float
            Current time in milliseconds.
        rank : int
            Rank of the node in the placement order.
        """
        if self.since_ms is None:
            return False
        return now_ms - self.since_ms >= ABANDONED_MS + start_delay_ms(rank)
