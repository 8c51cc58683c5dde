"""What became of a commit whose position on the primary is known."""

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
    """The answers so far do not decide."""

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
        the commit, and its position says nothing about it.
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


def resolve_commit(
    position: Position, term_at_commit: int, status_round: StatusRound, group: Group
) -> CommitOutcome:
    """Decide the outcome of a commit.

    Parameters
    ----------
    position : Position
        From `position_of_commit`.
    term_at_commit : int
        The primary's term, reported together with the position.
    status_round : StatusRound
        Answers received after the commit.
    group : Group
        The latest known record of the group.

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
    if any(position.sequence > sequence for sequence in starts.values()):
        return DidNotRun()
    confirmed = confirmed_position(status_round, group)
    if confirmed is None or confirmed.sequence < position.sequence:
        # A commit that a later term contains is not safe yet either: a primary that
        # was promoted again can be the only member that holds it.
        return StillUnknown(f"too few replicas confirm it in term {group.term}")
    return RanInHistory() if starts else Confirmed()
