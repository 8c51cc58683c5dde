"""Administrative connection to one member, for status polls and group statements."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Final

import aiomysql
import attrs
import pymysql

from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack.backend.member_sql import STATUS_SQL, parse_status
from radishtrack.group.status import MemberStatus

ADMIN_USER: Final = "radishtrack_admin"

MEMBER_ERRORS: Final = (OSError, EOFError, ValueError, pymysql.err.Error)
"""What a connection to a member can raise; a timeout is an `OSError`."""


@attrs.define(frozen=True, eq=False)
class MemberConnection:
    """One open connection; closed and replaced after any error.

    Parameters
    ----------
    run : callable
        Runs a statement that returns a status row.
    close : callable
        Closes the socket at once.
    """

    run: Callable[[str], Awaitable[MemberStatus]]
    close: Callable[[], None]

    async def read_status(self) -> MemberStatus:
        """Return the member's status."""
        return await self.run(STATUS_SQL)


Connect = Callable[[MemberEndpoint], Awaitable[MemberConnection]]


def make_connect(password: str, user: str = ADMIN_USER) -> Connect:
    """Return a function that opens administrative connections.

    Parameters
    ----------
    password : str
        Password of `user` on every member.
    user : str, optional
        A user with the right to run the group statements.

    Returns
    -------
    callable
        Takes a `MemberEndpoint`; the caller limits its time.
    """

    async def connect(endpoint: MemberEndpoint) -> MemberConnection:
        connection: Any = await aiomysql.connect(
            host=endpoint.host,
            port=endpoint.admin_port,
            user=user,
            password=password,
            # Saves the round trip that would set the mode explicitly.
            autocommit=None,
        )

        async def run(sql: str) -> MemberStatus:
            async with connection.cursor() as cursor:
                await cursor.execute(sql)
                row = await cursor.fetchone()
            if row is None:
                raise ValueError(f"{endpoint.member} returned no status")
            return parse_status(row)

        return MemberConnection(run, connection.close)

    return connect
