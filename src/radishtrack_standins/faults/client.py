"""Client with an ordinary MySQL driver, and the outcome that it can observe."""

from __future__ import annotations

import asyncio
import enum
import time
from collections import Counter
from typing import TYPE_CHECKING, Any, Final

import aiomysql
import attrs
from pymysql.err import MySQLError

if TYPE_CHECKING:
    from radishtrack_standins.cluster import Cluster, ProxyProcess

HOST: Final = "127.0.0.1"
NOT_RUN_CODES: Final = frozenset({1045, 9001, 9003, 9004, 9005, 9006, 1040, 1203})
UNKNOWN_CODE: Final = 9002
DRAINING_CODE: Final = 9006
OVER_RATE_CODE: Final = 9003
RATE_RETRY_LIMIT_S: Final = 6.0
RATE_RETRY_PAUSE_S: Final = 0.05
FIRST_DRIVER_ERROR_CODE: Final = 2000
LAST_DRIVER_ERROR_CODE: Final = 2999
"""Error codes of the client library, not of the server: the connection is lost."""
CONNECT_TIMEOUT_S: Final = 8.0
RESPONSE_TIMEOUT_S: Final = 20.0
"""Far over the request timeout: only a request that never ends exceeds it."""


class ClientOutcome(enum.Enum):
    """What a client can conclude about its request."""

    RAN = "ran"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    REJECTED = "rejected by the member"
    LOST = "connection lost"
    NOT_CONNECTED = "not connected"
    NO_RESPONSE = "no response"


@attrs.define(frozen=True)
class StatementResult:
    """Outcome of one statement, with its rows or its error."""

    outcome: ClientOutcome
    rows: tuple[tuple[Any, ...], ...] = ()
    code: int = 0
    message: str = ""
    affected_rows: int = 0

    @property
    def ran(self) -> bool:
        """Whether the request was acknowledged."""
        return self.outcome is ClientOutcome.RAN

    @property
    def may_have_run(self) -> bool:
        """Whether the outcome is unknown to the client."""
        return self.outcome in (
            ClientOutcome.UNKNOWN,
            ClientOutcome.LOST,
            ClientOutcome.NO_RESPONSE,
        )

    def __str__(self) -> str:
        return f"{self.outcome.value} {self.code} {self.message}".strip()


@attrs.define
class Client:
    """One session, which connects with its first statement."""

    proxy: ProxyProcess
    user: str
    password: str
    database: str
    autocommit: bool = True
    connection: Any = None
    has_rate_retries: bool = True
    """Whether a statement that was refused as over the rate is sent again."""
    rate_refusals: Counter[str] = attrs.field(factory=Counter)
    """Number of refusals as over the rate, by organisation."""

    async def connect(self) -> StatementResult | None:
        """Open the connection unless it is open; return the failure, if any."""
        if self.connection is not None:
            return None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self.connection = await aiomysql.connect(
                    host=HOST,
                    port=self.proxy.client_port,
                    user=self.user,
                    password=self.password,
                    db=self.database,
                    autocommit=self.autocommit,
                )
        except (MySQLError, OSError, EOFError, TimeoutError) as error:
            code = error.args[0] if error.args else 0
            number = code if isinstance(code, int) else 0
            return StatementResult(
                ClientOutcome.NOT_CONNECTED, (), number, str(error)[:160]
            )
        return None

    async def run(self, statement: str) -> StatementResult:
        """Run one statement; send it again while it is refused as over the rate.

        It is sent again for up to `RATE_RETRY_LIMIT_S`, if `has_rate_retries` is set.
        """
        end_s = time.monotonic() + RATE_RETRY_LIMIT_S
        while True:
            result = await self.run_once(statement)
            if result.code != OVER_RATE_CODE:
                return result
            self.rate_refusals[self.user] += 1
            if not self.has_rate_retries or time.monotonic() > end_s:
                return result
            await asyncio.sleep(RATE_RETRY_PAUSE_S)

    async def run_once(self, statement: str) -> StatementResult:
        """Run one statement without a retry."""
        failed = await self.connect()
        if failed is not None:
            return failed
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                async with self.connection.cursor() as cursor:
                    affected_rows = await cursor.execute(statement)
                    rows = await cursor.fetchall() if cursor.description else ()
            return StatementResult(
                ClientOutcome.RAN, tuple(rows), affected_rows=int(affected_rows or 0)
            )
        except TimeoutError:
            self.abort()
            return StatementResult(
                ClientOutcome.NO_RESPONSE, message="no response in time"
            )
        except (MySQLError, OSError, EOFError, asyncio.IncompleteReadError) as error:
            return self._classify_error(error)

    def _classify_error(self, error: Exception) -> StatementResult:
        first = error.args[0] if error.args else 0
        code = first if isinstance(first, int) else 0
        message = str(error)[:160]
        is_driver_error = FIRST_DRIVER_ERROR_CODE <= code <= LAST_DRIVER_ERROR_CODE
        if is_driver_error or not code or not isinstance(error, MySQLError):
            self.abort()
            return StatementResult(ClientOutcome.LOST, (), code, message)
        if code == DRAINING_CODE:
            self.abort()
        if code in NOT_RUN_CODES:
            return StatementResult(ClientOutcome.NOT_RUN, (), code, message)
        outcome = (
            ClientOutcome.UNKNOWN if code == UNKNOWN_CODE else ClientOutcome.REJECTED
        )
        return StatementResult(outcome, (), code, message)

    async def read_token(self) -> str:
        """Return the session token, or an empty string if it can't be read."""
        result = await self.run("SHOW RADISHTRACK SESSION")
        return str(result.rows[0][0]) if result.ran and result.rows else ""

    def abort(self) -> None:
        """Close the connection at once, without the protocol's quit command."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def make_client(
    cluster: Cluster, number: int, organisation: str = "", *, autocommit: bool = True
) -> Client:
    """Return a client of a proxy, by number modulo the number of proxies."""
    name = organisation or cluster.plan.organisations[0][0]
    return Client(
        cluster.proxies[number % len(cluster.proxies)],
        name,
        cluster.keys[name],
        cluster.plan.database,
        autocommit,
    )
