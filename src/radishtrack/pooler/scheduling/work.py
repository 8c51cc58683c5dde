"""What the order of waiting work depends on."""

from __future__ import annotations

import enum

import attrs

from radishtrack.pooler.catalog import Route


class WorkKind(enum.Enum):
    """What a connection is needed for; connections are held for different times."""

    READ = "read"
    """One read."""
    BEGIN = "begin"
    """A transaction, including the client's pauses between its statements."""
    WRITE = "write"
    """One write."""


@attrs.frozen
class Work:
    """Work of a client that needs a connection to a member.

    Parameters
    ----------
    priority : int
        Priority of the route; 0 is the most urgent.
    objective_until_ms : float
        Time until which the work can meet its latency objective.
    kind : WorkKind
        What the connection is needed for.
    """

    priority: int
    objective_until_ms: float
    kind: WorkKind


def make_work(route: Route, kind: WorkKind, started_ms: float) -> Work:
    """Return the work of a statement that arrived at `started_ms`."""
    return Work(route.priority, started_ms + route.objective_ms, kind)
