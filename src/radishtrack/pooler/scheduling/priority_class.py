"""Waiting work of one priority, and how much of the capacity that priority needs."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

import attrs

from radishtrack.pooler.scheduling.fair_ring import Entry, FairRing

MAX_SERVICE_FRACTION: Final = 0.5
"""Work is taken to need at most this fraction of its objective once it has a
connection. Otherwise all transactions of a route whose transactions usually take longer
would be late from the start."""
AGING_FRACTION: Final = 0.5
"""Work has aged after this fraction of its latency objective in the queue; it can still
meet the objective then."""
LOAD_WINDOW_MS: Final = 1_000.0
"""Time over which the load is averaged; about the longest wait."""


@attrs.define
class PriorityClass:
    """Waiting work of one priority."""

    on_time: FairRing = attrs.field(factory=FairRing)
    """Work that can still meet its objective."""
    late: FairRing = attrs.field(factory=FairRing)
    offered_ms: float = 0.0
    """Decaying sum of the hold times of the work that arrived."""
    offered_at_ms: float = 0.0
    aged_start: int = 0
    """Number of the last start that was due to age."""

    @property
    def waiting(self) -> int:
        """Amount of waiting work."""
        return self.on_time.waiting + self.late.waiting

    @property
    def hold_ms(self) -> float:
        """Sum of the expected hold times of waiting work."""
        return self.on_time.hold_ms + self.late.hold_ms

    def count_offered(self, hold_ms: float, now_ms: float) -> None:
        """Count work that arrives, whether it is queued or not."""
        self.offered_ms = self.load(now_ms) * LOAD_WINDOW_MS + hold_ms
        self.offered_at_ms = now_ms

    def load(self, now_ms: float) -> float:
        """Return the number of connections that the recent arrivals need."""
        elapsed_ms = max(0.0, now_ms - self.offered_at_ms)
        decayed_ms = self.offered_ms * math.exp(-elapsed_ms / LOAD_WINDOW_MS)
        return decayed_ms / LOAD_WINDOW_MS

    def count_waiting(self, organisation: str) -> int:
        """Return how much work of an organisation waits."""
        return self.on_time.count_waiting(organisation) + self.late.count_waiting(
            organisation
        )

    def add(self, entry: Entry, quantum: int, now_ms: float) -> None:
        """Add work that arrives."""
        ring = self.late if is_late(entry, now_ms) else self.on_time
        ring.push(entry, quantum)

    def remove(self, entry: Entry) -> None:
        """Remove work."""
        if not self.on_time.remove(entry):
            self.late.remove(entry)

    def find_next(
        self, may_start: Callable[[str], bool], now_ms: float
    ) -> Entry | None:
        """Return the work that starts next, and charge its organisation."""
        # Each work becomes late once, so the cost is constant per work.
        while (entry := self.on_time.find_next(may_start)) is not None:
            if not is_late(entry, now_ms):
                self.on_time.count_started(entry.waiter.organisation)
                return entry
            self._move_to_late(entry)
        entry = self.late.find_next(may_start)
        if entry is not None:
            self.late.count_started(entry.waiter.organisation)
        return entry

    def find_aged(self, now_ms: float) -> Entry | None:
        """Return the oldest work that can meet its objective, if it has aged."""
        while (entry := self.on_time.find_oldest()) is not None:
            if not is_late(entry, now_ms):
                return entry if has_aged(entry, now_ms) else None
            self._move_to_late(entry)
        return None

    def find_oldest(self) -> Entry | None:
        """Return the oldest late work, or else the oldest."""
        return self.late.find_oldest() or self.on_time.find_oldest()

    def find_last(self) -> Entry | None:
        """Return the work that is displaced first."""
        return self.late.find_last() or self.on_time.find_last()

    def _move_to_late(self, entry: Entry) -> None:
        quantum = self.on_time.lanes[entry.waiter.organisation].quantum
        self.on_time.remove(entry)
        self.late.push(entry, quantum)


def is_late(entry: Entry, now_ms: float) -> bool:
    """Return whether work that starts now would miss its objective."""
    until_ms = entry.work.objective_until_ms
    longest_ms = MAX_SERVICE_FRACTION * max(0.0, until_ms - entry.arrived_ms)
    return now_ms + min(entry.hold_ms, longest_ms) > until_ms


def has_aged(entry: Entry, now_ms: float) -> bool:
    """Return whether work has waited so long that it goes ahead of its priority."""
    objective_ms = max(0.0, entry.work.objective_until_ms - entry.arrived_ms)
    return now_ms >= entry.arrived_ms + AGING_FRACTION * objective_ms
