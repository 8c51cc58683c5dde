"""Checks the bound of the rate limit under any mix of faults.

On every interval, all holders together admit at most burst + rate x length.
"""

from __future__ import annotations

import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from radishtrack.rates.messages import make_rate_limit

# Hypothesis derives the seed of this test from the source of `RateMachine`, so the
# simulation keeps its earlier name there.
from rate_simulation import RateSimulation as RateWorld

LIMITS = st.sampled_from(
    [
        make_rate_limit(100, 50),
        make_rate_limit(100, 10),
        make_rate_limit(20, 40),
        make_rate_limit(1, 1),
        make_rate_limit(0.1, 1),
        make_rate_limit(5, 3),
        make_rate_limit(4, 300),
    ]
)
SPEEDS = st.sampled_from([(1.0,), (1.001, 0.999), (0.999, 1.001, 1.0), (1.001,)])
PICK = st.integers(0, 5)


class RateMachine(RuleBasedStateMachine):
    """Faults in any order on two allocators and some holders."""

    @initialize(
        limit=LIMITS,
        speeds=SPEEDS,
        seed=st.integers(0, 9999),
        holders=st.integers(1, 4),
    )
    def start(
        self, limit: object, speeds: tuple[float, ...], seed: int, holders: int
    ) -> None:
        self.world = RateWorld(limit, seed=seed, holders=holders, speeds=speeds)
        self.world.run(3000, 100)

    def pick(self, names: object, index: int) -> str:
        ordered = sorted(names)
        return ordered[index % len(ordered)]

    def nodes(self) -> list[str]:
        return [*self.world.allocators, *self.world.holders]

    @rule(duration_ms=st.sampled_from([60, 400, 3000]), tokens=st.sampled_from([1, 20]))
    def hoard(self, duration_ms: float, tokens: int) -> None:
        """Collect tokens without use, so that an unsound token shows in a burst."""
        self.world.hoarded = tokens
        self.world.run(duration_ms, 20)

    @rule()
    def burst(self) -> None:
        self.world.hoarded = 0
        old, self.world.demand = (
            self.world.demand,
            dict.fromkeys(self.world.holders, 200),
        )
        self.world.run(60, 10)
        self.world.demand = {name: old.get(name, 5) for name in self.world.holders}

    @rule(run=st.sampled_from([(20, 10), (600, 10), (2000, 10), (16000, 50)]))
    def run_for(self, run: tuple[float, float]) -> None:
        self.world.run(*run)

    @rule(duration_ms=st.sampled_from([450, 3000, 10_100, 15_600]))
    def pass_time_while_all_are_paused(self, duration_ms: float) -> None:
        self.world.true_ms += duration_ms

    @rule(index=PICK, kind=st.sampled_from(["paused", "cut", "platform_cut"]))
    def stop_node(self, index: int, kind: str) -> None:
        getattr(self.world, kind).add(self.pick(self.nodes(), index))

    @rule(kind=st.sampled_from(["paused", "cut", "platform_cut"]))
    def heal(self, kind: str) -> None:
        getattr(self.world, kind).clear()
        self.world.platform_down = False

    @rule()
    def stop_platform(self) -> None:
        self.world.platform_down = True

    @rule(
        loss=st.sampled_from([0.0, 0.3]),
        duplication=st.sampled_from([0.0, 0.5]),
        delay_ms=st.sampled_from([4.0, 300.0, 5000.0]),
    )
    def change_network(self, loss: float, duplication: float, delay_ms: float) -> None:
        self.world.loss = loss
        self.world.duplication = duplication
        self.world.longest_delay_ms = delay_ms

    @rule(index=PICK)
    def release_lease(self, index: int) -> None:
        self.world.release(self.pick(self.world.allocators, index))

    @rule(index=PICK)
    def replace_node(self, index: int) -> None:
        name = self.pick(self.nodes(), index)
        is_allocator = name in self.world.allocators
        self.world.remove(name)
        (self.world.add_allocator if is_allocator else self.world.add_holder)()

    @precondition(lambda self: len(self.world.holders) < 6)
    @rule()
    def add_holder(self) -> None:
        self.world.add_holder()

    @rule(index=PICK)
    def drain_holder(self, index: int) -> None:
        name = self.pick(self.world.holders, index)
        holder = self.world.holders[name]
        self.world.ask(name, holder.leave(self.world.now(name)))
        self.world.demand[name] = 0

    @rule(index=PICK, demand=st.sampled_from([0, 1, 30]))
    def change_demand(self, index: int, demand: int) -> None:
        name = self.pick(self.world.holders, index)
        if not self.world.holders[name].leaving:
            self.world.hoarded = 0
            self.world.demand[name] = demand

    @rule(limit=LIMITS)
    def change_limit(self, limit: object) -> None:
        self.world.set_limit(limit)

    @invariant()
    def bound_holds(self) -> None:
        if hasattr(self, "world"):
            self.world.assert_bound()

    @invariant()
    def standing_shares_stay_within_half(self) -> None:
        record = self.world.record if hasattr(self, "world") else None
        if record is None or record.released or not record.standing_shares:
            return
        newest = [s for s in record.standing_shares if s.rate_micro]
        assert sum(s.rate_micro for s in newest) <= record.limit.rate_micro / 2
        assert sum(s.burst for s in newest) <= math.floor(record.limit.burst / 2)


RateMachine.TestCase.settings = settings(
    max_examples=45, stateful_step_count=40, deadline=None, derandomize=True
)
TestRateClaim = RateMachine.TestCase
