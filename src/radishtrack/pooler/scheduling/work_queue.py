"""Order of work that waits for few connections: priority, objective, fairness."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import Final

import attrs

from radishtrack.admission.fair_queue import (
    DEFAULT_QUEUE_LENGTH,
    RESERVE_FROM_CONNECTIONS,
    Queued,
    QueueDecision,
    QueueRefused,
    Started,
    Waiter,
    make_quanta,
)
from radishtrack.admission.permit_queue import QueuedWork
from radishtrack.pooler.scheduling.fair_ring import Entry
from radishtrack.pooler.scheduling.hold_times import OWN_HOLD_MS, HoldTimes, Running
from radishtrack.pooler.scheduling.priority_class import PriorityClass
from radishtrack.pooler.scheduling.retry_hint import retry_after_ms

DISPLACED: Final = "displaced by more urgent work"
"""Reason of a refusal."""
OWN_PRIORITY: Final = -1
"""Priority of the node's own statements, ahead of all work."""
STARTS_PER_AGED: Final = 8
"""At most one of this many starts is due to age. More would delay the most urgent work
whenever less urgent work alone exceeds the capacity."""
CHECK_INTERVAL_MS: Final = 20.0
"""Pause between checks for work that can't start in time; small against the shortest
objectives of about 150 ms, so that a refusal leaves time for a retry."""
REST_VALID_MS: Final = 1.0
"""Time for which an estimate of the running work is used again; small against the
shortest statements of 6 ms."""
MAX_REMOVED: Final = 8
"""Most work that one check removes, which bounds its duration."""


@attrs.define
class WorkQueue:
    """Decides when work starts, waits or is refused; see `PermitQueue`.

    Parameters
    ----------
    connections : int
        Connections of this node to the member.
    max_queue_length : int
        Most waiting work of one organisation and priority.
    """

    connections: int
    max_queue_length: int = DEFAULT_QUEUE_LENGTH
    quanta: dict[str, int] = attrs.field(factory=dict)
    holds: HoldTimes = attrs.field(factory=HoldTimes)
    check_interval_ms: float | None = CHECK_INTERVAL_MS
    started: OrderedDict[int, Running] = attrs.field(factory=OrderedDict)
    """Running work by ticket."""
    own: OrderedDict[int, Waiter] = attrs.field(factory=OrderedDict)
    """The node's own waiting statements, by ticket."""
    classes: dict[int, PriorityClass] = attrs.field(factory=dict)
    """Waiting work by priority, the most urgent first."""
    entries: dict[int, Entry] = attrs.field(factory=dict)
    """All waiting work by ticket."""
    running_of: dict[str, int] = attrs.field(factory=dict)
    """Running work of each organisation."""
    rest: tuple[float, float, int] | None = None
    """Time and result of the last estimate of the running work; None if outdated."""
    starts_since_aged: int = STARTS_PER_AGED
    aged_starts: int = 0
    next_ticket: int = 1
    refusals: int = 0

    @property
    def running(self) -> int:
        """Number of connections in use."""
        return len(self.started)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self.entries) + len(self.own)

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set each quantum from the configured rate; see `FairQueue.set_weights`."""
        self.quanta = make_quanta(weights)

    def set_connections(self, connections: int) -> None:
        """Change the number of connections."""
        self.connections = connections
        self.rest = None

    def offer(
        self,
        organisation: str,
        now_ms: float,
        deadline_ms: float,
        work: QueuedWork | None = None,
    ) -> QueueDecision:
        """Start, queue or refuse work; None is a statement of the node itself."""
        if deadline_ms <= now_ms:
            return self._refuse("deadline has passed", 0.0, work)
        if work is not None:
            waiting = self._find_class(work.priority)
            waiting.count_offered(self.holds.expected_ms(work.kind), now_ms)
        if self._may_start_now(organisation, work):
            return Started(self.resume(organisation, now_ms, work))
        waiter = Waiter(self.next_ticket, organisation, deadline_ms)
        if work is None:
            self.own[waiter.ticket] = waiter
        else:
            estimate_ms = self.estimate_ms(organisation, now_ms, work)
            excess_ms = now_ms + estimate_ms - deadline_ms
            # One per priority may wait for its age, so that no priority starves.
            if excess_ms > 0 and waiting.waiting:
                return self._refuse("wait would exceed the deadline", excess_ms, work)
            hold_ms = self.holds.expected_ms(work.kind)
            entry = Entry(waiter, work, now_ms, hold_ms)
            if waiting.count_waiting(organisation) >= self.max_queue_length:
                detail = "queue of the organisation is full"
                return self._refuse(detail, estimate_ms, work)
            waiting.add(entry, self.quanta.get(organisation, 1), now_ms)
            self.entries[waiter.ticket] = entry
        self.next_ticket += 1
        return Queued(waiter)

    def resume(self, organisation: str, now_ms: float, work: QueuedWork | None) -> int:
        """Count work that has a connection, and return its ticket."""
        ticket = self.next_ticket
        self.next_ticket += 1
        self._start(ticket, organisation, now_ms, work)
        return ticket

    def next_waiter(self, now_ms: float) -> Waiter | None:
        """Start the next waiting work if a connection is free, and return it."""
        if self.running >= self.connections:
            return None
        while self.own:
            _, waiter = self.own.popitem(last=False)
            if waiter.deadline_ms > now_ms:
                self._start(waiter.ticket, waiter.organisation, now_ms, None)
                return waiter
        entry = self._find_aged(now_ms) or self._find_next(now_ms)
        if entry is None:
            return None
        waiter = entry.waiter
        self._remove(entry)
        self._start(waiter.ticket, waiter.organisation, now_ms, entry.work)
        return waiter

    def cancel(self, waiter: Waiter) -> bool:
        """Remove waiting work; return False if it no longer waits."""
        if self.own.pop(waiter.ticket, None) is not None:
            return True
        entry = self.entries.get(waiter.ticket)
        if entry is None:
            return False
        self._remove(entry)
        return True

    def finish(
        self, organisation: str, service_ms: float | None, ticket: int = 0
    ) -> None:
        """Release the connection of started work."""
        running = self.started.pop(ticket)
        self.rest = None
        if running.priority == OWN_PRIORITY:
            return
        count = self.running_of[organisation] - 1
        self.running_of[organisation] = count
        if not count:
            del self.running_of[organisation]
        if service_ms is None:
            return
        waiting = self.classes.get(running.priority)
        if waiting is not None:
            # Connection time is to be shared fairly, so long uses cost more.
            usual_ms = waiting.on_time.hold_ms / max(1, waiting.on_time.waiting)
            extra = int(service_ms / max(usual_ms, OWN_HOLD_MS)) - 1
            waiting.on_time.charge(organisation, extra)
            waiting.late.charge(organisation, extra)
        self.holds.record(running.kind, service_ms)

    def refuse_waiting(self, work: QueuedWork | None, now_ms: float) -> QueueRefused:
        """Return the refusal of work that has waited until its deadline.

        The work may have left the queue in the same iteration of the loop.
        """
        excess_ms = 0.0
        if work is not None:
            excess_ms = self._estimate_from_class(work.priority, now_ms)
        return self._refuse("no connection by the deadline", excess_ms, work)

    def remove_hopeless(self, now_ms: float) -> Iterator[tuple[Waiter, QueueRefused]]:
        """Remove waiting work that can't start in time, and yield it with its refusal.

        The node's own statements are never removed.
        """
        for _ in range(MAX_REMOVED):
            removed = self._find_overdue(now_ms) or self._find_displaced(now_ms)
            if removed is None:
                return
            entry, detail, excess_ms = removed
            self._remove(entry)
            yield entry.waiter, self._refuse(detail, excess_ms, entry.work)

    def estimate_ms(self, organisation: str, now_ms: float, work: QueuedWork) -> float:
        """Return the expected wait of work that arrives now."""
        quantum = self.quanta.get(organisation, 1)
        ahead_ms = self._hold_ahead_ms(work.priority)
        same = self.classes.get(work.priority)
        if same is not None:
            ahead_ms += same.on_time.estimate_ahead_ms(organisation, quantum)
            if now_ms >= work.objective_until_ms:
                ahead_ms += same.late.hold_ms
        return self._estimate_wait(ahead_ms, work.priority, now_ms)

    def limit_per_organisation(self) -> int:
        """Return the most connections that one organisation may hold."""
        reserved = 1 if self.connections >= RESERVE_FROM_CONNECTIONS else 0
        return self.connections - reserved

    def _may_start_now(self, organisation: str, work: QueuedWork | None) -> bool:
        if self.running >= self.connections or self.own:
            return False
        if work is None:
            return True
        # Waiting work can only be that of an organisation at its limit here.
        return not self.entries and self._may_use_more(organisation)

    def _may_use_more(self, organisation: str) -> bool:
        return self.running_of.get(organisation, 0) < self.limit_per_organisation()

    def _start(
        self, ticket: int, organisation: str, now_ms: float, work: QueuedWork | None
    ) -> None:
        if work is None:
            running = Running(organisation, OWN_PRIORITY, None, now_ms)
        else:
            running = Running(organisation, work.priority, work.kind, now_ms)
            self.running_of[organisation] = self.running_of.get(organisation, 0) + 1
            self.starts_since_aged += 1
        self.started[ticket] = running
        self.rest = None

    def _find_class(self, priority: int) -> PriorityClass:
        if priority not in self.classes:
            self.classes[priority] = PriorityClass()
            self.classes = dict(sorted(self.classes.items()))
        return self.classes[priority]

    def _remove(self, entry: Entry) -> None:
        del self.entries[entry.waiter.ticket]
        self.classes[entry.work.priority].remove(entry)

    def _find_next(self, now_ms: float) -> Entry | None:
        for waiting in self.classes.values():
            entry = waiting.find_next(self._may_use_more, now_ms)
            if entry is not None:
                return entry
        return None

    def _find_aged(self, now_ms: float) -> Entry | None:
        """Return work that goes ahead of its priority because of its age."""
        if self.starts_since_aged < STARTS_PER_AGED:
            return None
        aged: tuple[PriorityClass, Entry] | None = None
        # Nothing is ahead of the most urgent class.
        classes = [waiting for waiting in self.classes.values() if waiting.waiting]
        for waiting in classes[1:]:
            entry = waiting.find_aged(now_ms)
            if entry is None or not self._may_use_more(entry.waiter.organisation):
                continue
            # The priorities take turns, so that the wait of each is bounded.
            if aged is None or waiting.aged_start <= aged[0].aged_start:
                aged = waiting, entry
        if aged is None:
            return None
        self.starts_since_aged = -1
        self.aged_starts += 1
        aged[0].aged_start = self.aged_starts
        return aged[1]

    def _find_overdue(self, now_ms: float) -> tuple[Entry, str, float] | None:
        """Return work that no free connection can reach before its deadline."""
        rest_ms, _ = self._estimate_rest(now_ms)
        for waiting in self.classes.values():
            entry = waiting.find_oldest()
            if entry is None:
                continue
            excess_ms = now_ms + rest_ms - entry.waiter.deadline_ms
            if excess_ms > 0:
                return entry, "no connection will be free in time", excess_ms
        return None

    def _find_displaced(self, now_ms: float) -> tuple[Entry, str, float] | None:
        """Return the least urgent work if it would start after its deadline."""
        for priority, waiting in reversed(self.classes.items()):
            entry = waiting.find_last()
            if entry is None or waiting.waiting == 1:
                continue
            estimate_ms = self._estimate_from_class(priority, now_ms) - entry.hold_ms
            excess_ms = now_ms + estimate_ms - entry.waiter.deadline_ms
            if excess_ms <= 0:
                return None
            return entry, DISPLACED, excess_ms
        return None

    def _estimate_from_class(self, priority: int, now_ms: float) -> float:
        """Return the expected wait behind all work of a priority."""
        return self._estimate_wait(self._hold_ahead_ms(priority + 1), priority, now_ms)

    def _estimate_wait(self, ahead_ms: float, priority: int, now_ms: float) -> float:
        """Return the expected wait behind work that needs `ahead_ms`.

        More urgent work that arrives meanwhile goes ahead, so only the rest of the
        capacity remains, at least that of aged work.
        """
        rest_ms, usable = self._estimate_rest(now_ms)
        more_urgent = 0.0
        for other, waiting in self.classes.items():
            if other >= priority:
                break
            more_urgent += waiting.load(now_ms)
        left = max(1.0 / STARTS_PER_AGED, 1.0 - more_urgent / usable)
        return (rest_ms + ahead_ms / usable) / left

    def _hold_ahead_ms(self, priority: int) -> float:
        """Return the expected hold times of all waiting work that is more urgent."""
        ahead_ms = len(self.own) * OWN_HOLD_MS
        for other, waiting in self.classes.items():
            if other >= priority:
                break
            ahead_ms += waiting.hold_ms
        return ahead_ms

    def _estimate_rest(self, now_ms: float) -> tuple[float, int]:
        if self.rest is None or now_ms - self.rest[0] >= REST_VALID_MS:
            rest_ms, usable = self.holds.estimate_rest(
                self.started.values(), max(1, self.connections), now_ms
            )
            self.rest = now_ms, rest_ms, usable
        return self.rest[1], self.rest[2]

    def _refuse(
        self, detail: str, excess_ms: float, work: QueuedWork | None
    ) -> QueueRefused:
        if work is None:
            return QueueRefused(detail, excess_ms)
        self.refusals += 1
        hint_ms = retry_after_ms(excess_ms, work.priority, self.refusals)
        return QueueRefused(detail, excess_ms, hint_ms)


def make_work_queue(connections: int) -> WorkQueue:
    """Return an idle queue for `connections` connections."""
    return WorkQueue(connections)
