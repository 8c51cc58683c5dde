"""Replication: pulls the log of the source and applies it after the lag."""

from __future__ import annotations

import asyncio
import sqlite3
import time
from collections import deque
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any, Final

import aiomysql
import pymysql
from absl import logging

from radishtrack_standins.member_log import LogEntry

if TYPE_CHECKING:
    from radishtrack_standins.member_core import Member

RETRY_S: Final = 0.05
PULL_WAIT_MS: Final = 500
CONNECT_TIMEOUT_S: Final = 2.0
RESPONSE_TIMEOUT_S: Final = 3.0
REPLICATION_USER: Final = "replication"


async def _run_unless_set(
    event: asyncio.Event, work: Coroutine[Any, Any, None]
) -> bool:
    """Run `work`; if `event` is set first, cancel `work` and return True.

    Without the cancellation, a pending pull from the old source would delay the change
    to a new one by up to the time of a long poll.
    """
    work_task = asyncio.ensure_future(work)
    event_task = asyncio.ensure_future(event.wait())
    try:
        await asyncio.wait({work_task, event_task}, return_when=asyncio.FIRST_COMPLETED)
        if work_task.done():
            work_task.result()
            return False
        return True
    finally:
        work_task.cancel()
        event_task.cancel()
        await asyncio.gather(work_task, event_task, return_exceptions=True)


class Replica:
    """Pulls and applies the log while the member is a replica."""

    def __init__(self, member: Member, password: str) -> None:
        self.member = member
        self.password = password
        self.connection: Any = None
        self.address = ""
        self.pending: deque[tuple[float, LogEntry]] = deque()
        """Received entries with their due times in seconds (monotonic clock)."""
        self.pending_term = 0
        self.entries_received = asyncio.Event()

    async def run(self) -> None:
        """Pull and apply entries; end with a log line if one cannot be applied."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._pull_forever())
                tasks.create_task(self._apply_forever())
        except* sqlite3.Error:
            logging.exception("%s: replication stopped", self.member.name)
        finally:
            # Between two pulls, cancellation does not close the connection by itself.
            self._disconnect()

    async def _pull_forever(self) -> None:
        while True:
            await self.member.faults.wait_while_replication_cut()
            state = self.member.state
            changed = self.member.state_changed
            if state.is_primary or state.fenced_term > state.follow_term:
                self._disconnect()
                await changed.wait()
                continue
            try:
                if await _run_unless_set(changed, self._pull_once()):
                    self._disconnect()
            except (OSError, pymysql.err.Error, asyncio.IncompleteReadError):
                self._disconnect()
                await asyncio.sleep(RETRY_S)

    async def _pull_once(self) -> None:
        member, state = self.member, self.member.state
        term = state.follow_term
        if self.pending_term != term:
            self.pending.clear()
            self.pending_term = term
        await self._connect(state.source)
        last = self.pending[-1][1] if self.pending else None
        end = last or member.log
        # A new source must respond at once: its first response lets this member join.
        wait_ms = PULL_WAIT_MS if state.term == term else 0
        rows = await self._query(
            f"CALL sys.group_log({term}, {end.term}, {end.sequence}, {wait_ms})"
        )
        await member.faults.wait_while_replication_cut()
        if state.follow_term != term or state.fenced_term > term or state.is_primary:
            return
        kind, _, sequence, _ = rows[0]
        if kind == "wait":
            await asyncio.sleep(RETRY_S)
        elif kind == "diverged":
            await self._discard(int(sequence), term)
        else:
            self._receive(rows[1:])
            if state.join():
                member.notify_state()

    async def _discard(self, sequence: int, term: int) -> None:
        self.pending.clear()
        async with self.member.group_lock, self.member.log.write_lock:
            state = self.member.state
            if state.follow_term == state.fenced_term == term and not state.is_primary:
                await self.member.log.truncate(sequence)

    def _receive(self, rows: list[Any]) -> None:
        due_s = time.monotonic() + self.member.faults.replication_lag_ms / 1000
        for _, term, sequence, statements in rows:
            texts = tuple(str(statements).split("\x00"))
            self.pending.append((due_s, LogEntry(int(term), int(sequence), texts)))
        if rows:
            self.entries_received.set()

    async def _apply_forever(self) -> None:
        while True:
            if not self.pending:
                self.entries_received.clear()
                await self.entries_received.wait()
            await self.member.faults.wait_while_frozen()
            if not self.pending:
                continue
            wait_s = self.pending[0][0] - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
                continue
            async with self.member.log.write_lock:
                self._apply_next()

    def _apply_next(self) -> None:
        state = self.member.state
        is_stale = state.is_primary or state.fenced_term > self.pending_term
        if is_stale or state.follow_term != self.pending_term:
            self.pending.clear()
        if not self.pending:
            return
        entry = self.pending.popleft()[1]
        if entry.sequence == self.member.log.sequence + 1:
            self.member.log.apply(entry)
        else:
            self.pending.clear()

    async def _connect(self, source: str) -> None:
        if self.connection is not None and self.address == source:
            return
        self._disconnect()
        host, port = source.rsplit(":", 1)
        # aiomysql limits only the TCP connect, not an unresponsive handshake.
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self.connection = await aiomysql.connect(
                host=host,
                port=int(port),
                user=REPLICATION_USER,
                password=self.password,
                autocommit=None,
            )
        self.address = source

    async def _query(self, sql: str) -> list[Any]:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            async with self.connection.cursor() as cursor:
                await cursor.execute(sql)
                return list(await cursor.fetchall())

    def _disconnect(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
