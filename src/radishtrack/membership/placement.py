"""Places the slots of databases on nodes by rendezvous hashing."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Final

import attrs

from radishtrack.membership.nodes import Node

MIN_VOTERS: Final = 3
"""With fewer voters, one node's network problem could depose a primary."""


def rank_nodes(database: str, region: str, nodes: Iterable[Node]) -> tuple[str, ...]:
    """Return all nodes that may hold slots of a database, in placement order.

    Parameters
    ----------
    database : str
        Name of the database.
    region : str
        Region of the database.
    nodes : iterable of Node
        All known nodes; those of other regions and leaving ones are passed over.

    Returns
    -------
    tuple of str
        Identifiers of nodes. The best node of every zone comes first, then the second
        best of every zone, and so on, so that any prefix spreads over the zones.
    """
    by_zone: dict[str, list[tuple[bytes, Node]]] = {}
    for node in nodes:
        if node.region == region and not node.leaving:
            entry = (compute_weight(database, node.id), node)
            by_zone.setdefault(node.zone, []).append(entry)
    ranked: list[tuple[int, tuple[bytes, Node]]] = []
    for entries in by_zone.values():
        entries.sort(key=_get_weight, reverse=True)
        ranked.extend((place, entry) for place, entry in enumerate(entries))
    ranked.sort(key=lambda item: item[1][0], reverse=True)
    ranked.sort(key=lambda item: item[0])
    return tuple(entry[1].id for _, entry in ranked)


def place_slots(
    database: str, region: str, slots: int, nodes: Iterable[Node]
) -> tuple[str, ...]:
    """Return the nodes that hold a database's slots, best first.

    Parameters
    ----------
    database : str
        Name of the database.
    region : str
        Region of the database.
    slots : int
        Number of slots.
    nodes : iterable of Node
        All known nodes.

    Returns
    -------
    tuple of str
        Identifiers of `slots` nodes, or of all eligible nodes if there are fewer.
    """
    return rank_nodes(database, region, nodes)[:slots]


def rank_voters(
    database: str, region: str, slots: int, nodes: Iterable[Node]
) -> tuple[str, ...]:
    """Return the nodes that vote on a database's primary: the holders and at least 3.

    Parameters and order are as for `place_slots`.
    """
    return rank_nodes(database, region, nodes)[: max(MIN_VOTERS, slots)]


def compute_weight(database: str, node_id: str) -> bytes:
    """Return the rendezvous weight of a node for a database."""
    content = f"{database}\0{node_id}".encode()
    return hashlib.blake2b(content, digest_size=8).digest()


def _get_weight(entry: tuple[bytes, Node]) -> bytes:
    return entry[0]


@attrs.define
class Placement:
    """Placement orders of one membership view, computed when first asked for."""

    nodes: tuple[Node, ...]
    orders: dict[tuple[str, str], tuple[str, ...]] = attrs.field(factory=dict)

    def place_slots(self, database: str, region: str, slots: int) -> tuple[str, ...]:
        """Return the nodes that hold a database's slots, best first."""
        return self._get_order(database, region)[:slots]

    def rank_voters(self, database: str, region: str, slots: int) -> tuple[str, ...]:
        """Return the nodes that vote on a database's primary."""
        return self._get_order(database, region)[: max(MIN_VOTERS, slots)]

    def set_nodes(self, nodes: Iterable[Node]) -> None:
        """Use another view; nothing is recomputed if it is the same."""
        changed = tuple(nodes)
        if changed != self.nodes:
            self.nodes = changed
            self.orders.clear()

    def _get_order(self, database: str, region: str) -> tuple[str, ...]:
        key = (database, region)
        order = self.orders.get(key)
        if order is None:
            order = self.orders[key] = rank_nodes(database, region, self.nodes)
        return order


def make_placement(nodes: Iterable[Node] = ()) -> Placement:
    """Return the placement of a membership view."""
    return Placement(tuple(nodes))
