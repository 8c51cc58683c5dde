"""Guards that the database stand-in behaves like the members that it stands for."""

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
async def make(tmp_path: Path) -> AsyncIterator[MakeMember]:
    running = []

    async def start(name: str = "M1", **settings: Any) -> RunningMember:
        defaults = MemberSettings(name, tmp_path / name, connect_cost_ms=0)
        running.append(await start_member(attrs.evolve(defaults, **settings)))
        return running[-1]

    yield start
    for member in running:
        await member.close()


@asynccontextmanager
async def connected(port: int, **options: Any) -> AsyncIterator[Any]:
    defaults = {"user": "radishtrack", "db": "booking", "autocommit": True}
    connection = await aiomysql.connect(host=HOST, port=port, **defaults | options)
    try:
        yield connection
    finally:
        connection.close()


async def run(connection: Any, sql: str) -> Any:
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return cursor


async def rows(connection: Any, sql: str) -> list[tuple[Any, ...]]:
    return list(await (await run(connection, sql)).fetchall())


async def status(member: RunningMember, sql: str = STATUS_SQL) -> MemberStatus:
    async with connected(member.admin_port) as connection:
        return parse_status((await rows(connection, sql))[0])


async def wait_for_sequence(member: RunningMember, sequence: int) -> None:
    async with asyncio.timeout(5):
        while member.member.log.sequence < sequence:
            await asyncio.sleep(0.005)


def source_of(member: RunningMember) -> str:
    return f"{HOST}:{member.port}"


async def test_changes_report_affected_rows_and_the_first_key(make: MakeMember) -> None:
    member = await make()
    async with connected(member.port) as connection:
        await run(connection, TABLE)
        sql = "INSERT INTO orders (note) VALUES (%s), (%s)"
        async with connection.cursor() as cursor:
            await cursor.execute(sql, ('it\'s \\ "x"\n', "b"))
            assert (cursor.rowcount, cursor.lastrowid) == (2, 1)
        updated = await run(connection, "UPDATE orders SET note = 'c' WHERE id = 2")
        assert (updated.rowcount, updated.lastrowid) == (1, 0)
        found = await rows(connection, "SELECT id, note FROM orders ORDER BY id")
        assert found == [(1, 'it\'s \\ "x"\n'), (2, "c")]
        assert await rows(connection, "SELECT LAST_INSERT_ID(), DATABASE()") == [
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
async def test_errors_carry_the_codes_of_mysql(
    make: MakeMember, sql: str, code: int
) -> None:
    member = await make()
    async with connected(member.port) as connection:
        await run(connection, TABLE)
        await run(connection, "INSERT INTO orders (note) VALUES ('a')")
        with pytest.raises(pymysql.err.MySQLError) as caught:
            await run(connection, sql)
        assert caught.value.args[0] == code
        assert await rows(connection, "SELECT count(*) FROM orders") == [(1,)]


async def test_an_open_transaction_is_invisible_until_commit(make: MakeMember) -> None:
    member = await make()
    count = "SELECT count(*) FROM orders"
    async with connected(member.port) as one, connected(member.port) as other:
        await run(one, TABLE)
        await one.begin()
        assert one.get_transaction_status()
        await run(one, "INSERT INTO orders (note) VALUES ('a')")
        assert await rows(other, count) == [(0,)]
        await one.commit()
        assert not one.get_transaction_status()
        assert await rows(other, count) == [(1,)]
        await one.begin()
        await run(one, "DELETE FROM orders")
        await one.rollback()
        assert await rows(other, count) == [(1,)]


async def test_a_lost_connection_rolls_back_and_frees_its_lock(
    make: MakeMember, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("radishtrack_standins.member_core.LOCK_WAIT_S", 0.05)
    member = await make()
    async with connected(member.port) as one, connected(member.port) as other:
        await run(one, TABLE)
        await one.begin()
        await run(one, "INSERT INTO orders (note) VALUES ('a')")
        with pytest.raises(pymysql.err.OperationalError) as caught:
            await run(other, "INSERT INTO orders (note) VALUES ('b')")
        assert caught.value.args[0] == 1205
        one.close()
        monkeypatch.setattr("radishtrack_standins.member_core.LOCK_WAIT_S", 5)
        await run(other, "INSERT INTO orders (note) VALUES ('b')")
        assert await rows(other, "SELECT note FROM orders") == [("b",)]


async def test_connections_beyond_the_limit_are_refused_but_not_administrative_ones(
    make: MakeMember,
) -> None:
    member = await make(max_connections=1)
    async with connected(member.port):
        with pytest.raises(pymysql.err.OperationalError) as caught:
            async with connected(member.port):
                pass
        assert caught.value.args[0] == 1040
        assert (await status(member)).role is Role.PRIMARY
    observed = member.member.observed
    assert (observed.connections_at_most, observed.connections_refused) == (1, 1)


@pytest.mark.parametrize(
    "options", [{"password": "wrong"}, {"user": "stranger", "password": "secret"}]
)
async def test_a_failed_login_ends_the_connection(
    make: MakeMember, options: dict[str, str]
) -> None:
    """mysql-mimic alone would serve statements after it refused the login."""
    member = await make(password="secret")
    with pytest.raises(pymysql.err.OperationalError) as caught:
        async with connected(member.port, **options):
            pass
    assert caught.value.args[0] == 1045
    async with connected(member.port, password="secret") as connection:
        assert await rows(connection, "SELECT 1") == [(1,)]

    reader, writer = await asyncio.open_connection(HOST, member.port)
    await reader.readexactly(4)
    flags = 0x0008_8200
    login = flags.to_bytes(4, "little") + b"\0\0\0\1\x2d" + bytes(23)
    login += b"radishtrack\0\x14" + b"x" * 20 + b"mysql_native_password\0"
    writer.write(len(login).to_bytes(3, "little") + b"\1" + login)
    writer.write(b"\x09\0\0\0\3SELECT 2")
    assert b"Access denied" in await asyncio.wait_for(reader.read(), 2)
    writer.close()
    texts = [seen.text for seen in member.member.observed.statements]
    assert texts == ["SET AUTOCOMMIT = 1", "SELECT 1"]


async def test_a_replica_repeats_changes_after_its_lag(make: MakeMember) -> None:
    primary = await make("M1")
    replica = await make("M2", source=source_of(primary), replication_lag_ms=150.0)
    async with connected(primary.port) as connection:
        await run(connection, TABLE)
        await run(connection, "INSERT INTO orders (note) VALUES (UUID()), (NOW())")
        await asyncio.sleep(0.05)
        assert (await status(replica)).position == Position(0, 0)
        await wait_for_sequence(replica, 2)
        written = await rows(connection, "SELECT * FROM orders")
    async with connected(replica.port) as connection:
        assert await rows(connection, "SELECT * FROM orders") == written
        with pytest.raises(pymysql.err.OperationalError) as caught:
            await run(connection, "DELETE FROM orders")
        assert caught.value.args[0] == 1290
    assert (await status(replica)) == MemberStatus(
        "M2", 1, 1, Role.REPLICA, Position(1, 2)
    )


async def test_a_fenced_primary_commits_nothing_even_in_open_transactions(
    make: MakeMember,
) -> None:
    member = await make()
    async with connected(member.port) as connection:
        await run(connection, TABLE)
        await connection.begin()
        await run(connection, "INSERT INTO orders (note) VALUES ('a')")
        fenced = await status(member, fence_sql(2))
        assert (fenced.term, fenced.fenced_term, fenced.is_fenced) == (1, 2, True)
        with pytest.raises(pymysql.err.OperationalError) as caught:
            await connection.commit()
        assert caught.value.args[0] == 1290
        with pytest.raises(pymysql.err.OperationalError) as caught:
            await run(connection, "INSERT INTO orders (note) VALUES ('b')")
        assert caught.value.args[0] == 1290
        assert await rows(connection, "SELECT * FROM orders") == []
    assert await status(member, fence_sql(2)) == fenced


async def test_a_transaction_of_an_ended_term_cannot_commit_in_the_next_one(
    make: MakeMember,
) -> None:
    member = await make()
    async with connected(member.port) as connection:
        await run(connection, TABLE)
        await connection.begin()
        await run(connection, "INSERT INTO orders (note) VALUES ('a')")
        await status(member, fence_sql(2))
        await status(member, promote_sql(2))
        with pytest.raises(pymysql.err.OperationalError) as caught:
            await connection.commit()
        assert caught.value.args[0] == 1213
        assert await rows(connection, "SELECT * FROM orders") == []


async def test_a_fenced_replica_stops_applying(make: MakeMember) -> None:
    primary = await make("M1")
    replica = await make("M2", source=source_of(primary), replication_lag_ms=60.0)
    async with connected(primary.port) as connection:
        await run(connection, TABLE)
        await wait_for_sequence(replica, 1)
        await run(connection, "INSERT INTO orders (note) VALUES ('late')")
        await asyncio.sleep(0.02)
        fenced = await status(replica, fence_sql(2))
        await asyncio.sleep(0.15)
    assert await status(replica) == fenced
    assert fenced.position == Position(1, 1)


@pytest.mark.parametrize(
    "sql", [fence_sql(2), promote_sql(2), follow_sql(2, HOST, 9, 0)]
)
async def test_statements_of_a_lower_term_are_refused(
    make: MakeMember, sql: str
) -> None:
    member = await make()
    await status(member, fence_sql(3))
    with pytest.raises(pymysql.err.MySQLError) as caught:
        await status(member, sql)
    assert caught.value.args[0] == 1644


async def test_a_term_cannot_get_a_second_primary(make: MakeMember) -> None:
    primary = await make("M1")
    replica = await make("M2", source=source_of(primary))
    for member, sql in (
        (replica, promote_sql(1)),
        (primary, follow_sql(1, HOST, replica.port, 0)),
    ):
        with pytest.raises(pymysql.err.MySQLError) as caught:
            await status(member, sql)
        assert caught.value.args[0] == 1644
    assert (await status(primary, promote_sql(1))).role is Role.PRIMARY


async def test_a_replaced_primary_discards_what_the_new_term_lacks(
    make: MakeMember,
) -> None:
    first = await make("M1")
    second = await make("M2", source=source_of(first))
    third = await make("M3", source=source_of(first))
    async with connected(first.port) as connection:
        await run(connection, TABLE)
        await wait_for_sequence(second, 1)
        await wait_for_sequence(third, 1)
        await status(second, fence_sql(2))
        await status(third, fence_sql(2))
        await run(connection, "INSERT INTO orders (note) VALUES ('lost')")
    assert (await status(second, promote_sql(2))).position == Position(1, 1)
    for member in (third, first):
        followed = await status(member, follow_sql(2, HOST, second.port, 1))
        assert (followed.term, followed.role) == (2, Role.REPLICA)
    async with connected(second.port) as connection:
        await run(connection, "INSERT INTO orders (note) VALUES ('kept')")
    for member in (first, third):
        await wait_for_sequence(member, 2)
        assert (await status(member)).position == Position(2, 2)
        async with connected(member.port) as connection:
            assert await rows(connection, "SELECT * FROM orders") == [(1, "kept")]


async def test_following_discards_before_the_source_answers(make: MakeMember) -> None:
    member = await make()
    async with connected(member.port) as connection:
        await run(connection, TABLE)
        await run(connection, "INSERT INTO orders (note) VALUES ('lost')")
        await connection.begin()
        await run(connection, "INSERT INTO orders (note) VALUES ('open')")
        await status(member, fence_sql(2))
        followed = await status(member, follow_sql(2, HOST, 9, 1))
        assert followed.position == Position(1, 1)
        async with connected(member.port) as other:
            assert await rows(other, "SELECT * FROM orders") == []


async def test_a_member_that_missed_a_term_discards_what_that_term_lacked(
    make: MakeMember,
) -> None:
    """The start of the latest term alone does not show that the logs parted before."""
    first = await make("M1")
    second = await make("M2", source=source_of(first))
    async with connected(first.port) as connection:
        await run(connection, TABLE)
        await wait_for_sequence(second, 1)
        await status(second, fence_sql(2))
        await run(connection, "INSERT INTO orders (note) VALUES ('lost')")
    await status(second, promote_sql(2))
    async with connected(second.port) as connection:
        for note in "abc":
            await run(connection, f"INSERT INTO orders (note) VALUES ('{note}')")
        await status(second, promote_sql(3))
    followed = await status(first, follow_sql(3, HOST, second.port, 4))
    assert followed.term == 3
    await wait_for_sequence(first, 4)
    async with connected(first.port) as connection:
        notes = await rows(connection, "SELECT note FROM orders ORDER BY id")
    assert notes == [("a",), ("b",), ("c",)]


async def test_a_follower_stays_fenced_until_its_source_answers(
    make: MakeMember,
) -> None:
    """Its log may still differ from the source's log."""
    primary = await make("M1")
    replica = await make("M2", source=source_of(primary))
    await status(replica, fence_sql(2))
    assert (await status(replica, follow_sql(2, HOST, primary.port, 0))).is_fenced
    await status(primary, promote_sql(2))
    async with asyncio.timeout(2):
        while (await status(replica)).is_fenced:
            await asyncio.sleep(0.01)


async def test_data_and_fence_outlive_a_restart(make: MakeMember) -> None:
    member = await make()
    async with connected(member.port) as connection:
        await run(connection, TABLE)
    before = await status(member, fence_sql(5))
    member.servers[0].server.close()
    again = await make()
    assert await status(again) == before
