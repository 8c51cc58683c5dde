"""What a promotion attempt is told and what it asks for."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from radishtrack.group.status import Group, MemberStatus


@attrs.define(frozen=True)
class PrimarySuspected:
    """The primary gave this node no good answer for too long."""


@attrs.define(frozen=True)
class FencingAbandoned:
    """Members stayed fenced and no promotion was recorded."""


@attrs.define(frozen=True)
class PrimaryResponded:
    """The suspected primary gave a good answer."""


@attrs.define(frozen=True)
class VotesReceived:
    """Voters reported; true means that the primary is unreachable for them."""

    votes: Mapping[str, bool]


@attrs.define(frozen=True)
class GroupRead:
    """The platform returned the group's record."""

    group: Group


@attrs.define(frozen=True)
class GroupRecorded:
    """The platform accepted this attempt's record."""

    version: int


@attrs.define(frozen=True)
class RecordConflicted:
    """The platform refused the record because its version had changed."""


@attrs.define(frozen=True)
class PlatformDidNotRespond:
    """A read or an update of the platform has no known result."""


@attrs.define(frozen=True)
class MemberFenced:
    """A member answered the fence command with its status after it."""

    status: MemberStatus


@attrs.define(frozen=True)
class MemberPromoted:
    """The chosen member accepts writes in the new term."""

    member: str


@attrs.define(frozen=True)
class MemberFollowed:
    """A member follows the new primary in the new term."""

    member: str


@attrs.define(frozen=True)
class MemberRefused:
    """A member answered a command with an error."""

    member: str
    reason: str


@attrs.define(frozen=True)
class MemberUnreachable:
    """A member did not answer a command; it may have carried it out."""

    member: str


@attrs.define(frozen=True)
class DeadlinePassed:
    """The time in the attempt's `deadline_ms` was reached."""


Message = (
    PrimarySuspected
    | FencingAbandoned
    | PrimaryResponded
    | VotesReceived
    | GroupRead
    | GroupRecorded
    | RecordConflicted
    | PlatformDidNotRespond
    | MemberFenced
    | MemberPromoted
    | MemberFollowed
    | MemberRefused
    | MemberUnreachable
    | DeadlinePassed
)


@attrs.define(frozen=True)
class CollectVotes:
    """Ask all voters whether the primary is unreachable."""


@attrs.define(frozen=True)
class ReadGroup:
    """Read the group's record from the platform."""


@attrs.define(frozen=True)
class FenceMembers:
    """Fence members for a term.

    A member that carries a lower term than the group's record must first follow the
    recorded term, which discards what a promotion left out: once fenced for the next
    term it refuses to, and could not be elected.

    Parameters
    ----------
    members : tuple of str
        Members to fence; each answers for itself.
    group : Group
        The record in force.
    term : int
        The term to fence for, one above the record's.
    """

    members: tuple[str, ...]
    group: Group
    term: int


@attrs.define(frozen=True)
class RecordGroup:
    """Update the group's record if its version is still the expected one.

    Parameters
    ----------
    group : Group
        The new record; `group.attempt` identifies the attempt.
    expected_version : int
        Version of the record that was read before fencing.
    """

    group: Group
    expected_version: int


@attrs.define(frozen=True)
class PromoteMember:
    """Promote a member in the recorded term.

    Parameters
    ----------
    member : str
        The recorded primary.
    group : Group
        The record.
    """

    member: str
    group: Group


@attrs.define(frozen=True)
class FollowMember:
    """Make a member follow the recorded primary.

    Parameters
    ----------
    member : str
        The member.
    group : Group
        The record.
    """

    member: str
    group: Group


@attrs.define(frozen=True)
class AdoptGroup:
    """Use a newer record of the group from now on."""

    group: Group


Action = (
    CollectVotes
    | ReadGroup
    | FenceMembers
    | RecordGroup
    | PromoteMember
    | FollowMember
    | AdoptGroup
)
