"""Guards the monitor and the promoter against members and a platform that fail.

Runs against the stand-ins over loopback in one process. Times are real, so no check
depends on how fast the machine is.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiomysql
import attrs
import pytest

from radishtrack.backend.admin_connection import make_connect
from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack.backend.member_commands import MemberCommands
from radishtrack.backend.monitor import Monitor, make_monitor
from radishtrack.clock import Clock, make_system_clock
from radishtrack.group import detection
from radishtrack.group.evidence import (
    NoEvidence,
    ServeReplicas,
    ServeReplicasAtLeast,
    choose_strict,
)
from radishtrack.group.outcome import Confirmed, DidNotRun, StillUnknown
from radishtrack.group.promotion_state import Step
from radishtrack.group.record import GroupRecord, format_record
from radishtrack.group.status import Group, MemberStatus, Role
from radishtrack.objects.client import PlatformClient, make_platform_client
from radishtrack.proxy.group_store import (
    GroupStore,
    StoreUnavailableError,
    make_group_store,
)
from radishtrack.proxy.promoter import Promoter, make_promoter
from radishtrack.proxy.promoter_context import PromoterContext
from radishtrack.session.position import Position, TermStart
from radishtrack_standins.member import MemberSettings, RunningMember, start_member
from radishtrack_standins.platform import RunningPlatform, start_platform

DATABASE = "strekk-db"
PASSWORD = "stand-in"
NODES = ("p", "q", "r")


@attrs.define
class Fleet:
    """Three members, the platform, and the monitors and promoters of two holders."""

    members: dict[str, RunningMember]
    platform: RunningPlatform
    client: PlatformClient
    clock: Clock
    monitors: dict[str, Monitor]
    promoters: dict[str, Promoter]
    store: GroupStore

    async def read(self) -> GroupRecord:
        """Return the current record."""
        return await self.store.read(DATABASE)

    async def wait_for_term(self, term: int) -> GroupRecord:
        """Return the record once it has the term and its primary is installed."""
        async with asyncio.timeout(20):
            while True:
                record = await self.read()
                status = self.monitors["q"].latest_statuses.get(record.group.primary)
                if record.group.term >= term and is_installed(status, record.group):
                    return record
                await asyncio.sleep(0.02)

    async def write(self, member: str, sql: str) -> MemberStatus:
        """Run a statement on a member's main port; return the status after it."""
        connection: Any = await aiomysql.connect(
            host="127.0.0.1",
            port=self.members[member].port,
            user="radishtrack",
            password=PASSWORD,
            autocommit=True,
        )
        try:
            async with connection.cursor() as cursor:
                await cursor.execute(sql)
        finally:
            connection.close()
        admin = await make_connect(PASSWORD)(make_endpoint(self.members[member]))
        try:
            return await admin.read_status()
        finally:
            admin.close()


def is_installed(status: MemberStatus | None, group: Group) -> bool:
    return (
        status is not None
        and status.term == group.term
        and status.role is Role.PRIMARY
        and not status.is_fenced
    )


def make_endpoint(running: RunningMember) -> MemberEndpoint:
    return MemberEndpoint(
        running.member.name, "127.0.0.1", running.port, running.admin_port, "oslo-a"
    )


async def start_members(directory: Path) -> dict[str, RunningMember]:
    members: dict[str, RunningMember] = {}
    for name in ("a", "b", "c"):
        source = f"127.0.0.1:{members['a'].port}" if members else ""
        members[name] = await start_member(
            MemberSettings(
                name, directory / name, source=source, password=PASSWORD, term=1
            )
        )
    return members


@asynccontextmanager
async def run_fleet(directory: Path) -> AsyncIterator[Fleet]:
    members = await start_members(directory)
    platform = await start_platform()
    clock = make_system_clock()
    client = make_platform_client(platform.url, clock)
    endpoints = {name: make_endpoint(member) for name, member in members.items()}
    group = Group(DATABASE, 0, 1, "a", tuple(members), (TermStart(1, 0),))
    await client.put(
        "groups", DATABASE, format_record(GroupRecord(group, endpoints)), 0
    )
    store = make_group_store(client)
    record = await store.read(DATABASE)
    connect = make_connect(PASSWORD)
    monitors: dict[str, Monitor] = {}

    async def request_votes(_: str, member: str) -> Mapping[str, bool]:
        return {name: monitors[name].is_suspected(member) for name in monitors}

    async def request_confirmed(_: str) -> list[Position]:
        return [monitor.confirmed for monitor in monitors.values()]

    promoters: dict[str, Promoter] = {}
    for rank, node in enumerate(NODES[:2]):
        monitors[node] = make_monitor(
            record.group, record.endpoints, clock, connect=connect
        )
        monitors[node].start()
        context = PromoterContext(
            node, lambda rank=rank: rank, lambda: NODES, lambda: frozenset()
        )
        promoters[node] = make_promoter(
            context,
            record,
            monitors[node],
            store,
            MemberCommands(connect),
            request_votes,
            request_confirmed,
        )
        promoters[node].start()
    try:
        yield Fleet(members, platform, client, clock, monitors, promoters, store)
    finally:
        for promoter in promoters.values():
            await promoter.stop()
        for monitor in monitors.values():
            await monitor.stop()
        await client.close()
        await platform.close()
        for member in members.values():
            await member.close()


async def test_commit_is_confirmed_and_strict_read_finds_a_replica(
    tmp_path: Path,
) -> None:
    async with run_fleet(tmp_path) as fleet:
        monitor = fleet.monitors["p"]
        status = await fleet.write("a", "CREATE TABLE orders (number INT PRIMARY KEY)")
        deadline_ms = fleet.clock.now_ms() + 5_000
        outcomes = await asyncio.gather(
            *(monitor.wait_confirmed(status.position, 1, deadline_ms) for _ in range(9))
        )
        assert outcomes == [Confirmed()] * 9
        requested_ms = fleet.clock.now_ms()
        rounds = await asyncio.gather(
            *(monitor.next_round(deadline_ms) for _ in range(9))
        )
        assert all(item is rounds[0] for item in rounds), "callers share a round"
        assert rounds[0].started_ms >= requested_ms
        choice = choose_strict(rounds[0], monitor.group)
        assert isinstance(choice, ServeReplicas | ServeReplicasAtLeast)
        await asyncio.sleep(0.6)
        age_ms = monitor.freshness.age_ms(
            monitor.latest_statuses["b"], fleet.clock.now_ms()
        )
        assert age_ms < 60_000


async def test_without_replicas_nothing_is_confirmed_or_read(tmp_path: Path) -> None:
    async with run_fleet(tmp_path) as fleet:
        for name in ("b", "c"):
            fleet.members[name].member.faults.set(freeze=True)
        monitor = fleet.monitors["p"]
        status = await fleet.write("a", "CREATE TABLE orders (number INT PRIMARY KEY)")
        deadline_ms = fleet.clock.now_ms() + 300
        outcome = await monitor.wait_confirmed(status.position, 1, deadline_ms)
        assert isinstance(outcome, StillUnknown)
        status_round = await monitor.next_round(fleet.clock.now_ms() + 1_000)
        assert isinstance(choose_strict(status_round, monitor.group), NoEvidence)


async def test_unresponsive_primary_is_replaced_and_returns_as_a_replica(
    tmp_path: Path,
) -> None:
    async with run_fleet(tmp_path) as fleet:
        confirmed_write = await fleet.write(
            "a", "CREATE TABLE orders (number INT PRIMARY KEY)"
        )
        monitor = fleet.monitors["q"]
        deadline_ms = fleet.clock.now_ms() + 5_000
        assert (
            await monitor.wait_confirmed(confirmed_write.position, 1, deadline_ms)
            == Confirmed()
        )
        fleet.members["a"].member.faults.set(cut_replication=True)
        unconfirmed_write = await fleet.write("a", "INSERT INTO orders VALUES (1)")
        stopped_ms = fleet.clock.now_ms()
        fleet.members["a"].member.faults.set(freeze=True)
        fleet.platform.faults.lose_answers_count = 1
        record = await fleet.wait_for_term(2)
        print(f"write outage: {fleet.clock.now_ms() - stopped_ms:.0f} ms")
        assert record.group.primary in ("b", "c")
        for promoter in fleet.promoters.values():
            promoter.update_record(record)
        outcome = await monitor.wait_confirmed(
            unconfirmed_write.position,
            1,
            fleet.clock.now_ms() + 5_000,
            sequence_before=confirmed_write.position.sequence,
        )
        assert outcome == DidNotRun()
        status = await fleet.write(
            record.group.primary, "INSERT INTO orders VALUES (2)"
        )
        term, confirm_deadline_ms = record.group.term, fleet.clock.now_ms() + 5_000
        confirmed = await monitor.wait_confirmed(
            status.position, term, confirm_deadline_ms
        )
        assert confirmed == Confirmed()
        fleet.members["a"].member.faults.set(freeze=False, cut_replication=False)
        async with asyncio.timeout(20):
            while fleet.members["a"].member.state.term < term:
                await asyncio.sleep(0.05)
        assert not fleet.members["a"].member.state.is_primary


async def test_replica_that_lost_its_log_is_not_promoted_without_it(
    tmp_path: Path,
) -> None:
    """Commits of a and b were lost: b came back empty, and c had not received them."""
    async with run_fleet(tmp_path) as fleet:
        members = {name: fleet.members[name].member for name in ("a", "b", "c")}
        monitor = fleet.monitors["p"]
        members["c"].faults.set(cut_replication=True)
        status = await fleet.write("a", "CREATE TABLE orders (number INT PRIMARY KEY)")
        deadline_ms = fleet.clock.now_ms() + 5_000
        outcome = await monitor.wait_confirmed(status.position, 1, deadline_ms)
        assert outcome == Confirmed()
        members["b"].faults.set(cut_replication=True)
        members["a"].faults.set(freeze=True)
        async with members["b"].group_lock, members["b"].log.write_lock:
            await members["b"].log.truncate(0)
        promoter = fleet.promoters["p"]
        async with asyncio.timeout(20):
            while promoter.attempt is None or promoter.attempt.state is not Step.FAILED:
                await asyncio.sleep(0.02)
        assert "confirmed" in promoter.attempt.reason
        assert (await fleet.read()).group.term == 1
        for member in members.values():
            member.faults.set(freeze=False, cut_replication=False)
        assert (await fleet.wait_for_term(2)).group.primary == "a"


async def test_fencing_abandoned_by_a_promoter_is_completed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against members that stay fenced after a promoter crashed."""
    monkeypatch.setattr(detection, "ABANDONED_MS", 300.0)
    async with run_fleet(tmp_path) as fleet:
        for name in ("b", "c"):
            await fleet.members[name].member.fence(2)
        record = await fleet.wait_for_term(2)
        assert record.group.attempt


async def test_recorded_promotion_that_was_never_installed_is_completed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a promoter that crashed after its update of the record."""
    monkeypatch.setattr(detection, "ABANDONED_MS", 300.0)
    async with run_fleet(tmp_path) as fleet:
        for name in ("b", "c"):
            await fleet.members[name].member.fence(2)
        record = await fleet.read()
        group = attrs.evolve(
            record.group,
            term=2,
            primary="b",
            history=(*record.group.history, TermStart(2, 0)),
            attempt="crashed",
        )
        written = attrs.evolve(record, group=group)
        await fleet.store.write(written, record.group.version)
        installed = await fleet.wait_for_term(2)
        assert installed.group.primary == "b"
        async with asyncio.timeout(20):
            while fleet.members["a"].member.state.term < 2:
                await asyncio.sleep(0.02)


async def test_no_promotion_during_an_outage_of_the_platform(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards reads: members fenced during an outage would end strict reads."""
    monkeypatch.setattr(detection, "SUSPICION_MS", 500.0)
    async with run_fleet(tmp_path) as fleet:
        fleet.platform.faults.outage = "error"
        fleet.members["a"].member.faults.set(freeze=True)
        monitor = fleet.monitors["p"]
        async with asyncio.timeout(20):
            while fleet.promoters["p"].attempt is None:
                await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        status_round = await monitor.next_round(fleet.clock.now_ms() + 1_000)
        choice = choose_strict(status_round, monitor.group)
        assert isinstance(choice, ServeReplicas)
        fleet.platform.faults.outage = ""
        fleet.platform.faults.release()
        assert (await fleet.wait_for_term(2)).group.term == 2


async def test_a_lost_record_of_a_promotion_is_written_again(tmp_path: Path) -> None:
    """Starting nodes took the replaced primary of the restored record for current."""
    async with run_fleet(tmp_path) as fleet:
        backup = fleet.platform.store.back_up()
        fleet.members["a"].member.faults.set(freeze=True)
        record = await fleet.wait_for_term(2)
        for promoter in fleet.promoters.values():
            promoter.update_record(record)
        fleet.platform.store.restore(backup)
        stored = await read_settled(fleet)
        assert stored.group.term == 1
        for promoter in fleet.promoters.values():
            promoter.update_record(stored)
            assert promoter.record.group.term == 2
            promoter.restore_record(stored.group.version)
        restored = await fleet.wait_for_term(2)
        assert restored.group.primary == record.group.primary
        assert restored.group.version > stored.group.version > record.group.version


@pytest.mark.parametrize("names_term_members", [True, False])
async def test_replaced_member_leaves_with_a_term_that_keeps_its_commits(
    tmp_path: Path, names_term_members: bool
) -> None:
    """A change within a term left its commits to members that no longer counted."""
    async with run_fleet(tmp_path) as fleet:
        status = await fleet.write("a", "CREATE TABLE orders (number INT PRIMARY KEY)")
        source = f"127.0.0.1:{fleet.members['a'].port}"
        settings = MemberSettings(
            "d", tmp_path / "d", source=source, password=PASSWORD, term=1
        )
        fleet.members["d"] = await start_member(settings)
        record = await fleet.read()
        endpoints = {
            name: make_endpoint(fleet.members[name]) for name in ("a", "c", "d")
        }
        value = format_record(record)
        listed = GroupRecord(
            attrs.evolve(record.group, members=tuple(endpoints)), endpoints
        )
        value["members"] = format_record(listed)["members"]
        if not names_term_members:
            del value["term_members"]
        await fleet.client.put("groups", DATABASE, value, record.group.version)
        for promoter in fleet.promoters.values():
            promoter.update_record(await fleet.read())
            assert set(promoter.record.group.members) == {"a", "b", "c"}
        changed = await fleet.wait_for_term(2)
        assert set(changed.group.members) == {"a", "c", "d"}
        assert not changed.group.next_members
        for promoter in fleet.promoters.values():
            promoter.update_record(changed)
            assert set(promoter.monitor.tasks) == {"a", "c", "d"}
        primary = fleet.members[changed.group.primary].member
        assert primary.log.sequence >= status.position.sequence


async def read_settled(fleet: Fleet) -> GroupRecord:
    """Return the record as soon as the restored platform is used again."""
    async with asyncio.timeout(20):
        while True:
            try:
                return await fleet.read()
            except StoreUnavailableError:
                await asyncio.sleep(0.05)
