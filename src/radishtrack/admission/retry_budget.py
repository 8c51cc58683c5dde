"""Retry budget of one database: 10% of its requests + 10, in each sliding second."""

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

    A retry must fit into every window of 1 s that contains it, whatever follows. A
    window may begin anywhere in the last second, so requests can't be saved up: those
    before the window's begin don't count for the retries after it.
    """

    intervals: deque[IntervalCounts] = attrs.field(factory=deque)

    def count_request(self, now_ms: float) -> None:
        """Count a first attempt."""
        self._current_interval(now_ms).requests += 1

    def try_retry(self, now_ms: float) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        current = self._current_interval(now_ms)
        requests = retries = 0
        for interval in reversed(self.intervals):
            # A window that begins in this interval may have all its retries and none
            # of its requests.
            retries += interval.retries
            if retries >= requests // REQUESTS_PER_RETRY + RETRIES_PER_SECOND:
                return False
            requests += interval.requests
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
