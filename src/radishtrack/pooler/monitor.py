"""Polls the members of a group and detects unreachable ones."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.errors import RequestError
from radishtrack.events import Event, log_event
from radishtrack.group.status import Role
from radishtrack.pooler.catalog import MemberReport
from radishtrack.pooler.evidence import EVIDENCE_VALID_MS
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.member_pool import MemberPool
from radishtrack.pooler.ports import LinkLost, LinkRefused
from radishtrack.pooler.statements import (
    GetStatus,
    MemberStatement,
    Refusal,
    StepDown,
    Unfence,
)

POLL_INTERVAL_MS: Final = 0.45 * EVIDENCE_VALID_MS
"""Interval of polls, so that two fit into the time for which evidence is valid."""
RELAYED_INTERVAL_MS: Final = 0.75 * EVIDENCE_VALID_MS
"""Age of a report at which a node polls itself although it gets reports from another
node. Relayed reports are up to 1.4 s old, and the node's own poll must complete before
the evidence expires."""
MIN_POLL_SPACING_MS: Final = 60.0
"""Smallest interval between two polls that waiting statements request."""
UNREACHABLE_POLL_INTERVAL_MS: Final = 250.0
"""Pause between polls of a member that does not respond."""
STATUS_TIMEOUT_MS: Final = 500.0
"""Time limit of a poll, which waits in the member's queue; at a slow member, that takes
this long."""
UNREACHABLE_AFTER_MS: Final = 900.0
"""Time without a response after which a member that also fails two polls in a row
counts as unreachable."""
FAILURES_TO_SUSPECT: Final = 2
"""Failed polls in a row before a member counts as unreachable. The first failure may
affect one connection only; the second poll opens a new one."""


@attrs.define(eq=False)
class MemberMonitor:
    """Polls one member until it is removed from its group.

    Parameters
    ----------
    access : GroupAccess
        The group.
    name : str
        The member.
    organisation : callable
        Returns the organisation for connections that the monitor has to open.
    polls_for_fleet : callable
        Returns whether this node polls for all nodes.
    clock : Clock
        Time in milliseconds.
    """

    access: GroupAccess
    name: str
    organisation: Callable[[], str]
    polls_for_fleet: Callable[[], bool]
    clock: Clock

    async def run(self) -> None:
        """Poll until the member is removed from the group."""
        while (pool := self.access.pools.get(self.name)) is not None:
            requested = self.access.poll_requested
            await self.poll(pool)
            await asyncio.sleep(MIN_POLL_SPACING_MS / 1000)
            await self._await_next(pool, requested)

    async def _await_next(self, pool: MemberPool, requested: asyncio.Event) -> None:
        """Wait until the next poll is due or an earlier one is requested."""
        while (pause_ms := self._pause_ms(pool)) > 0 and not requested.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_ms / 1000):
                    await requested.wait()

    def _pause_ms(self, pool: MemberPool) -> float:
        if pool.failures:
            # The second failure decides whether the member counts as unreachable.
            return 0.0 if pool.is_reachable else self._retry_pause_ms(pool)
        observation = self.access.evidence.observations.get(self.name)
        if observation is None:
            return self._retry_pause_ms(pool)
        interval_ms = (
            POLL_INTERVAL_MS if self.polls_for_fleet() else RELAYED_INTERVAL_MS
        )
        pause_ms = observation.requested_ms + interval_ms - self.clock.now_ms()
        # A member that responds without a report is too busy to be polled sooner.
        return max(pause_ms, self._retry_pause_ms(pool))

    def _retry_pause_ms(self, pool: MemberPool) -> float:
        return pool.polled_ms + UNREACHABLE_POLL_INTERVAL_MS - self.clock.now_ms()

    async def poll(self, pool: MemberPool) -> None:
        """Request one report and correct a member that missed a promotion."""
        pool.polled_ms = self.clock.now_ms()
        report = await self._request_report(pool, GetStatus())
        if report is None:
            return
        correction = find_correction(self.access, report)
        if correction is not None:
            log_event(
                Event.MEMBER_FOLLOWS,
                group=self.access.name,
                member=self.name,
                order=type(correction).__name__,
                term=self.access.evidence.term,
                member_term=report.term,
                fenced_term=report.fenced_term,
            )
            await self._correct(pool, correction)

    async def _correct(self, pool: MemberPool, correction: MemberStatement) -> None:
        """Run a correction until a promotion starts; then it is given up."""
        task = asyncio.create_task(self._request_report(pool, correction))
        self.access.corrections.add(task)
        try:
            await asyncio.wait((task,))
            if not task.cancelled():
                task.result()
        finally:
            task.cancel()
            self.access.corrections.discard(task)

    async def _request_report(
        self, pool: MemberPool, statement: MemberStatement
    ) -> MemberReport | None:
        return await request_report(
            self.access, pool, statement, self.organisation(), self.clock
        )


async def request_report(
    access: GroupAccess,
    pool: MemberPool,
    statement: MemberStatement,
    organisation: str,
    clock: Clock,
) -> MemberReport | None:
    """Run a statement whose response contains a report, and record the report.

    Parameters
    ----------
    access : GroupAccess
        The group.
    pool : MemberPool
        The member's connections.
    statement : MemberStatement
        `GetStatus`, `Fence`, `Unfence` or `StepDown`.
    organisation : str
        Organisation for a connection that has to be opened.
    clock : Clock
        Time in milliseconds.

    Returns
    -------
    MemberReport or None
        None if no report was received.
    """
    requested_ms = clock.now_ms()
    try:
        async with pool.lease_any(
            organisation, requested_ms + STATUS_TIMEOUT_MS
        ) as pooled:
            sent_ms = clock.now_ms()
            response = await pooled.run(
                statement, min_position=None, timeout_ms=STATUS_TIMEOUT_MS
            )
    except RequestError:
        # All connections are in use, so the member's state remains unknown.
        return None
    except LinkRefused as error:
        if error.is_full and access.is_scarce:
            # The member runs; a repeated poll would try to open another connection.
            return None
        if pool.refused_ms is None and (error.has_no_listener or error.is_wrong_member):
            pool.refused_ms = clock.now_ms()
        _record_failure(
            access, pool, error.reason, clock.now_ms(), error.has_no_listener
        )
        return None
    except LinkLost as error:
        pool.drop_idle()
        _record_failure(access, pool, error.reason, clock.now_ms(), False)
        return None
    _record_response(access, pool, clock.now_ms())
    if response.report is None:
        if response.refusal not in (None, Refusal.BUSY):
            log_event(
                Event.MEMBER_REPORT_INVALID,
                group=access.name,
                member=pool.member.name,
                refusal=response.refusal,
                detail=response.detail,
            )
        return None
    report = attrs.evolve(response.report, member=pool.member.name)
    changed = access.evidence.observe_report(report, sent_ms, clock.now_ms())
    if response.position is not None:
        access.evidence.observe_position(pool.member.name, response.position, sent_ms)
    if changed:
        log_event(
            Event.PRIMARY_KNOWN,
            group=access.name,
            primary=access.evidence.primary or "none",
            term=access.evidence.term,
            reported_by=pool.member.name,
        )
    access.notify()
    return report


def find_correction(
    access: GroupAccess, report: MemberReport
) -> StepDown | Unfence | None:
    """Return the statement that corrects a member that missed a completed promotion."""
    evidence = access.evidence
    if not evidence.primary or report.member == evidence.primary:
        return None
    if report.term < evidence.term and report.role is Role.PRIMARY:
        return StepDown(evidence.term)
    # A fence of a later term belongs to a promotion that is still running.
    if report.is_fenced and report.fenced_term <= evidence.term:
        return Unfence()
    return None


def _record_response(access: GroupAccess, pool: MemberPool, now_ms: float) -> None:
    pool.last_response_ms = now_ms
    if pool.refused_ms is not None:
        access.evidence.record_return(pool.member.name, pool.refused_ms)
        pool.refused_ms = None
    pool.failures = 0
    if not pool.is_reachable:
        pool.is_reachable = True
        pool.capacity.forget()
        log_event(Event.MEMBER_REACHABLE, group=access.name, member=pool.member.name)


def _record_failure(
    access: GroupAccess,
    pool: MemberPool,
    reason: str,
    now_ms: float,
    has_no_listener: bool,
) -> None:
    silent_ms = now_ms - pool.last_response_ms
    pool.failures += 1
    is_unresponsive = (
        silent_ms >= UNREACHABLE_AFTER_MS and pool.failures >= FAILURES_TO_SUSPECT
    )
    if not pool.is_reachable or not (has_no_listener or is_unresponsive):
        return
    pool.is_reachable = False
    log_event(
        Event.MEMBER_UNREACHABLE,
        group=access.name,
        member=pool.member.name,
        reason=reason,
        silent_ms=round(silent_ms),
        is_primary=pool.member.name == access.evidence.primary,
    )
    # Ends the statements that still wait there, so that reads run at other members.
    pool.drop_all()
    access.notify()
