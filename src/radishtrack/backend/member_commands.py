"""Fence, promote and follow commands, each on its own connection."""

from __future__ import annotations

import asyncio
from typing import Final

import attrs
import pymysql

from radishtrack.backend.admin_connection import (
    MEMBER_ERRORS,
    AdminConnection,
    Connect,
)
from radishtrack.backend.member_sql import (
    STATUS_SQL,
    fence_sql,
    follow_sql,
    promote_sql,
)
from radishtrack.group.member_steps import (
    Fence,
    Follow,
    Promote,
    ReadStatus,
    Statement,
    Steps,
    fence_steps,
    follow_steps,
    promote_steps,
)
from radishtrack.group.record import GroupRecord
from radishtrack.group.status import MemberStatus, Role

COMMAND_TIMEOUT_MS: Final = 1_000.0
"""Timeout of a command; exceeds that of a promotion step, which is retried."""

CLIENT_ERROR_CODES: Final = range(2000, 3000)
"""Error codes of MySQL client libraries for failures of the connection."""


class RefusedError(Exception):
    """Raised when a member responds to a command with an error."""


class UnreachableError(Exception):
    """Raised when a member does not respond; it may have executed the command."""


@attrs.define(frozen=True)
class MemberCommands:
    """Commands to the members of a group.

    Parameters
    ----------
    connect : callable
        Opens an administrative connection.
    """

    connect: Connect

    async def fence(self, member: str, record: GroupRecord, term: int) -> MemberStatus:
        """Fence a member for a term above the record's.

        Parameters
        ----------
        member : str
            Name of the member.
        record : GroupRecord
            The current record.
        term : int
            The term to fence for.

        Returns
        -------
        MemberStatus
            The status after fencing; its position no longer changes.

        Raises
        ------
        RefusedError, UnreachableError
            If the member did not confirm the fence.
        """
        status = await self._run(member, record, fence_steps(record.group, term))
        if status.fenced_term < term:
            raise RefusedError(f"{member} is not fenced for term {term}")
        return status

    async def follow(self, member: str, record: GroupRecord) -> MemberStatus:
        """Make a member replicate from the recorded primary.

        Raises
        ------
        RefusedError, UnreachableError
            If the member did not confirm.
        """
        return await self._run(member, record, follow_steps(record.group))

    async def promote(self, record: GroupRecord) -> MemberStatus:
        """Make the recorded primary accept writes in the recorded term.

        Raises
        ------
        RefusedError, UnreachableError
            If the member did not confirm.
        """
        group = record.group

        status = await self._run(group.primary, record, promote_steps(group))
        if status.term != group.term or status.role is not Role.PRIMARY:
            raise RefusedError(f"{group.primary} is not primary of term {group.term}")
        return status

    async def _run(
        self, member: str, record: GroupRecord, steps: Steps
    ) -> MemberStatus:
        connection: AdminConnection | None = None
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_MS / 1000):
                connection = await self.connect(record.endpoints[member])
                statement = next(steps)
                while True:
                    status = await connection.run(format_statement(statement, record))
                    try:
                        statement = steps.send(status)
                    except StopIteration as stop:
                        last: MemberStatus = stop.value
                        return last
        except MEMBER_ERRORS as error:
            if is_refusal(error):
                raise RefusedError(f"{member}: {error}") from error
            raise UnreachableError(f"{member}: {error!r}") from error
        finally:
            if connection is not None:
                connection.close()


def format_statement(statement: Statement, record: GroupRecord) -> str:
    """Return the SQL text of a statement."""
    match statement:
        case ReadStatus():
            return STATUS_SQL
        case Fence(term):
            return fence_sql(term)
        case Promote(term):
            return promote_sql(term)
        case Follow(term, primary, start_sequence):
            source = record.endpoints[primary]
            return follow_sql(term, source.host, source.port, start_sequence)


def is_refusal(error: BaseException) -> bool:
    """Return whether an error is a member's response, not a connection failure."""
    if not isinstance(error, pymysql.err.MySQLError) or not error.args:
        return False
    code = error.args[0]
    return isinstance(code, int) and code > 0 and code not in CLIENT_ERROR_CODES
