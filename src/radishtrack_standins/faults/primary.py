"""Faults of the primary while clients of both organisations book orders."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Final

from radishtrack_standins.faults.bookings import (
    Ledger,
    Worker,
    book_until_stopped,
    check_ledger,
    compute_longest_gap_s,
)
from radishtrack_standins.faults.deployment import Deployment

PRIMARY_CHANGE_LIMIT_S: Final = 7.0
"""Longest allowed time of a change of primary."""
WORKERS_PER_ORGANISATION: Final = 4
BEFORE_FAULT_S: Final = 1.5
AFTER_CHANGE_S: Final = 2.0
OUTAGE_S: Final = 4.0
MIN_ACKNOWLEDGED_BOOKINGS: Final = 20

InjectFault = Callable[[Deployment, str], Awaitable[None]]


async def run_with_fault(
    deployment: Deployment,
    inject_fault: InjectFault,
    *,
    limit_s: float = PRIMARY_CHANGE_LIMIT_S,
) -> Ledger:
    """Book orders while `inject_fault` disturbs the primary and until it is replaced.

    Parameters
    ----------
    deployment : Deployment
        Deployment without tables.
    inject_fault : callable
        Takes the deployment and the name of the primary.
    limit_s : float
        Longest allowed time without an acknowledged booking, in seconds.

    Returns
    -------
    Ledger
        Outcomes that were reported to the clients, already checked.
    """
    report = deployment.report
    await deployment.create_tables()
    ledger, stop = Ledger(), asyncio.Event()
    workers = [
        Worker(deployment, number, ledger, name)
        for name, _, _ in deployment.cluster.plan.organisations
        for number in range(WORKERS_PER_ORGANISATION)
    ]
    tasks = [
        asyncio.create_task(book_until_stopped(worker, stop)) for worker in workers
    ]
    await asyncio.sleep(BEFORE_FAULT_S + deployment.random.random())
    old_primary = await deployment.read_primary()
    started_s = time.monotonic()
    await inject_fault(deployment, old_primary)
    await deployment.wait_for_promotion(old_primary)
    elapsed_s = time.monotonic() - started_s
    await asyncio.sleep(AFTER_CHANGE_S)
    stop.set()
    await asyncio.gather(*tasks)
    ended_s = time.monotonic()
    report.require(
        2, await deployment.read_primary() != old_primary, "primary was not replaced"
    )
    gap_s = compute_longest_gap_s(ledger.acknowledgement_times_s, started_s, ended_s)
    report.add_figure(2, "longest until replaced, as seen here", elapsed_s, "s")
    report.add_figure(2, f"gap {report.scenario}", 1000 * gap_s, "ms", 1000 * limit_s)
    acknowledged_count = len(ledger.acknowledged)
    report.require(
        2,
        acknowledged_count >= MIN_ACKNOWLEDGED_BOOKINGS,
        f"only {acknowledged_count} bookings acknowledged",
    )
    await check_ledger(deployment, ledger)
    return ledger


async def kill_primary(deployment: Deployment) -> None:
    """Kill the primary with SIGKILL."""

    async def inject_fault(_: Deployment, old_primary: str) -> None:
        await asyncio.to_thread(deployment.cluster.members[old_primary].kill)

    await run_with_fault(deployment, inject_fault)


async def cut_primary(deployment: Deployment) -> None:
    """Cut the primary from proxies and replicas, and restore it after the promotion.

    Its responses to earlier requests arrive only then.
    """

    async def inject_fault(_: Deployment, old_primary: str) -> None:
        await deployment.control_member(
            old_primary, cut_clients=True, cut_replication=True
        )
        await deployment.wait_for_promotion(old_primary)
        await asyncio.sleep(1.0)
        await deployment.control_member(
            old_primary, cut_clients=False, cut_replication=False
        )

    await run_with_fault(deployment, inject_fault)


async def cut_monitoring_of_primary(deployment: Deployment) -> None:
    """Cut monitoring and replication of a primary that still accepts writes."""

    async def inject_fault(_: Deployment, old_primary: str) -> None:
        await deployment.control_member(old_primary, cut_replication=True)
        relay = deployment.admin_relays[old_primary]
        await deployment.control_relay(relay, cut_to_target=True, cut_from_target=True)

    await run_with_fault(deployment, inject_fault)


async def cut_to_one_path(deployment: Deployment) -> None:
    """Cut the primary from its replicas and from all proxies but one."""
    await run_with_fault(deployment, _cut_all_but_one_path)


async def cut_to_one_path_without_platform(deployment: Deployment) -> None:
    """Cut all paths but one, and cut the proxy at that path from the platform."""

    async def inject_fault(_: Deployment, old_primary: str) -> None:
        relay = deployment.platform_relays[0]
        await deployment.control_relay(relay, cut_to_target=True, cut_from_target=True)
        await _cut_all_but_one_path(deployment, old_primary)

    await run_with_fault(deployment, inject_fault)


async def _cut_all_but_one_path(deployment: Deployment, old_primary: str) -> None:
    cut = [
        proxy.process.pid for proxy in deployment.cluster.proxies[1:] if proxy.process
    ]
    await deployment.control_member(old_primary, cut_replication=True)
    for relay in deployment.path_relays:
        await deployment.control_relay(relay, cut=cut)


async def pause_primary(deployment: Deployment) -> None:
    """Pause the primary's process and resume it after the promotion."""

    async def inject_fault(_: Deployment, old_primary: str) -> None:
        deployment.cluster.members[old_primary].pause()
        await deployment.wait_for_promotion(old_primary)
        deployment.cluster.members[old_primary].resume()

    await run_with_fault(deployment, inject_fault)


async def kill_primary_during_outage(deployment: Deployment) -> None:
    """Kill the primary while the platform does not respond."""

    async def inject_fault(_: Deployment, old_primary: str) -> None:
        await deployment.control_platform(outage="silent")
        await asyncio.to_thread(deployment.cluster.members[old_primary].kill)
        await asyncio.sleep(OUTAGE_S)
        await deployment.control_platform(outage="")

    await run_with_fault(
        deployment, inject_fault, limit_s=OUTAGE_S + PRIMARY_CHANGE_LIMIT_S
    )


async def kill_primary_with_lost_responses(deployment: Deployment) -> None:
    """Kill the primary while the platform loses responses to writes."""

    async def inject_fault(_: Deployment, old_primary: str) -> None:
        await deployment.control_platform(lose_answers_count=3, delay_ms=100)
        await asyncio.to_thread(deployment.cluster.members[old_primary].kill)

    await run_with_fault(deployment, inject_fault)


async def kill_primary_with_lag(deployment: Deployment) -> None:
    """Kill the primary while replicas lag by 300 ms."""

    async def inject_fault(_: Deployment, old_primary: str) -> None:
        await asyncio.to_thread(deployment.cluster.members[old_primary].kill)

    await run_with_fault(deployment, inject_fault)
