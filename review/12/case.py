"""A primary, a node and a member that has just started are cut off together.

One side has the primary, one node and the new member; the other has the store, the
other node, which holds the duty of the rates, and the listed replicas. The cut is silent
and lasts 5 s.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import world3

CUT_S = 5.0
START_S = 0.15
"""Time after the cut at which the new member has the primary's log."""
SETTLED_S = 6.0
"""Time from the start of the nodes to the first statement."""
WARM_UP = 10
"""Writes that are served before the cut."""
FAR_SIDE = ("i-2", "i-3")
NEAR_SIDE = ("i-1", "i-4")


def find_owner(peer, own, nodes):
    """Return the node whose process has the other end of a loopback connection."""
    wanted = f":{peer[1]:04X}", f":{own[1]:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        if words[1].endswith(wanted[0]) and words[2].endswith(wanted[1]):
            link = f"socket:[{words[9]}]"
            for name, node in nodes.items():
                folder = f"/proc/{node.process.pid}/fd"
                for entry in os.listdir(folder):
                    try:
                        if os.readlink(f"{folder}/{entry}") == link:
                            return name
                    except OSError:
                        continue
    return ""


class Cut:
    """A silent partition; what waits at it goes on when it heals."""

    def __init__(self):
        self.is_on = False
        self.node = ""
        """Node that is cut off together with the primary."""
        self.healed = asyncio.Event()

    def start(self):
        self.is_on = True

    def heal(self):
        self.is_on = False
        self.healed.set()

    async def pass_through(self):
        if self.is_on:
            await self.healed.wait()


class PeerPath:
    """The path from one node to another."""

    def __init__(self, cut, target):
        self.cut, self.target = cut, target

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            await self.cut.pass_through()
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return

        async def copy(source, target):
            try:
                while data := await source.read(65_536):
                    await self.cut.pass_through()
                    target.write(data)
                    await target.drain()
            except OSError:
                pass
            finally:
                target.close()

        await asyncio.gather(copy(reader, far_writer), copy(far_reader, writer))


class View:
    """The store as one node reaches it, with its paths to the other nodes."""

    def __init__(self, store, cut, name, paths):
        self.store, self.cut, self.name, self.paths = store, cut, name, paths
        self.record = store.record

    async def start(self):
        serve = world3.Store.serve
        self.server = await asyncio.start_server(
            lambda reader, writer: serve(self, reader, writer), "127.0.0.1", 0
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def answer(self, method, target, body):
        if self.name == self.cut.node:
            await self.cut.pass_through()
        status, answer = await self.store.answer(method, target, body)
        if self.name == self.cut.node:
            await self.cut.pass_through()
        if method == "GET" and isinstance(answer, dict) and "items" in answer:
            answer = answer | {"items": [self.show(item) for item in answer["items"]]}
        return status, answer

    def show(self, item):
        name = item["meta"]["name"].removeprefix("node.")
        path = self.paths.get((self.name, name))
        if path is None or not item["meta"]["name"].startswith("node."):
            return item
        spec = item["spec"] | {"host": "127.0.0.1", "port": path.port}
        return item | {"spec": spec}


async def play(world, has_trouble):
    record, group, store = world.record, world.group, world.store
    cut, paths = Cut(), {}
    nodes = world.nodes
    for name, other in (("n1", "n2"), ("n2", "n1")):
        node = nodes[other]
        paths[name, other] = PeerPath(cut, (node.host, node.ports[2]))
        await paths[name, other].start()
    for name, node in nodes.items():
        view = View(store, cut, name, paths)
        await view.start()
        node.write_settings(view)

    def reach(member, peer, own):
        owner = find_owner(peer, own, nodes)

        async def pass_through():
            far_side = FAR_SIDE if owner == cut.node else NEAR_SIDE
            if owner and member.name in far_side:
                await cut.pass_through()

        return pass_through

    group.reach = reach
    for node in nodes.values():
        node.start()
    for node in nodes.values():
        if not await node.wait_ready():
            return 2
    await asyncio.sleep(SETTLED_S)
    # Nodes that have just started can refuse sessions for a moment, and close them.
    holder = store.objects["radishtrack", "duty.rates"]["spec"]["holder"]
    cut.node = next(name for name in nodes if name != holder)
    node = nodes[cut.node]
    if not await node.wait_ready():
        return 2
    client = world3.Client(record, "c1")
    if not await client.connect(node.host, node.ports[0], "orders"):
        return 2
    served = 0
    for _ in range(100):
        served += (await client.ask("WRITE 1a3 before")).startswith("COMPLETE")
        if served == WARM_UP:
            break
        await asyncio.sleep(0.1)
    else:
        return 2

    primary = group.members["i-1"]
    joined = world3.Member(group, "i-4", "replica")
    follow, group.follow = group.follow, lambda leader: None
    if has_trouble:
        record(f"cut: i-1, i-4 and {cut.node} on one side; the store, i-2, i-3, {holder} beyond")
        cut.start()
        group.deaf.update(FAR_SIDE)
    cut_s = time.monotonic()
    await asyncio.sleep(START_S)
    await joined.start()
    joined.log, joined.term = list(primary.log), primary.term
    group.members["i-4"] = joined
    record("i-4 has started and follows i-1")
    if not has_trouble:
        group.register(joined)
    acknowledged = []
    while time.monotonic() - cut_s < CUT_S:
        result = await client.ask("WRITE 1a3 after", limit_s=1.0)
        if result.startswith("COMPLETE"):
            acknowledged.append(f"c1-{client.count}")
        if not result:
            break
        await asyncio.sleep(0.05)
    await asyncio.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
    cut.heal()
    group.deaf.clear()
    group.register(joined)
    record("the cut heals")
    leaders = [m for m in group.members.values() if m.role == "primary"]
    leader = max(leaders, key=lambda member: member.term)
    names = [number for _, number in leader.log]
    lost = [number for number in acknowledged if number not in names]
    record(f"acknowledged after the cut: {acknowledged}")
    record(f"{leader.name} leads term {leader.term}; its log lacks {lost}")
    follow(leader)
    if not acknowledged:
        return 2
    return 1 if lost else 0


world3.run(play, FOLDER, ("n1", "n2"))
