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
STEP_S: Final = 1.0


@attrs.define
class UsageReports:
    """Reports cumulative usage, so that a lost or repeated write changes nothing.

    Parameters
    ----------
    clock : Clock
        Tells when a report is due.
    platform : PlatformClient
        Stores the reports.
    reporter : Reporter
        Makes the reports.
    """

    clock: Clock
    platform: PlatformClient
    reporter: Reporter
    versions: dict[str, int] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Write a report whenever one is due, forever."""
        while True:
            if self.reporter.is_due(self.clock.now_ms()):
                await self.write()
            await asyncio.sleep(STEP_S)

    async def write(self) -> None:
        """Write one report; a failed write is made good by the next report."""
        report = self.reporter.make_report(self.clock.now_ms())
        if not report.totals:
            return
        name = report.object_name
        try:
            answer = await self.platform.put(
                USAGE_KIND,
                name,
                encode_report(report),
                self.versions.get(name, 0),
                priority=Priority.BACKGROUND,
            )
            if isinstance(answer, Written):
                self.versions[name] = answer.version
            else:
                await self._resolve_conflict(name)
        except (PlatformUnavailable, PlatformRefusal):
            return

    async def _resolve_conflict(self, name: str) -> None:
        # Either an earlier write took effect and its answer was lost, or the object
        # was sealed because this process was taken for dead.
        found = await self.platform.get(USAGE_KIND, name, priority=Priority.BACKGROUND)
        if found is None or found.value is None:
            self.versions.pop(name, None)
            return
        stored = decode_report(dict(found.value))
        if stored.is_sealed:
            self.reporter.on_sealed(stored)
        else:
            self.versions[name] = found.version
