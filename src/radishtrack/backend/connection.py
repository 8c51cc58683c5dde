"""Connection to a member for client statements."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from typing import TYPE_CHECKING, Any, Final

import aiomysql
import attrs
from pymysql.constants import FIELD_TYPE
from pymysql.err import MySQLError

from radishtrack.backend.admin_connection import read_row
from radishtrack.backend.member_sql import STATUS_SQL, parse_status

if TYPE_CHECKING:
    from radishtrack.backend.endpoint import MemberEndpoint
    from radishtrack.group.status import MemberStatus

CLIENT_ERROR_CODES: Final = range(2000, 3000)
"""Error codes of the client library: no response of the member arrived."""

BINARY_FLAG: Final = 0x100
"""Flag in the type code of a column that holds bytes."""

BINARY_CHARSET: Final = 63
STRING_TYPES: Final = frozenset(
    {
        FIELD_TYPE.VARCHAR,
        FIELD_TYPE.VAR_STRING,
        FIELD_TYPE.STRING,
        FIELD_TYPE.BLOB,
        FIELD_TYPE.TINY_BLOB,
        FIELD_TYPE.MEDIUM_BLOB,
        FIELD_TYPE.LONG_BLOB,
    }
)
CONNECT_TIMEOUT_S: Final = 1.0
ROWS_PER_CHUNK: Final = 200


class ConnectFailed(Exception):
    """Raised when no connection could be made; nothing was sent."""

    def __init__(self, message: str, code: int = 0) -> None:
        super().__init__(message)
        self.code = code


class ResponseLost(Exception):
    """Raised when a statement was sent and its response did not arrive."""


@attrs.define(frozen=True)
class MemberError(Exception):
    """Raised for an error packet, which is a definite response of the member."""

    code: int
    message: str

    def __str__(self) -> str:
        return f"{self.code}: {self.message}"


@attrs.define(frozen=True)
class StatementResult:
    """Result of a statement without rows."""

    affected_rows: int
    insert_id: int


@attrs.define
class MemberConnection:
    """A connection that is closed after a lost or incomplete response.

    Parameters
    ----------
    endpoint : MemberEndpoint
        Address of the member.
    raw : aiomysql.Connection
        The library's connection.
    is_in_doubt : bool
        Whether a response is incomplete.
    is_dirty : bool
        Whether the session has state that another user must not see.
    last_used_ms : float
        Time of the last use, on the pool's clock, in milliseconds.
    """

    endpoint: MemberEndpoint
    raw: Any
    is_in_doubt: bool = False
    is_dirty: bool = False
    last_used_ms: float = 0.0

    @property
    def member(self) -> str:
        """Name of the member."""
        return self.endpoint.member

    @property
    def is_reusable(self) -> bool:
        """Whether another session may use the connection."""
        return not (
            self.is_in_doubt
            or self.is_dirty
            or self.raw.closed
            or self.raw.get_transaction_status()
            or self.raw._reader.at_eof()
        )

    async def run(self, statement: str) -> StatementResult:
        """Run a statement and discard its rows, if any.

        Raises
        ------
        ResponseLost
            If the response did not arrive.
        MemberError
            If the member responded with an error.
        """
        with self._exchange():
            async with self.raw.cursor() as cursor:
                affected = await cursor.execute(statement)
                return StatementResult(affected, cursor.lastrowid or 0)

    async def fetch(self, statement: str) -> tuple[tuple[Any, ...], ...]:
        """Run a statement and return all its rows; errors as in `run`."""
        with self._exchange():
            async with self.raw.cursor() as cursor:
                await cursor.execute(statement)
                return tuple(await cursor.fetchall())

    async def read_status(self) -> MemberStatus:
        """Return the member's status; errors as in `run`."""
        with self._exchange():
            return parse_status(await read_row(self.raw, STATUS_SQL))

    async def stream(
        self,
        statement: str,
        head_timeout_s: float | None = None,
        chunk_timeout_s: float | None = None,
    ) -> AsyncIterator[StreamPart]:
        """Run a statement and yield its head, then chunks of rows.

        A statement without result columns yields one `StatementResult`. Errors as in
        `run`, at any point.

        Parameters
        ----------
        statement : str
            The statement.
        head_timeout_s, chunk_timeout_s : float, optional
            Longest wait for the head and for each chunk, in seconds; after it the
            statement fails with `ResponseLost`.
        """
        with self._exchange():
            with self._limit_time(head_timeout_s):
                await self.raw.query(statement, unbuffered=True)
            result = self.raw._result
            if result.description is None:
                yield StatementResult(result.affected_rows, result.insert_id or 0)
                return
            yield StreamHead(
                tuple(column[0] for column in result.description),
                tuple(map(_describe_type, result.fields)),
            )
            is_complete = False
            while not is_complete:
                rows: list[tuple[str | bytes | None, ...]] = []
                with self._limit_time(chunk_timeout_s):
                    while len(rows) < ROWS_PER_CHUNK:
                        row = await result._read_rowdata_packet_unbuffered()
                        if row is None:
                            is_complete = True
                            break
                        rows.append(row)
                if rows:
                    yield StreamRows(tuple(rows))

    def close(self) -> None:
        """Close the socket immediately."""
        self.is_in_doubt = True
        self.raw.close()

    @contextlib.contextmanager
    def _limit_time(self, timeout_s: float | None) -> Iterator[None]:
        """Abort the connection if the block takes too long.

        A timer costs less than `asyncio.timeout`, and a connection with a late response
        is closed in any case.
        """
        if timeout_s is None:
            yield
            return
        timer = asyncio.get_running_loop().call_later(timeout_s, self._abort)
        try:
            yield
        finally:
            timer.cancel()

    def _abort(self) -> None:
        # Prevents reuse even if the response arrives in this iteration of the event
        # loop.
        self.is_dirty = True
        self.raw._writer.transport.abort()

    @contextlib.contextmanager
    def _exchange(self) -> Iterator[None]:
        """Mark the connection as in doubt until the response is complete.

        If the block is cancelled, the response is still to come. The connection is
        closed, since its next user would read that response as its own.
        """
        self.is_in_doubt = True
        try:
            yield
        except MySQLError as error:
            code = error.args[0] if error.args else 0
            if isinstance(code, int) and code and code not in CLIENT_ERROR_CODES:
                self.is_in_doubt = False
                raise MemberError(code, str(error.args[-1])) from error
            self.close()
            raise ResponseLost(f"{self.member}: {error}") from error
        except (OSError, EOFError, AttributeError) as error:
            # The library raises AttributeError when its socket is already closed.
            self.close()
            raise ResponseLost(f"{self.member}: {error!r}") from error
        except BaseException:
            self.close()
            raise
        self.is_in_doubt = False


def _describe_type(field: Any) -> int:
    code: int = field.type_code
    if code in STRING_TYPES and field.charsetnr == BINARY_CHARSET:
        return code | BINARY_FLAG
    return code


@attrs.define(frozen=True)
class StreamHead:
    """Names and MySQL type codes of a result's columns."""

    names: tuple[str, ...]
    types: tuple[int, ...]


@attrs.define(frozen=True)
class StreamRows:
    """A chunk of a result's rows."""

    rows: tuple[tuple[str | bytes | None, ...], ...]


StreamPart = StatementResult | StreamHead | StreamRows


async def open_connection(
    endpoint: MemberEndpoint, user: str, password: str, *, administrative: bool = False
) -> MemberConnection:
    """Connect to a member.

    Parameters
    ----------
    endpoint : MemberEndpoint
        Address of the member.
    user, password : str
        The proxy's own credentials, never a client's.
    administrative : bool
        Whether to use the administrative interface, which has no connection limit.

    Raises
    ------
    ConnectFailed
        If no connection could be made.
    """
    try:
        # The library's own timeout covers only the TCP connection, not the handshake,
        # to which a paused member never responds.
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            raw = await aiomysql.connect(
                host=endpoint.host,
                port=endpoint.admin_port if administrative else endpoint.port,
                user=user,
                password=password,
                autocommit=None,
                charset="utf8mb4",
                conv={},
            )
    except (MySQLError, OSError, EOFError, TimeoutError) as error:
        code = error.args[0] if error.args and isinstance(error.args[0], int) else 0
        raise ConnectFailed(f"{endpoint.member}: {error}", code) from error
    return MemberConnection(endpoint, raw)
