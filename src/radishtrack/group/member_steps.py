"""Statement sequences that fence, promote or follow, as generators without I/O.

Each generator yields a statement, receives the member's status after it and returns the
last status. Other nodes can change the member between any two statements.
"""

from __future__ import annotations

from collections.abc import Generator

import attrs

from radishtrack.group.election import discard_limit
from radishtrack.group.status import Group, MemberStatus


@attrs.define(frozen=True)
class ReadStatus:
    """Read the member's status."""


@attrs.define(frozen=True)
class Fence:
    """End all terms below `term` on the member."""

    term: int


@attrs.define(frozen=True)
class Promote:
    """Make the member the primary of `term`."""

    term: int


@attrs.define(frozen=True)
class Follow:
    """Make the member a replica of `primary` in `term`.

    The member discards its log beyond `start_sequence`, unless it is already in the
    term.
    """

    term: int
    primary: str
    start_sequence: int


Statement = ReadStatus | Fence | Promote | Follow

Steps = Generator[Statement, MemberStatus, MemberStatus]


def fence_steps(group: Group, term: int) -> Steps:
    """Fence a member for a term above the record's.

    Parameters
    ----------
    group : Group
        The current record.
    term : int
        The term to fence for.
    """
    status = yield ReadStatus()
    if status.term < group.term and status.fenced_term <= group.term:
        yield from _follow(status, group)
    return (yield Fence(term))


def follow_steps(group: Group) -> Steps:
    """Make a member follow the recorded primary, if it does not yet."""
    status = yield ReadStatus()
    return (yield from _follow(status, group))


def promote_steps(group: Group) -> Steps:
    """Make the recorded primary accept writes in the recorded term.

    A member without exactly the log with which the term begins has lost it since it was
    fenced, and is not promoted.
    """
    status = yield ReadStatus()
    start = next(
        (start.sequence for start in group.history if start.term == group.term),
        status.position.sequence,
    )
    if status.term < group.term and status.position.sequence != start:
        return status
    return (yield Promote(group.term))


def find_follow_start(status: MemberStatus, group: Group) -> int:
    """Return the sequence beyond which a member discards its log when it follows.

    With nothing to discard this is the start of the term: the statement may be
    repeated later and must not truncate what the member has replicated since.
    """
    limit = discard_limit(status, group)
    if status.position.sequence > limit:
        return limit
    starts = (start.sequence for start in group.history if start.term == group.term)
    return next(starts, limit)


def _follow(status: MemberStatus, group: Group) -> Steps:
    if status.term >= group.term or status.member == group.primary:
        return status
    # The fence keeps the member from joining another term before the statement below,
    # which discards what a promotion left out according to this status.
    status = yield Fence(group.term)
    if status.term >= group.term:
        return status
    return (yield Follow(group.term, group.primary, find_follow_start(status, group)))
