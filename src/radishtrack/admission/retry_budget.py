"""Retry budget of one database: 10% of its requests + 10 a second, sliding."""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs

RETRY_DIVISOR: Final = 10
"""One retry for each 10 requests."""
RETRIES_PER_SECOND: Final = 10
WINDOW_MS: Final = 1000.0
SLOT_MS: Final = 50.0


@attrs.define
class Slot:
    """Requests and retries of one time slot."""

    index: int
    requests: int = 0
    retries: int = 0


@attrs.define
class RetryBudget:
    """Counts of the last second in slots.

    Retries of the slots that overlap the window are counted in full, requests only
    in the slots that lie inside it, so the limit holds for every window of one second.
    """

    slots: deque[Slot] = attrs.field(factory=deque)

    def count_request(self, now_ms: float) -> None:
        """Count a first attempt."""
        self._current(now_ms).requests += 1

    def try_retry(self, now_ms: float) -> bool:
        """Count a retry and return True if the budget allows it."""
        current = self._current(now_ms)
        oldest_whole = (now_ms - WINDOW_MS) / SLOT_MS
        requests = sum(
            slot.requests for slot in self.slots if slot.index >= oldest_whole
        )
        retries = sum(slot.retries for slot in self.slots)
        if retries >= requests // RETRY_DIVISOR + RETRIES_PER_SECOND:
            return False
        current.retries += 1
        return True

    def _current(self, now_ms: float) -> Slot:
        index = int(now_ms // SLOT_MS)
        oldest = int((now_ms - WINDOW_MS) // SLOT_MS)
        while self.slots and self.slots[0].index < oldest:
            self.slots.popleft()
        if not self.slots or self.slots[-1].index < index:
            self.slots.append(Slot(index))
        return self.slots[-1]


def make_retry_budget() -> RetryBudget:
    """Return an unused budget."""
    return RetryBudget()
