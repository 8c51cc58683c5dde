"""Fence, promote and follow, each on a connection of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import attrs
import pymysql

from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack.backend.member_connection import (
    MEMBER_ERRORS,
    Connect,
    MemberConnection,
)
from radishtrack.backend.member_sql import fence_sql, follow_sql, promote_sql
from radishtrack.group.election import discard_limit
from radishtrack.group.record import GroupRecord
from radishtrack.group.status import Group, MemberStatus, Role

COMMAND_TIMEOUT_MS: Final = 1_000.0
"""Time for one command; longer than a step of a promotion, which asks again."""

CLIENT_ERROR_CODES: Final = range(2000, 3000)
"""Codes that MySQL clients use for failures of the connection."""


class RefusedError(Exception):
    """Raised when a member answers a command with an error."""


class UnreachableError(Exception):
    """Raised when a member does not answer; it may have carried out the command."""


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
            The member.
        record : GroupRecord
            The record in force.
        term : int
            The term to fence for.

        Returns
        -------
        MemberStatus
            The status after the fence; its position no longer changes.

        Raises
        ------
        RefusedError, UnreachableError
            If the member did not confirm the fence.
        """

        async def run(connection: MemberConnection) -> MemberStatus:
            status = await connection.read_status()
            missed_term = status.term < record.group.term
            if missed_term and status.fenced_term <= record.group.term:
                await _follow(connection, status, record)
            return await connection.run(fence_sql(term))

        status = await self._run(record.endpoints[member], run)
        if status.fenced_term < term:
            raise RefusedError(f"{member} is not fenced for term {term}")
        return status

    async def follow(self, member: str, record: GroupRecord) -> MemberStatus:
        """Make a member follow the recorded primary.

        Raises
        ------
        RefusedError, UnreachableError
            If the member did not confirm.
        """

        async def run(connection: MemberConnection) -> MemberStatus:
            status = await connection.read_status()
            return await _follow(connection, status, record)

        return await self._run(record.endpoints[member], run)

    async def promote(self, record: GroupRecord) -> MemberStatus:
        """Make the recorded primary accept writes in the recorded term.

        Raises
        ------
        RefusedError, UnreachableError
            If the member did not confirm.
        """
        group = record.group

        async def run(connection: MemberConnection) -> MemberStatus:
            return await connection.run(promote_sql(group.term))

        status = await self._run(record.endpoints[group.primary], run)
        if status.term != group.term or status.role is not Role.PRIMARY:
            raise RefusedError(f"{group.primary} is not primary of term {group.term}")
        return status

    async def _run(
        self,
        endpoint: MemberEndpoint,
        run: Callable[[MemberConnection], Awaitable[MemberStatus]],
    ) -> MemberStatus:
        connection: MemberConnection | None = None
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_MS / 1000):
                connection = await self.connect(endpoint)
                return await run(connection)
        except MEMBER_ERRORS as error:
            if is_refusal(error):
                raise RefusedError(f"{endpoint.member}: {error}") from error
            raise UnreachableError(f"{endpoint.member}: {error!r}") from error
        finally:
            if connection is not None:
                connection.close()


async def _follow(
    connection: MemberConnection, status: MemberStatus, record: GroupRecord
) -> MemberStatus:
    group = record.group
    if status.term >= group.term or status.member == group.primary:
        return status
    # Fenced for this term, the member cannot join another one before the statement
    # below, which discards what this status shows to be left out.
    status = await connection.run(fence_sql(group.term))
    if status.term >= group.term:
        return status
    primary = record.endpoints[group.primary]
    return await connection.run(
        follow_sql(
            group.term, primary.host, primary.port, start_to_follow(status, group)
        )
    )


def start_to_follow(status: MemberStatus, group: Group) -> int:
    """Return the sequence beyond which a member discards when it follows.

    Without anything to discard this is the start of the term itself: repeated later,
    the statement must not cut off what the member has replicated since.
    """
    limit = discard_limit(status, group)
    if status.position.sequence > limit:
        return limit
    starts = (start.sequence for start in group.history if start.term == group.term)
    return next(starts, limit)


def is_refusal(error: BaseException) -> bool:
    """Tell whether an error is a member's answer rather than a lost connection."""
    if not isinstance(error, pymysql.err.MySQLError) or not error.args:
        return False
    code = error.args[0]
    return isinstance(code, int) and code > 0 and code not in CLIENT_ERROR_CODES
