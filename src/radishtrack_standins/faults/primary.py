"""Faults of the primary while both organisations work."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Final

from radishtrack_standins.faults.deployment import Deployment
from radishtrack_standins.faults.work import (
    Ledger,
    Worker,
    compute_longest_gap_s,
    judge,
    work,
)

CHANGE_LIMIT_S: Final = 7.0
"""Longest allowed time of a change of primary."""
WORKERS_PER_ORGANISATION: Final = 4
BEFORE_S: Final = 1.5
AFTER_S: Final = 2.0
OUTAGE_S: Final = 4.0
MIN_ACKNOWLEDGED: Final = 20

Inject = Callable[[Deployment, str], Awaitable[None]]


async def work_through(
    deployment: Deployment, inject: Inject, *, limit_s: float = CHANGE_LIMIT_S
) -> Ledger:
    """Work while `inject` disturbs the primary and until it is replaced."""
    report = deployment.report
    await deployment.create_tables()
    ledger, stop = Ledger(), asyncio.Event()
    workers = [
        Worker(deployment, number, ledger, name)
        for name, _, _ in deployment.cluster.plan.organisations
        for number in range(WORKERS_PER_ORGANISATION)
    ]
    tasks = [asyncio.create_task(work(worker, stop)) for worker in workers]
    await asyncio.sleep(BEFORE_S + deployment.random.random())
    old = await deployment.read_primary()
    started = time.monotonic()
    await inject(deployment, old)
    await deployment.wait_for_promotion(old)
    took_s = time.monotonic() - started
    await asyncio.sleep(AFTER_S)
    stop.set()
    await asyncio.gather(*tasks)
    ended = time.monotonic()
    report.require(
        2, await deployment.read_primary() != old, "primary was not replaced"
    )
    gap_s = compute_longest_gap_s(ledger.successes, started, ended)
    report.add_figure(2, "longest until replaced, as seen here", took_s, "s")
    report.add_figure(2, f"gap {report.scenario}", 1000 * gap_s, "ms", 1000 * limit_s)
    count = len(ledger.acknowledged)
    report.require(2, count >= MIN_ACKNOWLEDGED, f"only {count} bookings acknowledged")
    await judge(deployment, ledger)
    return ledger


async def kill_primary(deployment: Deployment) -> None:
    """Kill the primary with SIGKILL."""

    async def inject(_: Deployment, old: str) -> None:
        await asyncio.to_thread(deployment.cluster.members[old].kill)

    await work_through(deployment, inject)


async def cut_primary(deployment: Deployment) -> None:
    """Cut the primary from proxies and replicas; its answers arrive late."""

    async def inject(_: Deployment, old: str) -> None:
        await deployment.control_member(old, cut_clients=True, cut_replication=True)
        await deployment.wait_for_promotion(old)
        await asyncio.sleep(1.0)
        await deployment.control_member(old, cut_clients=False, cut_replication=False)

    await work_through(deployment, inject)


async def cut_monitoring_of_primary(deployment: Deployment) -> None:
    """Cut monitoring and replication; the primary goes on accepting writes."""

    async def inject(_: Deployment, old: str) -> None:
        await deployment.control_member(old, cut_replication=True)
        relay = deployment.admin_relays[old]
        await deployment.control_relay(relay, cut_to_target=True, cut_from_target=True)

    await work_through(deployment, inject)


async def leave_one_path(deployment: Deployment) -> None:
    """Cut the primary from its replicas and from all proxies but one."""
    await work_through(deployment, _leave_path)


async def leave_one_path_without_platform(deployment: Deployment) -> None:
    """Do the same to a proxy that learns nothing from the platform either."""

    async def inject(_: Deployment, old: str) -> None:
        relay = deployment.platform_relays[0]
        await deployment.control_relay(relay, cut_to_target=True, cut_from_target=True)
        await _leave_path(deployment, old)

    await work_through(deployment, inject)


async def _leave_path(deployment: Deployment, old: str) -> None:
    cut = [
        proxy.process.pid for proxy in deployment.cluster.proxies[1:] if proxy.process
    ]
    await deployment.control_member(old, cut_replication=True)
    for relay in deployment.paths:
        await deployment.control_relay(relay, cut=cut)


async def pause_primary(deployment: Deployment) -> None:
    """Pause the primary and resume it after the promotion."""

    async def inject(_: Deployment, old: str) -> None:
        deployment.cluster.members[old].pause()
        await deployment.wait_for_promotion(old)
        deployment.cluster.members[old].resume()

    await work_through(deployment, inject)


async def kill_primary_during_outage(deployment: Deployment) -> None:
    """Kill the primary while the platform is down."""

    async def inject(_: Deployment, old: str) -> None:
        await deployment.control_platform(outage="silent")
        await asyncio.to_thread(deployment.cluster.members[old].kill)
        await asyncio.sleep(OUTAGE_S)
        await deployment.control_platform(outage="")

    await work_through(deployment, inject, limit_s=OUTAGE_S + CHANGE_LIMIT_S)


async def kill_primary_with_lost_answers(deployment: Deployment) -> None:
    """Kill the primary while the platform loses answers to writes."""

    async def inject(_: Deployment, old: str) -> None:
        await deployment.control_platform(lose_answers_count=3, delay_ms=100)
        await asyncio.to_thread(deployment.cluster.members[old].kill)

    await work_through(deployment, inject)


async def kill_primary_with_lag(deployment: Deployment) -> None:
    """Kill the primary while replicas lag by 300 ms."""

    async def inject(_: Deployment, old: str) -> None:
        await asyncio.to_thread(deployment.cluster.members[old].kill)

    await work_through(deployment, inject)
