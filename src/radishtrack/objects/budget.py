"""Call budget of a process at the platform, and backoff after failed calls."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Final

import attrs

DEFAULT_RATE_PER_S: Final = 20.0
DEFAULT_BURST_CALLS: Final = 40.0
INITIAL_BACKOFF_MS: Final = 50.0
MAX_BACKOFF_MS: Final = 10_000.0
MS_PER_S: Final = 1000.0

Random = Callable[[], float]
"""Returns numbers in [0, 1), like `random.random`."""


class Priority(enum.Enum):
    """Priority of a call; its value is the share of the burst left to other calls."""

    PROMOTION = -1.0
    """May overdraw the budget by one burst; the debt delays all other calls."""
    NORMAL = 0.0
    BACKGROUND = 0.5

    @property
    def reserve(self) -> float:
        """Share of the burst that must remain after the call."""
        return self.value


@attrs.define
class CallBudget:
    """Token bucket for the calls of one process.

    Parameters
    ----------
    rate_per_s : float
        Calls per second on average.
    burst_calls : float
        Capacity of the bucket.
    tokens : float
        Calls left; negative after promotion calls have overdrawn the budget.
    updated_ms : float
        Time of the last refill, in milliseconds.
    """

    rate_per_s: float = DEFAULT_RATE_PER_S
    burst_calls: float = DEFAULT_BURST_CALLS
    tokens: float = attrs.field(
        default=attrs.Factory(lambda self: self.burst_calls, takes_self=True)
    )
    updated_ms: float = 0.0


def acquire_call(budget: CallBudget, priority: Priority, now_ms: float) -> float:
    """Consume a token for one call if the budget allows the call now.

    Returns
    -------
    float
        0 if the call may be made, otherwise the time in milliseconds until it may;
        no token is consumed then.
    """
    elapsed_ms = max(0.0, now_ms - budget.updated_ms)
    refilled_tokens = elapsed_ms * budget.rate_per_s / MS_PER_S
    budget.tokens = min(budget.burst_calls, budget.tokens + refilled_tokens)
    budget.updated_ms = max(budget.updated_ms, now_ms)
    missing_tokens = priority.reserve * budget.burst_calls + 1.0 - budget.tokens
    # The tolerance keeps rounding errors of the refill from delaying a call.
    if missing_tokens > 1e-9:
        return missing_tokens * MS_PER_S / budget.rate_per_s
    budget.tokens -= 1.0
    return 0.0


def backoff_ms(failures: int, random: Random) -> float:
    """Return the delay before the next attempt, in milliseconds.

    Parameters
    ----------
    failures : int
        Consecutive failures, at least 1.
    random : callable
        Random source. Jitter over half of the delay keeps nodes from retrying at the
        same time after an outage.
    """
    doublings = min(failures - 1, 16)
    max_delay_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0**doublings)
    return max_delay_ms * (0.5 + random() / 2)
