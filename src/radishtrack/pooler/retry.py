"""Deadlines of a statement and limits of its retries."""

from __future__ import annotations

from typing import Final

import attrs

from radishtrack.pooler.catalog import Route
from radishtrack.pooler.scheduling.retry_limit import RetryLimit

WAIT_OBJECTIVES: Final = 3.0
"""Longest wait for a connection or a primary, in latency objectives. Clients' deadlines
are five to six objectives and have to leave time for a retry after the refusal."""
EVIDENCE_OBJECTIVES: Final = 0.2
"""Longest wait for members' reports, in latency objectives. A poll takes a few
milliseconds; members without a report by then are unreachable."""
RETRY_PAUSE_MS: Final = 8.0
"""Pause before a retry at the same member; about the duration of one statement."""
MAX_ATTEMPTS: Final = 6
"""Attempts per statement; bounds the load on failing members."""


@attrs.define
class AttemptPlan:
    """Deadlines of one statement and its attempts so far; all times in milliseconds."""

    started_ms: float
    wait_until_ms: float
    evidence_until_ms: float
    deadline_ms: float
    attempts: int = 0
    is_sent: bool = False
    """Whether anything of the statement may have been sent to a member."""
    limit: RetryLimit | None = None
    """Limit of the node's retries at a scarce group."""
    counted_attempt: int = 0
    """Last attempt whose repetition the limit has allowed."""

    def may_retry(self, now_ms: float) -> bool:
        """Return whether another attempt may start."""
        if self.attempts >= MAX_ATTEMPTS or now_ms >= self.wait_until_ms:
            return False
        # A statement that was never sent has not loaded a member.
        if self.limit is None or not self.is_sent:
            return True
        if self.counted_attempt < self.attempts:
            if not self.limit.try_retry(now_ms):
                return False
            self.counted_attempt = self.attempts
        return True

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
