"""Execution of reads outside transactions, on the member that may serve them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Final

import attrs

from radishtrack.backend.connection import (
    AnswerLost,
    ConnectFailed,
    MemberError,
    StatementAnswer,
    StreamHead,
    StreamRows,
)
from radishtrack.backend.database import DatabaseBackend
from radishtrack.backend.write import RETRIED_ERRORS
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
    ReadRequest,
    ServeOn,
    StrictRound,
    WaitForPosition,
    choose_member,
    select_preferred_member,
)
from radishtrack.session.position import Position

WAIT_STEP_MS: Final = 5.0
PART_TIMEOUT_S: Final = 10.0
"""Time that a member may take for the next rows of a running result."""


@attrs.define(frozen=True)
class Target:
    """The member that serves a read.

    Parameters
    ----------
    member : str
        The member.
    role : Role
        Its role in the group.
    position : Position
        A position that the member's data contains.
    """

    member: str
    role: Role
    position: Position


async def run_read(
    backend: DatabaseBackend, request: Execute, deadline_ms: float
) -> AsyncIterator[Message]:
    """Run one read and yield its result.

    A failed attempt moves to another member while nothing of the result has been
    passed on and the retry budget allows it.

    Raises
    ------
    RequestError
        Not run, if no member could serve it in time or the result broke off.
    MemberError
        The member's own error.
    """
    avoided: frozenset[str] = frozenset()
    while True:
        target = await _choose_target(backend, request, deadline_ms, avoided)
        has_yielded = False
        try:
            async for part in _run_once(backend, request, target, deadline_ms):
                yield part
                has_yielded = True
            return
        except (ConnectFailed, AnswerLost, MemberError) as error:
            if isinstance(error, MemberError) and error.code not in RETRIED_ERRORS:
                raise
            may_retry = not has_yielded and backend.retries.try_retry(
                backend.clock.now_ms()
            )
            if not may_retry:
                raise make_not_run("read", str(error), peer=target.member) from error
            avoided |= {target.member}
            if len(avoided) == len(backend.group.members):
                avoided = frozenset()
                await backend.pause("read", deadline_ms)


async def _run_once(
    backend: DatabaseBackend, request: Execute, target: Target, deadline_ms: float
) -> AsyncIterator[Message]:
    group = backend.group
    position = target.position
    async with backend.connect(
        target.member, request.organisation, deadline_ms
    ) as connection:
        # The head may take half of the time that is left, so that another member can be
        # tried if this one does not answer.
        wait_s = backend.remaining_s(deadline_ms) / 2
        parts = connection.stream(request.statement, wait_s, PART_TIMEOUT_S)
        async with aclosing(parts):  # type: ignore[type-var]
            async for part in parts:
                match part:
                    case StreamHead():
                        yield ResultHead(request.request, part.names, part.types)
                    case StreamRows():
                        yield Rows(request.request, part.rows)
                    case StatementAnswer():
                        pass
        connection.dirty = connection.dirty or request.dirties_session
        if target.role is Role.PRIMARY:
            # The primary may hold commits that no replica has yet and may have been
            # replaced; the result counts only once its position is confirmed.
            status = await connection.read_status()
            reached = position_of_read(status, group)
    if target.role is Role.PRIMARY:
        position = await _confirm_read(backend, group, reached, deadline_ms)
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
    reached: Position | None,
    deadline_ms: float,
) -> Position:
    if reached is None:
        raise make_not_run("confirm", "primary was replaced", peer=group.primary)
    outcome = await backend.monitor.wait_confirmed(reached, group.term, deadline_ms)
    if not isinstance(outcome, Confirmed):
        # A later term can contain commits acknowledged before this read began.
        raise make_not_run("confirm", "result not confirmed", peer=group.primary)
    return reached


async def _choose_target(
    backend: DatabaseBackend,
    request: Execute,
    deadline_ms: float,
    avoided: frozenset[str],
) -> Target:
    started_ms = backend.clock.now_ms()
    while True:
        now_ms = backend.clock.now_ms()
        inputs = _make_read_request(backend, request, avoided, now_ms - started_ms)
        match choose_member(inputs):
            case ServeOn(member=member, role=role):
                return _make_target(backend, inputs, member, role)
            case WaitForPosition(remaining_ms=remaining_ms):
                await asyncio.sleep(min(remaining_ms, WAIT_STEP_MS) / 1000)
            case StrictRound():
                target = await _choose_strict_target(backend, inputs, deadline_ms)
                if target is not None:
                    return target
                await backend.pause("evidence", deadline_ms)


def _make_target(
    backend: DatabaseBackend, inputs: ReadRequest, member: str, role: Role
) -> Target:
    status = inputs.statuses.get(member)
    return Target(member, role, status.position if status else Position(0, 0))


async def _choose_strict_target(
    backend: DatabaseBackend, inputs: ReadRequest, deadline_ms: float
) -> Target | None:
    polled = await backend.monitor.next_round(deadline_ms)
    group = backend.group
    choice = choose_strict(polled, group)
    match choice:
        case NoEvidence():
            return None
        case ServePrimary(position=position):
            return Target(group.primary, Role.PRIMARY, position)
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
    usable = (member for member in candidates if member not in inputs.leaving)
    member = select_preferred_member(usable, inputs)
    if member is None:
        return Target(group.primary, Role.PRIMARY, position)
    return Target(member, Role.REPLICA, position)


def _make_read_request(
    backend: DatabaseBackend,
    request: Execute,
    avoided: frozenset[str],
    waited_ms: float,
) -> ReadRequest:
    statuses = backend.list_answering()
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
        backend.leaving() | avoided,
        waited_ms,
    )
