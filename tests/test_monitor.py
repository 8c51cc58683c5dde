"""Guards against outdated or unshared rounds and against leaked connections."""

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
    """Members in memory; `status_for` returns a status or raises."""

    status_for: Callable[[str], MemberStatus]
    response_gates: dict[str, asyncio.Event] = attrs.field(factory=dict)
    polls: dict[str, int] = attrs.field(factory=lambda: dict.fromkeys(NAMES, 0))
    open_connections: dict[str, int] = attrs.field(
        factory=lambda: dict.fromkeys(NAMES, 0)
    )

    async def connect(self, endpoint: MemberEndpoint) -> AdminConnection:
        """Open a connection whose responses wait for the member's gate."""

        async def run(_: str) -> MemberStatus:
            self.polls[endpoint.member] += 1
            status = self.status_for(endpoint.member)
            if endpoint.member in self.response_gates:
                await self.response_gates[endpoint.member].wait()
            return status

        def close() -> None:
            self.open_connections[endpoint.member] -= 1

        self.open_connections[endpoint.member] += 1
        return AdminConnection(run, close)


def make_status_source(sequence: int) -> Callable[[str], MemberStatus]:
    def status_for(member: str) -> MemberStatus:
        role = Role.PRIMARY if member == "a" else Role.REPLICA
        return MemberStatus(member, 1, 1, role, Position(1, sequence))

    return status_for


def start_monitor(members: FakeMembers, clock: Clock) -> Monitor:
    endpoints = {name: MemberEndpoint(name, "127.0.0.1", 1, 1, "z") for name in NAMES}
    monitor = make_monitor(GROUP, endpoints, clock, connect=members.connect)
    monitor.start()
    return monitor


async def test_a_round_excludes_responses_to_earlier_polls() -> None:
    """A response sent before the read could miss a commit acknowledged since."""
    clock, members = make_system_clock(), FakeMembers(make_status_source(5))
    gate = members.response_gates["b"] = asyncio.Event()
    monitor = start_monitor(members, clock)
    await asyncio.sleep(0.02)
    members.status_for = make_status_source(6)
    round_task = asyncio.create_task(monitor.next_round(clock.now_ms() + 5_000))
    await asyncio.sleep(0)
    gate.set()
    status_round = await round_task
    assert monitor.suspicion.last_healthy_ms.keys() == set(NAMES)
    assert status_round.statuses.keys() == {"b", "c"}, "the replicas suffice"
    assert {s.position.sequence for s in status_round.statuses.values()} == {6}
    await monitor.stop()


async def test_a_round_ends_without_an_unresponsive_member() -> None:
    clock, members = make_system_clock(), FakeMembers(make_status_source(5))
    members.response_gates["c"] = asyncio.Event()
    monitor = start_monitor(members, clock)
    status_round = await monitor.next_round(clock.now_ms() + 5_000)
    assert status_round.statuses.keys() == {"a", "b"}
    await monitor.stop()


async def test_replicas_are_polled_fast_only_while_commits_wait() -> None:
    clock, members = make_system_clock(), FakeMembers(make_status_source(5))
    monitor = start_monitor(members, clock)
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
    assert members.polls["b"] < 200, "the polls must not increase with the waiters"
    members.status_for = make_status_source(6)
    assert await asyncio.gather(*waits) == [Confirmed()] * 200
    assert not monitor.commit_waiters
    await monitor.stop()


async def test_waiting_for_a_commit_ends_at_a_promotion_or_the_deadline() -> None:
    clock, members = make_system_clock(), FakeMembers(make_status_source(5))
    monitor = start_monitor(members, clock)
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
    """On a kept connection the next poll would read the late response as its own."""
    monkeypatch.setattr(monitor_module, "POLL_TIMEOUT_MS", 20.0)
    members = FakeMembers(make_status_source(5))
    members.response_gates["c"] = asyncio.Event()
    monitor = start_monitor(members, make_system_clock())
    async with asyncio.timeout(10):
        while members.open_connections["c"] == 0:
            await asyncio.sleep(0.001)
        while members.open_connections["c"] > 0:
            await asyncio.sleep(0.001)
    assert members.open_connections == {"a": 1, "b": 1, "c": 0}
    await monitor.stop()
    assert members.open_connections == {"a": 0, "b": 0, "c": 0}
