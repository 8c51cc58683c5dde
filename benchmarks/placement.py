"""CPU time of the choice of a member in a scarce group and of recording a response.

Run: PYTHONPATH=src .venv/bin/python benchmarks/placement.py
"""

from __future__ import annotations

import timeit
from collections.abc import Callable

from pooler_decisions import make_access

from radishtrack.clock import ManualTime
from radishtrack.pooler.catalog import GroupSettings, ReadClass, Route
from radishtrack.pooler.placement.service_times import StatementKind
from radishtrack.session.position import Position

ROUNDS = 20_000
ROUTE = Route("d", "g", ReadClass.SESSION, 2_500, 800, 200, 2, False)
SCARCE_NODES = 98


def measure_us(decide: Callable[[], object]) -> float:
    """Return microseconds for one decision."""
    return min(timeit.repeat(decide, number=ROUNDS, repeat=3)) / ROUNDS * 1e6


def main() -> None:
    """Print the cost of each decision."""
    time = ManualTime(1_000.0)
    access = make_access("g", time)
    position = Position(1, 30)

    def plan() -> object:
        return access.plan_read(ROUTE, position, "o")

    print(f"plan_read, other groups:  {measure_us(plan):5.1f} us")
    access.configure(GroupSettings("g", 119, 1), SCARCE_NODES)
    assert access.is_scarce
    print(f"plan_read, scarce groups: {measure_us(plan):5.1f} us")
    capacity = next(iter(access.pools.values())).capacity
    read = (StatementKind.READ, ReadClass.SESSION)

    def record() -> None:
        time.value_ms += 1.0
        capacity.record_response(read, 20.0, 1, time.value_ms)

    print(f"record a response:        {measure_us(record):5.1f} us")


if __name__ == "__main__":
    main()
