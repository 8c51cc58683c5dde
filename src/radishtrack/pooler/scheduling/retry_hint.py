"""When the client of refused work may retry, as the end of the refusal's text."""

from __future__ import annotations

from typing import Final

MIN_HINT_MS: Final = 10.0
"""About the time after which running work ends."""
MAX_HINT_MS: Final = 1_000.0
"""Bound of the estimate. Callers' deadlines are five to six objectives of at least
150 ms, and later retries would come after most of them."""
SPREAD_MS: Final = 20.0
"""Least time over which retries of one priority are spread; about two statements."""
SPREAD_FRACTION: Final = 0.5
"""The same as a fraction of the time until there is capacity."""
GOLDEN_RATIO: Final = 0.618_033_988_75
"""Multiples of it, modulo 1, are spread evenly however many there are."""


def retry_after_ms(excess_ms: float, priority: int, number: int) -> int:
    """Return after how many milliseconds a retry is likely to be served.

    Parameters
    ----------
    excess_ms : float
        By how much the estimated wait exceeds what the work can wait.
    priority : int
        Priority; the most urgent returns first.
    number : int
        Number of the refusal, by which retries are spread.
    """
    base_ms = min(MAX_HINT_MS, max(MIN_HINT_MS, excess_ms))
    spread_ms = max(SPREAD_MS, SPREAD_FRACTION * base_ms)
    offset = max(0, priority) + number * GOLDEN_RATIO % 1.0
    return round(base_ms + offset * spread_ms)


HINT: Final = "; retry after "


def add_hint(detail: str, hint_ms: int) -> str:
    """Return the text of a refusal with the hint at its end."""
    return detail if HINT in detail else f"{detail}{HINT}{hint_ms} ms"
