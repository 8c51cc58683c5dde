"""Records what the statements of a scarce group show about its members."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from radishtrack.events import Event, log_event
from radishtrack.pooler.catalog import ReadClass
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.member_pool import MemberPool
from radishtrack.pooler.placement.capacity import FAILURES
from radishtrack.pooler.placement.service_times import StatementKind, find_kind
from radishtrack.pooler.statements import (
    Begin,
    Commit,
    MemberResponse,
    Prepare,
    Run,
    RunPrepared,
)

ABANDONED_PART: Final = 0.98
"""Part of the time limit after which a lost connection counts as without a response."""

Record = Callable[[MemberResponse | None], None]
"""Records the response to a statement, or None if its connection was lost."""


def start_recording(
    access: GroupAccess,
    pool: MemberPool,
    statement: Run | RunPrepared | Commit | Begin,
    prepare: Prepare | None,
    read_class: ReadClass,
    timeout_ms: float,
) -> Record:
    """Return a function that records the result of a statement that is sent now."""
    if not access.is_scarce:
        return _ignore
    sent_ms = access.clock.now_ms()
    kind = find_kind(statement, prepare)
    access.placement.observe(pool, access.evidence)
    if read_class is ReadClass.STRICT or kind in (
        StatementKind.WRITE,
        StatementKind.COMMIT,
    ):
        pool.capacity.record_strict(sent_ms)
    statement_class = (kind, read_class)

    def record(response: MemberResponse | None) -> None:
        now_ms = access.clock.now_ms()
        elapsed_ms = now_ms - sent_ms
        capacity = pool.capacity
        if response is None:
            is_silent = elapsed_ms >= ABANDONED_PART * timeout_ms
            capacity.record_failure(
                statement_class,
                now_ms,
                in_flight=pool.in_flight,
                silent_ms=elapsed_ms if is_silent else None,
            )
        elif response.refusal in FAILURES:
            capacity.record_failure(statement_class, now_ms)
        elif response.refusal is None:
            capacity.record_response(
                statement_class, elapsed_ms, pool.in_flight, now_ms
            )
        if capacity.take_change(now_ms):
            log_event(
                Event.MEMBER_CAPACITY_CHANGED,
                group=access.name,
                member=pool.member.name,
                slowness=round(capacity.slowness(now_ms), 2),
                limit=round(capacity.limit(now_ms), 1),
                slots=pool.member.slots,
                load=round(capacity.load(pool.in_flight, now_ms), 1),
                failure_rate=round(capacity.failure_rate(now_ms), 2),
            )

    return record


def _ignore(_response: MemberResponse | None) -> None:
    return
