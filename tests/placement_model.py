"""Model of nodes that send reads to the members of one group, without a network."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable

import attrs

from radishtrack.pooler.catalog import ReadClass
from radishtrack.pooler.member_ranking import Candidate, rank_candidates
from radishtrack.pooler.placement.capacity import MemberCapacity, make_member_capacity
from radishtrack.pooler.placement.choice import estimate_cost, order_estimates
from radishtrack.pooler.placement.service_times import ServiceTimes, StatementKind

READ = (StatementKind.READ, ReadClass.SESSION)
CONNECT_MS = 12.0
FAILURE_MS = 2.0
REPORT_MS = 1_000.0
MAX_REPORT_AGE_MS = 1_000.0
MAX_ATTEMPTS = 2
CONNECTED_SHARE = 0.3
SMOOTHING = 0.1

Factor = Callable[[int, float], float]
"""Factor of the service time, by statements in service and time in milliseconds."""


def be_steady(_running: int, _now_ms: float) -> float:
    return 1.0


def never_fail(_now_ms: float) -> float:
    return 0.0


@attrs.define(eq=False)
class ModelMember:
    """A member with slots and a queue."""

    name: str
    zone: int
    slots: int = 6
    factor: Factor = be_steady
    failure_share: Callable[[float], float] = never_fail
    running: int = 0
    queue: deque[Attempt] = attrs.field(factory=deque)
    served: int = 0
    report: int = 0

    @property
    def busy(self) -> int:
        return self.running + len(self.queue)


@attrs.define(eq=False)
class View:
    """What a node knows about a member."""

    member: ModelMember
    capacity: MemberCapacity
    service_ms: float = 10.0
    open: int = 0
    waiting: deque[Attempt] = attrs.field(factory=deque)


@attrs.define(eq=False)
class Attempt:
    """A read at a member, and the members for its retry."""

    view: View
    others: list[View]
    arrived_ms: float
    sent_ms: float = 0.0
    needs_connection: bool = False
    attempts: int = 1


@attrs.define
class Outcome:
    """What callers got; times in milliseconds."""

    times: list[float]
    failed: int
    remote: int
    served: dict[str, int]

    def mean_ms(self) -> float:
        return sum(self.times) / len(self.times)

    def share_within(self, objective_ms: float) -> float:
        good = sum(time <= objective_ms for time in self.times)
        return good / (len(self.times) + self.failed)

    def busiest(self) -> float:
        return max(self.served.values()) * len(self.served) / sum(self.served.values())

    def remote_share(self) -> float:
        return self.remote / sum(self.served.values())


@attrs.define(eq=False)
class Model:
    """Nodes and members; all nodes see the same reports, which grow old."""

    members: list[ModelMember]
    rate_per_s: float
    learns: bool
    nodes: int = 30
    mean_ms: float = 28.0
    connections: int = 2
    from_ms: float = 10_000.0
    until_ms: float = 40_000.0
    seed: int = 1

    def run(self) -> Outcome:
        draw = random.Random(self.seed)
        views = [self._make_views() for _ in range(self.nodes)]
        outcome = Outcome([], 0, 0, {member.name: 0 for member in self.members})
        order = itertools.count()
        events: list[tuple[float, int, Callable[[float], None]]] = []

        def at(time_ms: float, act: Callable[[float], None]) -> None:
            heapq.heappush(events, (time_ms, next(order), act))

        def arrive(now_ms: float) -> None:
            at(now_ms + draw.expovariate(self.rate_per_s / 1000), arrive)
            node = draw.randrange(self.nodes)
            ranked = self._rank(views[node], node % 3, now_ms, draw)
            enter(Attempt(ranked[0], ranked[1:], now_ms), now_ms)
            if now_ms >= self.from_ms:
                outcome.served[ranked[0].member.name] += 1
                outcome.remote += ranked[0].member.zone != node % 3

        def enter(attempt: Attempt, now_ms: float) -> None:
            view = attempt.view
            if view.open >= self.connections:
                view.waiting.append(attempt)
                return
            view.open += 1
            attempt.sent_ms = now_ms
            attempt.needs_connection = draw.random() > CONNECTED_SHARE
            view.member.queue.append(attempt)
            serve(view.member, now_ms)

        def serve(member: ModelMember, now_ms: float) -> None:
            while member.queue and member.running < member.slots:
                attempt = member.queue.popleft()
                member.running += 1
                fails = draw.random() < member.failure_share(now_ms)
                time_ms = FAILURE_MS if fails else self._draw_service(draw)
                time_ms *= member.factor(member.running, now_ms)
                if attempt.needs_connection:
                    time_ms += CONNECT_MS
                at(now_ms + time_ms, make_end(attempt, fails))

        def make_end(attempt: Attempt, fails: bool) -> Callable[[float], None]:
            def end(now_ms: float) -> None:
                view, member = attempt.view, attempt.view.member
                member.running -= 1
                in_flight = view.open + len(view.waiting)
                elapsed_ms = now_ms - attempt.sent_ms
                view.open -= 1
                view.service_ms += SMOOTHING * (elapsed_ms - view.service_ms)
                if fails:
                    view.capacity.record_failure(READ, now_ms)
                else:
                    view.capacity.record_response(READ, elapsed_ms, in_flight, now_ms)
                serve(member, now_ms)
                if view.waiting:
                    enter(view.waiting.popleft(), now_ms)
                if fails and attempt.attempts < MAX_ATTEMPTS and attempt.others:
                    attempt.attempts += 1
                    attempt.view, *attempt.others = attempt.others
                    enter(attempt, now_ms)
                elif attempt.arrived_ms >= self.from_ms:
                    outcome.failed += fails
                    if not fails:
                        outcome.times.append(now_ms - attempt.arrived_ms)

            return end

        def report(now_ms: float) -> None:
            at(now_ms + REPORT_MS, report)
            for member in self.members:
                make_delivery(member, member.busy, now_ms)

        def make_delivery(member: ModelMember, busy: int, taken_ms: float) -> None:
            def deliver(_now_ms: float) -> None:
                for view in itertools.chain(*views):
                    if view.member is member:
                        view.capacity.observe_load(busy, taken_ms)

            at(taken_ms + draw.random() * MAX_REPORT_AGE_MS, deliver)

        at(0.0, report)
        at(1.0, arrive)
        while events[0][0] < self.until_ms:
            now_ms, _, act = heapq.heappop(events)
            act(now_ms)
        return outcome

    def _make_views(self) -> list[View]:
        times = ServiceTimes()
        return [
            View(member, make_member_capacity(member.slots, times))
            for member in self.members
        ]

    def _draw_service(self, draw: random.Random) -> float:
        tail = 5.0 if draw.random() < 0.01 else 1.0
        return self.mean_ms * tail * draw.lognormvariate(-0.245, 0.7)

    def _rank(
        self, views: list[View], zone: int, now_ms: float, draw: random.Random
    ) -> list[View]:
        candidates = [
            Candidate(
                member=view.member.name,
                is_local=view.member.zone == zone,
                is_primary=False,
                has_connection=True,
                in_flight=view.open + len(view.waiting),
                slots=view.member.slots,
                service_ms=view.service_ms,
            )
            for view in views
        ]
        if self.learns:
            usual_ms = views[0].capacity.times.usual_ms(READ)
            fastest = min(view.capacity.slowness(now_ms) for view in views)
            estimates = [
                estimate_cost(
                    candidate,
                    view.capacity,
                    connections=self.connections,
                    usual_ms=usual_ms,
                    slowness=view.capacity.slowness(now_ms),
                    fastest=fastest,
                    now_ms=now_ms,
                )
                for candidate, view in zip(candidates, views, strict=True)
            ]
            age_ms = max(view.capacity.report_age_ms(now_ms) for view in views)
            age_ms = age_ms if math.isfinite(age_ms) else 2_000.0
            names = order_estimates(estimates, age_ms, draw.random)
        else:
            names = rank_candidates(candidates)
        by_name = {view.member.name: view for view in views}
        return [by_name[name] for name in names]
