"""Guards the bound of a rate, and how much is still admitted, through each fault."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from radishtrack.rates.messages import RateLimit, make_rate_limit
from rate_world import RateWorld

scenarios("features/rate_faults.feature")

STEP_MS = 20.0


@pytest.fixture
def admitted() -> dict[str, float]:
    """Return the part of the original rate admitted in the last phase."""
    return {}


@given(
    parsers.parse(
        "{count:d} holders with drifting clocks and {rate:g} requests a second, "
        "burst {burst:d}"
    ),
    target_fixture="world",
)
def make_world(count: int, rate: float, burst: int) -> RateWorld:
    return RateWorld(
        make_rate_limit(rate, burst), holders=count, speeds=(1.001, 0.999, 1.0)
    )


@given("demand above the rate for 10 s")
def warm_up(world: RateWorld) -> None:
    world.run(10_000, STEP_MS)


@when(parsers.parse('the fault "{fault}" lasts {fault_s:d} s'))
def run_fault(
    world: RateWorld, admitted: dict[str, float], fault: str, fault_s: int
) -> None:
    rate = world.limit.rate_per_second
    start_fault(world, fault)
    count = world.run(fault_s * 1000, STEP_MS)
    admitted["percent"] = 100 * count / fault_s / rate
    admitted["rate"] = rate


@when("the fault ends")
def end_fault(world: RateWorld, admitted: dict[str, float]) -> None:
    world.paused.clear()
    world.cut.clear()
    world.platform_cut.clear()
    world.platform_down = False
    world.loss = world.duplication = 0.0
    world.longest_delay_ms = 4.0
    admitted["percent"] = 100 * world.run(15_000, STEP_MS) / 15 / admitted["rate"]


@then(parsers.parse("at least {least:d}% of the rate was admitted during the fault"))
@then(
    parsers.parse("at least {least:d}% of the rate is admitted in the following 15 s")
)
def check_service(admitted: dict[str, float], least: int) -> None:
    assert admitted["percent"] >= least


@then("the bound held on every interval")
def check_bound(world: RateWorld) -> None:
    world.assert_bound()


def replace_holder(world: RateWorld, holder: str) -> None:
    world.remove(holder)
    world.add_holder()


def drain_holder(world: RateWorld, holder: str) -> None:
    world.ask(holder, world.holders[holder].leave(world.now(holder)))
    world.demand[holder] = 0


def replace_allocator(world: RateWorld, allocator: str) -> None:
    world.remove(allocator)
    world.add_allocator()


def scale_limit(world: RateWorld, numerator: int, divisor: int) -> None:
    old = world.limit
    world.set_limit(
        RateLimit(
            old.rate_micro * numerator // divisor, old.burst * numerator // divisor
        )
    )


def start_fault(world: RateWorld, fault: str) -> None:
    allocator = world.active_allocator()
    assert allocator is not None
    holder = min(world.holders)
    faults: dict[str, Callable[[], object]] = {
        "nothing": lambda: None,
        "allocator dies": lambda: replace_allocator(world, allocator),
        "allocator is paused": lambda: world.paused.add(allocator),
        "allocator loses platform": lambda: world.platform_cut.add(allocator),
        "allocator releases": lambda: world.release(allocator),
        "platform outage": lambda: setattr(world, "platform_down", True),
        "one holder is cut off": lambda: world.cut.add(holder),
        "one holder is paused": lambda: world.paused.add(holder),
        "one holder is replaced": lambda: replace_holder(world, holder),
        "one holder drains": lambda: drain_holder(world, holder),
        "a holder joins": world.add_holder,
        "half of messages lost": lambda: setattr(world, "loss", 0.5),
        "messages duplicated": lambda: setattr(world, "duplication", 1.0),
        "messages delayed to 300 ms": lambda: setattr(world, "longest_delay_ms", 300),
        "rate is lowered to a fifth": lambda: scale_limit(world, 1, 5),
        "rate is raised five times": lambda: scale_limit(world, 5, 1),
    }
    faults[fault]()
