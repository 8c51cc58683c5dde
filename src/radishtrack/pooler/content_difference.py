"""Differences between two contents of the store, by rows of named tables.

Nodes pass differences to each other, so that a changed field of a large configuration
costs a row, not the whole. The whole is the difference from nothing.
"""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Callable, Iterator, Mapping, Sequence
from operator import attrgetter
from typing import Any, Final

import attrs
import cbor2

from radishtrack.group.status import Role
from radishtrack.pooler.catalog import (
    EMPTY_CATALOG,
    Catalog,
    GroupSettings,
    Member,
    NodeRecord,
    Organisation,
    ReadClass,
    Route,
)
from radishtrack.pooler.content_codec import MEMBER_ROLE, ROUTE_CLASS
from radishtrack.pooler.pacing import pace
from radishtrack.pooler.ports import Duty, FleetListing

ROWS_PER_CHANGE: Final = 200
"""Number of rows that one `TableChange` covers at most."""
ROW_DIGEST_BYTES: Final = 8
ROW_DIGEST_MODULUS: Final = 1 << (8 * ROW_DIGEST_BYTES)

ROUTES, ORGANISATIONS, KEYS, GROUPS = "routes", "organisations", "keys", "groups"
SETTINGS, MEMBERS, ZONES = "settings", "members", "zones"
NODES, DUTIES, TERMS = "nodes", "duties", "terms"
IDLE_TRANSACTION: Final = "idle_transaction_ms"
"""Row of the settings."""

Row = Sequence[Any]
Tables = dict[str, Mapping[Any, Any]]
"""Records or plain values by key, for each table."""

EMPTY_LISTING: Final = FleetListing((), {}, {}, 0)


@attrs.frozen
class StoreContent:
    """Content of a copy of the store.

    Parameters
    ----------
    catalog : Catalog
        The configuration.
    members : tuple of Member
        The members.
    zones : frozenset of str
        The evacuated availability zones.
    fleet : FleetListing
        The fleet's records.
    """

    catalog: Catalog = EMPTY_CATALOG
    members: tuple[Member, ...] = ()
    zones: frozenset[str] = frozenset()
    fleet: FleetListing = EMPTY_LISTING


@attrs.frozen
class TableChange:
    """Rows of one table that differ between two contents.

    Parameters
    ----------
    table : str
        Name of the table.
    rows : mapping
        New and changed rows by key.
    removed : sequence
        Keys of removed rows.
    """

    table: str
    rows: Mapping[Any, Row]
    removed: Sequence[Any] = ()


def _make_packer(kind: type[attrs.AttrsInstance]) -> Callable[[Any], Row]:
    read_fields = attrgetter(*(field.name for field in attrs.fields(kind)))

    def pack(record: Any) -> Row:
        return [
            value.value if isinstance(value, enum.Enum) else value
            for value in read_fields(record)
        ]

    return pack


def _make_unpacker(
    kind: Callable[..., Any], enums: Mapping[int, type[enum.Enum]]
) -> Callable[[Row], Any]:
    def unpack(row: Row) -> Any:
        fields = list(row)
        for position, make in enums.items():
            fields[position] = make(fields[position])
        return kind(*fields)

    return unpack


def _unpack_value(row: Row) -> Any:
    (value,) = row
    return value


_RECORDS: Final[dict[str, tuple[type[attrs.AttrsInstance], dict[int, Any]]]] = {
    ROUTES: (Route, {ROUTE_CLASS: ReadClass}),
    ORGANISATIONS: (Organisation, {}),
    GROUPS: (GroupSettings, {}),
    MEMBERS: (Member, {MEMBER_ROLE: Role}),
    NODES: (NodeRecord, {}),
    DUTIES: (Duty, {}),
}
"""Type of the records of a table, and the positions of enumerations in their fields."""
_PACKERS: Final = {name: _make_packer(kind) for name, (kind, _) in _RECORDS.items()}
_UNPACKERS: Final = {
    name: _make_unpacker(kind, enums) for name, (kind, enums) in _RECORDS.items()
}
_CATALOG_TABLES: Final = (SETTINGS, ORGANISATIONS, KEYS, GROUPS, ROUTES)
_TABLES: Final = (MEMBERS, ZONES, NODES, DUTIES, TERMS, *_CATALOG_TABLES)


def pack_row(table: str, record: Any) -> Row:
    """Return the fields of a record, or a plain value, as CBOR has them."""
    pack = _PACKERS.get(table)
    return (record,) if pack is None else pack(record)


def list_tables(content: StoreContent) -> Tables:
    """Return the tables of a content."""
    catalog, fleet = content.catalog, content.fleet
    return {
        MEMBERS: {member.name: member for member in content.members},
        ZONES: dict.fromkeys(content.zones, True),
        NODES: {node.name: node for node in fleet.nodes},
        DUTIES: fleet.duties,
        TERMS: fleet.terms,
        SETTINGS: {IDLE_TRANSACTION: catalog.idle_transaction_ms},
        ORGANISATIONS: catalog.organisations,
        KEYS: {key: owner.name for key, owner in catalog.key_owners.items()},
        GROUPS: catalog.groups,
        ROUTES: catalog.routes,
    }


def find_changes(earlier: StoreContent, later: StoreContent) -> Iterator[TableChange]:
    """Yield what has changed, for `ROWS_PER_CHANGE` rows at a time.

    Changes without rows are yielded too, so that the caller can pause between them.
    """
    before, after = list_tables(earlier), list_tables(later)
    for table in _TABLES:
        if before[table] is after[table]:
            continue
        removed = list(before[table].keys() - after[table].keys())
        for start in range(0, len(removed), ROWS_PER_CHANGE):
            yield TableChange(table, {}, removed[start : start + ROWS_PER_CHANGE])
        yield from _find_changed_rows(table, before[table], after[table])


def _find_changed_rows(
    table: str, before: Mapping[Any, Any], after: Mapping[Any, Any]
) -> Iterator[TableChange]:
    rows: dict[Any, Row] = {}
    for number, (key, record) in enumerate(after.items(), 1):
        present = before.get(key)
        if present is not record and not _is_same(present, record):
            rows[key] = pack_row(table, record)
        if number % ROWS_PER_CHANGE == 0:
            yield TableChange(table, rows)
            rows = {}
    yield TableChange(table, rows)


def _is_same(first: Any, second: Any) -> bool:
    """Return whether two records have the same fields."""
    if isinstance(first, NodeRecord) and isinstance(second, NodeRecord):
        # Their equality leaves out the start time, which the digest has.
        return first == second and first.started_ms == second.started_ms
    return bool(first == second)


@attrs.define(eq=False)
class ContentBuilder:
    """Applies changes to a content; the content itself stays as it is.

    Parameters
    ----------
    base : StoreContent
        The content to which the changes apply.
    catalog_digest : int
        Digest of its configuration: the sum of those of the rows.
    """

    base: StoreContent
    catalog_digest: int
    tables: dict[str, dict[Any, Any]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.tables = {
            name: dict(table) for name, table in list_tables(self.base).items()
        }

    def apply(self, change: TableChange) -> None:
        """Apply a change.

        Raises
        ------
        KeyError, TypeError, ValueError
            If the change is malformed.
        """
        table = self.tables[change.table]
        unpack = _UNPACKERS.get(change.table, _unpack_value)
        for key in change.removed:
            if key in table:
                self._count(change.table, key, pack_row(change.table, table.pop(key)))
        for key, row in change.rows.items():
            if key in table:
                self._count(change.table, key, pack_row(change.table, table[key]))
            table[key] = unpack(row)
            self._count(change.table, key, row, sign=1)

    def build(self, version: int, fleet_revision: int) -> StoreContent:
        """Return the content after the changes.

        Parameters
        ----------
        version : int
            Version of the configuration.
        fleet_revision : int
            Revision of the store for the fleet's records.

        Raises
        ------
        KeyError
            If a key's organisation is missing.
        """
        tables = self.tables
        organisations = tables[ORGANISATIONS]
        catalog = Catalog(
            version,
            tables[ROUTES],
            organisations,
            {key: organisations[owner] for key, owner in tables[KEYS].items()},
            tables[GROUPS],
            tables[SETTINGS][IDLE_TRANSACTION],
        )
        fleet = FleetListing(
            tuple(tables[NODES].values()), tables[DUTIES], tables[TERMS], fleet_revision
        )
        members = tuple(tables[MEMBERS].values())
        return StoreContent(catalog, members, frozenset(tables[ZONES]), fleet)

    def _count(self, table: str, key: Any, row: Row, *, sign: int = -1) -> None:
        if table in _CATALOG_TABLES:
            digest = self.catalog_digest + sign * _digest_row(table, key, row)
            self.catalog_digest = digest % ROW_DIGEST_MODULUS


def _digest_row(table: str, key: Any, row: Row) -> int:
    data = cbor2.dumps([table, key, list(row)])
    return int.from_bytes(hashlib.blake2b(data, digest_size=ROW_DIGEST_BYTES).digest())


async def merge_catalog(
    earlier: Catalog, earlier_digest: int, later: Catalog
) -> tuple[Catalog, int]:
    """Return a configuration that shares unchanged rows with an earlier one.

    Parameters
    ----------
    earlier, later : Catalog
        The configurations.
    earlier_digest : int
        Digest of the earlier one; that of the later one is returned too.
    """
    base = StoreContent(catalog=earlier)
    builder = ContentBuilder(base, earlier_digest)
    async for change in pace(find_changes(base, StoreContent(catalog=later)), 1):
        builder.apply(change)
    return builder.build(later.version, 0).catalog, builder.catalog_digest
