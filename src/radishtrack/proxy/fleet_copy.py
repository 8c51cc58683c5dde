"""Copies of group records and of the list of nodes, for a node that starts.

While the platform is down, a starting node learns the endpoints and holders of
databases from its peers. The platform's records replace these copies later.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

from radishtrack._sealed import open_copy, seal_copy
from radishtrack.group.record import (
    GroupRecord,
    RecordError,
    format_record,
    parse_record,
)
from radishtrack.membership.nodes import Node

COPY_KIND: Final = "fleet"


@attrs.define(frozen=True)
class FleetCopy:
    """A peer's group records and nodes."""

    records: tuple[GroupRecord, ...]
    nodes: tuple[Node, ...]


def seal_fleet(
    records: Iterable[GroupRecord], nodes: Iterable[Node], secret: str
) -> bytes:
    """Return an authenticated copy for a starting peer."""
    value = {
        "groups": [
            [record.group.database, record.group.version, format_record(record)]
            for record in records
        ],
        "nodes": [attrs.asdict(node) for node in nodes],
    }
    return seal_copy(COPY_KIND, value, secret)


def open_fleet(data: bytes, secret: str) -> FleetCopy | None:
    """Return a peer's copy, or None if it is not authentic or can't be decoded."""
    value = open_copy(COPY_KIND, data, secret)
    if value is None:
        return None
    try:
        records = tuple(
            parse_record(str(database), int(version), encoded)
            for database, version, encoded in value["groups"]
        )
        nodes = tuple(Node(**fields) for fields in value["nodes"])
    except (KeyError, TypeError, ValueError, RecordError):
        return None
    return FleetCopy(records, nodes)
