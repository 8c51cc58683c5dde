"""Nodes that share one member's connections, in virtual time and without sockets."""

from __future__ import annotations

import asyncio
import random
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from radishtrack.clock import Clock
from radishtrack.errors import RequestError
from radishtrack.group.status import Role
from radishtrack.pooler.catalog import Member, MemberReport
from radishtrack.pooler.connections.allowance import ConnectionBudget
from radishtrack.pooler.evidence import Observation
from radishtrack.pooler.member_pool import MemberPool, make_member_pool
from radishtrack.pooler.ports import LinkRefused
from radishtrack.session.position import Position

CONNECT_S = 0.012
LOST_S = 0.9
KILLED_S = 3.0
REPORT_S = 0.9
MAX_DELAY_S = 1.1
MAX_WAIT_MS = 800.0
ORGANISATIONS = [f"org-{number}" for number in range(75)]
WEIGHTS = [(number + 1) ** -1.6 for number in range(75)]


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self.loop = loop

    def select(self, timeout: float | None = None) -> Any:
        self.loop.now_s += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer."""

    now_s = 0.0

    def __init__(self) -> None:
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        return self.now_s


@attrs.define(eq=False)
class FakeLink:
    """Connection that counts at the member until it is closed."""

    fleet: Fleet
    is_closed: bool = False

    def watch_end(self, on_end: Callable[[], None]) -> None:
        return

    def close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.fleet.open -= 1


@attrs.define(eq=False)
class Fleet:
    """Member with slots, and nodes whose pools share its connections."""

    nodes: int
    accepted: int
    slots: int
    service_s: float
    seed: int
    is_shared: bool = True
    is_limited: bool = True
    """Whether the member refuses connections beyond the accepted number."""
    open: int = 0
    most_open: int = 0
    opened: int = 0
    refused: int = 0
    served: int = 0
    unserved: int = 0
    reports: bool = True
    waits_ms: list[float] = attrs.field(factory=list)
    pools: list[MemberPool] = attrs.field(factory=list)
    dead: set[int] = attrs.field(factory=set)
    random: random.Random = attrs.field(init=False)
    slot: asyncio.Semaphore = attrs.field(init=False)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def start(self, views: Callable[[int], int] | None = None) -> None:
        """Start the nodes; `views` returns the number of nodes that each knows."""
        self.random = random.Random(self.seed)
        self.slot = asyncio.Semaphore(self.slots)
        for node in range(self.nodes):
            self.pools.append(self.make_pool(node, views(node) if views else 0))
        self.spawn(self._report())

    def make_pool(self, node: int, known: int = 0) -> MemberPool:
        loop = asyncio.get_running_loop()
        member = Member(
            "m", "g", "", 1, "z", self.slots, False, Role.PRIMARY, started_ms=1
        )
        clock = Clock(lambda: loop.time() * 1000)
        pool = make_member_pool(member, self._open, clock, 1)  # type: ignore[arg-type]
        if self.is_shared:
            usable = int(self.accepted * 0.75)
            capacity = ConnectionBudget(self.accepted, usable, known or self.nodes)
            pool.sharing.configure(pool, f"{self.seed}/{node}/{loop.time()}", capacity)
        return pool

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def restart(self, node: int) -> None:
        """Kill a node: its connections stay open for 3 s; start it again."""
        pool, self.pools[node] = self.pools[node], self.make_pool(node)
        pool.gate.queue.max_queue_length = 0
        asyncio.get_running_loop().call_later(KILLED_S, pool.drop_all)

    async def operate(self, node: int, holds_s: float, *, is_lost: bool) -> None:
        """Run one operation that holds its connection for `holds_s` after service."""
        pool = self.pools[node]
        now_ms = pool.clock.now_ms
        organisation = self.random.choices(ORGANISATIONS, WEIGHTS)[0]
        arrived_ms = now_ms()
        try:
            async with pool.lease(organisation, {}, arrived_ms + MAX_WAIT_MS) as link:
                self.waits_ms.append(now_ms() - arrived_ms)
                await self._use_slot(self.service_s)
                await asyncio.sleep(LOST_S if is_lost else holds_s)
                if is_lost:
                    link.link.close()
                self.served += 1
        except RequestError:
            self.waits_ms.append(now_ms() - arrived_ms)
            self.unserved += 1
        except LinkRefused:
            self.unserved += 1

    async def load(
        self, duration_s: float, rate: Callable[[int, float], float]
    ) -> None:
        """Start operations at each node at `rate(node, time)` per second."""
        loop = asyncio.get_running_loop()
        end_s, step_s = loop.time() + duration_s, 0.01
        while loop.time() < end_s:
            for node in range(self.nodes):
                if self.random.random() < rate(node, loop.time()) * step_s:
                    is_transaction = self.random.random() < 0.3
                    holds_s = self.random.uniform(0.1, 0.6) if is_transaction else 0.0
                    is_lost = self.random.random() < 0.01
                    self.spawn(self.operate(node, holds_s, is_lost=is_lost))
            await asyncio.sleep(step_s)

    async def _open(self, *_: object) -> FakeLink:
        if self.is_limited and self.open >= self.accepted:
            self.refused += 1
            raise LinkRefused("full", is_full=True)
        self.open += 1
        self.opened += 1
        self.most_open = max(self.most_open, self.open)
        await self._use_slot(CONNECT_S)
        return FakeLink(self)

    async def _use_slot(self, duration_s: float) -> None:
        async with self.slot:
            await asyncio.sleep(duration_s)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            for node in range(self.nodes):
                self.spawn(self._deliver(node, self.open))

    async def _deliver(self, node: int, connections: int) -> None:
        requested_ms = self.pools[node].clock.now_ms()
        await asyncio.sleep(self.random.uniform(0.05, MAX_DELAY_S))
        position = Position(1, 1)
        report = MemberReport(
            "m", 1, 0, Role.PRIMARY, position, 0.0, connections=connections
        )
        # Reports of the group's other two members also cause an adjustment.
        observation = Observation(report, requested_ms) if self.reports else None
        for _ in range(3):
            pool = self.pools[node]
            pool.sharing.adjust(pool, observation)
            await asyncio.sleep(REPORT_S / 3)


def run_virtual(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(scenario)
