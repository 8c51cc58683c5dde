"""Tests that an unresponsive member fails a statement and closes its connection."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from radishtrack.backend.connection import (
    ResponseLost,
    StreamHead,
    StreamRows,
    open_connection,
)
from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack_standins.member import MemberSettings, start_member

ROWS = 450


async def test_a_frozen_member_fails_the_statement_and_closes_the_connection(
    tmp_path: Path,
) -> None:
    """On a kept connection the next statement would read the late response."""
    running = await start_member(MemberSettings("a", tmp_path, connect_cost_ms=0))
    port, admin_port = running.port, running.admin_port
    endpoint = MemberEndpoint("a", "127.0.0.1", port, admin_port, "z")
    connection = await open_connection(endpoint, "radishtrack", "")
    try:
        await connection.run("CREATE TABLE numbers (number INT PRIMARY KEY)")
        values = ", ".join(f"({number})" for number in range(ROWS))
        await connection.run(f"INSERT INTO numbers VALUES {values}")
        parts = [
            part async for part in connection.stream("SELECT * FROM numbers", 5.0, 5.0)
        ]
        assert isinstance(parts[0], StreamHead)
        chunks = [part.rows for part in parts if isinstance(part, StreamRows)]
        assert [len(rows) for rows in chunks] == [200, 200, 50]
        assert connection.is_reusable
        running.member.faults.set(freeze=True)
        async with asyncio.timeout(10):
            with pytest.raises(ResponseLost):
                async for _ in connection.stream("SELECT * FROM numbers", 0.05, 5.0):
                    pass
        assert not connection.is_reusable
        assert connection.raw.closed
    finally:
        running.member.faults.set(freeze=False)
        connection.close()
        await running.close()
