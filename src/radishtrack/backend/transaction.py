"""A client's transaction: one pinned connection to the primary."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, aclosing
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
from radishtrack.backend.member_sql import READ_ONLY_ERROR
from radishtrack.backend.write import (
    RETRYABLE_ERROR_CODES,
    confirm_commit,
    find_sequence_before,
)
from radishtrack.errors import (
    ErrorCode,
    Failure,
    Outcome,
    RequestError,
    make_not_run,
    make_unknown,
)
from radishtrack.group.outcome import position_of_commit
from radishtrack.group.status import Group
from radishtrack.peer.messages import Done, Execute, Message, ResultHead, Rows

TRANSACTION_LOST_STEP: Final = "transaction-lost"


@attrs.define
class Transaction:
    """An open transaction.

    Parameters
    ----------
    backend : DatabaseBackend
        The database.
    organisation : str
        The only organisation that may use it.
    group : Group
        The group's record when the transaction began.
    connection : MemberConnection
        The pinned connection.
    resources : AsyncExitStack
        Releases the connection and its permit.
    last_used_ms : float
        Time of the last use, on the backend's clock, in milliseconds.
    is_busy : bool
        Whether a statement is running.
    """

    backend: DatabaseBackend
    organisation: str
    group: Group
    connection: MemberConnection
    resources: AsyncExitStack
    last_used_ms: float
    is_busy: bool = False

    async def run(self, request: Execute, deadline_ms: float) -> AsyncIterator[Message]:
        """Run one statement inside the transaction.

        Raises
        ------
        RequestError
            Not run, if the transaction was lost; none of it was committed.
        MemberError
            The member's own error; the transaction stays open.
        """
        result = StatementResult(0, 0)
        self.connection.is_dirty = self.connection.is_dirty or request.dirties_session
        try:
            async with asyncio.timeout(self.backend.remaining_s(deadline_ms)) as limit:
                parts = self.connection.stream(request.statement)
                async with aclosing(parts):  # type: ignore[type-var]
                    async for part in parts:
                        match part:
                            case StatementResult():
                                result = part
                            case StreamHead(names, types):
                                yield ResultHead(request.request, names, types)
                            case StreamRows(rows):
                                yield Rows(request.request, rows)
                                # The deadline applies to the first rows only; the
                                # reader sets the pace of the rest.
                                limit.reschedule(None)
        except (ResponseLost, TimeoutError) as error:
            raise make_transaction_lost(
                str(error) or "no response in time", self.group.primary
            ) from error
        except MemberError as error:
            if error.code == READ_ONLY_ERROR:
                raise make_transaction_lost(str(error), self.group.primary) from error
            raise
        yield self._make_done(request, result, in_transaction=True)

    async def commit(self, request: Execute, deadline_ms: float) -> Done:
        """Commit and wait for confirmation.

        Raises
        ------
        RequestError
            Unknown, if the response to the commit was lost or the commit was not
            confirmed in time; not run, if it was refused or discarded.
        """
        primary = self.group.primary
        sequence_before = find_sequence_before(self.backend, self.group)
        try:
            async with asyncio.timeout(self.backend.remaining_s(deadline_ms)):
                await self.connection.run("COMMIT")
                status = await self.connection.read_status()
        except (ResponseLost, TimeoutError) as error:
            reason = str(error) or "no response in time"
            raise make_unknown("commit", reason, peer=primary) from error
        except MemberError as error:
            self.connection.close()
            raise make_transaction_lost(str(error), primary) from error
        finally:
            await self.resources.aclose()
        position = position_of_commit(status, self.group)
        if position is None:
            raise make_unknown("commit", "primary was replaced", peer=primary)
        is_kept = await confirm_commit(
            self.backend, self.group, position, deadline_ms, sequence_before
        )
        if not is_kept:
            raise make_not_run(
                "commit", "discarded by a change of primary", peer=primary
            )
        done = self._make_done(request, StatementResult(0, 0), in_transaction=False)
        return attrs.evolve(done, term=position.term, sequence=position.sequence)

    async def roll_back(self) -> None:
        """Roll back, or close the connection if that fails."""
        try:
            async with asyncio.timeout(1.0):
                await self.connection.run("ROLLBACK")
        except (ResponseLost, MemberError, TimeoutError):
            self.connection.close()
        finally:
            await self.resources.aclose()

    def _make_done(
        self, request: Execute, result: StatementResult, *, in_transaction: bool
    ) -> Done:
        return Done(
            request.request,
            result.affected_rows,
            result.insert_id,
            0,
            0,
            self.group.primary,
            "primary",
            in_transaction,
        )


def make_transaction_lost(reason: str, member: str) -> RequestError:
    """Return the error of a transaction that ended without a commit."""
    return RequestError(
        Failure(
            TRANSACTION_LOST_STEP,
            member,
            Outcome.NOT_RUN,
            ErrorCode.REFUSED,
            f"the transaction was rolled back: {reason}",
        )
    )


async def begin_transaction(
    backend: DatabaseBackend, request: Execute, deadline_ms: float
) -> Transaction:
    """Open a transaction on the primary, after a promotion if one is needed.

    Raises
    ------
    RequestError
        Not run, if no primary accepts it in time.
    """
    while True:
        group = backend.group
        if backend.has_later_term(group):
            await backend.wait_before_retry("begin", deadline_ms)
            continue
        resources = AsyncExitStack()
        try:
            connection = await resources.enter_async_context(
                backend.connect(group.primary, request.organisation, deadline_ms)
            )
            async with asyncio.timeout(backend.remaining_s(deadline_ms)):
                await connection.run(request.statement)
        except (ConnectFailed, ResponseLost, TimeoutError):
            await resources.aclose()
        except MemberError as error:
            await resources.aclose()
            if error.code not in RETRYABLE_ERROR_CODES:
                raise
        except BaseException:
            await resources.aclose()
            raise
        else:
            now_ms = backend.clock.now_ms()
            return Transaction(
                backend, request.organisation, group, connection, resources, now_ms
            )
        await backend.wait_before_retry("begin", deadline_ms)
