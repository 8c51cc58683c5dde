"""A client with an ordinary driver, and the outcome it was told."""

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
RATE_PATIENCE_S: Final = 6.0
RATE_PAUSE_S: Final = 0.05
FIRST_CLIENT_CODE: Final = 2000
LAST_CLIENT_CODE: Final = 2999
CONNECT_TIMEOUT_S: Final = 8.0
ANSWER_TIMEOUT_S: Final = 20.0
"""Far over the request timeout, so that only a request that never ends exceeds it."""


class ClientOutcome(enum.Enum):
    """What a client knows about its request."""

    RAN = "ran"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    REJECTED = "rejected by the member"
    LOST = "connection lost"
    NOT_CONNECTED = "not connected"
    NO_RESPONSE = "no answer"


@attrs.define(frozen=True)
class StatementResult:
    """Outcome of one statement."""

    outcome: ClientOutcome
    rows: tuple[tuple[Any, ...], ...] = ()
    code: int = 0
    message: str = ""
    affected: int = 0

    @property
    def ran(self) -> bool:
        """Whether the request was acknowledged."""
        return self.outcome is ClientOutcome.RAN

    @property
    def may_have_run(self) -> bool:
        """Whether the client can't tell."""
        return self.outcome in (
            ClientOutcome.UNKNOWN,
            ClientOutcome.LOST,
            ClientOutcome.NO_RESPONSE,
        )

    def __str__(self) -> str:
        return f"{self.outcome.value} {self.code} {self.message}".strip()


@attrs.define
class Client:
    """One session; connects when it is needed."""

    proxy: ProxyProcess
    user: str
    password: str
    database: str
    autocommit: bool = True
    connection: Any = None
    has_rate_retries: bool = True
    """Sends a statement again that was refused because of the rate."""
    rate_refusals: Counter[str] = attrs.field(factory=Counter)
    """Refusals because of the rate, by organisation."""

    async def connect(self) -> StatementResult | None:
        """Open the connection; return the failure, if there is one."""
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
        """Run one statement and return what the client was told."""
        end = time.monotonic() + RATE_PATIENCE_S
        while True:
            result = await self.run_once(statement)
            if result.code != OVER_RATE_CODE:
                return result
            self.rate_refusals[self.user] += 1
            if not self.has_rate_retries or time.monotonic() > end:
                return result
            await asyncio.sleep(RATE_PAUSE_S)

    async def run_once(self, statement: str) -> StatementResult:
        """Run one statement without another try."""
        failed = await self.connect()
        if failed is not None:
            return failed
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                async with self.connection.cursor() as cursor:
                    affected = await cursor.execute(statement)
                    rows = await cursor.fetchall() if cursor.description else ()
            return StatementResult(
                ClientOutcome.RAN, tuple(rows), affected=int(affected or 0)
            )
        except TimeoutError:
            self.drop()
            return StatementResult(
                ClientOutcome.NO_RESPONSE, message="no answer in time"
            )
        except (MySQLError, OSError, EOFError, asyncio.IncompleteReadError) as error:
            return self._describe(error)

    def _describe(self, error: Exception) -> StatementResult:
        first = error.args[0] if error.args else 0
        code = first if isinstance(first, int) else 0
        message = str(error)[:160]
        is_client_code = FIRST_CLIENT_CODE <= code <= LAST_CLIENT_CODE
        if is_client_code or not code or not isinstance(error, MySQLError):
            self.drop()
            return StatementResult(ClientOutcome.LOST, (), code, message)
        if code == DRAINING_CODE:
            self.drop()
        if code in NOT_RUN_CODES:
            return StatementResult(ClientOutcome.NOT_RUN, (), code, message)
        outcome = (
            ClientOutcome.UNKNOWN if code == UNKNOWN_CODE else ClientOutcome.REJECTED
        )
        return StatementResult(outcome, (), code, message)

    async def read_token(self) -> str:
        """Return the session's token, or nothing if it can't be read."""
        result = await self.run("SHOW RADISHTRACK SESSION")
        return str(result.rows[0][0]) if result.ran and result.rows else ""

    def drop(self) -> None:
        """Close the connection at once, as a client that disappears."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def make_client(
    cluster: Cluster, number: int, organisation: str = "", *, autocommit: bool = True
) -> Client:
    """Return a client of one of the proxies, by number."""
    name = organisation or cluster.plan.organisations[0][0]
    return Client(
        cluster.proxies[number % len(cluster.proxies)],
        name,
        cluster.keys[name],
        cluster.plan.database,
        autocommit,
    )
