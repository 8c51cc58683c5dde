"""Evidence of which member is a group's primary and of what its members' logs contain.

A promotion is announced in the store, then fences `n - s` of the group's n members (s:
synchronous replicas), and is ordered only after the fence has lasted for
`EVIDENCE_VALID_MS`. Reports of `s + 1`, at least 2, unfenced members therefore prove
that no later term acknowledges a commit before the oldest of these reports is
`EVIDENCE_VALID_MS` old: the two sets share a member. A member that restarts, or whose
term has been replaced, is unfenced again, so the proof also needs a copy of the store
that is as recent and names no later term. Before an order is given, the store marks it,
and the present term is not proven any more until the order has taken effect or expired.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

import attrs

from radishtrack.group.status import Role
from radishtrack.pooler.acknowledgements import AcknowledgedRange
from radishtrack.pooler.catalog import MemberReport
from radishtrack.pooler.order_mark import (
    ORDER_EXPIRY_MS,
    get_order_term,
    is_order_given,
)
from radishtrack.pooler.position_samples import PositionSamples, Sample
from radishtrack.session.position import Position

EVIDENCE_VALID_MS: Final = 2_000.0
"""Time for which evidence of a term is valid. It covers two polls, so that one lost
poll does not interrupt strict reads. A promotion waits this long if a node does not
respond, which fits into the 7 s for a change of primary."""


@attrs.frozen
class Observation:
    """A member's report and the time at which it was requested."""

    report: MemberReport
    requested_ms: float


def _know_all() -> float:
    return math.inf


def _never_lost() -> bool:
    return False


@attrs.define
class GroupEvidence:
    """Evidence that one node has of a group, collected by `observe_report`.

    Parameters
    ----------
    name : str
        Name of the group.
    synchronous_replicas : int
        Number of replicas that must receive a commit before it is acknowledged.
    """

    name: str
    synchronous_replicas: int = 1
    find_known_ms: Callable[[], float] = _know_all
    """Returns the time up to which the node knows all announced promotions."""
    has_lost_store: Callable[[], bool] = _never_lost
    """Returns whether the node can't read announcements at present."""
    members: frozenset[str] = frozenset()
    """Names of all members, including leaving ones and unlisted ones still in use."""
    observations: dict[str, Observation] = attrs.field(factory=dict)
    samples: PositionSamples = attrs.field(factory=PositionSamples)
    former: set[str] = attrs.field(factory=set)
    """Members that were removed in the current term and may still run, since entries
    can expire."""
    term: int = 0
    primary: str = ""
    led_since_ms: float = 0.0
    """When the report arrived by which the primary became known."""
    applied: dict[str, Position] = attrs.field(factory=dict)
    """Position up to which each member has applied its log; reads see this state."""
    announced_term: int = 0
    """Term of the newest promotion announced in the store by any node."""
    valid_from_ms: float = 0.0
    """Reports requested before this time no longer prove the term."""
    proven_until_ms: float = 0.0
    """Time before which no later term acknowledges a commit, by the best of all reports
    so far; members may have been fenced since."""
    withdrawn_term: float = 0
    """Newest term that may be the one for which a promoter last invalidated the
    evidence; infinite if the node did not know the present term then."""
    withdrawn_ms: float = 0.0
    """When that was. The promotion had been announced in the store before."""
    order_mark: int = 0
    """Mark of the group's last promotion order that this node has read."""
    ordered_ms: float = -math.inf
    """When the node first read it."""
    acknowledged: AcknowledgedRange = attrs.field(factory=AcknowledgedRange)
    """Bounds of the newest commit that this node has acknowledged."""
    incomplete: dict[str, Position] = attrs.field(factory=dict)
    """Members that lost their log, with the position at which they count again."""
    before_end: dict[str, Observation] = attrs.field(factory=dict)
    """Last report of each member that has refused connections, has responded since, and
    has not reported yet."""
    counted_from_ms: dict[str, float] = attrs.field(factory=dict)
    """Time from which reports and positions of a member count, if it has been replaced
    by another process of its name: what was requested before may be the earlier one's.
    """

    def set_members(self, names: frozenset[str]) -> None:
        """Replace the list of members and discard the reports of others."""
        self.former = (self.former | self.members) - names
        self.members = names
        for name in (self.observations.keys() | self.before_end.keys()) - names:
            self._forget(name)
        for name in self.counted_from_ms.keys() - names:
            del self.counted_from_ms[name]

    def record_restart(self, member: str, now_ms: float) -> None:
        """Record that a member runs as another process, which may lack its log.

        Promotions need the earlier process by the group's replica set, so the new one
        counts with what it has.
        """
        self.incomplete.pop(member, None)
        self.discard_member(member, now_ms)

    def record_return(self, member: str, refused_ms: float) -> None:
        """Record that a member responds that has refused connections at `refused_ms`.

        It may run as another process, which may lack the log.
        """
        last = self.observations.get(member)
        if last is not None and last.requested_ms < refused_ms:
            self.discard_member(member, refused_ms)
            self.before_end[member] = last

    def record_end(self, member: str) -> None:
        """Record that a member that was removed has ended."""
        self.former.discard(member)

    def discard_member(self, member: str, now_ms: float) -> None:
        """Discard what was requested from a member before now."""
        self._forget(member)
        self.counted_from_ms[member] = now_ms

    def _forget(self, member: str) -> None:
        self.observations.pop(member, None)
        self.before_end.pop(member, None)
        self.applied.pop(member, None)

    def observe_report(
        self, report: MemberReport, requested_ms: float, now_ms: float
    ) -> bool:
        """Add a member's report; return whether the primary or term changed.

        Parameters
        ----------
        report : MemberReport
            The report.
        requested_ms : float
            Time of the request; the report is at least as recent.
        now_ms : float
            Current time in milliseconds.
        """
        if self._is_of_earlier_process(report.member, requested_ms):
            return False
        previous = self.observations.get(report.member)
        if previous is not None and previous.requested_ms > requested_ms:
            return False
        # The report may end what a later copy of the store has prolonged.
        self.proven_until_ms = max(self.proven_until_ms, self.valid_until_ms())
        before_end = self.before_end.pop(report.member, None)
        self._check_log(previous or before_end, report)
        self.observations[report.member] = Observation(report, requested_ms)
        changed = self._follow_term(report, now_ms)
        # A report that completes the evidence also proves the primary's earlier report.
        primary_observation = self.observations.get(self.primary)
        if (
            primary_observation is not None
            and primary_observation.report.role is Role.PRIMARY
        ):
            position = primary_observation.report.position
            self._record_applied(self.primary, position)
            self._sample_primary(position, primary_observation.requested_ms)
        return changed

    def observe_position(self, member: str, position: Position, at_ms: float) -> None:
        """Record a member's position from a response requested at `at_ms`."""
        if self._is_of_earlier_process(member, at_ms):
            return
        self._record_applied(member, position)
        if member != self.primary or position.term > self.term:
            return
        # An earlier statement may have run before the member led, when it lacked
        # commits of the primary then.
        if at_ms >= self.led_since_ms:
            self._sample_primary(position, at_ms)

    def _is_of_earlier_process(self, member: str, requested_ms: float) -> bool:
        return requested_ms < self.counted_from_ms.get(member, -math.inf)

    def _record_applied(self, member: str, position: Position) -> None:
        self.applied[member] = max(position, self.applied.get(member, position))

    def _sample_primary(self, position: Position, at_ms: float) -> None:
        """Add a sample of the primary's position if its term is proven."""
        if at_ms >= self.valid_until_ms():
            return
        self.samples.add(Sample(position, at_ms))

    def record_acknowledged(self, commit: AcknowledgedRange) -> None:
        """Record that a commit was acknowledged to a client."""
        self.acknowledged = self.acknowledged.extend(commit)

    def find_contained_ms(self, position: Position) -> float:
        """Return the time before which all acknowledged commits are in a log.

        Parameters
        ----------
        position : Position
            End of the log.

        Returns
        -------
        float
            Negative infinity if the primary is not known to have had a position of the
            log in the present term.
        """
        return self.samples.find_contained_ms(position)

    def observe_order(self, mark: int, now_ms: float) -> None:
        """Record the store's mark of the newest promotion order for the group."""
        if mark > self.order_mark:
            self.order_mark, self.ordered_ms = mark, now_ms

    def order_expires_ms(self) -> float:
        """Return the time from which on no order for a later term takes effect."""
        is_later = get_order_term(self.order_mark) > self.term
        if not (is_later and is_order_given(self.order_mark)):
            return -math.inf
        return self.ordered_ms + ORDER_EXPIRY_MS

    def list_supporters(self) -> list[Observation]:
        """Return the reports that support the present term, the newest first.

        While an order may take effect, fences that are gone by mistake prove nothing.
        """
        valid_from_ms = max(self.valid_from_ms, self.order_expires_ms())
        return sorted(
            (
                observation
                for observation in self.observations.values()
                if self._is_unfenced(observation.report)
                and observation.requested_ms >= valid_from_ms
            ),
            key=lambda observation: observation.requested_ms,
            reverse=True,
        )

    def valid_until_ms(self) -> float:
        """Return the time before which no later term acknowledges a commit."""
        known_ms = self.find_known_ms()
        if self.is_withdrawn():
            # A replica that restarts forgets its fence, so reports could prove the term
            # again although the promotion is under way.
            return 0.0
        if self.announced_term > self.term:
            # The promotion may have succeeded and its members been unfenced since.
            supported_ms = self._find_unanimous_ms()
        else:
            supporters = self.list_supporters()
            supported_ms = self._find_supported_ms(supporters, self._count_needed())
        proven_ms = min(supported_ms, known_ms)
        if self.has_lost_store():
            proven_ms = max(proven_ms, self._find_unanimous_ms())
        return max(0.0, proven_ms + EVIDENCE_VALID_MS)

    def is_withdrawn(self) -> bool:
        """Return whether a promotion has withdrawn the evidence of the present term.

        Until the node's copy of the store is complete up to then, no reports prove it.
        """
        is_known = self.find_known_ms() >= self.withdrawn_ms
        return not is_known and self.term <= self.withdrawn_term

    def is_term_contested(self) -> bool:
        """Return whether a promotion to a later term is known to have begun."""
        return self.announced_term > self.term or self.is_withdrawn()

    def _count_needed(self) -> int:
        """Return how many members must support the term.

        A node's list can be shorter than the group, since entries expire while members
        run, so fewer members in it do not lower the number.
        """
        if self.synchronous_replicas == 0 and self._is_primary_alone():
            return 1
        # One replica's report is needed even without synchronous replicas: a promotion
        # fences all replicas but may not reach the old primary.
        return max(1, self.synchronous_replicas) + 1

    def _is_primary_alone(self) -> bool:
        """Return whether no other member is known that could have been promoted."""
        may_miss_others = bool(self.former) and self.has_lost_store()
        is_announced = self.announced_term > self.term
        return len(self.members) == 1 and not (may_miss_others or is_announced)

    def _find_unanimous_ms(self) -> float:
        """Return the latest time since which every member reports the term.

        The member that may have been promoted would report the later term. One that
        reports an earlier term has restarted, and may have forgotten the later one.
        """
        supporters = [
            observation
            for observation in self.list_supporters()
            if observation.report.term == self.term
        ]
        needed = max(self._count_needed(), len(self.members))
        return self._find_supported_ms(supporters, needed)

    def _find_supported_ms(self, supporters: list[Observation], needed: int) -> float:
        """Return the latest time since which this many members support the term."""
        if not self.primary or len(supporters) < needed:
            return -math.inf
        return supporters[needed - 1].requested_ms

    def is_current(self, now_ms: float) -> bool:
        """Return whether evidence proves that the term's primary is still current."""
        return now_ms < self.valid_until_ms()

    def invalidate(self, now_ms: float) -> None:
        """Invalidate the evidence from all reports requested before now."""
        self.valid_from_ms = max(self.valid_from_ms, now_ms)
        self.proven_until_ms = 0.0

    def withdraw(self, now_ms: float) -> None:
        """Invalidate the evidence for a promotion that was announced in the store."""
        # Without evidence, the term that is to be replaced may be a later one.
        is_known = now_ms < max(self.proven_until_ms, self.valid_until_ms())
        self.withdrawn_term = self.term if is_known else math.inf
        self.withdrawn_ms = now_ms
        self.invalidate(now_ms)

    def find_min_position(self, max_age_ms: float, now_ms: float) -> Position | None:
        """Return the position of the lowest sample for an age; None without one."""
        sample = self.samples.find(max_age_ms, now_ms)
        return sample.position if sample is not None else None

    def has_applied(self, member: str, min_position: Position) -> bool:
        """Return whether a member has been observed to have applied a position."""
        applied = self.applied.get(member)
        return applied is not None and applied >= min_position

    def latest_position(self) -> Position | None:
        """Return the position of the newest sample."""
        return self.samples.latest

    def find_report(self, member: str) -> MemberReport | None:
        """Return a member's last report."""
        observation = self.observations.get(member)
        return observation.report if observation else None

    def fenced_members(self) -> tuple[str, ...]:
        """Return the members that are fenced for a later term."""
        return tuple(
            name
            for name, observation in self.observations.items()
            if observation.report.is_fenced
            and observation.report.fenced_term > self.term
        )

    def _is_unfenced(self, report: MemberReport) -> bool:
        """Return whether a member's report shows no fence for a later term.

        A replica that receives nothing may not have learned the current term, so its
        earlier term still counts. A primary of an earlier term does not: it takes no
        part in a later promotion.
        """
        if report.term > self.term or report.fenced_term > self.term:
            return False
        return report.term == self.term or report.role is Role.REPLICA

    def _check_log(self, previous: Observation | None, report: MemberReport) -> None:
        """Mark a member as incomplete if it restarted without its log.

        It may have been the only replica that received an acknowledged commit, so its
        reports do not count until it reaches the group's position at that time.
        """
        if (
            previous is not None
            and report.term <= previous.report.term
            and report.position < previous.report.position
        ):
            latest = self.latest_position() or previous.report.position
            self.incomplete[report.member] = max(latest, previous.report.position)
            self.applied.pop(report.member, None)
        target = self.incomplete.get(report.member)
        if target is not None and report.position >= target:
            del self.incomplete[report.member]

    def _follow_term(self, report: MemberReport, now_ms: float) -> bool:
        """Take the term and the primary from a report; return whether one changed."""
        if report.term < self.term:
            if self.primary != report.member:
                return False
            # It started again without its log, and no longer leads the term.
            self.primary = ""
            return True
        is_primary = report.role is Role.PRIMARY
        if report.term == self.term:
            if is_primary and self.primary != report.member:
                self._set_primary(report.member, now_ms)
                return True
            if not is_primary and self.primary == report.member:
                self.primary = ""
                return True
            return False
        self.term, self.primary = report.term, ""
        if is_primary:
            self._set_primary(report.member, now_ms)
        # A later term may lack commits that the earlier primary had not replicated, so
        # positions of the earlier term can no longer be required.
        self.proven_until_ms = 0.0
        self.samples.clear()
        self.former.clear()
        return True

    def _set_primary(self, member: str, now_ms: float) -> None:
        self.primary, self.led_since_ms = member, now_ms
