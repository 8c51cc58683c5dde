"""Log events and the gauge of evacuated availability zones."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
from prometheus_client import CollectorRegistry, Gauge

from radishtrack.events import Event, log_event
from radishtrack.pooler.catalog import Member
from radishtrack.pooler.evacuation.zones import EvacuatedZones


@attrs.define(eq=False)
class EvacuationReporter:
    """Logs the start and the end of evacuations of zones that have members.

    Parameters
    ----------
    reported : frozenset of str
        Evacuated zones that were logged last.
    """

    reported: frozenset[str] = frozenset()

    def report(self, evacuated: EvacuatedZones, members: Iterable[Member]) -> None:
        """Log the changes since the last call."""
        listed = tuple(members)
        zones = evacuated.in_effect & {member.zone for member in listed}
        for zone in sorted(zones - self.reported):
            names = [member.name for member in listed if member.zone == zone]
            log_event(Event.EVACUATION_STARTED, zone=zone, members=len(names))
        for zone in sorted(self.reported - zones):
            log_event(Event.EVACUATION_ENDED, zone=zone)
        self.reported = zones


def register_evacuation_metrics(
    registry: CollectorRegistry, reporter: EvacuationReporter
) -> None:
    """Add the gauge of evacuated zones to a registry."""
    gauge = Gauge(
        "radishtrack_pooler_evacuated_zones",
        "Evacuated availability zones that have members",
        registry=registry,
    )
    gauge.set_function(lambda: len(reporter.reported))
