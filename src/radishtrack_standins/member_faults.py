"""Fault switches and observations of a member."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from typing import Final

import attrs

KEPT_STATEMENTS: Final = 200_000


@attrs.define(frozen=True)
class SeenStatement:
    """A statement as a client sent it, with the attributes of its connection."""

    port: str
    user: str
    text: str


@attrs.define
class Faults:
    """Switches of one member; all off at first."""

    cut_clients: bool = False
    """Neither reads from nor answers proxies; connections stay open."""
    cut_replication: bool = False
    """Neither answers replicas nor hears its own source."""
    freeze: bool = False
    """Does nothing at all, as if the process were paused."""
    delay_ms: float = 0.0
    """Added before every answer."""
    die_in_result: int = -1
    """Rows of the next result that are sent before the socket is closed."""
    die_before_commit: bool = False
    """Ends the process before the next commit takes effect."""
    die_after_commit: bool = False
    """Ends the process after the next commit, before its answer."""
    drop_before_commit: bool = False
    """Closes the connection of the next commit before it takes effect."""
    drop_after_commit: bool = False
    """Closes the connection of the next commit after it took effect."""
    replication_lag_ms: float = 0.0
    """Time between receiving and applying a change."""
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def set(self, **values: object) -> None:
        """Change switches and wake everything that waits for one."""
        for name, value in values.items():
            setattr(self, name, value)
        self.changed.set()
        self.changed = asyncio.Event()

    async def pass_clients(self) -> None:
        """Wait while traffic with clients is cut or the member is frozen."""
        while self.cut_clients or self.freeze:
            await self.changed.wait()

    async def pass_connecting(self) -> None:
        """Wait while nobody can get an answer; the user is not known yet."""
        while self.freeze or (self.cut_clients and self.cut_replication):
            await self.changed.wait()

    async def pass_replication(self) -> None:
        """Wait while replication is cut or the member is frozen."""
        while self.cut_replication or self.freeze:
            await self.changed.wait()

    async def pass_running(self) -> None:
        """Wait while the member is frozen."""
        while self.freeze:
            await self.changed.wait()

    async def delay(self) -> None:
        """Wait for the set delay of answers."""
        if self.delay_ms > 0:
            await asyncio.sleep(self.delay_ms / 1000)

    def before_commit(self) -> None:
        """Die or drop the connection if that is set to happen before a commit."""
        if self.die_before_commit:
            os._exit(1)
        if self.drop_before_commit:
            self.drop_before_commit = False
            raise ConnectionAbortedError("dropped before a commit")

    def after_commit(self) -> None:
        """Die or drop the connection if that is set to happen after a commit."""
        if self.die_after_commit:
            os._exit(1)
        if self.drop_after_commit:
            self.drop_after_commit = False
            raise ConnectionAbortedError("dropped after a commit")


@attrs.define
class Observations:
    """What the member has seen since it started."""

    statements: deque[SeenStatement] = attrs.field(
        factory=lambda: deque(maxlen=KEPT_STATEMENTS)
    )
    """The latest statements of clients."""
    statements_total: int = 0
    """All statements, also those that are no longer kept."""
    attributes: list[dict[str, str]] = attrs.field(factory=list)
    """Connection attributes of each connection."""
    users: list[str] = attrs.field(factory=list)
    connections: int = 0
    """Counted connections at present."""
    connections_at_most: int = 0
    connections_refused: int = 0
    connections_opened: int = 0

    def saw(self, statement: SeenStatement) -> None:
        """Keep a statement."""
        self.statements.append(statement)
        self.statements_total += 1

    def opened(self) -> None:
        """Count a connection."""
        self.connections += 1
        self.connections_opened += 1
        self.connections_at_most = max(self.connections_at_most, self.connections)

    def closed(self) -> None:
        """Count a closed connection."""
        self.connections -= 1
