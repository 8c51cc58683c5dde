"""MySQL protocol of a member, based on mysql-mimic."""

from __future__ import annotations

import asyncio
import logging
from typing import Any, Final

import attrs
from mysql_mimic import packets
from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.results import ResultColumn
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import ColumnType, ServerStatus
from mysql_mimic.variables import GlobalVariables, SessionVariables

from radishtrack_standins.member_core import Member, Row
from radishtrack_standins.member_dialect import MemberError
from radishtrack_standins.member_faults import ReceivedStatement
from radishtrack_standins.member_replica import REPLICATION_USER
from radishtrack_standins.member_session import (
    MemberSession,
    StatementResult,
    status_flags,
)

CLIENT_USERS: Final = ("radishtrack", "radishtrack_admin")
MAIN: Final = "main"
ADMIN: Final = "admin"

_CONNECTION_ERRORS: Final = (
    ConnectionClosed,
    ConnectionError,
    asyncio.IncompleteReadError,
)


class LoginRefusedError(Exception):
    """The login failed, and the client has received the error."""


class MemberUsers(IdentityProvider):  # type: ignore[misc]
    """Users of a member, all with the same password."""

    def __init__(self, password: str) -> None:
        self.password_hash = (
            NativePasswordAuthPlugin.create_auth_string(password) if password else None
        )

    async def get_user(self, username: str) -> Any:
        """Return the user; an unknown one gets a hash that matches no password."""
        is_known = username in (*CLIENT_USERS, REPLICATION_USER)
        return User(
            name=username,
            auth_string=self.password_hash if is_known else "00" * 20,
            auth_plugin=NativePasswordAuthPlugin.name,
        )


class _WireSession(BaseSession):  # type: ignore[misc]
    """Session state that mysql-mimic requires; runs no statements."""

    def __init__(self) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username: str | None = None
        self.database: str | None = None

    async def use(self, database: str) -> None:
        self.database = database


@attrs.define
class ServerSettings:
    """Settings of one port.

    Parameters
    ----------
    port_kind : str
        `MAIN` or `ADMIN`; only connections to the main port are counted.
    max_connections : int
        Limit of counted connections.
    connect_cost_ms : float
        Delay before the handshake, in milliseconds.
    password : str
        Password of all users.
    """

    port_kind: str
    max_connections: int
    connect_cost_ms: float
    password: str


class MemberConnection(Connection):  # type: ignore[misc]
    """One connection.

    Unlike its base class, it closes after a failed login and reports affected rows.
    """

    def __init__(self, member: Member, settings: ServerSettings, stream: Any) -> None:
        super().__init__(
            stream=stream,
            session=_WireSession(),
            control=LocalControl(),
            identity_provider=MemberUsers(settings.password),
        )
        self.connection_id = next(member.connection_numbers)
        self.member = member
        self.settings = settings
        self.user = ""
        self.member_session: MemberSession | None = None
        self.is_counted = False

    async def serve(self) -> None:
        """Serve the connection until it closes."""
        faults = self.member.faults
        try:
            await faults.wait_while_unreachable()
            await asyncio.sleep(self.settings.connect_cost_ms / 1000)
            await self.connection_phase()
            self.member_session = MemberSession(self.member, self.connection_id)
            self.member_session.schema = self.session.database or ""
            await self.command_phase()
        except LoginRefusedError:
            return
        except _CONNECTION_ERRORS:
            return
        finally:
            if self.member_session is not None:
                self.member_session.close()
            if self.is_counted:
                self.member.observed.count_closed()

    async def authenticate(self, username: str, *args: Any, **kwargs: Any) -> None:
        """Check the login; count the connection before the client can use it."""
        self.member.observed.attributes.append(dict(self.client_connect_attrs))
        self.member.observed.users.append(username)
        self.user = username
        self.session.username = None
        await self._wait_while_cut()
        if self.settings.port_kind == MAIN and username != REPLICATION_USER:
            await self._count_connection()
        await super().authenticate(username, *args, **kwargs)
        if self.session.username is None:
            raise LoginRefusedError

    async def _count_connection(self) -> None:
        observed = self.member.observed
        if self.is_counted:
            return
        if observed.connections >= self.settings.max_connections:
            observed.connections_refused += 1
            await self.stream.write(
                self.error_packet(MemberError(1040, "08004", "Too many connections"))
            )
            raise LoginRefusedError
        observed.count_opened()
        self.is_counted = True

    def error_packet(self, error: MemberError) -> bytes:
        """Return the error packet of an error."""
        head = b"\xff" + error.code.to_bytes(2, "little")
        return head + b"#" + error.state.encode() + error.message.encode()

    def error(self, **kwargs: Any) -> bytes:
        """Return the error packet for an error of mysql-mimic.

        The code of a failed login is 1045, with the SQL state 28000.
        """
        code, message = int(kwargs.get("code", 1105)), str(kwargs.get("msg", ""))
        state = "28000" if code == 1045 else "HY000"
        return self.error_packet(MemberError(code, state, message))

    async def _wait_while_cut(self) -> None:
        faults = self.member.faults
        if self.user == REPLICATION_USER:
            await faults.wait_while_replication_cut()
        else:
            await faults.wait_while_clients_cut()

    async def handle_query(self, data: bytes) -> None:
        """Run one statement and send its result."""
        assert self.member_session is not None
        await self._wait_while_cut()
        query = packets.parse_com_query(
            capabilities=self.capabilities,
            client_charset=CharacterSet.utf8mb4,
            data=data,
        )
        if self.user != REPLICATION_USER:
            self.member.observed.record_statement(
                ReceivedStatement(self.settings.port_kind, self.user, query.sql)
            )
        try:
            result = await self.member_session.run(query.sql)
            await self._prepare_response()
            await self._send_result(result)
        except MemberError as error:
            await self._prepare_response()
            await self.stream.write(self.error_packet(error))
        except ConnectionAbortedError:
            self.stream.writer.transport.abort()
            raise

    async def _prepare_response(self) -> None:
        assert self.member_session is not None
        self.status_flags = ServerStatus(status_flags(self.member_session))
        if self.user != REPLICATION_USER:
            await self.member.faults.delay()
        await self._wait_while_cut()

    async def _send_result(self, result: StatementResult) -> None:
        if result.rows is None:
            await self.stream.write(
                self.ok(
                    affected_rows=result.affected_rows,
                    last_insert_id=result.insert_id,
                )
            )
            return
        columns: list[Any] | None = None
        sent = 0
        async for batch in result.rows:
            if columns is None:
                columns = _make_columns(result.columns, batch)
                self._write_columns(columns)
            sent += len(batch)
            await self._write_batch(batch, columns, sent)
        if columns is None:
            self._write_columns(_make_columns(result.columns, []))
        await self.stream.write(self.ok_or_eof())

    async def _write_batch(
        self, batch: list[Row], columns: list[Any], sent: int
    ) -> None:
        faults = self.member.faults
        limit = faults.die_in_result
        if 0 <= limit < sent and self.settings.port_kind == MAIN:
            faults.set(die_in_result=-1)
            kept = limit - (sent - len(batch))
            self.stream.write_text_rows(batch[:kept], columns)
            await self.stream.drain()
            self.stream.writer.close()
            raise ConnectionResetError("injected fault: closed within a result")
        self.stream.write_text_rows(batch, columns)
        await self.stream.drain()

    def _write_columns(self, columns: list[Any]) -> None:
        head = [
            packets.make_column_count(
                capabilities=self.capabilities, column_count=len(columns)
            )
        ]
        head += [
            packets.make_column_definition_41(
                server_charset=CharacterSet.utf8mb4,
                name=column.name,
                column_type=column.type,
                character_set=column.character_set,
            )
            for column in columns
        ]
        if not self.deprecate_eof():
            head.append(self.eof())
        self.stream.write_many(head)

    async def handle_init_db(self, data: bytes) -> None:
        """Change the default database."""
        await self._wait_while_cut()
        await super().handle_init_db(data)
        assert self.member_session is not None
        self.member_session.schema = self.session.database or ""

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Refuse prepared statements."""
        text = data.decode(errors="replace")
        self.member.observed.record_statement(
            ReceivedStatement(self.settings.port_kind, self.user, text)
        )
        message = "the stand-in does not support prepared statements"
        await self.stream.write(self.error_packet(MemberError(1295, "HY000", message)))

    async def handle_ping(self, data: bytes) -> None:
        """Respond to a ping."""
        await self._wait_while_cut()
        await self._prepare_response()
        await super().handle_ping(data)

    async def handle_reset_connection(self, data: bytes) -> None:
        """Roll back the open transaction and drop temporary tables."""
        assert self.member_session is not None
        await self._wait_while_cut()
        self.member_session.close()
        self.member_session = MemberSession(self.member, self.connection_id)
        await self._prepare_response()
        await super().handle_reset_connection(data)


def _make_columns(names: tuple[str, ...], rows: list[Row]) -> list[Any]:
    return [
        _make_column(name, next((row[i] for row in rows if row[i] is not None), None))
        for i, name in enumerate(names)
    ]


def _make_column(name: str, value: object) -> Any:
    if isinstance(value, int):
        return ResultColumn(name, ColumnType.LONGLONG)
    if isinstance(value, float):
        return ResultColumn(name, ColumnType.DOUBLE)
    if isinstance(value, bytes):
        return ResultColumn(name, ColumnType.BLOB, CharacterSet.binary)
    return ResultColumn(name, ColumnType.VAR_STRING)


@attrs.define
class MemberPort:
    """A listening port with the tasks of its connections."""

    server: asyncio.Server
    tasks: set[asyncio.Task[None]]

    @property
    def number(self) -> int:
        """The TCP port."""
        return int(self.server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening and cancel all connections."""
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def start_port(
    member: Member, settings: ServerSettings, host: str, port: int
) -> MemberPort:
    """Listen on a port of the member."""
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)
    tasks: set[asyncio.Task[None]] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stream = MysqlStream(reader, writer)
        connection = MemberConnection(member, settings, stream)
        task = asyncio.create_task(connection.serve())
        tasks.add(task)
        try:
            await asyncio.wait({task})
        finally:
            tasks.discard(task)
            writer.close()

    return MemberPort(await asyncio.start_server(serve, host, port, backlog=512), tasks)
