"""One organisation that sends far over its rate at both proxies."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

import attrs

from radishtrack_standins.faults.client import ClientOutcome

if TYPE_CHECKING:
    from radishtrack_standins.faults.deployment import Deployment

RATE_PER_S: Final = 50.0
BURST_REQUESTS: Final = 50
OVERLOAD_FACTOR: Final = 8
RUN_S: Final = 8.0
SENDERS: Final = 64
REQUEST_TIMEOUT_MS: Final = 300
"""Short, so that requests over the rate are refused and the load stays high."""
QUIET_RATE_PER_S: Final = 20.0
"""Load of the organisation that stays within its rate."""
OVER_RATE_CODE: Final = 9003


@attrs.define
class RequestInterval:
    """Times between which an admitted request ran, in seconds."""

    start_s: float
    end_s: float


def find_worst_excess(
    requests: list[RequestInterval], rate_per_s: float, burst: float
) -> tuple[float, int, float]:
    """Find the interval whose admitted requests most exceed the bound of the rate.

    A request counts for an interval only if it was sent and answered inside it, so the
    count is never too high.

    Parameters
    ----------
    requests : list of RequestInterval
        Admitted requests.
    rate_per_s : float
        Rate in requests per second.
    burst : float
        Burst in requests.

    Returns
    -------
    tuple
        Admitted requests over the bound, number admitted, bound.
    """
    ordered = sorted(requests, key=lambda request: request.end_s)
    worst = (-float("inf"), 0, burst)
    for window_start_s in sorted({request.start_s for request in requests}):
        count = 0
        for request in ordered:
            if request.start_s >= window_start_s:
                count += 1
                bound = burst + rate_per_s * (request.end_s - window_start_s)
                if count - bound > worst[0]:
                    worst = (count - bound, count, bound)
    return worst


async def exceed_rate(deployment: Deployment) -> None:
    """Send 8 times the rate while another organisation stays within its rate."""
    await deployment.create_tables()
    busy, quiet = [name for name, _, _ in deployment.cluster.plan.organisations][:2]
    admitted: list[RequestInterval] = []
    outcomes: dict[str, tuple[ClientOutcome, int, str]] = {}
    quiet_refused: list[str] = []
    end_s = time.monotonic() + RUN_S
    # Wait for the burst to refill: creating the tables consumed tokens of this rate.
    await asyncio.sleep(BURST_REQUESTS / RATE_PER_S)

    async def send(number: int) -> None:
        client, turn = deployment.create_client(number, busy), 0
        client.has_rate_retries = False
        due_s = time.monotonic()
        while time.monotonic() < end_s:
            turn += 1
            name = f"rate-{number}-{turn}"
            started_s = time.monotonic()
            result = await client.run(
                f"/*radishtrack timeout_ms={REQUEST_TIMEOUT_MS}*/ "
                f"INSERT INTO orders VALUES ('{name}', 'x')"
            )
            outcomes[name] = (result.outcome, result.code, str(result))
            if result.ran:
                admitted.append(RequestInterval(started_s, time.monotonic()))
            due_s += SENDERS / (OVERLOAD_FACTOR * RATE_PER_S)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        client.abort()

    async def send_within_rate(number: int) -> None:
        client = deployment.create_client(number, quiet)
        client.has_rate_retries = False
        while time.monotonic() < end_s:
            result = await client.run("SELECT COUNT(*) FROM orders")
            if result.code == OVER_RATE_CODE:
                quiet_refused.append(str(result))
            await asyncio.sleep(2 / QUIET_RATE_PER_S)
        client.abort()

    started_s = time.monotonic()
    tasks = [send(number) for number in range(SENDERS)]
    await asyncio.gather(*tasks, send_within_rate(0), send_within_rate(1))
    await _check_admitted(deployment, admitted, outcomes, time.monotonic() - started_s)
    report = deployment.report
    report.add_figure(7, "quiet organisation refused", len(quiet_refused), "requests")


async def _check_admitted(
    deployment: Deployment,
    admitted: list[RequestInterval],
    outcomes: dict[str, tuple[ClientOutcome, int, str]],
    elapsed_s: float,
) -> None:
    report = deployment.report
    rows = {str(row[0]) for row in await deployment.read_rows("orders")}
    ran = {
        name
        for name, (outcome, _, _) in outcomes.items()
        if outcome is ClientOutcome.RAN
    }
    excess, count, bound = find_worst_excess(admitted, RATE_PER_S, BURST_REQUESTS)
    report.require(
        7, excess <= 0, f"admitted {count}, allowed {bound:.0f} in the worst interval"
    )
    total_bound = BURST_REQUESTS + RATE_PER_S * elapsed_s
    report.require(
        7, len(rows) <= total_bound, f"{len(rows)} rows, allowed {total_bound:.0f}"
    )
    report.add_figure(7, "rows", len(rows), "", total_bound)
    report.add_figure(7, "share of the allowed", len(rows) / total_bound, "")
    report.require(7, ran <= rows, "acknowledged requests are missing")
    report.require(7, rows, "no request was admitted")
    report.add_requests(7, len(outcomes))
    report.add_requests(9, len(outcomes))
    for name, (outcome, _, text) in outcomes.items():
        if outcome is ClientOutcome.NOT_RUN and name in rows:
            report.add_problem(9, f"{name} ran although reported as: {text}")
