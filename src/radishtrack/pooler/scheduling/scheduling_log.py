"""Metrics and log lines of waiting work, with a limited volume of lines."""

from __future__ import annotations

from typing import Final

import attrs
from prometheus_client import CollectorRegistry, Counter, Histogram

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.pooler.scheduling.work import Work
from radishtrack.pooler.scheduling.work_queue import DISPLACED

LINE_INTERVAL_MS: Final = 1_000.0
"""Least time between two lines of displaced work."""
WAIT_BUCKETS_S: Final = (0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8)


@attrs.define(eq=False)
class SchedulingLog:
    """Counts waits and refusals; construct it with `make_scheduling_log`."""

    clock: Clock
    waits: Histogram
    refusals: Counter
    displaced: int = 0
    """Displaced work since the last line."""
    last_line_ms: float = float("-inf")

    def observe_wait(self, work: Work, wait_ms: float) -> None:
        """Record the wait of work that got a connection."""
        self.waits.labels(work.priority).observe(wait_ms / 1000)

    def observe_refusal(self, member: str, work: Work, detail: str) -> None:
        """Record work that got no connection to a member."""
        reason, _, _hint = detail.partition(";")
        self.refusals.labels(reason, work.priority).inc()
        if reason != DISPLACED:
            return
        self.displaced += 1
        now_ms = self.clock.now_ms()
        if now_ms - self.last_line_ms < LINE_INTERVAL_MS:
            return
        log_event(
            Event.WORK_DISPLACED,
            member=member,
            priority=work.priority,
            displaced=self.displaced,
        )
        self.last_line_ms, self.displaced = now_ms, 0


def make_scheduling_log(clock: Clock, registry: CollectorRegistry) -> SchedulingLog:
    """Return a log whose metrics are in a registry."""
    return SchedulingLog(
        clock,
        Histogram(
            "radishtrack_pooler_wait_seconds",
            "Wait of work for a connection to a scarce member, by priority",
            ("priority",),
            buckets=WAIT_BUCKETS_S,
            registry=registry,
        ),
        Counter(
            "radishtrack_pooler_refused_work",
            "Work that got no connection to a scarce member, by reason and priority",
            ("reason", "priority"),
            registry=registry,
        ),
    )
