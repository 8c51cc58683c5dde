"""Cost of an admission decision and memory per organisation, as JSON lines.

Run with ``python benchmarks/admission.py``.
"""

from __future__ import annotations

import gc
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Final

from radishtrack.admission.admit import AwaitTokens, Proceed, decide_admission
from radishtrack.admission.fair_queue import (
    FairQueue,
    Queued,
    Started,
    make_fair_queue,
)
from radishtrack.rates.messages import Stamp, TokenGrant, TokenRequest, make_rate_limit
from radishtrack.rates.share import ShareState, make_share_state

ORGANISATIONS: Final = (8, 1000)
DECISIONS: Final = 50_000
REPEATS: Final = 5
CONNECTIONS: Final = 16
DEADLINE_MS: Final = 1e9
INTERVAL_MS: Final = 0.05


def make_shares(count: int) -> list[ShareState]:
    """Return the shares of `count` organisations at one holder."""
    limit = make_rate_limit(1_000.0, 1_000)
    return [make_share_state(f"org{i}", "holder", limit, 0.0) for i in range(count)]


def make_grant(request: TokenRequest) -> TokenGrant:
    """Return a grant of all requested tokens."""
    return TokenGrant(
        request.organisation,
        request.holder,
        request.request_id,
        Stamp(1, request.request_id, 0.0),
        request.token_count,
        500.0,
    )


def run_admitted(count: int) -> float:
    """Return microseconds per admitted statement, including token requests."""
    shares = make_shares(count)
    queue = make_fair_queue(CONNECTIONS)
    queue.set_weights({share.organisation: 1_000.0 for share in shares})
    now_ms = 0.0
    begin = time.perf_counter_ns()
    for index in range(DECISIONS):
        now_ms += INTERVAL_MS
        share = shares[index % count]
        decision = decide_admission(share, queue, now_ms, DEADLINE_MS)
        if isinstance(decision, AwaitTokens) and decision.request is not None:
            share.on_grant(make_grant(decision.request), now_ms)
            decision = decide_admission(
                share, queue, now_ms, DEADLINE_MS, is_retry=True
            )
        assert isinstance(decision, Proceed)
        if decision.request is not None:
            share.on_grant(make_grant(decision.request), now_ms)
        assert isinstance(queue.offer(share.organisation, now_ms, DEADLINE_MS), Started)
        queue.finish(share.organisation, 1.0)
    return (time.perf_counter_ns() - begin) / DECISIONS / 1_000


def run_refused(count: int) -> float:
    """Return microseconds per decision while each organisation is over its rate."""
    shares = make_shares(count)
    queue = make_fair_queue(CONNECTIONS)
    for share in shares:
        share.refused_until_ms = DEADLINE_MS
    begin = time.perf_counter_ns()
    for index in range(DECISIONS):
        decide_admission(shares[index % count], queue, index * INTERVAL_MS, DEADLINE_MS)
    return (time.perf_counter_ns() - begin) / DECISIONS / 1_000


def run_queued(count: int) -> float:
    """Return microseconds per queued statement; all organisations have waiting ones."""
    queue = make_fair_queue(CONNECTIONS)
    names = [f"org{index}" for index in range(count)]
    queue.set_weights(dict.fromkeys(names, 1_000.0))
    running = [names[index % count] for index in range(CONNECTIONS)]
    for name in running:
        assert isinstance(queue.offer(name, 0.0, DEADLINE_MS), Started)
    for name in names:
        assert isinstance(queue.offer(name, 0.0, DEADLINE_MS), Queued)
    begin = time.perf_counter_ns()
    for index in range(DECISIONS):
        now_ms = index * INTERVAL_MS
        queue.offer(names[index % count], now_ms, DEADLINE_MS)
        queue.finish(running[index % CONNECTIONS], 1.0)
        waiter = queue.next_waiter(now_ms)
        assert waiter is not None
        running[index % CONNECTIONS] = waiter.organisation
    return (time.perf_counter_ns() - begin) / DECISIONS / 1_000


def measure_memory(count: int) -> float:
    """Return bytes per organisation for its share, weight and one waiting request."""

    def build() -> tuple[list[ShareState], FairQueue]:
        shares = make_shares(count)
        queue = make_fair_queue(CONNECTIONS)
        queue.set_weights({share.organisation: 1_000.0 for share in shares})
        for share in shares:
            request = share.make_request(0.0, 10)
            share.on_grant(make_grant(request), 0.0)
        for share in shares:
            queue.offer(share.organisation, 0.0, DEADLINE_MS)
        return shares, queue

    gc.collect()
    tracemalloc.start()
    state = build()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return used / count


def main() -> None:
    """Print one line for each measurement, with the median and range of the repeats."""
    runs: dict[str, Callable[[int], float]] = {
        "admitted": run_admitted,
        "refused": run_refused,
        "queued": run_queued,
    }
    for count in ORGANISATIONS:
        for name, run in runs.items():
            costs_us = [run(count) for _ in range(REPEATS)]
            line = {
                "benchmark": name,
                "organisations": count,
                "decisions": DECISIONS,
                "microseconds_median": round(statistics.median(costs_us), 2),
                "microseconds_least": round(min(costs_us), 2),
                "microseconds_most": round(max(costs_us), 2),
            }
            print(json.dumps(line))
        line = {
            "benchmark": "memory",
            "organisations": count,
            "bytes_per_organisation": round(measure_memory(count)),
        }
        print(json.dumps(line))


if __name__ == "__main__":
    main()
