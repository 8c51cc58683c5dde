"""Decides whether a member's log is known to have every acknowledged commit.

There are three proofs, of which any suffices:

- nodes: all nodes are known that may have acknowledged commits, and the log has what
  they tell;
- primary: the log has what the old primary had when no node acknowledged commits any
  more;
- members: all members are known that may have received commits, and enough of them are
  fenced to have every acknowledged commit between them.

The first two hold whoever has confirmed the commits, also a member that is on no list.
The third needs a list that has such a member. One that has started behind a cut from
the store may alone have received commits, and a node that does not respond, or whose
earlier process did not, may have acknowledged them. So the third proof has to wait
until the member must have registered. Then the log must also have what the nodes that
respond have certainly acknowledged.
"""

from __future__ import annotations

import enum
from typing import Final

from radishtrack.pooler.acknowledgements import FleetAcknowledgements
from radishtrack.session.position import Position

UNLISTED_WAIT_MS: Final = 6_200.0
"""Time after which no unlisted member is expected to appear: a cut from the store ends
within 5 s, and the member registers with its next heartbeat, 1.2 s later at most."""


class Proof(enum.Enum):
    """Why a log is known to have every acknowledged commit."""

    NODES = "nodes"
    PRIMARY = "primary"
    MEMBERS = "members"


def find_position_proof(
    position: Position,
    acknowledged: FleetAcknowledgements,
    contained_ms: float,
    final_position: Position | None,
) -> Proof | None:
    """Return what proves a log by its end alone, or None.

    Parameters
    ----------
    position : Position
        End of the log.
    acknowledged : FleetAcknowledgements
        What the nodes have acknowledged.
    contained_ms : float
        Time in milliseconds before which all acknowledged commits are known to be in
        the log.
    final_position : Position or None
        Position of the old primary after the last acknowledgement; None if unknown.
    """
    if acknowledged.is_covered(position, contained_ms):
        return Proof.NODES
    if final_position is not None and position >= final_position:
        return Proof.PRIMARY
    return None


def may_lack_commits(
    position: Position, acknowledged: FleetAcknowledgements, waited_ms: float
) -> bool:
    """Return whether a log that only the list of members proves may lack commits.

    Parameters
    ----------
    position : Position
        End of the log.
    acknowledged : FleetAcknowledgements
        What the nodes that respond have acknowledged.
    waited_ms : float
        Time in milliseconds from when the primary had to be replaced to when the list
        was read.
    """
    return waited_ms < UNLISTED_WAIT_MS or acknowledged.excludes(position)
