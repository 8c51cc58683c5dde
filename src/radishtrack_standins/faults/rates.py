"""One organisation far over its rate at both proxies."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

import attrs

from radishtrack_standins.faults.client import ClientOutcome

if TYPE_CHECKING:
    from radishtrack_standins.faults.deployment import Deployment

RATE: Final = 50.0
BURST: Final = 50
OVERLOAD: Final = 8
RUN_S: Final = 8.0
SENDERS: Final = 64
TIMEOUT_MS: Final = 300
"""Short, so that requests over the rate are refused and the load stays high."""
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


async def overload(deployment: Deployment) -> None:
    """Send 8 times the rate through both proxies beside a quiet organisation."""
    await deployment.create_tables()
    busy, quiet = [name for name, _, _ in deployment.cluster.plan.organisations][:2]
    admitted: list[Interval] = []
    outcomes: dict[str, tuple[ClientOutcome, int, str]] = {}
    quiet_refused: list[str] = []
    end = time.monotonic() + RUN_S
    # The tables were made under the same rate.
    await asyncio.sleep(BURST / RATE)

    async def send(number: int) -> None:
        client, turn = deployment.create_client(number, busy), 0
        client.has_rate_retries = False
        due = time.monotonic()
        while time.monotonic() < end:
            turn += 1
            name = f"rate-{number}-{turn}"
            started = time.monotonic()
            result = await client.run(
                f"/*radishtrack timeout_ms={TIMEOUT_MS}*/ "
                f"INSERT INTO orders VALUES ('{name}', 'x')"
            )
            outcomes[name] = (result.outcome, result.code, str(result))
            if result.ran:
                admitted.append(Interval(started, time.monotonic()))
            due += SENDERS / (OVERLOAD * RATE)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        client.drop()

    async def stay_quiet(number: int) -> None:
        client = deployment.create_client(number, quiet)
        client.has_rate_retries = False
        while time.monotonic() < end:
            result = await client.run("SELECT COUNT(*) FROM orders")
            if result.code == OVER_RATE_CODE:
                quiet_refused.append(str(result))
            await asyncio.sleep(2 / QUIET_RATE)
        client.drop()

    started = time.monotonic()
    tasks = [send(number) for number in range(SENDERS)]
    await asyncio.gather(*tasks, stay_quiet(0), stay_quiet(1))
    await _judge(deployment, admitted, outcomes, time.monotonic() - started)
    report = deployment.report
    report.add_figure(7, "quiet organisation refused", len(quiet_refused), "requests")


async def _judge(
    deployment: Deployment,
    admitted: list[Interval],
    outcomes: dict[str, tuple[ClientOutcome, int, str]],
    took_s: float,
) -> None:
    report = deployment.report
    rows = {str(row[0]) for row in await deployment.read_rows("orders")}
    ran = {
        name
        for name, (outcome, _, _) in outcomes.items()
        if outcome is ClientOutcome.RAN
    }
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
    report.add_requests(7, len(outcomes))
    report.add_requests(9, len(outcomes))
    for name, (outcome, _, text) in outcomes.items():
        if outcome is ClientOutcome.NOT_RUN and name in rows:
            report.add_problem(9, f"{name} ran although told: {text}")
