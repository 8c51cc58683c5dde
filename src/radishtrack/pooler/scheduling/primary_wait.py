"""Decides whether work waits for a primary that is absent, or is refused at once."""

from __future__ import annotations

from typing import Final

import attrs

DEFAULT_ABSENCE_MS: Final = 1_500.0
"""Expected time without a primary before the first promotion was seen."""
MIN_LEARNED_MS: Final = 300.0
"""Shorter absences are gaps in the evidence, and end with the next poll."""
MAX_UNOBSERVED_MS: Final = 250.0
"""An absence is taken to end at most this long after work last observed it; without
work, its end is not seen."""
LEARNED_WEIGHT: Final = 0.5
"""Weight of the newest absence; promotions are rare, and conditions change between."""
OVERDUE_FACTOR: Final = 1.25
"""An absence that has lasted longer than expected is expected to last this many times
what it has lasted."""


@attrs.define
class PrimaryWait:
    """When the primary of a group became absent, and how long absences last."""

    absent_since_ms: float | None = None
    """When work first found no primary; None while there is one."""
    last_absent_ms: float = 0.0
    """When work last found no primary."""
    expected_ms: float = DEFAULT_ABSENCE_MS

    def observe(self, is_present: bool, now_ms: float) -> None:
        """Record whether there is a primary that can run work."""
        if not is_present:
            if self.absent_since_ms is None:
                self.absent_since_ms = now_ms
            self.last_absent_ms = now_ms
            return
        since_ms, self.absent_since_ms = self.absent_since_ms, None
        if since_ms is None:
            return
        end_ms = min(now_ms, self.last_absent_ms + MAX_UNOBSERVED_MS)
        if end_ms - since_ms >= MIN_LEARNED_MS:
            change_ms = end_ms - since_ms - self.expected_ms
            self.expected_ms += LEARNED_WEIGHT * change_ms

    def expected_end_ms(self, now_ms: float) -> float:
        """Return when the primary is expected to be present."""
        if self.absent_since_ms is None:
            return now_ms
        absent_ms = now_ms - self.absent_since_ms
        if absent_ms < self.expected_ms:
            return self.absent_since_ms + self.expected_ms
        return self.absent_since_ms + OVERDUE_FACTOR * absent_ms

    def wait_until_ms(
        self, now_ms: float, evidence_until_ms: float, latest_start_ms: float
    ) -> float:
        """Return until when work waits for the primary; `now_ms` for no wait.

        Parameters
        ----------
        now_ms : float
            Current time.
        evidence_until_ms : float
            End of the wait for a report, if the evidence may just have a gap.
        latest_start_ms : float
            The work's own deadline less its service time.
        """
        if self.absent_since_ms is None:
            return evidence_until_ms
        if self.expected_end_ms(now_ms) <= latest_start_ms:
            return latest_start_ms
        if now_ms - self.absent_since_ms < MIN_LEARNED_MS:
            return evidence_until_ms
        return now_ms
