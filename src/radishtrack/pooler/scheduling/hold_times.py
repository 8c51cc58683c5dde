"""How long connections are held, by kind of work, and how long the running work has."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import Final

import attrs

from radishtrack.pooler.scheduling.work import WorkKind

INITIAL_HOLD_MS: Final = {
    WorkKind.READ: 12.0,
    WorkKind.WRITE: 12.0,
    WorkKind.BEGIN: 60.0,
}
"""Before the first measurement: one statement, or a few statements with the client's
pauses between them."""
OWN_HOLD_MS: Final = 3.0
"""Time of a status poll, which needs no slot of the member."""
HOLD_SMOOTHING: Final = 0.1
"""Weight of the newest hold time in the moving average."""
MAX_SAMPLE_RATIO: Final = 4.0
"""A hold time counts as at most this many times the average. Otherwise one lost
response, which holds its connection up to the statement time limit, makes the estimate
refuse work that would start in time."""
BLOCKED_RATIO: Final = 5.0
"""A connection that is held for this many times the average is taken for blocked, most
likely by a lost response."""
MIN_BLOCKED_MS: Final = 60.0
"""Lower bound of that time; statements of up to 47 ms are usual."""


@attrs.frozen
class Running:
    """Started work.

    Parameters
    ----------
    organisation : str
        Organisation of the work.
    priority : int
        Priority; below 0 for the node's own statements.
    kind : enum.Enum or None
        What the connection is used for; None for the node's own statements.
    started_ms : float
        When it started.
    """

    organisation: str
    priority: int
    kind: enum.Enum | None
    started_ms: float


@attrs.define
class HoldTimes:
    """Moving averages of the time for which connections are held."""

    averages_ms: dict[enum.Enum, float] = attrs.field(factory=dict)

    def expected_ms(self, kind: enum.Enum | None) -> float:
        """Return for how long work of a kind is expected to hold its connection."""
        if kind is None:
            return OWN_HOLD_MS
        average_ms = self.averages_ms.get(kind)
        if average_ms is not None:
            return average_ms
        return INITIAL_HOLD_MS.get(kind, INITIAL_HOLD_MS[WorkKind.READ])  # type: ignore[call-overload, no-any-return]

    def record(self, kind: enum.Enum | None, hold_ms: float) -> None:
        """Record for how long a connection was held."""
        if kind is None:
            return
        average_ms = self.expected_ms(kind)
        sample_ms = min(hold_ms, MAX_SAMPLE_RATIO * average_ms)
        self.averages_ms[kind] = average_ms + HOLD_SMOOTHING * (sample_ms - average_ms)

    def blocked_after_ms(self, kind: enum.Enum | None) -> float:
        """Return the hold time from which a connection is taken for blocked."""
        return max(MIN_BLOCKED_MS, BLOCKED_RATIO * self.expected_ms(kind))

    def estimate_rest(
        self, running: Iterable[Running], connections: int, now_ms: float
    ) -> tuple[float, int]:
        """Return the time until a connection is free, and how many are not blocked.

        Parameters
        ----------
        running : iterable of Running
            Work on all connections.
        connections : int
            Number of connections.
        now_ms : float
            Current time.
        """
        usual_ms = 0.0
        usual = 0
        blocked_ms = float("inf")
        blocked = 0
        for work in running:
            held_ms = now_ms - work.started_ms
            if held_ms <= self.blocked_after_ms(work.kind):
                usual_ms += self.expected_ms(work.kind)
                usual += 1
            else:
                # The longer a response is overdue, the longer it is likely to stay so.
                blocked_ms = min(blocked_ms, held_ms)
                blocked += 1
        if usual + blocked < connections:
            return 0.0, max(1, connections - blocked)
        if usual:
            # The time that running work still needs is about its whole hold time,
            # since hold times vary widely; the first of several ends sooner.
            return usual_ms / usual / usual, usual
        return blocked_ms, 1
