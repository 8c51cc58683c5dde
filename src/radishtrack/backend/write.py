"""Execution of writes outside transactions, with confirmation of their commits."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Final

import attrs

from radishtrack.backend.connection import (
    ConnectFailed,
    MemberConnection,
    MemberError,
    ResponseLost,
    StatementResult,
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

TERM_CHECK_INTERVAL_MS: Final = 250.0
RETRYABLE_ERROR_CODES: Final = frozenset({READ_ONLY_ERROR, TOO_MANY_CONNECTIONS_ERROR})
"""Errors of a member that refused a statement before running it; a retry is safe."""


@attrs.define
class ExecutedWrite:
    """A statement that the primary has executed and whose commit is not confirmed.

    Parameters
    ----------
    result : StatementResult
        The primary's result.
    position : Position or None
        Position that covers the commit; None if the primary changed meanwhile.
    sequence_before : int
        A sequence that the log had reached before the commit; 0 if unknown.
    """

    result: StatementResult
    position: Position | None
    sequence_before: int = 0


async def run_write(
    backend: DatabaseBackend,
    request: Execute,
    deadline_ms: float,
    entry: JournalEntry | None,
) -> AsyncIterator[Message]:
    """Run one statement on the primary and confirm its commit.

    While no primary accepts the statement, it provably has not run and is retried
    until its deadline, for example after a promotion.

    Parameters
    ----------
    backend : DatabaseBackend
        The database.
    request : Execute
        The statement.
    deadline_ms : float
        Time of the latest response, on the backend's clock, in milliseconds.
    entry : JournalEntry or None
        Set for a request with an identifier, which may be repeated.

    Yields
    ------
    Message
        Parts of a result, if there is one, then `Done`.

    Raises
    ------
    RequestError
        With the outcome as far as it is known.
    MemberError
        The member's own error.
    """
    may_have_run = False
    while True:
        group = backend.group
        if backend.has_later_term(group):
            # The recorded primary may have been replaced; nothing more is sent to it.
            await _wait_before_retry(backend, deadline_ms, may_have_run)
            continue
        sequence_before = find_sequence_before(backend, group)
        parts: list[Message] = []
        try:
            async with backend.connect(
                group.primary, request.organisation, deadline_ms
            ) as connection:
                async with asyncio.timeout(backend.remaining_s(deadline_ms)):
                    executed = await _run_once(
                        connection, group, request, entry, parts, sequence_before
                    )
        except RequestError as error:
            is_refused = error.failure.outcome is Outcome.NOT_RUN
            if may_have_run and is_refused and error.failure.step != JOURNAL_STEP:
                raise make_unknown("write", error.failure.message) from error
            raise
        except ConnectFailed:
            await _wait_before_retry(backend, deadline_ms, may_have_run)
            continue
        except MemberError as error:
            is_retryable = error.code in RETRYABLE_ERROR_CODES
            if not is_retryable and not (
                entry and error.code == LOCK_WAIT_TIMEOUT_ERROR
            ):
                raise
            await _wait_before_retry(backend, deadline_ms, may_have_run)
            continue
        except (ResponseLost, TimeoutError) as error:
            if entry is None:
                reason = str(error) or "the primary did not respond in time"
                raise make_unknown("write", reason, peer=group.primary) from error
            # Running it again is safe: the journal shows whether the first run was
            # committed.
            may_have_run = True
            await _wait_before_retry(backend, deadline_ms, may_have_run)
            continue
        if await _is_confirmed(backend, group, executed, deadline_ms, entry):
            break
        # The new term may contain the commit of a journaled request that was not
        # confirmed; running it again shows whether it does.
        may_have_run = True
        await _wait_before_retry(backend, deadline_ms, may_have_run)
    for part in parts:
        yield part
    yield _make_done(request, executed, group)


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
    """Return a sequence that the primary's log has already reached; 0 if unknown."""
    status = backend.monitor.latest_statuses.get(group.primary)
    return 0 if status is None else sequence_before(status, group)


async def _wait_before_retry(
    backend: DatabaseBackend, deadline_ms: float, may_have_run: bool
) -> None:
    if may_have_run and backend.remaining_s(deadline_ms) <= 0.05:
        raise make_unknown("write", "deadline passed", peer=backend.group.primary)
    await backend.wait_before_retry("write", deadline_ms)


async def _run_once(
    connection: MemberConnection,
    group: Group,
    request: Execute,
    entry: JournalEntry | None,
    parts: list[Message],
    sequence_before: int,
) -> ExecutedWrite:
    result = StatementResult(0, 0)
    if entry is not None:
        journaled = await run_journaled(connection, entry, request.statement)
        result = journaled.result
        if journaled.is_repeat:
            # The earlier run's commit may precede the sequence read before this run.
            sequence_before = 0
    else:
        async for part in connection.stream(request.statement):
            match part:
                case StatementResult():
                    result = part
                case StreamHead():
                    parts.append(ResultHead(request.request, part.names, part.types))
                case StreamRows():
                    parts.append(Rows(request.request, part.rows))
    connection.is_dirty = connection.is_dirty or request.dirties_session
    status = await connection.read_status()
    return ExecutedWrite(result, position_of_commit(status, group), sequence_before)


async def _is_confirmed(
    backend: DatabaseBackend,
    group: Group,
    executed: ExecutedWrite,
    deadline_ms: float,
    entry: JournalEntry | None,
) -> bool:
    """Wait for confirmation; return False if a journaled request must run again."""
    if executed.position is None:
        if entry is None:
            raise make_unknown("confirm", "primary was replaced", peer=group.primary)
        return False
    if entry is not None:
        return await _is_journaled_confirmed(backend, group, executed, deadline_ms)
    if await confirm_commit(
        backend, group, executed.position, deadline_ms, executed.sequence_before
    ):
        return True
    raise make_not_run(
        "confirm", "discarded by a change of primary", peer=group.primary
    )


async def _is_journaled_confirmed(
    backend: DatabaseBackend, group: Group, executed: ExecutedWrite, deadline_ms: float
) -> bool:
    """Wait for confirmation; return False, for a rerun, if the term ends first."""
    assert executed.position is not None
    while backend.group.term == group.term:
        check_deadline_ms = min(
            deadline_ms, backend.clock.now_ms() + TERM_CHECK_INTERVAL_MS
        )
        outcome = await backend.monitor.wait_confirmed(
            executed.position, group.term, check_deadline_ms, executed.sequence_before
        )
        if isinstance(outcome, Confirmed | RanInHistory):
            return True
        if backend.remaining_s(deadline_ms) <= 0:
            raise make_unknown("confirm", "deadline passed", peer=group.primary)
    return False


def _make_done(request: Execute, executed: ExecutedWrite, group: Group) -> Done:
    position = executed.position or Position(0, 0)
    return Done(
        request.request,
        executed.result.affected_rows,
        executed.result.insert_id,
        position.term,
        position.sequence,
        group.primary,
        "primary",
        False,
    )
