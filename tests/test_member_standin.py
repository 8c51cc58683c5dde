"""Tests that the member stand-in behaves like a MySQL member of a group."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiomysql
import attrs
import pymysql
import pytest

from radishtrack.backend.member_sql import (
    STATUS_SQL,
    fence_sql,
    follow_sql,
    parse_status,
    promote_sql,
)
from radishtrack.group.status import MemberStatus, Role
from radishtrack.session.position import Position
from radishtrack_standins.member import MemberSettings, RunningMember, start_member

HOST = "127.0.0.1"
TABLE = "CREATE TABLE orders (id BIGINT PRIMARY KEY AUTO_INCREMENT, note VARCHAR(40) UNIQUE) ENGINE=InnoDB"  # noqa: E501

MakeMember = Callable[..., Awaitable[RunningMember]]


@pytest.fixture
async def make_member(tmp_path: Path) -> AsyncIterator[MakeMember]:
    running = []

    async def start(name: str = "M1", **settings: Any) -> RunningMember:
        defaults = MemberSettings(name, tmp_path / name, connect_cost_ms=0)
        running.append(await start_member(attrs.evolve(defaults, **settings)))
        return running[-1]

    yield start
    for member in running:
        await member.close()


@asynccontextmanager
async def open_connection(port: int, **options: Any) -> AsyncIterator[Any]:
    defaults = {"user": "radishtrack", "db": "booking", "autocommit": True}
    connection = await aiomysql.connect(host=HOST, port=port, **defaults | options)
    try:
        yield connection
    finally:
        connection.close()


async def execute(connection: Any, sql: str) -> Any:
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return cursor


async def fetch_rows(connection: Any, sql: str) -> list[tuple[Any, ...]]:
    return list(await (await execute(connection, sql)).fetchall())


async def query_status(member: RunningMember, sql: str = STATUS_SQL) -> MemberStatus:
    async with open_connection(member.admin_port) as connection:
        return parse_status((await fetch_rows(connection, sql))[0])


async def wait_for_sequence(member: RunningMember, sequence: int) -> None:
    async with asyncio.timeout(5):
        while member.member.log.sequence < sequence:
            await asyncio.sleep(0.005)


def get_address(member: RunningMember) -> str:
    return f"{HOST}:{member.port}"


async def test_changes_report_affected_rows_and_the_first_key(
    make_member: MakeMember,
) -> None:
    member = await make_member()
    async with open_connection(member.port) as connection:
        await execute(connection, TABLE)
        sql = "INSERT INTO orders (note) VALUES (%s), (%s)"
        async with connection.cursor() as cursor:
            await cursor.execute(sql, ('it\'s \\ "x"\n', "b"))
            assert (cursor.rowcount, cursor.lastrowid) == (2, 1)
        updated = await execute(connection, "UPDATE orders SET note = 'c' WHERE id = 2")
        assert (updated.rowcount, updated.lastrowid) == (1, 0)
        rows = await fetch_rows(connection, "SELECT id, note FROM orders ORDER BY id")
        assert rows == [(1, 'it\'s \\ "x"\n'), (2, "c")]
        assert await fetch_rows(connection, "SELECT LAST_INSERT_ID(), DATABASE()") == [
            (1, "booking")
        ]


@pytest.mark.parametrize(
    ("sql", "code"),
    [
        ("SELEC 1", 1064),
        ("SELECT * FROM orders WHERE", 1064),
        ("INSERT INTO orders (note) VALUES ('a')", 1062),
        ("SELECT * FROM missing", 1146),
        ("SELECT missing FROM orders", 1054),
        ("KILL 3", 1235),
    ],
)
async def test_errors_have_the_codes_of_mysql(
    make_member: MakeMember, sql: str, code: int
) -> None:
    member = await make_member()
    async with open_connection(member.port) as connection:
        await execute(connection, TABLE)
        await execute(connection, "INSERT INTO orders (note) VALUES ('a')")
        with pytest.raises(pymysql.err.MySQLError) as caught:
            await execute(connection, sql)
        assert caught.value.args[0] == code
        assert await fetch_rows(connection, "SELECT count(*) FROM orders") == [(1,)]


async def test_an_open_transaction_is_isolated_until_commit(
    make_member: MakeMember,
) -> None:
    member = await make_member()
    count = "SELECT count(*) FROM orders"
    async with (
        open_connection(member.port) as one,
        open_connection(member.port) as other,
    ):
        await execute(one, TABLE)
        await one.begin()
        assert one.get_transaction_status()
        await execute(one, "INSERT INTO orders (note) VALUES ('a')")
        assert await fetch_rows(other, count) == [(0,)]
        await one.commit()
        assert not one.get_transaction_status()
        assert await fetch_rows(other, count) == [(1,)]
        await one.begin()
        await execute(one, "DELETE FROM orders")
        await one.rollback()
        assert await fetch_rows(other, count) == [(1,)]


async def test_a_lost_connection_rolls_back_and_releases_its_lock(
    make_member: MakeMember, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("radishtrack_standins.member_core.LOCK_WAIT_S", 0.05)
    member = await make_member()
    async with (
        open_connection(member.port) as one,
        open_connection(member.port) as other,
    ):
        await execute(one, TABLE)
        await one.begin()
        await execute(one, "INSERT INTO orders (note) VALUES ('a')")
        with pytest.raises(pymysql.err.OperationalError) as caught:
            await execute(other, "INSERT INTO orders (note) VALUES ('b')")
        assert caught.value.args[0] == 1205
        one.close()
        monkeypatch.setattr("radishtrack_standins.member_core.LOCK_WAIT_S", 5)
        await execute(other, "INSERT INTO orders (note) VALUES ('b')")
        assert await fetch_rows(other, "SELECT note FROM orders") == [("b",)]


async def test_the_connection_limit_excludes_administrative_connections(
    make_member: MakeMember,
) -> None:
    member = await make_member(max_connections=1)
    async with open_connection(member.port):
        with pytest.raises(pymysql.err.OperationalError) as caught:
            async with open_connection(member.port):
                pass
        assert caught.value.args[0] == 1040
        assert (await query_status(member)).role is Role.PRIMARY
    observed = member.member.observed
    assert (observed.connections_at_most, observed.connections_refused) == (1, 1)


@pytest.mark.parametrize(
    "options", [{"password": "wrong"}, {"user": "stranger", "password": "secret"}]
)
async def test_a_failed_login_closes_the_connection(
    make_member: MakeMember, options: dict[str, str]
) -> None:
    """mysql-mimic by itself serves statements after a failed login."""
    member = await make_member(password="secret")
    with pytest.raises(pymysql.err.OperationalError) as caught:
        async with open_connection(member.port, **options):
            pass
    assert caught.value.args[0] == 1045
    async with open_connection(member.port, password="secret") as connection:
        assert await fetch_rows(connection, "SELECT 1") == [(1,)]

    reader, writer = await asyncio.open_connection(HOST, member.port)
    await reader.readexactly(4)
    flags = 0x0008_8200
    login = flags.to_bytes(4, "little") + b"\0\0\0\1\x2d" + bytes(23)
    login += b"radishtrack\0\x14" + b"x" * 20 + b"mysql_native_password\0"
    writer.write(len(login).to_bytes(3, "little") + b"\1" + login)
    writer.write(b"\x09\0\0\0\3SELECT 2")
    assert b"Access denied" in await asyncio.wait_for(reader.read(), 2)
    writer.close()
    texts = [statement.text for statement in member.member.observed.statements]
    assert texts == ["SET AUTOCOMMIT = 1", "SELECT 1"]


async def test_a_replica_applies_changes_after_its_lag(make_member: MakeMember) -> None:
    primary = await make_member("M1")
    replica = await make_member(
        "M2", source=get_address(primary), replication_lag_ms=150.0
    )
    async with open_connection(primary.port) as connection:
        await execute(connection, TABLE)
        await execute(connection, "INSERT INTO orders (note) VALUES (UUID()), (NOW())")
        await asyncio.sleep(0.05)
        assert (await query_status(replica)).position == Position(0, 0)
        await wait_for_sequence(replica, 2)
        written = await fetch_rows(connection, "SELECT * FROM orders")
    async with open_connection(replica.port) as connection:
        assert await fetch_rows(connection, "SELECT * FROM orders") == written
        with pytest.raises(pymysql.err.OperationalError) as caught:
            await execute(connection, "DELETE FROM orders")
        assert caught.value.args[0] == 1290
    assert (await query_status(replica)) == MemberStatus(
        "M2", 1, 1, Role.REPLICA, Position(1, 2)
    )


async def test_a_fenced_primary_commits_nothing_even_in_open_transactions(
    make_member: MakeMember,
) -> None:
    member = await make_member()
    async with open_connection(member.port) as connection:
        await execute(connection, TABLE)
        await connection.begin()
        await execute(connection, "INSERT INTO orders (note) VALUES ('a')")
        fenced = await query_status(member, fence_sql(2))
        assert (fenced.term, fenced.fenced_term, fenced.is_fenced) == (1, 2, True)
        with pytest.raises(pymysql.err.OperationalError) as caught:
            await connection.commit()
        assert caught.value.args[0] == 1290
        with pytest.raises(pymysql.err.OperationalError) as caught:
            await execute(connection, "INSERT INTO orders (note) VALUES ('b')")
        assert caught.value.args[0] == 1290
        assert await fetch_rows(connection, "SELECT * FROM orders") == []
    assert await query_status(member, fence_sql(2)) == fenced


async def test_a_transaction_of_an_ended_term_cannot_commit_in_the_next(
    make_member: MakeMember,
) -> None:
    member = await make_member()
    async with open_connection(member.port) as connection:
        await execute(connection, TABLE)
        await connection.begin()
        await execute(connection, "INSERT INTO orders (note) VALUES ('a')")
        await query_status(member, fence_sql(2))
        await query_status(member, promote_sql(2))
        with pytest.raises(pymysql.err.OperationalError) as caught:
            await connection.commit()
        assert caught.value.args[0] == 1213
        assert await fetch_rows(connection, "SELECT * FROM orders") == []


async def test_a_fenced_replica_stops_applying(make_member: MakeMember) -> None:
    primary = await make_member("M1")
    replica = await make_member(
        "M2", source=get_address(primary), replication_lag_ms=60.0
    )
    async with open_connection(primary.port) as connection:
        await execute(connection, TABLE)
        await wait_for_sequence(replica, 1)
        await execute(connection, "INSERT INTO orders (note) VALUES ('late')")
        await asyncio.sleep(0.02)
        fenced = await query_status(replica, fence_sql(2))
        await asyncio.sleep(0.15)
    assert await query_status(replica) == fenced
    assert fenced.position == Position(1, 1)


@pytest.mark.parametrize(
    "sql", [fence_sql(2), promote_sql(2), follow_sql(2, HOST, 9, 0)]
)
async def test_statements_of_a_lower_term_are_refused(
    make_member: MakeMember, sql: str
) -> None:
    member = await make_member()
    await query_status(member, fence_sql(3))
    with pytest.raises(pymysql.err.MySQLError) as caught:
        await query_status(member, sql)
    assert caught.value.args[0] == 1644


async def test_a_term_has_at_most_one_primary(make_member: MakeMember) -> None:
    primary = await make_member("M1")
    replica = await make_member("M2", source=get_address(primary))
    for member, sql in (
        (replica, promote_sql(1)),
        (primary, follow_sql(1, HOST, replica.port, 0)),
    ):
        with pytest.raises(pymysql.err.MySQLError) as caught:
            await query_status(member, sql)
        assert caught.value.args[0] == 1644
    assert (await query_status(primary, promote_sql(1))).role is Role.PRIMARY


async def test_a_replaced_primary_discards_entries_missing_in_the_new_term(
    make_member: MakeMember,
) -> None:
    first = await make_member("M1")
    second = await make_member("M2", source=get_address(first))
    third = await make_member("M3", source=get_address(first))
    async with open_connection(first.port) as connection:
        await execute(connection, TABLE)
        await wait_for_sequence(second, 1)
        await wait_for_sequence(third, 1)
        await query_status(second, fence_sql(2))
        await query_status(third, fence_sql(2))
        await execute(connection, "INSERT INTO orders (note) VALUES ('lost')")
    assert (await query_status(second, promote_sql(2))).position == Position(1, 1)
    for member in (third, first):
        followed = await query_status(member, follow_sql(2, HOST, second.port, 1))
        assert (followed.term, followed.role) == (2, Role.REPLICA)
    async with open_connection(second.port) as connection:
        await execute(connection, "INSERT INTO orders (note) VALUES ('kept')")
    for member in (first, third):
        await wait_for_sequence(member, 2)
        assert (await query_status(member)).position == Position(2, 2)
        async with open_connection(member.port) as connection:
            assert await fetch_rows(connection, "SELECT * FROM orders") == [(1, "kept")]


async def test_follow_truncates_the_log_before_the_source_responds(
    make_member: MakeMember,
) -> None:
    member = await make_member()
    async with open_connection(member.port) as connection:
        await execute(connection, TABLE)
        await execute(connection, "INSERT INTO orders (note) VALUES ('lost')")
        await connection.begin()
        await execute(connection, "INSERT INTO orders (note) VALUES ('open')")
        await query_status(member, fence_sql(2))
        followed = await query_status(member, follow_sql(2, HOST, 9, 1))
        assert followed.position == Position(1, 1)
        async with open_connection(member.port) as other:
            assert await fetch_rows(other, "SELECT * FROM orders") == []


async def test_a_member_that_missed_a_term_discards_entries_missing_in_it(
    make_member: MakeMember,
) -> None:
    """The start of the latest term does not show that the logs diverged earlier."""
    first = await make_member("M1")
    second = await make_member("M2", source=get_address(first))
    async with open_connection(first.port) as connection:
        await execute(connection, TABLE)
        await wait_for_sequence(second, 1)
        await query_status(second, fence_sql(2))
        await execute(connection, "INSERT INTO orders (note) VALUES ('lost')")
    await query_status(second, promote_sql(2))
    async with open_connection(second.port) as connection:
        for note in "abc":
            await execute(connection, f"INSERT INTO orders (note) VALUES ('{note}')")
        await query_status(second, promote_sql(3))
    followed = await query_status(first, follow_sql(3, HOST, second.port, 4))
    assert followed.term == 3
    await wait_for_sequence(first, 4)
    async with open_connection(first.port) as connection:
        notes = await fetch_rows(connection, "SELECT note FROM orders ORDER BY id")
    assert notes == [("a",), ("b",), ("c",)]


async def test_a_follower_stays_fenced_until_its_source_responds(
    make_member: MakeMember,
) -> None:
    """Until then its log may differ from the source's log."""
    primary = await make_member("M1")
    replica = await make_member("M2", source=get_address(primary))
    await query_status(replica, fence_sql(2))
    assert (await query_status(replica, follow_sql(2, HOST, primary.port, 0))).is_fenced
    await query_status(primary, promote_sql(2))
    async with asyncio.timeout(2):
        while (await query_status(replica)).is_fenced:
            await asyncio.sleep(0.01)


async def test_data_and_fence_survive_a_restart(make_member: MakeMember) -> None:
    member = await make_member()
    async with open_connection(member.port) as connection:
        await execute(connection, TABLE)
    before = await query_status(member, fence_sql(5))
    member.servers[0].server.close()
    restarted = await make_member()
    assert await query_status(restarted) == before
