"""Writes this node's usage reports to the platform."""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.objects.budget import Priority
from radishtrack.objects.client import PlatformClient
from radishtrack.objects.records import (
    PlatformRefusal,
    PlatformUnavailable,
    Written,
)
from radishtrack.usage.report import Reporter, decode_report, encode_report

USAGE_KIND: Final = "usage"
CHECK_INTERVAL_S: Final = 1.0


@attrs.define
class UsageReports:
    """Reports cumulative usage, so that lost and repeated writes do no harm.

    Parameters
    ----------
    clock : Clock
        Clock of the report interval.
    platform : PlatformClient
        Stores the reports.
    reporter : Reporter
        Creates the reports.
    """

    clock: Clock
    platform: PlatformClient
    reporter: Reporter
    versions: dict[str, int] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Write reports when they are due, until cancelled."""
        while True:
            if self.reporter.is_due(self.clock.now_ms()):
                await self.write()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def write(self) -> None:
        """Write one report; the next one makes up for a failed write."""
        report = self.reporter.make_report(self.clock.now_ms())
        if not report.totals:
            return
        name = report.object_name
        try:
            result = await self.platform.put(
                USAGE_KIND,
                name,
                encode_report(report),
                self.versions.get(name, 0),
                priority=Priority.BACKGROUND,
            )
            if isinstance(result, Written):
                self.versions[name] = result.version
            else:
                await self._resolve_conflict(name)
        except (PlatformUnavailable, PlatformRefusal):
            return

    async def _resolve_conflict(self, name: str) -> None:
        # Either an earlier write took effect and its response was lost, or the object
        # was sealed because this process was considered dead.
        stored = await self.platform.get(USAGE_KIND, name, priority=Priority.BACKGROUND)
        if stored is None or stored.value is None:
            self.versions.pop(name, None)
            return
        report = decode_report(dict(stored.value))
        if report.is_sealed:
            self.reporter.on_sealed(report)
        else:
            self.versions[name] = stored.version
