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
"""With fewer voters, one node's network problem could cause a promotion."""

ZoneOrders = dict[str, list[str]]
"""Identifiers of a region's nodes for one database, best first, by zone."""


def compute_weight(database: str, node_id: str) -> int:
    """Return the rendezvous weight of a node for a database; the lowest is best."""
    hashed_key = f"{database}\0{node_id}".encode()
    return int.from_bytes(hashlib.blake2b(hashed_key, digest_size=8).digest(), "big")


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
        Number of nodes to return.
    nodes : iterable of Node
        All known nodes; those of other regions and leaving ones are skipped.

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
    """Return the nodes that vote on a database's primary.

    They are the holders, and other nodes up to `MIN_VOTERS` if there are fewer holders.

    Parameters and order are as for `place_slots`.
    """
    return rank_nodes(database, region, max(MIN_VOTERS, slots), nodes)


@attrs.define
class Placement:
    """Placement of a changing membership view.

    Orders are cached for each database and zone, so that adding or removing a node
    costs one search per database instead of one hash per database and node.
    """

    nodes: dict[str, Node] = attrs.field(factory=dict)
    orders: dict[tuple[str, str], ZoneOrders] = attrs.field(factory=dict)
    rankings: dict[tuple[str, str, int], tuple[str, ...]] = attrs.field(factory=dict)

    def place_slots(self, database: str, region: str, slots: int) -> tuple[str, ...]:
        """Return the nodes that hold a database's slots, best first."""
        return self._rank(database, region, slots)

    def rank_voters(self, database: str, region: str, slots: int) -> tuple[str, ...]:
        """Return the nodes that vote on a database's primary."""
        return self._rank(database, region, max(MIN_VOTERS, slots))

    def set_nodes(self, nodes: Iterable[Node]) -> bool:
        """Replace the view; return whether a node joined, left or changed zone."""
        present = {node.id: node for node in nodes if not node.leaving}
        removed = [old for key, old in self.nodes.items() if not _is_same(old, present)]
        added = [node for node in present.values() if not _is_same(node, self.nodes)]
        self.nodes = present
        for (database, region), zones in self.orders.items():
            for node in removed:
                if node.region == region:
                    zones[node.zone].remove(node.id)
            for node in added:
                if node.region == region:
                    _insert_node(database, zones.setdefault(node.zone, []), node.id)
        if removed or added:
            self.rankings.clear()
        return bool(removed or added)

    def retain_databases(self, names: Iterable[str]) -> None:
        """Drop the cached orders of all databases that are not among `names`."""
        kept = set(names)
        self.orders = {key: o for key, o in self.orders.items() if key[0] in kept}
        self.rankings = {key: p for key, p in self.rankings.items() if key[0] in kept}

    def _rank(self, database: str, region: str, count: int) -> tuple[str, ...]:
        key = (database, region, count)
        ranking = self.rankings.get(key)
        if ranking is None:
            zones = self.orders.get((database, region))
            if zones is None:
                eligible = (n for n in self.nodes.values() if n.region == region)
                zones = _order_zones(database, eligible)
                self.orders[database, region] = zones
            ranking = self.rankings[key] = _merge_zones(database, count, zones)
        return ranking


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
    candidates = (
        (rank, compute_weight(database, node_id), node_id)
        for order in zones.values()
        for rank, node_id in enumerate(order[:count])
    )
    return tuple(node_id for _, _, node_id in heapq.nsmallest(count, candidates))


def _is_same(node: Node, others: dict[str, Node]) -> bool:
    other = others.get(node.id)
    return other is not None and (node.zone, node.region) == (other.zone, other.region)
