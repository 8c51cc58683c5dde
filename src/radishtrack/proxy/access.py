"""Which database, organisation and route a statement belongs to."""

from __future__ import annotations

from typing import Final

from radishtrack.config.document import Document
from radishtrack.config.model import Database, Organisation, Route
from radishtrack.errors import ErrorCode, Failure, Outcome, RequestError
from radishtrack.proxy.client_state import ClientState
from radishtrack.routing.statement import Kind, Statement

AFFINITY_RATE: Final = 100.0
"""Statements a second up to which an organisation prefers one holder."""


def find_database(document: Document, state: ClientState) -> Database:
    """Return the database that a client's statement is for.

    Raises
    ------
    RequestError
        Not run, if none is selected or it is unknown.
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
    """Check that a client may use a database.

    An organisation may use the databases of its owner; everybody may read on open
    routes.

    Returns
    -------
    Organisation or None
        None for a client without a key.

    Raises
    ------
    RequestError
        Not run, without access.
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
    """Return the text by which an organisation's holder is preferred; empty for none.

    Tokens that one holder has fetched can't be used at another one until they expire.
    For an organisation with few of them that means refusals within its rate, so all
    its statements go to one holder while that works.
    """
    found = document.organisations.get(organisation)
    if found is None or found.rate > AFFINITY_RATE:
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
