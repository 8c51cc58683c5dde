"""Runs the statements of one connection against sqlite."""

from __future__ import annotations

import asyncio
import re
import sqlite3
from collections.abc import AsyncIterator
from typing import Final

import attrs

from radishtrack_standins.member_core import Member, Row
from radishtrack_standins.member_dialect import (
    MemberError,
    Statement,
    parse_statement,
    translate_error,
)

FETCH_ROWS: Final = 200

CHANGES: Final = frozenset({"INSERT", "UPDATE", "DELETE", "REPLACE"})
DEFINITIONS: Final = frozenset({"CREATE", "DROP", "ALTER", "TRUNCATE"})
UNSUPPORTED: Final = frozenset({"KILL", "FLUSH", "GRANT", "PREPARE", "EXECUTE"})
READS: Final = frozenset({"SELECT", "WITH", "SHOW", "DESCRIBE", "DESC", "VALUES"})
_TEMPORARY: Final = re.compile(
    r"CREATE\s+TEMPORARY\s+TABLE\s+(?:IF\s+NOT\s+EXISTS\s+)?`?(\w+)`?", re.I
)
_AUTOCOMMIT: Final = re.compile(
    r"SET\s+(?:@@)?(?:SESSION\s*\.?\s*)?AUTOCOMMIT\s*=\s*'?(\w+)'?", re.I
)


@attrs.define
class Answer:
    """Result of one statement; `columns` is empty if it returns no rows."""

    columns: tuple[str, ...] = ()
    rows: AsyncIterator[list[Row]] | None = None
    affected_rows: int = 0
    insert_id: int = 0


async def _single_batch(rows: list[Row]) -> AsyncIterator[list[Row]]:
    yield rows


class MemberSession:
    """Transaction state of one connection."""

    def __init__(self, member: Member, connection_id: int) -> None:
        self.member = member
        self.connection_id = connection_id
        self.database = member.log.connect()
        self.in_transaction = False
        self.autocommit = True
        self.holds_lock = False
        self.aborted = False
        self.changes: list[str] = []
        self.temporary_tables: set[str] = set()
        self.insert_id = 0
        self.schema = ""
        self.key_tables: dict[str, bool] = {}
        """Whether a table generates keys, by name."""
        member.sessions.add(self)

    def variables(self) -> dict[str, str]:
        """Return system variables and results of functions as SQL literals."""
        quoted_schema = "'" + self.schema.replace("'", "''") + "'"
        return {
            "autocommit": str(int(self.autocommit)),
            "version": "'8.0.36'",
            "version_comment": "'member stand-in'",
            "max_allowed_packet": "67108864",
            "read_only": str(int(not self.member.state.accepts_changes)),
            "last_insert_id": str(self.insert_id),
            "connection_id": str(self.connection_id),
            "database": quoted_schema if self.schema else "NULL",
            "schema": quoted_schema if self.schema else "NULL",
        }

    async def run(self, text: str) -> Answer:
        """Run one statement.

        Raises
        ------
        MemberError
            The error that the client gets.
        """
        statement = parse_statement(text, self.variables())
        group = await self.member.run_group_statement(statement.text)
        if group is not None:
            return Answer(group.columns, _single_batch(group.rows))
        if statement.sleep_ms:
            await asyncio.sleep(statement.sleep_ms / 1000)
            await self.member.faults.pass_running()
        try:
            return await self._dispatch(statement)
        except (sqlite3.Error, sqlite3.Warning, ValueError) as error:
            raise translate_error(error) from error

    async def _dispatch(self, statement: Statement) -> Answer:
        keyword, text = statement.keyword, statement.text
        if keyword in ("BEGIN", "START"):
            self.commit()
            self.aborted = False
            self.in_transaction = True
            return Answer()
        if keyword == "COMMIT":
            self.commit()
            return Answer()
        if keyword == "ROLLBACK" and not re.search(r"\bTO\b", text, re.I):
            self.rollback()
            self.aborted = False
            return Answer()
        if self.aborted:
            self.member.require_writable()
            raise MemberError(1213, "40001", "transaction was rolled back")
        if keyword in ("ROLLBACK", "SAVEPOINT", "RELEASE"):
            if self.member.state.accepts_changes:
                await self._lock()
            self.database.execute(statement.sql)
            return Answer()
        if keyword == "SET":
            return self._set(text)
        if keyword in ("USE", "LOCK", "UNLOCK", "DO", "ANALYZE"):
            return Answer()
        if keyword in READS:
            return await self._read(statement)
        if keyword in CHANGES:
            return await self._change(statement)
        if keyword in DEFINITIONS:
            return await self._define(statement)
        if keyword in UNSUPPORTED:
            raise MemberError(1235, "42000", f"the stand-in does not support {keyword}")
        raise MemberError(
            1064, "42000", f"You have an error in your SQL syntax: {text}"
        )

    def _set(self, text: str) -> Answer:
        match = _AUTOCOMMIT.match(text)
        if match:
            enabled = match.group(1).upper() in ("1", "ON", "TRUE")
            if enabled and not self.autocommit:
                self.commit()
            self.autocommit = enabled
        return Answer()

    async def _read(self, statement: Statement) -> Answer:
        if not self.autocommit:
            self.in_transaction = True
        if self.in_transaction:
            if statement.locks_rows and self.member.state.accepts_changes:
                await self._lock()
            elif not self.database.in_transaction:
                self.database.execute("BEGIN")
        cursor = self.database.execute(statement.sql)
        columns = tuple(column[0] for column in cursor.description or ())
        return Answer(columns, self._fetch(cursor))

    async def _fetch(self, cursor: sqlite3.Cursor) -> AsyncIterator[list[Row]]:
        try:
            while rows := cursor.fetchmany(FETCH_ROWS):
                yield rows
        finally:
            cursor.close()

    async def _lock(self) -> None:
        """Take the write lock; a change sees the newest data, as in InnoDB."""
        if self.holds_lock:
            return
        if self.database.in_transaction:
            self.database.execute("COMMIT")
        await self.member.lock_writes()
        try:
            await self.member.faults.pass_running()
            self.member.require_writable()
            self.database.execute("BEGIN IMMEDIATE")
        except BaseException:
            self.member.log.write_lock.release()
            raise
        self.holds_lock = True

    async def _change(self, statement: Statement) -> Answer:
        temporary = statement.target in self.temporary_tables
        if temporary:
            return self._execute(statement)
        self.member.require_writable()
        if not self.autocommit:
            self.in_transaction = True
        await self._lock()
        try:
            answer = self._execute(statement)
        except BaseException:
            if not self.in_transaction:
                self.rollback()
            raise
        if answer.affected_rows:
            self.changes.append(statement.sql)
        if not self.in_transaction:
            self.commit()
        return answer

    def _execute(self, statement: Statement) -> Answer:
        cursor = self.database.execute(statement.sql)
        affected = max(cursor.rowcount, 0)
        insert_id = 0
        inserts = statement.keyword in ("INSERT", "REPLACE") and affected > 0
        if inserts and self._generates_keys(statement.target):
            # MySQL reports the first key of a statement, sqlite the last one.
            insert_id = max((cursor.lastrowid or 0) - affected + 1, 0)
            self.insert_id = insert_id or self.insert_id
        cursor.close()
        return Answer(affected_rows=affected, insert_id=insert_id)

    def _generates_keys(self, table: str) -> bool:
        if table not in self.key_tables:
            row = self.database.execute(
                "SELECT sql FROM sqlite_master WHERE lower(name) = ?", (table,)
            ).fetchone()
            self.key_tables[table] = row is not None and "AUTOINCREMENT" in row[0]
        return self.key_tables[table]

    async def _define(self, statement: Statement) -> Answer:
        temporary = _TEMPORARY.match(statement.text)
        if temporary or statement.target in self.temporary_tables:
            self.database.execute(
                re.sub(r"DROP\s+TEMPORARY", "DROP", statement.sql, flags=re.I)
            )
            if temporary:
                self.temporary_tables.add(temporary.group(1).lower())
            return Answer()
        # Definitions commit the open transaction, as in MySQL.
        self.commit()
        self.key_tables.clear()
        await self._lock()
        try:
            affected = self._execute(statement).affected_rows
        except BaseException:
            self.rollback()
            raise
        self.changes.append(statement.sql)
        self.commit()
        return Answer(affected_rows=affected if statement.keyword != "CREATE" else 0)

    def commit(self) -> None:
        """Commit the open transaction, if there is one."""
        if self.aborted:
            self.aborted = False
            self.member.require_writable()
            raise MemberError(1213, "40001", "transaction was rolled back")
        if self.changes:
            try:
                self.member.require_writable()
            except MemberError:
                self.rollback()
                raise
            member = self.member
            member.faults.before_commit()
            member.log.append(self.database, member.state.term, self.changes)
            member.faults.after_commit()
        elif self.database.in_transaction:
            self.database.execute("COMMIT")
        self._end()

    def rollback(self) -> None:
        """Undo the open transaction, if there is one."""
        if self.database.in_transaction:
            self.database.execute("ROLLBACK")
        self._end()

    def _end(self) -> None:
        self.in_transaction = False
        self.changes = []
        if self.holds_lock:
            self.holds_lock = False
            self.member.log.write_lock.release()

    def abort(self) -> None:
        """Roll back a transaction that holds the write lock."""
        if self.holds_lock:
            was_open = self.in_transaction
            self.rollback()
            self.aborted = was_open

    def close(self) -> None:
        """End the session and undo its open transaction."""
        self.member.sessions.discard(self)
        self.rollback()
        self.database.close()


def status_flags(session: MemberSession) -> int:
    """Return the flags of the MySQL protocol for the transaction state."""
    return (1 if session.in_transaction else 0) | (2 if session.autocommit else 0)
