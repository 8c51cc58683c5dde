"""Runs the quickest fault scenarios on real processes, and tests their evaluation.

The whole set runs with ``make faults``. Each scenario compares the outcomes that were
reported to clients with the rows of the members.
"""

from __future__ import annotations

import time

import pytest

from radishtrack_standins.faults.__main__ import run_scenario
from radishtrack_standins.faults.bookings import compute_longest_gap_s
from radishtrack_standins.faults.rates import RequestInterval, find_worst_excess
from radishtrack_standins.faults.report import Report
from radishtrack_standins.faults.scenarios import SCENARIOS

SEED = 7
QUICK_SCENARIOS = (
    "kill primary",
    "death in a result",
    "lost commit answers",
)


@pytest.mark.parametrize("name", QUICK_SCENARIOS)
def test_guarantees_hold(name: str) -> None:
    """A fault must not make a proxy report an outcome that the rows contradict."""
    report = Report()
    scenario = next(each for each in SCENARIOS if each.name == name)
    run_scenario(scenario, report, SEED)
    failed = [
        report.get(number).format_line()
        for number in scenario.guarantees
        if not report.get(number).passed
    ]
    assert failed == []


def test_guarantee_without_requests_fails() -> None:
    """A guarantee that no request tested must not pass."""
    assert not Report().get(7).passed


def test_figure_over_its_limit_fails() -> None:
    """A gap over 7 s must fail even if no problem was recorded."""
    report = Report(scenario="kill primary")
    report.add_requests(2, 10)
    report.add_figure(2, "gap", 6900.0, "ms", 7000.0)
    assert report.get(2).passed
    report.add_figure(2, "gap", 7100.0, "ms", 7000.0)
    assert not report.get(2).passed


def test_burst_inside_the_run_is_found() -> None:
    """A low rate before and after a burst must not hide its excess."""
    slow = [RequestInterval(float(second), second + 0.01) for second in range(10)]
    burst = [RequestInterval(5.0 + n / 1000, 5.01 + n / 1000) for n in range(20)]
    assert find_worst_excess(slow, 2.0, 10)[0] <= 0
    assert find_worst_excess(slow + burst, 2.0, 10)[0] > 9


def test_gap_counts_from_the_fault_to_the_end() -> None:
    """A service that does not return must show as a gap up to the end of the run."""
    now = time.monotonic()
    assert compute_longest_gap_s([now - 1, now + 1], now, now + 9) == pytest.approx(8.0)
