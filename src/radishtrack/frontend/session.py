"""Client sessions: execute statements locally or forward them to the entry."""

from __future__ import annotations

import re
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

from mysql_mimic.errors import MysqlError
from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.session import BaseSession
from mysql_mimic.types import ColumnType, ServerStatus
from mysql_mimic.variables import GlobalVariables, SessionVariables

from radishtrack.errors import ErrorCode, RequestError
from radishtrack.frontend.columns import make_column
from radishtrack.frontend.connection import ClientConnection, OkFields
from radishtrack.peer.messages import Rows
from radishtrack.proxy.client_state import (
    COMMIT_REQUEST,
    ClientState,
    PreparedRequest,
    Reply,
)
from radishtrack.proxy.entry import Entry
from radishtrack.routing.statement import Kind, Local
from radishtrack.session.token import encode_token

SESSION_ATTRIBUTE: Final = "radishtrack_session"

_GLOBAL_VARIABLES: Final = GlobalVariables()
_VARIABLE: Final = re.compile(
    r"@@(?:(?:session|global|local)\.)?(?P<name>\w+)"
    r"(?:\s+as\s+`?(?P<alias>\w+)`?)?",
    re.IGNORECASE,
)
_USE: Final = re.compile(r"\s*use\s+`?(?P<name>[^`\s;]+)`?\s*;?\s*", re.IGNORECASE)
_LIKE: Final = re.compile(r"like\s+'(?P<pattern>[^']*)'", re.IGNORECASE)


class ClientSession(BaseSession):
    """Adapter between `mysql-mimic` and the entry."""

    def __init__(self, entry: Entry, number: int) -> None:
        self.entry = entry
        self.state = ClientState(number)
        self.variables = self._make_variables()
        self.username: str | None = None
        self.connection: ClientConnection | None = None

    @property
    def database(self) -> str | None:
        """The selected database."""
        return self.state.database or None

    @database.setter
    def database(self, name: str | None) -> None:
        self.state.database = name or ""

    async def init(self, connection: ClientConnection) -> None:
        """Start the session of a client that has logged in with a valid key.

        Raises
        ------
        PermissionError
            If the login failed.
        """
        if self.username is None:
            raise PermissionError("login failed")
        self.connection = connection
        self._apply_login()
        token = connection.client_connect_attrs.get(SESSION_ATTRIBUTE)
        if token:
            self.entry.apply_token(self.state, token)
        self._update_status()

    async def close(self) -> None:
        """Roll back the client's open transaction."""
        await self.entry.end_session(self.state)

    async def reset(self) -> None:
        """Restore the state after login, except for the session's positions."""
        await self.entry.end_session(self.state)
        if self.username is not None:
            self._apply_login()
        self.state.autocommit = True
        self.state.last_insert_id = 0
        self.variables = self._make_variables()
        self._update_status()

    async def use(self, database: str) -> None:
        """Select a database."""
        self.state.database = database

    async def handle_query(self, sql: str, attributes: dict[str, str]) -> Any:
        """Execute one statement without the parser and evaluator of `mysql-mimic`."""
        if self.username is None or self.connection is None:
            raise MysqlError("login failed", ErrorCode.ACCESS_DENIED)
        try:
            self.entry.check_client(self.state)
            prepared = self.entry.read_statement(self.state, sql)
            if prepared.statement.kind is Kind.SHOW_SESSION:
                return self._show_session()
            if prepared.statement.kind is Kind.LOCAL:
                return await self._execute_locally(prepared)
            reply = await self.entry.execute(self.state, prepared)
            return await self._make_result(reply)
        except RequestError as error:
            self.entry.count_not_run(self.state, error.failure)
            raise _make_error(error) from error
        finally:
            self._update_status()

    def _make_variables(self) -> SessionVariables:
        variables = SessionVariables(_GLOBAL_VARIABLES)
        variables.set("max_allowed_packet", self.entry.max_statement_bytes)
        variables.set("version_comment", "radishtrack", force=True)
        return variables

    def _apply_login(self) -> None:
        organisation, _, key_id = (self.username or "").partition("/")
        if organisation != self.state.organisation:
            self.state.positions.clear()
        self.state.organisation, self.state.key_id = organisation, key_id

    def _update_status(self) -> None:
        if self.connection is None:
            return
        flags = ServerStatus(0)
        if self.state.autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.state.in_transaction:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        self.connection.status_flags = flags

    async def _make_result(self, reply: Reply) -> ResultSet | None:
        if reply.head is not None and reply.rows is not None:
            columns = [
                make_column(name, type_code)
                for name, type_code in zip(
                    reply.head.names, reply.head.types, strict=True
                )
            ]
            first = await anext(reply.rows, None)
            if first is None:
                return ResultSet((), columns)
            second = await anext(reply.rows, None)
            if second is None:
                # A result of one chunk is written directly, without the generators that
                # stream longer results.
                return ResultSet(first.rows, columns)
            rows = _iterate_rows((first, second), reply.rows, self._update_status)
            return ResultSet(rows, columns)
        if reply.done is not None and self.connection is not None:
            self.connection.next_ok = OkFields(
                reply.done.affected_rows, reply.done.insert_id
            )
        return None

    def _show_session(self) -> ResultSet:
        token = encode_token(
            self.state.positions, self.state.organisation, self.entry.secret
        )
        return _make_text_result(("token",), ((token,),))

    async def _execute_locally(self, prepared: PreparedRequest) -> ResultSet | None:
        match prepared.statement.local:
            case Local.SELECT_VARIABLES:
                return self._select_variables(prepared.text)
            case Local.SELECT_LAST_INSERT_ID:
                identifier = str(self.state.last_insert_id)
                column = make_column("LAST_INSERT_ID()", ColumnType.LONGLONG)
                return ResultSet([(identifier,)], [column])
            case Local.AUTOCOMMIT_ON:
                await self._set_autocommit(True)
            case Local.AUTOCOMMIT_OFF:
                await self._set_autocommit(False)
            case Local.SHOW_VARIABLES:
                return self._show_variables(prepared.text)
            case Local.SHOW_WARNINGS:
                return _make_text_result(("Level", "Code", "Message"), ())
            case Local.USE:
                use = _USE.fullmatch(prepared.text)
                if use is not None:
                    self.state.database = use["name"]
        return None

    async def _set_autocommit(self, enabled: bool) -> None:
        if enabled and self.state.in_transaction:
            # MySQL commits the open transaction when autocommit is switched on.
            await self.entry.execute(self.state, COMMIT_REQUEST)
        self.state.autocommit = enabled

    def _select_variables(self, sql: str) -> ResultSet:
        matches = tuple(_VARIABLE.finditer(sql))
        names = tuple(match["alias"] or match[0] for match in matches)
        values = tuple(self._get_variable(match["name"]) for match in matches)
        return _make_text_result(names, (values,))

    def _get_variable(self, name: str) -> str | None:
        if name.lower() == "autocommit":
            return "1" if self.state.autocommit else "0"
        value = self.variables.get(name)
        if isinstance(value, bool):
            return "1" if value else "0"
        return None if value is None else str(value)

    def _show_variables(self, sql: str) -> ResultSet:
        like = _LIKE.search(sql)
        pattern = re.escape(like["pattern"] if like else "%")
        matcher = re.compile(
            pattern.replace("%", ".*").replace(r"\_", ".").replace("_", "."),
            re.IGNORECASE,
        )
        rows = tuple(
            (name, self._get_variable(name))
            for name in sorted(self.variables)
            if matcher.fullmatch(name)
        )
        return _make_text_result(("Variable_name", "Value"), rows)


async def _iterate_rows(
    first_chunks: tuple[Rows, ...],
    chunks: AsyncIterator[Rows],
    on_end: Callable[[], None],
) -> AsyncIterator[tuple[str | bytes | None, ...]]:
    try:
        for chunk in first_chunks:
            for row in chunk.rows:
                yield row
        async for chunk in chunks:
            for row in chunk.rows:
                yield row
    except RequestError as error:
        raise _make_error(error) from error
    finally:
        on_end()


def _make_text_result(
    names: tuple[str, ...], rows: tuple[tuple[str | None, ...], ...]
) -> ResultSet:
    columns = [ResultColumn(name=name, type=ColumnType.VARCHAR) for name in names]
    return ResultSet(list(rows), columns)


def _make_error(error: RequestError) -> MysqlError:
    return MysqlError(str(error.failure), error.failure.code)
