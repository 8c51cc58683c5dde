"""One connection to a member, whose state after each step is known."""

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

CLIENT_ERRORS: Final = range(2000, 3000)
"""Errors of the client library itself: the member's answer is missing."""

BINARY_FLAG: Final = 0x100
"""Added to the type code of a column that holds bytes."""

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


class AnswerLost(Exception):
    """Raised when a statement was sent and its answer didn't arrive."""


@attrs.define(frozen=True)
class MemberError(Exception):
    """An error packet of the member: a definite answer."""

    code: int
    message: str

    def __str__(self) -> str:
        return f"{self.code}: {self.message}"


@attrs.define(frozen=True)
class StatementAnswer:
    """The member's answer to a statement without rows."""

    affected_rows: int
    insert_id: int


@attrs.define
class MemberConnection:
    """A connection that is closed as soon as its state is in doubt.

    Parameters
    ----------
    endpoint : MemberEndpoint
        Where it leads.
    raw : aiomysql.Connection
        The library's connection.
    """

    endpoint: MemberEndpoint
    raw: Any
    is_in_doubt: bool = False
    dirty: bool = False
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
            or self.dirty
            or self.raw.closed
            or self.raw.get_transaction_status()
            or self.raw._reader.at_eof()
        )

    async def run(self, statement: str) -> StatementAnswer:
        """Run a statement and discard rows, if any.

        Raises
        ------
        AnswerLost
            If the answer didn't arrive.
        MemberError
            If the member answered with an error.
        """
        with self._step():
            async with self.raw.cursor() as cursor:
                affected = await cursor.execute(statement)
                return StatementAnswer(affected, cursor.lastrowid or 0)

    async def fetch(self, statement: str) -> tuple[tuple[Any, ...], ...]:
        """Run a statement and return all its rows; errors as in `run`."""
        with self._step():
            async with self.raw.cursor() as cursor:
                await cursor.execute(statement)
                return tuple(await cursor.fetchall())

    async def read_status(self) -> MemberStatus:
        """Return the member's status; errors as in `run`."""
        with self._step():
            return parse_status(await read_row(self.raw, STATUS_SQL))

    async def stream(
        self,
        statement: str,
        first_wait_s: float | None = None,
        part_wait_s: float | None = None,
    ) -> AsyncIterator[StreamPart]:
        """Run a statement and yield its head, then chunks of rows.

        A statement without result columns yields one `StatementAnswer`. Errors as in
        `run`, at any point.

        Parameters
        ----------
        statement : str
            The statement.
        first_wait_s, part_wait_s : float, optional
            Time for the head and for each chunk, in seconds; a member that does not
            answer in time fails the statement as `AnswerLost`.
        """
        with self._step():
            with self._limit_wait(first_wait_s):
                await self.raw.query(statement, unbuffered=True)
            result = self.raw._result
            if result.description is None:
                yield StatementAnswer(result.affected_rows, result.insert_id or 0)
                return
            yield StreamHead(
                tuple(column[0] for column in result.description),
                tuple(map(_describe_type, result.fields)),
            )
            is_complete = False
            while not is_complete:
                rows: list[tuple[str | bytes | None, ...]] = []
                with self._limit_wait(part_wait_s):
                    while len(rows) < ROWS_PER_CHUNK:
                        row = await result._read_rowdata_packet_unbuffered()
                        if row is None:
                            is_complete = True
                            break
                        rows.append(row)
                if rows:
                    yield StreamRows(tuple(rows))

    def close(self) -> None:
        """Close the socket at once."""
        self.is_in_doubt = True
        self.raw.close()

    @contextlib.contextmanager
    def _limit_wait(self, wait_s: float | None) -> Iterator[None]:
        """Break the connection off if the member lets the block wait too long.

        A timer costs less than `asyncio.timeout`, and a connection whose answer is
        late is closed in any case.
        """
        if wait_s is None:
            yield
            return
        timer = asyncio.get_running_loop().call_later(wait_s, self._abort)
        try:
            yield
        finally:
            timer.cancel()

    def _abort(self) -> None:
        # Stays set if the answer arrives in the same turn of the event loop.
        self.dirty = True
        self.raw._writer.transport.abort()

    @contextlib.contextmanager
    def _step(self) -> Iterator[None]:
        """Keep the connection in doubt until the answer is complete.

        A cancelled step leaves the answer on the wire, so the connection is closed: a
        later user would take it for its own.
        """
        self.is_in_doubt = True
        try:
            yield
        except MySQLError as error:
            code = error.args[0] if error.args else 0
            if isinstance(code, int) and code and code not in CLIENT_ERRORS:
                self.is_in_doubt = False
                raise MemberError(code, str(error.args[-1])) from error
            self.close()
            raise AnswerLost(f"{self.member}: {error}") from error
        except (OSError, EOFError, AttributeError) as error:
            # The library raises AttributeError when its socket is already closed.
            self.close()
            raise AnswerLost(f"{self.member}: {error!r}") from error
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


StreamPart = StatementAnswer | StreamHead | StreamRows


async def open_connection(
    endpoint: MemberEndpoint, user: str, password: str, *, administrative: bool = False
) -> MemberConnection:
    """Connect to a member.

    Parameters
    ----------
    endpoint : MemberEndpoint
        Where the member listens.
    user, password : str
        The proxy's own login; never a client's.
    administrative : bool
        Use the administrative interface, which has no connection limit.

    Raises
    ------
    ConnectFailed
        If no connection could be made.
    """
    try:
        # The library's own limit covers only the TCP connection, not the handshake,
        # which a paused member never answers.
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
