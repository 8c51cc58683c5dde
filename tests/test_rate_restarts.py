"""Tests that restarts, joins and cuts in any order admit no more than the quota.

The first requests after a restart were refused for a second, since a starting process
delegated its shares only after all nodes had read its record.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

import pytest

from tests.rate_fleet import (
    ORGANISATION,
    Process,
    RateFleet,
    find_holder,
    most_admitted,
)

WINDOW_MS = 5_000.0
QUOTA_EXCESS = 0.1
QUOTA_MARGIN = 20
QUOTA = (ORGANISATION.rate_per_s * WINDOW_MS / 1_000 + ORGANISATION.burst) * (
    1 + QUOTA_EXCESS
) + QUOTA_MARGIN
"""Bound of the users' rule QUOTA."""
FIRST_TOKEN_LIMIT_MS = 300.0
"""Time after the first node knows the configuration, within which all are served."""

REPLACED_LIMIT_MS = 600.0
"""Rank delays of four nodes, one of which may be the coordinator itself; less than the
time after which an unresponsive one counts as lost."""

Disturb = Callable[[RateFleet], Coroutine[None, None, None]]


def pick_two(fleet: RateFleet) -> list[Process]:
    processes = list(fleet.processes.values())
    return fleet.random.sample(processes, min(2, len(processes)))


async def lose_power(fleet: RateFleet) -> None:
    down_ms = fleet.random.choice([200.0, 800.0, 2_500.0])
    for name in list(fleet.processes):
        fleet.kill(name, down_ms + fleet.random.randrange(300))


async def kill_some(fleet: RateFleet) -> None:
    names = list(fleet.processes)
    for name in fleet.random.sample(names, (2 * len(names) + 1) // 3):
        fleet.kill(name, fleet.random.randrange(50, 1_500))


async def kill_coordinator(fleet: RateFleet) -> None:
    fleet.kill(find_holder(fleet), fleet.random.choice([50.0, 400.0, 3_000.0]))


async def restart_in_turn(fleet: RateFleet) -> None:
    for name, process in list(fleet.processes.items()):
        await process.rates.release()
        await fleet.advance(fleet.random.randrange(0, 600, 20))
        fleet.kill(name, 200.0)


async def add_nodes(fleet: RateFleet) -> None:
    for _ in range(fleet.random.choice([1, 2, 4])):
        fleet.start(f"new-{fleet.starts}")


async def replace_node(fleet: RateFleet) -> None:
    for process in pick_two(fleet)[:1]:
        del fleet.processes[process.name]
    fleet.start(f"new-{fleet.starts}")


async def cut_from_store(fleet: RateFleet) -> None:
    for process in pick_two(fleet):
        process.access.is_cut = True


async def cut_from_peers(fleet: RateFleet) -> None:
    for process in pick_two(fleet):
        process.is_isolated = True


async def freeze(fleet: RateFleet) -> None:
    for process in pick_two(fleet)[:1]:
        frozen_ms = fleet.random.randrange(500, 5_000)
        process.frozen_until_ms = fleet.time.value_ms + frozen_ms


async def mend(fleet: RateFleet) -> None:
    for process in fleet.processes.values():
        process.is_isolated = process.access.is_cut = False


DISTURBANCES: tuple[Disturb, ...] = (
    lose_power,
    kill_some,
    kill_coordinator,
    restart_in_turn,
    add_nodes,
    replace_node,
    cut_from_store,
    cut_from_peers,
    freeze,
)


async def play(seed: int, nodes: int, loss: float) -> RateFleet:
    """Play a random series of disturbances."""
    fleet = RateFleet(seed, loss)
    for number in range(nodes):
        fleet.start(f"edge-{number}")
    await fleet.advance(3_000)
    for _ in range(5):
        if fleet.random.random() < 0.6:
            # The buckets fill, so that the whole burst is used before the disturbance.
            fleet.has_demand = False
            await fleet.advance(2_000)
            fleet.has_demand = True
            await fleet.advance(400)
        disturb = fleet.random.choice(DISTURBANCES)
        await disturb(fleet)
        await fleet.advance(fleet.random.choice([100, 400, 1_000, 2_500]))
        if fleet.random.random() < 0.5:
            await mend(fleet)
    await mend(fleet)
    await fleet.advance(4_000)
    return fleet


@pytest.mark.parametrize("seed", range(24))
def test_no_order_of_restarts_admits_more_than_the_quota(seed: int) -> None:
    nodes, loss = [3, 4, 8][seed % 3], [0.0, 0.2][seed % 2]
    fleet = asyncio.run(play(seed, nodes, loss))
    assert most_admitted(fleet.admitted, WINDOW_MS) <= QUOTA


@pytest.mark.parametrize("seed", range(6))
def test_rates_are_available_again_soon_after_a_loss_of_power(seed: int) -> None:
    """All was refused for a second after power came back."""

    async def play_loss() -> None:
        fleet = RateFleet(seed, 0.0)
        for number in range(4):
            fleet.start(f"edge-{number}")
        await fleet.advance(3_000)
        for name in list(fleet.processes):
            fleet.kill(name, 1_400)
        await fleet.advance(1_420)
        ready_ms = max(process.ready_ms for process in fleet.processes.values())
        await fleet.advance(ready_ms + FIRST_TOKEN_LIMIT_MS - fleet.time.value_ms)
        served = sum(at_ms >= ready_ms - 200 for at_ms in fleet.admitted)
        # What the rate adds in this time, without the credit for the start.
        assert served >= 0.5 * ORGANISATION.rate_per_s * FIRST_TOKEN_LIMIT_MS / 1_000

    asyncio.run(play_loss())


@pytest.mark.parametrize("seed", range(6))
def test_ended_coordinator_is_replaced_before_it_counts_as_lost(seed: int) -> None:
    """Nodes waited 0.7 s for a coordinator whose process had ended."""

    async def play_kill() -> None:
        fleet = RateFleet(seed, 0.0, refusal_share=1.0)
        for number in range(4):
            fleet.start(f"edge-{number}")
        await fleet.advance(3_000)
        ended = find_holder(fleet)
        fleet.kill(ended, 5_000)
        await fleet.advance(REPLACED_LIMIT_MS)
        assert find_holder(fleet) != ended

    asyncio.run(play_kill())


def count_used_parts(fleet: RateFleet) -> float:
    """Return the sum of the parts of a rate that processes may use at present."""
    now_ms = fleet.time.value_ms
    used = 0.0
    for process in fleet.processes.values():
        rates = process.rates
        if now_ms >= rates.limiter.delegated_until_ms:
            used += 1 / len(rates.store_copy.nodes)
        if rates.coordinator is not None:
            used += rates.coordinator._delegated_part(now_ms)
    return used


@pytest.mark.parametrize("refusal_share", [0.0, 1.0])
def test_no_share_is_used_twice_beside_a_coordinator_behind_a_cut(
    refusal_share: float,
) -> None:
    """Refused connections ended delegations which a running coordinator counted."""

    async def play_cut() -> None:
        fleet = RateFleet(1, 0.0, cut_refusal_share=refusal_share)
        for number in range(4):
            fleet.start(f"edge-{number}")
        await fleet.advance(5_000)
        fleet.processes[find_holder(fleet)].is_isolated = True
        for _ in range(100):
            await fleet.advance(20)
            assert count_used_parts(fleet) <= 1 + 1e-9

    asyncio.run(play_cut())
