"""Tests that each fault switch of the member stand-in injects its fault."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import aiomysql
import pymysql
import pytest

from radishtrack_standins.launch import StandinProcess, start_standin
from radishtrack_standins.member import MemberSettings, RunningMember, start_member

HOST = "127.0.0.1"


@pytest.fixture
async def member(tmp_path: Path) -> AsyncIterator[RunningMember]:
    settings = MemberSettings("M1", tmp_path / "M1", connect_cost_ms=0)
    running = await start_member(settings)
    yield running
    running.member.faults.set(cut_clients=False, freeze=False)
    await running.close()


@asynccontextmanager
async def open_connection(port: int, **options: Any) -> AsyncIterator[Any]:
    connection = await aiomysql.connect(
        host=HOST, port=port, user="radishtrack", autocommit=True, **options
    )
    try:
        yield connection
    finally:
        connection.close()


async def connect_and_close(port: int) -> None:
    async with open_connection(port):
        pass


async def query(connection: Any, sql: str) -> list[tuple[Any, ...]]:
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return list(await cursor.fetchall())


async def set_switches(port: int, **switches: object) -> None:
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{HOST}:{port}/control", json=switches) as response,
    ):
        assert response.status == 200, await response.text()


async def get_json(port: int, path: str) -> Any:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{HOST}:{port}/{path}") as response,
    ):
        return await response.json()


@pytest.mark.parametrize("switch", ["cut_clients", "freeze"])
async def test_an_unresponsive_member_keeps_connections_and_responds_later(
    member: RunningMember, switch: str
) -> None:
    async with open_connection(member.port) as connection:
        await set_switches(member.control_port, **{switch: True})
        pending_query = asyncio.create_task(query(connection, "SELECT 1"))
        pending_connection = asyncio.create_task(connect_and_close(member.admin_port))
        done, _ = await asyncio.wait({pending_query, pending_connection}, timeout=0.1)
        assert not done
        await set_switches(member.control_port, **{switch: False})
        assert await pending_query == [(1,)]
        await pending_connection


async def test_a_frozen_member_commits_nothing(member: RunningMember) -> None:
    async with (
        open_connection(member.port) as one,
        open_connection(member.port) as other,
    ):
        await query(one, "CREATE TABLE orders (id INT)")
        await one.begin()
        await query(one, "INSERT INTO orders VALUES (1)")
        pending_insert = asyncio.create_task(
            query(other, "INSERT INTO orders VALUES (2)")
        )
        await asyncio.sleep(0.02)
        member.member.faults.set(freeze=True)
        one.close()
        await asyncio.sleep(0.05)
        assert member.member.log.sequence == 1
        member.member.faults.set(freeze=False)
        await pending_insert
        assert member.member.log.sequence == 2


async def test_cut_replication_does_not_affect_clients(
    member: RunningMember, tmp_path: Path
) -> None:
    settings = MemberSettings(
        "M2", tmp_path / "M2", connect_cost_ms=0, source=f"{HOST}:{member.port}"
    )
    replica = await start_member(settings)
    await set_switches(member.control_port, cut_replication=True)
    async with open_connection(member.port) as connection:
        await query(connection, "CREATE TABLE orders (id INT)")
        await asyncio.sleep(0.1)
        assert replica.member.log.sequence == 0
        await set_switches(member.control_port, cut_replication=False)
        async with asyncio.timeout(5):
            while replica.member.log.sequence < 1:
                await asyncio.sleep(0.01)
    await replica.close()


async def test_a_replica_that_is_closed_between_two_pulls_closes_its_connection(
    member: RunningMember, tmp_path: Path
) -> None:
    """Its connection was garbage-collected after the event loop had closed."""
    settings = MemberSettings(
        "M2", tmp_path / "M2", connect_cost_ms=0, source=f"{HOST}:{member.port}"
    )
    replica = await start_member(settings)
    async with open_connection(member.port) as connection:
        await query(connection, "CREATE TABLE orders (id INT)")
    (main_port,) = (server for server in member.servers if server.number == member.port)
    async with asyncio.timeout(5):
        while replica.member.log.sequence < 1:
            await asyncio.sleep(0.01)
        # The pull under way gets its response; the next one waits.
        replica.member.faults.set(cut_replication=True)
        await asyncio.sleep(0.6)
        assert main_port.tasks
        await replica.close()
        while main_port.tasks:
            await asyncio.sleep(0.01)


async def test_responses_are_delayed(member: RunningMember) -> None:
    async with open_connection(member.port) as connection:
        await set_switches(member.control_port, delay_ms=80)
        loop = asyncio.get_running_loop()
        started = loop.time()
        await query(connection, "SELECT 1")
        assert loop.time() - started >= 0.08


@pytest.mark.parametrize("sent", [0, 3, 500])
async def test_a_truncated_result_is_an_error(member: RunningMember, sent: int) -> None:
    async with open_connection(member.port) as connection:
        await query(connection, "CREATE TABLE numbers (id INT)")
        values = ", ".join(f"({number})" for number in range(1000))
        await query(connection, f"INSERT INTO numbers VALUES {values}")
        await set_switches(member.control_port, die_in_result=sent)
        cursor = await connection.cursor(aiomysql.SSCursor)
        received = []
        with pytest.raises((pymysql.err.MySQLError, OSError)):
            await cursor.execute("SELECT id FROM numbers")
            while (row := await cursor.fetchone()) is not None:
                received.append(row)
        assert len(received) == sent
    async with open_connection(member.port) as connection:
        assert len(await query(connection, "SELECT id FROM numbers")) == 1000


@pytest.mark.parametrize(
    ("switch", "expected"), [("drop_before_commit", 0), ("drop_after_commit", 1)]
)
async def test_a_dropped_commit_is_applied_as_the_switch_says(
    member: RunningMember, switch: str, expected: int
) -> None:
    async with open_connection(member.port) as connection:
        await query(connection, "CREATE TABLE orders (id INT)")
        await set_switches(member.control_port, **{switch: True})
        with pytest.raises((pymysql.err.MySQLError, OSError)):
            await query(connection, "INSERT INTO orders VALUES (1)")
    dump = await get_json(member.control_port, "rows/orders")
    assert len(dump["rows"]) == expected
    async with open_connection(member.port) as connection:
        await query(connection, "INSERT INTO orders VALUES (2)")


async def test_statements_and_attributes_of_clients_are_reported(
    member: RunningMember,
) -> None:
    async with open_connection(member.port, program_name="counter") as connection:
        await query(connection, "/* rtk_secret */ SELECT 'rtk_other'")
        observed = await get_json(member.control_port, "statements")
        counts = await get_json(member.control_port, "connections")
    assert any("rtk_secret" in item["text"] for item in observed["statements"])
    assert observed["attributes"][0]["program_name"] == "counter"
    assert (counts["now"], counts["at_most"]) == (1, 1)


async def test_unknown_switches_are_rejected(member: RunningMember) -> None:
    url = f"http://{HOST}:{member.control_port}/control"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json={"cut_everything": True}) as response,
    ):
        assert response.status == 400


@pytest.fixture
def processes() -> Iterator[list[StandinProcess]]:
    started: list[StandinProcess] = []
    yield started
    for process in started:
        process.stop()


@pytest.mark.parametrize(
    ("switch", "expected"), [("die_before_commit", []), ("die_after_commit", [[1]])]
)
async def test_a_commit_survives_an_exit_only_after_it_took_effect(
    tmp_path: Path, processes: list[StandinProcess], switch: str, expected: list[Any]
) -> None:
    arguments = ("--name", "M1", "--directory", str(tmp_path), "--connect-cost-ms", "0")
    processes.append(start_standin("member", *arguments))
    ports = processes[0].ports
    async with open_connection(ports["port"]) as connection:
        await query(connection, "CREATE TABLE orders (id INT)")
        await set_switches(ports["control_port"], **{switch: True})
        with pytest.raises((pymysql.err.MySQLError, OSError)):
            await query(connection, "INSERT INTO orders VALUES (1)")
    assert processes[0].process.wait(5) == 1
    processes.append(start_standin("member", *arguments))
    restarted_port = processes[1].ports["control_port"]
    assert (await get_json(restarted_port, "rows/orders"))["rows"] == expected
    assert (await get_json(restarted_port, "status"))["position_sequence"] == 1 + len(
        expected
    )
