"""Database, organisation and route of a statement, and the client's access to them."""

from __future__ import annotations

from typing import Final

from radishtrack.config.document import Document
from radishtrack.config.model import Database, Organisation, Route
from radishtrack.errors import ErrorCode, Failure, Outcome, RequestError
from radishtrack.proxy.client_state import ClientState
from radishtrack.routing.statement import Kind, Statement

AFFINITY_RATE_PER_S: Final = 100.0
"""Rate, in statements per second, up to which an organisation prefers one holder."""


def find_database(document: Document, state: ClientState) -> Database:
    """Return the database of a client's statement.

    Raises
    ------
    RequestError
        Not run, if no database is selected or the selected one is unknown.
    """
    name = state.transaction_database if state.holder else state.database
    database = document.databases.get(name)
    if database is None:
        message = f"unknown database {name!r}" if name else "no database selected"
        raise RequestError(
            Failure("route", "", Outcome.NOT_RUN, ErrorCode.NO_SERVICE, message)
        )
    return database


def check_access(
    document: Document, state: ClientState, database: Database, statement: Statement
) -> Organisation | None:
    """Check that a client may run a statement on a database.

    An organisation may use the databases of its owner; all clients may read on open
    routes.

    Returns
    -------
    Organisation or None
        None for a client without a key.

    Raises
    ------
    RequestError
        Not run, if the client has no access or a write has no route.
    """
    organisation = document.organisations.get(state.organisation)
    is_read = statement.kind is Kind.READ
    route = document.find_route(database.name, statement.tables, is_read)
    if organisation is not None and organisation.owner == database.owner:
        if statement.kind is Kind.WRITE and route is None:
            raise _make_no_route(database, statement)
        return organisation
    if is_read and route is not None and route.open:
        return organisation
    raise RequestError(
        Failure(
            "route",
            "",
            Outcome.NOT_RUN,
            ErrorCode.NO_SERVICE,
            f"{state.organisation} has no access to database {database.name}",
        )
    )


def find_affinity(document: Document, organisation: str) -> str:
    """Return the key that selects an organisation's preferred holder; empty for none.

    Tokens that one holder has acquired can't be used at another one until they expire.
    An organisation with few tokens would therefore be refused within its rate, so all
    its statements go to one holder while this holder accepts them.
    """
    configured = document.organisations.get(organisation)
    if configured is None or configured.rate > AFFINITY_RATE_PER_S:
        return ""
    return organisation


def find_route(document: Document, database: Database, statement: Statement) -> Route:
    """Return the route of a read.

    Raises
    ------
    RequestError
        Not run, if a table has no route.
    """
    route = document.find_route(database.name, statement.tables, True)
    if route is None:
        raise _make_no_route(database, statement)
    return route


def _make_no_route(database: Database, statement: Statement) -> RequestError:
    tables = ", ".join(statement.tables)
    kind = "reads of" if statement.kind is Kind.READ else "writes to"
    return RequestError(
        Failure(
            "route",
            "",
            Outcome.NOT_RUN,
            ErrorCode.NO_SERVICE,
            f"no route of {database.name} accepts {kind} {tables}",
        )
    )
