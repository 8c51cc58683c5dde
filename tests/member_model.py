"""Members of a group in a model: processes with a log, a term and a fence."""

from __future__ import annotations

import math

import attrs

from radishtrack.group.status import Role
from radishtrack.pooler.catalog import Member, MemberReport
from radishtrack.session.position import Position


@attrs.frozen
class Entry:
    """A commit in a log.

    Parameters
    ----------
    term : int
        Term of the primary that committed it.
    sequence : int
        Its place in the log, from 1.
    number : int
        Unique number; two primaries can commit at the same place.
    """

    term: int
    sequence: int
    number: int

    def is_in(self, log: list[Entry]) -> bool:
        """Return whether a log contains this commit."""
        return len(log) >= self.sequence and log[self.sequence - 1] is self


@attrs.define(eq=False)
class ModelMember:
    """A member's process; `restart` makes it another one."""

    name: str
    term: int = 1
    is_primary: bool = False
    fenced_term: int = 0
    log: list[Entry] = attrs.field(factory=list)
    process: int = 1
    is_up: bool = True
    is_deaf: bool = False
    """Whether it receives nothing from the primary."""
    listed_ms: float = 0.0
    """When it last reached the store."""
    polled_ms: float = -math.inf
    up_at_ms: float = 0.0
    resumes_ms: float = 0.0
    """Until when it does not receive after a fence was removed."""

    @property
    def position(self) -> Position:
        """End of the log."""
        return Position(self.log[-1].term if self.log else 0, len(self.log))

    def has_position(self, position: Position) -> bool:
        """Return whether the log contains an entry of this term at this place."""
        if not position.sequence:
            return True
        return (
            len(self.log) >= position.sequence
            and self.log[position.sequence - 1].term == position.term
        )

    def restart(self, *, keeps_log: bool) -> None:
        """Start again: without the fence, and without what only memory held."""
        self.process += 1
        self.is_up, self.fenced_term = True, 0
        if not keeps_log:
            self.log, self.term = [], 0

    def make_report(self) -> MemberReport:
        """Return the row of a status request."""
        role = Role.PRIMARY if self.is_primary else Role.REPLICA
        return MemberReport(
            self.name, self.term, self.fenced_term, role, self.position, 0.0
        )


def make_listed_member(member: ModelMember) -> Member:
    """Return a member's entry in the store."""
    role = Role.PRIMARY if member.is_primary else Role.REPLICA
    return Member(
        member.name, "g", "h", 1, "z", 2, False, role, started_ms=member.process
    )
