"""A client's session: its values, prepared statements, transaction and positions."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.pooler.catalog import Route, digest_key
from radishtrack.pooler.execution import (
    Executable,
    Result,
    StatementContext,
    make_refusal,
    run_read,
    run_write,
)
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.rate_limit import RateToken
from radishtrack.pooler.retry import AttemptPlan, make_attempt_plan
from radishtrack.pooler.scheduling.retry_hint import add_hint, retry_after_ms
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
"""Longest wait for a token, in latency objectives. A later refusal would leave the
client too little time for a retry; a token takes one round trip between nodes."""
STOPPING: Final = "the node is stopping"
"""Detail of refusals in a planned stop."""
OPEN_ORGANISATION: Final = "-"
"""Organisation name that is sent to members for open routes, which have none."""


@attrs.frozen
class Denied:
    """Reason why a session may not run statements."""

    refusal: Refusal
    detail: str


@attrs.frozen
class SessionAccess:
    """Route and organisation of a session under the current configuration."""

    route: Route
    organisation: str
    is_limited: bool


@attrs.frozen
class SessionContext:
    """Functions of the node that all its sessions use.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    authorise : callable
        Takes database name and key digest; returns the access or why it is denied.
    check_transaction : callable
        Takes the access with which a transaction began and the key digest; returns why
        the transaction may not go on, or None.
    deny_unconfirmed : callable
        Returns the denial of a session whose rights are not known at present.
    refresh : callable
        Reads the configuration from the store; takes what the local copy lacks, and
        returns False if there was no answer.
    admit : callable
        Takes an organisation and the longest wait in milliseconds; returns a token of
        its rate, or None if the rate admits no more operation.
    refund : callable
        Takes back the token of an operation of which nothing was sent to a member.
    find_group : callable
        Returns the access to a group.
    observe : callable
        Records the result of an operation: session, statement identifier, step, result
        and arrival time.
    observe_denied : callable
        Records a denied session: database and reason.
    token_wait_ms : callable
        Takes an organisation; returns the time until its rate may have a token.
    catalog_age_ms : callable
        Returns the age of the configuration in milliseconds.
    may_start : callable
        Returns whether statements may still be sent to members; False near the end of
        the node's planned stop.
    """

    clock: Clock
    authorise: Callable[[str, bytes | None], SessionAccess | Denied]
    check_transaction: Callable[[SessionAccess, bytes | None], Denied | None]
    deny_unconfirmed: Callable[[], Denied]
    refresh: Callable[[str, bytes | None], Awaitable[bool]]
    admit: Callable[[str, float], Awaitable[RateToken | None]]
    refund: Callable[[RateToken], None]
    find_group: Callable[[str], GroupAccess]
    observe: Callable[[ClientSession, str, str, Result, float], None]
    observe_denied: Callable[[str, Denied], None]
    token_wait_ms: Callable[[str], float]
    catalog_age_ms: Callable[[], float]
    may_start: Callable[[], bool]


@attrs.define(eq=False)
class ClientSession:
    """State of one client connection; `handle` runs one statement at a time."""

    context: SessionContext
    database: str
    key_digest: bytes | None
    values: dict[str, str] = attrs.field(factory=dict)
    prepared: dict[str, Prepare] = attrs.field(factory=dict)
    positions: dict[str, Position] = attrs.field(factory=dict)
    """Log position after this session's last commit, by group."""
    transaction: Transaction | None = None
    access: SessionAccess | None = None
    """Access of the current operation; it changes only between transactions."""
    plan: AttemptPlan | None = None
    """Attempts of the latest statement that needed a member."""
    needs_close: bool = False
    """Whether the frontend has to close the connection after this response."""

    @property
    def state(self) -> TransactionState:
        """Transaction state that is sent to the client."""
        if self.transaction is None:
            return TransactionState.IDLE
        if self.transaction.has_failed:
            return TransactionState.FAILED
        return TransactionState.OPEN

    async def handle(self, statement: ClientStatement) -> ClientResponse:
        """Run one statement and return its response."""
        denied = self._check_access()
        if denied is not None:
            self.context.observe_denied(self.database, denied)
            await self.close()
            # The client can reconnect, to a node that may serve it.
            self.needs_close = True
            return self._refuse(denied.refusal, denied.detail)
        if not self.context.may_start():
            return await self._end(statement)
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

    def abort(self, statement: ClientStatement) -> ClientResponse:
        """Return the final response to a statement whose `handle` was cancelled.

        The connection has to be closed, which rolls back an open transaction.
        """
        self.needs_close = True
        refusal = Refusal.BUSY if self.transaction is None else Refusal.ABORTED
        if self._may_commit(statement):
            refusal = Refusal.OUTCOME_UNKNOWN
        return self._fail(refusal, STOPPING)

    async def close(self) -> None:
        """Roll back the open transaction, if any."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            await transaction.abandon()

    async def expire_transaction(self) -> None:
        """Roll back a transaction after its idle timeout and mark it failed."""
        if self.transaction is not None:
            await self.transaction.abandon()

    async def _end(self, statement: ClientStatement) -> ClientResponse:
        """Roll back and refuse a statement that comes too late in a planned stop."""
        in_transaction = self.transaction is not None
        await self.close()
        self.needs_close = True
        if in_transaction and isinstance(statement, Rollback):
            return self._complete()
        refusal = Refusal.ABORTED if in_transaction else Refusal.BUSY
        return self._refuse(refusal, STOPPING)

    def _may_commit(self, statement: ClientStatement) -> bool:
        """Return whether a running statement may have been committed."""
        transaction = self.transaction
        if isinstance(statement, Commit):
            return transaction is not None and transaction.has_written
        if transaction is not None or self.plan is None or not self.plan.is_sent:
            return False
        if isinstance(statement, RunPrepared):
            prepare = self.prepared.get(statement.name)
            return prepare is not None and prepare.is_write
        return isinstance(statement, Run) and statement.is_write

    def _check_access(self) -> Denied | None:
        if self.transaction is not None:
            # Changes of the route apply from the next transaction, those of keys now.
            return self.context.check_transaction(
                self._require_access(), self.key_digest
            )
        access = self.context.authorise(self.database, self.key_digest)
        if isinstance(access, Denied):
            return access
        self.access = access
        return None

    async def _begin(self, statement: Begin) -> ClientResponse:
        if self.transaction is not None:
            return self._refuse(Refusal.MALFORMED, "a transaction is open already")
        access = self._require_access()
        arrived_ms = self.context.clock.now_ms()
        token = await self._acquire_token(access)
        if token is None and access.is_limited:
            return self._refuse_over_rate("-", "begin", arrived_ms)
        group = self.context.find_group(access.route.group)
        self.transaction = Transaction(group, statement.is_read_only, token)
        return self._complete()

    async def _commit(self, statement: Commit) -> ClientResponse:
        transaction = self.transaction
        if transaction is None:
            return self._refuse(Refusal.MALFORMED, "no transaction is open")
        access = self._require_access()
        arrived_ms = self.context.clock.now_ms()
        statement_context = self._make_statement_context(access, None, arrived_ms)
        result = await transaction.commit(
            statement_context,
            statement,
            self.positions.get(access.route.group),
        )
        self.transaction = None
        self._refund(transaction.take_refund(statement_context))
        if not statement_context.plan.is_sent:
            result = self._add_hint(result, arrived_ms)
        if result.response.refusal is None and transaction.has_written:
            self._record_commit(access.route.group, result)
        return self._respond(statement.statement_id, "commit", result, arrived_ms)

    async def _execute(self, statement: Run | RunPrepared) -> ClientResponse:
        access = self._require_access()
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
        statement_context = self._make_statement_context(access, prepare, arrived_ms)
        group = self.context.find_group(access.route.group)
        position = self.positions.get(group.name)
        token: RateToken | None = None
        if self.transaction is not None:
            result = await self.transaction.run(
                statement_context, executable, position, is_write=is_write
            )
            token = self.transaction.take_refund(statement_context)
        elif (token := await self._acquire_token(access)) is None and access.is_limited:
            return self._refuse_over_rate(statement.statement_id, "admit", arrived_ms)
        elif is_write:
            result = await run_write(group, statement_context, executable)
            if result.response.refusal is None:
                self._record_commit(group.name, result)
        else:
            result = await run_read(group, statement_context, executable, position)
        if not statement_context.plan.is_sent:
            self._refund(token)
            result = self._add_hint(result, arrived_ms)
        result = attrs.evolve(result, attempts=statement_context.plan.attempts)
        step = "write" if is_write else "read"
        return self._respond(statement.statement_id, step, result, arrived_ms)

    def _set_value(self, name: str, value: str) -> ClientResponse:
        if name not in self.values and len(self.values) >= MAX_VALUES:
            return self._fail(Refusal.MALFORMED, "too many session values")
        # Applied to the connection of an open transaction before its next statement.
        self.values = {**self.values, name: value}
        return self._complete()

    def _prepare(self, statement: Prepare) -> ClientResponse:
        if statement.name not in self.prepared and len(self.prepared) >= MAX_PREPARED:
            return self._fail(Refusal.MALFORMED, "too many prepared statements")
        # Pooled connections are shared and clients choose the same names, so members
        # get a name that is derived from the statement.
        kind = "w" if statement.is_write else "r"
        member_prepare = attrs.evolve(statement, name=f"{kind}_{statement.shape}")
        self.prepared[statement.name] = member_prepare
        return self._complete()

    def _make_statement_context(
        self, access: SessionAccess, prepare: Prepare | None, arrived_ms: float
    ) -> StatementContext:
        plan = self.plan = make_attempt_plan(access.route, arrived_ms)
        group = self.context.find_group(access.route.group)
        if group.is_scarce:
            group.retry_limit.count_first()
            plan.limit = group.retry_limit
        return StatementContext(
            access.organisation, access.route, self.values, prepare, plan
        )

    def _require_access(self) -> SessionAccess:
        assert self.access is not None
        return self.access

    async def _acquire_token(self, access: SessionAccess) -> RateToken | None:
        if not access.is_limited:
            return None
        wait_ms = ADMISSION_OBJECTIVES * access.route.objective_ms
        return await self.context.admit(access.organisation, wait_ms)

    def _refund(self, token: RateToken | None) -> None:
        """Return the token of an operation of which nothing was sent to a member."""
        if token is not None:
            self.context.refund(token)

    def _refuse_over_rate(
        self, statement_id: str, step: str, arrived_ms: float
    ) -> ClientResponse:
        organisation = self._require_access().organisation
        result = self._add_hint(
            make_refusal(Refusal.BUSY, "the organisation is over its rate"),
            arrived_ms,
            self.context.token_wait_ms(organisation),
        )
        return self._respond(statement_id, step, result, arrived_ms)

    def _add_hint(
        self, result: Result, arrived_ms: float, excess_ms: float = 0.0
    ) -> Result:
        """Add the retry hint to the text of a refusal of this node."""
        route = self._require_access().route
        is_scarce = self.context.find_group(route.group).is_scarce
        if not is_scarce or result.response.refusal is not Refusal.BUSY:
            return result
        # The arrival time spreads the retries.
        hint_ms = retry_after_ms(excess_ms, route.priority, int(arrived_ms))
        detail = add_hint(result.response.detail, hint_ms)
        return attrs.evolve(
            result, response=attrs.evolve(result.response, detail=detail)
        )

    def _record_commit(self, group: str, result: Result) -> None:
        position = result.response.position
        if position is not None:
            earlier = self.positions.get(group)
            self.positions[group] = max(position, earlier) if earlier else position

    def _respond(
        self, statement_id: str, step: str, result: Result, arrived_ms: float
    ) -> ClientResponse:
        self.context.observe(self, statement_id, step, result, arrived_ms)
        response = result.response
        return ClientResponse(
            self.state,
            response.rows,
            response.signature,
            response.refusal,
            response.detail,
        )

    def _complete(self) -> ClientResponse:
        return ClientResponse(self.state)

    def _refuse(self, refusal: Refusal, detail: str) -> ClientResponse:
        return ClientResponse(self.state, refusal=refusal, detail=detail)

    def _fail(self, refusal: Refusal, detail: str) -> ClientResponse:
        """Refuse a statement and mark an open transaction failed."""
        if self.transaction is not None:
            self.transaction.has_failed = True
        return self._refuse(refusal, detail)


async def make_session(
    context: SessionContext, database: str, key: str | None
) -> ClientSession | Denied:
    """Return a session, or the reason why it is denied."""
    key_digest = digest_key(key) if key is not None else None
    access = context.authorise(database, key_digest)
    if isinstance(access, Denied):
        # The database or key may have been added a moment ago.
        is_answered = await context.refresh(database, key_digest)
        access = context.authorise(database, key_digest)
        if isinstance(access, Denied) and not is_answered:
            access = context.deny_unconfirmed()
    if isinstance(access, Denied):
        context.observe_denied(database, access)
        return access
    return ClientSession(context, database, key_digest, access=access)
