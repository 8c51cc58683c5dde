"""The request journal: a row for each request that must run at most once.

The row is committed in the same transaction as the change. A repeated request finds it
through any proxy, and after a promotion on the new primary.
"""

from __future__ import annotations

import hashlib
import re
from typing import Final

import attrs

from radishtrack.backend.connection import (
    MemberConnection,
    MemberError,
    StatementResult,
)
from radishtrack.backend.member_sql import DUPLICATE_KEY_ERROR, NO_SUCH_TABLE_ERROR
from radishtrack.errors import ErrorCode, Failure, Outcome, RequestError

JOURNAL_STEP: Final = "journal"
JOURNAL_TABLE: Final = "radishtrack_journal"
CREATE_JOURNAL_SQL: Final = (
    f"CREATE TABLE IF NOT EXISTS {JOURNAL_TABLE} ("
    "organisation VARCHAR(128) NOT NULL, request_id VARCHAR(64) NOT NULL, "
    "digest CHAR(64) NOT NULL, affected_rows BIGINT NOT NULL, "
    "insert_id BIGINT NOT NULL, PRIMARY KEY (organisation, request_id))"
)
_SAFE_TEXT: Final = re.compile(r"[A-Za-z0-9_.:-]{1,128}", re.ASCII)


@attrs.define(frozen=True)
class JournalEntry:
    """Key of a request in the journal, with a digest of its statement.

    Parameters
    ----------
    organisation : str
        The organisation that sent it.
    request_id : str
        The identifier that the client chose.
    digest : str
        SHA-256 of the statement, in hexadecimal digits.
    """

    organisation: str
    request_id: str
    digest: str

    @property
    def condition(self) -> str:
        """SQL condition that selects the entry's row."""
        return (
            f"organisation = '{self.organisation}' AND request_id = '{self.request_id}'"
        )


def make_journal_entry(
    organisation: str, request_id: str, statement: str
) -> JournalEntry:
    """Return the journal entry of a request.

    Raises
    ------
    ValueError
        If the organisation or the request identifier is empty, longer than 128
        characters, or contains characters that would need quoting in SQL.
    """
    for text in (organisation, request_id):
        if not _SAFE_TEXT.fullmatch(text):
            raise ValueError(f"{text!r} is not a valid name in the journal")
    digest = hashlib.sha256(statement.encode()).hexdigest()
    return JournalEntry(organisation, request_id, digest)


@attrs.define(frozen=True)
class JournaledResult:
    """Result of a journaled request and whether it is that of an earlier run."""

    result: StatementResult
    is_repeat: bool


async def run_journaled(
    connection: MemberConnection, entry: JournalEntry, statement: str
) -> JournaledResult:
    """Run a statement and insert its journal row in one transaction.

    Returns
    -------
    JournaledResult
        Of this run, or of the earlier run with the same identifier.

    Raises
    ------
    RequestError
        If the identifier was used for another statement.
    MemberError
        The member's error; the transaction was rolled back.
    ResponseLost
        If the outcome is unknown; calling again with the same entry resolves it.
    """
    await connection.run("BEGIN")
    try:
        earlier_result = await _insert_entry(connection, entry)
        if earlier_result is not None:
            await connection.run("ROLLBACK")
            return JournaledResult(earlier_result, True)
        result = await connection.run(statement)
        await connection.run(
            f"UPDATE {JOURNAL_TABLE} SET affected_rows = {result.affected_rows:d}, "
            f"insert_id = {result.insert_id:d} WHERE {entry.condition}"
        )
        await connection.run("COMMIT")
    except (MemberError, RequestError):
        await connection.run("ROLLBACK")
        raise
    return JournaledResult(result, False)


async def _insert_entry(
    connection: MemberConnection, entry: JournalEntry
) -> StatementResult | None:
    try:
        await connection.run(
            f"INSERT INTO {JOURNAL_TABLE} "
            "(organisation, request_id, digest, affected_rows, insert_id) VALUES "
            f"('{entry.organisation}', '{entry.request_id}', '{entry.digest}', 0, 0)"
        )
    except MemberError as error:
        if error.code == NO_SUCH_TABLE_ERROR:
            await connection.run("ROLLBACK")
            await connection.run(CREATE_JOURNAL_SQL)
            await connection.run("BEGIN")
            return await _insert_entry(connection, entry)
        if error.code != DUPLICATE_KEY_ERROR:
            raise
        return await _read_entry(connection, entry)
    return None


async def _read_entry(
    connection: MemberConnection, entry: JournalEntry
) -> StatementResult:
    rows = await connection.fetch(
        f"SELECT digest, affected_rows, insert_id FROM {JOURNAL_TABLE} "
        f"WHERE {entry.condition}"
    )
    digest, affected_rows, insert_id = rows[0]
    if digest != entry.digest:
        raise RequestError(
            Failure(
                JOURNAL_STEP,
                connection.member,
                Outcome.NOT_RUN,
                ErrorCode.INVALID_OPTION,
                f"request_id {entry.request_id} was used for another statement",
            )
        )
    return StatementResult(int(affected_rows), int(insert_id))
