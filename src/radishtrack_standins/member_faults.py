"""Fault switches of a member, and its record of clients and statements."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from typing import Final

import attrs

MAX_KEPT_STATEMENTS: Final = 200_000


@attrs.define(frozen=True)
class ReceivedStatement:
    """A statement as received, with the port kind and user of its connection."""

    port: str
    user: str
    text: str


@attrs.define
class Faults:
    """Switches of one member; all off at first."""

    cut_clients: bool = False
    """Neither reads from nor responds to clients; connections stay open."""
    cut_replication: bool = False
    """Neither responds to replicas nor receives from its own source."""
    freeze: bool = False
    """Stops all activity, as if the process were paused."""
    delay_ms: float = 0.0
    """Delay before each response."""
    die_in_result: int = -1
    """Rows of the next result to send before closing the socket; -1 turns it off."""
    die_before_commit: bool = False
    """Exits the process before the next commit takes effect."""
    die_after_commit: bool = False
    """Exits the process after the next commit, before its response."""
    drop_before_commit: bool = False
    """Closes the connection of the next commit before it takes effect."""
    drop_after_commit: bool = False
    """Closes the connection of the next commit after it has taken effect."""
    replication_lag_ms: float = 0.0
    """Time between receiving and applying a change."""
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set and replaced after every change of a switch."""

    def set(self, **values: object) -> None:
        """Set switches by name and wake all tasks that wait for a change."""
        for name, value in values.items():
            setattr(self, name, value)
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_while_clients_cut(self) -> None:
        """Wait while client traffic is cut or the member is frozen."""
        while self.cut_clients or self.freeze:
            await self.changed.wait()

    async def wait_while_unreachable(self) -> None:
        """Wait while no user can get a response.

        Before the login it is unknown whether a client or a replica has connected.
        """
        while self.freeze or (self.cut_clients and self.cut_replication):
            await self.changed.wait()

    async def wait_while_replication_cut(self) -> None:
        """Wait while replication is cut or the member is frozen."""
        while self.cut_replication or self.freeze:
            await self.changed.wait()

    async def wait_while_frozen(self) -> None:
        """Wait while the member is frozen."""
        while self.freeze:
            await self.changed.wait()

    async def delay(self) -> None:
        """Wait for the delay of responses."""
        if self.delay_ms > 0:
            await asyncio.sleep(self.delay_ms / 1000)

    def before_commit(self) -> None:
        """Inject the faults that occur before a commit."""
        if self.die_before_commit:
            os._exit(1)
        if self.drop_before_commit:
            self.drop_before_commit = False
            raise ConnectionAbortedError("injected fault: dropped before a commit")

    def after_commit(self) -> None:
        """Inject the faults that occur after a commit."""
        if self.die_after_commit:
            os._exit(1)
        if self.drop_after_commit:
            self.drop_after_commit = False
            raise ConnectionAbortedError("injected fault: dropped after a commit")


@attrs.define
class Observations:
    """Statements, logins and connection counts since the member started."""

    statements: deque[ReceivedStatement] = attrs.field(
        factory=lambda: deque(maxlen=MAX_KEPT_STATEMENTS)
    )
    """Latest statements of clients, up to `MAX_KEPT_STATEMENTS`."""
    statements_total: int = 0
    """Number of all statements, including those no longer kept."""
    attributes: list[dict[str, str]] = attrs.field(factory=list)
    """Connection attributes of each login."""
    users: list[str] = attrs.field(factory=list)
    """User name of each login."""
    connections: int = 0
    """Current number of counted connections."""
    connections_at_most: int = 0
    connections_refused: int = 0
    connections_opened: int = 0

    def record_statement(self, statement: ReceivedStatement) -> None:
        """Record a statement."""
        self.statements.append(statement)
        self.statements_total += 1

    def count_opened(self) -> None:
        """Count an opened connection."""
        self.connections += 1
        self.connections_opened += 1
        self.connections_at_most = max(self.connections_at_most, self.connections)

    def count_closed(self) -> None:
        """Count a closed connection."""
        self.connections -= 1
