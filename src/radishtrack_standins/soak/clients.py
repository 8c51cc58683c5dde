"""Clients that write, read and check the results of their reads."""

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

RESPONSE_TIMEOUT_S: Final = 4.0
"""A client that waits longer for a response closes its connection."""
PAUSE_S: Final = 0.03
"""Pause before each session, and longest pause after a statement."""
LEAVE_PROBABILITY: Final = 0.02
"""Probability before each statement that a client aborts its connection."""


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
    statement_numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    own_writes: set[str] = attrs.field(factory=set)
    """Acknowledged writes of the current session."""

    async def run(self) -> None:
        """Run sessions in sequence, each on a random node and database."""
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
        """Run statements until the connection ends or the client aborts it."""
        connection = await self.connect(node, database)
        self.own_writes = set()
        try:
            while self.random.random() > LEAVE_PROBABILITY:
                await self._run_operation(connection, database)
                await asyncio.sleep(PAUSE_S * self.random.random())
        finally:
            connection.abort()

    async def connect(self, node: NodeProcess, database: str) -> LineConnection:
        """Open a session.

        Raises
        ------
        ConnectionEnded
            If the node refuses the session.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            _, connection = await loop.create_connection(
                LineConnection, node.host, node.ports["frontend"]
            )
            connection.write(encode_line(f"STARTUP {database} {self.key}"))
            line = await connection.read_line()
        if not line.startswith("READY"):
            connection.abort()
            raise ConnectionEnded(line)
        return connection

    async def execute(
        self, connection: LineConnection, text: str, *, is_continuation: bool = False
    ) -> tuple[str, str]:
        """Run a statement; return its identifier and the first line of the response.

        Parameters
        ----------
        connection : LineConnection
            An open session.
        text : str
            The statement.
        is_continuation : bool
            Whether it belongs to a transaction and is not the first statement of it.
        """
        statement_id = f"{self.name}-{next(self.statement_numbers)}"
        if is_continuation:
            self.ledger.continuations.add(statement_id)
        self.ledger.sent_ms[statement_id] = self.now_ms()
        connection.write(encode_line(f"QUERY {statement_id} {text}"))
        first_line = ""
        while True:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                line = await connection.read_line()
            if line.startswith("READY"):
                break
            first_line = first_line or line
        words = first_line.split(" ")
        self.ledger.outcomes[" ".join(words[: 2 if words[0] == "ERROR" else 1])] += 1
        return statement_id, first_line

    async def _run_operation(self, connection: LineConnection, database: str) -> None:
        choice = self.random.random()
        if choice < 0.3:
            self._record_write(*await self.execute(connection, "WRITE q1 x"))
        elif choice < 0.45:
            await self._run_transaction(connection)
        else:
            await self._read(connection, database)

    async def _run_transaction(self, connection: LineConnection) -> None:
        _, response = await self.execute(connection, "BEGIN")
        if response.startswith("ERROR"):
            return
        await self.execute(connection, "WRITE q1 x")
        commit = await self.execute(connection, "COMMIT", is_continuation=True)
        self._record_write(*commit)

    async def _read(self, connection: LineConnection, database: str) -> None:
        required = self._list_required_writes(database)
        _, response = await self.execute(connection, "READ q2")
        if response.startswith("DATAROW"):
            row = response.removeprefix("DATAROW ")
            log = self.group.logs[row.partition("@")[0]]
            self.ledger.check_read(database, row, log, required)

    def _list_required_writes(self, database: str) -> set[str]:
        """Return the writes that a read must see if it starts now."""
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

    def _record_write(self, statement_id: str, response: str) -> None:
        self.ledger.record_write(statement_id, response, self.now_ms())
        if response.startswith("COMPLETE"):
            self.own_writes.add(statement_id)
