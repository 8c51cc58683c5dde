"""One organisation far over its rate at both proxies."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

import attrs

from radishtrack_standins.faults.client import Told

if TYPE_CHECKING:
    from radishtrack_standins.faults.world import World

RATE: Final = 50.0
BURST: Final = 50
OVERLOAD: Final = 8
RUN_S: Final = 8.0
SENDERS: Final = 16
QUIET_RATE: Final = 20.0
OVER_RATE_CODE: Final = 9003


@attrs.define
class Interval:
    """A request that ran some time between its start and its answer."""

    start: float
    end: float


def find_worst_excess(
    requests: list[Interval], rate: float, burst: float
) -> tuple[float, int, float]:
    """Return the interval that is most over its bound.

    A request counts for an interval only if it was sent and answered inside it, so the
    count is never too high.

    Returns
    -------
    tuple
        Admitted requests over the bound, number admitted, bound.
    """
    ordered = sorted(requests, key=lambda request: request.end)
    worst = (-float("inf"), 0, burst)
    for begin in sorted({request.start for request in requests}):
        count = 0
        for request in ordered:
            if request.start >= begin:
                count += 1
                allowed = burst + rate * (request.end - begin)
                if count - allowed > worst[0]:
                    worst = (count - allowed, count, allowed)
    return worst


async def overload(world: World) -> None:
    """Send 8 times the rate through both proxies beside a quiet organisation."""
    await world.define_tables()
    busy, quiet = [name for name, _, _ in world.cluster.plan.organisations][:2]
    admitted: list[Interval] = []
    told: dict[str, tuple[Told, int, str]] = {}
    quiet_refused: list[str] = []
    end = time.monotonic() + RUN_S
    # The tables were made under the same rate.
    await asyncio.sleep(BURST / RATE)

    async def send(number: int) -> None:
        client, turn = world.client(number, busy), 0
        client.waits_for_rate = False
        due = time.monotonic()
        while time.monotonic() < end:
            turn += 1
            name = f"rate-{number}-{turn}"
            started = time.monotonic()
            answer = await client.run(f"INSERT INTO orders VALUES ('{name}', 'x')")
            told[name] = (answer.told, answer.code, str(answer))
            if answer.ran:
                admitted.append(Interval(started, time.monotonic()))
            due += SENDERS / (OVERLOAD * RATE)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        client.drop()

    async def stay_quiet(number: int) -> None:
        client = world.client(number, quiet)
        client.waits_for_rate = False
        while time.monotonic() < end:
            answer = await client.run("SELECT COUNT(*) FROM orders")
            if answer.code == OVER_RATE_CODE:
                quiet_refused.append(str(answer))
            await asyncio.sleep(2 / QUIET_RATE)
        client.drop()

    started = time.monotonic()
    tasks = [send(number) for number in range(SENDERS)]
    await asyncio.gather(*tasks, stay_quiet(0), stay_quiet(1))
    await _judge(world, admitted, told, time.monotonic() - started)
    report = world.report
    report.add_figure(7, "quiet organisation refused", len(quiet_refused), "requests")


async def _judge(
    world: World,
    admitted: list[Interval],
    told: dict[str, tuple[Told, int, str]],
    took_s: float,
) -> None:
    report = world.report
    rows = {str(row[0]) for row in await world.rows("orders")}
    ran = {name for name, (result, _, _) in told.items() if result is Told.RAN}
    excess, count, bound = find_worst_excess(admitted, RATE, BURST)
    report.require(
        7, excess <= 0, f"admitted {count}, allowed {bound:.0f} in the worst interval"
    )
    total_bound = BURST + RATE * took_s
    report.require(
        7, len(rows) <= total_bound, f"{len(rows)} rows, allowed {total_bound:.0f}"
    )
    report.add_figure(7, "rows", len(rows), "", total_bound)
    report.add_figure(7, "share of the allowed", len(rows) / total_bound, "")
    report.require(7, ran <= rows, "acknowledged requests are missing")
    report.require(7, rows, "nothing was admitted")
    report.add_requests(7, len(told))
    report.add_requests(9, len(told))
    for name, (result, _, text) in told.items():
        if result is Told.NOT_RUN and name in rows:
            report.add_problem(9, f"{name} ran although told: {text}")
