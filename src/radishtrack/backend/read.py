"""Execution of reads outside transactions."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Final

import attrs

from radishtrack.backend.connection import (
    ConnectFailed,
    MemberError,
    ResponseLost,
    StatementResult,
    StreamHead,
    StreamRows,
)
from radishtrack.backend.database import DatabaseBackend
from radishtrack.backend.write import RETRYABLE_ERROR_CODES
from radishtrack.errors import make_not_run
from radishtrack.group.evidence import (
    NoEvidence,
    ServePrimary,
    ServeReplicas,
    ServeReplicasAtLeast,
    choose_strict,
    is_in_service,
)
from radishtrack.group.outcome import Confirmed, position_of_read
from radishtrack.group.status import Group, Role
from radishtrack.peer.messages import Done, Execute, Message, ResultHead, Rows
from radishtrack.routing.options import ReadClass
from radishtrack.routing.route import (
    EffectiveClass,
    PollMembers,
    ReadRequest,
    ServeOn,
    WaitForPosition,
    choose_member,
    select_preferred_member,
)
from radishtrack.session.position import Position

POSITION_POLL_INTERVAL_MS: Final = 5.0
CHUNK_TIMEOUT_S: Final = 10.0
"""Longest wait for the next rows of a result."""


@attrs.define(frozen=True)
class ReadTarget:
    """The member chosen to serve a read.

    Parameters
    ----------
    member : str
        Name of the member.
    role : Role
        Its role in the group.
    position : Position
        A position that the member has reached.
    """

    member: str
    role: Role
    position: Position


async def run_read(
    backend: DatabaseBackend, request: Execute, deadline_ms: float
) -> AsyncIterator[Message]:
    """Run one read and yield its result.

    A failed attempt is repeated on another member if no part of the result has been
    yielded and the retry budget allows it.

    Raises
    ------
    RequestError
        Not run, if no member could serve it in time or the result was interrupted.
    MemberError
        The member's own error.
    """
    excluded: frozenset[str] = frozenset()
    while True:
        target = await _choose_target(backend, request, deadline_ms, excluded)
        has_yielded = False
        try:
            parts = _run_once(backend, request, target, deadline_ms)
            async with aclosing(parts):  # type: ignore[type-var]
                async for part in parts:
                    yield part
                    has_yielded = True
            return
        except (ConnectFailed, ResponseLost, MemberError) as error:
            if (
                isinstance(error, MemberError)
                and error.code not in RETRYABLE_ERROR_CODES
            ):
                raise
            is_retry_allowed = not has_yielded and backend.retries.try_retry(
                backend.clock.now_ms()
            )
            if not is_retry_allowed:
                raise make_not_run("read", str(error), peer=target.member) from error
            excluded |= {target.member}
            if len(excluded) == len(backend.group.members):
                excluded = frozenset()
                await backend.wait_before_retry("read", deadline_ms)


async def _run_once(
    backend: DatabaseBackend, request: Execute, target: ReadTarget, deadline_ms: float
) -> AsyncIterator[Message]:
    group = backend.group
    position = target.position
    async with backend.connect(
        target.member, request.organisation, deadline_ms
    ) as connection:
        # Waits for the head only half of the remaining time, so that another member
        # can be tried if this one does not respond.
        wait_s = backend.remaining_s(deadline_ms) / 2
        parts = connection.stream(request.statement, wait_s, CHUNK_TIMEOUT_S)
        async with aclosing(parts):  # type: ignore[type-var]
            async for part in parts:
                match part:
                    case StreamHead():
                        yield ResultHead(request.request, part.names, part.types)
                    case StreamRows():
                        yield Rows(request.request, part.rows)
                    case StatementResult():
                        pass
        connection.is_dirty = connection.is_dirty or request.dirties_session
        if target.role is Role.PRIMARY:
            # The primary may have been replaced, or have commits that no replica has
            # yet. The result is valid only once its position is confirmed.
            status = await connection.read_status()
            read_position = position_of_read(status, group)
    if target.role is Role.PRIMARY:
        position = await _confirm_read(backend, group, read_position, deadline_ms)
    yield Done(
        request.request,
        0,
        0,
        position.term,
        position.sequence,
        target.member,
        target.role.value,
        False,
    )


async def _confirm_read(
    backend: DatabaseBackend,
    group: Group,
    read_position: Position | None,
    deadline_ms: float,
) -> Position:
    if read_position is None:
        raise make_not_run("confirm", "primary was replaced", peer=group.primary)
    outcome = await backend.monitor.wait_confirmed(
        read_position, group.term, deadline_ms
    )
    if not isinstance(outcome, Confirmed):
        # The result may miss commits of a later term that were acknowledged before
        # this read began.
        raise make_not_run("confirm", "result not confirmed", peer=group.primary)
    return read_position


async def _choose_target(
    backend: DatabaseBackend,
    request: Execute,
    deadline_ms: float,
    excluded: frozenset[str],
) -> ReadTarget:
    started_ms = backend.clock.now_ms()
    while True:
        now_ms = backend.clock.now_ms()
        read_request = _make_read_request(
            backend, request, excluded, now_ms - started_ms
        )
        match choose_member(read_request):
            case ServeOn(member=member, role=role):
                return _make_target(backend, read_request, member, role)
            case WaitForPosition(remaining_ms=remaining_ms):
                await asyncio.sleep(min(remaining_ms, POSITION_POLL_INTERVAL_MS) / 1000)
            case PollMembers():
                target = await _choose_strict_target(backend, read_request, deadline_ms)
                if target is not None:
                    return target
                await backend.wait_before_retry("evidence", deadline_ms)


def _make_target(
    backend: DatabaseBackend, read_request: ReadRequest, member: str, role: Role
) -> ReadTarget:
    status = read_request.statuses.get(member)
    return ReadTarget(member, role, status.position if status else Position(0, 0))


async def _choose_strict_target(
    backend: DatabaseBackend, read_request: ReadRequest, deadline_ms: float
) -> ReadTarget | None:
    polled = await backend.monitor.next_round(deadline_ms)
    group = backend.group
    choice = choose_strict(polled, group)
    match choice:
        case NoEvidence():
            return None
        case ServePrimary(position=position):
            return ReadTarget(group.primary, Role.PRIMARY, position)
        case ServeReplicas(members=members, position=position):
            candidates = members
        case ServeReplicasAtLeast(position=position):
            candidates = tuple(
                status.member
                for status in polled.statuses.values()
                if is_in_service(status, group)
                and status.member != group.primary
                and status.position.sequence >= position.sequence
            )
    usable = (member for member in candidates if member not in read_request.leaving)
    member = select_preferred_member(usable, read_request)
    if member is None:
        return ReadTarget(group.primary, Role.PRIMARY, position)
    return ReadTarget(member, Role.REPLICA, position)


def _make_read_request(
    backend: DatabaseBackend,
    request: Execute,
    excluded: frozenset[str],
    waited_ms: float,
) -> ReadRequest:
    statuses = backend.list_recent_statuses()
    now_ms = backend.clock.now_ms()
    read_class = ReadClass(request.read_class)
    ages_ms = {}
    if read_class is ReadClass.AGED:
        ages = {
            member: backend.monitor.freshness.age_ms(status, now_ms)
            for member, status in statuses.items()
        }
        ages_ms = {member: age for member, age in ages.items() if age is not None}
    return ReadRequest(
        EffectiveClass(read_class, int(request.max_age_ms)),
        backend.group,
        statuses,
        Position(request.term, request.sequence) if request.term else None,
        ages_ms,
        backend.pool.in_use,
        backend.list_zones(),
        backend.zone,
        backend.list_leaving_members() | excluded,
        waited_ms,
    )
