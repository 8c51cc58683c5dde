"""Runs single statements on a group's members and determines their outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from radishtrack.errors import RequestError
from radishtrack.pooler.acknowledgements import locate_commit
from radishtrack.pooler.catalog import ReadClass, Route
from radishtrack.pooler.evacuation.succession import is_primary_stranded
from radishtrack.pooler.group_access import GroupAccess, ReadPlan
from radishtrack.pooler.member_pool import MemberPool, PooledLink
from radishtrack.pooler.placement.attempt_limit import find_attempt_limit
from radishtrack.pooler.placement.recording import start_recording
from radishtrack.pooler.ports import LinkLost, LinkRefused
from radishtrack.pooler.retry import RETRY_PAUSE_MS, AttemptPlan
from radishtrack.pooler.scheduling.retry_hint import add_hint, retry_after_ms
from radishtrack.pooler.scheduling.work import Work, WorkKind, make_work
from radishtrack.pooler.statements import (
    NOT_RUN,
    Begin,
    Commit,
    MemberResponse,
    Prepare,
    Refusal,
    Run,
    RunPrepared,
    TransactionState,
)
from radishtrack.session.position import Position

READ_ATTEMPT_OBJECTIVES: Final = 2.5
"""Timeout of a read at one member, in latency objectives. The connection may be
unresponsive, so the read is retried at another member. In scarce groups, it is the
largest timeout; see `find_attempt_limit`."""
MIN_READ_ATTEMPT_MS: Final = 300.0
"""Lower bound of that timeout."""
CONFIRM_TIMEOUT_MS: Final = 300.0
"""Longest wait for evidence after a commit; two polls take a few milliseconds."""
LATE_RESPONSE_MS: Final = 250.0
"""A statement without a response for this long triggers a poll of the member."""

Executable = Run | RunPrepared


@attrs.frozen
class StatementContext:
    """What the execution of one statement needs from its session.

    Parameters
    ----------
    organisation : str
        Organisation name that is sent to members.
    route : Route
        Route of the session's database.
    values : dict
        Session values.
    prepare : Prepare or None
        For a prepared statement: its definition, which the connection must have.
    plan : AttemptPlan
        Deadlines and number of attempts.
    """

    organisation: str
    route: Route
    values: dict[str, str]
    prepare: Prepare | None
    plan: AttemptPlan

    def make_work(self, kind: WorkKind) -> Work:
        """Return what the order of waiting work depends on."""
        return make_work(self.route, kind, self.plan.started_ms)


@attrs.frozen
class Result:
    """Outcome of a statement.

    Parameters
    ----------
    response : MemberResponse
        The member's response, or a refusal of this node.
    member : str
        Member of the response or of the failed attempt; empty if none was tried.
    attempts : int
        Attempts at members; 0 if the statement was refused before the first.
    is_final : bool
        Whether this node refused it because a retry at the member would be refused too.
    min_position : Position or None
        Position that the member's log had to contain.
    """

    response: MemberResponse
    member: str = ""
    attempts: int = 0
    is_final: bool = False
    min_position: Position | None = None


def make_refusal(refusal: Refusal, detail: str, member: str = "") -> Result:
    """Return the result of a statement that this node refuses."""
    return Result(MemberResponse(refusal=refusal, detail=detail), member)


def make_queue_refusal(access: GroupAccess, member: str, error: RequestError) -> Result:
    """Return the result of a statement that got no connection to a member."""
    result = make_refusal(Refusal.BUSY, error.failure.message, member)
    # The queue of a scarce group has estimated that a retry would be refused as well.
    return attrs.evolve(result, is_final=access.is_scarce)


async def await_primary(
    access: GroupAccess, context: StatementContext, is_ready: Callable[[], bool]
) -> bool:
    """Wait for the primary if it is expected in time; return whether it is there."""
    plan = context.plan
    if is_primary_stranded(access):
        return is_ready()
    if not access.is_scarce:
        return await access.wait_for(is_ready, plan.evidence_until_ms)

    def observe() -> bool:
        is_present = is_ready()
        access.primary_wait.observe(is_present, access.clock.now_ms())
        return is_present

    if observe():
        return True
    pool = access.primary_pool
    service_ms = pool.service_ms if pool is not None else 0.0
    until_ms = access.primary_wait.wait_until_ms(
        access.clock.now_ms(), plan.evidence_until_ms, plan.wait_until_ms - service_ms
    )
    return await access.wait_for(observe, until_ms)


async def await_primary_plan(
    access: GroupAccess,
    context: StatementContext,
    find_plan: Callable[[], ReadPlan | None],
    *,
    needs_primary: bool,
) -> ReadPlan | None:
    """Return a plan as soon as there is one; None if no wait for it is useful."""
    if not (access.is_scarce and needs_primary):
        return await access.await_plan(find_plan, context.plan.evidence_until_ms)

    def is_ready() -> bool:
        plan = find_plan()
        return plan is not None and bool(plan.members)

    await await_primary(access, context, is_ready)
    return find_plan()


def make_absence_refusal(access: GroupAccess, context: StatementContext) -> Result:
    """Return the refusal of a statement that only an absent primary could run."""
    detail = "the group has no reachable primary"
    if access.is_scarce:
        now_ms = access.clock.now_ms()
        excess_ms = access.primary_wait.expected_end_ms(now_ms) - now_ms
        # The arrival time spreads the retries.
        number = int(context.plan.started_ms)
        hint_ms = retry_after_ms(excess_ms, context.route.priority, number)
        detail = add_hint(detail, hint_ms)
    return attrs.evolve(make_refusal(Refusal.BUSY, detail), is_final=access.is_scarce)


async def prepare_link(pooled: PooledLink, context: StatementContext) -> None:
    """Apply the session's values and prepare the statement on a connection."""
    await pooled.apply_values(context.values)
    if context.prepare is not None:
        await pooled.ensure_prepared(context.prepare)


async def run_on_link(
    access: GroupAccess,
    pool: MemberPool,
    pooled: PooledLink,
    statement: Executable | Commit | Begin,
    *,
    context: StatementContext,
    min_position: Position | None,
    timeout_ms: float,
) -> MemberResponse:
    """Run a statement on a connection and record the evidence in its response.

    Raises
    ------
    LinkLost
        If the connection ended, or the member's availability zone is evacuated. Nothing
        was sent then, and the closed connection rolls back its transaction.
    """
    if not access.may_send(pool.member, is_in_transaction=pooled.is_in_transaction):
        pooled.link.close()
        raise LinkLost("the availability zone is evacuated", is_sent=False)
    sent_ms = access.clock.now_ms()
    record = start_recording(
        access,
        pool,
        statement,
        context.prepare,
        context.route.read_class,
        timeout_ms,
    )
    loop = asyncio.get_running_loop()
    late_timer = loop.call_later(LATE_RESPONSE_MS / 1000, access.request_poll)
    try:
        response = await pooled.run(
            statement, min_position=min_position, timeout_ms=timeout_ms
        )
    except LinkLost:
        record(None)
        # The connection may be unresponsive permanently, and the idle ones with it.
        pool.drop_idle()
        access.request_poll()
        raise
    finally:
        late_timer.cancel()
    pool.record_response(sent_ms, access.clock.now_ms())
    record(response)
    if response.position is not None:
        access.evidence.observe_position(pool.member.name, response.position, sent_ms)
    if response.refusal is Refusal.READ_ONLY:
        access.request_poll()
    if response.refusal is Refusal.NO_STATEMENT:
        pooled.prepared.clear()
    return response


async def run_read(
    access: GroupAccess,
    context: StatementContext,
    statement: Executable,
    session_position: Position | None,
) -> Result:
    """Run a read outside a transaction, retrying at other members.

    A read has no effects, so it may be repeated even if its outcome is unknown.
    """
    plan = context.plan
    is_strict = context.route.read_class is ReadClass.STRICT
    attempted: set[str] = set()
    last_result = make_refusal(Refusal.BUSY, "no member can serve the read")

    def find_plan() -> ReadPlan | None:
        return access.plan_read(context.route, session_position, context.organisation)

    while True:
        read_plan = await await_primary_plan(
            access, context, find_plan, needs_primary=is_strict
        )
        if access.is_scarce and is_strict and not (read_plan and read_plan.members):
            return make_absence_refusal(access, context)
        if read_plan is None:
            return make_refusal(Refusal.BUSY, "no recent evidence of the group's log")
        untried = [name for name in read_plan.members if name not in attempted]
        if not untried:
            may_retry = plan.may_retry(access.clock.now_ms())
            if not read_plan.members or last_result.is_final or not may_retry:
                return last_result
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)
            attempted.clear()
            continue
        plan.attempts += 1
        attempted.add(untried[0])
        last_result = await _read_once(
            access, context, statement, untried[0], read_plan.min_position
        )
        refusal = last_result.response.refusal
        if refusal is None or refusal in (Refusal.TIMED_OUT, Refusal.MALFORMED):
            return last_result
        if refusal is Refusal.EXECUTION_FAILED and plan.attempts > 1:
            return last_result
        if not plan.may_retry(access.clock.now_ms()):
            return last_result


async def run_write(
    access: GroupAccess, context: StatementContext, statement: Executable
) -> Result:
    """Run a single write on the primary; retries only if it certainly did not run.

    Returns
    -------
    Result
        `OUTCOME_UNKNOWN` if the write was sent and its response was lost.
    """
    plan = context.plan
    while True:
        plan.attempts += 1
        result = await _write_once(access, context, statement)
        if result.response.refusal not in NOT_RUN:
            return result
        if result.is_final:
            return result
        if not plan.may_retry(access.clock.now_ms()) or not _has_primary(access):
            return result
        await asyncio.sleep(RETRY_PAUSE_MS / 1000)


async def _read_once(
    access: GroupAccess,
    context: StatementContext,
    statement: Executable,
    member: str,
    min_position: Position | None,
) -> Result:
    pool = access.pools[member]
    plan = context.plan
    try:
        async with pool.lease(
            context.organisation,
            context.values,
            plan.wait_until_ms,
            context.make_work(WorkKind.READ),
        ) as pooled:
            plan.is_sent = True
            await prepare_link(pooled, context)
            remaining_ms = plan.remaining_ms(access.clock.now_ms())
            response = await run_on_link(
                access,
                pool,
                pooled,
                statement,
                context=context,
                min_position=min_position,
                timeout_ms=min(
                    _find_read_timeout(access, pool, context.route), remaining_ms
                ),
            )
            return Result(response, member, min_position=min_position)
    except RequestError as error:
        return make_queue_refusal(access, member, error)
    except LinkRefused as error:
        _poll_after_refusal(access, error)
        return make_refusal(_classify_refused_link(error), error.reason, member)
    except LinkLost as error:
        return make_refusal(
            Refusal.BUSY, f"connection to {member}: {error.reason}", member
        )


def _find_read_timeout(access: GroupAccess, pool: MemberPool, route: Route) -> float:
    largest_ms = max(MIN_READ_ATTEMPT_MS, READ_ATTEMPT_OBJECTIVES * route.objective_ms)
    if not access.is_scarce:
        return largest_ms
    access.placement.observe(pool, access.evidence)
    return find_attempt_limit(
        pool.capacity,
        route.read_class,
        in_flight=pool.in_flight,
        largest_ms=largest_ms,
        now_ms=access.clock.now_ms(),
    )


async def _write_once(
    access: GroupAccess, context: StatementContext, statement: Executable
) -> Result:
    plan = context.plan
    if access.is_scarce or not _has_primary(access):
        await await_primary(access, context, lambda: _has_primary(access))
    pool = access.usable_primary()
    if pool is None or not access.may_send_commit():
        return make_absence_refusal(access, context)
    member, term = pool.member.name, access.evidence.term
    is_sent = False
    try:
        async with pool.lease(
            context.organisation,
            context.values,
            plan.wait_until_ms,
            context.make_work(WorkKind.WRITE),
        ) as pooled:
            if not access.may_send_commit():
                # A promotion has begun during the wait for the connection.
                return make_absence_refusal(access, context)
            plan.is_sent = True
            await prepare_link(pooled, context)
            is_sent = True
            before = access.evidence.applied.get(member)
            response = await run_on_link(
                access,
                pool,
                pooled,
                statement,
                context=context,
                min_position=None,
                timeout_ms=plan.remaining_ms(access.clock.now_ms()),
            )
        result = Result(response, member)
        return await confirm_commit(access, result, term, before)
    except RequestError as error:
        return make_queue_refusal(access, member, error)
    except LinkRefused as error:
        _poll_after_refusal(access, error)
        return make_refusal(_classify_refused_link(error), error.reason, member)
    except LinkLost as error:
        if is_sent and error.is_sent:
            return make_refusal(Refusal.OUTCOME_UNKNOWN, error.reason, member)
        return make_refusal(
            Refusal.BUSY, f"connection to {member}: {error.reason}", member
        )


async def confirm_commit(
    access: GroupAccess, result: Result, term: int, before: Position | None
) -> Result:
    """Return the result of a commit; unknown if a promotion may have discarded it.

    Parameters
    ----------
    access : GroupAccess
        The group.
    result : Result
        Result of the commit at the member.
    term : int
        Term in which the member was the primary when the commit was sent.
    before : Position or None
        A position of the member at that time.
    """
    if result.response.refusal is not None:
        return result
    until_ms = access.clock.now_ms() + CONFIRM_TIMEOUT_MS
    if await access.confirm_term(result.member, term, until_ms):
        commit = locate_commit(term, before, result.response.position)
        access.evidence.record_acknowledged(commit)
        return result
    detail = "the primary may have been replaced meanwhile"
    return make_refusal(Refusal.OUTCOME_UNKNOWN, detail, result.member)


def _has_primary(access: GroupAccess) -> bool:
    return access.usable_primary() is not None and access.may_send_commit()


def _poll_after_refusal(access: GroupAccess, error: LinkRefused) -> None:
    """Request polls after a refused connection, which may show a failure.

    A member without a free connection is not failing, and in a scarce group a poll of
    it may need a connection itself.
    """
    if not (access.is_scarce and error.is_full):
        access.request_poll()


def _classify_refused_link(error: LinkRefused) -> Refusal:
    if error.is_wrong_member:
        return Refusal.WRONG_MEMBER
    if error.is_full:
        return Refusal.CONNECTION_LIMIT
    return Refusal.BUSY


def is_transaction_open(response: MemberResponse) -> bool:
    """Return whether the transaction can continue after a response."""
    return response.refusal is None and response.state is TransactionState.OPEN
