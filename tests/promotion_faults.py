"""Random faults of members, nodes, store and network for `promotion_fleet`."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final

import attrs

from tests.promotion_members import PLATFORM, STORE, FleetMember
from tests.virtual_time import get_virtual_loop

if TYPE_CHECKING:
    from tests.promotion_fleet import PromotionFleet

Fault = Callable[["PromotionFleet"], Coroutine[Any, Any, None]]
MIN_STAYING: Final = 3
"""Members of which one may leave."""
USED_FRACTION: Final = 0.5
"""Part of the kinds of faults that one plan uses."""


def _pick_replica(fleet: PromotionFleet) -> FleetMember | None:
    replicas = [
        member
        for member in fleet.group.members.values()
        if member.is_up and not member.is_primary and member.name != fleet.group.leader
    ]
    return fleet.random.choice(replicas) if replicas else None


def _pick_any(fleet: PromotionFleet) -> FleetMember | None:
    members = [member for member in fleet.group.members.values() if member.is_up]
    return fleet.random.choice(members) if members else None


def _leader(fleet: PromotionFleet) -> FleetMember:
    return fleet.group.members[fleet.group.leader]


async def _pause(fleet: PromotionFleet, low_s: float, high_s: float) -> None:
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


async def _crash(
    fleet: PromotionFleet, member: FleetMember | None, longest_s: float
) -> None:
    if member is None or not member.is_up:
        return
    fleet.note("member ends", member.name, member.process, member.position)
    member.end()
    await _pause(fleet, 0.2, longest_s)
    start_member(fleet, member)


async def crash_replica(fleet: PromotionFleet) -> None:
    await _crash(fleet, _pick_replica(fleet), 5.0)


async def crash_primary(fleet: PromotionFleet) -> None:
    await _crash(fleet, _leader(fleet), 8.0)


async def crash_any(fleet: PromotionFleet) -> None:
    await _crash(fleet, _pick_any(fleet), 4.0)


async def close_port(fleet: PromotionFleet) -> None:
    member = _pick_any(fleet)
    if member is not None:
        await _close_port(fleet, member)


async def close_primary(fleet: PromotionFleet) -> None:
    await _close_port(fleet, _leader(fleet))


async def _close_port(fleet: PromotionFleet, member: FleetMember) -> None:
    """Refuse connections while the process runs."""
    process = member.process
    fleet.note("port closed", member.name)
    member.is_closed = True
    member.end_links()
    await _pause(fleet, 0.5, 7.0)
    member.is_closed = False
    fleet.note("port open", member.name, process)


async def make_deaf(fleet: PromotionFleet) -> None:
    member = _pick_replica(fleet)
    if member is not None:
        await _make_deaf(fleet, member)


async def _make_deaf(fleet: PromotionFleet, member: FleetMember) -> None:
    fleet.note("deaf", member.name)
    member.is_deaf = True
    await _pause(fleet, 0.5, 8.0)
    member.is_deaf = False
    fleet.note("hears", member.name)


async def make_slow(fleet: PromotionFleet) -> None:
    member = _pick_any(fleet)
    if member is None:
        return
    member.slow_ms = fleet.random.choice((50.0, 150.0, 400.0, 900.0))
    fleet.note("slow", member.name, member.slow_ms)
    await _pause(fleet, 0.5, 6.0)
    member.slow_ms = 0.0


async def _cut(
    fleet: PromotionFleet,
    one: frozenset[str],
    is_other: Callable[[str], bool],
    text: str,
    longest_s: float = 6.0,
) -> None:
    fleet.note("cut", text, ",".join(sorted(one)))
    with fleet.network.cut(one, is_other):
        await _pause(fleet, 0.3, longest_s)
    fleet.note("cut ends", text, ",".join(sorted(one)))


async def darken_member(fleet: PromotionFleet) -> None:
    member = _pick_any(fleet)
    if member is not None:
        name = member.name
        await _cut(fleet, frozenset({name}), lambda n: n != name, "dark")


async def darken_primary(fleet: PromotionFleet) -> None:
    name = fleet.group.leader
    await _cut(fleet, frozenset({name}), lambda n: n != name, "dark")


async def cut_replication(fleet: PromotionFleet) -> None:
    replica, name = _pick_replica(fleet), fleet.group.leader
    if replica is not None:
        await _cut(
            fleet, frozenset({replica.name}), lambda n: n == name, f"from {name}"
        )


async def cut_from_nodes(fleet: PromotionFleet) -> None:
    member = _pick_any(fleet)
    count = fleet.random.randint(1, len(fleet.nodes))
    nodes = fleet.random.sample(sorted(fleet.nodes), count)
    if member is not None:
        await _cut(
            fleet,
            frozenset({member.name}),
            lambda n: n in nodes,
            f"from nodes {','.join(sorted(nodes))}",
        )


async def cut_member_from_store(fleet: PromotionFleet) -> None:
    member = _pick_any(fleet)
    if member is not None:
        await _cut(fleet, frozenset({member.name}), lambda n: n == STORE, "from store")


async def cut_node_from_store(fleet: PromotionFleet) -> None:
    count = fleet.random.randint(1, len(fleet.nodes))
    nodes = frozenset(fleet.random.sample(sorted(fleet.nodes), count))
    await _cut(
        fleet, nodes, lambda n: n in (STORE, PLATFORM), "from store and platform"
    )


async def cut_node_from_nodes(fleet: PromotionFleet) -> None:
    name = fleet.random.choice(sorted(fleet.nodes))
    others = fleet.nodes.keys() - {name}
    await _cut(fleet, frozenset({name}), lambda n: n in others, "from other nodes")


async def isolate_node(fleet: PromotionFleet) -> None:
    name = fleet.random.choice(sorted(fleet.nodes))
    others = fleet.nodes.keys() - {name}
    await _cut(
        fleet,
        frozenset({name}),
        lambda n: n in others or n in (STORE, PLATFORM),
        "from nodes and store",
    )


async def stop_store(fleet: PromotionFleet) -> None:
    if not fleet.store.is_down:
        _stop_store(fleet)
        await _pause(fleet, 0.5, 9.0)
        _start_store(fleet)


async def slow_store(fleet: PromotionFleet) -> None:
    fleet.store.slow_ms = fleet.random.choice((200.0, 600.0, 1_000.0))
    fleet.note("store slow", fleet.store.slow_ms)
    await _pause(fleet, 1.0, 8.0)
    fleet.store.slow_ms = 0.0


async def lose_writes(fleet: PromotionFleet) -> None:
    fleet.store.lossy = 0.3
    fleet.note("store loses writes")
    await _pause(fleet, 1.0, 8.0)
    fleet.store.lossy = 0.0
    fleet.note("store loses nothing")


async def lose_orders(fleet: PromotionFleet) -> None:
    fleet.group.late_orders = 0.4
    fleet.group.late_controls = 0.4
    await _pause(fleet, 2.0, 12.0)
    fleet.group.late_orders = fleet.group.late_controls = 0.0


async def crash_node(fleet: PromotionFleet) -> None:
    place = fleet.nodes[fleet.random.choice(sorted(fleet.nodes))]
    if place.node is None:
        return
    fleet.end_node(place)
    await _pause(fleet, 0.3, 4.0)
    fleet.start_node(place)


async def freeze_node(fleet: PromotionFleet) -> None:
    """Suspend a node's process; it goes on later without knowing."""
    place = fleet.nodes[fleet.random.choice(sorted(fleet.nodes))]
    owner, loop = place.owner, get_virtual_loop()
    if place.node is None or owner in loop.held:
        return
    fleet.note("frozen", owner)
    loop.freeze(owner)
    await _pause(fleet, 0.1, fleet.random.choice((1.0, 3.0, 8.0)))
    loop.thaw(owner)
    fleet.note("goes on", owner)


async def crash_nodes(fleet: PromotionFleet) -> None:
    """End all nodes; nobody knows then what was acknowledged."""
    places = [place for place in fleet.nodes.values() if place.node is not None]
    for place in places:
        fleet.end_node(place)
    await _pause(fleet, 0.2, 2.0)
    for place in places:
        fleet.start_node(place)


async def replace_replica(fleet: PromotionFleet) -> None:
    """Lose a replica for good; another one starts, under a new name."""
    member = _pick_replica(fleet)
    if member is None:
        return
    fleet.note("member lost", member.name, member.process, member.position)
    await _replace(fleet, member)


async def _replace(fleet: PromotionFleet, member: FleetMember) -> None:
    members = fleet.group.members
    if members.get(member.name) is not member or member.name == fleet.group.leader:
        return
    member.end()
    del members[member.name]
    number = 1 + max(int(name[1:]) for name in (*members, member.name))
    await _pause(fleet, 0.3, 5.0)
    while f"m{number}" in members:
        number += 1
    successor = FleetMember(
        f"m{number}", process=0, is_up=False, names_own_term=member.names_own_term
    )
    members[successor.name] = successor
    start_member(fleet, successor)


async def retire_member(fleet: PromotionFleet) -> None:
    """Let a member leave; a primary waits for its successor."""
    member = _pick_any(fleet)
    if member is not None:
        await _retire(fleet, member)


async def retire_primary(fleet: PromotionFleet) -> None:
    await _retire(fleet, _leader(fleet))


async def _retire(fleet: PromotionFleet, member: FleetMember) -> None:
    staying = [m for m in fleet.group.members.values() if not m.is_leaving]
    if member.is_leaving or len(staying) < MIN_STAYING:
        return
    process = member.process
    member.is_leaving = True
    fleet.note("leaving", member.name)
    fleet.store.register(member)
    await _pause(fleet, 3.0, 9.0)
    while member.is_up and (member.is_primary or member.name == fleet.group.leader):
        await asyncio.sleep(0.5)
    if not member.is_up or member.process != process:
        return
    if fleet.group.members.get(member.name) is not member:
        return
    fleet.note("left", member.name, member.position)
    fleet.store.remove(member.name)
    await _replace(fleet, member)


async def hide_holder(fleet: PromotionFleet) -> None:
    """Let one replica alone receive while it is hidden; then lose the primary."""
    await _await_health(fleet)
    holder, primary = _pick_replica(fleet), _leader(fleet)
    if holder is None:
        return
    choose = fleet.random.choice
    others = [
        member
        for member in fleet.group.members.values()
        if member not in (holder, primary)
    ][fleet.group.synchronous_replicas - 1 :]
    hide = choose(("crash", "port", "nodes", "dark", "store", "replace", "none"))
    when_down = choose(("before", "after", "later", "never"))
    fleet.note("hide", holder.name, hide, when_down)
    with contextlib.ExitStack() as stack:
        if when_down == "before":
            _stop_store(fleet)
            await _pause(fleet, 0.0, 1.0)
        holder = await _hide(fleet, holder, hide, stack)
        if when_down == "after":
            await _pause(fleet, 0.0, 1.5)
            _stop_store(fleet)
        await _pause(fleet, 0.0, choose((0.3, 4.0)))
        for member in others:
            member.is_deaf = True
            stack.callback(setattr, member, "is_deaf", False)
        fleet.note("deaf", *(member.name for member in others))
        await _pause(fleet, 0.3, 4.0)
        if when_down == "later":
            _stop_store(fleet)
            await _pause(fleet, 0.0, 2.0)
        await _lose_primary(fleet, primary, holder, stack)
        await _pause(fleet, 0.0, 1.0)
        _start_store(fleet)
        await _pause(fleet, 0.5, 5.0)
        fleet.note("hide ends", holder.name)
    await _pause(fleet, 0.5, 4.0)


async def _await_health(fleet: PromotionFleet) -> None:
    """Wait, for a limited time, until two replicas follow the leader."""
    for _ in range(40):
        leader = _leader(fleet)
        followers = [
            member
            for member in fleet.group.members.values()
            if member is not leader
            and member.is_up
            and not member.fenced_term
            and member.term == leader.term
        ]
        if leader.is_up and len(followers) >= 2:
            return
        await asyncio.sleep(0.1)


async def _hide(
    fleet: PromotionFleet, member: FleetMember, how: str, stack: contextlib.ExitStack
) -> FleetMember:
    """Hide a member until the stack is closed; return it or its successor."""
    one = frozenset({member.name})
    match how:
        case "crash":
            await _crash(fleet, member, 1.5)
        case "port":
            member.is_closed = True
            member.end_links()
            stack.callback(setattr, member, "is_closed", False)
        case "nodes":
            stack.enter_context(fleet.network.cut(one, fleet.nodes.__contains__))
        case "dark":
            hidden = {*fleet.nodes, STORE}
            stack.enter_context(fleet.network.cut(one, hidden.__contains__))
        case "store":
            stack.enter_context(fleet.network.cut(one, STORE.__eq__))
        case "replace":
            known = set(fleet.group.members)
            await _replace(fleet, member)
            names = sorted(fleet.group.members.keys() - known)
            return fleet.group.members[names[0]] if names else member
    return member


async def _lose_primary(
    fleet: PromotionFleet,
    primary: FleetMember,
    holder: FleetMember,
    stack: contextlib.ExitStack,
) -> None:
    choose = fleet.random.choice
    faults: list[Coroutine[Any, Any, None]] = []
    match choose(("crash", "dark", "leave", "none", "port")):
        case "crash":
            faults.append(_crash(fleet, primary, 8.0))
        case "dark":
            faults.append(darken_primary(fleet))
        case "leave":
            faults.append(_retire(fleet, primary))
        case "port":
            faults.append(_close_port(fleet, primary))
    match choose(("crash", "dark", "none", "none")):
        case "crash":
            faults.append(_crash(fleet, holder, 6.0))
        case "dark":
            name = holder.name
            faults.append(_cut(fleet, frozenset({name}), lambda n: n != name, "dark"))
    match choose(("one", "all", "none", "none", "none")):
        case "one":
            faults.append(crash_node(fleet))
        case "all":
            faults.append(crash_nodes(fleet))
    fleet.random.shuffle(faults)
    for fault in faults:
        fleet.start(fault)
        await _pause(fleet, 0.0, choose((0.1, 1.0)))


def _stop_store(fleet: PromotionFleet) -> None:
    store = fleet.store
    store.is_down = True
    store.is_silent = fleet.random.random() < 0.5
    store.expires_while_down = fleet.random.random() < 0.5
    fleet.note("store down", store.is_silent, store.expires_while_down)


def _start_store(fleet: PromotionFleet) -> None:
    if fleet.store.is_down:
        fleet.store.is_down = False
        fleet.note("store up")


async def restart_fenced(fleet: PromotionFleet) -> None:
    """End fences by restarts and late statements while a promotion is under way."""
    fleet.group.late_controls = fleet.group.late_orders = 0.3
    await _await_health(fleet)
    fleet.start(fleet.random.choice(PRIMARY_FAULTS)(fleet))
    until_ms = fleet.now_ms() + 6_000.0
    others = [
        isolate_node,
        cut_node_from_store,
        cut_node_from_nodes,
        freeze_node,
        make_deaf,
        make_slow,
        slow_store,
    ]
    while fleet.now_ms() < until_ms:
        await asyncio.sleep(0.02)
        fenced = [m for m in fleet.group.members.values() if m.is_up and m.fenced_term]
        if not fenced:
            continue
        if others and fleet.random.random() < 0.3:
            fault = fleet.random.choice(others)
            others.remove(fault)
            fleet.start(fault(fleet))
        await _pause(fleet, 0.0, 0.3)
        member = fleet.random.choice(fenced)
        if fleet.random.random() < 0.5:
            fleet.start(_crash(fleet, member, 0.4))
        else:
            fleet.note("late Unfence", member.name)
            member.fenced_term = 0
        await _pause(fleet, 0.0, 1.0)
    fleet.group.late_controls = fleet.group.late_orders = 0.0


STORIES: Final[tuple[Fault, ...]] = (hide_holder, hide_holder, restart_fenced)
"""Faults that follow each other, as in promotions that lost commits."""
PRIMARY_FAULTS: Final[tuple[Fault, ...]] = (
    crash_primary,
    darken_primary,
    retire_primary,
    close_primary,
)
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


@attrs.define(eq=False)
class FaultPlan:
    """Starts random faults, which overlap, and waits for their ends.

    Parameters
    ----------
    random : Random
        Chooses them.
    duration_ms : float
        Time in which faults start.
    """

    random: random.Random
    duration_ms: float

    async def run(self, fleet: PromotionFleet) -> None:
        """Play the faults."""
        until_ms = fleet.now_ms() + self.duration_ms
        match self.random.choice(("stories", "stories", "single", "both")):
            case "stories":
                await self._tell(fleet, until_ms)
            case "single":
                await self._scatter(fleet, until_ms, self.random.choice((0.8, 2.0)))
            case "both":
                await asyncio.gather(
                    self._tell(fleet, until_ms), self._scatter(fleet, until_ms, 8.0)
                )
        while fleet.faults:
            await asyncio.wait(fleet.faults)

    async def _tell(self, fleet: PromotionFleet, until_ms: float) -> None:
        while fleet.now_ms() < until_ms:
            await self.random.choice(STORIES)(fleet)

    async def _scatter(
        self, fleet: PromotionFleet, until_ms: float, longest_s: float
    ) -> None:
        used = [item for item in FAULTS if self.random.random() < USED_FRACTION]
        faults, weights = zip(*(used or FAULTS), strict=True)
        while fleet.now_ms() < until_ms:
            await asyncio.sleep(self.random.uniform(0.05, longest_s))
            (fault,) = self.random.choices(faults, weights)
            fleet.start(fault(fleet))
