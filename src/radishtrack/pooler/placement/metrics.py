"""Metrics of what a node has learned about the members of scarce groups."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final

from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.member_pool import MemberPool
from radishtrack.pooler.placement.service_times import StatementKind

PREFIX: Final = "radishtrack_pooler_member_"
MS_PER_S: Final = 1_000.0

ReadGauge = Callable[[MemberPool, float], float]

GAUGES: Final[tuple[tuple[str, str, ReadGauge], ...]] = (
    (
        "capacity_limit",
        "Statements that the member runs well at once",
        lambda pool, now_ms: pool.capacity.limit(now_ms),
    ),
    (
        "expected_read_seconds",
        "Expected response time of a read at the reported load",
        lambda pool, now_ms: (
            pool.capacity.expected_ms(
                StatementKind.READ, now_ms, in_flight=pool.in_flight
            )
            / MS_PER_S
        ),
    ),
    (
        "failure_ratio",
        "Fraction of statements that are expected to fail",
        lambda pool, now_ms: pool.capacity.failure_rate(now_ms),
    ),
)
"""Name, documentation and value of each gauge."""


class MemberCapacityCollector(Collector):
    """Reads the gauges when they are collected, for the members known then.

    Parameters
    ----------
    list_groups : callable
        Returns the groups of the node.
    """

    def __init__(self, list_groups: Callable[[], tuple[GroupAccess, ...]]) -> None:
        self.list_groups = list_groups

    def describe(self) -> Iterator[GaugeMetricFamily]:
        """Yield the gauges without values."""
        for name, documentation, _ in GAUGES:
            yield GaugeMetricFamily(PREFIX + name, documentation)

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the gauges of the members of scarce groups."""
        groups = [access for access in self.list_groups() if access.is_scarce]
        for name, documentation, read in GAUGES:
            family = GaugeMetricFamily(
                PREFIX + name, documentation, labels=("group", "member")
            )
            for access in groups:
                now_ms = access.clock.now_ms()
                for member, pool in access.pools.items():
                    family.add_metric((access.name, member), read(pool, now_ms))
            yield family


def register_capacity_metrics(
    registry: CollectorRegistry, list_groups: Callable[[], tuple[GroupAccess, ...]]
) -> None:
    """Add the gauges of limit, expected response time and failure rate."""
    registry.register(MemberCapacityCollector(list_groups))
