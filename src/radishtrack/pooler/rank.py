"""Ranks the nodes for a duty; each node waits for those before it to take the duty."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from radishtrack.pooler.catalog import NodeRecord


def find_first(duty: str, nodes: Iterable[NodeRecord]) -> NodeRecord | None:
    """Return the node that ranks first for a duty; None if there are no nodes."""
    return min(nodes, key=lambda node: _rank_key(duty, node.name), default=None)


def _rank_key(duty: str, name: str) -> int:
    return zlib.crc32(f"{duty}/{name}".encode())


def rank_node(
    name: str, duty: str, nodes: Iterable[NodeRecord], first: str = ""
) -> int:
    """Return a node's rank for a duty, from 0.

    Parameters
    ----------
    name : str
        The node.
    duty : str
        Name that determines the order; each duty has a different one.
    nodes : iterable of NodeRecord
        All nodes.
    first : str
        Name of a node that comes before all others.

    Returns
    -------
    int
        The rank; the number of nodes if the node is not among them.
    """
    names = sorted(
        (node.name for node in nodes),
        key=lambda other: (other != first, _rank_key(duty, other)),
    )
    return names.index(name) if name in names else len(names)
