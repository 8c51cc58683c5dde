"""Outcome of a commit whose position on the primary is known."""

from __future__ import annotations

import attrs

from radishtrack.group.evidence import StatusRound, confirmed_position
from radishtrack.group.status import Group, MemberStatus, Role
from radishtrack.session.position import Position


@attrs.define(frozen=True)
class Confirmed:
    """The commit is on enough replicas of its own term."""


@attrs.define(frozen=True)
class StillUnknown:
    """The responses so far do not determine the outcome."""

    reason: str


@attrs.define(frozen=True)
class RanInHistory:
    """A later term contains the commit, and enough of its replicas hold it."""


@attrs.define(frozen=True)
class DidNotRun:
    """A later promotion left the commit out; no member will ever serve it again."""


CommitOutcome = Confirmed | StillUnknown | RanInHistory | DidNotRun


def position_of_commit(status: MemberStatus, group: Group) -> Position | None:
    """Return the position that covers a commit, from a status read after it.

    Parameters
    ----------
    status : MemberStatus
        Read on the same connection after the commit.
    group : Group
        The record by which the primary was chosen before the statement was sent.

    Returns
    -------
    Position or None
        None if the member changed its term or role in between: it may have discarded
        the commit, so its position does not cover it.
    """
    matches = (
        status.member == group.primary
        and status.term == group.term
        and status.role is Role.PRIMARY
    )
    return status.position if matches else None


def position_of_read(status: MemberStatus, group: Group) -> Position | None:
    """Return the position that covers a read on the primary.

    Like `position_of_commit`, but the primary must not be fenced either: with an even
    number of members a fenced primary and the unfenced replicas can all be outside
    the quorum that already acknowledges commits of the next term.
    """
    return None if status.is_fenced else position_of_commit(status, group)


def sequence_before(status: MemberStatus, group: Group) -> int:
    """Return a lower bound of the log length at the time a statement was sent.

    Parameters
    ----------
    status : MemberStatus
        A status of the primary, received before the statement was sent.
    group : Group
        The record by which the primary was chosen.
    """
    position = position_of_commit(status, group)
    return 0 if position is None else position.sequence


def resolve_commit(
    position: Position,
    term_at_commit: int,
    status_round: StatusRound,
    group: Group,
    sequence_before: int,
) -> CommitOutcome:
    """Decide the outcome of a commit.

    The position is read after the commit and can include later commits of others. It
    is an upper bound, which proves that a later term contains the commit; only the
    lower bound `sequence_before` proves that it does not.

    Parameters
    ----------
    position : Position
        From `position_of_commit`.
    term_at_commit : int
        The primary's term, reported together with the position.
    status_round : StatusRound
        Responses received after the commit.
    group : Group
        The latest known record of the group.
    sequence_before : int
        From `sequence_before`; 0 if nothing is known.

    Returns
    -------
    Confirmed, StillUnknown, RanInHistory or DidNotRun
        The last two are possible only once a later term is known. For a read only
        `Confirmed` counts: the other members may have acknowledged commits in that
        later term before the read began.
    """
    if term_at_commit > group.term:
        return StillUnknown(f"no record of term {term_at_commit} yet")
    if position.term > term_at_commit:
        return StillUnknown("the position was not read in the term of the commit")
    starts = {
        start.term: start.sequence
        for start in group.history
        if term_at_commit < start.term <= group.term
    }
    if len(starts) < group.term - term_at_commit:
        return StillUnknown(f"the starts of terms after {term_at_commit} are not known")
    if starts and min(starts.values()) <= sequence_before:
        return DidNotRun()
    if starts and min(starts.values()) < position.sequence:
        return StillUnknown("a promotion may have left the commit out")
    confirmed = confirmed_position(status_round, group)
    if confirmed is None or confirmed.sequence < position.sequence:
        # A commit that a later term contains is not durable yet either: a primary that
        # was promoted again can be the only member that holds it.
        return StillUnknown(f"too few replicas confirm it in term {group.term}")
    return RanInHistory() if starts else Confirmed()
