"""Guards the monitor's polls: fresh rounds, shared cost and no leaked connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import pytest

from radishtrack.backend import monitor as monitor_module
from radishtrack.backend.admin_connection import AdminConnection
from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack.backend.monitor import Monitor, make_monitor
from radishtrack.clock import Clock, make_system_clock
from radishtrack.group.outcome import Confirmed, DidNotRun, StillUnknown
from radishtrack.group.status import Group, MemberStatus, Role
from radishtrack.session.position import Position, TermStart

NAMES = ("a", "b", "c")
GROUP = Group("strekk-db", 1, 1, "a", NAMES, (TermStart(1, 0),))


@attrs.define
class FakeMembers:
    """Members that answer in memory; `answer` may wait or raise."""

    answer: Callable[[str], MemberStatus]
    gates: dict[str, asyncio.Event] = attrs.field(factory=dict)
    polls: dict[str, int] = attrs.field(factory=lambda: dict.fromkeys(NAMES, 0))
    open: dict[str, int] = attrs.field(factory=lambda: dict.fromkeys(NAMES, 0))

    async def connect(self, endpoint: MemberEndpoint) -> AdminConnection:
        """Open a connection whose answers wait for the member's gate."""

        async def run(_: str) -> MemberStatus:
            self.polls[endpoint.member] += 1
            status = self.answer(endpoint.member)
            if endpoint.member in self.gates:
                await self.gates[endpoint.member].wait()
            return status

        def close() -> None:
            self.open[endpoint.member] -= 1

        self.open[endpoint.member] += 1
        return AdminConnection(run, close)


def answer_at(sequence: int) -> Callable[[str], MemberStatus]:
    def answer(member: str) -> MemberStatus:
        role = Role.PRIMARY if member == "a" else Role.REPLICA
        return MemberStatus(member, 1, 1, role, Position(1, sequence))

    return answer


def make_started(members: FakeMembers, clock: Clock) -> Monitor:
    endpoints = {name: MemberEndpoint(name, "127.0.0.1", 1, 1, "z") for name in NAMES}
    monitor = make_monitor(GROUP, endpoints, clock, connect=members.connect)
    monitor.start()
    return monitor


async def test_a_round_holds_no_answer_to_an_earlier_poll() -> None:
    """An answer under way before the read could miss a commit acknowledged since."""
    clock, members = make_system_clock(), FakeMembers(answer_at(5))
    gate = members.gates["b"] = asyncio.Event()
    monitor = make_started(members, clock)
    await asyncio.sleep(0.02)
    members.answer = answer_at(6)
    asked = asyncio.create_task(monitor.next_round(clock.now_ms() + 5_000))
    await asyncio.sleep(0)
    gate.set()
    status_round = await asked
    assert monitor.suspicion.last_healthy_ms.keys() == set(NAMES)
    assert status_round.statuses.keys() == {"b", "c"}, "the replicas decide it"
    assert {s.position.sequence for s in status_round.statuses.values()} == {6}
    await monitor.stop()


async def test_a_round_ends_without_a_silent_member() -> None:
    clock, members = make_system_clock(), FakeMembers(answer_at(5))
    members.gates["c"] = asyncio.Event()
    monitor = make_started(members, clock)
    status_round = await monitor.next_round(clock.now_ms() + 5_000)
    assert status_round.statuses.keys() == {"a", "b"}
    await monitor.stop()


async def test_replicas_are_polled_often_only_while_commits_wait() -> None:
    clock, members = make_system_clock(), FakeMembers(answer_at(5))
    monitor = make_started(members, clock)
    await asyncio.sleep(0.02)
    waits = [
        asyncio.create_task(
            monitor.wait_confirmed(Position(1, 6), 1, clock.now_ms() + 5_000)
        )
        for _ in range(200)
    ]
    while members.polls["b"] < 80:
        await asyncio.sleep(0.001)
    assert 8 * members.polls["a"] < members.polls["b"]
    assert members.polls["b"] < 200, "the cost must not depend on the waiters"
    members.answer = answer_at(6)
    assert await asyncio.gather(*waits) == [Confirmed()] * 200
    assert not monitor.commit_waiters
    await monitor.stop()


async def test_a_waiting_commit_learns_of_a_promotion_and_of_its_deadline() -> None:
    clock, members = make_system_clock(), FakeMembers(answer_at(5))
    monitor = make_started(members, clock)
    late = await monitor.wait_confirmed(Position(1, 6), 1, clock.now_ms() + 20)
    assert isinstance(late, StillUnknown)
    wait = asyncio.create_task(
        monitor.wait_confirmed(Position(1, 6), 1, clock.now_ms() + 5_000, 5)
    )
    await asyncio.sleep(0.01)
    history = (*GROUP.history, TermStart(2, 5))
    monitor.update_group(attrs.evolve(GROUP, version=2, term=2, history=history))
    assert await wait == DidNotRun()
    monitor.update_group(GROUP)
    assert monitor.group.term == 2, "an older record must not be used again"
    await monitor.stop()


async def test_a_cancelled_poll_closes_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A late answer on a kept connection would be taken for that of the next poll."""
    monkeypatch.setattr(monitor_module, "POLL_TIMEOUT_MS", 20.0)
    members = FakeMembers(answer_at(5))
    members.gates["c"] = asyncio.Event()
    monitor = make_started(members, make_system_clock())
    async with asyncio.timeout(10):
        while members.open["c"] == 0:
            await asyncio.sleep(0.001)
        while members.open["c"] > 0:
            await asyncio.sleep(0.001)
    assert members.open == {"a": 1, "b": 1, "c": 0}
    await monitor.stop()
    assert members.open == {"a": 0, "b": 0, "c": 0}
