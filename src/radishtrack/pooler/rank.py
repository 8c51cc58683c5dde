"""An order of the nodes in which they take up a duty, one after the other."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from radishtrack.pooler.catalog import NodeRecord


def rank_node(
    name: str, duty: str, nodes: Iterable[NodeRecord], first: str = ""
) -> int:
    """Return a node's place in the order for a duty.

    Parameters
    ----------
    name : str
        The node.
    duty : str
        What has to be done; each duty has an order of its own.
    nodes : iterable of NodeRecord
        All nodes.
    first : str
        A node that comes before all others.
    """
    names = sorted(
        (node.name for node in nodes),
        key=lambda other: (other != first, zlib.crc32(f"{duty}/{other}".encode())),
    )
    return names.index(name) if name in names else len(names)
