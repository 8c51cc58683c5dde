"""Metrics of a node's promotions."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from radishtrack.pooler.promoter import Promoter


@attrs.define(eq=False)
class PromotionMetrics(Collector):
    """Reads the promoter's state when metrics are requested."""

    promoter: Promoter

    def collect(self) -> Iterator[Metric]:
        """Return the groups whose promotion is withheld, and their missing members."""
        missing = GaugeMetricFamily(
            "radishtrack_pooler_promotion_missing_members",
            "Members without which this node may not promote",
            labels=("group",),
        )
        withheld = GaugeMetricFamily(
            "radishtrack_pooler_promotion_withheld",
            "Whether acknowledged commits may be in logs that this node can't read",
            labels=("group",),
        )
        for group, state in self.promoter.states.items():
            missing.add_metric((group,), len(state.missing))
            withheld.add_metric((group,), state.withheld_for is not None)
        yield missing
        yield withheld


def register_promotion_metrics(registry: CollectorRegistry, promoter: Promoter) -> None:
    """Add the metrics of a node's promotions to a registry."""
    registry.register(PromotionMetrics(promoter))
