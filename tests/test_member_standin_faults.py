"""Guards that every fault switch of the database stand-in really injects its fault."""

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
async def connected(port: int, **options: Any) -> AsyncIterator[Any]:
    connection = await aiomysql.connect(
        host=HOST, port=port, user="radishtrack", autocommit=True, **options
    )
    try:
        yield connection
    finally:
        connection.close()


async def connect_and_close(port: int) -> None:
    async with connected(port):
        pass


async def query(connection: Any, sql: str) -> list[tuple[Any, ...]]:
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return list(await cursor.fetchall())


async def control(port: int, **switches: object) -> None:
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{HOST}:{port}/control", json=switches) as answer,
    ):
        assert answer.status == 200, await answer.text()


async def look(port: int, path: str) -> Any:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{HOST}:{port}/{path}") as answer,
    ):
        return await answer.json()


@pytest.mark.parametrize("switch", ["cut_clients", "freeze"])
async def test_a_silent_member_answers_late_and_keeps_the_connection(
    member: RunningMember, switch: str
) -> None:
    async with connected(member.port) as connection:
        await control(member.control_port, **{switch: True})
        asking = asyncio.create_task(query(connection, "SELECT 1"))
        connecting = asyncio.create_task(connect_and_close(member.admin_port))
        done, _ = await asyncio.wait({asking, connecting}, timeout=0.1)
        assert not done
        await control(member.control_port, **{switch: False})
        assert await asking == [(1,)]
        await connecting


async def test_a_frozen_member_commits_nothing(member: RunningMember) -> None:
    async with connected(member.port) as one, connected(member.port) as other:
        await query(one, "CREATE TABLE orders (id INT)")
        await one.begin()
        await query(one, "INSERT INTO orders VALUES (1)")
        waiting = asyncio.create_task(query(other, "INSERT INTO orders VALUES (2)"))
        await asyncio.sleep(0.02)
        member.member.faults.set(freeze=True)
        one.close()
        await asyncio.sleep(0.05)
        assert member.member.log.sequence == 1
        member.member.faults.set(freeze=False)
        await waiting
        assert member.member.log.sequence == 2


async def test_cut_replication_leaves_clients_alone(
    member: RunningMember, tmp_path: Path
) -> None:
    settings = MemberSettings(
        "M2", tmp_path / "M2", connect_cost_ms=0, source=f"{HOST}:{member.port}"
    )
    replica = await start_member(settings)
    await control(member.control_port, cut_replication=True)
    async with connected(member.port) as connection:
        await query(connection, "CREATE TABLE orders (id INT)")
        await asyncio.sleep(0.1)
        assert replica.member.log.sequence == 0
        await control(member.control_port, cut_replication=False)
        async with asyncio.timeout(5):
            while replica.member.log.sequence < 1:
                await asyncio.sleep(0.01)
    await replica.close()


async def test_answers_are_delayed(member: RunningMember) -> None:
    async with connected(member.port) as connection:
        await control(member.control_port, delay_ms=80)
        loop = asyncio.get_running_loop()
        started = loop.time()
        await query(connection, "SELECT 1")
        assert loop.time() - started >= 0.08


@pytest.mark.parametrize("sent", [0, 3, 500])
async def test_a_result_that_breaks_off_is_an_error(
    member: RunningMember, sent: int
) -> None:
    async with connected(member.port) as connection:
        await query(connection, "CREATE TABLE numbers (id INT)")
        values = ", ".join(f"({number})" for number in range(1000))
        await query(connection, f"INSERT INTO numbers VALUES {values}")
        await control(member.control_port, die_in_result=sent)
        cursor = await connection.cursor(aiomysql.SSCursor)
        got = []
        with pytest.raises((pymysql.err.MySQLError, OSError)):
            await cursor.execute("SELECT id FROM numbers")
            while (row := await cursor.fetchone()) is not None:
                got.append(row)
        assert len(got) == sent
    async with connected(member.port) as connection:
        assert len(await query(connection, "SELECT id FROM numbers")) == 1000


@pytest.mark.parametrize(
    ("switch", "expected"), [("drop_before_commit", 0), ("drop_after_commit", 1)]
)
async def test_a_dropped_commit_has_the_chosen_effect(
    member: RunningMember, switch: str, expected: int
) -> None:
    async with connected(member.port) as connection:
        await query(connection, "CREATE TABLE orders (id INT)")
        await control(member.control_port, **{switch: True})
        with pytest.raises((pymysql.err.MySQLError, OSError)):
            await query(connection, "INSERT INTO orders VALUES (1)")
    dump = await look(member.control_port, "rows/orders")
    assert len(dump["rows"]) == expected
    async with connected(member.port) as connection:
        await query(connection, "INSERT INTO orders VALUES (2)")


async def test_everything_a_client_sent_is_shown(member: RunningMember) -> None:
    async with connected(member.port, program_name="counter") as connection:
        await query(connection, "/* rtk_secret */ SELECT 'rtk_other'")
        seen = await look(member.control_port, "statements")
        count = await look(member.control_port, "connections")
    assert any("rtk_secret" in item["text"] for item in seen["statements"])
    assert seen["attributes"][0]["program_name"] == "counter"
    assert (count["now"], count["at_most"]) == (1, 1)


async def test_unknown_switches_are_refused(member: RunningMember) -> None:
    url = f"http://{HOST}:{member.control_port}/control"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json={"cut_everything": True}) as answer,
    ):
        assert answer.status == 400


@pytest.fixture
def processes() -> Iterator[list[StandinProcess]]:
    started: list[StandinProcess] = []
    yield started
    for process in started:
        process.stop()


@pytest.mark.parametrize(
    ("switch", "expected"), [("die_before_commit", []), ("die_after_commit", [[1]])]
)
async def test_a_member_that_dies_at_a_commit_keeps_what_took_effect(
    tmp_path: Path, processes: list[StandinProcess], switch: str, expected: list[Any]
) -> None:
    arguments = ("--name", "M1", "--directory", str(tmp_path), "--connect-cost-ms", "0")
    processes.append(start_standin("member", *arguments))
    ports = processes[0].ports
    async with connected(ports["port"]) as connection:
        await query(connection, "CREATE TABLE orders (id INT)")
        await control(ports["control_port"], **{switch: True})
        with pytest.raises((pymysql.err.MySQLError, OSError)):
            await query(connection, "INSERT INTO orders VALUES (1)")
    assert processes[0].process.wait(5) == 1
    processes.append(start_standin("member", *arguments))
    again = processes[1].ports["control_port"]
    assert (await look(again, "rows/orders"))["rows"] == expected
    assert (await look(again, "status"))["position_sequence"] == 1 + len(expected)
