"""Keeps earlier parts of a node's copy of the store, to send differences from them."""

from __future__ import annotations

from typing import Any, Final

import attrs

from radishtrack.pooler.catalog import Catalog, Member
from radishtrack.pooler.content_difference import StoreContent
from radishtrack.pooler.content_stream import Bases
from radishtrack.pooler.ports import FleetListing

MAX_EARLIER_PARTS: Final = 6
"""Number of contents of a part that are kept. Unchanged rows are shared by them; a node
that lacks more changes gets the whole part."""


@attrs.define(eq=False)
class ContentHistory:
    """The latest contents of each part, by version or digest."""

    catalogs: dict[int, Catalog] = attrs.field(factory=dict)
    members: dict[int, tuple[tuple[Member, ...], frozenset[str]]] = attrs.field(
        factory=dict
    )
    fleets: dict[int, FleetListing] = attrs.field(factory=dict)

    def add_catalog(self, catalog: Catalog) -> None:
        """Add a configuration."""
        _add(self.catalogs, catalog.version, catalog)

    def add_members(
        self, digest: int, members: tuple[Member, ...], zones: frozenset[str]
    ) -> None:
        """Add the members and evacuated zones with a digest."""
        _add(self.members, digest, (members, zones))

    def add_fleet(self, digest: int, fleet: FleetListing) -> None:
        """Add the fleet's records with a digest."""
        _add(self.fleets, digest, fleet)

    def find(self, wanted: Bases) -> tuple[Bases, StoreContent]:
        """Return the parts that are kept of a content; the others are empty.

        Returns
        -------
        Bases, StoreContent
            Which parts were found, and their content.
        """
        bases, content = Bases(), StoreContent()
        if (catalog := self.catalogs.get(wanted.catalog)) is not None:
            bases = attrs.evolve(bases, catalog=wanted.catalog)
            content = attrs.evolve(content, catalog=catalog)
        if (listed := self.members.get(wanted.members)) is not None:
            bases = attrs.evolve(bases, members=wanted.members)
            content = attrs.evolve(content, members=listed[0], zones=listed[1])
        if (fleet := self.fleets.get(wanted.fleet)) is not None:
            bases = attrs.evolve(bases, fleet=wanted.fleet)
            content = attrs.evolve(content, fleet=fleet)
        return bases, content


def _add(parts: dict[int, Any], identity: int, part: object) -> None:
    parts.pop(identity, None)
    parts[identity] = part
    while len(parts) > MAX_EARLIER_PARTS:
        del parts[next(iter(parts))]
