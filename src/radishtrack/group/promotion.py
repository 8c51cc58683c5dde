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
    CollectConfirmed,
    CollectVotes,
    ConfirmedReceived,
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
        """Process one message.

        Parameters
        ----------
        message : Message
            The event.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        tuple of Action
            Actions for the caller, to be carried out in this order.
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


def _handle_suspect(
    attempt: AttemptState, message: Message, now_ms: float
) -> Iterator[Action]:
    match message:
        case PrimarySuspected():
            attempt.enter_step("suspected", now_ms)
            yield CollectVotes()
        case FencingAbandoned():
            attempt.is_takeover = True
            attempt.enter_step("took_over", now_ms)
            yield ReadGroup()
        case PrimaryResponded():
            attempt.end("gave_up", "the primary responds again")


def _handle_voting(
    attempt: AttemptState, message: Message, now_ms: float
) -> Iterator[Action]:
    match message:
        case VotesReceived(votes):
            for voter, is_unreachable in votes.items():
                attempt.tally.record(voter, is_unreachable, now_ms)
            if attempt.tally.has_majority(now_ms):
                attempt.enter_step("agreed", now_ms)
                yield ReadGroup()
        case PrimaryResponded():
            attempt.end("gave_up", "the primary responds again")
        case DeadlinePassed():
            if attempt.tries >= TRY_LIMIT:
                attempt.end("gave_up", "no majority of voters reports a failure")
                return
            attempt.tries += 1
            attempt.restart_timeout(now_ms)
            yield CollectVotes()


def _handle_reading(
    attempt: AttemptState, message: Message, now_ms: float
) -> Iterator[Action]:
    match message:
        case GroupRead(group):
            yield AdoptGroup(group)
            if group.term != attempt.group.term:
                attempt.end("superseded", f"term {group.term} is recorded already")
                return
            attempt.group = group
            attempt.pending_members = set(group.all_members)
            attempt.enter_step("read", now_ms)
            yield FenceMembers(group.all_members, group, attempt.new_term)
        case PrimaryResponded() if not attempt.is_takeover:
            attempt.end("gave_up", "the primary responds again")
        case PlatformDidNotRespond():
            attempt.back_off(now_ms)
        case DeadlinePassed():
            if attempt.is_takeover or attempt.tally.has_majority(now_ms):
                # Adds the current backoff, so that the holders do not all poll an
                # unresponsive platform at a fixed rate.
                attempt.deadline_ms = now_ms + STEP_TIMEOUT_MS + attempt.backoff_ms
                yield ReadGroup()
                return
            attempt.enter_step("votes_expired", now_ms)
            yield CollectVotes()


def _handle_fencing(
    attempt: AttemptState, message: Message, now_ms: float
) -> Iterator[Action]:
    has_timed_out = False
    match message:
        case MemberFenced(status) if status.term >= attempt.new_term:
            # Another attempt was recorded, or the platform has lost its record: the
            # same term must not be given out again.
            attempt.end(
                "superseded", f"{status.member} is in term {status.term} already"
            )
            return
        case MemberFenced(status):
            attempt.fenced[status.member] = status
            attempt.pending_members.discard(status.member)
        case MemberUnreachable(member) | MemberRefused(member):
            attempt.pending_members.discard(member)
        case ConfirmedReceived(position) if position.term >= attempt.new_term:
            attempt.end("superseded", f"term {position.term} has confirmed commits")
            return
        case ConfirmedReceived(position):
            attempt.confirmed = position
        case DeadlinePassed():
            has_timed_out = True
    # The attempt began because the primary is unresponsive; waiting for its response
    # would lengthen the write outage by a whole timeout.
    optional_members: set[str] = set()
    if not attempt.is_takeover:
        new = {*attempt.group.next_members} - {*attempt.group.members}
        optional_members = {attempt.group.primary, *new}
    has_waited = has_timed_out or attempt.confirmed is not None
    if not attempt.pending_members <= optional_members and not has_waited:
        return
    choice = elect(
        attempt.fenced.values(),
        attempt.group,
        attempt.new_term,
        attempt.leaving,
        0 if attempt.confirmed is None else attempt.confirmed.sequence,
    )
    match choice:
        case Elected() if not attempt.has_asked_confirmed:
            attempt.has_asked_confirmed = True
            attempt.restart_timeout(now_ms)
            yield CollectConfirmed()
        case Elected() if attempt.confirmed is None and not has_timed_out:
            return
        case Elected():
            attempt.new_group = _make_new_group(attempt, choice)
            attempt.enter_step("elected", now_ms)
            yield RecordGroup(attempt.new_group, attempt.group.version)
        case NotElected(reason):
            if not has_timed_out:
                return
            if attempt.tries >= TRY_LIMIT:
                attempt.end("gave_up", reason)
                return
            attempt.tries += 1
            attempt.restart_timeout(now_ms)
            missing = tuple(
                member
                for member in attempt.group.all_members
                if member not in attempt.fenced
            )
            attempt.pending_members = set(missing)
            yield FenceMembers(missing, attempt.group, attempt.new_term)


def _make_new_group(attempt: AttemptState, elected: Elected) -> Group:
    start = TermStart(attempt.new_term, elected.start_sequence)
    return attrs.evolve(
        attempt.group,
        term=attempt.new_term,
        primary=elected.member,
        members=elected.members or attempt.group.members,
        next_members=() if elected.members else attempt.group.next_members,
        history=(*attempt.group.history, start),
        attempt=attempt.attempt_id,
    )


def _handle_recording(
    attempt: AttemptState, message: Message, now_ms: float
) -> Iterator[Action]:
    assert attempt.new_group is not None
    match message:
        case GroupRecorded(version):
            attempt.new_group = attrs.evolve(attempt.new_group, version=version)
            yield from _start_installing(attempt, now_ms)
        case GroupRead(group) if group.attempt == attempt.attempt_id:
            attempt.new_group = group
            yield from _start_installing(attempt, now_ms)
        case GroupRead(group) if group.version == attempt.group.version:
            # The update was lost or is still in flight. Repeating it is safe: the
            # platform accepts at most one of the two for this version.
            attempt.restart_timeout(now_ms)
            yield RecordGroup(attempt.new_group, attempt.group.version)
        case GroupRead(group):
            yield AdoptGroup(group)
            attempt.end("superseded", f"another attempt recorded term {group.term}")
        case RecordConflicted():
            # The conflict can be with an earlier update of this attempt.
            attempt.restart_timeout(now_ms)
            yield ReadGroup()
        case PlatformDidNotRespond():
            attempt.back_off(now_ms)
        case DeadlinePassed():
            attempt.deadline_ms = now_ms + STEP_TIMEOUT_MS + attempt.backoff_ms
            yield ReadGroup()


def _start_installing(attempt: AttemptState, now_ms: float) -> Iterator[Action]:
    assert attempt.new_group is not None
    attempt.enter_step("recorded", now_ms)
    yield AdoptGroup(attempt.new_group)
    yield _make_promote_action(attempt)


def _make_promote_action(attempt: AttemptState) -> PromoteMember:
    assert attempt.new_group is not None
    return PromoteMember(attempt.new_group.primary, attempt.new_group)


def _handle_installing(
    attempt: AttemptState, message: Message, now_ms: float
) -> Iterator[Action]:
    group = attempt.new_group
    assert group is not None
    match message:
        case MemberPromoted(member) if member == group.primary:
            if not attempt.is_promoted:
                yield from _start_following(attempt, group, now_ms)
        case MemberFollowed(member):
            attempt.followers.add(member)
            attempt.pending_members.discard(member)
        case MemberRefused(member, reason) if member == group.primary:
            # The member is fenced for a higher term; the record shows whether another
            # attempt was recorded.
            attempt.reason = reason
            yield ReadGroup()
        case MemberUnreachable(member) | MemberRefused(member):
            attempt.pending_members.discard(member)
        case GroupRead(latest) if latest.term > group.term:
            yield AdoptGroup(latest)
            attempt.end("superseded", f"term {latest.term} is recorded already")
            return
        case DeadlinePassed() if attempt.is_promoted:
            # Members that did not respond follow once they are polled again.
            attempt.pending_members.clear()
        case DeadlinePassed():
            if attempt.tries >= TRY_LIMIT:
                attempt.end("gave_up", f"{group.primary} could not be promoted")
                return
            attempt.tries += 1
            attempt.restart_timeout(now_ms)
            yield _make_promote_action(attempt)
    if attempt.is_promoted and _has_enough_followers(attempt, group):
        attempt.trigger("installed")


def _start_following(
    attempt: AttemptState, group: Group, now_ms: float
) -> Iterator[Action]:
    attempt.is_promoted = True
    attempt.restart_timeout(now_ms)
    others = tuple(member for member in group.members if member != group.primary)
    attempt.pending_members = set(others)
    for member in others:
        yield FollowMember(member, group)


def _has_enough_followers(attempt: AttemptState, group: Group) -> bool:
    return not attempt.pending_members or len(
        attempt.followers
    ) >= count_confirming_replicas(group)


_Handler = Callable[[AttemptState, Message, float], Iterator[Action]]

_HANDLERS: Final[dict[Step, _Handler]] = {
    Step.SUSPECT: _handle_suspect,
    Step.VOTING: _handle_voting,
    Step.READING: _handle_reading,
    Step.FENCING: _handle_fencing,
    Step.RECORDING: _handle_recording,
    Step.INSTALLING: _handle_installing,
}
