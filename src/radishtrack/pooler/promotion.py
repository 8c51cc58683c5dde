"""Decides whether a group's primary has to be replaced, and by which member."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Final

import attrs

from radishtrack.group.status import Role
from radishtrack.pooler.catalog import MemberReport
from radishtrack.pooler.evacuation.succession import (
    can_move_primary,
    is_in_evacuated_zone,
)
from radishtrack.pooler.evidence import GroupEvidence
from radishtrack.pooler.group_access import GroupAccess

UNLISTED_MS: Final = 3_500.0
"""Time after which a primary that the store does not list counts as removed. Entries
return about 2 s after an outage, and a removed member may get no work after 7 s."""
STALLED_MS: Final = 1_500.0
"""Time without a replica following its log after which a primary counts as unable to
commit; replicas receive within milliseconds, and a poll takes up to 0.4 s."""
RECEIVE_MS: Final = 500.0
"""Time after a commit by which every replica that still replicates has received it."""
PROMOTION_UNFINISHED_MS: Final = 1_500.0
"""Time without a primary, or with fenced members, after which a promotion counts as
abandoned; it is over by then unless its node has failed."""


class PromotionReason(enum.Enum):
    """Why a primary is replaced."""

    UNREACHABLE = "primary does not answer"
    LEAVING = "primary is leaving"
    UNLISTED = "primary is no longer listed"
    STALLED = "no replica follows the primary"
    EVACUATED = "primary's zone is evacuated"
    ABANDONED = "an earlier promotion was not completed"

    @property
    def needs_votes(self) -> bool:
        """Whether other nodes may come to a different result."""
        return self in (PromotionReason.UNREACHABLE, PromotionReason.STALLED)


@attrs.define
class ReplicationProgress:
    """Tracks for how long no replica has followed the primary's log."""

    ahead_since_ms: float | None = None
    """Since when all replicas lack the position of `ahead_report`, if they do."""
    ahead_report: MemberReport | None = None
    """Report of the primary at that time."""

    def observe(self, evidence: GroupEvidence, now_ms: float) -> None:
        """Compare the current reports; must be called regularly."""
        primary_report = evidence.find_report(evidence.primary)
        if primary_report is None or primary_report.role is not Role.PRIMARY:
            self.ahead_since_ms = self.ahead_report = None
            return
        is_same = (
            self.ahead_report is not None
            and self.ahead_report.member == primary_report.member
        )
        if is_same and not self._is_followed(evidence):
            return
        self.ahead_report, self.ahead_since_ms = primary_report, now_ms
        if self._is_followed(evidence):
            self.ahead_since_ms = self.ahead_report = None

    def stalled_ms(self, now_ms: float) -> float:
        """Return for how long the primary has been ahead of all replicas."""
        if self.ahead_since_ms is None:
            return 0.0
        return now_ms - self.ahead_since_ms

    def is_stall_confirmed(self, evidence: GroupEvidence) -> bool:
        """Return whether later reports of all replicas still lack the position."""
        since_ms = self.ahead_since_ms
        ahead_report = self.ahead_report
        if since_ms is None or ahead_report is None:
            return False
        replicas = evidence.members - {ahead_report.member}
        replica_observations = [evidence.observations.get(name) for name in replicas]
        return bool(replica_observations) and all(
            observation is not None
            and observation.requested_ms >= since_ms + RECEIVE_MS
            and observation.report.position < ahead_report.position
            for observation in replica_observations
        )

    def _is_followed(self, evidence: GroupEvidence) -> bool:
        assert self.ahead_report is not None
        return any(
            observation.report.position >= self.ahead_report.position
            for name, observation in evidence.observations.items()
            if name != self.ahead_report.member
        )


def find_promotion_reason(
    access: GroupAccess,
    progress: ReplicationProgress,
    unfinished_since_ms: float | None,
    now_ms: float,
) -> PromotionReason | None:
    """Return why the group's primary has to be replaced, by this node's evidence.

    Parameters
    ----------
    access : GroupAccess
        The group.
    progress : ReplicationProgress
        Whether replicas follow the primary.
    unfinished_since_ms : float or None
        Since when the group has no primary or has fenced members.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    PromotionReason or None
        None if the primary does not have to be replaced.
    """
    evidence = access.evidence
    if evidence.term == 0:
        return None
    pool = access.primary_pool
    if (
        unfinished_since_ms is not None
        and now_ms - unfinished_since_ms >= PROMOTION_UNFINISHED_MS
    ):
        return PromotionReason.ABANDONED
    if pool is None:
        return PromotionReason.UNLISTED if evidence.primary else None
    if not pool.is_reachable:
        return PromotionReason.UNREACHABLE
    if pool.member.is_leaving:
        return PromotionReason.LEAVING
    unlisted_ms = access.unlisted_ms.get(pool.member.name)
    if unlisted_ms is not None and now_ms - unlisted_ms >= UNLISTED_MS:
        return PromotionReason.UNLISTED
    needs_replicas = evidence.synchronous_replicas > 0
    is_stalled = progress.stalled_ms(now_ms) >= STALLED_MS
    if needs_replicas and is_stalled and progress.is_stall_confirmed(evidence):
        return PromotionReason.STALLED
    if is_in_evacuated_zone(access, pool.member.name) and can_move_primary(access):
        return PromotionReason.EVACUATED
    return None


def needs_outside_successor(access: GroupAccess, reason: PromotionReason) -> bool:
    """Return whether a member of an evacuated zone must not be promoted.

    It may be if the group has no primary otherwise.
    """
    pool = access.primary_pool
    if pool is None or not pool.is_reachable:
        return False
    return reason in (PromotionReason.EVACUATED, PromotionReason.ABANDONED)


def is_promotion_unfinished(evidence: GroupEvidence) -> bool:
    """Return whether the group has no primary or has members fenced for a promotion."""
    return evidence.term > 0 and (
        not evidence.primary or bool(evidence.fenced_members())
    )


def count_required_fences(
    evidence: GroupEvidence,
    old_primary: str,
    *,
    missing: int = 0,
) -> int:
    """Return how many members besides the old primary must be fenced.

    A commit is acknowledged once `s` replicas have it. Any set of all but `s - 1`
    replicas therefore contains every acknowledged commit, and the remaining replicas
    are too few to acknowledge another one.

    Parameters
    ----------
    evidence : GroupEvidence
        Members and number of synchronous replicas.
    old_primary : str
        The primary that is replaced.
    missing : int
        Number of replicas that are no members any more, but may alone have received
        acknowledged commits.
    """
    replicas = len(evidence.members - {old_primary}) + missing
    return max(1, replicas - max(0, evidence.synchronous_replicas - 1))


def choose_successor(
    fenced: Mapping[str, MemberReport],
    evidence: GroupEvidence,
    old_primary: str,
    leaving: frozenset[str],
    acknowledged_term: int = 0,
    evacuated: frozenset[str] = frozenset(),
    *,
    needs_outside: bool = False,
    missing: int = 0,
    needed: int | None = None,
    preferred: str = "",
) -> MemberReport | None:
    """Return the member to promote.

    Parameters
    ----------
    fenced : mapping
        Reports of fenced members, taken after they were fenced; contains the old
        primary if it has stepped down.
    evidence : GroupEvidence
        Number of members and of synchronous replicas; members that lost their log.
    old_primary : str
        The primary that is replaced.
    leaving : frozenset of str
        Members that are about to stop; one of them is promoted only if no other member
        is as advanced.
    acknowledged_term : int
        Newest term in which nodes are known to have acknowledged a commit.
    evacuated : frozenset of str
        Members in evacuated zones; one of them is promoted only if no other member is
        as advanced.
    needs_outside : bool
        Whether none of them may be promoted.
    missing : int
        As for `count_required_fences`.
    needed : int or None
        Number of fenced members that suffice; by default the one that contains every
        acknowledged commit.
    preferred : str
        Member to promote if no other one is more advanced.

    Returns
    -------
    MemberReport or None
        None if too few members are fenced to contain every acknowledged commit, or if
        none of them has a commit of `acknowledged_term`. The replica that received
        these commits has left with its log, so that only the old primary has them.
        With `needs_outside` also if no member outside is as advanced as the others.
    """
    complete = {
        name: report
        for name, report in fenced.items()
        if name not in evidence.incomplete
    }
    replicas = {
        name: report for name, report in complete.items() if name != old_primary
    }
    if needed is None:
        needed = count_required_fences(evidence, old_primary, missing=missing)
    # The old primary may have commits that were never acknowledged, so it counts only
    # if the replicas are too few without it.
    candidates = replicas if len(replicas) >= needed else complete
    if len(candidates) < needed:
        return None
    most_advanced = max(report.position for report in candidates.values())
    if most_advanced.term < acknowledged_term:
        return None
    successors = [r for r in candidates.values() if r.position == most_advanced]
    if needs_outside:
        successors = [r for r in successors if r.member not in evacuated]
    return min(
        successors,
        key=lambda r: (
            r.member != preferred,
            r.member in evacuated,
            r.member in leaving,
            r.member,
        ),
        default=None,
    )
