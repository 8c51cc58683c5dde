"""One session of the load: its connection, its token and its requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

import aiomysql
import attrs
import pymysql

from radishtrack.bench.experiment import Experiment, Targets
from radishtrack.bench.ledger import Ledger, MissedRow, Told, Write, classify_error
from radishtrack.bench.schedule import Arrival, Operation

RECONNECT_PAUSE_S: Final = 0.05
SESSION_ATTRIBUTE: Final = "radishtrack_session"


class ReachError(Exception):
    """No connection; holds what the caller learned."""

    def __init__(self, told: Told) -> None:
        super().__init__(told.value)
        self.told = told


@attrs.define(frozen=True)
class Login:
    """Where and as whom to connect."""

    address: str
    user: str
    password: str
    database: str = ""
    attributes: dict[str, str] = attrs.field(factory=dict)


@attrs.define(frozen=True)
class Answer:
    """The answer to one statement."""

    told: Told
    rows: tuple[tuple[Any, ...], ...] = ()


async def open_connection(login: Login, timeout_s: float) -> Any:
    """Connect with an ordinary driver.

    Raises
    ------
    ReachError
        If there is no connection; says whether the login was refused.
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
        told = classify_error(_error_code(error))
        is_login = told in (Told.DENIED, Told.DRAINING)
        raise ReachError(told if is_login else Told.NOT_CONNECTED) from error
    return connection


async def run_statement(connection: Any, sql: str, timeout_s: float) -> Answer:
    """Run one statement; never raises for what the other side does."""
    try:
        cursor = await connection.cursor()
        await asyncio.wait_for(cursor.execute(sql), timeout_s)
        rows = tuple(await cursor.fetchall())
        await cursor.close()
        return Answer(Told.OK, rows)
    except TimeoutError:
        connection.close()
        return Answer(Told.TIMED_OUT)
    except (pymysql.err.MySQLError, OSError, AssertionError) as error:
        told = classify_error(_error_code(error))
        if told is Told.CONNECTION_LOST:
            connection.close()
        return Answer(told)


def _error_code(error: BaseException) -> int:
    code = error.args[0] if error.args else 0
    return (
        code if isinstance(error, pymysql.err.MySQLError) and type(code) is int else 0
    )


@attrs.define(frozen=True)
class Request:
    """A statement and the rows that its result must contain.

    `expected` holds markers and whether the row is the session's own write.
    """

    sql: str
    expected: tuple[tuple[str, bool], ...] = ()


@attrs.define
class Session:
    """A client session; survives planned moves between addresses."""

    organisation: str
    index: int
    address_number: int
    connection: Any = None
    own_marker: str = ""
    """Latest booking of this session that was acknowledged."""
    carried_token: str = ""
    """Token that the next statement must carry in a comment."""
    moves: int = 0
    lost_connections: int = 0


@attrs.define(frozen=True)
class World:
    """What all sessions share."""

    experiment: Experiment
    targets: Targets
    run: str
    ledger: Ledger
    now_ms: Callable[[], float]


def make_login(
    world: World, session: Session, attributes: dict[str, str] | None = None
) -> Login:
    """Return the login for the session's present address."""
    targets = world.targets
    number = session.address_number % len(targets.addresses)
    return Login(
        targets.addresses[number],
        targets.user or session.organisation,
        targets.keys.get(session.organisation, targets.default_key),
        targets.database or world.experiment.database,
        attributes or {},
    )


def make_marker(world: World, arrival: Arrival) -> str:
    """Return the text that identifies one write."""
    return f"{world.run}-{arrival.organisation}-{arrival.number}"


def make_request(world: World, session: Session, arrival: Arrival) -> Request:
    """Return the statement of one request, as of now."""
    operation, own = arrival.operation, session.own_marker
    experiment = world.experiment
    marker = make_marker(world, arrival)
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
        other = world.ledger.latest_before(world.now_ms())
        return _make_read(experiment, "/*radishtrack class=strict*/ ", own, other)
    if operation is Operation.AGED:
        age_ms = experiment.mix.max_age_ms
        other = world.ledger.latest_before(world.now_ms() - age_ms)
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


async def perform(world: World, session: Session, arrival: Arrival) -> Told:
    """Run one request to its end, with the retries that a careful caller makes."""
    attempts_left = world.experiment.receipt_attempts
    moves_left = len(world.targets.addresses)
    has_unknown_attempt = False
    while True:
        told = await _attempt(world, session, arrival)
        if told is Told.DRAINING and moves_left > 0:
            moves_left -= 1
            continue
        if told in (Told.UNKNOWN, Told.CONNECTION_LOST, Told.TIMED_OUT):
            attempts_left -= 1
            if arrival.operation is Operation.RECEIPT and attempts_left > 0:
                has_unknown_attempt = True
                continue
        break
    if arrival.operation.is_write:
        marker = make_marker(world, arrival)
        write = Write(
            marker, arrival.operation, arrival.organisation, told, has_unknown_attempt
        )
        world.ledger.add_write(write, world.now_ms())
        if told is Told.OK and arrival.operation is Operation.BOOKING:
            session.own_marker = marker
    return told


async def _attempt(world: World, session: Session, arrival: Arrival) -> Told:
    try:
        connection = await _connected(world, session)
    except ReachError as error:
        return error.told
    request = make_request(world, session, arrival)
    sql, sent_ms = request.sql, world.now_ms()
    if session.carried_token:
        sql = _add_token(sql, session.carried_token)
    answer = await run_statement(connection, sql, world.experiment.statement_timeout_s)
    if answer.told is Told.OK:
        session.carried_token = ""
        _check_rows(world, session, arrival, request, answer, sent_ms)
    elif answer.told in (Told.CONNECTION_LOST, Told.TIMED_OUT, Told.DRAINING):
        end_session(session)
    return answer.told


def _add_token(sql: str, token: str) -> str:
    marker = "/*radishtrack "
    if sql.startswith(marker):
        return f"{marker}session={token} {sql[len(marker) :]}"
    return f"{marker}session={token}*/ {sql}"


def _check_rows(
    world: World,
    session: Session,
    arrival: Arrival,
    request: Request,
    answer: Answer,
    sent_ms: float,
) -> None:
    found = {row[0] for row in answer.rows}
    world.ledger.rows_expected += len(request.expected)
    world.ledger.missed.extend(
        MissedRow(arrival.operation, session.organisation, marker, is_own, sent_ms)
        for marker, is_own in request.expected
        if marker not in found
    )


async def _connected(world: World, session: Session) -> Any:
    if session.connection is not None and not session.connection.closed:
        return session.connection
    for _ in world.targets.addresses:
        try:
            session.connection = await open_connection(
                make_login(world, session), world.experiment.statement_timeout_s
            )
        except ReachError as error:
            session.address_number += 1
            if error.told is Told.DENIED:
                raise
            continue
        return session.connection
    await asyncio.sleep(RECONNECT_PAUSE_S)
    raise ReachError(Told.NOT_CONNECTED)


def end_session(session: Session) -> None:
    """Forget a session whose connection ended before it could ask for a token."""
    if session.connection is not None:
        session.connection.close()
        session.connection = None
        session.lost_connections += 1
    session.address_number += 1
    session.own_marker = ""
    session.carried_token = ""


async def move_session(world: World, session: Session) -> None:
    """Take the token and continue at the next address.

    A target without tokens is left without one; the session then still expects to
    see its own writes.
    """
    if session.connection is None or session.connection.closed:
        return
    answer = await run_statement(
        session.connection,
        "SHOW RADISHTRACK SESSION",
        world.experiment.statement_timeout_s,
    )
    if answer.told in (Told.CONNECTION_LOST, Told.TIMED_OUT, Told.DRAINING):
        end_session(session)
        return
    token = str(answer.rows[0][-1]) if answer.rows else ""
    session.connection.close()
    session.connection = None
    session.address_number += 1
    session.moves += 1
    by_attribute = world.experiment.roaming.carrier == "attribute"
    attributes = {SESSION_ATTRIBUTE: token} if token and by_attribute else {}
    session.carried_token = "" if by_attribute else token
    try:
        session.connection = await open_connection(
            make_login(world, session, attributes),
            world.experiment.statement_timeout_s,
        )
    except ReachError:
        end_session(session)
