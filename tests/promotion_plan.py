"""Faults that follow each other in a fleet, and the choice of faults of one run."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any, Final

import attrs

from tests.promotion_faults import (
    FAULTS,
    Fault,
    begin_outage,
    close_member,
    close_primary,
    crash_member,
    crash_node,
    crash_nodes,
    crash_primary,
    cut_node_from_nodes,
    cut_node_from_store,
    cut_off,
    darken_primary,
    end_outage,
    find_leader,
    freeze_node,
    isolate_node,
    make_deaf,
    make_slow,
    pause,
    pick_replica,
    replace_member,
    retire,
    retire_primary,
    slow_store,
)
from tests.promotion_members import STORE, FleetMember

if TYPE_CHECKING:
    from tests.promotion_fleet import PromotionFleet

USED_FRACTION: Final = 0.5
"""Part of the kinds of faults that one plan uses."""


async def hide_holder(fleet: PromotionFleet) -> None:
    """Let one replica alone receive while it is hidden; then lose the primary."""
    await _await_health(fleet)
    holder, primary = pick_replica(fleet), find_leader(fleet)
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
            begin_outage(fleet)
            await pause(fleet, 0.0, 1.0)
        holder = await _hide(fleet, holder, hide, stack)
        if when_down == "after":
            await pause(fleet, 0.0, 1.5)
            begin_outage(fleet)
        await pause(fleet, 0.0, choose((0.3, 4.0)))
        for member in others:
            member.is_deaf = True
            stack.callback(setattr, member, "is_deaf", False)
        fleet.note("deaf", *(member.name for member in others))
        await pause(fleet, 0.3, 4.0)
        if when_down == "later":
            begin_outage(fleet)
            await pause(fleet, 0.0, 2.0)
        await _lose_primary(fleet, primary, holder, stack)
        await pause(fleet, 0.0, 1.0)
        end_outage(fleet)
        await pause(fleet, 0.5, 5.0)
        fleet.note("hide ends", holder.name)
    await pause(fleet, 0.5, 4.0)


async def _await_health(fleet: PromotionFleet) -> None:
    """Wait, for a limited time, until two replicas follow the leader."""
    for _ in range(40):
        leader = find_leader(fleet)
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
            await crash_member(fleet, member, 1.5)
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
            await replace_member(fleet, member)
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
            faults.append(crash_member(fleet, primary, 8.0))
        case "dark":
            faults.append(darken_primary(fleet))
        case "leave":
            faults.append(retire(fleet, primary))
        case "port":
            faults.append(close_member(fleet, primary))
    match choose(("crash", "dark", "none", "none")):
        case "crash":
            faults.append(crash_member(fleet, holder, 6.0))
        case "dark":
            name = holder.name
            faults.append(
                cut_off(fleet, frozenset({name}), lambda n: n != name, "dark")
            )
    match choose(("one", "all", "none", "none", "none")):
        case "one":
            faults.append(crash_node(fleet))
        case "all":
            faults.append(crash_nodes(fleet))
    fleet.random.shuffle(faults)
    for fault in faults:
        fleet.start(fault)
        await pause(fleet, 0.0, choose((0.1, 1.0)))


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
        await pause(fleet, 0.0, 0.3)
        member = fleet.random.choice(fenced)
        if fleet.random.random() < 0.5:
            fleet.start(crash_member(fleet, member, 0.4))
        else:
            fleet.note("late Unfence", member.name)
            member.fenced_term = 0
        await pause(fleet, 0.0, 1.0)
    fleet.group.late_controls = fleet.group.late_orders = 0.0


STORIES: Final[tuple[Fault, ...]] = (hide_holder, hide_holder, restart_fenced)
"""Faults that follow each other, as in promotions that lost commits."""
PRIMARY_FAULTS: Final[tuple[Fault, ...]] = (
    crash_primary,
    darken_primary,
    retire_primary,
    close_primary,
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
        await fleet.end_faults()

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
