"""Faults of the primary while both organisations work."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Final

from radishtrack_standins.faults.work import (
    Ledger,
    Worker,
    compute_gap_s,
    judge,
    work,
)
from radishtrack_standins.faults.world import World

CHANGE_LIMIT_S: Final = 7.0
"""Longest allowed time of a change of primary."""
WORKERS_PER_ORGANISATION: Final = 4
BEFORE_S: Final = 1.5
AFTER_S: Final = 2.0
OUTAGE_S: Final = 4.0
MIN_ACKNOWLEDGED: Final = 20

Inject = Callable[[World, str], Awaitable[None]]


async def work_through(
    world: World, inject: Inject, *, limit_s: float = CHANGE_LIMIT_S
) -> Ledger:
    """Work while `inject` disturbs the primary and until it is replaced."""
    report = world.report
    await world.define_tables()
    ledger, stop = Ledger(), asyncio.Event()
    workers = [
        Worker(world, number, ledger, name)
        for name, _, _ in world.cluster.plan.organisations
        for number in range(WORKERS_PER_ORGANISATION)
    ]
    tasks = [asyncio.create_task(work(worker, stop)) for worker in workers]
    await asyncio.sleep(BEFORE_S + world.random.random())
    old = await world.primary()
    started = time.monotonic()
    await inject(world, old)
    await world.wait_promoted(old)
    await asyncio.sleep(AFTER_S)
    stop.set()
    await asyncio.gather(*tasks)
    ended = time.monotonic()
    report.require(2, await world.primary() != old, "primary was not replaced")
    gap_s = compute_gap_s(ledger.successes, started, ended)
    report.add_figure(2, f"gap {report.scenario}", 1000 * gap_s, "ms", 1000 * limit_s)
    count = len(ledger.acknowledged)
    report.require(2, count >= MIN_ACKNOWLEDGED, f"only {count} bookings acknowledged")
    await judge(world, ledger)
    return ledger


async def kill_primary(world: World) -> None:
    """Kill the primary with SIGKILL."""

    async def inject(_: World, old: str) -> None:
        await asyncio.to_thread(world.cluster.members[old].kill)

    await work_through(world, inject)


async def cut_primary(world: World) -> None:
    """Cut the primary from proxies and replicas; its answers arrive late."""

    async def inject(_: World, old: str) -> None:
        await world.control(old, cut_clients=True, cut_replication=True)
        await world.wait_promoted(old)
        await asyncio.sleep(1.0)
        await world.control(old, cut_clients=False, cut_replication=False)

    await work_through(world, inject)


async def cut_monitoring_of_primary(world: World) -> None:
    """Cut monitoring and replication; the primary goes on accepting writes."""

    async def inject(_: World, old: str) -> None:
        await world.control(old, cut_replication=True)
        relay = world.admin_relays[old]
        await world.control_relay(relay, cut_to_target=True, cut_from_target=True)

    await work_through(world, inject)


async def pause_primary(world: World) -> None:
    """Pause the primary and resume it after the promotion."""

    async def inject(_: World, old: str) -> None:
        world.cluster.members[old].pause()
        await world.wait_promoted(old)
        world.cluster.members[old].resume()

    await work_through(world, inject)


async def kill_primary_during_outage(world: World) -> None:
    """Kill the primary while the platform is down."""

    async def inject(_: World, old: str) -> None:
        await world.control_platform(outage="silent")
        await asyncio.to_thread(world.cluster.members[old].kill)
        await asyncio.sleep(OUTAGE_S)
        await world.control_platform(outage="")

    await work_through(world, inject, limit_s=OUTAGE_S + CHANGE_LIMIT_S)


async def kill_primary_with_lost_answers(world: World) -> None:
    """Kill the primary while the platform loses answers to writes."""

    async def inject(_: World, old: str) -> None:
        await world.control_platform(lose_answers_count=3, delay_ms=100)
        await asyncio.to_thread(world.cluster.members[old].kill)

    await work_through(world, inject)


async def kill_primary_with_lag(world: World) -> None:
    """Kill the primary while replicas lag by 300 ms."""

    async def inject(_: World, old: str) -> None:
        await asyncio.to_thread(world.cluster.members[old].kill)

    await work_through(world, inject)
