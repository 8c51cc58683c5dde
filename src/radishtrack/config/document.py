"""The operators' configuration as a whole, with look-ups in constant time."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final

import attrs
from expression import Error, Ok, Result

from radishtrack._validation import KeyPath, Problem, format_path
from radishtrack.config._lines import find_error_line, find_line, index_lines
from radishtrack.config._parse import read_parts
from radishtrack.config.model import (
    ANY_TABLE,
    PART_KINDS,
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


@attrs.define(frozen=True)
class Source:
    """One text and the name of the file that it comes from."""

    file: str
    text: str


@attrs.define(frozen=True)
class _Origin:
    """Where an entry of a joined configuration comes from."""

    file: str
    lines: Mapping[KeyPath, int]
    index: int
    """Place of the entry among those of its kind in the file."""


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
    return parse_sources([Source(file, text)])


def parse_sources(sources: Sequence[Source]) -> DocumentResult:
    """Read and validate several texts that together are one configuration.

    Parameters
    ----------
    sources : sequence of Source
        The texts, for example one of each owner.

    Returns
    -------
    Result
        The document, or every error with the file and line where it is.
    """
    contents: dict[str, list[Any]] = {}
    errors: list[ConfigError] = []
    problems: list[Problem] = []
    origins: dict[str, list[_Origin]] = {}
    for source in sources:
        try:
            content = tomllib.loads(source.text)
        except tomllib.TOMLDecodeError as error:
            line = find_error_line(str(error), source.text)
            errors.append(ConfigError(source.file, line, f"expected TOML: {error}"))
            continue
        lines = index_lines(source.text)
        for key, value in content.items():
            if key in PART_KINDS and not isinstance(value, list):
                line = find_line(lines, (key,))
                reason = f"{key}: expected tables headed [[{key}]], found one value"
                errors.append(ConfigError(source.file, line, reason))
            items = value if isinstance(value, list) else [value]
            contents.setdefault(key, []).extend(items)
            origins.setdefault(key, []).extend(
                _Origin(source.file, lines, index) for index in range(len(items))
            )
    if errors:
        return Error(tuple(errors))
    parts = read_parts(contents, problems)
    if problems:
        found = (_locate_problem(problem, origins) for problem in problems)
        return Error(tuple(sorted(found, key=lambda error: (error.file, error.line))))
    return Ok(
        make_document(
            parts.owners, parts.organisations, parts.databases, parts.services
        )
    )


def _locate_problem(
    problem: Problem, origins: Mapping[str, Sequence[_Origin]]
) -> ConfigError:
    kind, index = problem.path[0], problem.path[1] if len(problem.path) > 1 else 0
    origin = origins[str(kind)][int(index)]
    path = (kind, origin.index, *problem.path[2:])
    line = find_line(origin.lines, path)
    key = format_path(path[:1] if len(problem.path) == 1 else path)
    reason = f"{key}: expected {problem.expected}, found {problem.found}"
    return ConfigError(origin.file, line, reason)


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
