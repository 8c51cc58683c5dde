"""Places the slots of databases on nodes by rendezvous hashing."""

from __future__ import annotations

import bisect
import hashlib
import heapq
from collections.abc import Iterable
from typing import Final

import attrs

from radishtrack.membership.nodes import Node

MIN_VOTERS: Final = 3
"""With fewer voters, one node's network problem could depose a primary."""

ZoneOrders = dict[str, list[str]]
"""Identifiers of a region's nodes for one database, best first, by zone."""


def compute_weight(database: str, node_id: str) -> int:
    """Return the rendezvous weight of a node for a database; the lowest is best."""
    content = f"{database}\0{node_id}".encode()
    return int.from_bytes(hashlib.blake2b(content, digest_size=8).digest(), "big")


def rank_nodes(
    database: str, region: str, count: int, nodes: Iterable[Node]
) -> tuple[str, ...]:
    """Return the first nodes of a database's placement order.

    Parameters
    ----------
    database : str
        Name of the database.
    region : str
        Region of the database.
    count : int
        Number of nodes wanted.
    nodes : iterable of Node
        All known nodes; those of other regions and leaving ones are passed over.

    Returns
    -------
    tuple of str
        Identifiers of nodes, fewer than `count` if there are not as many. The best
        node of every zone comes first, then the second best of every zone, and so on.
    """
    eligible = (node for node in nodes if node.region == region and not node.leaving)
    return _merge_zones(database, count, _order_zones(database, eligible))


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
    return rank_nodes(database, region, slots, nodes)


def rank_voters(
    database: str, region: str, slots: int, nodes: Iterable[Node]
) -> tuple[str, ...]:
    """Return the nodes that vote on a database's primary: the holders and at least 3.

    Parameters and order are as for `place_slots`.
    """
    return rank_nodes(database, region, max(MIN_VOTERS, slots), nodes)


@attrs.define
class Placement:
    """Placement of a changing membership view.

    Orders are kept for each database and zone, so that a node that comes or goes costs
    one search for each database instead of a hash for each database and node.
    """

    nodes: dict[str, Node] = attrs.field(factory=dict)
    orders: dict[tuple[str, str], ZoneOrders] = attrs.field(factory=dict)
    places: dict[tuple[str, str, int], tuple[str, ...]] = attrs.field(factory=dict)

    def place_slots(self, database: str, region: str, slots: int) -> tuple[str, ...]:
        """Return the nodes that hold a database's slots, best first."""
        return self._rank(database, region, slots)

    def rank_voters(self, database: str, region: str, slots: int) -> tuple[str, ...]:
        """Return the nodes that vote on a database's primary."""
        return self._rank(database, region, max(MIN_VOTERS, slots))

    def set_nodes(self, nodes: Iterable[Node]) -> bool:
        """Use another view; returns whether it differs from the present one."""
        present = {node.id: node for node in nodes if not node.leaving}
        gone = [old for key, old in self.nodes.items() if not _is_same(old, present)]
        new = [node for node in present.values() if not _is_same(node, self.nodes)]
        self.nodes = present
        for (database, region), zones in self.orders.items():
            for node in gone:
                if node.region == region:
                    zones[node.zone].remove(node.id)
            for node in new:
                if node.region == region:
                    _insert_node(database, zones.setdefault(node.zone, []), node.id)
        if gone or new:
            self.places.clear()
        return bool(gone or new)

    def forget_databases(self, known: Iterable[str]) -> None:
        """Drop what is kept for databases that are not among the `known`."""
        kept = set(known)
        self.orders = {key: o for key, o in self.orders.items() if key[0] in kept}
        self.places = {key: p for key, p in self.places.items() if key[0] in kept}

    def _rank(self, database: str, region: str, count: int) -> tuple[str, ...]:
        key = (database, region, count)
        place = self.places.get(key)
        if place is None:
            zones = self.orders.get((database, region))
            if zones is None:
                eligible = (n for n in self.nodes.values() if n.region == region)
                zones = _order_zones(database, eligible)
                self.orders[database, region] = zones
            place = self.places[key] = _merge_zones(database, count, zones)
        return place


def make_placement(nodes: Iterable[Node] = ()) -> Placement:
    """Return the placement of a membership view."""
    return Placement({node.id: node for node in nodes if not node.leaving})


def _order_zones(database: str, nodes: Iterable[Node]) -> ZoneOrders:
    zones: ZoneOrders = {}
    for node in nodes:
        zones.setdefault(node.zone, []).append(node.id)
    for order in zones.values():
        order.sort(key=lambda node_id: compute_weight(database, node_id))
    return zones


def _insert_node(database: str, order: list[str], node_id: str) -> None:
    bisect.insort(order, node_id, key=lambda other: compute_weight(database, other))


def _merge_zones(database: str, count: int, zones: ZoneOrders) -> tuple[str, ...]:
    heads = (
        (place, compute_weight(database, node_id), node_id)
        for order in zones.values()
        for place, node_id in enumerate(order[:count])
    )
    return tuple(node_id for _, _, node_id in heapq.nsmallest(count, heads))


def _is_same(node: Node, others: dict[str, Node]) -> bool:
    other = others.get(node.id)
    return other is not None and (node.zone, node.region) == (other.zone, other.region)
