"""Guards against refusals within the rate when demand moves between holders.

``pytest -s tests/test_rate_refusals.py`` prints the fraction of the requests within
the rate (those that one central bucket would admit) that is refused, with tokens
requested on demand and with equal fixed shares. Requests wait for up to `MAX_WAIT_MS`.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

import attrs
import pytest

from radishtrack.rates.bucket import Bucket, make_empty_bucket
from radishtrack.rates.messages import make_rate_limit
from radishtrack.rates.share import Admitted, NeedTokens
from rate_simulation import RateSimulation

HOLDERS = 6
RATE = 100.0
BURST = 50
LOAD = 0.8
MAX_WAIT_MS = 200.0
DURATION_MS = 18_000
WARM_UP_MS = 3_000

Pattern = Callable[[float, random.Random], int]


def steady(now_ms: float, source: random.Random) -> int:
    return source.randrange(HOLDERS)


def moving(now_ms: float, source: random.Random) -> int:
    return int(now_ms // 2_000) % HOLDERS


def skewed(now_ms: float, source: random.Random) -> int:
    return 0 if source.random() < 0.7 else source.randrange(HOLDERS)


@attrs.define
class Queues:
    """Arrival times of the requests that wait at each holder."""

    pattern: Pattern
    source: random.Random = attrs.field(factory=lambda: random.Random(11))
    waiting: list[deque[float]] = attrs.field(
        factory=lambda: [deque() for _ in range(HOLDERS)]
    )
    refused: int = 0
    within_rate: int = 0
    next_ms: float = 0.0
    central: Bucket = attrs.field(
        factory=lambda: make_empty_bucket(int(RATE * 1e6), BURST, -WARM_UP_MS)
    )

    def arrive(self, now_ms: float) -> None:
        """Add the arrivals up to `now_ms`; refuse those that waited `MAX_WAIT_MS`."""
        while self.next_ms <= now_ms:
            self.waiting[self.pattern(self.next_ms, self.source)].append(self.next_ms)
            self.central.refill(self.next_ms)
            if self.central.available():
                self.central.consume(1)
                self.within_rate += 1
            self.next_ms += self.source.expovariate(RATE * LOAD / 1_000.0)
        for queue in self.waiting:
            while queue and queue[0] < now_ms - MAX_WAIT_MS:
                queue.popleft()
                self.refused += 1

    def refused_fraction(self) -> float:
        """Return the fraction of the requests within the rate that were refused."""
        return self.refused / self.within_rate


class DemandSimulation(RateSimulation):
    """Simulation whose holders admit the arrivals of a pattern."""

    def __init__(self, queues: Queues) -> None:
        limit = make_rate_limit(RATE, BURST)
        super().__init__(limit, holders=HOLDERS, speeds=(1.0, 1.001, 0.999))
        self.queues = queues
        self.start_ms = float("inf")
        self.names = sorted(self.holders)

    def step_holder(self, name: str) -> None:
        """Admit the requests that wait at one holder."""
        now_ms, holder = self.now(name), self.holders[name]
        self.read(name, now_ms)
        request = holder.tick(now_ms)
        if request is not None:
            self.ask(name, request)
        queue = self.queues.waiting[self.names.index(name)]
        if name == self.names[0] and self.true_ms >= self.start_ms:
            self.queues.arrive(self.true_ms - self.start_ms)
        while queue:
            admission = holder.try_admit(now_ms)
            if isinstance(admission, Admitted | NeedTokens) and admission.request:
                self.ask(name, admission.request)
            if not isinstance(admission, Admitted):
                return
            self.oracle.admit(self.true_ms)
            queue.popleft()


def measure_requested_tokens(pattern: Pattern) -> float:
    simulation = DemandSimulation(Queues(pattern))
    simulation.run(WARM_UP_MS, 2.0)
    simulation.start_ms = simulation.true_ms
    simulation.run(DURATION_MS, 2.0)
    simulation.assert_bound()
    return simulation.queues.refused_fraction()


def measure_fixed_shares(pattern: Pattern) -> float:
    queues = Queues(pattern)
    rate_micro, burst = int(RATE * 1e6) // HOLDERS, BURST // HOLDERS
    buckets = [
        make_empty_bucket(rate_micro, burst, -WARM_UP_MS) for _ in range(HOLDERS)
    ]
    for now_ms in range(0, DURATION_MS, 2):
        queues.arrive(float(now_ms))
        for bucket, queue in zip(buckets, queues.waiting, strict=True):
            bucket.refill(float(now_ms))
            while queue and bucket.available():
                bucket.consume(1)
                queue.popleft()
    return queues.refused_fraction()


@pytest.mark.parametrize(
    ("pattern", "max_requested", "min_fixed"),
    [(steady, 0.01, 0.0), (moving, 0.01, 0.5), (skewed, 0.01, 0.3)],
)
def test_requested_tokens_follow_the_demand(
    pattern: Pattern, max_requested: float, min_fixed: float
) -> None:
    requested = measure_requested_tokens(pattern)
    fixed = measure_fixed_shares(pattern)
    print(f"\n{pattern.__name__}: refused {requested:.4f}, fixed shares {fixed:.4f}")
    assert requested <= max_requested
    assert fixed >= min_fixed
