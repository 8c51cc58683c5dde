"""Connection pool of a holder for the members of one database."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from typing import Final

import attrs

from radishtrack.backend.connection import ConnectFailed, MemberConnection
from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack.clock import Clock

MAX_IDLE_MS: Final = 30_000.0
"""Connections idle for longer are not reused: the member may have closed them."""

OpenConnection = Callable[[MemberEndpoint], Awaitable[MemberConnection]]


@attrs.define
class ConnectionPool:
    """Connections to all members of one database, within one limit.

    Callers hold a permit of the database's admission gate, so at most `limit`
    connections are in use. Idle ones are closed when a new one would exceed the limit.

    Parameters
    ----------
    endpoints : dict of str to MemberEndpoint
        The members, by name.
    limit : int
        Connections that this holder may have open at once.
    open_connection : callable
        Opens a connection to an endpoint.
    clock : Clock
        Measures how long connections are idle.
    """

    endpoints: dict[str, MemberEndpoint]
    limit: int
    open_connection: OpenConnection
    clock: Clock
    idle: deque[MemberConnection] = attrs.field(factory=deque)
    in_use: dict[str, int] = attrs.field(factory=dict)
    open_count: int = 0
    connection_released: asyncio.Event = attrs.field(factory=asyncio.Event)

    @asynccontextmanager
    async def connection(self, member: str) -> AsyncIterator[MemberConnection]:
        """Use a connection to a member; afterwards keep it if it is reusable.

        Raises
        ------
        ConnectFailed
            If no connection could be made; nothing was sent.
        """
        connection = await self.acquire(member)
        try:
            yield connection
        finally:
            self.release(connection)

    async def acquire(self, member: str) -> MemberConnection:
        """Return an idle or new connection; errors as in `connection`."""
        endpoint = self.endpoints.get(member)
        if endpoint is None:
            raise ConnectFailed(f"{member}: not a member of the group")
        self.in_use[member] = self.in_use.get(member, 0) + 1
        try:
            return self._pop_idle(member) or await self._open(endpoint)
        except BaseException:
            self.in_use[member] -= 1
            raise

    def release(self, connection: MemberConnection) -> None:
        """Keep a connection for the next user, or close it."""
        self.in_use[connection.member] -= 1
        connection.last_used_ms = self.clock.now_ms()
        is_current = self.endpoints.get(connection.member) == connection.endpoint
        if connection.is_reusable and is_current:
            self.idle.append(connection)
        else:
            self._close(connection)
        self.connection_released.set()

    def replace_endpoints(self, endpoints: Mapping[str, MemberEndpoint]) -> None:
        """Set the addresses; close idle connections to those no longer in use."""
        moved = {
            member
            for member, endpoint in self.endpoints.items()
            if endpoints.get(member) != endpoint
        }
        self.endpoints = dict(endpoints)
        self.drop_idle(moved)

    def drop_idle(self, members: set[str]) -> None:
        """Close idle connections to the named members."""
        for connection in tuple(self.idle):
            if connection.member in members:
                self.idle.remove(connection)
                self._close(connection)

    def close(self) -> None:
        """Close all idle connections."""
        self.drop_idle({connection.member for connection in self.idle})

    def _pop_idle(self, member: str) -> MemberConnection | None:
        oldest_ms = self.clock.now_ms() - MAX_IDLE_MS
        # Newest first, so that surplus connections reach their idle limit.
        for connection in reversed(tuple(self.idle)):
            if connection.member != member:
                continue
            self.idle.remove(connection)
            if connection.is_reusable and connection.last_used_ms >= oldest_ms:
                return connection
            self._close(connection)
        return None

    async def _open(self, endpoint: MemberEndpoint) -> MemberConnection:
        while self.open_count >= self.limit:
            if self.idle:
                self._close(self.idle.popleft())
                continue
            self.connection_released.clear()
            await self.connection_released.wait()
        self.open_count += 1
        try:
            return await self.open_connection(endpoint)
        except BaseException:
            self.open_count -= 1
            raise

    def _close(self, connection: MemberConnection) -> None:
        self.open_count -= 1
        connection.close()


def make_pool(
    endpoints: Mapping[str, MemberEndpoint],
    limit: int,
    open_connection: OpenConnection,
    clock: Clock,
) -> ConnectionPool:
    """Return an empty pool; see `ConnectionPool`."""
    return ConnectionPool(dict(endpoints), limit, open_connection, clock)
