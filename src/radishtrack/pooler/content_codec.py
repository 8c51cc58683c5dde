"""Encodes the parts of a store copy that nodes take from each other."""

from __future__ import annotations

from typing import Final

import attrs
import cbor2

from radishtrack.group.status import Role
from radishtrack.pooler.catalog import (
    Catalog,
    GroupSettings,
    Member,
    NodeRecord,
    Organisation,
    ReadClass,
    Route,
)
from radishtrack.pooler.ports import Duty, FleetListing

ROUTE_CLASS: Final = 2
"""Position of the read class in the fields of a route."""
MEMBER_ROLE: Final = 7
"""Position of the role in the fields of a member."""
MEMBERS_KEY: Final = "members"
EVACUATED_KEY: Final = "evacuated"
"""Keys of the members' part of a copy if zones are evacuated."""

_MALFORMED: Final = (
    cbor2.CBORDecodeError,
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    AttributeError,
)


class ContentError(ValueError):
    """Raised for bytes that are not the expected part of a store copy."""


def encode_catalog(catalog: Catalog) -> bytes:
    """Return the bytes of a configuration."""
    names = list(catalog.organisations)
    numbers = {name: number for number, name in enumerate(names)}
    routes = [list(attrs.astuple(route)) for route in catalog.routes.values()]
    for fields in routes:
        fields[ROUTE_CLASS] = fields[ROUTE_CLASS].value
    return cbor2.dumps(
        [
            catalog.version,
            routes,
            [attrs.astuple(catalog.organisations[name]) for name in names],
            {key: numbers[owner.name] for key, owner in catalog.key_owners.items()},
            [attrs.astuple(group) for group in catalog.groups.values()],
            catalog.idle_transaction_ms,
        ]
    )


def decode_catalog(data: bytes) -> Catalog:
    """Return the configuration in `data`.

    Raises
    ------
    ContentError
        If it is malformed.
    """
    try:
        version, routes, organisations, keys, groups, idle_ms = cbor2.loads(data)
        parsed = [Organisation(*fields) for fields in organisations]
        for fields in routes:
            fields[ROUTE_CLASS] = ReadClass(fields[ROUTE_CLASS])
        parsed_routes = [Route(*fields) for fields in routes]
        parsed_groups = [GroupSettings(*fields) for fields in groups]
        return Catalog(
            int(version),
            {route.database: route for route in parsed_routes},
            {organisation.name: organisation for organisation in parsed},
            {key: parsed[number] for key, number in keys.items()},
            {group.name: group for group in parsed_groups},
            float(idle_ms),
        )
    except _MALFORMED as error:
        raise ContentError(f"configuration: {error!r}") from error


def encode_members(
    members: tuple[Member, ...], evacuated: frozenset[str] = frozenset()
) -> bytes:
    """Return the bytes of a list of members and of the evacuated zones.

    Without evacuated zones they are those of earlier versions of this program.
    """
    rows = [list(attrs.astuple(member)) for member in members]
    for fields in rows:
        fields[MEMBER_ROLE] = fields[MEMBER_ROLE].value
    if evacuated:
        return cbor2.dumps({MEMBERS_KEY: rows, EVACUATED_KEY: sorted(evacuated)})
    return cbor2.dumps(rows)


def decode_members(data: bytes) -> tuple[tuple[Member, ...], frozenset[str]]:
    """Return the members and the evacuated zones in `data`.

    Raises
    ------
    ContentError
        If it is malformed.
    """
    try:
        rows = cbor2.loads(data)
        zones: list[str] = []
        if isinstance(rows, dict):
            rows, zones = rows[MEMBERS_KEY], rows[EVACUATED_KEY]
        for fields in rows:
            fields[MEMBER_ROLE] = Role(fields[MEMBER_ROLE])
        members = tuple(Member(*fields) for fields in rows)
        return members, frozenset(str(zone) for zone in zones)
    except _MALFORMED as error:
        raise ContentError(f"members: {error!r}") from error


def encode_fleet(fleet: FleetListing) -> bytes:
    """Return the bytes of the fleet's records."""
    return cbor2.dumps(
        [
            [attrs.astuple(node) for node in fleet.nodes],
            {name: attrs.astuple(duty) for name, duty in fleet.duties.items()},
            dict(fleet.terms),
            fleet.revision,
        ]
    )


def decode_fleet(data: bytes) -> FleetListing:
    """Return the records in `data`; raises `ContentError` if it is malformed."""
    try:
        nodes, duties, terms, revision = cbor2.loads(data)
        return FleetListing(
            tuple(NodeRecord(*fields) for fields in nodes),
            {name: Duty(*fields) for name, fields in duties.items()},
            {str(name): int(term) for name, term in terms.items()},
            int(revision),
        )
    except _MALFORMED as error:
        raise ContentError(f"fleet: {error!r}") from error
