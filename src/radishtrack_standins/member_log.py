"""Data and log of a member in sqlite (WAL mode), with one log row per commit."""

from __future__ import annotations

import asyncio
import json
import sqlite3
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Final

import attrs

REPLAY_BATCH_ENTRIES: Final = 200


@attrs.define(frozen=True)
class LogEntry:
    """One committed transaction.

    Parameters
    ----------
    term : int
        Term in which it was committed.
    sequence : int
        Its sequence number in the log.
    statements : tuple of str
        Its changes in order.
    """

    term: int
    sequence: int
    statements: tuple[str, ...]


def _concat(*values: object) -> str | None:
    if any(value is None for value in values):
        return None
    return "".join(str(value) for value in values)


class MemberLog:
    """Database file of one member and the position of the end of its log."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.writer = self.connect()
        self.writer.execute(
            "CREATE TABLE IF NOT EXISTS _log (sequence INTEGER PRIMARY KEY,"
            " term INTEGER NOT NULL, statements TEXT NOT NULL)"
        )
        self.term = 0
        self.sequence = 0
        self.write_lock = asyncio.Lock()
        """Held from the first change of a transaction until it ends."""
        self.changed = asyncio.Event()
        """Set and replaced after every change of the log; wakes waiting replicas."""
        self.read_end()

    def connect(self) -> sqlite3.Connection:
        """Return a new connection, since sqlite isolates transactions by connection."""
        connection = sqlite3.connect(self.path, isolation_level=None, timeout=0)
        # Commits survive the end of the process, which suffices for a stand-in.
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute("PRAGMA synchronous = OFF")
        connection.create_function("concat", -1, _concat)
        return connection

    def read_end(self) -> None:
        """Read the position of the last log entry from the file."""
        row = self.writer.execute(
            "SELECT term, sequence FROM _log ORDER BY sequence DESC LIMIT 1"
        ).fetchone()
        self.term, self.sequence = row or (0, 0)

    def notify(self) -> None:
        """Wake all tasks that wait for a change of the log."""
        self.changed.set()
        self.changed = asyncio.Event()

    def append(
        self, connection: sqlite3.Connection, term: int, statements: Sequence[str]
    ) -> None:
        """Commit the open transaction of `connection` as the next log entry."""
        self.commit(connection, LogEntry(term, self.sequence + 1, tuple(statements)))

    def commit(self, connection: sqlite3.Connection, entry: LogEntry) -> None:
        """Commit the open transaction of `connection` together with its log entry."""
        connection.execute(
            "INSERT INTO _log (sequence, term, statements) VALUES (?, ?, ?)",
            (entry.sequence, entry.term, json.dumps(entry.statements)),
        )
        connection.execute("COMMIT")
        self.term, self.sequence = entry.term, entry.sequence
        self.notify()

    def apply(self, entry: LogEntry) -> None:
        """Apply a transaction of the source; the caller holds the write lock."""
        self.writer.execute("BEGIN IMMEDIATE")
        try:
            for statement in entry.statements:
                self.writer.execute(statement)
            self.commit(self.writer, entry)
        except sqlite3.Error:
            if self.writer.in_transaction:
                self.writer.execute("ROLLBACK")
            raise

    def read_entries(self, after: int, limit: int) -> list[LogEntry]:
        """Return at most `limit` entries after the sequence `after`."""
        rows = self.writer.execute(
            "SELECT term, sequence, statements FROM _log WHERE sequence > ?"
            " ORDER BY sequence LIMIT ?",
            (after, limit),
        )
        return [
            LogEntry(term, sequence, tuple(json.loads(statements)))
            for term, sequence, statements in rows
        ]

    def term_at(self, sequence: int) -> int:
        """Return the term of an entry, or 0 if there is no such entry."""
        row = self.writer.execute(
            "SELECT term FROM _log WHERE sequence = ?", (sequence,)
        ).fetchone()
        return int(row[0]) if row else 0

    def common_end(self, term: int, sequence: int) -> int:
        """Return the last sequence up to which another log can match this one.

        The other log ends at `term` and `sequence`.

        Entries of one term come from one primary, so logs that have the same term at a
        sequence are equal up to it.
        """
        if sequence == 0 or self.term_at(sequence) == term:
            return sequence
        row = self.writer.execute(
            "SELECT max(sequence) FROM _log WHERE term <= ? AND sequence < ?",
            (term, sequence),
        ).fetchone()
        return int(row[0] or 0)

    async def truncate(self, sequence: int) -> None:
        """Discard all entries after `sequence`; the caller holds the write lock.

        There is no undo log, so the tables are rebuilt from the entries in one
        transaction, which readers see whole or not at all.
        """
        if sequence >= self.sequence:
            return
        kept = self.read_entries(0, sequence) if sequence else []
        self.writer.execute("BEGIN IMMEDIATE")
        try:
            self._drop_tables()
            await self._replay(kept)
            self.writer.execute("DELETE FROM _log WHERE sequence > ?", (sequence,))
            self.writer.execute("COMMIT")
        except BaseException:
            self.writer.execute("ROLLBACK")
            raise
        self.read_end()
        self.notify()

    def _drop_tables(self) -> None:
        names = self.writer.execute(
            "SELECT name FROM sqlite_master WHERE type = 'table'"
            " AND name <> '_log' AND name NOT LIKE 'sqlite%'"
        ).fetchall()
        for (name,) in names:
            self.writer.execute(f'DROP TABLE "{name}"')

    async def _replay(self, entries: Iterable[LogEntry]) -> None:
        for count, entry in enumerate(entries, start=1):
            for statement in entry.statements:
                self.writer.execute(statement)
            if count % REPLAY_BATCH_ENTRIES == 0:
                await asyncio.sleep(0)

    def close(self) -> None:
        """Close the file."""
        self.writer.close()
