"""A client's transaction, pinned to one connection of one member."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import Final

import attrs

from radishtrack.errors import RequestError
from radishtrack.pooler.catalog import ReadClass
from radishtrack.pooler.execution import (
    Executable,
    Result,
    StatementContext,
    await_primary_plan,
    confirm_commit,
    is_transaction_open,
    make_absence_refusal,
    make_queue_refusal,
    make_refusal,
    prepare_link,
    run_on_link,
)
from radishtrack.pooler.group_access import GroupAccess, ReadPlan
from radishtrack.pooler.member_pool import MemberPool, PooledLink
from radishtrack.pooler.ports import LinkLost, LinkRefused
from radishtrack.pooler.rate_limit import RateToken
from radishtrack.pooler.retry import RETRY_PAUSE_MS
from radishtrack.pooler.scheduling.work import WorkKind
from radishtrack.pooler.statements import (
    NOT_RUN,
    Begin,
    Commit,
    Refusal,
    Rollback,
    TransactionState,
)
from radishtrack.session.position import Position

ROLLBACK_TIMEOUT_MS: Final = 500.0
"""A rollback does not wait for a slot of the member. After the timeout the connection
is closed, which rolls back as well."""


@attrs.define(eq=False)
class Transaction:
    """A transaction, which begins at a member with its first statement.

    The delayed begin leaves the connection to others while the client pauses after its
    `BEGIN`, and can only make the data newer.

    Parameters
    ----------
    access : GroupAccess
        Group of the route at the time of the client's `BEGIN`.
    is_read_only : bool
        Whether a replica may run it.
    """

    access: GroupAccess
    is_read_only: bool
    token: RateToken | None = None
    """Token that admitted it; None if its rate is not limited or it was returned."""
    has_failed: bool = False
    has_written: bool = False
    member: str = ""
    min_position: Position | None = None
    """Position that the member's log had to contain at the begin."""
    pooled: PooledLink | None = None
    pool: MemberPool | None = None
    stack: AsyncExitStack = attrs.field(factory=AsyncExitStack)

    async def run(
        self,
        context: StatementContext,
        statement: Executable,
        session_position: Position | None,
        *,
        is_write: bool,
    ) -> Result:
        """Run a statement of the transaction."""
        if self.pooled is None:
            refused = await self._begin(context, session_position)
            if refused is not None:
                await self.abandon()
                return refused
        assert self.pooled is not None and self.pool is not None
        self.has_written = self.has_written or is_write
        result = await self._run_pinned(context, statement)
        if not is_transaction_open(result.response):
            await self.abandon()
        return result

    def take_refund(self, context: StatementContext) -> RateToken | None:
        """Return the token if the transaction failed before anything was sent."""
        if self.member or context.plan.is_sent or not self.has_failed:
            return None
        token, self.token = self.token, None
        return token

    async def commit(
        self,
        context: StatementContext,
        statement: Commit,
        session_position: Position | None,
    ) -> Result:
        """Commit; the transaction ends whatever the result."""
        if self.has_failed:
            await self.abandon()
            return make_refusal(
                Refusal.ABORTED, "the transaction had failed", self.member
            )
        if self.pooled is None:
            refused = await self._begin(context, session_position)
            if refused is not None:
                await self.abandon()
                return refused
        assert self.pooled is not None and self.pool is not None
        if self.has_written and not await self._await_evidence(context):
            await self.abandon()
            return make_refusal(
                Refusal.ABORTED, "no recent evidence of the group's log", self.member
            )
        term = self.access.evidence.term
        before = self.access.evidence.applied.get(self.member)
        try:
            response = await run_on_link(
                self.access,
                self.pool,
                self.pooled,
                statement,
                context=context,
                min_position=None,
                timeout_ms=context.plan.remaining_ms(self.access.clock.now_ms()),
            )
        except LinkLost as error:
            await self.abandon()
            if not error.is_sent:
                return make_refusal(Refusal.ABORTED, error.reason, self.member)
            # Without a write there is no outcome that could be unknown.
            refusal = Refusal.OUTCOME_UNKNOWN if self.has_written else Refusal.ABORTED
            return make_refusal(refusal, error.reason, self.member)
        await self.abandon()
        result = Result(response, self.member)
        if not self.has_written:
            return result
        return await confirm_commit(self.access, result, term, before)

    async def _await_evidence(self, context: StatementContext) -> bool:
        """Return whether a commit can be confirmed, if the store is out of reach."""
        if not self.access.evidence.has_lost_store():
            return True
        return await self.access.wait_for(
            self.access.is_current, context.plan.evidence_until_ms
        )

    async def abandon(self) -> None:
        """Roll back at the member and return the connection to the pool."""
        self.has_failed = True
        pooled, self.pooled = self.pooled, None
        if pooled is not None and pooled.is_in_transaction:
            await self._roll_back(pooled)
        await self.stack.aclose()

    async def _roll_back(self, pooled: PooledLink) -> None:
        if pooled.link.is_closed:
            return
        assert self.pool is not None
        if not self.access.may_send(self.pool.member, is_in_transaction=True):
            # The closed connection rolls back without another request.
            pooled.link.close()
            return
        try:
            await pooled.run(
                Rollback(), min_position=None, timeout_ms=ROLLBACK_TIMEOUT_MS
            )
        except LinkLost:
            pooled.link.close()

    async def _run_pinned(
        self, context: StatementContext, statement: Executable
    ) -> Result:
        assert self.pooled is not None and self.pool is not None
        plan = context.plan
        while True:
            plan.attempts += 1
            try:
                await prepare_link(self.pooled, context)
                response = await run_on_link(
                    self.access,
                    self.pool,
                    self.pooled,
                    statement,
                    context=context,
                    min_position=None,
                    timeout_ms=plan.remaining_ms(self.access.clock.now_ms()),
                )
            except LinkLost as error:
                # The member rolls back a transaction whose connection has ended.
                self.pooled.link.close()
                return make_refusal(Refusal.ABORTED, error.reason, self.member)
            is_still_open = response.state is TransactionState.OPEN
            is_repeatable = response.refusal in NOT_RUN and is_still_open
            if not is_repeatable or not plan.may_retry(self.access.clock.now_ms()):
                return Result(response, self.member, min_position=self.min_position)
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def _begin(
        self, context: StatementContext, session_position: Position | None
    ) -> Result | None:
        """Begin at a member; return a refusal if no member accepts."""
        plan = context.plan
        while True:
            plan.attempts += 1
            is_strict = context.route.read_class is ReadClass.STRICT
            needs_primary = is_strict or not self.is_read_only
            read_plan = await await_primary_plan(
                self.access,
                context,
                lambda: self._find_plan(context, session_position),
                needs_primary=needs_primary,
            )
            is_absent = read_plan is None or not read_plan.members
            if self.access.is_scarce and needs_primary and is_absent:
                return make_absence_refusal(self.access, context)
            if read_plan is None:
                return make_refusal(
                    Refusal.BUSY, "no recent evidence of the group's log"
                )
            refused: Result | None = make_refusal(
                Refusal.BUSY, "no member can start the transaction"
            )
            for member in read_plan.members:
                refused = await self._begin_at(member, context, read_plan.min_position)
                if refused is None:
                    return None
                if not plan.may_retry(self.access.clock.now_ms()):
                    return refused
            if refused is not None and refused.is_final:
                return refused
            if not read_plan.members or not plan.may_retry(self.access.clock.now_ms()):
                return refused
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    def _find_plan(
        self, context: StatementContext, session_position: Position | None
    ) -> ReadPlan | None:
        if not self.is_read_only:
            return self.access.plan_primary(context.route, session_position)
        return self.access.plan_read(
            context.route, session_position, context.organisation
        )

    async def _begin_at(
        self, member: str, context: StatementContext, min_position: Position | None
    ) -> Result | None:
        pool = self.access.pools.get(member)
        # Plans name an evacuated primary only for what no other member can run.
        is_primary = member == self.access.evidence.primary
        may_use = self.access.may_use(member, for_primary=is_primary)
        if pool is None or not pool.is_reachable or not may_use:
            return make_refusal(Refusal.BUSY, f"{member} is not reachable", member)
        stack = AsyncExitStack()
        try:
            pooled = await stack.enter_async_context(
                pool.lease(
                    context.organisation,
                    context.values,
                    context.plan.wait_until_ms,
                    context.make_work(WorkKind.BEGIN),
                )
            )
            context.plan.is_sent = True
            await prepare_link(pooled, context)
            response = await run_on_link(
                self.access,
                pool,
                pooled,
                Begin(self.is_read_only),
                context=context,
                min_position=min_position,
                timeout_ms=context.plan.remaining_ms(self.access.clock.now_ms()),
            )
        except RequestError as error:
            await stack.aclose()
            return make_queue_refusal(self.access, member, error)
        except LinkRefused as error:
            await stack.aclose()
            return make_refusal(Refusal.BUSY, error.reason, member)
        except LinkLost as error:
            # No statement of the client has been sent yet.
            await stack.aclose()
            return make_refusal(Refusal.BUSY, error.reason, member)
        except BaseException:
            await stack.aclose()
            raise
        if not is_transaction_open(response):
            await stack.aclose()
            return Result(response, member)
        self.member, self.pool, self.pooled, self.stack = member, pool, pooled, stack
        self.min_position = min_position
        return None
