"""Recent demand: an exponentially weighted count of arrivals."""

from __future__ import annotations

import math
from typing import Final

import attrs

DEMAND_TIME_CONSTANT_MS: Final = 500.0
"""Time constant of the exponential decay."""


@attrs.define
class DemandMeter:
    """Arrivals per second, weighted by exp(-age / `DEMAND_TIME_CONSTANT_MS`)."""

    updated_ms: float
    weight: float = 0.0

    def count(self, now_ms: float, arrivals: float = 1.0) -> None:
        """Add `arrivals` at `now_ms`."""
        self._decay(now_ms)
        self.weight += arrivals

    def per_second(self, now_ms: float) -> float:
        """Return the recent arrivals per second."""
        self._decay(now_ms)
        return self.weight * 1000.0 / DEMAND_TIME_CONSTANT_MS

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms > 0:
            self.weight *= math.exp(-elapsed_ms / DEMAND_TIME_CONSTANT_MS)
            self.updated_ms = now_ms


def make_demand_meter(now_ms: float) -> DemandMeter:
    """Return a meter without arrivals."""
    return DemandMeter(now_ms)
