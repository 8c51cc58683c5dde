"""Client session of the load: its connection, session token and requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

import aiomysql
import attrs
import pymysql

from radishtrack.bench.experiment import Experiment, Targets
from radishtrack.bench.ledger import (
    ClientOutcome,
    Ledger,
    MissedRow,
    Write,
    classify_error,
)
from radishtrack.bench.schedule import Arrival, Operation

RECONNECT_DELAY_S: Final = 0.05
SESSION_ATTRIBUTE: Final = "radishtrack_session"


class ConnectError(Exception):
    """A connection could not be opened; `client_outcome` says why."""

    def __init__(self, client_outcome: ClientOutcome) -> None:
        super().__init__(client_outcome.value)
        self.client_outcome = client_outcome


@attrs.define(frozen=True)
class Login:
    """Address, credentials and connection attributes of a login."""

    address: str
    user: str
    password: str
    database: str = ""
    attributes: dict[str, str] = attrs.field(factory=dict)


@attrs.define(frozen=True)
class StatementResult:
    """Client outcome and rows of one statement."""

    client_outcome: ClientOutcome
    rows: tuple[tuple[Any, ...], ...] = ()


async def open_connection(login: Login, timeout_s: float) -> Any:
    """Connect with an ordinary MySQL driver.

    Raises
    ------
    ConnectError
        If no connection could be opened, or the server refused the login.
    """
    host, _, port = login.address.rpartition(":")
    connection = aiomysql.Connection(
        host=host,
        port=int(port),
        user=login.user,
        password=login.password,
        db=login.database or None,
        charset="utf8mb4",
        autocommit=True,
    )
    # The driver has no parameter for connection attributes.
    connection._connect_attrs.update(login.attributes)
    try:
        await asyncio.wait_for(connection._connect(), timeout_s)
    except (pymysql.err.MySQLError, OSError) as error:
        connection.close()
        client_outcome = classify_error(_error_code(error))
        is_login_refused = client_outcome in (
            ClientOutcome.DENIED,
            ClientOutcome.DRAINING,
        )
        raise ConnectError(
            client_outcome if is_login_refused else ClientOutcome.NOT_CONNECTED
        ) from error
    return connection


async def run_statement(connection: Any, sql: str, timeout_s: float) -> StatementResult:
    """Run one statement; server and connection errors are returned, not raised."""
    try:
        cursor = await connection.cursor()
        await asyncio.wait_for(cursor.execute(sql), timeout_s)
        rows = tuple(await cursor.fetchall())
        await cursor.close()
        return StatementResult(ClientOutcome.OK, rows)
    except TimeoutError:
        connection.close()
        return StatementResult(ClientOutcome.TIMED_OUT)
    except (pymysql.err.MySQLError, OSError, AssertionError) as error:
        client_outcome = classify_error(_error_code(error))
        if client_outcome is ClientOutcome.CONNECTION_LOST:
            connection.close()
        return StatementResult(client_outcome)


def _error_code(error: BaseException) -> int:
    code = error.args[0] if error.args else 0
    return (
        code if isinstance(error, pymysql.err.MySQLError) and type(code) is int else 0
    )


@attrs.define(frozen=True)
class Request:
    """A statement and the rows that its result must contain.

    `expected` has the marker of each row and whether the session itself wrote it.
    """

    sql: str
    expected: tuple[tuple[str, bool], ...] = ()


@attrs.define
class Session:
    """A client session, which is kept when it moves to another address."""

    organisation: str
    index: int
    address_number: int
    connection: Any = None
    own_marker: str = ""
    """Marker of the last acknowledged booking of this session."""
    carried_token: str = ""
    """Session token that the next statement must send in a comment."""
    moves: int = 0
    lost_connections: int = 0


@attrs.define(frozen=True)
class RunContext:
    """State that all sessions of a run share."""

    experiment: Experiment
    targets: Targets
    run: str
    ledger: Ledger
    now_ms: Callable[[], float]


def make_login(
    context: RunContext, session: Session, attributes: dict[str, str] | None = None
) -> Login:
    """Return the login for the session's current address."""
    targets = context.targets
    number = session.address_number % len(targets.addresses)
    return Login(
        targets.addresses[number],
        targets.user or session.organisation,
        targets.keys.get(session.organisation, targets.default_key),
        targets.database or context.experiment.database,
        attributes or {},
    )


def make_marker(context: RunContext, arrival: Arrival) -> str:
    """Return the unique marker of one write."""
    return f"{context.run}-{arrival.organisation}-{arrival.number}"


def make_request(context: RunContext, session: Session, arrival: Arrival) -> Request:
    """Return the statement of a request and the rows that it must return now."""
    operation, own = arrival.operation, session.own_marker
    experiment = context.experiment
    marker = make_marker(context, arrival)
    if operation is Operation.BOOKING:
        return Request(
            f"INSERT INTO {experiment.booking_table} (organisation, marker, state) "
            f"VALUES ('{arrival.organisation}', '{marker}', 'taken')"
        )
    if operation is Operation.RECEIPT:
        return Request(
            f"/*radishtrack request_id={marker}*/ "
            f"INSERT INTO {experiment.receipt_table} (organisation, marker, amount) "
            f"VALUES ('{arrival.organisation}', '{marker}', {arrival.number})"
        )
    if operation is Operation.STATUS:
        other = context.ledger.find_latest_before(context.now_ms())
        return _make_read(experiment, "/*radishtrack class=strict*/ ", own, other)
    if operation is Operation.AGED:
        age_ms = experiment.mix.max_age_ms
        other = context.ledger.find_latest_before(context.now_ms() - age_ms)
        options = f"/*radishtrack class=aged max_age_ms={age_ms}*/ "
        return _make_read(experiment, options, own, other)
    return _make_read(experiment, "", own, None)


def _make_read(
    experiment: Experiment, options: str, own: str, other: str | None
) -> Request:
    expected = [(own, True)] if own else []
    if other is not None and other != own:
        expected.append((other, False))
    markers = ", ".join(f"'{marker}'" for marker, _ in expected) or "'none'"
    table = experiment.booking_table
    sql = f"{options}SELECT marker FROM {table} WHERE marker IN ({markers})"
    return Request(sql, tuple(expected))


async def run_request(
    context: RunContext, session: Session, arrival: Arrival
) -> ClientOutcome:
    """Run one request with retries, and record its outcome if it is a write.

    A request that a draining node refuses goes to the next address, at most once per
    address. Only receipts are retried after an unknown outcome, since their request
    ID makes that safe.
    """
    attempts_left = context.experiment.receipt_attempts
    moves_left = len(context.targets.addresses)
    has_unknown_attempt = False
    while True:
        client_outcome = await _run_attempt(context, session, arrival)
        if client_outcome is ClientOutcome.DRAINING and moves_left > 0:
            moves_left -= 1
            continue
        if client_outcome in (
            ClientOutcome.UNKNOWN,
            ClientOutcome.CONNECTION_LOST,
            ClientOutcome.TIMED_OUT,
        ):
            attempts_left -= 1
            if arrival.operation is Operation.RECEIPT and attempts_left > 0:
                has_unknown_attempt = True
                continue
        break
    if arrival.operation.is_write:
        marker = make_marker(context, arrival)
        write = Write(
            marker,
            arrival.operation,
            arrival.organisation,
            client_outcome,
            has_unknown_attempt,
        )
        context.ledger.add_write(write, context.now_ms())
        if (
            client_outcome is ClientOutcome.OK
            and arrival.operation is Operation.BOOKING
        ):
            session.own_marker = marker
    return client_outcome


async def _run_attempt(
    context: RunContext, session: Session, arrival: Arrival
) -> ClientOutcome:
    try:
        connection = await _ensure_connection(context, session)
    except ConnectError as error:
        return error.client_outcome
    request = make_request(context, session, arrival)
    sql, sent_ms = request.sql, context.now_ms()
    if session.carried_token:
        sql = _add_token(sql, session.carried_token)
    result = await run_statement(
        connection, sql, context.experiment.statement_timeout_s
    )
    if result.client_outcome is ClientOutcome.OK:
        session.carried_token = ""
        _record_missed_rows(context, session, arrival, request, result, sent_ms)
    elif result.client_outcome in (
        ClientOutcome.CONNECTION_LOST,
        ClientOutcome.TIMED_OUT,
        ClientOutcome.DRAINING,
    ):
        reset_session(session)
    return result.client_outcome


def _add_token(sql: str, token: str) -> str:
    marker = "/*radishtrack "
    if sql.startswith(marker):
        return f"{marker}session={token} {sql[len(marker) :]}"
    return f"{marker}session={token}*/ {sql}"


def _record_missed_rows(
    context: RunContext,
    session: Session,
    arrival: Arrival,
    request: Request,
    result: StatementResult,
    sent_ms: float,
) -> None:
    markers = {row[0] for row in result.rows}
    context.ledger.rows_expected += len(request.expected)
    context.ledger.missed.extend(
        MissedRow(arrival.operation, session.organisation, marker, is_own, sent_ms)
        for marker, is_own in request.expected
        if marker not in markers
    )


async def _ensure_connection(context: RunContext, session: Session) -> Any:
    if session.connection is not None and not session.connection.closed:
        return session.connection
    for _ in context.targets.addresses:
        try:
            session.connection = await open_connection(
                make_login(context, session), context.experiment.statement_timeout_s
            )
        except ConnectError as error:
            session.address_number += 1
            if error.client_outcome is ClientOutcome.DENIED:
                raise
            continue
        return session.connection
    await asyncio.sleep(RECONNECT_DELAY_S)
    raise ConnectError(ClientOutcome.NOT_CONNECTED)


def reset_session(session: Session) -> None:
    """Reset a session whose connection ended before it could request its token."""
    if session.connection is not None:
        session.connection.close()
        session.connection = None
        session.lost_connections += 1
    session.address_number += 1
    session.own_marker = ""
    session.carried_token = ""


async def move_session(context: RunContext, session: Session) -> None:
    """Request the session token and continue at the next address.

    If the target issues no token, the session moves without one and still expects to
    read its own writes.
    """
    if session.connection is None or session.connection.closed:
        return
    result = await run_statement(
        session.connection,
        "SHOW RADISHTRACK SESSION",
        context.experiment.statement_timeout_s,
    )
    if result.client_outcome in (
        ClientOutcome.CONNECTION_LOST,
        ClientOutcome.TIMED_OUT,
        ClientOutcome.DRAINING,
    ):
        reset_session(session)
        return
    token = str(result.rows[0][-1]) if result.rows else ""
    session.connection.close()
    session.connection = None
    session.address_number += 1
    session.moves += 1
    uses_attribute = context.experiment.roaming.carrier == "attribute"
    attributes = {SESSION_ATTRIBUTE: token} if token and uses_attribute else {}
    session.carried_token = "" if uses_attribute else token
    try:
        session.connection = await open_connection(
            make_login(context, session, attributes),
            context.experiment.statement_timeout_s,
        )
    except ConnectError:
        reset_session(session)
