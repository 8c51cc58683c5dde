"""Tests that the fences of a promotion are not lifted while it is under way.

`RESUME` names no term, so one that belongs to an earlier promotion lifts them too.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import pytest

from radishtrack.platform.control_store import PlatformControlStore
from radishtrack.pooler.catalog import Member
from radishtrack.pooler.ports import LinkLost, MemberLink
from radishtrack.pooler.promoter import PromotionState
from radishtrack.pooler.statements import (
    MemberResponse,
    MemberStatement,
    Unfence,
)
from radishtrack.session.position import Position
from tests.pooler_simulation import (
    GROUP,
    RunningNode,
    Simulation,
    make_old,
    open_simulation,
    wait_until,
)

OPEN_S = 0.39
"""Time to connect over the slow path; below the limit of 0.4 s."""
LOST_S = 0.5
"""Time after which a statement without a response is given up."""
ANNOUNCE_S = 1.0
"""Time that the store takes for a call; below the limit of 1.2 s."""
PROMOTION_S = 1.8
"""Time from the order until it takes effect."""

BeforeStatement = Callable[[MemberStatement], Awaitable[None]]


@attrs.define(eq=False)
class SlowLink:
    """A connection that does something before each statement."""

    link: MemberLink
    before: BeforeStatement

    @property
    def is_closed(self) -> bool:
        return self.link.is_closed

    async def run(
        self,
        statement: MemberStatement,
        *,
        min_position: Position | None,
        timeout_ms: float,
    ) -> MemberResponse:
        try:
            await self.before(statement)
        except LinkLost:
            self.link.close()
            raise
        return await self.link.run(
            statement, min_position=min_position, timeout_ms=timeout_ms
        )

    def watch_end(self, on_end: Callable[[], None]) -> None:
        self.link.watch_end(on_end)

    def close(self) -> None:
        self.link.close()


def slow_down(
    running: RunningNode, name: str, before: BeforeStatement, open_s: float = 0.0
) -> None:
    """Make a node's path to a member slow."""
    pool = running.node.find_group(GROUP).pools[name]
    open_link = pool.open_link

    async def open_slowly(
        member: Member, organisation: str, timeout_ms: float
    ) -> MemberLink:
        await asyncio.sleep(open_s)
        link = await open_link(member, organisation, timeout_ms)
        return SlowLink(link, before)

    pool.open_link = open_slowly
    pool.drop_all()


def sort_by_rank(simulation: Simulation) -> list[RunningNode]:
    for running in simulation.nodes:
        make_old(running.node)
    return sorted(simulation.nodes, key=lambda n: n.node.promoter._rank(GROUP))


def delay_promotion(simulation: Simulation) -> asyncio.Task[list[str]]:
    """Let orders take effect later; return the members whose fence is lifted before."""
    promoted = asyncio.Event()

    def promote_later(_group: str, name: str) -> int:
        def take_effect() -> None:
            promoted.set()
            simulation._finish_promotion(simulation.members[name])

        asyncio.get_running_loop().call_later(PROMOTION_S, take_effect)
        return 200

    async def watch() -> list[str]:
        await wait_until(lambda: simulation.store.orders)
        names = [m.name for m in simulation.members.values() if m.fenced_term > m.term]
        lifted = set[str]()
        while not promoted.is_set():
            lifted |= {n for n in names if not simulation.members[n].fenced_term}
            await asyncio.sleep(0.005)
        return sorted(lifted)

    simulation.store.on_order = promote_later
    return asyncio.create_task(watch())


async def test_a_failed_attempt_does_not_lift_the_fences_of_the_next_holder(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The claim had ended before the attempt did, and another node had fenced."""
    announce_term = PlatformControlStore.announce_term

    async def announce_slowly(
        store: PlatformControlStore, group: str, term: int
    ) -> None:
        await announce_term(store, group, term)
        if store is slow.node.store_copy.store:
            await asyncio.sleep(ANNOUNCE_S)

    monkeypatch.setattr(PlatformControlStore, "announce_term", announce_slowly)
    async with open_simulation(nodes=2) as simulation:
        slow, other = sort_by_rank(simulation)

        async def lose_unless_unfence(statement: MemberStatement) -> None:
            if not isinstance(statement, Unfence):
                await asyncio.sleep(LOST_S)
                raise LinkLost("no answer within 500 ms", is_sent=True)

        lifted = delay_promotion(simulation)
        slow_down(slow, "i-3", lose_unless_unfence, OPEN_S)
        simulation.register(simulation.primary, state="draining")
        await wait_until(lambda: simulation.store.orders)
        holders = [order[2] for order in simulation.store.orders]
        assert holders == [other.node.options.node.name]
        assert await lifted == []


def lead_later_term(simulation: Simulation) -> None:
    """Let i-2 lead the next term, whose start i-3 has missed."""
    earlier, leader = simulation.members["i-1"], simulation.members["i-2"]
    leader.promote()
    leader.replicas = [earlier, simulation.members["i-3"]]
    earlier.term, earlier.role = leader.term, "replica"


async def test_a_correction_of_a_member_does_not_lift_the_fence_of_a_promotion() -> (
    None
):
    """A node had read the fence of the last promotion when the next one began."""
    async with open_simulation(nodes=2) as simulation:
        slow, other = sort_by_rank(simulation)
        is_correcting = asyncio.Event()

        async def delay_unfence(statement: MemberStatement) -> None:
            if isinstance(statement, Unfence):
                is_correcting.set()
                await asyncio.sleep(0.9 * LOST_S)

        never = asyncio.Event()
        tasks = [asyncio.create_task(wait_for(never)) for _ in simulation.nodes]
        for running, task in zip((slow, other), tasks, strict=True):
            running.node.promoter.states["another group"] = PromotionState(task=task)
        lifted = delay_promotion(simulation)
        slow_down(slow, "i-3", delay_unfence)
        lead_later_term(simulation)
        for running in simulation.nodes:
            running.node.find_group(GROUP).request_poll()
        await wait_until(lambda: all(has_later_term(n) for n in simulation.nodes))
        simulation.register(simulation.primary, state="draining")
        await wait_until(
            lambda: other.node.promoter.states[GROUP].reason_since_ms is not None
        )
        simulation.members["i-3"].fenced_term = simulation.primary.term
        slow.node.find_group(GROUP).request_poll()
        async with asyncio.timeout(5.0):
            await is_correcting.wait()
        tasks[1].cancel()
        try:
            assert await lifted == []
        finally:
            tasks[0].cancel()


async def wait_for(event: asyncio.Event) -> None:
    await event.wait()


def has_later_term(running: RunningNode) -> bool:
    evidence = running.node.find_group(GROUP).evidence
    return (evidence.term, evidence.primary) == (2, "i-2")
