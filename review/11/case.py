"""An entry of another writer names the address of a replica; later the primary crashes.

Both runs have the same lag of a replica, crash of the primary and killed node. Only the
run with trouble has the entry.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import world3

SETTLED_S = 6.0
"""Time from the first commit to the entry; the nodes have recorded the members then."""
ENTRY_S = 4.0
"""Time from the entry to the lag of the replica."""
LISTED_S = 3.6
"""Time for which a crashed member stays listed: three heartbeats of 1.2 s."""
PROMOTION_LIMIT_S = 30.0
RESTART_S = 1.0
"""Time after which the platform restarts a killed process."""


async def play(world, has_trouble):
    record, group, store = world.record, world.group, world.store
    first, second = world.nodes["n1"], world.nodes["n2"]
    for node in (first, second):
        node.start()
    for node in (first, second):
        if not await node.wait_ready():
            return 2
    client = world3.Client(record, "c1")
    if not await client.connect(first.host, first.ports[0], "orders"):
        return 2
    for _ in range(100):
        if (await client.ask("WRITE 1a3 before")).startswith("COMPLETE"):
            break
        await asyncio.sleep(0.1)
    else:
        return 2
    await asyncio.sleep(SETTLED_S)
    if has_trouble:
        replica = group.members["i-2"]
        entry = replica.entry() | {"service": "inventory", "dbRole": "replica",
                                   "born": int(time.time() * 1000)}  # fmt: skip
        store.put("servers", "x-9", entry)
        record(f"another writer's entry servers/x-9: {entry}")
    await asyncio.sleep(ENTRY_S)

    group.deaf.add("i-3")
    record("i-3 receives nothing from now on")
    acknowledged = []
    for number in range(8):
        result = await client.ask(f"WRITE 1a3 v{number}")
        if result.startswith("COMPLETE"):
            acknowledged.append(f"c1-{client.count}")
        await asyncio.sleep(0.1)
    record(f"acknowledged: {acknowledged}")
    if not acknowledged:
        return 2
    first.stop()
    group.members["i-1"].crash()
    record("n1 is killed, and the primary i-1 crashes")
    crashed_s = time.monotonic()
    is_listed, is_restarted = True, False
    while time.monotonic() - crashed_s < PROMOTION_LIMIT_S:
        elapsed_s = time.monotonic() - crashed_s
        if not is_restarted and elapsed_s >= RESTART_S:
            first.start()
            is_restarted = True
        if is_listed and elapsed_s >= LISTED_S:
            await store.answer("DELETE", "/-/objects/servers/i-1", None)
            is_listed = False
        leaders = [m for m in group.members.values() if m.is_up and m.role == "primary"]
        if leaders:
            names = [number for _, number in leaders[0].log]
            lost = [number for number in acknowledged if number not in names]
            record(f"{leaders[0].name} was promoted; its log lacks {lost}")
            return 1 if lost else 0
        await asyncio.sleep(0.05)
    record("no member was promoted")
    return 0


world3.run(play, FOLDER, ("n1", "n2"))
