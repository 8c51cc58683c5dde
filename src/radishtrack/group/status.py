"""Status that a member reports, and the platform's record of its group."""

from __future__ import annotations

import enum

import attrs

from radishtrack.session.position import History, Position


class Role(enum.Enum):
    """Role that a member reports for itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


@attrs.define(frozen=True)
class MemberStatus:
    """Status that one member reported.

    Parameters
    ----------
    member : str
        Name of the member.
    term : int
        The term that the member belongs to.
    fenced_term : int
        The highest term that the member was fenced for; it accepts nothing of a lower
        term. Equal to `term` for a member in normal service.
    role : Role
        The role that the member reports for itself.
    position : Position
        The end of the member's log.
    """

    member: str
    term: int
    fenced_term: int
    role: Role
    position: Position

    @property
    def is_fenced(self) -> bool:
        """Whether the member waits for the promotion of a higher term."""
        return self.fenced_term > self.term


@attrs.define(frozen=True)
class Group:
    """The platform's record of a database group (object ``groups/<database>``).

    Parameters
    ----------
    database : str
        Name of the database.
    version : int
        Version of the platform's object, for conditional updates.
    term : int
        The current term.
    primary : str
        The member promoted for the term.
    members : tuple of str
        The members by which the term confirms commits and is ended.
    history : tuple of TermStart
        Where each term began.
    attempt : str
        Identifier of the promotion attempt that wrote this record.
    next_members : tuple of str
        The members that operators want; empty if these are `members`. A later term
        begins with them, since a change within a term would leave its commits to
        members that no longer count.
    """

    database: str
    version: int
    term: int
    primary: str
    members: tuple[str, ...]
    history: History = ()
    attempt: str = ""
    next_members: tuple[str, ...] = ()

    @property
    def fence_quorum(self) -> int:
        """Number of members whose fencing ends a term: a majority."""
        return count_majority(self.members)

    @property
    def all_members(self) -> tuple[str, ...]:
        """The members of this and of the next term."""
        return tuple(dict.fromkeys((*self.members, *self.next_members)))


def count_majority(members: tuple[str, ...]) -> int:
    """Return how many members are a majority."""
    return len(members) // 2 + 1


def count_next_holders(group: Group) -> int:
    """Return how many of the next members must hold the log before they count.

    With this many, each majority of the next members contains one of them.
    """
    return len(group.next_members) - count_majority(group.next_members) + 1
