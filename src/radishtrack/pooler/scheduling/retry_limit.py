"""Limit of the retries of one node at one group."""

from __future__ import annotations

from typing import Final

import attrs

RETRY_FRACTION: Final = 0.2
"""Retries as a fraction of first attempts. Losses of single responses need a few
percent; under an overload, retries add at most this much to it."""
RETRIES_PER_S: Final = 2.0
"""Retries for which no first attempts are needed, so that a node with few statements
can retry each."""
MAX_SAVED_RETRIES: Final = 10.0
"""Retries that may follow at once, for example when a member's connections end."""
MS_PER_S: Final = 1_000.0


@attrs.define
class RetryLimit:
    """Token bucket of retries that first attempts fill."""

    retries: float = MAX_SAVED_RETRIES
    updated_ms: float = 0.0

    def count_first(self) -> None:
        """Count the first attempt of a statement."""
        self.retries = min(MAX_SAVED_RETRIES, self.retries + RETRY_FRACTION)

    def try_retry(self, now_ms: float) -> bool:
        """Count a retry if the limit allows it; return whether it does."""
        added = RETRIES_PER_S * max(0.0, now_ms - self.updated_ms) / MS_PER_S
        self.retries = min(MAX_SAVED_RETRIES, self.retries + added)
        self.updated_ms = now_ms
        if self.retries < 1.0:
            return False
        self.retries -= 1.0
        return True
