"""Checks the bound of a rate, and how much is still admitted, during each fault."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from radishtrack.rates.messages import RateLimit, make_rate_limit
from rate_simulation import RateSimulation

scenarios("features/rate_faults.feature")

STEP_MS = 20.0


@pytest.fixture
def admitted() -> dict[str, float]:
    """Hold the original rate and the percentage of it admitted in the last phase."""
    return {}


@given(
    parsers.parse(
        "{count:d} holders with drifting clocks and {rate:g} requests a second, "
        "burst {burst:d}"
    ),
    target_fixture="simulation",
)
def make_simulation(count: int, rate: float, burst: int) -> RateSimulation:
    return RateSimulation(
        make_rate_limit(rate, burst), holders=count, speeds=(1.001, 0.999, 1.0)
    )


@given("demand above the rate for 10 s")
def warm_up(simulation: RateSimulation) -> None:
    simulation.run(10_000, STEP_MS)


@when(parsers.parse('the fault "{fault}" lasts {fault_s:d} s'))
def run_fault(
    simulation: RateSimulation, admitted: dict[str, float], fault: str, fault_s: int
) -> None:
    rate = simulation.limit.rate_per_second
    start_fault(simulation, fault)
    count = simulation.run(fault_s * 1000, STEP_MS)
    admitted["percent"] = 100 * count / fault_s / rate
    admitted["rate"] = rate


@when("the fault ends")
def end_fault(simulation: RateSimulation, admitted: dict[str, float]) -> None:
    simulation.paused.clear()
    simulation.cut.clear()
    simulation.platform_cut.clear()
    simulation.platform_down = False
    simulation.loss = simulation.duplication = 0.0
    simulation.longest_delay_ms = 4.0
    admitted["percent"] = 100 * simulation.run(15_000, STEP_MS) / 15 / admitted["rate"]


@then(parsers.parse("at least {least:d}% of the rate was admitted during the fault"))
@then(
    parsers.parse("at least {least:d}% of the rate is admitted in the following 15 s")
)
def check_service(admitted: dict[str, float], least: int) -> None:
    assert admitted["percent"] >= least


@then("the bound held on every interval")
def check_bound(simulation: RateSimulation) -> None:
    simulation.assert_bound()


def replace_holder(simulation: RateSimulation, holder: str) -> None:
    simulation.remove(holder)
    simulation.add_holder()


def drain_holder(simulation: RateSimulation, holder: str) -> None:
    simulation.ask(holder, simulation.holders[holder].leave(simulation.now(holder)))
    simulation.demand[holder] = 0


def replace_allocator(simulation: RateSimulation, allocator: str) -> None:
    simulation.remove(allocator)
    simulation.add_allocator()


def scale_limit(simulation: RateSimulation, numerator: int, divisor: int) -> None:
    old = simulation.limit
    simulation.set_limit(
        RateLimit(
            old.rate_micro * numerator // divisor, old.burst * numerator // divisor
        )
    )


def start_fault(simulation: RateSimulation, fault: str) -> None:
    allocator = simulation.active_allocator()
    assert allocator is not None
    holder = min(simulation.holders)
    faults: dict[str, Callable[[], object]] = {
        "nothing": lambda: None,
        "allocator dies": lambda: replace_allocator(simulation, allocator),
        "allocator is paused": lambda: simulation.paused.add(allocator),
        "allocator loses platform": lambda: simulation.platform_cut.add(allocator),
        "allocator releases": lambda: simulation.release(allocator),
        "platform outage": lambda: setattr(simulation, "platform_down", True),
        "one holder is cut off": lambda: simulation.cut.add(holder),
        "one holder is paused": lambda: simulation.paused.add(holder),
        "one holder is replaced": lambda: replace_holder(simulation, holder),
        "one holder drains": lambda: drain_holder(simulation, holder),
        "a holder joins": simulation.add_holder,
        "half of messages lost": lambda: setattr(simulation, "loss", 0.5),
        "messages duplicated": lambda: setattr(simulation, "duplication", 1.0),
        "messages delayed to 300 ms": lambda: setattr(
            simulation, "longest_delay_ms", 300
        ),
        "rate is lowered to a fifth": lambda: scale_limit(simulation, 1, 5),
        "rate is raised five times": lambda: scale_limit(simulation, 5, 1),
    }
    faults[fault]()
