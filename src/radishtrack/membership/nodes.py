"""The view of the fleet: the platform's lagging list and what peers report."""

from __future__ import annotations

from typing import Final

import attrs

REFUSED_CONNECTION_VALID_MS: Final = 10_000.0
"""A refused connection counts for so long: the platform's list lags by seconds."""

LEAVING_VALID_MS: Final = 120_000.0
"""A node that announced its stop and is still listed after this has been restarted
under the same identifier: the drain deadline is 30 s."""


@attrs.define(frozen=True)
class Node:
    """A node as placement sees it.

    Parameters
    ----------
    id : str
        Identifier of the node.
    zone : str
        Its availability zone.
    region : str
        Its region.
    peer_address : str
        Where peers reach it, as ``host:port``.
    leaving : bool
        Whether it takes no new work.
    """

    id: str
    zone: str
    region: str
    peer_address: str = ""
    leaving: bool = False
