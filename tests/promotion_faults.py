"""Random faults of members, nodes, store and network for `promotion_fleet`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final

from tests.promotion_members import PLATFORM, STORE, FleetMember
from tests.virtual_time import get_virtual_loop

if TYPE_CHECKING:
    from tests.promotion_fleet import PromotionFleet

Fault = Callable[["PromotionFleet"], Coroutine[Any, Any, None]]
MIN_STAYING: Final = 3
"""Members of which one may leave."""


def pick_replica(fleet: PromotionFleet) -> FleetMember | None:
    replicas = [
        member
        for member in fleet.group.members.values()
        if member.is_up and not member.is_primary and member.name != fleet.group.leader
    ]
    return fleet.random.choice(replicas) if replicas else None


def pick_any(fleet: PromotionFleet) -> FleetMember | None:
    members = [member for member in fleet.group.members.values() if member.is_up]
    return fleet.random.choice(members) if members else None


def find_leader(fleet: PromotionFleet) -> FleetMember:
    return fleet.group.members[fleet.group.leader]


async def pause(fleet: PromotionFleet, low_s: float, high_s: float) -> None:
    await asyncio.sleep(fleet.random.uniform(low_s, high_s))


def start_member(fleet: PromotionFleet, member: FleetMember) -> None:
    """Start a member's next process; a replica's has no log."""
    if fleet.group.members.get(member.name) is not member:
        return
    was_primary = member.is_primary or member.name == fleet.group.leader
    member.restart(keeps_log=was_primary)
    member.is_closed = member.is_leaving = False
    member.is_primary = member.name == fleet.group.leader
    if not was_primary:
        member.resumes_ms = fleet.now_ms() + 1_000_000.0 + fleet.random.uniform(50, 900)
    fleet.note("member starts", member.name, member.process, member.position)
    fleet.store.due_ms[member.name] = 0.0


async def crash_member(
    fleet: PromotionFleet, member: FleetMember | None, longest_s: float
) -> None:
    if member is None or not member.is_up:
        return
    fleet.note("member ends", member.name, member.process, member.position)
    member.end()
    await pause(fleet, 0.2, longest_s)
    start_member(fleet, member)


async def crash_replica(fleet: PromotionFleet) -> None:
    await crash_member(fleet, pick_replica(fleet), 5.0)


async def crash_primary(fleet: PromotionFleet) -> None:
    await crash_member(fleet, find_leader(fleet), 8.0)


async def crash_any(fleet: PromotionFleet) -> None:
    await crash_member(fleet, pick_any(fleet), 4.0)


async def close_port(fleet: PromotionFleet) -> None:
    member = pick_any(fleet)
    if member is not None:
        await close_member(fleet, member)


async def close_primary(fleet: PromotionFleet) -> None:
    await close_member(fleet, find_leader(fleet))


async def close_member(fleet: PromotionFleet, member: FleetMember) -> None:
    """Refuse connections while the process runs."""
    process = member.process
    fleet.note("port closed", member.name)
    member.is_closed = True
    member.end_links()
    await pause(fleet, 0.5, 7.0)
    member.is_closed = False
    fleet.note("port open", member.name, process)


async def make_deaf(fleet: PromotionFleet) -> None:
    member = pick_replica(fleet)
    if member is not None:
        await _make_deaf(fleet, member)


async def _make_deaf(fleet: PromotionFleet, member: FleetMember) -> None:
    fleet.note("deaf", member.name)
    member.is_deaf = True
    await pause(fleet, 0.5, 8.0)
    member.is_deaf = False
    fleet.note("hears", member.name)


async def make_slow(fleet: PromotionFleet) -> None:
    member = pick_any(fleet)
    if member is None:
        return
    member.slow_ms = fleet.random.choice((50.0, 150.0, 400.0, 900.0))
    fleet.note("slow", member.name, member.slow_ms)
    await pause(fleet, 0.5, 6.0)
    member.slow_ms = 0.0


async def cut_off(
    fleet: PromotionFleet,
    one: frozenset[str],
    is_other: Callable[[str], bool],
    text: str,
    longest_s: float = 6.0,
) -> None:
    fleet.note("cut", text, ",".join(sorted(one)))
    with fleet.network.cut(one, is_other):
        await pause(fleet, 0.3, longest_s)
    fleet.note("cut ends", text, ",".join(sorted(one)))


async def darken_member(fleet: PromotionFleet) -> None:
    member = pick_any(fleet)
    if member is not None:
        name = member.name
        await cut_off(fleet, frozenset({name}), lambda n: n != name, "dark")


async def darken_primary(fleet: PromotionFleet) -> None:
    name = fleet.group.leader
    await cut_off(fleet, frozenset({name}), lambda n: n != name, "dark")


async def cut_replication(fleet: PromotionFleet) -> None:
    replica, name = pick_replica(fleet), fleet.group.leader
    if replica is not None:
        await cut_off(
            fleet, frozenset({replica.name}), lambda n: n == name, f"from {name}"
        )


async def cut_from_nodes(fleet: PromotionFleet) -> None:
    member = pick_any(fleet)
    count = fleet.random.randint(1, len(fleet.nodes))
    nodes = fleet.random.sample(sorted(fleet.nodes), count)
    if member is not None:
        await cut_off(
            fleet,
            frozenset({member.name}),
            lambda n: n in nodes,
            f"from nodes {','.join(sorted(nodes))}",
        )


async def cut_member_from_store(fleet: PromotionFleet) -> None:
    member = pick_any(fleet)
    if member is not None:
        await cut_off(
            fleet, frozenset({member.name}), lambda n: n == STORE, "from store"
        )


async def cut_node_from_store(fleet: PromotionFleet) -> None:
    count = fleet.random.randint(1, len(fleet.nodes))
    nodes = frozenset(fleet.random.sample(sorted(fleet.nodes), count))
    await cut_off(
        fleet, nodes, lambda n: n in (STORE, PLATFORM), "from store and platform"
    )


async def cut_node_from_nodes(fleet: PromotionFleet) -> None:
    name = fleet.random.choice(sorted(fleet.nodes))
    others = fleet.nodes.keys() - {name}
    await cut_off(fleet, frozenset({name}), lambda n: n in others, "from other nodes")


async def isolate_node(fleet: PromotionFleet) -> None:
    name = fleet.random.choice(sorted(fleet.nodes))
    others = fleet.nodes.keys() - {name}
    await cut_off(
        fleet,
        frozenset({name}),
        lambda n: n in others or n in (STORE, PLATFORM),
        "from nodes and store",
    )


async def stop_store(fleet: PromotionFleet) -> None:
    if not fleet.store.is_down:
        begin_outage(fleet)
        await pause(fleet, 0.5, 9.0)
        end_outage(fleet)


async def slow_store(fleet: PromotionFleet) -> None:
    fleet.store.slow_ms = fleet.random.choice((200.0, 600.0, 1_000.0))
    fleet.note("store slow", fleet.store.slow_ms)
    await pause(fleet, 1.0, 8.0)
    fleet.store.slow_ms = 0.0


async def lose_writes(fleet: PromotionFleet) -> None:
    fleet.store.lossy = 0.3
    fleet.note("store loses writes")
    await pause(fleet, 1.0, 8.0)
    fleet.store.lossy = 0.0
    fleet.note("store loses nothing")


async def lose_orders(fleet: PromotionFleet) -> None:
    fleet.group.late_orders = 0.4
    fleet.group.late_controls = 0.4
    await pause(fleet, 2.0, 12.0)
    fleet.group.late_orders = fleet.group.late_controls = 0.0


async def crash_node(fleet: PromotionFleet) -> None:
    place = fleet.nodes[fleet.random.choice(sorted(fleet.nodes))]
    if place.node is None:
        return
    fleet.end_node(place)
    await pause(fleet, 0.3, 4.0)
    fleet.start_node(place)


async def freeze_node(fleet: PromotionFleet) -> None:
    """Suspend a node's process; it goes on later without knowing."""
    place = fleet.nodes[fleet.random.choice(sorted(fleet.nodes))]
    owner, loop = place.owner, get_virtual_loop()
    if place.node is None or owner in loop.held:
        return
    fleet.note("frozen", owner)
    loop.freeze(owner)
    await pause(fleet, 0.1, fleet.random.choice((1.0, 3.0, 8.0)))
    loop.thaw(owner)
    fleet.note("goes on", owner)


async def crash_nodes(fleet: PromotionFleet) -> None:
    """End all nodes; nobody knows then what was acknowledged."""
    places = [place for place in fleet.nodes.values() if place.node is not None]
    for place in places:
        fleet.end_node(place)
    await pause(fleet, 0.2, 2.0)
    for place in places:
        fleet.start_node(place)


async def replace_replica(fleet: PromotionFleet) -> None:
    """Lose a replica for good; another one starts, under a new name."""
    member = pick_replica(fleet)
    if member is None:
        return
    fleet.note("member lost", member.name, member.process, member.position)
    await replace_member(fleet, member)


async def replace_member(fleet: PromotionFleet, member: FleetMember) -> None:
    members = fleet.group.members
    if members.get(member.name) is not member or member.name == fleet.group.leader:
        return
    member.end()
    del members[member.name]
    number = 1 + max(int(name[1:]) for name in (*members, member.name))
    await pause(fleet, 0.3, 5.0)
    while f"m{number}" in members:
        number += 1
    successor = FleetMember(
        f"m{number}", process=0, is_up=False, names_own_term=member.names_own_term
    )
    members[successor.name] = successor
    start_member(fleet, successor)


async def retire_member(fleet: PromotionFleet) -> None:
    """Let a member leave; a primary waits for its successor."""
    member = pick_any(fleet)
    if member is not None:
        await retire(fleet, member)


async def retire_primary(fleet: PromotionFleet) -> None:
    await retire(fleet, find_leader(fleet))


async def retire(fleet: PromotionFleet, member: FleetMember) -> None:
    staying = [m for m in fleet.group.members.values() if not m.is_leaving]
    if member.is_leaving or len(staying) < MIN_STAYING:
        return
    process = member.process
    member.is_leaving = True
    fleet.note("leaving", member.name)
    fleet.store.register(member)
    await pause(fleet, 3.0, 9.0)
    while member.is_up and member.process == process:
        if not member.is_primary and member.name != fleet.group.leader:
            break
        await asyncio.sleep(0.5)
    else:
        # It has ended before a successor was found; its next process stays.
        return
    if fleet.group.members.get(member.name) is not member:
        return
    fleet.note("left", member.name, member.position)
    fleet.store.remove(member.name)
    await replace_member(fleet, member)


def begin_outage(fleet: PromotionFleet) -> None:
    store = fleet.store
    store.is_down = True
    store.is_silent = fleet.random.random() < 0.5
    store.expires_while_down = fleet.random.random() < 0.5
    fleet.note("store down", store.is_silent, store.expires_while_down)


def end_outage(fleet: PromotionFleet) -> None:
    if fleet.store.is_down:
        fleet.store.is_down = False
        fleet.note("store up")


FAULTS: Final[tuple[tuple[Fault, int], ...]] = (
    (crash_replica, 5),
    (crash_primary, 4),
    (crash_any, 2),
    (close_port, 4),
    (make_deaf, 5),
    (make_slow, 2),
    (darken_member, 2),
    (darken_primary, 2),
    (cut_replication, 2),
    (cut_from_nodes, 3),
    (cut_member_from_store, 2),
    (cut_node_from_store, 2),
    (cut_node_from_nodes, 2),
    (isolate_node, 2),
    (stop_store, 5),
    (slow_store, 2),
    (lose_writes, 2),
    (lose_orders, 3),
    (crash_node, 3),
    (crash_nodes, 1),
    (freeze_node, 4),
    (replace_replica, 3),
    (retire_member, 2),
)
