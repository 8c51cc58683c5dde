"""A replica that started again unlisted confirms commits beside a promotion."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world2 import World, run_case

ROUNDS = 4
CUT_S = 5.0
CRASH_AFTER_S = 1.6
RESTART_S = 0.7
WRITERS = 4
"""Concurrent writers at each node."""


async def play(world: World, has_trouble: bool) -> list[str]:
    if not await world.start(("i-1", "i-2", "i-3")):
        raise RuntimeError("the nodes did not become ready")
    for node in world.nodes:
        for _ in range(WRITERS):
            world.spawn(world.run_client(node, "WRITE a1 x", 0.02, world.note_write))
    await asyncio.sleep(2.0)
    for number in range(1, ROUNDS + 1):
        if has_trouble:
            world.spawn(reborn(world, number))
        await asyncio.sleep(1.8)
        primary = world.group.primary
        assert primary is not None
        # The primary reports that it is draining a second later.
        await world.group.release(primary.name, f"i-1{number}")
        await asyncio.sleep(13.0)
    return list(find_lost(world))


async def reborn(world: World, number: int) -> None:
    """Cut a replica off from the store; it crashes behind the cut and starts again."""
    group = world.group
    replica = next(
        member
        for member in group.members.values()
        if member.is_running and member.role == "replica" and member.state == "ready"
    )
    replica.reaches_store = False
    world.record.say(f"{replica.name} is cut off from the store")
    await asyncio.sleep(CRASH_AFTER_S)
    await replica.stop()
    world.record.say(f"{replica.name} has crashed")
    await asyncio.sleep(RESTART_S)
    again = await group.add(f"i-2{number}", reaches_store=False)
    world.record.say(f"{replica.name} runs again as {again.name}, not listed yet")
    await asyncio.sleep(CUT_S - CRASH_AFTER_S - RESTART_S)
    again.reaches_store = True
    again.beat()
    world.record.say(f"{again.name} reaches the store")


def find_lost(world: World):
    """Yield the commits acknowledged before a promotion that its member lacks."""
    earlier: set[str] = set()
    for at_s, name, log in world.group.promoted:
        kept = set(log)
        for statement_id, (_, acked_s) in world.acked.items():
            if acked_s < at_s and statement_id not in kept | earlier:
                earlier.add(statement_id)
                yield (
                    f"LOST: commit {statement_id}, acknowledged {at_s - acked_s:.3f} s "
                    f"before {name} led, is not in its log"
                )


if __name__ == "__main__":
    run_case(play, FOLDER, nodes=2, work_s=0.024, limit_s=115)
