"""Runs single statements on a group's members and resolves what became of them."""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from radishtrack.errors import RequestError
from radishtrack.pooler.catalog import Route
from radishtrack.pooler.group_access import GroupAccess, ReadPlan
from radishtrack.pooler.member_pool import MemberPool, PooledLink
from radishtrack.pooler.ports import LinkLost, LinkRefused
from radishtrack.pooler.retry import RETRY_PAUSE_MS, AttemptPlan
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
"""A read that takes longer than so many latency objectives is tried at another member:
its connection may have gone silent."""
MIN_READ_ATTEMPT_MS: Final = 300.0
"""Shortest time that a read gets at one member."""
CONFIRM_MS: Final = 300.0
"""Wait for evidence after a commit; two polls take a few milliseconds."""
LATE_ANSWER_MS: Final = 250.0
"""A statement that runs for so long is a reason to ask whether the member is alive."""

Executable = Run | RunPrepared


@attrs.frozen
class Request:
    """What a statement runs with.

    Parameters
    ----------
    organisation : str
        Organisation that members are told.
    route : Route
        Route of the session's database.
    values : dict
        Session values.
    prepare : Prepare or None
        For a prepared statement: what the connection must have prepared.
    plan : AttemptPlan
        Deadlines.
    """

    organisation: str
    route: Route
    values: dict[str, str]
    prepare: Prepare | None
    plan: AttemptPlan


@attrs.frozen
class Result:
    """What became of a statement.

    Parameters
    ----------
    answer : MemberResponse
        The member's answer, or the refusal that the client gets.
    member : str
        The member that answered; empty if none did.
    attempts : int
        Attempts at members; 0 if the statement was refused before.
    """

    answer: MemberResponse
    member: str = ""
    attempts: int = 0


def refuse(refusal: Refusal, detail: str, member: str = "") -> Result:
    """Return a result that is a refusal of this node."""
    return Result(MemberResponse(refusal=refusal, detail=detail), member)


async def prepare_link(pooled: PooledLink, request: Request) -> None:
    """Give a connection the session's values and prepared statement."""
    await pooled.apply_values(request.values)
    if request.prepare is not None:
        await pooled.ensure_prepared(request.prepare)


async def run_on_link(
    access: GroupAccess,
    pool: MemberPool,
    pooled: PooledLink,
    statement: Executable | Commit | Begin,
    *,
    min_position: Position | None,
    timeout_ms: float,
) -> MemberResponse:
    """Run a statement on a connection and take in what its answer shows."""
    sent_ms = access.clock.now_ms()
    loop = asyncio.get_running_loop()
    late = loop.call_later(LATE_ANSWER_MS / 1000, access.request_poll)
    try:
        answer = await pooled.run(
            statement, min_position=min_position, timeout_ms=timeout_ms
        )
    except LinkLost:
        # Connections can go silent for good, and those opened before share the fate.
        pool.drop_idle()
        access.request_poll()
        raise
    finally:
        late.cancel()
    pool.note_answer(sent_ms, access.clock.now_ms())
    if answer.position is not None:
        access.evidence.observe_position(pool.member.name, answer.position, sent_ms)
    if answer.refusal is Refusal.READ_ONLY:
        access.request_poll()
    if answer.refusal is Refusal.NO_STATEMENT:
        pooled.prepared.clear()
    return answer


async def run_read(
    access: GroupAccess,
    request: Request,
    statement: Executable,
    session_position: Position | None,
) -> Result:
    """Run a read outside a transaction, at another member if one refuses.

    A read changes nothing, so it may be repeated whatever became of it.
    """
    plan = request.plan
    tried: set[str] = set()
    last = refuse(Refusal.BUSY, "no member can serve the read")

    def find_plan() -> ReadPlan | None:
        return access.plan_read(request.route, session_position, request.organisation)

    while True:
        read_plan = await access.await_plan(find_plan, plan.evidence_until_ms)
        if read_plan is None:
            return refuse(Refusal.BUSY, "no recent evidence of the group's log")
        untried = [name for name in read_plan.members if name not in tried]
        if not untried:
            if not read_plan.members or not plan.may_retry(access.clock.now_ms()):
                return last
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)
            tried.clear()
            continue
        plan.attempts += 1
        tried.add(untried[0])
        last = await _read_once(
            access, request, statement, untried[0], read_plan.min_position
        )
        refusal = last.answer.refusal
        if refusal is None or refusal in (Refusal.TIMED_OUT, Refusal.MALFORMED):
            return last
        if refusal is Refusal.EXECUTION_FAILED and plan.attempts > 1:
            return last
        if not plan.may_retry(access.clock.now_ms()):
            return last


async def run_write(
    access: GroupAccess, request: Request, statement: Executable
) -> Result:
    """Run a single write on the primary; repeats it only if it certainly did not run.

    Returns
    -------
    Result
        `OUTCOME_UNKNOWN` if the write was sent and its answer was lost.
    """
    plan = request.plan
    while True:
        plan.attempts += 1
        result = await _write_once(access, request, statement)
        if result.answer.refusal not in NOT_RUN:
            return result
        if not plan.may_retry(access.clock.now_ms()) or not _has_primary(access):
            return result
        await asyncio.sleep(RETRY_PAUSE_MS / 1000)


async def _read_once(
    access: GroupAccess,
    request: Request,
    statement: Executable,
    member: str,
    min_position: Position | None,
) -> Result:
    pool = access.pools[member]
    plan = request.plan
    limit_ms = max(
        MIN_READ_ATTEMPT_MS, READ_ATTEMPT_OBJECTIVES * request.route.objective_ms
    )
    try:
        async with pool.lease(
            request.organisation, request.values, plan.wait_until_ms
        ) as pooled:
            await prepare_link(pooled, request)
            remaining_ms = plan.remaining_ms(access.clock.now_ms())
            answer = await run_on_link(
                access,
                pool,
                pooled,
                statement,
                min_position=min_position,
                timeout_ms=min(limit_ms, remaining_ms),
            )
            return Result(answer, member)
    except RequestError as error:
        return refuse(Refusal.BUSY, error.failure.message, member)
    except LinkRefused as error:
        access.request_poll()
        return refuse(_refusal_of(error), error.reason, member)
    except LinkLost as error:
        return refuse(Refusal.BUSY, f"connection to {member}: {error.reason}", member)


async def _write_once(
    access: GroupAccess, request: Request, statement: Executable
) -> Result:
    plan = request.plan
    if not _has_primary(access):
        await access.wait_for(lambda: _has_primary(access), plan.evidence_until_ms)
    pool = access.usable_primary()
    if pool is None or not access.may_send_commit():
        return refuse(Refusal.BUSY, "the group has no reachable primary")
    member, term = pool.member.name, access.evidence.term
    is_sent = False
    try:
        async with pool.lease(
            request.organisation, request.values, plan.wait_until_ms
        ) as pooled:
            await prepare_link(pooled, request)
            is_sent = True
            answer = await run_on_link(
                access,
                pool,
                pooled,
                statement,
                min_position=None,
                timeout_ms=plan.remaining_ms(access.clock.now_ms()),
            )
        return await confirm_commit(access, Result(answer, member), term)
    except RequestError as error:
        return refuse(Refusal.BUSY, error.failure.message, member)
    except LinkRefused as error:
        access.request_poll()
        return refuse(_refusal_of(error), error.reason, member)
    except LinkLost as error:
        if is_sent and error.is_sent:
            return refuse(Refusal.OUTCOME_UNKNOWN, error.reason, member)
        return refuse(Refusal.BUSY, f"connection to {member}: {error.reason}", member)


async def confirm_commit(access: GroupAccess, result: Result, term: int) -> Result:
    """Return the result of a commit, unknown if a promotion may have discarded it.

    Parameters
    ----------
    access : GroupAccess
        The group.
    result : Result
        What the member has answered.
    term : int
        The term that the member led when the commit was sent.
    """
    if result.answer.refusal is not None:
        return result
    until_ms = access.clock.now_ms() + CONFIRM_MS
    if await access.confirm_term(result.member, term, until_ms):
        return result
    detail = "the primary may have been replaced meanwhile"
    return refuse(Refusal.OUTCOME_UNKNOWN, detail, result.member)


def _has_primary(access: GroupAccess) -> bool:
    return access.usable_primary() is not None and access.may_send_commit()


def _refusal_of(error: LinkRefused) -> Refusal:
    if error.is_wrong_member:
        return Refusal.WRONG_MEMBER
    if error.is_full:
        return Refusal.CONNECTION_LIMIT
    return Refusal.BUSY


def is_open(answer: MemberResponse) -> bool:
    """Tell whether an answer leaves its transaction usable."""
    return answer.refusal is None and answer.state is TransactionState.OPEN
