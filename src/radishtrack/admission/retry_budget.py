"""Retry budget of one database: 10% of its requests + 10, in a sliding second."""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs

REQUESTS_PER_RETRY: Final = 10
RETRIES_PER_SECOND: Final = 10
WINDOW_MS: Final = 1000.0
INTERVAL_MS: Final = 50.0


@attrs.define
class IntervalCounts:
    """Requests and retries of one interval of `INTERVAL_MS`."""

    index: int
    requests: int = 0
    retries: int = 0


@attrs.define
class RetryBudget:
    """Counts of the last second, by interval.

    Intervals that overlap the window count with all their retries, but requests count
    only in intervals that lie inside it, so the limit holds for every window of 1 s.
    """

    intervals: deque[IntervalCounts] = attrs.field(factory=deque)

    def count_request(self, now_ms: float) -> None:
        """Count a first attempt."""
        self._current_interval(now_ms).requests += 1

    def try_retry(self, now_ms: float) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        current = self._current_interval(now_ms)
        first_whole_index = (now_ms - WINDOW_MS) / INTERVAL_MS
        requests = sum(
            interval.requests
            for interval in self.intervals
            if interval.index >= first_whole_index
        )
        retries = sum(interval.retries for interval in self.intervals)
        if retries >= requests // REQUESTS_PER_RETRY + RETRIES_PER_SECOND:
            return False
        current.retries += 1
        return True

    def _current_interval(self, now_ms: float) -> IntervalCounts:
        index = int(now_ms // INTERVAL_MS)
        oldest_index = int((now_ms - WINDOW_MS) // INTERVAL_MS)
        while self.intervals and self.intervals[0].index < oldest_index:
            self.intervals.popleft()
        if not self.intervals or self.intervals[-1].index < index:
            self.intervals.append(IntervalCounts(index))
        return self.intervals[-1]


def make_retry_budget() -> RetryBudget:
    """Return an unused budget."""
    return RetryBudget()
