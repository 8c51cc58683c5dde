"""Messages to a promotion attempt and the actions that it requests."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from radishtrack.group.status import Group, MemberStatus
from radishtrack.session.position import Position


@attrs.define(frozen=True)
class PrimarySuspected:
    """The primary reported no healthy status to this node for too long."""


@attrs.define(frozen=True)
class FencingAbandoned:
    """Members stayed fenced and no promotion was recorded."""


@attrs.define(frozen=True)
class PrimaryResponded:
    """The suspected primary reported a healthy status."""


@attrs.define(frozen=True)
class VotesReceived:
    """Votes by voter; true means that the voter cannot reach the primary."""

    votes: Mapping[str, bool]


@attrs.define(frozen=True)
class ConfirmedReceived:
    """The highest position that the responding voters know to be confirmed."""

    position: Position


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
    """A member carried out the fence command and returned its new status."""

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
    """A member responded to a command with an error."""

    member: str
    reason: str


@attrs.define(frozen=True)
class MemberUnreachable:
    """A member did not respond to a command; it may have carried it out."""

    member: str


@attrs.define(frozen=True)
class DeadlinePassed:
    """The time in the attempt's `deadline_ms` was reached."""


Message = (
    PrimarySuspected
    | FencingAbandoned
    | PrimaryResponded
    | VotesReceived
    | ConfirmedReceived
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
    """Request the votes of all voters on whether the primary is unreachable."""


@attrs.define(frozen=True)
class CollectConfirmed:
    """Request from all voters the position up to which commits are confirmed.

    The response lacks voters that do not answer soon.
    """


@attrs.define(frozen=True)
class ReadGroup:
    """Read the group's record from the platform."""


@attrs.define(frozen=True)
class FenceMembers:
    """Fence members for a term.

    A member in a lower term than the group's record must first follow the recorded
    term, which discards what a promotion left out: once fenced for the next term it
    refuses to follow, and could not be elected.

    Parameters
    ----------
    members : tuple of str
        Members to fence; each responds separately.
    group : Group
        The current record.
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
    """Replace the cached record of the group by a newer one."""

    group: Group


Action = (
    CollectVotes
    | CollectConfirmed
    | ReadGroup
    | FenceMembers
    | RecordGroup
    | PromoteMember
    | FollowMember
    | AdoptGroup
)
