"""Evidence of who leads a database group, and of what its logs contain.

A promotion first fences `n - s` of the group's n members (s: synchronous replicas),
and orders the promotion only when that has lasted for `BELIEF_MS`. Reports of `s + 1`,
at least 2, unfenced members therefore prove that no later term acknowledges a commit
before the oldest of these reports is `BELIEF_MS` old: the two sets share a member.
"""

from __future__ import annotations

import bisect
from collections import deque
from typing import Final

import attrs

from radishtrack.group.status import Role
from radishtrack.pooler.catalog import MemberReport
from radishtrack.session.position import Position

BELIEF_MS: Final = 2_000.0
"""How long evidence of a term holds. Two polls fit in, so that one lost poll does not
interrupt strict reads. A promotion waits as long if a node does not answer, which the
7 s for a change of primary leave room for."""
SAMPLE_KEEP_MS: Final = 10_000.0
"""Samples older than the largest age that a route is likely to accept are dropped."""
SAMPLE_SPACING_MS: Final = 50.0
"""Positions of answers are kept at this spacing, which bounds the list."""


@attrs.frozen
class Sample:
    """A position that contains all commits acknowledged before a time.

    Parameters
    ----------
    position : Position
        End of the log.
    at_ms : float
        Every commit acknowledged earlier is contained.
    """

    position: Position
    at_ms: float


@attrs.frozen
class Observation:
    """A member's report and when it was asked for."""

    report: MemberReport
    asked_ms: float


@attrs.define
class GroupEvidence:
    """What one node knows of a group; `observe_report` feeds it.

    Parameters
    ----------
    name : str
        Name of the group.
    synchronous_replicas : int
        Replicas that have received a commit when it is acknowledged.
    """

    name: str
    synchronous_replicas: int = 1
    members: frozenset[str] = frozenset()
    """Names of all members that the store lists, leaving ones included."""
    observations: dict[str, Observation] = attrs.field(factory=dict)
    samples: deque[Sample] = attrs.field(factory=deque)
    most_members: int = 0
    """Largest number of members in the present term; entries can lapse."""
    term: int = 0
    primary: str = ""
    applied: dict[str, Position] = attrs.field(factory=dict)
    """How far each member has applied its log, which is what its reads see."""
    announced_term: int = 0
    """Term of the newest promotion that any node has announced in the store."""
    evidence_from_ms: float = 0.0
    """Reports that were asked for earlier do not prove the term any more."""
    incomplete: dict[str, Position] = attrs.field(factory=dict)
    """Members that lost their log, with the position from which they count again."""

    def set_members(self, names: frozenset[str]) -> None:
        """Replace the list of members; reports of others no longer count."""
        self.members = names
        self.most_members = max(self.most_members, len(names))
        for name in set(self.observations) - names:
            self.forget(name)

    def forget(self, member: str) -> None:
        """Drop what is known of a member, because it restarted or left."""
        self.observations.pop(member, None)
        self.applied.pop(member, None)

    def observe_report(
        self, report: MemberReport, asked_ms: float, now_ms: float
    ) -> bool:
        """Take in a member's report; return whether the primary or term changed.

        Parameters
        ----------
        report : MemberReport
            The report.
        asked_ms : float
            When it was asked for; the report is at least as new.
        now_ms : float
            Present time in milliseconds.
        """
        known = self.observations.get(report.member)
        if known is not None and known.asked_ms > asked_ms:
            return False
        self._check_log(known, report)
        self.observations[report.member] = Observation(report, asked_ms)
        changed = self._follow_term(report, now_ms)
        # The report that completes the evidence also proves the primary's earlier one.
        lead = self.observations.get(self.primary)
        if lead is not None and lead.report.role is Role.PRIMARY:
            self.observe_position(self.primary, lead.report.position, lead.asked_ms)
        self._sample_replicas()
        return changed

    def observe_position(self, member: str, position: Position, at_ms: float) -> None:
        """Take in the position of an answer that was asked for at `at_ms`."""
        self.applied[member] = max(position, self.applied.get(member, position))
        if member != self.primary or position.term > self.term:
            return
        if at_ms < self.belief_until_ms():
            self._add_sample(Sample(position, at_ms))

    def belief_until_ms(self) -> float:
        """Return the time before which no later term acknowledges a commit."""
        asked = sorted(
            (
                observation.asked_ms
                for observation in self.observations.values()
                if self._is_unfenced(observation.report)
                and observation.asked_ms >= self.evidence_from_ms
            ),
            reverse=True,
        )
        # Also without synchronous replicas, one replica has to speak for the others: a
        # promotion fences all of them and may not reach the old primary.
        needed = min(len(self.members), max(1, self.synchronous_replicas) + 1)
        if self.announced_term > self.term:
            # The promotion may have succeeded, and its members may be in use again.
            needed = max(needed, len(self.members))
        if not self.primary or not needed or len(asked) < needed:
            return 0.0
        return asked[needed - 1] + BELIEF_MS

    def is_current(self, now_ms: float) -> bool:
        """Tell whether the primary is certainly the present one."""
        return now_ms < self.belief_until_ms()

    def withdraw_belief(self, now_ms: float) -> None:
        """Let no report that was asked for before now prove the term."""
        self.evidence_from_ms = max(self.evidence_from_ms, now_ms)

    def find_floor(self, max_age_ms: float, now_ms: float) -> Position | None:
        """Return the lowest known position that has all commits older than an age.

        Returns
        -------
        Position or None
            None if there is no evidence that is young enough.
        """
        oldest = bisect.bisect_left(
            self.samples, now_ms - max_age_ms, key=lambda sample: sample.at_ms
        )
        return self.samples[oldest].position if oldest < len(self.samples) else None

    def has_applied(self, member: str, min_position: Position) -> bool:
        """Tell whether a member is known to have applied a position."""
        applied = self.applied.get(member)
        return applied is not None and applied >= min_position

    def latest_position(self) -> Position | None:
        """Return the position of the newest sample."""
        return self.samples[-1].position if self.samples else None

    def find_report(self, member: str) -> MemberReport | None:
        """Return a member's last report."""
        observation = self.observations.get(member)
        return observation.report if observation else None

    def fenced_members(self) -> tuple[str, ...]:
        """Return the members that wait for a promotion of a later term."""
        return tuple(
            name
            for name, observation in self.observations.items()
            if observation.report.is_fenced
            and observation.report.fenced_term > self.term
        )

    def _is_unfenced(self, report: MemberReport) -> bool:
        """Tell whether a member has not been fenced for a later term.

        A replica that receives nothing may not have heard of the present term; a member
        that still leads an earlier one belongs to no later promotion.
        """
        if report.term > self.term or report.fenced_term > self.term:
            return False
        return report.term == self.term or report.role is Role.REPLICA

    def _check_log(self, known: Observation | None, report: MemberReport) -> None:
        """Notice a member that restarted without its log.

        It may have been the only replica that received an acknowledged commit, so it
        proves nothing until it has what the group had then.
        """
        if (
            known is not None
            and report.term == known.report.term
            and report.position < known.report.position
        ):
            latest = self.latest_position() or known.report.position
            self.incomplete[report.member] = max(latest, known.report.position)
            self.applied.pop(report.member, None)
        target = self.incomplete.get(report.member)
        if target is not None and report.position >= target:
            del self.incomplete[report.member]

    def _follow_term(self, report: MemberReport, now_ms: float) -> bool:
        if report.term < self.term:
            return False
        leads = report.role is Role.PRIMARY
        if report.term == self.term:
            if leads and self.primary != report.member:
                self.primary = report.member
                return True
            if not leads and self.primary == report.member:
                self.primary = ""
                return True
            return False
        self.term = report.term
        self.primary = report.member if leads else ""
        # A later term may lack what the earlier primary had not replicated, so its
        # positions can't be asked for any more.
        self.samples.clear()
        self.most_members = len(self.members)
        return True

    def _sample_replicas(self) -> None:
        """Add a sample from the replicas alone.

        Every acknowledged commit has reached one of any `n - s` members, so the
        furthest of so many contains all that was acknowledged before they were asked.
        This fails if members were replaced by new ones with less of the log, or if
        some are not known, so the result may not lie before a position that was proven
        by the primary in this term.
        """
        needed = self.most_members - self.synchronous_replicas
        in_term = [
            observation
            for observation in self.observations.values()
            if observation.report.term == self.term
            and observation.report.member not in self.incomplete
        ]
        if needed < 1 or len(in_term) < needed or self.announced_term > self.term:
            return
        in_term.sort(key=lambda observation: observation.asked_ms, reverse=True)
        newest = in_term[:needed]
        position = max(observation.report.position for observation in newest)
        latest = self.latest_position()
        if latest is not None and position >= latest:
            self._add_sample(Sample(position, newest[-1].asked_ms))

    def _add_sample(self, sample: Sample) -> None:
        if self.samples and sample.at_ms < self.samples[-1].at_ms + SAMPLE_SPACING_MS:
            return
        # A newer sample with a lower or equal position serves every request that an
        # older one serves.
        while self.samples and self.samples[-1].position >= sample.position:
            self.samples.pop()
        self.samples.append(sample)
        while self.samples[0].at_ms < sample.at_ms - SAMPLE_KEEP_MS:
            self.samples.popleft()
