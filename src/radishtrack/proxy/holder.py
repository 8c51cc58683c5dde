"""The holder's part of a request: admission, execution and the typed response."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing

import attrs

from radishtrack.backend.connection import MemberError
from radishtrack.backend.database import DatabaseBackend
from radishtrack.backend.journal import JournalEntry, make_journal_entry
from radishtrack.backend.read import run_read
from radishtrack.backend.transaction import (
    TRANSACTION_LOST_STEP,
    Transaction,
    begin_transaction,
    make_transaction_lost,
)
from radishtrack.backend.write import run_write
from radishtrack.clock import Clock
from radishtrack.errors import Failure, Outcome, RequestError, make_not_run
from radishtrack.peer.messages import Done, Execute, Failed, Message, Rows
from radishtrack.routing.options import make_invalid_option
from radishtrack.routing.statement import Kind
from radishtrack.usage.counter import UsageCounter, UsageKey

SessionKey = tuple[str, int]
"""Identifier of a peer connection, and the session number on it."""

Admit = Callable[[DatabaseBackend, str, float], Awaitable[None]]
"""Takes database, organisation and deadline in milliseconds; raises `RequestError` if
the request exceeds the organisation's rate or can't be served in time."""


@attrs.define
class Holder:
    """Executes statements on the databases whose slots this node holds.

    Parameters
    ----------
    clock : Clock
        Clock of deadlines.
    admit : callable
        Admits requests by the organisation's rate.
    usage : UsageCounter
        Usage of each organisation.
    find_owner : callable
        Returns the owner of an organisation.
    databases : dict of str to DatabaseBackend
        Databases that this node holds, by name.
    transactions : dict
        Open transactions by connection and session.
    lost_sessions : set
        Sessions whose transaction was lost and whose client has not ended it yet.
    """

    clock: Clock
    admit: Admit
    usage: UsageCounter
    find_owner: Callable[[str], str]
    databases: dict[str, DatabaseBackend] = attrs.field(factory=dict)
    transactions: dict[SessionKey, Transaction] = attrs.field(factory=dict)
    lost_sessions: set[SessionKey] = attrs.field(factory=set)
    running: int = 0

    async def execute(
        self, connection: str, request: Execute
    ) -> AsyncIterator[Message]:
        """Execute one statement and yield any failure as a `Failed` message.

        Close the iterator before the session's next statement. Each generator below
        closes the next one in turn: a cleanup that is left to the garbage collector
        runs beside the next statement, and ends its transaction.
        """
        key = (connection, request.session)
        started_ms = self.clock.now_ms()
        self.running += 1
        try:
            messages = self._dispatch(key, request, started_ms + request.timeout_ms)
            async with aclosing(messages):  # type: ignore[type-var]
                async for message in messages:
                    self._count_usage(request, message, started_ms)
                    yield message
        except RequestError as error:
            yield await self._make_failed(key, request, error.failure)
        except MemberError as error:
            yield await self._make_failed(key, request, _make_failure(error))
        finally:
            self.running -= 1

    def _count_usage(
        self, request: Execute, message: Message, started_ms: float
    ) -> None:
        key = UsageKey(request.organisation, self.find_owner(request.organisation))
        if isinstance(message, Rows):
            size = sum(len(value or "") for row in message.rows for value in row)
            self.usage.add(key, rows=len(message.rows), bytes_out=size)
        elif isinstance(message, Done):
            self.usage.add(
                key,
                statements=1,
                bytes_in=len(request.statement),
                connection_ms=self.clock.now_ms() - started_ms,
            )

    async def end_session(self, connection: str, session: int) -> None:
        """Roll back the transaction of a session that ended."""
        self.lost_sessions.discard((connection, session))
        transaction = self.transactions.pop((connection, session), None)
        if transaction is not None:
            await transaction.roll_back()

    async def end_connection(self, connection: str) -> None:
        """Roll back the transactions of all sessions of a connection."""
        keys = {*self.transactions, *self.lost_sessions}
        for session_connection, session in keys:
            if session_connection == connection:
                await self.end_session(session_connection, session)

    async def end_idle_transactions(self, limit_ms: float) -> None:
        """Roll back transactions that were not used for `limit_ms` milliseconds."""
        idle_since_ms = self.clock.now_ms() - limit_ms
        for key, transaction in tuple(self.transactions.items()):
            if not transaction.is_busy and transaction.last_used_ms < idle_since_ms:
                del self.transactions[key]
                self.lost_sessions.add(key)
                await transaction.roll_back()

    async def _dispatch(
        self, key: SessionKey, request: Execute, deadline_ms: float
    ) -> AsyncIterator[Message]:
        kind = Kind(request.kind)
        transaction = self.transactions.get(key)
        if key in self.lost_sessions:
            yield self._end_lost_transaction(key, request, kind)
            return
        if transaction is not None:
            transaction.backend.active_requests += 1
            try:
                messages = self._run_in_transaction(
                    key, transaction, request, deadline_ms
                )
                async with aclosing(messages):  # type: ignore[type-var]
                    async for message in messages:
                        yield message
            finally:
                transaction.backend.active_requests -= 1
            return
        if kind in (Kind.COMMIT, Kind.ROLLBACK):
            yield _make_empty_done(request)
            return
        backend = self.databases.get(request.database)
        if backend is None:
            raise make_not_run("hold", f"no slot of {request.database} is held here")
        backend.active_requests += 1
        try:
            messages = self._run_outside_transaction(key, backend, request, deadline_ms)
            async with aclosing(messages):  # type: ignore[type-var]
                async for message in messages:
                    yield message
        finally:
            backend.active_requests -= 1

    async def _run_outside_transaction(
        self,
        key: SessionKey,
        backend: DatabaseBackend,
        request: Execute,
        deadline_ms: float,
    ) -> AsyncIterator[Message]:
        kind = Kind(request.kind)
        await self.admit(backend, request.organisation, deadline_ms)
        backend.retries.count_request(self.clock.now_ms())
        if kind is Kind.BEGIN:
            transaction = await begin_transaction(backend, request, deadline_ms)
            self.transactions[key] = transaction
            yield attrs.evolve(_make_empty_done(request), in_transaction=True)
            return
        if kind is Kind.READ:
            messages = run_read(backend, request, deadline_ms)
        else:
            entry = _make_journal_entry(request)
            messages = run_write(backend, request, deadline_ms, entry)
        async with aclosing(messages):  # type: ignore[type-var]
            async for message in messages:
                yield message

    async def _run_in_transaction(
        self,
        key: SessionKey,
        transaction: Transaction,
        request: Execute,
        deadline_ms: float,
    ) -> AsyncIterator[Message]:
        kind = Kind(request.kind)
        if transaction.organisation != request.organisation:
            raise make_not_run(
                "transaction", "the open transaction belongs to another organisation"
            )
        if transaction.backend.name != request.database:
            raise make_not_run(
                "transaction", "the open transaction uses another database"
            )
        if kind in (Kind.BEGIN, Kind.DDL):
            raise make_not_run("transaction", "end the open transaction first")
        if request.request_id:
            raise make_invalid_option("request_id can't be used in a transaction")
        if kind is Kind.COMMIT:
            del self.transactions[key]
            yield await transaction.commit(request, deadline_ms)
            return
        if kind is Kind.ROLLBACK:
            del self.transactions[key]
            await transaction.roll_back()
            yield _make_empty_done(request)
            return
        # Each statement of a transaction counts against the rate.
        await self.admit(transaction.backend, request.organisation, deadline_ms)
        transaction.is_busy = True
        try:
            messages = transaction.run(request, deadline_ms)
            async with aclosing(messages):  # type: ignore[type-var]
                async for message in messages:
                    yield message
        finally:
            transaction.is_busy = False
            transaction.last_used_ms = self.clock.now_ms()
            if transaction.connection.is_in_doubt:
                await self._mark_lost(key, transaction)

    async def _mark_lost(self, key: SessionKey, transaction: Transaction) -> None:
        if self.transactions.pop(key, None) is not None:
            self.lost_sessions.add(key)
            transaction.connection.close()
            await transaction.resources.aclose()

    def _end_lost_transaction(
        self, key: SessionKey, request: Execute, kind: Kind
    ) -> Message:
        # The remaining statements of a lost transaction must not run outside it.
        if kind in (Kind.COMMIT, Kind.ROLLBACK):
            self.lost_sessions.discard(key)
        if kind is Kind.ROLLBACK:
            return _make_empty_done(request)
        raise make_transaction_lost("it ended before this statement", "")

    async def _make_failed(
        self, key: SessionKey, request: Execute, failure: Failure
    ) -> Failed:
        transaction = self.transactions.get(key)
        if failure.step == TRANSACTION_LOST_STEP and transaction is not None:
            await self._mark_lost(key, transaction)
        return Failed(
            request.request,
            failure.step,
            failure.peer,
            failure.outcome.value,
            failure.code,
            failure.message,
            failure.retry_after_ms,
            key in self.lost_sessions,
        )


def _make_journal_entry(request: Execute) -> JournalEntry | None:
    if not request.request_id:
        return None
    try:
        return make_journal_entry(
            request.organisation, request.request_id, request.statement
        )
    except ValueError as error:
        raise make_invalid_option(str(error)) from error


def _make_empty_done(request: Execute) -> Done:
    return Done(request.request, 0, 0, 0, 0, "", "", False)


def _make_failure(error: MemberError) -> Failure:
    # The member rejected the whole statement, so no part of it took effect.
    return Failure("execute", "", Outcome.NOT_RUN, error.code, error.message)
