"""Plays arrivals of work at the queue of one member, without sockets or tasks."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable

import attrs

from radishtrack.admission.fair_queue import Queued, QueueRefused, Started
from radishtrack.admission.permit_queue import PermitQueue
from radishtrack.pooler.scheduling.work import Work, WorkKind

OBJECTIVE_MS = {0: 153.0, 1: 253.0, 2: 1_003.0}
TIMEOUT_MS = 900.0


@attrs.frozen(order=True)
class Arrival:
    """One operation of a caller."""

    at_ms: float
    organisation: str
    priority: int
    hold_ms: float
    kind: WorkKind = attrs.field(default=WorkKind.READ, order=False)


@attrs.define
class Outcomes:
    """What callers get."""

    in_time: dict[Arrival, float] = attrs.field(factory=dict)
    """Waits of the operations that ended within their objective."""
    waits: dict[Arrival, float] = attrs.field(factory=dict)
    refused: dict[Arrival, float] = attrs.field(factory=dict)
    """Time from the arrival to the refusal."""
    most_running: int = 0

    def share(self, arrivals: list[Arrival], **chosen: object) -> float:
        """Return the fraction in time among arrivals with these attributes."""
        due = [
            a for a in arrivals if all(getattr(a, k) == v for k, v in chosen.items())
        ]
        return sum(a in self.in_time for a in due) / len(due)


def poisson(
    source: random.Random,
    organisation: str,
    priority: int,
    per_s: float,
    hold_ms: float,
    *,
    end_ms: float = 10_000.0,
    kind: WorkKind = WorkKind.READ,
) -> Iterable[Arrival]:
    """Return random arrivals with hold times that vary by a factor of 3."""
    at_ms = 0.0
    while (at_ms := at_ms + source.expovariate(per_s / 1000)) < end_ms:
        hold = hold_ms * source.uniform(0.5, 1.5)
        yield Arrival(at_ms, organisation, priority, hold, kind)


def play(queue: PermitQueue, arrivals: list[Arrival]) -> Outcomes:
    """Offer all arrivals; return what their callers get."""
    outcomes = Outcomes()
    events: list[tuple[float, int, str, object]] = []
    count = 0
    has_check = False
    waiting: dict[int, tuple[Arrival, object]] = {}
    started: dict[int, Arrival] = {}

    def push(at_ms: float, kind: str, subject: object) -> None:
        nonlocal count
        count += 1
        heapq.heappush(events, (at_ms, count, kind, subject))

    def start(arrival: Arrival, ticket: int, now_ms: float) -> None:
        # FairQueue numbers only waiting requests, so the event's number is the key.
        outcomes.waits[arrival] = now_ms - arrival.at_ms
        started[count + 1] = arrival
        push(now_ms + arrival.hold_ms, "end", (count + 1, ticket))
        outcomes.most_running = max(outcomes.most_running, queue.running)

    for arrival in sorted(arrivals):
        push(arrival.at_ms, "arrive", arrival)
    while events:
        now_ms, _, kind, subject = heapq.heappop(events)
        if isinstance(subject, Arrival):
            deadline_ms = now_ms + min(TIMEOUT_MS, 3 * OBJECTIVE_MS[subject.priority])
            until_ms = now_ms + OBJECTIVE_MS[subject.priority]
            work = Work(subject.priority, until_ms, subject.kind)
            decision = queue.offer(subject.organisation, now_ms, deadline_ms, work)
            match decision:
                case Started(ticket):
                    start(subject, ticket, now_ms)
                case Queued(waiter):
                    waiting[waiter.ticket] = (subject, waiter)
                    push(waiter.deadline_ms, "deadline", waiter.ticket)
                case QueueRefused():
                    outcomes.refused[subject] = 0.0
        elif kind == "end":
            assert isinstance(subject, tuple)
            number, ticket = subject
            arrival = started.pop(number)
            queue.finish(arrival.organisation, arrival.hold_ms, ticket)
            if now_ms <= arrival.at_ms + OBJECTIVE_MS[arrival.priority]:
                outcomes.in_time[arrival] = outcomes.waits[arrival]
        elif kind == "deadline" and subject in waiting:
            assert isinstance(subject, int)
            arrival, waiter = waiting.pop(subject)
            outcomes.refused[arrival] = now_ms - arrival.at_ms
            queue.cancel(waiter)  # type: ignore[arg-type]
        for waiter, _refused in queue.remove_hopeless(now_ms):
            arrival, _ = waiting.pop(waiter.ticket)
            outcomes.refused[arrival] = now_ms - arrival.at_ms
        while (next_waiter := queue.next_waiter(now_ms)) is not None:
            arrival, _ = waiting.pop(next_waiter.ticket)
            start(arrival, next_waiter.ticket, now_ms)
        has_check = has_check and kind != "check"
        if queue.waiting and queue.check_interval_ms and not has_check:
            push(now_ms + queue.check_interval_ms, "check", None)
            has_check = True
    assert not waiting and not started
    return outcomes
