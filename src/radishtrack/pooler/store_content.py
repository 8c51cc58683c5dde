"""Describes what a copy of the store contains, by version and digests."""

from __future__ import annotations

import hashlib
from typing import Final

import attrs

from radishtrack.pooler.catalog import Member
from radishtrack.pooler.ports import FleetListing

DIGEST_BYTES: Final = 7
"""Size of a digest, which must fit into a signed integer of 64 bits."""


@attrs.frozen
class CopyContent:
    """What a copy of the store contains.

    Parameters
    ----------
    revision : int
        Store revision up to which the copy is complete.
    catalog : int
        Version of the configuration.
    members : int
        Digest of the list of members and of the evacuated zones.
    fleet : int
        Digest of nodes, duties and announced terms.
    """

    revision: int
    catalog: int
    members: int
    fleet: int


def digest_members(
    members: tuple[Member, ...], evacuated: frozenset[str] = frozenset()
) -> int:
    """Return a digest of members and evacuated zones, the same at all nodes.

    Without evacuated zones it is that of earlier versions of this program, so that
    nodes of both versions confirm each other's copies.
    """
    ordered = sorted(members, key=repr)
    return _digest((ordered, sorted(evacuated)) if evacuated else ordered)


def digest_fleet(listing: FleetListing) -> int:
    """Return a digest of the fleet's records, without the store's revision."""
    return _digest(
        (
            sorted(listing.nodes, key=repr),
            sorted(listing.duties.items()),
            sorted(listing.terms.items()),
        )
    )


def _digest(content: object) -> int:
    text = repr(content).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest())
