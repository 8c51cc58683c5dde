"""Tells when a restored store has again what it had acknowledged before."""

from __future__ import annotations

import math
from typing import Final

import attrs

from radishtrack.clock import Clock

RESTORE_SETTLE_MS: Final = 2_000.0
"""Time after a restore in which the operator and the members write again what the store
has lost. A read of this time may lack a configuration that was acknowledged, so it does
not confirm a copy."""
RECORDS_SETTLED_MS: Final = 3_000.0
"""Time after a restore from which a process that starts may rely on all records. A
holder of a lost claim may use it for as long."""


@attrs.define(eq=False)
class Settling:
    """One node's view of the last restore of the store.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    """

    clock: Clock
    restored_ms: float = -math.inf
    """When this node learned that the store has come back from a backup."""

    @property
    def settled_ms(self) -> float:
        """Time from which reads of the store confirm a copy."""
        return self.restored_ms + RESTORE_SETTLE_MS

    def has_seen_restore(self) -> bool:
        """Return whether the store was restored while this process ran."""
        return self.restored_ms > -math.inf

    def has_unsettled_records(self) -> bool:
        """Return whether the store may still lack records of the pooler."""
        return self.clock.now_ms() < self.restored_ms + RECORDS_SETTLED_MS

    def record_restore(self) -> None:
        """Record that the store has come back from a backup."""
        self.restored_ms = self.clock.now_ms()
