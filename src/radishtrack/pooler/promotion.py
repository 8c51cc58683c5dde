"""Whether a group's primary has to be replaced, and by which member."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Final

import attrs

from radishtrack.group.status import Role
from radishtrack.pooler.catalog import MemberReport
from radishtrack.pooler.evidence import GroupEvidence
from radishtrack.pooler.group_access import GroupAccess

UNLISTED_MS: Final = 3_500.0
"""A primary that the store has not listed for so long is taken as gone. Entries are
back about 2 s after an outage, and a member that is gone may get no work after 7 s."""
STALLED_MS: Final = 1_500.0
"""A primary whose log no replica follows for so long can't commit any more; replicas
receive within milliseconds, and a poll takes up to 0.4 s."""
RECEIVE_MS: Final = 500.0
"""A replica that is asked so long after a commit has received it, if it receives at
all."""
LEADERLESS_MS: Final = 1_500.0
"""A promotion that was begun is over by then, unless its node has failed."""


class Reason(enum.Enum):
    """Why a primary is replaced."""

    UNREACHABLE = "primary does not answer"
    LEAVING = "primary is leaving"
    UNLISTED = "primary is no longer listed"
    STALLED = "no replica follows the primary"
    ABANDONED = "an earlier promotion was not completed"

    @property
    def needs_votes(self) -> bool:
        """Whether other nodes may see it differently."""
        return self in (Reason.UNREACHABLE, Reason.STALLED)


@attrs.define
class ReplicationProgress:
    """Tells for how long no replica has followed the primary's log."""

    ahead_since_ms: float | None = None
    ahead: MemberReport | None = None

    def observe(self, evidence: GroupEvidence, now_ms: float) -> None:
        """Compare the present reports; call it regularly."""
        lead = evidence.find_report(evidence.primary)
        if lead is None or lead.role is not Role.PRIMARY:
            self.ahead_since_ms = self.ahead = None
            return
        is_same = self.ahead is not None and self.ahead.member == lead.member
        if is_same and not self._is_followed(evidence):
            return
        self.ahead, self.ahead_since_ms = lead, now_ms
        if self._is_followed(evidence):
            self.ahead_since_ms = self.ahead = None

    def stalled_ms(self, now_ms: float) -> float:
        """Return for how long the primary has been ahead of all replicas."""
        if self.ahead_since_ms is None:
            return 0.0
        return now_ms - self.ahead_since_ms

    def is_proven(self, evidence: GroupEvidence) -> bool:
        """Tell whether every replica was asked since, and still lacks the position."""
        since_ms = self.ahead_since_ms
        ahead = self.ahead
        if since_ms is None or ahead is None:
            return False
        replicas = evidence.members - {ahead.member}
        asked = [evidence.observations.get(name) for name in replicas]
        return bool(asked) and all(
            observation is not None
            and observation.asked_ms >= since_ms + RECEIVE_MS
            and observation.report.position < ahead.position
            for observation in asked
        )

    def _is_followed(self, evidence: GroupEvidence) -> bool:
        assert self.ahead is not None
        return any(
            observation.report.position >= self.ahead.position
            for name, observation in evidence.observations.items()
            if name != self.ahead.member
        )


def find_reason(
    access: GroupAccess,
    progress: ReplicationProgress,
    leaderless_since_ms: float | None,
    now_ms: float,
) -> Reason | None:
    """Return why the group's primary has to be replaced, as far as this node sees.

    Parameters
    ----------
    access : GroupAccess
        The group.
    progress : ReplicationProgress
        Whether replicas follow the primary.
    leaderless_since_ms : float or None
        Since when the group has no primary or has fenced members.
    now_ms : float
        Present time in milliseconds.
    """
    evidence = access.evidence
    if evidence.term == 0:
        return None
    pool = access.primary_pool
    if (
        leaderless_since_ms is not None
        and now_ms - leaderless_since_ms >= LEADERLESS_MS
    ):
        return Reason.ABANDONED
    if pool is None:
        return None
    if not pool.is_reachable:
        return Reason.UNREACHABLE
    if pool.member.is_leaving:
        return Reason.LEAVING
    unlisted_ms = access.unlisted_ms.get(pool.member.name)
    if unlisted_ms is not None and now_ms - unlisted_ms >= UNLISTED_MS:
        return Reason.UNLISTED
    needs_replicas = evidence.synchronous_replicas > 0
    is_stalled = progress.stalled_ms(now_ms) >= STALLED_MS
    if needs_replicas and is_stalled and progress.is_proven(evidence):
        return Reason.STALLED
    return None


def is_leaderless(evidence: GroupEvidence) -> bool:
    """Tell whether nobody leads, or members wait for a promotion."""
    return evidence.term > 0 and (
        not evidence.primary or bool(evidence.fenced_members())
    )


def count_needed(evidence: GroupEvidence, old_primary: str) -> int:
    """Return how many members besides the old primary must be fenced.

    A commit is acknowledged once `s` replicas have it, so all but `s - 1` replicas
    contain every acknowledged commit, and too few are left to acknowledge another one.
    """
    replicas = evidence.members - {old_primary}
    return max(1, len(replicas) - max(0, evidence.synchronous_replicas - 1))


def choose_successor(
    fenced: Mapping[str, MemberReport],
    evidence: GroupEvidence,
    old_primary: str,
    leaving: frozenset[str],
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
        The member that led.
    leaving : frozenset of str
        Members that are about to stop; promoted only if no other has as long a log.

    Returns
    -------
    MemberReport or None
        None if too few members are fenced to be sure of every acknowledged commit.
    """
    complete = {
        name: report
        for name, report in fenced.items()
        if name not in evidence.incomplete
    }
    replicas = {
        name: report for name, report in complete.items() if name != old_primary
    }
    needed = count_needed(evidence, old_primary)
    # The old primary may hold commits that nobody was told of; they matter only if
    # there are too few replicas to be sure without it.
    candidates = replicas if len(replicas) >= needed else complete
    if len(candidates) < needed:
        return None
    furthest = max(report.position for report in candidates.values())
    holders = [r for r in candidates.values() if r.position == furthest]
    return min(holders, key=lambda report: (report.member in leaving, report.member))
