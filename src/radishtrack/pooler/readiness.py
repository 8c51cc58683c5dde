"""Times of a node's planned stop."""

from __future__ import annotations

from typing import Final

import attrs

KEEP_ACCEPTING_MS: Final = 2_600.0
"""Time for which a stopping node accepts connections. The load balancer probes once a
second and removes a node after two failed probes."""
FINISH_FRACTION: Final = 0.5
"""Fraction of the grace period in which open transactions may finish."""
CLOSE_FRACTION: Final = 0.8
"""Fraction of the grace period after which connections of clients that send nothing are
closed, even inside a transaction."""
ANSWER_FRACTION: Final = 0.9
"""Fraction of the grace period after which statements that still run are answered
without the member's response."""
EXIT_FRACTION: Final = 0.95
"""Fraction of the grace period after which the process exits in any case, to precede
the kill."""


@attrs.frozen
class StopPlan:
    """Times of a planned stop, in milliseconds.

    Parameters
    ----------
    accept_until_ms : float
        End of accepting new connections.
    finish_until_ms : float
        End of the time for open transactions to finish; statements that come later are
        not sent to members.
    close_ms : float
        When connections without a running statement are closed.
    answer_ms : float
        When the statements that still run are answered.
    exit_ms : float
        Latest time at which the process exits.
    """

    accept_until_ms: float
    finish_until_ms: float
    close_ms: float
    answer_ms: float
    exit_ms: float


def make_stop_plan(now_ms: float, grace_ms: float) -> StopPlan:
    """Return the times of a stop that was requested at `now_ms`."""
    finish_until_ms = now_ms + FINISH_FRACTION * grace_ms
    return StopPlan(
        accept_until_ms=min(now_ms + KEEP_ACCEPTING_MS, finish_until_ms),
        finish_until_ms=finish_until_ms,
        close_ms=now_ms + CLOSE_FRACTION * grace_ms,
        answer_ms=now_ms + ANSWER_FRACTION * grace_ms,
        exit_ms=now_ms + EXIT_FRACTION * grace_ms,
    )
