"""Clients that book, read and check what they are shown."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterator
from random import Random
from typing import Final

import attrs

from radishtrack.platform.lines import ConnectionEnded, LineConnection, encode_line
from radishtrack_standins.platform_objects import (
    AGED_DATABASE,
    AGED_MAX_AGE_MS,
    SESSION_DATABASE,
    STRICT_DATABASE,
)
from radishtrack_standins.soak.fleet import NodeProcess
from radishtrack_standins.soak.group import Group
from radishtrack_standins.soak.ledger import Ledger

ANSWER_S: Final = 4.0
"""A client that waits longer for an answer gives its connection up."""
PAUSE_S: Final = 0.03
LEAVE_SHARE: Final = 0.02
"""Part of the statements after which a client leaves without a word."""


@attrs.define(eq=False)
class SoakClient:
    """One client; `run` never returns."""

    name: str
    key: str
    random: Random
    nodes: dict[str, NodeProcess]
    group: Group
    ledger: Ledger
    now_ms: Callable[[], float]
    numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    own_writes: set[str] = attrs.field(factory=set)
    """Writes of the present session that were acknowledged."""

    async def run(self) -> None:
        """Open one session after the other."""
        while True:
            await asyncio.sleep(PAUSE_S)
            node = self.random.choice(list(self.nodes.values()))
            database = self.random.choice(
                (STRICT_DATABASE, SESSION_DATABASE, AGED_DATABASE)
            )
            try:
                await self.run_session(node, database)
            except (ConnectionEnded, OSError, TimeoutError) as error:
                self.ledger.outcomes[type(error).__name__] += 1

    async def run_session(self, node: NodeProcess, database: str) -> None:
        """Run statements until the connection ends, or until the client leaves."""
        connection = await self.connect(node, database)
        self.own_writes = set()
        try:
            while self.random.random() > LEAVE_SHARE:
                await self._run_operation(connection, database)
                await asyncio.sleep(PAUSE_S * self.random.random())
        finally:
            connection.abort()

    async def connect(self, node: NodeProcess, database: str) -> LineConnection:
        """Open a session.

        Raises
        ------
        ConnectionEnded
            If the node refuses it.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(ANSWER_S):
            _, connection = await loop.create_connection(
                LineConnection, node.host, node.ports["frontend"]
            )
            connection.write(encode_line(f"STARTUP {database} {self.key}"))
            line = await connection.read_line()
        if not line.startswith("READY"):
            connection.abort()
            raise ConnectionEnded(line)
        return connection

    async def ask(self, connection: LineConnection, text: str) -> tuple[str, str]:
        """Run a statement; return its identifier and the first line of the answer."""
        statement_id = f"{self.name}-{next(self.numbers)}"
        connection.write(encode_line(f"QUERY {statement_id} {text}"))
        first = ""
        while True:
            async with asyncio.timeout(ANSWER_S):
                line = await connection.read_line()
            if line.startswith("READY"):
                break
            first = first or line
        words = first.split(" ")
        self.ledger.outcomes[" ".join(words[: 2 if words[0] == "ERROR" else 1])] += 1
        return statement_id, first

    async def _run_operation(self, connection: LineConnection, database: str) -> None:
        draw = self.random.random()
        if draw < 0.3:
            self._note_write(*await self.ask(connection, "WRITE q1 x"))
        elif draw < 0.45:
            await self._run_transaction(connection)
        else:
            await self._read(connection, database)

    async def _run_transaction(self, connection: LineConnection) -> None:
        _, answer = await self.ask(connection, "BEGIN")
        if answer.startswith("ERROR"):
            return
        await self.ask(connection, "WRITE q1 x")
        self._note_write(*await self.ask(connection, "COMMIT"))

    async def _read(self, connection: LineConnection, database: str) -> None:
        needed = self._list_needed(database)
        _, answer = await self.ask(connection, "READ q2")
        if answer.startswith("DATAROW"):
            row = answer.removeprefix("DATAROW ")
            log = self.group.logs[row.partition("@")[0]]
            self.ledger.check_read(database, row, log, needed)

    def _list_needed(self, database: str) -> set[str]:
        """Return the writes that a read which starts now must see."""
        now_ms = self.now_ms()
        age_ms = {
            STRICT_DATABASE: 0.0,
            SESSION_DATABASE: None,
            AGED_DATABASE: AGED_MAX_AGE_MS,
        }[database]
        if age_ms is None:
            return set(self.own_writes)
        acknowledged = self.ledger.acknowledged.items()
        return {name for name, at_ms in acknowledged if at_ms <= now_ms - age_ms}

    def _note_write(self, statement_id: str, answer: str) -> None:
        self.ledger.note_write(statement_id, answer, self.now_ms())
        if answer.startswith("COMPLETE"):
            self.own_writes.add(statement_id)
