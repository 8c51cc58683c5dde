"""CPU time of the decisions on one statement that waits for a scarce connection.

Run: PYTHONPATH=src .venv/bin/python benchmarks/work_queue.py
"""

from __future__ import annotations

import time

from radishtrack.admission.fair_queue import Queued
from radishtrack.pooler.scheduling.work import Work, WorkKind
from radishtrack.pooler.scheduling.work_queue import make_work_queue

SIZES = (1, 10, 100, 1_000, 10_000)
"""Numbers of waiting statements."""
ORGANISATIONS = 75
PRIORITIES = 3
CONNECTIONS = 4
ROUNDS = 2_000
REPEATS = 5
DEADLINE_MS = 1e9


def measure(waiting: int) -> tuple[float, float]:
    """Return mean and greatest microseconds of the decisions on one statement.

    These are its arrival, the check for work that can't start, the end of other work,
    and the choice of the next. The greatest is that of the best repetition, since other
    processes use the machine too.
    """
    means, greatest = [], []
    for _ in range(REPEATS):
        queue = make_work_queue(CONNECTIONS)
        queue.max_queue_length = 2 * max(SIZES)
        for number in range(waiting + CONNECTIONS):
            work = Work(number % PRIORITIES, DEADLINE_MS, WorkKind.READ)
            queue.offer(f"o{number % ORGANISATIONS}", 0.0, DEADLINE_MS, work)
        costs = []
        for number in range(ROUNDS):
            now_ms = number * 0.01
            work = Work(number % PRIORITIES, DEADLINE_MS, WorkKind.READ)
            ticket, running = next(iter(queue.started.items()))
            started_ns = time.perf_counter_ns()
            decision = queue.offer(
                f"o{number % ORGANISATIONS}", now_ms, DEADLINE_MS, work
            )
            tuple(queue.remove_hopeless(now_ms))
            queue.finish(running.organisation, 12.0, ticket)
            queue.next_waiter(now_ms)
            costs.append((time.perf_counter_ns() - started_ns) / 1_000)
            assert isinstance(decision, Queued)
        means.append(sum(costs) / len(costs))
        costs.sort()
        greatest.append(costs[int(0.99 * len(costs))])
    return min(means), min(greatest)


if __name__ == "__main__":
    print("waiting  mean us  99th percentile us")
    for waiting in SIZES:
        mean_us, high_us = measure(waiting)
        print(f"{waiting:7} {mean_us:8.1f} {high_us:19.1f}")
