"""The parts of a configuration: owners, organisations, databases, services, routes."""

from __future__ import annotations

import enum
from typing import Final

import attrs

PART_KINDS: Final = ("owner", "organisation", "database", "service")
"""Names of the arrays of tables in a configuration file."""

READ_STATEMENT: Final = "select"
WRITE_STATEMENTS: Final = ("insert", "update", "delete", "replace")
STATEMENTS: Final = (READ_STATEMENT, *WRITE_STATEMENTS)

ANY_TABLE: Final = "*"
"""Stands for every table of the database that no other route names."""

RouteKey = tuple[str, str, bool]
"""Database, table, and whether the statement is a read."""


class ReadClass(enum.Enum):
    """The consistency that a read requires."""

    STRICT = "strict"
    SESSION = "session"
    AGED = "aged"


@attrs.define(frozen=True)
class Owner:
    """A party that pays a share of the proxy layer and audits the other shares."""

    name: str


@attrs.define(frozen=True)
class Organisation:
    """A customer of an owner; its name is the MySQL user name of its clients.

    Parameters
    ----------
    name : str
        Name, unique in the document.
    owner : str
        The owner that pays for its usage.
    rate : float
        Statements per second across the whole fleet.
    burst : int
        Statements that may be admitted at once after a pause.
    """

    name: str
    owner: str
    rate: float
    burst: int


@attrs.define(frozen=True)
class Member:
    """One server of a database group."""

    name: str
    host: str
    port: int
    admin_port: int
    zone: str
    leaving: bool = False


@attrs.define(frozen=True)
class Database:
    """A database group.

    Parameters
    ----------
    name : str
        Name, unique in the document.
    owner : str
        The owner of the database.
    region : str
        The region whose nodes may hold its slots.
    slots : int
        Number of nodes that may hold connections to it at once.
    connections : int
        Maximum number of connections to it, over all holders.
    members : tuple of Member
        Its servers.
    """

    name: str
    owner: str
    region: str
    slots: int
    connections: int
    members: tuple[Member, ...]

    @property
    def connections_per_slot(self) -> int:
        """Number of connections that each holder may open."""
        return self.connections // self.slots


@attrs.define(frozen=True)
class Route:
    """The access that a service offers to some tables of its database.

    Parameters
    ----------
    service : str
        The service that the route belongs to.
    name : str
        Name, unique in the service.
    database : str
        The service's database.
    tables : tuple of str
        Tables, spelled as in the database, or ``*`` for all that no other route names.
    read_class : ReadClass
        Read class if the client specifies none.
    max_age_ms : int
        Accepted age in milliseconds; 0 unless the class is aged.
    open : bool
        Whether clients without a key may read.
    statements : tuple of str
        Accepted kinds of statement, in lower case.
    idempotent : bool
        Whether a write with an unknown outcome may be repeated.
    """

    service: str
    name: str
    database: str
    tables: tuple[str, ...]
    read_class: ReadClass = ReadClass.SESSION
    max_age_ms: int = 0
    open: bool = False
    statements: tuple[str, ...] = STATEMENTS
    idempotent: bool = False

    @property
    def label(self) -> str:
        """Unique name within the document: ``service/route``."""
        return f"{self.service}/{self.name}"

    @property
    def keys(self) -> list[RouteKey]:
        """The keys under which the route is indexed."""
        kinds = {statement == READ_STATEMENT for statement in self.statements}
        return [
            (self.database, table, is_read)
            for table in self.tables
            for is_read in sorted(kinds)
        ]


@attrs.define(frozen=True)
class Service:
    """A service that is offered over one database."""

    name: str
    database: str
    depends_on: tuple[str, ...]
    routes: tuple[Route, ...]
