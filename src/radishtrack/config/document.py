"""The validated configuration, with route look-ups in constant time."""

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
    """An error in a configuration file.

    Parameters
    ----------
    file : str
        Name of the file.
    line : int
        Line of the key or table, counted from 1.
    reason : str
        What was expected and what was found.
    """

    file: str
    line: int
    reason: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.reason}"


@attrs.define(frozen=True)
class Source:
    """The name and text of a configuration file."""

    file: str
    text: str


@attrs.define(frozen=True)
class _Origin:
    """Origin of an entry in a configuration of several files."""

    file: str
    lines: Mapping[KeyPath, int]
    index: int
    """Index of the entry among those of its kind in the file."""


DocumentResult = Result["Document", tuple[ConfigError, ...]]


@attrs.define(frozen=True, eq=False)
class Document:
    """A valid, immutable configuration.

    The mappings are keyed by name, in the order of the input.
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
            None if the database is unknown or a table has no route. For tables of
            several routes, the result has their strictest read class, and is open only
            if all of them are. For a statement without tables, it is not open.
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
    """Return a document of parts that were validated together."""
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
    """Parse and validate one configuration file.

    Parameters
    ----------
    text : str
        The TOML text.
    file : str
        Name of the file, for error messages.

    Returns
    -------
    Result
        The document, or all errors.
    """
    return parse_sources([Source(file, text)])


def parse_sources(sources: Sequence[Source]) -> DocumentResult:
    """Parse and validate several files that together form one configuration.

    Parameters
    ----------
    sources : sequence of Source
        The files, for example one per owner.

    Returns
    -------
    Result
        The document, or all errors with their files and lines.
    """
    merged: dict[str, list[Any]] = {}
    errors: list[ConfigError] = []
    problems: list[Problem] = []
    origins: dict[str, list[_Origin]] = {}
    for source in sources:
        try:
            tables = tomllib.loads(source.text)
        except tomllib.TOMLDecodeError as error:
            line = find_error_line(str(error), source.text)
            errors.append(ConfigError(source.file, line, f"expected TOML: {error}"))
            continue
        lines = index_lines(source.text)
        for key, value in tables.items():
            if key in PART_KINDS and not isinstance(value, list):
                line = find_line(lines, (key,))
                reason = (
                    f"{key}: expected tables headed [[{key}]], found a single value"
                )
                errors.append(ConfigError(source.file, line, reason))
            items = value if isinstance(value, list) else [value]
            merged.setdefault(key, []).extend(items)
            origins.setdefault(key, []).extend(
                _Origin(source.file, lines, index) for index in range(len(items))
            )
    if errors:
        return Error(tuple(errors))
    parts = read_parts(merged, problems)
    if problems:
        located = (_locate_problem(problem, origins) for problem in problems)
        return Error(tuple(sorted(located, key=lambda error: (error.file, error.line))))
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
