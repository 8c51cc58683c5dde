"""What the nodes of a fleet have acknowledged to clients, as a promotion needs it.

A member confirms a commit without telling which replica has received it, and the
position in its response may include commits of others that no replica has received yet.
So the position of the newest acknowledged commit is known by two bounds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

import attrs

from radishtrack.session.position import Position

NO_POSITION: Final = Position(0, 0)


@attrs.frozen
class AcknowledgedRange:
    """Bounds of the position of the newest acknowledged commit.

    Parameters
    ----------
    least : Position
        Position that the commit has at least; a log that ends before it lacks the
        commit.
    most : Position
        Position that contains the commit, and all that were acknowledged before it.
    """

    least: Position = NO_POSITION
    most: Position = NO_POSITION

    def extend(self, other: AcknowledgedRange) -> AcknowledgedRange:
        """Return the bounds for the commits of both ranges."""
        return AcknowledgedRange(
            max(self.least, other.least), max(self.most, other.most)
        )


def locate_commit(
    term: int, before: Position | None, after: Position | None
) -> AcknowledgedRange:
    """Return the bounds of a commit's position.

    Parameters
    ----------
    term : int
        Term of the primary that committed.
    before : Position or None
        A position that the primary's log contained before the commit was sent.
    after : Position or None
        Position in the response to the commit.
    """
    least = Position(term, 0)
    if before is not None and before.term == term:
        least = Position(term, before.sequence + 1)
    most = least if after is None else after
    return AcknowledgedRange(min(least, most), most)


@attrs.frozen
class NodeAcknowledgements:
    """What one node has acknowledged of a group's commits.

    Parameters
    ----------
    commits : AcknowledgedRange
        Bounds of its newest acknowledged commit.
    since_ms : float
        Time since which its process runs, by the clock of the node that asked; infinite
        if an earlier process may have acknowledged commits until now.
    """

    commits: AcknowledgedRange
    since_ms: float


@attrs.frozen
class FleetAcknowledgements:
    """What all nodes together have acknowledged of a group's commits.

    Parameters
    ----------
    commits : AcknowledgedRange
        Bounds of the newest acknowledged commit that is known.
    since_ms : float
        Time from which on no other commits were acknowledged; infinite if a node has
        not responded.
    """

    commits: AcknowledgedRange
    since_ms: float

    def excludes(self, position: Position) -> bool:
        """Return whether a log that ends at a position lacks an acknowledged commit."""
        return position < self.commits.least

    def is_covered(self, position: Position, contained_ms: float) -> bool:
        """Return whether a log contains all commits that any node has acknowledged.

        Parameters
        ----------
        position : Position
            End of the log.
        contained_ms : float
            Time before which all acknowledged commits are known to be in the log.
        """
        return position >= self.commits.most and self.since_ms <= contained_ms


def merge_acknowledgements(
    nodes: Iterable[NodeAcknowledgements],
) -> FleetAcknowledgements:
    """Return what several nodes have acknowledged together."""
    commits, since_ms = AcknowledgedRange(), -math.inf
    for node in nodes:
        commits = commits.extend(node.commits)
        since_ms = max(since_ms, node.since_ms)
    return FleetAcknowledgements(commits, since_ms)
