"""A plain pass-through server, the baseline for the cost of the proxy.

It uses the same libraries as the proxy on both sides but makes no decisions. Each
client connection has its own connection to the target; any client login is accepted.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import logging
import signal
from collections.abc import Sequence
from typing import Any, Final

import aiomysql
import attrs
import pymysql
import uvloop
from mysql_mimic import packets
from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User
from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import MysqlStream
from mysql_mimic.types import ColumnType, ServerStatus
from mysql_mimic.variables import GlobalVariables, SessionVariables

HOST: Final = "127.0.0.1"
CR_SERVER_LOST: Final = 2013


@attrs.define(frozen=True)
class Target:
    """The server to which all statements are forwarded."""

    host: str
    port: int
    user: str
    password: str


class _AnyPassword(NativePasswordAuthPlugin):  # type: ignore[misc]
    """Runs the real check, for its cost, and accepts any password."""

    def password_matches(self, **kwargs: Any) -> bool:
        super().password_matches(**kwargs)
        return True


class _AnyUser(IdentityProvider):  # type: ignore[misc]
    """Accepts any user."""

    def get_plugins(self) -> Sequence[Any]:
        return [_AnyPassword()]

    async def get_user(self, username: str) -> Any:
        return User(name=username, auth_plugin=_AnyPassword.name)


class PassthroughSession(BaseSession):  # type: ignore[misc]
    """Forwards each statement over the client's own connection to the target."""

    def __init__(self, target: Target) -> None:
        self.target = target
        self.variables = SessionVariables(GlobalVariables())
        self.username: str | None = None
        self.database: str | None = None
        self.upstream: Any = None

    async def init(self, connection: Any) -> None:
        """Connect to the target."""
        self.upstream = aiomysql.Connection(
            host=self.target.host,
            port=self.target.port,
            user=self.target.user,
            password=self.target.password,
            db=self.database or None,
            charset="utf8mb4",
            use_unicode=False,
            autocommit=None,
            conv={},
        )
        await self.upstream._connect()

    async def close(self) -> None:
        """Close the connection to the target."""
        if self.upstream is not None:
            self.upstream.close()

    async def use(self, database: str) -> None:
        """Change the default database."""
        await self.upstream.select_db(database)

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        """Run one statement; return None if it has no result set."""
        await self.upstream.query(sql)
        result = self.upstream._result
        if result.description is None:
            return None
        columns = [_make_column(field) for field in result.description]
        return ResultSet(rows=result.rows, columns=columns)


def _make_column(field: Sequence[Any]) -> Any:
    # Values are forwarded as the bytes that the target sent, without re-encoding.
    return ResultColumn(str(field[0]), ColumnType(field[1]), text_encoder=_pass_bytes)


def _pass_bytes(column: Any, value: bytes) -> bytes:
    return value


class PassthroughConnection(Connection):  # type: ignore[misc]
    """Adds what the library lacks: affected rows and the errors of the target."""

    async def handle_query(self, data: bytes) -> None:
        """Run one statement and send the response."""
        query = packets.parse_com_query(
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
        )
        try:
            result = await self.session.handle_query(query.sql, query.query_attrs)
        except (pymysql.err.MySQLError, OSError) as error:
            await self.stream.write(_make_error_packet(error))
            return
        upstream = self.session.upstream
        self.status_flags = ServerStatus(upstream.server_status)
        if result is not None:
            await self.write_text_resultset(result)
            return
        await self.stream.write(
            self.ok(
                affected_rows=upstream.affected_rows(),
                last_insert_id=upstream.insert_id() or 0,
            )
        )


def _make_error_packet(error: BaseException) -> bytes:
    code = error.args[0] if error.args and type(error.args[0]) is int else 0
    message = str(error.args[1] if len(error.args) > 1 else error)
    number = (code or CR_SERVER_LOST).to_bytes(2, "little")
    return b"\xff" + number + b"#HY000" + message.encode()


async def start_passthrough(target: Target, port: int = 0) -> asyncio.Server:
    """Listen on a loopback port.

    Parameters
    ----------
    target : Target
        The server to which all statements are forwarded.
    port : int
        TCP port; 0 chooses a free one.

    Returns
    -------
    asyncio.Server
        The listening server.
    """
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = PassthroughConnection(
            stream=MysqlStream(reader, writer),
            session=PassthroughSession(target),
            control=LocalControl(),
            identity_provider=_AnyUser(),
        )
        ended = (ConnectionError, EOFError, pymysql.err.MySQLError)
        with contextlib.suppress(*ended, asyncio.CancelledError):
            await connection.start()
        writer.close()

    return await asyncio.start_server(serve, HOST, port)


async def _serve(options: argparse.Namespace) -> None:
    host, _, port = options.target.rpartition(":")
    target = Target(host, int(port), options.user, options.password)
    server = await start_passthrough(target, options.listen)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    print(f"passthrough port={server.sockets[0].getsockname()[1]}", flush=True)
    await stopped.wait()
    server.close()


def run(arguments: Sequence[str] | None = None) -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="radishtrack.bench.passthrough")
    parser.add_argument("--listen", type=int, default=0, help="port; 0 for a free one")
    parser.add_argument("--target", required=True, help="HOST:PORT")
    parser.add_argument("--user", default="radishtrack")
    parser.add_argument("--password", default="")
    uvloop.run(_serve(parser.parse_args(arguments)))


if __name__ == "__main__":
    run()
