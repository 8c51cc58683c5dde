"""Polls the members of a group and decides whether they can be reached."""

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
from radishtrack.pooler.evidence import BELIEF_MS
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

POLL_INTERVAL_MS: Final = 0.45 * BELIEF_MS
"""Two polls fit into the time for which a report is evidence."""
RELAYED_INTERVAL_MS: Final = 0.75 * BELIEF_MS
"""Age of a report at which a node that gets reports from another one asks itself:
reports come with up to 1.4 s, and evidence must not end before the own answer."""
MIN_POLL_SPACING_MS: Final = 60.0
"""Statements that wait for a report cause at most one poll in this time."""
UNREACHABLE_POLL_INTERVAL_MS: Final = 250.0
"""Pause between attempts to reach a member that does not answer."""
STATUS_TIMEOUT_MS: Final = 500.0
"""A report waits behind the member's queue, which a slow member needs this long for."""
SILENCE_MS: Final = 900.0
"""A member that has answered nothing for so long, and fails two polls in a row, is
unreachable."""
FAILURES_TO_SUSPECT: Final = 2
"""The first failure may be that of one connection; the second poll opens a new one."""


@attrs.define(eq=False)
class MemberMonitor:
    """Polls one member; `run` never returns.

    Parameters
    ----------
    access : GroupAccess
        The group.
    name : str
        The member.
    organisation : callable
        Returns the organisation for connections that the monitor has to open.
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
            wanted = self.access.poll_wanted
            await self.poll(pool)
            await asyncio.sleep(MIN_POLL_SPACING_MS / 1000)
            await self._await_next(pool, wanted)

    async def _await_next(self, pool: MemberPool, wanted: asyncio.Event) -> None:
        """Wait until the member's report is too old, or until it is wanted sooner."""
        while (pause_ms := self._pause_ms(pool)) > 0 and not wanted.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_ms / 1000):
                    await wanted.wait()

    def _pause_ms(self, pool: MemberPool) -> float:
        if pool.failures:
            # The second failure decides whether the member counts as unreachable.
            return 0.0 if pool.is_reachable else self._since_poll_ms(pool)
        observation = self.access.evidence.observations.get(self.name)
        if observation is None:
            return self._since_poll_ms(pool)
        interval_ms = (
            POLL_INTERVAL_MS if self.polls_for_fleet() else RELAYED_INTERVAL_MS
        )
        pause_ms = observation.asked_ms + interval_ms - self.clock.now_ms()
        # A member that answers without a report is too busy for a faster pace.
        return max(pause_ms, self._since_poll_ms(pool))

    def _since_poll_ms(self, pool: MemberPool) -> float:
        return pool.polled_ms + UNREACHABLE_POLL_INTERVAL_MS - self.clock.now_ms()

    async def poll(self, pool: MemberPool) -> None:
        """Ask for one report and act on what it shows."""
        pool.polled_ms = self.clock.now_ms()
        report = await self._ask(pool, GetStatus())
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
            await self._ask(pool, correction)

    async def _ask(
        self, pool: MemberPool, statement: MemberStatement
    ) -> MemberReport | None:
        return await ask_member(
            self.access, pool, statement, self.organisation(), self.clock
        )


async def ask_member(
    access: GroupAccess,
    pool: MemberPool,
    statement: MemberStatement,
    organisation: str,
    clock: Clock,
) -> MemberReport | None:
    """Run a statement that is answered by a report, and take the report in.

    Parameters
    ----------
    access : GroupAccess
        The group.
    pool : MemberPool
        The member's connections.
    statement : MemberStatement
        `GetStatus`, `Fence`, `Unfence` or `StepDown`.
    organisation : str
        For a connection that has to be opened.
    clock : Clock
        Time in milliseconds.

    Returns
    -------
    MemberReport or None
        None if the member could not be asked.
    """
    asked_ms = clock.now_ms()
    try:
        async with pool.lease_any(organisation, asked_ms + STATUS_TIMEOUT_MS) as pooled:
            sent_ms = clock.now_ms()
            answer = await pooled.run(
                statement, min_position=None, timeout_ms=STATUS_TIMEOUT_MS
            )
    except RequestError:
        # All connections are in use, which says nothing about the member.
        return None
    except LinkRefused as error:
        _note_failure(access, pool, error.reason, clock.now_ms(), error.is_dead)
        return None
    except LinkLost as error:
        pool.drop_idle()
        _note_failure(access, pool, error.reason, clock.now_ms(), False)
        return None
    _note_heard(access, pool, clock.now_ms())
    if answer.report is None:
        if answer.refusal not in (None, Refusal.BUSY):
            log_event(
                Event.MEMBER_REPORT_INVALID,
                group=access.name,
                member=pool.member.name,
                refusal=answer.refusal,
                detail=answer.detail,
            )
        return None
    report = attrs.evolve(answer.report, member=pool.member.name)
    changed = access.evidence.observe_report(report, sent_ms, clock.now_ms())
    if answer.position is not None:
        access.evidence.observe_position(pool.member.name, answer.position, sent_ms)
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
    """Return the order for a member that has missed a completed promotion."""
    evidence = access.evidence
    if not evidence.primary or report.member == evidence.primary:
        return None
    if report.term < evidence.term and report.role is Role.PRIMARY:
        return StepDown(evidence.term)
    # A fence of a later term belongs to a promotion that is still under way.
    if report.is_fenced and report.fenced_term <= evidence.term:
        return Unfence()
    return None


def _note_heard(access: GroupAccess, pool: MemberPool, now_ms: float) -> None:
    pool.last_response_ms = now_ms
    pool.failures = 0
    if not pool.is_reachable:
        pool.is_reachable = True
        log_event(Event.MEMBER_REACHABLE, group=access.name, member=pool.member.name)


def _note_failure(
    access: GroupAccess, pool: MemberPool, reason: str, now_ms: float, is_dead: bool
) -> None:
    silent_ms = now_ms - pool.last_response_ms
    pool.failures += 1
    is_silent = silent_ms >= SILENCE_MS and pool.failures >= FAILURES_TO_SUSPECT
    if not pool.is_reachable or not (is_dead or is_silent):
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
    # Ends the statements that still wait there, so that reads go on elsewhere.
    pool.drop_all()
    access.notify()
