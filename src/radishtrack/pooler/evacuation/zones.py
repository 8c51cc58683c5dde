"""The availability zones that operators evacuate, and until when their members serve.

The store has one object for each evacuated zone. A node measures the bound from the
last time at which its copy of the store was known to lack the object: the store has
acknowledged the object after that. The bound therefore holds for a node that learns of
the evacuation late, without an assumption about the delay.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

import attrs

EVACUATION_BOUND_MS: Final = 5_000.0
"""Longest time from the store's acknowledgement to the last request that reaches a
member of the zone, unless the settings state another bound."""
EVACUATION_MARGIN_MS: Final = 1_000.0
"""Part of the bound that is not used: the pause between two sweeps of open transactions
(250 ms), a preparation under way (400 ms) and the transit of the last request."""


@attrs.define(eq=False)
class EvacuatedZones:
    """One node's record of the evacuated zones.

    Parameters
    ----------
    bound_ms : float
        Longest time from the acknowledgement to the last request, in milliseconds.
    listed : mapping
        Zones that the store lists. The value is a time in milliseconds before which the
        store did not acknowledge the evacuation; minus infinity if there is none.
    retained : mapping
        Zones that a restored store has lost, until it has settled.
    era : int
        Era of the store in which `listed` was read.
    """

    bound_ms: float = EVACUATION_BOUND_MS
    listed: Mapping[str, float] = attrs.field(factory=dict)
    retained: Mapping[str, float] = attrs.field(factory=dict)
    era: int = 0

    @property
    def names(self) -> frozenset[str]:
        """Zones that the store lists."""
        return frozenset(self.listed)

    @property
    def in_effect(self) -> frozenset[str]:
        """Zones whose members get no work."""
        return frozenset(self.listed) | frozenset(self.retained)

    def replace(
        self, zones: frozenset[str], *, era: int, absent_ms: float | None
    ) -> None:
        """Apply the zones that the store lists.

        Parameters
        ----------
        zones : frozenset of str
            The zones.
        era : int
            Era of the store. An evacuation that is missing in a later era was lost by a
            restore, not ended by an operator.
        absent_ms : float or None
            Latest time in milliseconds at which the store is known to have equalled the
            earlier list; None if there is none.
        """
        retained = dict(self.retained)
        if era > self.era:
            retained |= self.listed
            self.era = era
        known = {**retained, **self.listed}
        new_ms = -math.inf if absent_ms is None else absent_ms
        self.listed = {zone: known.get(zone, new_ms) for zone in zones}
        self.retained = {z: at for z, at in retained.items() if z not in zones}

    def release(self) -> bool:
        """End the evacuations that a settled store lacks; return whether there were."""
        had_retained = bool(self.retained)
        self.retained = {}
        return had_retained

    def includes(self, zone: str) -> bool:
        """Return whether a zone is evacuated."""
        return zone in self.listed or zone in self.retained

    def may_finish(self, zone: str, now_ms: float) -> bool:
        """Return whether requests that are bound to a member of a zone may be sent.

        These are statements of transactions that are open there, and work that only the
        group's primary can run.
        """
        since_ms = self.listed.get(zone, self.retained.get(zone))
        if since_ms is None:
            return True
        return now_ms - since_ms < self.bound_ms - EVACUATION_MARGIN_MS
