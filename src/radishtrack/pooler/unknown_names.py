"""Decides when a name that the configuration lacks is worth another look.

Clients with withdrawn keys retry continually and at all nodes, so looking up each of
their names made half of the fleet's calls of the store.
"""

from __future__ import annotations

from typing import Final

import attrs

from radishtrack.pooler.catalog import Catalog

LOOKUP_SPACING_MS: Final = 1_000.0
"""Smallest interval between lookups of one node; a new name reaches every node within
1.3 s in any case."""
MAX_UNKNOWN_NAMES: Final = 1_000
"""Number of unknown names that are remembered."""
MAX_REMOVED_NAMES: Final = 20_000
"""Number of removed names that are remembered."""

ClientName = tuple[str, bytes | None]
"""Database that a client asks for, and the digest of its key."""


@attrs.define
class UnknownNames:
    """Names that one node has looked up in vain, or that were removed."""

    versions: dict[ClientName, int] = attrs.field(factory=dict)
    """Version of the configuration that lacked a name."""
    removed: set[str | bytes] = attrs.field(factory=set)
    """Databases and digests of keys that were removed and not brought back."""
    looked_up_ms: float = -LOOKUP_SPACING_MS

    def start_lookup(self, name: ClientName, version: int, now_ms: float) -> bool:
        """Return whether to look up a name now, and count the lookup if so.

        Parameters
        ----------
        name : tuple
            The database and the digest of the key.
        version : int
            Version of the configuration that lacks it.
        now_ms : float
            Current time in milliseconds.
        """
        if self.versions.get(name) == version or not self.removed.isdisjoint(name):
            return False
        if now_ms - self.looked_up_ms < LOOKUP_SPACING_MS:
            return False
        self.looked_up_ms = now_ms
        return True

    def record(self, name: ClientName, version: int) -> None:
        """Record that a version lacks a name."""
        if len(self.versions) >= MAX_UNKNOWN_NAMES:
            self.versions.clear()
        self.versions[name] = version

    def apply(self, earlier: Catalog, later: Catalog) -> None:
        """Record the names that a new version has removed or brought back."""
        for before, after in (
            (earlier.routes, later.routes),
            (earlier.key_owners, later.key_owners),
        ):
            self.removed |= before.keys() - after.keys()
            self.removed -= after.keys()
        if len(self.removed) > MAX_REMOVED_NAMES:
            self.removed.clear()
