"""Guards the connection limit and that no connection is reused in an unknown state."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from radishtrack.backend.connection import ConnectFailed
from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack.backend.pool import MAX_IDLE_MS, ConnectionPool, make_pool
from radishtrack.clock import ManualTime, make_manual_clock


@attrs.define
class FakeConnection:
    """Replaces a `MemberConnection`."""

    endpoint: MemberEndpoint
    is_reusable: bool = True
    last_used_ms: float = 0.0
    is_closed: bool = False

    @property
    def member(self) -> str:
        return self.endpoint.member

    def close(self) -> None:
        self.is_closed = True


@attrs.define
class FakeOpener:
    """Opens fake connections, or fails."""

    opened: list[FakeConnection] = attrs.field(factory=list)
    fails: bool = False

    async def __call__(self, endpoint: MemberEndpoint) -> FakeConnection:
        await asyncio.sleep(0)
        if self.fails:
            raise ConnectFailed("refused")
        self.opened.append(FakeConnection(endpoint))
        return self.opened[-1]

    def count_open(self) -> int:
        return sum(not connection.is_closed for connection in self.opened)


def make_endpoint(member: str, port: int = 1) -> MemberEndpoint:
    return MemberEndpoint(member, "127.0.0.1", port, port + 1, "oslo-a")


def make_test_pool(
    limit: int = 2,
) -> tuple[ConnectionPool, FakeOpener, ManualTime]:
    opener, time = FakeOpener(), ManualTime()
    endpoints = {name: make_endpoint(name) for name in ("m1", "m2")}
    pool = make_pool(endpoints, limit, opener, make_manual_clock(time))
    return pool, opener, time


async def test_a_released_connection_is_reused() -> None:
    pool, opener, _ = make_test_pool()
    for _ in range(3):
        async with pool.connection("m1"):
            pass
    assert len(opener.opened) == 1


async def test_a_connection_in_doubt_is_closed() -> None:
    """Its next user would read a late response as its own."""
    pool, opener, _ = make_test_pool()
    async with pool.connection("m1") as connection:
        connection.is_reusable = False  # type: ignore[misc]
    assert opener.opened[0].is_closed
    async with pool.connection("m1") as connection:
        assert connection is opener.opened[1]


async def test_an_idle_connection_is_closed_to_stay_within_the_limit() -> None:
    pool, opener, _ = make_test_pool(limit=2)
    async with pool.connection("m1"), pool.connection("m1"):
        pass
    async with pool.connection("m2"):
        assert opener.count_open() == 2
    assert pool.open_count == 2


async def test_a_connection_idle_for_too_long_is_replaced() -> None:
    pool, opener, time = make_test_pool()
    async with pool.connection("m1"):
        pass
    time.advance(MAX_IDLE_MS + 1)
    async with pool.connection("m1"):
        pass
    assert opener.opened[0].is_closed
    assert len(opener.opened) == 2


async def test_a_failed_connect_does_not_count_against_the_limit() -> None:
    pool, opener, _ = make_test_pool(limit=1)
    opener.fails = True
    for _ in range(3):
        with pytest.raises(ConnectFailed):
            await pool.acquire("m1")
    opener.fails = False
    async with pool.connection("m1"):
        assert pool.open_count == 1
    assert pool.in_use["m1"] == 0


async def test_a_moved_member_gets_new_connections() -> None:
    """Regression: a connection in use during the move was kept for later requests."""
    pool, opener, _ = make_test_pool()
    async with pool.connection("m1") as connection:
        moved = make_endpoint("m1", 9)
        pool.replace_endpoints({"m1": moved, "m2": make_endpoint("m2")})
        assert not opener.opened[0].is_closed, "a connection in use stays open"
        assert connection is opener.opened[0]
    async with pool.connection("m1"):
        assert len(opener.opened) == 2


async def test_an_unknown_member_is_refused() -> None:
    pool, _, _ = make_test_pool()
    with pytest.raises(ConnectFailed, match="not a member"):
        await pool.acquire("m9")
