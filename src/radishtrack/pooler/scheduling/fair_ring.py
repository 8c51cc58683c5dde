"""Weighted deficit round robin over the organisations of one class of waiting work."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import attrs

from radishtrack.admission.fair_queue import MAX_CHARGE, Waiter
from radishtrack.admission.permit_queue import QueuedWork


@attrs.frozen
class Entry:
    """Waiting work.

    Parameters
    ----------
    waiter : Waiter
        Ticket, organisation and deadline.
    work : QueuedWork
        Priority, objective and kind.
    arrived_ms : float
        When it entered the queue.
    hold_ms : float
        For how long it was expected to hold its connection when it arrived.
    """

    waiter: Waiter
    work: QueuedWork
    arrived_ms: float
    hold_ms: float


@attrs.define
class Lane:
    """Waiting work of one organisation."""

    quantum: int
    entries: OrderedDict[int, Entry] = attrs.field(factory=OrderedDict)
    deficit: int = 0

    @property
    def rounds(self) -> int:
        """Number of rounds in which all entries start."""
        return -(-len(self.entries) // self.quantum)


@attrs.define
class FairRing:
    """Waiting work in the order in which it starts.

    Each operation takes the same time however much work waits.
    """

    lanes: OrderedDict[str, Lane] = attrs.field(factory=OrderedDict)
    """Organisations with waiting work, in service order."""
    by_rounds: dict[int, OrderedDict[str, None]] = attrs.field(factory=dict)
    """Organisations by the number of rounds that their work needs."""
    arrivals: OrderedDict[int, Entry] = attrs.field(factory=OrderedDict)
    """All work, the oldest first."""
    max_rounds: int = 0
    waiting: int = 0
    hold_ms: float = 0.0
    """Sum of the expected hold times."""
    quanta: int = 0
    """Sum of the quanta of the organisations with waiting work."""

    def push(self, entry: Entry, quantum: int) -> None:
        """Add work behind the other work of its organisation."""
        organisation = entry.waiter.organisation
        lane = self.lanes.get(organisation)
        if lane is None:
            lane = self.lanes[organisation] = Lane(quantum)
            self.quanta += lane.quantum
        rounds = lane.rounds
        lane.entries[entry.waiter.ticket] = entry
        self.arrivals[entry.waiter.ticket] = entry
        self.waiting += 1
        self.hold_ms += entry.hold_ms
        self._change_rounds(organisation, rounds, lane.rounds)

    def find_next(self, may_start: Callable[[str], bool]) -> Entry | None:
        """Return the work that starts next, without removing it."""
        skipped = 0
        while skipped < len(self.lanes):
            organisation, lane = next(iter(self.lanes.items()))
            if not may_start(organisation):
                skipped += 1
            elif lane.deficit >= 1:
                return next(iter(lane.entries.values()))
            else:
                skipped = 0
                lane.deficit += lane.quantum
                if lane.deficit >= 1:
                    continue
            self.lanes.move_to_end(organisation)
        return None

    def count_started(self, organisation: str) -> None:
        """Charge an organisation for the start of its next entry, before `remove`."""
        lane = self.lanes[organisation]
        lane.deficit -= 1
        if lane.deficit < 1:
            self.lanes.move_to_end(organisation)

    def charge(self, organisation: str, extra: int) -> None:
        """Charge an organisation for a long use of a connection."""
        lane = self.lanes.get(organisation)
        if lane is not None:
            lane.deficit -= max(0, min(MAX_CHARGE, extra))
            lane.deficit = max(-MAX_CHARGE, lane.deficit)

    def find_oldest(self) -> Entry | None:
        """Return the work that has waited longest."""
        return next(iter(self.arrivals.values()), None)

    def find_last(self) -> Entry | None:
        """Return the newest work of the organisation whose work needs most rounds."""
        if not self.lanes:
            return None
        organisation = next(reversed(self.by_rounds[self.max_rounds]))
        return next(reversed(self.lanes[organisation].entries.values()))

    def remove(self, entry: Entry) -> bool:
        """Remove work; return False if it does not wait here."""
        organisation = entry.waiter.organisation
        lane = self.lanes.get(organisation)
        if lane is None or entry.waiter.ticket not in lane.entries:
            return False
        rounds = lane.rounds
        del lane.entries[entry.waiter.ticket]
        del self.arrivals[entry.waiter.ticket]
        self.waiting -= 1
        # Sums of floats drift, so an empty ring starts from 0 again.
        self.hold_ms = self.hold_ms - entry.hold_ms if self.waiting else 0.0
        self._change_rounds(organisation, rounds, lane.rounds)
        if not lane.entries:
            self.quanta -= lane.quantum
            del self.lanes[organisation]
        return True

    def estimate_ahead_ms(self, organisation: str, quantum: int) -> float:
        """Return the hold times of the work ahead of an organisation's next arrival."""
        if not self.waiting:
            return 0.0
        lane = self.lanes.get(organisation)
        own = len(lane.entries) if lane is not None else 0
        other_quanta = self.quanta - (lane.quantum if lane is not None else 0)
        rounds = -(-(own + 1) // quantum)
        others = min(self.waiting - own, rounds * other_quanta)
        return (own + others) * self.hold_ms / self.waiting

    def count_waiting(self, organisation: str) -> int:
        """Return how much work of an organisation waits."""
        lane = self.lanes.get(organisation)
        return len(lane.entries) if lane is not None else 0

    def _change_rounds(self, organisation: str, before: int, after: int) -> None:
        if before == after:
            return
        if before:
            del self.by_rounds[before][organisation]
            if not self.by_rounds[before]:
                del self.by_rounds[before]
        if after:
            self.by_rounds.setdefault(after, OrderedDict())[organisation] = None
        self.max_rounds = max(self.max_rounds, after)
        # One step at most: `after` differs from `before` by 1.
        while self.max_rounds and self.max_rounds not in self.by_rounds:
            self.max_rounds -= 1
