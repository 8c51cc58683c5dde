"""Decides which idle connections a node closes, and when."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from radishtrack.pooler.connections.allowance import ConnectionBudget

LONG_IDLE_MS: Final = 5_000.0
"""Idle time while connections are plentiful. Of the organisations with a few statements
per second at all nodes, the next one comes to this node in some seconds."""
SHORT_IDLE_MS: Final = 250.0
"""Idle time while the member is nearly full. It covers the pause between statements of
one client, and is below the interval between reports."""
PLENTIFUL_FRACTION: Final = 0.4
"""Fraction of the usable connections up to which they are plentiful."""
NEARLY_FULL_FRACTION: Final = 0.7
"""Fraction of the usable connections from which a member is nearly full."""
USE_DECAY_MS: Final = 20_000.0
"""Time constant of the count of an organisation's statements."""
MAX_ORGANISATIONS: Final = 1_000
"""Number of organisations whose use is recorded."""


@attrs.frozen
class IdleConnection:
    """An idle connection.

    Parameters
    ----------
    organisation : str
        Organisation to which the connection belongs.
    since_ms : float
        When it became idle.
    """

    organisation: str
    since_ms: float


@attrs.define
class OrganisationUse:
    """How often each organisation has used a member's connections at this node."""

    weights: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    """Decaying number of uses and the time of the last one, by organisation."""

    def record(self, organisation: str, now_ms: float) -> None:
        """Count one use."""
        weight = self.weight(organisation, now_ms) + 1.0
        self.weights.pop(organisation, None)
        self.weights[organisation] = (weight, now_ms)
        if len(self.weights) > MAX_ORGANISATIONS:
            del self.weights[next(iter(self.weights))]

    def weight(self, organisation: str, now_ms: float) -> float:
        """Return the decayed number of uses."""
        weight, at_ms = self.weights.get(organisation, (0.0, now_ms))
        return weight * math.exp((at_ms - now_ms) / USE_DECAY_MS)

    def expected_gap_ms(self, organisation: str, now_ms: float) -> float:
        """Return the expected time to the organisation's next statement."""
        weight = self.weight(organisation, now_ms)
        return USE_DECAY_MS / weight if weight > 0 else math.inf

    def is_worth_keeping(
        self, organisation: str, idle_ms: float, now_ms: float
    ) -> bool:
        """Return whether the next statement is expected within an idle time."""
        return self.expected_gap_ms(organisation, now_ms) <= idle_ms


def decide_idle_time_ms(capacity: ConnectionBudget, connections: int) -> float:
    """Return how long a connection beyond the equal share may be idle.

    It falls linearly while the member fills up, so that the number of idle connections
    settles instead of alternating between two values.
    """
    used = connections / max(1, capacity.usable)
    if used > 1.0:
        return 0.0
    fullness = (used - PLENTIFUL_FRACTION) / (NEARLY_FULL_FRACTION - PLENTIFUL_FRACTION)
    fullness = min(1.0, max(0.0, fullness))
    return LONG_IDLE_MS + fullness * (SHORT_IDLE_MS - LONG_IDLE_MS)


def find_rarest(
    idle: Iterable[IdleConnection], use: OrganisationUse, now_ms: float
) -> int:
    """Return the index of the connection to close first; `idle` is not empty."""
    ranked = [
        (use.weight(connection.organisation, now_ms), connection.since_ms, index)
        for index, connection in enumerate(idle)
    ]
    return min(ranked)[2]


def find_expired(
    idle: Sequence[IdleConnection],
    use: OrganisationUse,
    *,
    idle_ms: float,
    kept: int,
    now_ms: float,
) -> list[int]:
    """Return the indices of the connections to close.

    Parameters
    ----------
    idle : sequence
        The idle connections.
    use : OrganisationUse
        Use by organisation.
    idle_ms : float
        Longest idle time, which applies to organisations whose next statement is
        expected within it. Connections of others are closed after `SHORT_IDLE_MS`.
    kept : int
        Idle connections that stay open however long they are idle.
    now_ms : float
        Current time in milliseconds.
    """
    order = sorted(
        (use.weight(connection.organisation, now_ms), connection.since_ms, index)
        for index, connection in enumerate(idle)
    )
    closable = (index for _, _, index in order[: max(0, len(order) - kept)])

    def is_expired(connection: IdleConnection) -> bool:
        limit_ms = idle_ms
        if not use.is_worth_keeping(connection.organisation, idle_ms, now_ms):
            limit_ms = min(idle_ms, SHORT_IDLE_MS)
        return now_ms - connection.since_ms >= limit_ms

    return [index for index in closable if is_expired(idle[index])]
