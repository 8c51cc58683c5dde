"""Metrics and log lines of operations, with a limited volume of lines under load."""

from __future__ import annotations

import asyncio
from typing import Final

import attrs
from prometheus_client import CollectorRegistry, Counter, Histogram

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.pooler.evidence import GroupEvidence
from radishtrack.pooler.execution import Result
from radishtrack.pooler.session import ClientSession, Denied
from radishtrack.session.position import Position

REFUSED_LINES_PER_S: Final = 40
"""Log lines for refused, failed and slow statements; those beyond are only counted."""
SERVED_LINES_PER_S: Final = 5
"""Log lines for served statements, as a sample."""
LIMIT_PERIOD_MS: Final = 1_000.0
SLOW_OBJECTIVES: Final = 1.0
"""Latency objectives beyond which a statement is logged like a refused one."""
LATENCY_BUCKETS_S: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6)


@attrs.define(eq=False)
class RequestLog:
    """Counts and logs the results of statements; construct with `make_request_log`."""

    clock: Clock
    registry: CollectorRegistry
    statements: Counter
    latency: Histogram
    refused_lines: int = 0
    served_lines: int = 0
    suppressed: int = 0

    async def run(self) -> None:
        """Report suppressed lines and reset the limits every period; never returns."""
        while True:
            await asyncio.sleep(LIMIT_PERIOD_MS / 1000)
            if self.suppressed:
                log_event(Event.LINES_SUPPRESSED, lines=self.suppressed)
            self.refused_lines = self.served_lines = self.suppressed = 0

    def observe(
        self,
        session: ClientSession,
        statement_id: str,
        step: str,
        result: Result,
        arrived_ms: float,
    ) -> None:
        """Record the result of a statement."""
        access = session.access
        assert access is not None
        elapsed_ms = self.clock.now_ms() - arrived_ms
        refusal = result.response.refusal
        outcome = "served" if refusal is None else refusal.name.lower()
        read_class = access.route.read_class.value
        self.statements.labels(read_class, step, outcome).inc()
        if refusal is None:
            self.latency.labels(read_class, step).observe(elapsed_ms / 1000)
        is_slow = elapsed_ms > SLOW_OBJECTIVES * access.route.objective_ms
        if refusal is not None or is_slow:
            if not self._admit_line():
                return
        elif self.served_lines >= SERVED_LINES_PER_S:
            return
        else:
            self.served_lines += 1
        group = session.context.find_group(access.route.group)
        evidence = group.evidence
        now_ms = self.clock.now_ms()
        sample = evidence.samples.find(access.route.max_age_ms, now_ms)
        log_event(
            Event.STATEMENT_FINISHED,
            id=statement_id,
            step=step,
            outcome=outcome,
            detail=result.response.detail,
            member=result.member,
            group=group.name,
            organisation=access.organisation,
            read_class=read_class,
            attempts=result.attempts,
            elapsed_ms=round(elapsed_ms, 1),
            configuration_age_ms=round(session.context.catalog_age_ms()),
            term=evidence.term,
            primary=evidence.primary,
            is_current=group.is_current(),
            belief_left_ms=round(evidence.valid_until_ms() - now_ms),
            supporters=_format_supporters(evidence, now_ms),
            announced_term=evidence.announced_term,
            min_position=_format_position(result.min_position),
            position=_format_position(result.response.position),
            sample_position=_format_position(sample.position if sample else None),
            sample_age_ms=round(now_ms - sample.at_ms) if sample else None,
        )

    def observe_denied(
        self,
        database: str,
        denied: Denied,
        *,
        age_ms: float,
        version: int,
        known_version: int,
    ) -> None:
        """Record that a session was denied access.

        Parameters
        ----------
        database : str
            Database that the client asked for.
        denied : Denied
            Why it was denied.
        age_ms : float
            Age of the node's configuration in milliseconds.
        version, known_version : int
            Version of that configuration, and the latest that is known to exist.
        """
        outcome = denied.refusal.name.lower()
        self.statements.labels("none", "access", outcome).inc()
        if self._admit_line():
            log_event(
                Event.CLIENT_REFUSED,
                database=database,
                outcome=outcome,
                detail=denied.detail,
                configuration_age_ms=age_ms,
                version=version,
                known_version=known_version,
            )

    def _admit_line(self) -> bool:
        """Count one more line; return whether it is within the limit."""
        if self.refused_lines >= REFUSED_LINES_PER_S:
            self.suppressed += 1
            return False
        self.refused_lines += 1
        return True


def _format_position(position: Position | None) -> str:
    return "none" if position is None else f"{position.term}.{position.sequence}"


def _format_supporters(evidence: GroupEvidence, now_ms: float) -> str:
    """Return the members whose reports support the term, with the reports' ages."""
    return ",".join(
        f"{observation.report.member}@{round(now_ms - observation.requested_ms)}"
        for observation in evidence.list_supporters()
    )


def make_request_log(clock: Clock) -> RequestLog:
    """Return an empty log with metrics of its own."""
    registry = CollectorRegistry()
    return RequestLog(
        clock=clock,
        registry=registry,
        statements=Counter(
            "radishtrack_pooler_statements",
            "Statements by read class, step and outcome",
            ("read_class", "step", "outcome"),
            registry=registry,
        ),
        latency=Histogram(
            "radishtrack_pooler_statement_seconds",
            "Time from the arrival of a served statement to its answer",
            ("read_class", "step"),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        ),
    )
