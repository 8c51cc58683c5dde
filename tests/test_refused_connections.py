"""Guards against taking a refused connection for the end of a process.

A cut between networks may refuse connections, too, while the process behind it runs.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.promotion_fleet import PromotionFleet, play

CUT_S = 4.0
RECOVERY_S = 6.0


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
