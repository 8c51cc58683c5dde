"""Administrative connection to one member, for status polls and group statements."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Final

import aiomysql
import attrs
import pymysql
from pymysql.constants import COMMAND
from pymysql.protocol import EOFPacketWrapper

from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack.backend.member_sql import STATUS_SQL, parse_status
from radishtrack.group.status import MemberStatus

ADMIN_USER: Final = "radishtrack_admin"

HEADER_BYTES: Final = 4
"""A packet's length in three bytes and its sequence number."""

MEMBER_ERRORS: Final = (OSError, EOFError, ValueError, pymysql.err.Error)
"""Exceptions of a connection to a member; `TimeoutError` is an `OSError`."""


@attrs.define(frozen=True, eq=False)
class AdminConnection:
    """An open connection; the caller closes it after any error.

    Parameters
    ----------
    run : callable
        Runs a statement that returns a status row.
    close : callable
        Closes the socket immediately.
    """

    run: Callable[[str], Awaitable[MemberStatus]]
    close: Callable[[], None]

    async def read_status(self) -> MemberStatus:
        """Return the member's status."""
        return await self.run(STATUS_SQL)


async def read_row(connection: Any, sql: str) -> tuple[str | None, ...]:
    """Run a query that returns one row of text, without parsing column definitions.

    Parsing those of a status row costs more than the rest of a poll. The caller closes
    the connection after any error.

    Parameters
    ----------
    connection : aiomysql.Connection
        A connection without a running statement.
    sql : str
        The query.

    Returns
    -------
    tuple of str or None
        The values of the row.

    Raises
    ------
    pymysql.err.InternalError
        If the response is not one result of one row.
    """
    await connection._execute_command(COMMAND.COM_QUERY, sql)
    packet = await connection._read_packet()
    if packet.is_ok_packet():
        raise pymysql.err.InternalError("query returned no result set")
    column_count = packet.read_length_encoded_integer()
    for _ in range(column_count):
        await _skip_packet(connection)
    if not (await connection._read_packet()).is_eof_packet():
        raise pymysql.err.InternalError("expected EOF after the column definitions")
    row = await connection._read_packet()
    if row.is_eof_packet():
        raise pymysql.err.InternalError("query returned no row")
    values = tuple(
        None if value is None else value.decode()
        for value in (row.read_length_coded_string() for _ in range(column_count))
    )
    end = await connection._read_packet()
    if not end.is_eof_packet() or EOFPacketWrapper(end).has_next:
        raise pymysql.err.InternalError("query returned more than one row")
    return values


async def _skip_packet(connection: Any) -> None:
    header = await connection._read_bytes(HEADER_BYTES)
    if header[3] != connection._next_seq_id:
        raise pymysql.err.InternalError("wrong packet sequence number")
    connection._next_seq_id = (header[3] + 1) % 256
    await connection._read_bytes(int.from_bytes(header[:3], "little"))


Connect = Callable[[MemberEndpoint], Awaitable[AdminConnection]]


def make_connect(password: str, user: str = ADMIN_USER) -> Connect:
    """Return a function that opens administrative connections.

    Parameters
    ----------
    password : str
        Password of `user` on every member.
    user : str, optional
        A user with permission to run the group statements.

    Returns
    -------
    callable
        Takes a `MemberEndpoint`; has no timeout of its own.
    """

    async def connect(endpoint: MemberEndpoint) -> AdminConnection:
        connection: Any = await aiomysql.connect(
            host=endpoint.host,
            port=endpoint.admin_port,
            user=user,
            password=password,
            # Saves the round trip that sets the mode.
            autocommit=None,
        )

        async def run(sql: str) -> MemberStatus:
            if sql is STATUS_SQL:
                return parse_status(await read_row(connection, sql))
            async with connection.cursor() as cursor:
                await cursor.execute(sql)
                row = await cursor.fetchone()
            if row is None:
                raise ValueError(f"{endpoint.member} returned no status row")
            return parse_status(row)

        return AdminConnection(run, connection.close)

    return connect
