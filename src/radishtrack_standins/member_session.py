"""Runs the statements of one connection on sqlite."""

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

FETCH_BATCH_ROWS: Final = 200

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
class StatementResult:
    """Result of one statement; `rows` is None if it returns no result set."""

    columns: tuple[str, ...] = ()
    rows: AsyncIterator[list[Row]] | None = None
    affected_rows: int = 0
    insert_id: int = 0


async def _single_batch(rows: list[Row]) -> AsyncIterator[list[Row]]:
    yield rows


class MemberSession:
    """Session of one connection: its transaction, variables and temporary tables."""

    def __init__(self, member: Member, connection_id: int) -> None:
        self.member = member
        self.connection_id = connection_id
        self.connection = member.log.connect()
        self.in_transaction = False
        self.autocommit = True
        self.has_write_lock = False
        self.is_aborted = False
        self.changes: list[str] = []
        self.temporary_tables: set[str] = set()
        self.insert_id = 0
        self.schema = ""
        self.generates_keys: dict[str, bool] = {}
        """Whether a table generates its keys, by table name."""
        member.sessions.add(self)

    def variables(self) -> dict[str, str]:
        """Return values of system variables and session functions as SQL literals."""
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

    async def run(self, text: str) -> StatementResult:
        """Run one statement.

        Raises
        ------
        MemberError
            The error to send to the client.
        """
        statement = parse_statement(text, self.variables())
        group = await self.member.run_group_statement(statement.text)
        if group is not None:
            return StatementResult(group.columns, _single_batch(group.rows))
        if statement.sleep_ms:
            await asyncio.sleep(statement.sleep_ms / 1000)
            await self.member.faults.wait_while_frozen()
        try:
            return await self._dispatch(statement)
        except (sqlite3.Error, sqlite3.Warning, ValueError) as error:
            raise translate_error(error) from error

    async def _dispatch(self, statement: Statement) -> StatementResult:
        keyword, text = statement.keyword, statement.text
        if keyword in ("BEGIN", "START"):
            self.commit()
            self.is_aborted = False
            self.in_transaction = True
            return StatementResult()
        if keyword == "COMMIT":
            self.commit()
            return StatementResult()
        if keyword == "ROLLBACK" and not re.search(r"\bTO\b", text, re.I):
            self.rollback()
            self.is_aborted = False
            return StatementResult()
        if self.is_aborted:
            self.member.require_writable()
            raise MemberError(1213, "40001", "transaction was rolled back")
        if keyword in ("ROLLBACK", "SAVEPOINT", "RELEASE"):
            if self.member.state.accepts_changes:
                await self._acquire_write_lock()
            self.connection.execute(statement.sql)
            return StatementResult()
        if keyword == "SET":
            return self._run_set(text)
        if keyword in ("USE", "LOCK", "UNLOCK", "DO", "ANALYZE"):
            return StatementResult()
        if keyword in READS:
            return await self._run_read(statement)
        if keyword in CHANGES:
            return await self._run_change(statement)
        if keyword in DEFINITIONS:
            return await self._run_definition(statement)
        if keyword in UNSUPPORTED:
            raise MemberError(1235, "42000", f"the stand-in does not support {keyword}")
        raise MemberError(
            1064, "42000", f"You have an error in your SQL syntax: {text}"
        )

    def _run_set(self, text: str) -> StatementResult:
        match = _AUTOCOMMIT.match(text)
        if match:
            enabled = match.group(1).upper() in ("1", "ON", "TRUE")
            if enabled and not self.autocommit:
                self.commit()
            self.autocommit = enabled
        return StatementResult()

    async def _run_read(self, statement: Statement) -> StatementResult:
        if not self.autocommit:
            self.in_transaction = True
        if self.in_transaction:
            if statement.locks_rows and self.member.state.accepts_changes:
                await self._acquire_write_lock()
            elif not self.connection.in_transaction:
                self.connection.execute("BEGIN")
        cursor = self.connection.execute(statement.sql)
        columns = tuple(column[0] for column in cursor.description or ())
        return StatementResult(columns, self._fetch(cursor))

    async def _fetch(self, cursor: sqlite3.Cursor) -> AsyncIterator[list[Row]]:
        try:
            while rows := cursor.fetchmany(FETCH_BATCH_ROWS):
                yield rows
        finally:
            cursor.close()

    async def _acquire_write_lock(self) -> None:
        """Acquire the write lock.

        Restarts the sqlite transaction, so that a change sees the latest data, as in
        InnoDB.
        """
        if self.has_write_lock:
            return
        if self.connection.in_transaction:
            self.connection.execute("COMMIT")
        await self.member.lock_writes()
        try:
            await self.member.faults.wait_while_frozen()
            self.member.require_writable()
            self.connection.execute("BEGIN IMMEDIATE")
        except BaseException:
            self.member.log.write_lock.release()
            raise
        self.has_write_lock = True

    async def _run_change(self, statement: Statement) -> StatementResult:
        is_temporary = statement.target in self.temporary_tables
        if is_temporary:
            return self._execute(statement)
        self.member.require_writable()
        if not self.autocommit:
            self.in_transaction = True
        await self._acquire_write_lock()
        try:
            result = self._execute(statement)
        except BaseException:
            if not self.in_transaction:
                self.rollback()
            raise
        if result.affected_rows:
            self.changes.append(statement.sql)
        if not self.in_transaction:
            self.commit()
        return result

    def _execute(self, statement: Statement) -> StatementResult:
        cursor = self.connection.execute(statement.sql)
        affected = max(cursor.rowcount, 0)
        insert_id = 0
        is_insert = statement.keyword in ("INSERT", "REPLACE") and affected > 0
        if is_insert and self._generates_keys(statement.target):
            # MySQL reports a statement's first generated key, sqlite the last one.
            insert_id = max((cursor.lastrowid or 0) - affected + 1, 0)
            self.insert_id = insert_id or self.insert_id
        cursor.close()
        return StatementResult(affected_rows=affected, insert_id=insert_id)

    def _generates_keys(self, table: str) -> bool:
        if table not in self.generates_keys:
            row = self.connection.execute(
                "SELECT sql FROM sqlite_master WHERE lower(name) = ?", (table,)
            ).fetchone()
            self.generates_keys[table] = row is not None and "AUTOINCREMENT" in row[0]
        return self.generates_keys[table]

    async def _run_definition(self, statement: Statement) -> StatementResult:
        created = _TEMPORARY.match(statement.text)
        if created or statement.target in self.temporary_tables:
            self.connection.execute(
                re.sub(r"DROP\s+TEMPORARY", "DROP", statement.sql, flags=re.I)
            )
            if created:
                self.temporary_tables.add(created.group(1).lower())
            return StatementResult()
        # As in MySQL, DDL commits the open transaction.
        self.commit()
        self.generates_keys.clear()
        await self._acquire_write_lock()
        try:
            affected = self._execute(statement).affected_rows
        except BaseException:
            self.rollback()
            raise
        self.changes.append(statement.sql)
        self.commit()
        return StatementResult(
            affected_rows=affected if statement.keyword != "CREATE" else 0
        )

    def commit(self) -> None:
        """Commit the open transaction, if there is one."""
        if self.is_aborted:
            self.is_aborted = False
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
            member.log.append(self.connection, member.state.term, self.changes)
            member.faults.after_commit()
        elif self.connection.in_transaction:
            self.connection.execute("COMMIT")
        self._reset_transaction()

    def rollback(self) -> None:
        """Roll back the open transaction, if there is one."""
        if self.connection.in_transaction:
            self.connection.execute("ROLLBACK")
        self._reset_transaction()

    def _reset_transaction(self) -> None:
        self.in_transaction = False
        self.changes = []
        if self.has_write_lock:
            self.has_write_lock = False
            self.member.log.write_lock.release()

    def abort(self) -> None:
        """Roll back the open transaction if it holds the write lock."""
        if self.has_write_lock:
            was_open = self.in_transaction
            self.rollback()
            self.is_aborted = was_open

    def close(self) -> None:
        """End the session and roll back its open transaction."""
        self.member.sessions.discard(self)
        self.rollback()
        self.connection.close()


def status_flags(session: MemberSession) -> int:
    """Return the transaction state as status flags of the MySQL protocol."""
    return (1 if session.in_transaction else 0) | (2 if session.autocommit else 0)
