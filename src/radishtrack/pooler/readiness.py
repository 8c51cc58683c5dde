"""Whether a node should get new connections, and how it stops."""

from __future__ import annotations

from typing import Final

import attrs

KEEP_ACCEPTING_MS: Final = 2_600.0
"""The balancer asks once a second and takes a node out after two misses."""
FINISH_SHARE: Final = 0.5
"""Part of the grace period in which open transactions may end."""
EXIT_SHARE: Final = 0.8
"""Part of the grace period after which the process exits whatever is left, ahead of
the kill."""


@attrs.frozen
class StopPlan:
    """Times of a planned stop, in milliseconds.

    Parameters
    ----------
    accept_until_ms : float
        New connections are accepted until then.
    finish_until_ms : float
        Open transactions may go on until then.
    exit_ms : float
        The process exits at the latest then.
    """

    accept_until_ms: float
    finish_until_ms: float
    exit_ms: float


def make_stop_plan(now_ms: float, grace_ms: float) -> StopPlan:
    """Return the times of a stop that was asked for at `now_ms`."""
    finish_until_ms = now_ms + FINISH_SHARE * grace_ms
    return StopPlan(
        accept_until_ms=min(now_ms + KEEP_ACCEPTING_MS, finish_until_ms),
        finish_until_ms=finish_until_ms,
        exit_ms=now_ms + EXIT_SHARE * grace_ms,
    )
