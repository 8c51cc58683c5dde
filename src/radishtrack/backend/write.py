"""Execution of single writes, up to their confirmed outcome."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Final

import attrs

from radishtrack.backend.connection import (
    AnswerLost,
    ConnectFailed,
    MemberConnection,
    MemberError,
    StatementAnswer,
    StreamHead,
    StreamRows,
)
from radishtrack.backend.database import DatabaseBackend
from radishtrack.backend.journal import JOURNAL_STEP, JournalEntry, run_journaled
from radishtrack.backend.member_sql import (
    LOCK_WAIT_TIMEOUT_ERROR,
    READ_ONLY_ERROR,
    TOO_MANY_CONNECTIONS_ERROR,
)
from radishtrack.errors import Outcome, RequestError, make_not_run, make_unknown
from radishtrack.group.outcome import (
    Confirmed,
    DidNotRun,
    RanInHistory,
    position_of_commit,
    sequence_before,
)
from radishtrack.group.status import Group
from radishtrack.peer.messages import Done, Execute, Message, ResultHead, Rows
from radishtrack.session.position import Position

CONFIRM_STEP_MS: Final = 250.0
RETRIED_ERRORS: Final = frozenset({READ_ONLY_ERROR, TOO_MANY_CONNECTIONS_ERROR})
"""The member refused before it ran anything, so trying again repeats nothing."""


@attrs.define
class Ran:
    """A statement that the primary answered; not yet confirmed.

    Parameters
    ----------
    answer : StatementAnswer
        The primary's answer.
    position : Position or None
        Position that covers the commit; None if the primary changed meanwhile.
    sequence_before : int
        A length that the log had before the commit; 0 if not known.
    """

    answer: StatementAnswer
    position: Position | None
    sequence_before: int = 0


async def run_write(
    backend: DatabaseBackend,
    request: Execute,
    deadline_ms: float,
    entry: JournalEntry | None,
) -> AsyncIterator[Message]:
    """Run one statement on the primary and confirm its commit.

    While no primary takes it, the request waits for a promotion within its deadline:
    it provably has not run.

    Parameters
    ----------
    backend : DatabaseBackend
        The database.
    request : Execute
        The statement.
    deadline_ms : float
        Latest answer, on the backend's clock.
    entry : JournalEntry or None
        Set for a request that may be repeated under an identifier.

    Yields
    ------
    Message
        Parts of a result, if there is one, then `Done`.

    Raises
    ------
    RequestError
        With the outcome that is known.
    MemberError
        The member's own error.
    """
    may_have_run = False
    while True:
        group = backend.group
        if backend.has_later_term(group):
            # The primary may have been replaced: nothing is sent to it any more.
            await _pause(backend, deadline_ms, may_have_run)
            continue
        before = find_sequence_before(backend, group)
        parts: list[Message] = []
        try:
            async with backend.connect(
                group.primary, request.organisation, deadline_ms
            ) as connection:
                async with asyncio.timeout(backend.remaining_s(deadline_ms)):
                    ran = await _run_once(
                        connection, group, request, entry, parts, before
                    )
        except RequestError as error:
            refused = error.failure.outcome is Outcome.NOT_RUN
            if may_have_run and refused and error.failure.step != JOURNAL_STEP:
                raise make_unknown("write", error.failure.message) from error
            raise
        except ConnectFailed:
            await _pause(backend, deadline_ms, may_have_run)
            continue
        except MemberError as error:
            retried = error.code in RETRIED_ERRORS
            if not retried and not (entry and error.code == LOCK_WAIT_TIMEOUT_ERROR):
                raise
            await _pause(backend, deadline_ms, may_have_run)
            continue
        except (AnswerLost, TimeoutError) as error:
            if entry is None:
                reason = str(error) or "the primary did not answer in time"
                raise make_unknown("write", reason, peer=group.primary) from error
            # The journal makes a second run harmless and tells what became of the
            # first.
            may_have_run = True
            await _pause(backend, deadline_ms, may_have_run)
            continue
        if await _is_confirmed(backend, group, ran, deadline_ms, entry):
            break
        # A journaled request that was not confirmed may still be contained in the
        # new term; only the next run tells.
        may_have_run = True
        await _pause(backend, deadline_ms, may_have_run)
    for part in parts:
        yield part
    yield _make_done(request, ran, group)


async def confirm_commit(
    backend: DatabaseBackend,
    group: Group,
    position: Position,
    deadline_ms: float,
    sequence_before: int,
) -> bool:
    """Wait until a commit's outcome is known.

    Returns
    -------
    bool
        True if every later promotion keeps the commit; False if it was discarded.

    Raises
    ------
    RequestError
        Unknown, if the deadline passes first.
    """
    outcome = await backend.monitor.wait_confirmed(
        position, group.term, deadline_ms, sequence_before
    )
    match outcome:
        case Confirmed() | RanInHistory():
            return True
        case DidNotRun():
            return False
    raise make_unknown("confirm", outcome.reason, peer=group.primary)


def find_sequence_before(backend: DatabaseBackend, group: Group) -> int:
    """Return a length that the primary's log has already reached."""
    status = backend.monitor.latest.get(group.primary)
    return 0 if status is None else sequence_before(status, group)


async def _pause(
    backend: DatabaseBackend, deadline_ms: float, may_have_run: bool
) -> None:
    if may_have_run and backend.remaining_s(deadline_ms) <= 0.05:
        raise make_unknown("write", "deadline passed", peer=backend.group.primary)
    await backend.pause("write", deadline_ms)


async def _run_once(
    connection: MemberConnection,
    group: Group,
    request: Execute,
    entry: JournalEntry | None,
    parts: list[Message],
    before: int,
) -> Ran:
    answer = StatementAnswer(0, 0)
    if entry is not None:
        journaled = await run_journaled(connection, entry, request.statement)
        answer = journaled.answer
        if journaled.is_repeat:
            # The commit is older than any length known now.
            before = 0
    else:
        async for part in connection.stream(request.statement):
            match part:
                case StatementAnswer():
                    answer = part
                case StreamHead():
                    parts.append(ResultHead(request.request, part.names, part.types))
                case StreamRows():
                    parts.append(Rows(request.request, part.rows))
    connection.dirty = connection.dirty or request.dirties_session
    status = await connection.read_status()
    return Ran(answer, position_of_commit(status, group), before)


async def _is_confirmed(
    backend: DatabaseBackend,
    group: Group,
    ran: Ran,
    deadline_ms: float,
    entry: JournalEntry | None,
) -> bool:
    """Wait for the outcome; False means that a journaled request must run again."""
    if ran.position is None:
        if entry is None:
            raise make_unknown("confirm", "primary was replaced", peer=group.primary)
        return False
    if entry is not None:
        return await _is_journaled_confirmed(backend, group, ran, deadline_ms)
    if await confirm_commit(
        backend, group, ran.position, deadline_ms, ran.sequence_before
    ):
        return True
    raise make_not_run(
        "confirm", "discarded by a change of primary", peer=group.primary
    )


async def _is_journaled_confirmed(
    backend: DatabaseBackend, group: Group, ran: Ran, deadline_ms: float
) -> bool:
    """Wait as long as the term lasts; after it, running again tells the outcome."""
    assert ran.position is not None
    while backend.group.term == group.term:
        step_ms = min(deadline_ms, backend.clock.now_ms() + CONFIRM_STEP_MS)
        outcome = await backend.monitor.wait_confirmed(
            ran.position, group.term, step_ms, ran.sequence_before
        )
        if isinstance(outcome, Confirmed | RanInHistory):
            return True
        if backend.remaining_s(deadline_ms) <= 0:
            raise make_unknown("confirm", "deadline passed", peer=group.primary)
    return False


def _make_done(request: Execute, ran: Ran, group: Group) -> Done:
    position = ran.position or Position(0, 0)
    return Done(
        request.request,
        ran.answer.affected_rows,
        ran.answer.insert_id,
        position.term,
        position.sequence,
        group.primary,
        "primary",
        False,
    )
