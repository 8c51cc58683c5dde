"""Guards at-most-once execution of requests with an identifier."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from radishtrack.backend.connection import (
    MemberConnection,
    MemberError,
    open_connection,
)
from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack.backend.journal import make_journal_entry, run_journaled
from radishtrack.errors import ErrorCode, RequestError
from radishtrack_standins.member import MemberSettings, RunningMember, start_member

INSERT = "INSERT INTO receipts (name) VALUES ('a')"


@pytest.fixture
async def member(tmp_path: Path) -> AsyncIterator[RunningMember]:
    running = await start_member(MemberSettings("m1", tmp_path, connect_cost_ms=0.0))
    connection = await connect(running)
    await connection.run(
        "CREATE TABLE receipts (id INTEGER PRIMARY KEY AUTO_INCREMENT, name TEXT)"
    )
    connection.close()
    yield running
    await running.close()


async def connect(member: RunningMember) -> MemberConnection:
    endpoint = MemberEndpoint("m1", "127.0.0.1", member.port, member.admin_port, "a")
    return await open_connection(endpoint, "radishtrack", "")


async def count_rows(connection: MemberConnection) -> int:
    return int((await connection.fetch("SELECT COUNT(*) FROM receipts"))[0][0])


async def test_a_repeated_request_returns_the_first_result(
    member: RunningMember,
) -> None:
    connection = await connect(member)
    entry = make_journal_entry("o", "r-1", INSERT)
    first_run = await run_journaled(connection, entry, INSERT)
    repeat = await run_journaled(connection, entry, INSERT)
    assert (first_run.is_repeat, repeat.is_repeat) == (False, True)
    assert repeat.result == first_run.result
    assert first_run.result.affected_rows == 1
    assert await count_rows(connection) == 1
    connection.close()


async def test_an_identifier_belongs_to_one_statement(member: RunningMember) -> None:
    connection = await connect(member)
    await run_journaled(connection, make_journal_entry("o", "r-1", INSERT), INSERT)
    other = INSERT.replace("'a'", "'b'")
    with pytest.raises(RequestError) as caught:
        await run_journaled(connection, make_journal_entry("o", "r-1", other), other)
    assert caught.value.failure.code == ErrorCode.INVALID_OPTION
    assert await count_rows(connection) == 1
    connection.close()


async def test_an_identifier_belongs_to_one_organisation(
    member: RunningMember,
) -> None:
    connection = await connect(member)
    for organisation in ("o", "p"):
        entry = make_journal_entry(organisation, "r-1", INSERT)
        assert not (await run_journaled(connection, entry, INSERT)).is_repeat
    assert await count_rows(connection) == 2
    connection.close()


async def test_a_failed_statement_leaves_no_entry(member: RunningMember) -> None:
    """With an entry left behind, the next attempt would be skipped as a repeat."""
    connection = await connect(member)
    bad = "INSERT INTO receipts (id, name) VALUES (1, 'a'), (1, 'b')"
    entry = make_journal_entry("o", "r-1", bad)
    for _ in range(2):
        with pytest.raises(MemberError):
            await run_journaled(connection, entry, bad)
    assert await count_rows(connection) == 0
    assert connection.is_reusable
    connection.close()


async def test_concurrent_repeats_run_once(member: RunningMember) -> None:
    connections = [await connect(member) for _ in range(4)]
    entry = make_journal_entry("o", "r-1", INSERT)
    results = await asyncio.gather(
        *(run_journaled(connection, entry, INSERT) for connection in connections),
        return_exceptions=True,
    )
    first_results = [
        result
        for result in results
        if not isinstance(result, BaseException) and not result.is_repeat
    ]
    assert len(first_results) == 1
    assert await count_rows(connections[0]) == 1
    for connection in connections:
        connection.close()


@pytest.mark.parametrize("name", ["a'b", "", "a b", "x" * 200])
def test_names_that_need_quoting_are_refused(name: str) -> None:
    with pytest.raises(ValueError, match="journal"):
        make_journal_entry("o", name, INSERT)
