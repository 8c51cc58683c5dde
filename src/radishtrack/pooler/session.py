"""A client's session: its values, prepared statements, transaction and positions."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Hashable
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.pooler.catalog import Route, digest_key
from radishtrack.pooler.execution import (
    Executable,
    Request,
    Result,
    refuse,
    run_read,
    run_write,
)
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.retry import make_attempt_plan
from radishtrack.pooler.statements import (
    Begin,
    ClientResponse,
    ClientStatement,
    Commit,
    Deallocate,
    InvalidStatement,
    Prepare,
    Refusal,
    Rollback,
    Run,
    RunPrepared,
    SetValue,
    TransactionState,
)
from radishtrack.pooler.transaction import Transaction
from radishtrack.session.position import Position

MAX_VALUES: Final = 256
"""Session values of one client; bounds the memory of a session."""
MAX_PREPARED: Final = 256
"""Prepared statements of one client; bounds the memory of a session."""
ADMISSION_OBJECTIVES: Final = 0.2
"""Longest wait for a token, in latency objectives: a later refusal leaves the client
too little time for another attempt. A token takes one round trip between nodes."""
OPEN_ORGANISATION: Final = "-"
"""What members are told of clients of open routes, which have no organisation."""


@attrs.frozen
class Denied:
    """Why a session may not run anything now."""

    refusal: Refusal
    detail: str


@attrs.frozen
class Access:
    """What a session may use, by the configuration in force."""

    route: Route
    organisation: str
    is_limited: bool


@attrs.frozen
class SessionContext:
    """What sessions share.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    authorise : callable
        Takes database name and key digest; returns the access or why there is none.
    refresh : callable
        Reads the configuration from the store, for names that are not known yet.
    admit : callable
        Takes an organisation and how long to wait in milliseconds; tells whether its
        rate admits one more operation.
    find_group : callable
        Returns the access to a group.
    observe : callable
        Told of every operation's result: session, statement identifier, what ran, the
        result and when it arrived.
    observe_denied : callable
        Told of every session that may not run anything: database, why, and the age of
        the configuration in milliseconds.
    catalog_age_ms : callable
        Returns that age.
    """

    clock: Clock
    authorise: Callable[[str, bytes | None], Access | Denied]
    refresh: Callable[[Hashable], Awaitable[None]]
    admit: Callable[[str, float], Awaitable[bool]]
    find_group: Callable[[str], GroupAccess]
    observe: Callable[[ClientSession, str, str, Result, float], None]
    observe_denied: Callable[[str, Denied, float], None]
    catalog_age_ms: Callable[[], float]

    def report_denied(self, database: str, denied: Denied) -> None:
        """Tell that a session may not run anything."""
        self.observe_denied(database, denied, self.catalog_age_ms())


@attrs.define(eq=False)
class ClientSession:
    """State of one client connection; `handle` runs its statements in turn."""

    context: SessionContext
    database: str
    key_digest: bytes | None
    values: dict[str, str] = attrs.field(factory=dict)
    prepared: dict[str, Prepare] = attrs.field(factory=dict)
    positions: dict[str, Position] = attrs.field(factory=dict)
    """End of the log after this session's last commit, by group."""
    transaction: Transaction | None = None
    access: Access | None = None
    """What the running operation uses; a new configuration counts from the next one."""
    must_close: bool = False
    """Whether the connection has to end after the present answer."""

    @property
    def state(self) -> TransactionState:
        """Whether a transaction is open."""
        if self.transaction is None:
            return TransactionState.IDLE
        if self.transaction.has_failed:
            return TransactionState.FAILED
        return TransactionState.OPEN

    async def handle(self, statement: ClientStatement) -> ClientResponse:
        """Run one statement and return its answer."""
        denied = self._check_access()
        if denied is not None:
            self.context.report_denied(self.database, denied)
            await self.close()
            # The client can go on at a node that may serve it.
            self.must_close = True
            return self._refuse(denied.refusal, denied.detail)
        match statement:
            case InvalidStatement(reason):
                return self._refuse(Refusal.MALFORMED, reason)
            case Rollback():
                await self.close()
                return self._complete()
            case Commit():
                return await self._commit(statement)
            case _ if self.state is TransactionState.FAILED:
                return self._refuse(Refusal.MALFORMED, "the transaction has failed")
            case Begin():
                return await self._begin(statement)
            case SetValue(name, value):
                return self._set_value(name, value)
            case Prepare():
                return self._prepare(statement)
            case Deallocate(name):
                self.prepared.pop(name, None)
                return self._complete()
            case Run() | RunPrepared():
                return await self._execute(statement)

    async def close(self) -> None:
        """End the transaction, if any, by rolling back."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            await transaction.abandon()

    async def expire_transaction(self) -> None:
        """Roll back a transaction that was idle for too long; it counts as failed."""
        if self.transaction is not None:
            await self.transaction.abandon()

    def _check_access(self) -> Denied | None:
        access = self.context.authorise(self.database, self.key_digest)
        if isinstance(access, Denied):
            # A removed route ends with the transaction that runs on it; a key does not.
            if self.transaction is None or access.refusal is not Refusal.NO_DATABASE:
                return access
        elif self.transaction is None:
            self.access = access
        return None

    async def _begin(self, statement: Begin) -> ClientResponse:
        if self.transaction is not None:
            return self._refuse(Refusal.MALFORMED, "a transaction is open already")
        access = self._current_access()
        if not await self._admit(access):
            return self._refuse_over_rate("-", "begin")
        group = self.context.find_group(access.route.group)
        self.transaction = Transaction(group, statement.is_read_only)
        return self._complete()

    async def _commit(self, statement: Commit) -> ClientResponse:
        transaction = self.transaction
        if transaction is None:
            return self._refuse(Refusal.MALFORMED, "no transaction is open")
        access = self._current_access()
        arrived_ms = self.context.clock.now_ms()
        result = await transaction.commit(
            self._make_request(access, None, arrived_ms),
            statement,
            self.positions.get(access.route.group),
        )
        self.transaction = None
        if result.answer.refusal is None and transaction.wrote:
            self._note_commit(access.route.group, result)
        return self._answer(statement.statement_id, "commit", result, arrived_ms)

    async def _execute(self, statement: Run | RunPrepared) -> ClientResponse:
        access = self._current_access()
        prepare: Prepare | None = None
        executable: Executable = statement
        if isinstance(statement, RunPrepared):
            prepare = self.prepared.get(statement.name)
            if prepare is None:
                return self._fail(Refusal.NO_STATEMENT, "no such prepared statement")
            executable = attrs.evolve(statement, name=prepare.name)
            is_write = prepare.is_write
        else:
            is_write = statement.is_write
        arrived_ms = self.context.clock.now_ms()
        request = self._make_request(access, prepare, arrived_ms)
        group = self.context.find_group(access.route.group)
        position = self.positions.get(group.name)
        if self.transaction is not None:
            result = await self.transaction.run(
                request, executable, position, is_write=is_write
            )
        elif not await self._admit(access):
            return self._refuse_over_rate(statement.statement_id, "admit")
        elif is_write:
            result = await run_write(group, request, executable)
            if result.answer.refusal is None:
                self._note_commit(group.name, result)
        else:
            result = await run_read(group, request, executable, position)
        result = attrs.evolve(result, attempts=request.plan.attempts)
        step = "write" if is_write else "read"
        return self._answer(statement.statement_id, step, result, arrived_ms)

    def _set_value(self, name: str, value: str) -> ClientResponse:
        if name not in self.values and len(self.values) >= MAX_VALUES:
            return self._fail(Refusal.MALFORMED, "too many session values")
        # A connection that runs a transaction gets the new value with its next
        # statement.
        self.values = {**self.values, name: value}
        return self._complete()

    def _prepare(self, statement: Prepare) -> ClientResponse:
        if statement.name not in self.prepared and len(self.prepared) >= MAX_PREPARED:
            return self._fail(Refusal.MALFORMED, "too many prepared statements")
        # Names collide between clients; the same statement has one name at members.
        kind = "w" if statement.is_write else "r"
        shared = attrs.evolve(statement, name=f"{kind}_{statement.shape}")
        self.prepared[statement.name] = shared
        return self._complete()

    def _make_request(
        self, access: Access, prepare: Prepare | None, arrived_ms: float
    ) -> Request:
        plan = make_attempt_plan(access.route, arrived_ms)
        return Request(access.organisation, access.route, self.values, prepare, plan)

    def _current_access(self) -> Access:
        assert self.access is not None
        return self.access

    async def _admit(self, access: Access) -> bool:
        if not access.is_limited:
            return True
        wait_ms = ADMISSION_OBJECTIVES * access.route.objective_ms
        return await self.context.admit(access.organisation, wait_ms)

    def _refuse_over_rate(self, statement_id: str, step: str) -> ClientResponse:
        result = refuse(Refusal.BUSY, "the organisation is over its rate")
        arrived_ms = self.context.clock.now_ms()
        return self._answer(statement_id, step, result, arrived_ms)

    def _note_commit(self, group: str, result: Result) -> None:
        position = result.answer.position
        if position is not None:
            known = self.positions.get(group)
            self.positions[group] = max(position, known) if known else position

    def _answer(
        self, statement_id: str, step: str, result: Result, arrived_ms: float
    ) -> ClientResponse:
        self.context.observe(self, statement_id, step, result, arrived_ms)
        answer = result.answer
        return ClientResponse(
            self.state, answer.rows, answer.signature, answer.refusal, answer.detail
        )

    def _complete(self) -> ClientResponse:
        return ClientResponse(self.state)

    def _refuse(self, refusal: Refusal, detail: str) -> ClientResponse:
        return ClientResponse(self.state, refusal=refusal, detail=detail)

    def _fail(self, refusal: Refusal, detail: str) -> ClientResponse:
        """Refuse a statement; an open transaction fails with it."""
        if self.transaction is not None:
            self.transaction.has_failed = True
        return self._refuse(refusal, detail)


async def make_session(
    context: SessionContext, database: str, key: str | None
) -> ClientSession | Denied:
    """Return a session, or why the client may not have one."""
    key_digest = digest_key(key) if key is not None else None
    access = context.authorise(database, key_digest)
    if isinstance(access, Denied):
        # The database or key may have been added a moment ago.
        await context.refresh((database, key_digest))
        access = context.authorise(database, key_digest)
    if isinstance(access, Denied):
        context.report_denied(database, access)
        return access
    return ClientSession(context, database, key_digest, access=access)
