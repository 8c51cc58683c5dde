"""Ranks the nodes for a duty; each node waits for those before it to take the duty."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Final

from radishtrack.pooler.catalog import NodeRecord

LARGE_NODE_FRACTION: Final = 0.5
"""Nodes with at least this fraction of the most cores rank before the others. After a
loss of power, all nodes connect to the holder of a duty at once, which takes a small
node of a large fleet more than a second; over a small link, content takes longer."""


def find_first(duty: str, nodes: Iterable[NodeRecord]) -> NodeRecord | None:
    """Return the node that ranks first for a duty; None if there are no nodes."""
    ranked = rank_nodes(duty, nodes)
    return ranked[0] if ranked else None


def rank_nodes(
    duty: str, nodes: Iterable[NodeRecord], first: str = ""
) -> list[NodeRecord]:
    """Return the nodes in their order for a duty: large ones before small ones.

    Parameters
    ----------
    duty : str
        Name that determines the order; each duty has a different one.
    nodes : iterable of NodeRecord
        All nodes.
    first : str
        Name of a node that comes before all others.
    """
    candidates = list(nodes)
    most_cores = max((node.cores for node in candidates), default=0.0)

    def order(node: NodeRecord) -> tuple[bool, bool, int]:
        is_small = node.cores < LARGE_NODE_FRACTION * most_cores
        hashed = zlib.crc32(f"{duty}/{node.name}".encode())
        return node.name != first, is_small, hashed

    return sorted(candidates, key=order)


def rank_node(
    name: str, duty: str, nodes: Iterable[NodeRecord], first: str = ""
) -> int:
    """Return a node's rank for a duty, from 0.

    Returns
    -------
    int
        The rank; the number of nodes if the node is not among them.
    """
    names = [node.name for node in rank_nodes(duty, nodes, first)]
    return names.index(name) if name in names else len(names)
