"""Selection of the member that serves a read."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Final

import attrs

from radishtrack.group.status import Group, MemberStatus, Role
from radishtrack.routing.options import (
    ReadClass,
    RequestOptions,
    make_invalid_option,
)
from radishtrack.session.position import Position, is_contained

MAX_POSITION_WAIT_MS: Final = 20.0


@attrs.define(frozen=True)
class RouteClass:
    """Default read class of a route, for reads whose client specifies none.

    Parameters
    ----------
    read_class : ReadClass
        The default class.
    max_age_ms : int or None
        Greatest accepted age of the data for aged reads, in milliseconds.
    """

    read_class: ReadClass = ReadClass.SESSION
    max_age_ms: int | None = None


@attrs.define(frozen=True)
class EffectiveClass:
    """The class under which a read is served.

    Parameters
    ----------
    read_class : ReadClass
        The class.
    max_age_ms : int
        Greatest accepted age, in milliseconds; 0 unless the class is aged.
    """

    read_class: ReadClass
    max_age_ms: int = 0


@attrs.define(frozen=True)
class ReadRequest:
    """Input for the selection of a member.

    Parameters
    ----------
    effective : EffectiveClass
        The class of the read.
    group : Group
        The database group as last recorded by the platform.
    statuses : mapping of str to MemberStatus
        The last status of every member that responds; unresponsive ones are left out.
    position : Position or None
        The session's position in this database.
    ages_ms : mapping of str to float
        Greatest possible age of a member's data, in milliseconds. Members without
        evidence of their age are left out.
    in_flight : mapping of str to int
        Number of requests at each member.
    zones : mapping of str to str
        The availability zone of each member.
    zone : str
        The availability zone of this node.
    leaving : frozenset of str
        Members that get no new work.
    waited_ms : float
        How long the request has waited for its position, in milliseconds.
    """

    effective: EffectiveClass
    group: Group
    statuses: Mapping[str, MemberStatus]
    position: Position | None = None
    ages_ms: Mapping[str, float] = attrs.field(factory=dict)
    in_flight: Mapping[str, int] = attrs.field(factory=dict)
    zones: Mapping[str, str] = attrs.field(factory=dict)
    zone: str = ""
    leaving: frozenset[str] = frozenset()
    waited_ms: float = 0.0


@attrs.define(frozen=True)
class ServeOn:
    """The member that serves the read.

    Parameters
    ----------
    member : str
        The member.
    role : Role
        The role that the member has in the group's record.
    """

    member: str
    role: Role


@attrs.define(frozen=True)
class WaitForPosition:
    """Wait until a replica contains the position, then choose again.

    Parameters
    ----------
    position : Position
        The session's position.
    remaining_ms : float
        Longest wait, in milliseconds.
    """

    position: Position
    remaining_ms: float


@attrs.define(frozen=True)
class PollMembers:
    """Poll all members now and choose on the basis of their responses."""


Choice = ServeOn | WaitForPosition | PollMembers

_STRICT: Final = EffectiveClass(ReadClass.STRICT)
_SESSION: Final = EffectiveClass(ReadClass.SESSION)
_PRIMARY: Final = EffectiveClass(ReadClass.PRIMARY)
_POLL_MEMBERS: Final = PollMembers()
_START: Final = Position(0, 0)


def resolve_read_class(
    options: RequestOptions,
    route: RouteClass,
    has_position: bool,
    in_transaction: bool,
    token_refused: bool = False,
) -> EffectiveClass:
    """Return the class under which a read is served.

    Parameters
    ----------
    options : RequestOptions
        The client's options.
    route : RouteClass
        The route's defaults.
    has_position : bool
        Whether the session has a position in the database.
    in_transaction : bool
        Whether a transaction is open.
    token_refused : bool
        Whether the client presented a token that was rejected. The position of its
        writes is then unknown, so an aged read could miss them.

    Returns
    -------
    EffectiveClass
        The class and the greatest accepted age.

    Raises
    ------
    RequestError
        With `ErrorCode.INVALID_OPTION` if an aged read has no age, or an age is given
        for a read that is not aged.
    """
    if in_transaction:
        return _PRIMARY
    read_class = options.read_class or route.read_class
    if read_class is ReadClass.AGED:
        max_age_ms = options.max_age_ms or route.max_age_ms
        if max_age_ms is None:
            raise make_invalid_option("class=aged needs max_age_ms")
        return _STRICT if token_refused else EffectiveClass(read_class, max_age_ms)
    if options.max_age_ms is not None:
        raise make_invalid_option("max_age_ms needs class=aged")
    if read_class is ReadClass.SESSION and has_position and not token_refused:
        return _SESSION
    return _STRICT


def choose_member(request: ReadRequest) -> Choice:
    """Choose the member for a read, or the step that must come first.

    Parameters
    ----------
    request : ReadRequest
        The read and the state of the group.

    Returns
    -------
    ServeOn, WaitForPosition or PollMembers
        The member; or a wait for the session's position; or a poll of all members.
    """
    read_class = request.effective.read_class
    if read_class is ReadClass.PRIMARY:
        return ServeOn(request.group.primary, Role.PRIMARY)
    if read_class is ReadClass.STRICT:
        return _POLL_MEMBERS
    if read_class is ReadClass.SESSION and request.position is None:
        return _POLL_MEMBERS
    member = select_preferred_member(_iterate_eligible(request), request)
    if member is not None:
        return ServeOn(member, Role.REPLICA)
    return _wait_or_poll(request)


def contains_position(status: MemberStatus, position: Position, group: Group) -> bool:
    """Return whether a member of the current term contains a position.

    Parameters
    ----------
    status : MemberStatus
        The member's status.
    position : Position
        The position to look for.
    group : Group
        The group's record.

    Returns
    -------
    bool
        False also for a member of another term, or one that still has changes that
        the current term discarded.
    """
    return (
        status.term == group.term
        and status.position.sequence >= position.sequence
        and is_contained(position, group.term, group.history)
        and is_contained(status.position, group.term, group.history)
    )


def select_preferred_member(members: Iterator[str], request: ReadRequest) -> str | None:
    """Select by zone (the node's own first), requests in flight (fewest) and name.

    Parameters
    ----------
    members : iterator of str
        The eligible members.
    request : ReadRequest
        The zones and the requests in flight.

    Returns
    -------
    str or None
        The preferred member; None if there is none.
    """
    return min(
        members,
        key=lambda member: (
            request.zones.get(member) != request.zone,
            request.in_flight.get(member, 0),
            member,
        ),
        default=None,
    )


def _iterate_eligible(request: ReadRequest) -> Iterator[str]:
    group = request.group
    is_aged = request.effective.read_class is ReadClass.AGED
    for member, status in request.statuses.items():
        if member in request.leaving or member == group.primary:
            continue
        if status.role is not Role.REPLICA:
            continue
        if is_aged and not _is_fresh_enough(request, member):
            continue
        if contains_position(status, request.position or _START, group):
            yield member


def _is_fresh_enough(request: ReadRequest, member: str) -> bool:
    age_ms = request.ages_ms.get(member)
    return age_ms is not None and age_ms <= request.effective.max_age_ms


def _wait_or_poll(request: ReadRequest) -> Choice:
    if request.effective.read_class is not ReadClass.SESSION:
        return _POLL_MEMBERS
    position = request.position
    remaining_ms = MAX_POSITION_WAIT_MS - request.waited_ms
    if position is None or remaining_ms <= 0:
        return _POLL_MEMBERS
    group = request.group
    # A position of a term after the record's is not lost: the record is out of date.
    is_reachable = position.term > group.term or is_contained(
        position, group.term, group.history
    )
    return WaitForPosition(position, remaining_ms) if is_reachable else _POLL_MEMBERS
