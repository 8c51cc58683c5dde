"""When a process may call the platform: call budget and backoff."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Final

import attrs

DEFAULT_RATE_PER_S: Final = 20.0
DEFAULT_BURST_CALLS: Final = 40.0
FIRST_BACKOFF_MS: Final = 50.0
LONGEST_BACKOFF_MS: Final = 10_000.0
MILLISECONDS_PER_SECOND: Final = 1000.0

Random = Callable[[], float]
"""Returns numbers in [0, 1), like `random.random`."""


class Priority(enum.Enum):
    """Importance of a call, with the share of the burst that it leaves to others."""

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
    """Token bucket of one process.

    Parameters
    ----------
    rate_per_s : float
        Calls per second on average.
    burst_calls : float
        Calls that can be made at once.
    tokens : float
        Calls left; negative while promotion calls have overdrawn the budget.
    updated_ms : float
        Time up to which `tokens` has been refilled, in milliseconds.
    """

    rate_per_s: float = DEFAULT_RATE_PER_S
    burst_calls: float = DEFAULT_BURST_CALLS
    tokens: float = attrs.field(
        default=attrs.Factory(lambda self: self.burst_calls, takes_self=True)
    )
    updated_ms: float = 0.0


def take_call(budget: CallBudget, priority: Priority, now_ms: float) -> float:
    """Take one call from the budget if it is allowed now.

    Returns
    -------
    float
        0 if the call was taken, otherwise the time in milliseconds after which to ask
        again; nothing was taken then.
    """
    elapsed_ms = max(0.0, now_ms - budget.updated_ms)
    refill = elapsed_ms * budget.rate_per_s / MILLISECONDS_PER_SECOND
    budget.tokens = min(budget.burst_calls, budget.tokens + refill)
    budget.updated_ms = max(budget.updated_ms, now_ms)
    missing = priority.reserve * budget.burst_calls + 1.0 - budget.tokens
    # Rounding of the refill must not make a caller wait for a vanishing time.
    if missing > 1e-9:
        return missing * MILLISECONDS_PER_SECOND / budget.rate_per_s
    budget.tokens -= 1.0
    return 0.0


def backoff_ms(failures: int, random: Random) -> float:
    """Return the delay before the next try, in milliseconds.

    Parameters
    ----------
    failures : int
        Failed tries in a row, at least 1.
    random : callable
        Random source; spreads the delay over half of its length, so that nodes do
        not return at the same moment after an outage.
    """
    doublings = min(failures - 1, 16)
    longest = min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2.0**doublings)
    return longest * (0.5 + random() / 2)
