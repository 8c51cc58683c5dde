"""When a statement that did not run is tried again, and how long it may wait."""

from __future__ import annotations

from typing import Final

import attrs

from radishtrack.pooler.catalog import Route

WAIT_OBJECTIVES: Final = 3.0
"""A statement waits for a connection or a primary for at most so many times its latency
objective: clients' deadlines are five to six objectives, and one more attempt after
the refusal has to fit."""
EVIDENCE_OBJECTIVES: Final = 0.2
"""Wait for reports of the members, in latency objectives. A round of reports takes a
few milliseconds; without an answer by then the members can't be reached."""
RETRY_PAUSE_MS: Final = 8.0
"""Pause before the same member is tried again; about the time of one statement."""
MAX_ATTEMPTS: Final = 6
"""Attempts of one statement, which bounds its load on members in trouble."""


@attrs.define
class AttemptPlan:
    """Deadlines of one statement and its attempts so far; all times in milliseconds."""

    started_ms: float
    wait_until_ms: float
    evidence_until_ms: float
    deadline_ms: float
    attempts: int = 0

    def may_retry(self, now_ms: float) -> bool:
        """Tell whether another attempt may start."""
        return self.attempts < MAX_ATTEMPTS and now_ms < self.wait_until_ms

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time that is left for running the statement."""
        return max(1.0, self.deadline_ms - now_ms)


def make_attempt_plan(route: Route, now_ms: float) -> AttemptPlan:
    """Return the deadlines of a statement that arrived at `now_ms`."""
    wait_ms = min(route.statement_timeout_ms, WAIT_OBJECTIVES * route.objective_ms)
    return AttemptPlan(
        started_ms=now_ms,
        wait_until_ms=now_ms + wait_ms,
        evidence_until_ms=now_ms + EVIDENCE_OBJECTIVES * route.objective_ms,
        deadline_ms=now_ms + route.statement_timeout_ms,
    )
