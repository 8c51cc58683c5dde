"""Tests when refused callers return."""

from __future__ import annotations

import itertools

from radishtrack.pooler.scheduling.retry_hint import (
    MAX_HINT_MS,
    add_hint,
    retry_after_ms,
)


def test_retries_are_spread_and_the_most_urgent_returns_first() -> None:
    """Callers that are refused together must not return together."""
    for excess_ms in (0.0, 40.0, 400.0, float("inf")):
        hints = [
            [retry_after_ms(excess_ms, priority, n) for n in range(100)]
            for priority in range(3)
        ]
        for earlier, later in itertools.pairwise(hints):
            assert max(earlier) <= min(later)
        for of_priority in hints:
            width = max(of_priority) - min(of_priority)
            for start in range(min(of_priority), max(of_priority), width // 4 + 1):
                fourth = [h for h in of_priority if start <= h <= start + width // 4]
                assert len(fourth) <= 36
        assert min(hints[0]) >= min(excess_ms, MAX_HINT_MS)


def test_a_refusal_has_one_hint() -> None:
    assert add_hint(add_hint("busy", 20), 30) == "busy; retry after 20 ms"
