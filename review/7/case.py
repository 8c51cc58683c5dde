"""Two nodes on the two sides of a split; one reads at a primary that was replaced."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world2 import World, run_case

CUT_S = 4.0
ROUNDS = 6
PAUSE_S = 11.5


async def play(world: World, has_trouble: bool) -> list[str]:
    if not await world.start(("i-1", "i-2", "i-3")):
        raise RuntimeError("the nodes did not become ready")
    writing, reading = world.nodes
    reads: dict[str, float] = {}

    def note_read(statement_id: str, is_done: bool, sent_s: float) -> None:
        if is_done:
            reads[statement_id] = sent_s

    for _ in range(3):
        world.spawn(world.run_client(writing, "WRITE a1 x", 0.05, world.note_write))
    for _ in range(3):
        world.spawn(world.run_client(reading, "READ a1", 0.03, note_read))
    await asyncio.sleep(2.0)
    for _ in range(ROUNDS):
        primary = world.group.primary
        assert primary is not None
        # One side: the primary and the reading node. The other: all else.
        paths = [
            path
            for node in world.nodes
            for name, path in node.member_paths.items()
            if (name == primary.name) != (node is reading)
        ]
        if has_trouble:
            world.record.say(f"{primary.name} and {reading.name} are cut off from all else")
            world.group.isolated.add(primary.name)
            primary.reaches_store = False
            await reading.cut()
            for path in paths:
                await path.refuse()
        await asyncio.sleep(CUT_S)
        if has_trouble:
            for path in paths:
                await path.open()
            await reading.join()
            primary.reaches_store = True
            world.group.isolated.clear()
            world.record.say("the cut has ended")
        await asyncio.sleep(PAUSE_S)
    return list(find_stale(world, reads))


def find_stale(world: World, reads: dict[str, float]):
    """Yield the answered reads that lack a commit acknowledged before their start."""
    final = max(world.group.members.values(), key=lambda member: member.term)
    # Commits that a promotion rolled back are in no log at the end.
    order = [name for _, name in final.log if name in world.acked]
    for statement_id, sent_s in reads.items():
        member, position, seen = world.group.reads[statement_id]
        known = set(seen)
        missing = [
            name
            for name in order
            if world.acked[name][1] < sent_s and name not in known
        ]
        if missing:
            yield (
                f"STALE: read {statement_id} ran at {member} on {position} "
                f"without {len(missing)} acknowledged commits, first {missing[0]}"
            )


if __name__ == "__main__":
    run_case(play, FOLDER, nodes=2, work_s=0.008, limit_s=115)
