"""The operators' configuration as a whole, with look-ups in constant time."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Final

import attrs
from expression import Error, Ok, Result

from radishtrack._validation import Problem
from radishtrack.config._lines import find_error_line, find_line, index_lines
from radishtrack.config._parse import read_parts
from radishtrack.config.model import (
    ANY_TABLE,
    Database,
    Organisation,
    Owner,
    ReadClass,
    Route,
    RouteKey,
    Service,
)

_STRICTNESS: Final = {ReadClass.AGED: 0, ReadClass.SESSION: 1, ReadClass.STRICT: 2}


@attrs.define(frozen=True)
class ConfigError:
    """One fault in the operators' text.

    Parameters
    ----------
    file : str
        Name of the text.
    line : int
        Line of the key or table, counted from 1.
    reason : str
        What is wrong, and what would be accepted.
    """

    file: str
    line: int
    reason: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.reason}"


DocumentResult = Result["Document", tuple[ConfigError, ...]]


@attrs.define(frozen=True, eq=False)
class Document:
    """A valid configuration; it never changes.

    The mappings are in the order of the text and keyed by name.
    """

    owners: Mapping[str, Owner]
    organisations: Mapping[str, Organisation]
    databases: Mapping[str, Database]
    services: Mapping[str, Service]
    route_index: Mapping[RouteKey, Route] = attrs.field(repr=False)

    def find_route(
        self, database: str, tables: Iterable[str], is_read: bool
    ) -> Route | None:
        """Return the route of a statement.

        Parameters
        ----------
        database : str
            The database that the statement is for.
        tables : iterable of str
            The tables that the statement names.
        is_read : bool
            Whether the statement only reads.

        Returns
        -------
        Route or None
            None if the database is unknown or a table has no route. Tables of several
            routes get the strictest read class of them, and are open only if all are.
            A statement without tables gets a route that is not open.
        """
        routes = []
        for table in tables:
            route = self.route_index.get((database, table, is_read))
            if route is None:
                route = self.route_index.get((database, ANY_TABLE, is_read))
            if route is None:
                return None
            if route not in routes:
                routes.append(route)
        if len(routes) == 1:
            return routes[0]
        if routes:
            return _combine_routes(routes)
        if database not in self.databases:
            return None
        return Route(service="", name="", database=database, tables=())


def make_document(
    owners: Iterable[Owner],
    organisations: Iterable[Organisation],
    databases: Iterable[Database],
    services: Iterable[Service],
) -> Document:
    """Return a document with its indices; the parts must be valid together."""
    services = tuple(services)
    return Document(
        owners=MappingProxyType({part.name: part for part in owners}),
        organisations=MappingProxyType({part.name: part for part in organisations}),
        databases=MappingProxyType({part.name: part for part in databases}),
        services=MappingProxyType({part.name: part for part in services}),
        route_index=MappingProxyType(
            {
                key: route
                for service in services
                for route in service.routes
                for key in route.keys
            }
        ),
    )


def parse_document(text: str, file: str) -> DocumentResult:
    """Read and validate the operators' text.

    Parameters
    ----------
    text : str
        The TOML text.
    file : str
        Name of the text, for errors.

    Returns
    -------
    Result
        The document, or every error that the text has.
    """
    try:
        content = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line = find_error_line(str(error))
        return Error((ConfigError(file, line, f"expected TOML: {error}"),))
    problems: list[Problem] = []
    parts = read_parts(content, problems)
    if problems:
        lines = index_lines(text)
        errors = [
            ConfigError(
                file,
                find_line(lines, problem.path),
                f"{problem.key}: expected {problem.expected}, found {problem.found}",
            )
            for problem in problems
        ]
        return Error(tuple(sorted(errors, key=lambda error: error.line)))
    return Ok(
        make_document(
            parts.owners, parts.organisations, parts.databases, parts.services
        )
    )


def _combine_routes(routes: list[Route]) -> Route:
    strictest = max(
        routes, key=lambda route: (_STRICTNESS[route.read_class], -route.max_age_ms)
    )
    statements = tuple(
        statement
        for statement in strictest.statements
        if all(statement in route.statements for route in routes)
    )
    return attrs.evolve(
        strictest,
        open=all(route.open for route in routes),
        idempotent=all(route.idempotent for route in routes),
        statements=statements,
    )
