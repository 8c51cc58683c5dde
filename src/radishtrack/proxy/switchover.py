"""Prepares the planned replacement of a primary that is marked as leaving."""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from radishtrack.backend.member_commands import (
    MemberCommands,
    RefusedError,
    UnreachableError,
)
from radishtrack.backend.monitor import Monitor
from radishtrack.events import Event, log_event
from radishtrack.group.record import GroupRecord
from radishtrack.group.status import MemberStatus
from radishtrack.group.switchover import has_caught_up, should_switch_over
from radishtrack.proxy.promoter_context import PromoterContext

PAUSE_MS: Final = 30_000.0
"""Time between two attempts to replace a leaving primary: each stops its commits."""

CATCH_UP_TIMEOUT_MS: Final = 2_000.0
CATCH_UP_CHECK_MS: Final = 10.0


@attrs.define
class Switchover:
    """Fences a leaving primary and waits until a replica has its whole log.

    Parameters
    ----------
    context : PromoterContext
        This node's rank and the leaving members.
    monitor : Monitor
        Status of the members.
    commands : MemberCommands
        Fences the primary.
    """

    context: PromoterContext
    monitor: Monitor
    commands: MemberCommands
    not_before_ms: float = 0.0

    async def prepare(self, record: GroupRecord, statuses: list[MemberStatus]) -> bool:
        """Fence a leaving primary, if any, and wait for a replica to catch up.

        If no replica caught up in time, the promotion elects the primary again.

        Returns
        -------
        bool
            Whether the primary was fenced, so that a promotion must follow.
        """
        clock, group = self.monitor.clock, record.group
        leaving = self.context.list_leaving_members()
        now_ms = clock.now_ms()
        if now_ms < self.not_before_ms or not should_switch_over(
            group, statuses, leaving, self.context.get_rank()
        ):
            return False
        self.not_before_ms = now_ms + PAUSE_MS
        log_event(
            Event.SWITCHOVER_STARTED, database=group.database, primary=group.primary
        )
        try:
            fenced = await self.commands.fence(group.primary, record, group.term + 1)
        except (RefusedError, UnreachableError):
            return False
        deadline_ms = clock.now_ms() + CATCH_UP_TIMEOUT_MS
        while clock.now_ms() < deadline_ms and not has_caught_up(
            fenced, group, self.monitor.latest_statuses.values(), leaving
        ):
            await asyncio.sleep(CATCH_UP_CHECK_MS / 1000)
        return True
