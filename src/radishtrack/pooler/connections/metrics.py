"""Metrics of a node's connections to members."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import attrs
from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from radishtrack.pooler.group_access import GroupAccess

LABELS = ("group", "member")


@attrs.define(eq=False)
class ConnectionMetrics(Collector):
    """Reads the pools when metrics are requested, since members come and go."""

    groups: Mapping[str, GroupAccess]

    def collect(self) -> Iterator[Metric]:
        """Return limit, open and used connections, and refusals of each member."""
        prefix = "radishtrack_pooler_connection"
        limit = GaugeMetricFamily(
            f"{prefix}_limit", "Connections that this node may have", labels=LABELS
        )
        opened = GaugeMetricFamily(
            f"{prefix}s_open", "Connections of this node", labels=LABELS
        )
        used = GaugeMetricFamily(
            f"{prefix}s_used", "Connections of this node in use", labels=LABELS
        )
        refused = CounterMetricFamily(
            f"{prefix}s_refused",
            "Connections refused because the member had no free one",
            labels=LABELS,
        )
        for group, access in self.groups.items():
            for name, pool in access.pools.items():
                labels = (group, name)
                limit.add_metric(labels, pool.gate.queue.connections)
                opened.add_metric(labels, pool.open_count)
                used.add_metric(labels, len(pool.busy))
                refused.add_metric(labels, pool.sharing.refusals)
        yield from (limit, opened, used, refused)


def register_connection_metrics(
    registry: CollectorRegistry, groups: Mapping[str, GroupAccess]
) -> None:
    """Add the metrics of all groups' members to a registry."""
    registry.register(ConnectionMetrics(groups))
