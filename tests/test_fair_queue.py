"""Checks each organisation's share of scarce connections.

Also checks early refusal, and that no cancellation loses or duplicates a connection.
"""

from __future__ import annotations

import asyncio
import heapq
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtrack.admission.fair_queue import (
    FairQueue,
    Queued,
    QueueRefused,
    Started,
    make_fair_queue,
)
from radishtrack.admission.gate import make_gate
from radishtrack.clock import ManualTime, make_manual_clock, make_system_clock
from radishtrack.errors import Outcome, RequestError

SMALL = [f"small{index}" for index in range(7)]
SERVICE_MS = 10.0


def simulate(
    queue: FairQueue, rates: dict[str, float], service_ms: dict[str, float]
) -> tuple[dict[str, list[float]], dict[str, int]]:
    """Return the waits and refusals of Poisson arrivals over 20 s."""
    source = random.Random(7)
    events: list[tuple[float, int, str, str]] = []
    for name, rate in rates.items():
        time_ms = 0.0
        while (time_ms := time_ms + source.expovariate(rate / 1000.0)) < 20_000.0:
            heapq.heappush(events, (time_ms, len(events), "arrive", name))
    waits: dict[str, list[float]] = {name: [] for name in rates}
    refused = dict.fromkeys(rates, 0)
    arrived: dict[int, float] = {}

    def start(name: str, now_ms: float, wait_ms: float) -> None:
        waits[name].append(wait_ms)
        end_ms = now_ms + service_ms[name]
        heapq.heappush(events, (end_ms, source.getrandbits(40), "finish", name))

    while events:
        now_ms, _, kind, name = heapq.heappop(events)
        if kind == "arrive":
            decision = queue.offer(name, now_ms, now_ms + 500.0)
            if isinstance(decision, Started):
                start(name, now_ms, 0.0)
            elif isinstance(decision, Queued):
                arrived[decision.waiter.ticket] = now_ms
            else:
                refused[name] += 1
        else:
            queue.finish(name, service_ms[name])
        while (waiter := queue.next_waiter(now_ms)) is not None:
            wait_ms = now_ms - arrived.pop(waiter.ticket)
            start(waiter.organisation, now_ms, wait_ms)
    return waits, refused


@pytest.mark.parametrize("large_service_ms", [SERVICE_MS, 8 * SERVICE_MS])
def test_one_organisation_far_above_its_rate_does_not_delay_the_small_ones(
    large_service_ms: float,
) -> None:
    """Capacity is 800/s; seven organisations use 50/s each, one sends 800/s."""
    queue = make_fair_queue(8)
    queue.set_weights({**dict.fromkeys(SMALL, 50.0), "large": 50.0})
    rates = {**dict.fromkeys(SMALL, 50.0), "large": 800.0}
    service = {**dict.fromkeys(SMALL, SERVICE_MS), "large": large_service_ms}
    waits, refused = simulate(queue, rates, service)
    assert all(refused[name] == 0 for name in SMALL)
    assert max(max(waits[name]) for name in SMALL) <= 12 * SERVICE_MS
    assert refused["large"] > 0
    assert queue.waiting == queue.running == queue.waiting_quanta == 0
    assert not queue.queues


def test_service_follows_the_weights() -> None:
    queue = make_fair_queue(3)
    queue.set_weights({"a": 10.0, "b": 30.0})
    waits, _ = simulate(queue, {"a": 900.0, "b": 900.0}, {"a": 10.0, "b": 10.0})
    assert 2.7 <= len(waits["b"]) / len(waits["a"]) <= 3.3


def test_no_organisation_holds_every_connection() -> None:
    """Long transactions of one organisation must not block all others."""
    queue = make_fair_queue(7)
    kinds = [type(queue.offer("large", 0.0, 1e6)) for _ in range(10)]
    assert kinds.count(Started) == 6
    assert isinstance(queue.offer("small", 0.0, 1e6), Started)


def test_a_request_that_would_wait_past_its_deadline_is_refused_at_once() -> None:
    queue = make_fair_queue(1)
    queue.service_ms = 100.0
    assert isinstance(queue.offer("a", 0.0, 50.0), Started)
    assert isinstance(queue.offer("a", 0.0, 150.0), Queued)
    refusal = queue.offer("a", 0.0, 150.0)
    assert isinstance(refusal, QueueRefused)
    assert refusal.estimated_wait_ms == pytest.approx(200.0)


def test_queue_length_is_limited_for_each_organisation() -> None:
    queue = make_fair_queue(1, max_queue_length=5)
    decisions = [queue.offer("large", 0.0, 1e6) for _ in range(100)]
    assert sum(isinstance(decision, Queued) for decision in decisions) == 5
    assert isinstance(queue.offer("small", 0.0, 1e6), Queued)


@settings(max_examples=40, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["offer", "finish", "next", "cancel", "resize", "late"]),
            st.integers(0, 4),
        ),
        min_size=40,
        max_size=120,
    )
)
def test_counts_stay_exact_in_any_order_of_operations(
    steps: list[tuple[str, int]],
) -> None:
    queue = make_fair_queue(2, max_queue_length=4)
    now_ms, running, waiting = 0.0, [], {}
    for kind, index in steps:
        name = f"org{index}"
        if kind == "offer":
            decision = queue.offer(name, now_ms, now_ms + 50.0)
            if isinstance(decision, Started):
                running.append(name)
            elif isinstance(decision, Queued):
                waiting[decision.waiter.ticket] = decision.waiter
        elif kind == "finish" and running:
            queue.finish(running.pop(index % len(running)), float(index * 20))
        elif kind == "cancel" and waiting:
            ticket = sorted(waiting)[index % len(waiting)]
            queue.cancel(waiting.pop(ticket))
        elif kind == "resize":
            queue.set_connections(index)
        elif kind == "late":
            now_ms += 20.0 * index
        if kind != "offer":
            while (waiter := queue.next_waiter(now_ms)) is not None:
                assert waiter.deadline_ms > now_ms
                running.append(waiting.pop(waiter.ticket).organisation)
                assert len(running) <= queue.connections
        in_queue = {t for q in queue.queues.values() for t in q.waiting}
        assert in_queue <= set(waiting)
        assert queue.waiting == len(in_queue)
        assert queue.running == len(running)
        assert queue.waiting_quanta == sum(
            q.quantum for q in queue.queues.values() if q.waiting
        )
        if queue.running < queue.connections:
            assert not queue.ring


async def test_gate_survives_cancellation_at_any_moment() -> None:
    """A waiter that is cancelled just after it was granted a permit must release it."""
    gate = make_gate(make_system_clock(), 3)
    active = 0
    peak = 0

    async def use(name: str) -> None:
        nonlocal active, peak
        async with gate.connection(name, gate.clock.now_ms() + 5_000.0):
            active += 1
            peak = max(peak, active)
            try:
                await asyncio.sleep(0.0005)
            finally:
                active -= 1

    source = random.Random(3)
    tasks = [asyncio.create_task(use(f"org{i % 5}")) for i in range(150)]
    while not all(task.done() for task in tasks):
        source.choice(tasks).cancel()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    assert any(task.cancelled() for task in tasks)
    assert not all(task.cancelled() for task in tasks)
    assert peak <= 3
    assert (gate.queue.running, gate.queue.waiting, gate.futures) == (0, 0, {})


async def test_gate_releases_a_permit_granted_just_before_cancellation() -> None:
    gate = make_gate(make_manual_clock(ManualTime()), 1)
    held = gate.connection("a", 1e6)
    await held.__aenter__()

    async def use() -> None:
        async with gate.connection("b", 1e6):
            raise AssertionError("was cancelled")

    task = asyncio.create_task(use())
    await asyncio.sleep(0)
    await held.__aexit__(None, None, None)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert gate.queue.running == 0
    async with gate.connection("c", 1e6):
        assert gate.queue.running == 1


async def test_gate_refuses_at_the_deadline_as_not_run() -> None:
    gate = make_gate(make_system_clock(), 1)
    gate.queue.service_ms = 0.0
    async with gate.connection("a", gate.clock.now_ms() + 1000.0):
        with pytest.raises(RequestError) as caught:
            async with gate.connection("b", gate.clock.now_ms() + 5.0):
                raise AssertionError("must not start")
        assert gate.queue.waiting == 0
    assert caught.value.failure.outcome is Outcome.NOT_RUN
    assert gate.queue.running == 0


def test_a_waiter_past_its_deadline_is_not_started() -> None:
    queue = make_fair_queue(1)
    assert isinstance(queue.offer("a", 0.0, 50.0), Started)
    assert isinstance(queue.offer("a", 0.0, 50.0), Queued)
    queue.finish("a", 60.0)
    assert queue.next_waiter(60.0) is None
    assert queue.waiting == queue.running == 0
