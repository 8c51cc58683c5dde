"""Guards against taking a refused connection for the end of a process.

A cut between networks may refuse connections, too, while the process behind it runs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from tests.promotion_faults import (
    crash_any,
    crash_node,
    crash_primary,
    freeze_node,
    pause,
    retire_primary,
)
from tests.promotion_fleet import PromotionFleet, play
from tests.promotion_members import PLATFORM, STORE

CUT_S = 4.0
RECOVERY_S = 6.0
FAULTS_MS = 30_000.0
REFUSED_SHARE = 0.8
"""Share of the random cuts that refuse connections; the others are silent."""


async def _cut_off_primaries(fleet: PromotionFleet) -> None:
    """Leave the primary and one node on one side of cuts, and all else on the other."""
    for name in sorted(fleet.nodes):
        await _cut_off(fleet, {fleet.group.leader, name})
        await asyncio.sleep(RECOVERY_S)


async def _cut_off(fleet: PromotionFleet, side: set[str]) -> None:
    fleet.note("cut off", *sorted(side))
    with fleet.network.cut(side, lambda name: name not in side, refuses=True):
        await asyncio.sleep(CUT_S)


@pytest.mark.parametrize("seed", range(1, 5))
def test_no_read_is_stale_beside_a_primary_behind_refused_connections(
    seed: int,
) -> None:
    """The promoter waited for no node that refused connections, and one read on."""
    fleet = play(seed, _cut_off_primaries, has_readers=True)
    assert fleet.promotions
    assert fleet.reads
    assert fleet.stale == []
    assert fleet.losses == []


async def _fault_at_random(fleet: PromotionFleet) -> None:
    """Cut primaries, members and nodes off at random, beside crashes and releases."""
    until_ms = fleet.now_ms() + FAULTS_MS
    while fleet.now_ms() < until_ms:
        fault = fleet.random.choice(
            (
                _split,
                _split,
                _cut_member,
                _cut_node_from_nodes,
                _cut_node_from_store,
                crash_primary,
                crash_any,
                retire_primary,
                crash_node,
                freeze_node,
            )
        )
        fleet.start(fault(fleet))
        await pause(fleet, 0.1, 2.5)
    await fleet.end_faults()


async def _split(fleet: PromotionFleet) -> None:
    count = fleet.random.randint(1, min(2, len(fleet.nodes)))
    side = {fleet.group.leader, *fleet.random.sample(sorted(fleet.nodes), count)}
    await _cut_briefly(fleet, side, lambda name: name not in side)


async def _cut_member(fleet: PromotionFleet) -> None:
    count = fleet.random.randint(1, len(fleet.nodes))
    others = set(fleet.random.sample(sorted(fleet.nodes), count))
    others |= fleet.random.choice((set(), {STORE}))
    member = fleet.random.choice(sorted(fleet.group.members))
    await _cut_briefly(fleet, {member}, others.__contains__)


async def _cut_node_from_nodes(fleet: PromotionFleet) -> None:
    name = fleet.random.choice(sorted(fleet.nodes))
    await _cut_briefly(fleet, {name}, (fleet.nodes.keys() - {name}).__contains__)


async def _cut_node_from_store(fleet: PromotionFleet) -> None:
    name = fleet.random.choice(sorted(fleet.nodes))
    await _cut_briefly(fleet, {name}, {STORE, PLATFORM}.__contains__)


async def _cut_briefly(
    fleet: PromotionFleet, side: set[str], is_other: Callable[[str], bool]
) -> None:
    refuses = fleet.random.random() < REFUSED_SHARE
    fleet.note("cut off", *sorted(side), "refuses" if refuses else "silent")
    with fleet.network.cut(side, is_other, refuses=refuses):
        await pause(fleet, 0.3, fleet.random.choice((1.2, 5.0)))


@pytest.mark.parametrize("seed", [1, 2, 6])
def test_no_read_is_stale_and_no_commit_lost_in_cuts_that_refuse(seed: int) -> None:
    fleet = play(seed, _fault_at_random, has_readers=True)
    assert fleet.promotions
    assert fleet.reads
    assert fleet.stale == []
    assert fleet.losses == []
    assert not fleet.is_stuck
