"""One attempt to replace the primary of a database group."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Final

import attrs
from transitions import Machine

from radishtrack.group.detection import make_vote_tally
from radishtrack.group.election import Elected, NotElected, elect
from radishtrack.group.evidence import count_confirming_replicas
from radishtrack.group.promotion_messages import (
    Action,
    AdoptGroup,
    CollectVotes,
    DeadlinePassed,
    FenceMembers,
    FencingAbandoned,
    FollowMember,
    GroupRead,
    GroupRecorded,
    MemberFenced,
    MemberFollowed,
    MemberPromoted,
    MemberRefused,
    MemberUnreachable,
    Message,
    PlatformDidNotRespond,
    PrimaryResponded,
    PrimarySuspected,
    PromoteMember,
    ReadGroup,
    RecordConflicted,
    RecordGroup,
    VotesReceived,
)
from radishtrack.group.promotion_state import (
    STEP_TIMEOUT_MS,
    TRANSITIONS,
    TRY_LIMIT,
    AttemptState,
    Step,
)
from radishtrack.group.status import Group
from radishtrack.session.position import TermStart


@attrs.define(slots=False, eq=False)
class PromotionAttempt(AttemptState):
    """One attempt; `handle` is its only entry point."""

    def handle(self, message: Message, now_ms: float) -> tuple[Action, ...]:
        """Advance by one message.

        Parameters
        ----------
        message : Message
            What happened.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        tuple of Action
            What the caller does next, in this order.
        """
        if self.is_over:
            return ()
        if isinstance(message, DeadlinePassed) and (
            self.deadline_ms is None or now_ms < self.deadline_ms
        ):
            return ()
        handler = _HANDLERS[self.state]
        actions = tuple(handler(self, message, now_ms))
        if self.is_over:
            self.deadline_ms = None
        return actions


def make_promotion_attempt(
    group: Group,
    attempt_id: str,
    voters: Iterable[str],
    leaving: frozenset[str] = frozenset(),
) -> PromotionAttempt:
    """Return an attempt that waits for `PrimarySuspected` or `FencingAbandoned`."""
    attempt = PromotionAttempt(group, attempt_id, make_vote_tally(voters), leaving)
    Machine(
        model=attempt,
        states=Step,
        initial=Step.SUSPECT,
        transitions=[list(transition) for transition in TRANSITIONS],
        auto_transitions=False,
    )
    return attempt


def _suspect(
    attempt: AttemptState, message: Message, now_ms: float
) -> Iterator[Action]:
    match message:
        case PrimarySuspected():
            attempt.enter("suspected", now_ms)
            yield CollectVotes()
        case FencingAbandoned():
            attempt.takes_over = True
            attempt.enter("took_over", now_ms)
            yield ReadGroup()
        case PrimaryResponded():
            attempt.end("gave_up", "the primary answers again")


def _vote(attempt: AttemptState, message: Message, now_ms: float) -> Iterator[Action]:
    match message:
        case VotesReceived(votes):
            for voter, unreachable in votes.items():
                attempt.tally.record(voter, unreachable, now_ms)
            if attempt.tally.has_majority(now_ms):
                attempt.enter("agreed", now_ms)
                yield ReadGroup()
        case PrimaryResponded():
            attempt.end("gave_up", "the primary answers again")
        case DeadlinePassed():
            if attempt.tries >= TRY_LIMIT:
                attempt.end("gave_up", "no majority of voters reports a failure")
                return
            attempt.tries += 1
            attempt.wait(now_ms)
            yield CollectVotes()


def _read(attempt: AttemptState, message: Message, now_ms: float) -> Iterator[Action]:
    match message:
        case GroupRead(group):
            yield AdoptGroup(group)
            if group.term != attempt.group.term:
                attempt.end("superseded", f"term {group.term} is recorded already")
                return
            attempt.group = group
            attempt.unanswered = set(group.members)
            attempt.enter("read", now_ms)
            yield FenceMembers(group.members, group, attempt.new_term)
        case PrimaryResponded() if not attempt.takes_over:
            attempt.end("gave_up", "the primary answers again")
        case PlatformDidNotRespond():
            attempt.back_off(now_ms)
        case DeadlinePassed():
            if attempt.takes_over or attempt.tally.has_majority(now_ms):
                # Backs off from now on, so that a platform without answers is not
                # asked at a fixed rate by every holder.
                attempt.deadline_ms = now_ms + STEP_TIMEOUT_MS + attempt.backoff_ms
                yield ReadGroup()
                return
            attempt.enter("votes_expired", now_ms)
            yield CollectVotes()


def _fence(attempt: AttemptState, message: Message, now_ms: float) -> Iterator[Action]:
    timed_out = False
    match message:
        case MemberFenced(status):
            attempt.fenced[status.member] = status
            attempt.unanswered.discard(status.member)
        case MemberUnreachable(member) | MemberRefused(member):
            attempt.unanswered.discard(member)
        case DeadlinePassed():
            timed_out = True
    # A silent primary is why the attempt began; waiting for its answer would lengthen
    # the gap of writes by a whole timeout.
    expected = set() if attempt.takes_over else {attempt.group.primary}
    if not attempt.unanswered <= expected and not timed_out:
        return
    choice = elect(
        attempt.fenced.values(), attempt.group, attempt.new_term, attempt.leaving
    )
    match choice:
        case Elected():
            attempt.new_group = _make_new_group(attempt, choice)
            attempt.enter("elected", now_ms)
            yield RecordGroup(attempt.new_group, attempt.group.version)
        case NotElected(reason):
            if not timed_out:
                return
            if attempt.tries >= TRY_LIMIT:
                attempt.end("gave_up", reason)
                return
            attempt.tries += 1
            attempt.wait(now_ms)
            missing = tuple(
                member
                for member in attempt.group.members
                if member not in attempt.fenced
            )
            attempt.unanswered = set(missing)
            yield FenceMembers(missing, attempt.group, attempt.new_term)


def _make_new_group(attempt: AttemptState, elected: Elected) -> Group:
    start = TermStart(attempt.new_term, elected.start_sequence)
    return attrs.evolve(
        attempt.group,
        term=attempt.new_term,
        primary=elected.member,
        history=(*attempt.group.history, start),
        attempt=attempt.attempt_id,
    )


def _record(attempt: AttemptState, message: Message, now_ms: float) -> Iterator[Action]:
    assert attempt.new_group is not None
    match message:
        case GroupRecorded(version):
            attempt.new_group = attrs.evolve(attempt.new_group, version=version)
            yield from _install_recorded(attempt, now_ms)
        case GroupRead(group) if group.attempt == attempt.attempt_id:
            attempt.new_group = group
            yield from _install_recorded(attempt, now_ms)
        case GroupRead(group) if group.version == attempt.group.version:
            # The update was lost or is still under way. The same update again is
            # harmless: the version lets at most one of the two through.
            attempt.wait(now_ms)
            yield RecordGroup(attempt.new_group, attempt.group.version)
        case GroupRead(group):
            yield AdoptGroup(group)
            attempt.end("superseded", f"another attempt recorded term {group.term}")
        case RecordConflicted():
            # The conflict can be with this attempt's own update, sent before.
            attempt.wait(now_ms)
            yield ReadGroup()
        case PlatformDidNotRespond():
            attempt.back_off(now_ms)
        case DeadlinePassed():
            attempt.deadline_ms = now_ms + STEP_TIMEOUT_MS + attempt.backoff_ms
            yield ReadGroup()


def _install_recorded(attempt: AttemptState, now_ms: float) -> Iterator[Action]:
    assert attempt.new_group is not None
    attempt.enter("recorded", now_ms)
    yield AdoptGroup(attempt.new_group)
    yield _promote_chosen(attempt)


def _promote_chosen(attempt: AttemptState) -> PromoteMember:
    assert attempt.new_group is not None
    return PromoteMember(attempt.new_group.primary, attempt.new_group)


def _install(
    attempt: AttemptState, message: Message, now_ms: float
) -> Iterator[Action]:
    group = attempt.new_group
    assert group is not None
    match message:
        case MemberPromoted(member) if member == group.primary:
            if not attempt.is_promoted:
                yield from _follow_promoted(attempt, group, now_ms)
        case MemberFollowed(member):
            attempt.followers.add(member)
            attempt.unanswered.discard(member)
        case MemberRefused(member, reason) if member == group.primary:
            # A refusal means a higher fence; the record tells who holds the term.
            attempt.reason = reason
            yield ReadGroup()
        case MemberUnreachable(member) | MemberRefused(member):
            attempt.unanswered.discard(member)
        case GroupRead(read) if read.term > group.term:
            yield AdoptGroup(read)
            attempt.end("superseded", f"term {read.term} is recorded already")
            return
        case DeadlinePassed() if attempt.is_promoted:
            # Members that did not answer follow once they are polled again.
            attempt.unanswered.clear()
        case DeadlinePassed():
            if attempt.tries >= TRY_LIMIT:
                attempt.end("gave_up", f"{group.primary} could not be promoted")
                return
            attempt.tries += 1
            attempt.wait(now_ms)
            yield _promote_chosen(attempt)
    if attempt.is_promoted and _has_enough_followers(attempt, group):
        attempt.trigger("installed")


def _follow_promoted(
    attempt: AttemptState, group: Group, now_ms: float
) -> Iterator[Action]:
    attempt.is_promoted = True
    attempt.wait(now_ms)
    others = tuple(member for member in group.members if member != group.primary)
    attempt.unanswered = set(others)
    for member in others:
        yield FollowMember(member, group)


def _has_enough_followers(attempt: AttemptState, group: Group) -> bool:
    return not attempt.unanswered or len(
        attempt.followers
    ) >= count_confirming_replicas(group)


_Handler = Callable[[AttemptState, Message, float], Iterator[Action]]

_HANDLERS: Final[dict[Step, _Handler]] = {
    Step.SUSPECT: _suspect,
    Step.VOTING: _vote,
    Step.READING: _read,
    Step.FENCING: _fence,
    Step.RECORDING: _record,
    Step.INSTALLING: _install,
}
