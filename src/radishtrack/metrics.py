"""Prometheus metrics; every label has a bounded set of values."""

from __future__ import annotations

from typing import Final

import attrs
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    GCCollector,
    Histogram,
    PlatformCollector,
    ProcessCollector,
)

MAX_ORGANISATIONS: Final = 1_500
"""Above the target scale of 1,000; further organisations share the label `OTHER`."""

OTHER: Final = "other"
MS_PER_S: Final = 1_000.0

STATEMENT_CLASSES: Final = ("strict", "session", "aged", "write", "transaction")
OUTCOMES: Final = ("ran", "not run", "unknown")
ROLES: Final = ("primary", "replica")
REASONS: Final = (
    "key",
    "rate",
    "queue",
    "deadline",
    "option",
    "route",
    "draining",
    "freshness",
    "evidence",
    "member",
)
PLATFORM_RESULTS: Final = ("ok", "conflict", "unavailable", "throttled")

LATENCY_BUCKETS_S: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    1.0,
    5.0,
)


@attrs.define
class Metrics:
    """The metrics of one node, in a registry of its own."""

    registry: CollectorRegistry
    latency: Histogram
    outcomes: Counter
    reads: Counter
    queue_wait: Histogram
    refused: Counter
    platform_calls: Counter
    control_bytes: Counter
    client_connections: Gauge
    configuration_revision: Gauge
    organisations: set[str] = attrs.field(factory=set)
    """Organisations with a label value of their own."""

    def observe_statement(
        self, organisation: str, statement_class: str, outcome: str, elapsed_ms: float
    ) -> None:
        """Record a finished statement and its duration in milliseconds."""
        name = self._bound_organisation(organisation)
        label = _bound_label(statement_class, STATEMENT_CLASSES)
        self.latency.labels(name, label).observe(elapsed_ms / MS_PER_S)
        self.outcomes.labels(name, _bound_label(outcome, OUTCOMES)).inc()

    def count_read(self, role: str) -> None:
        """Count a read by the role of the member that served it."""
        self.reads.labels(_bound_label(role, ROLES)).inc()

    def observe_queue_wait(self, organisation: str, wait_ms: float) -> None:
        """Record the time in milliseconds that a request waited for a connection."""
        name = self._bound_organisation(organisation)
        self.queue_wait.labels(name).observe(wait_ms / MS_PER_S)

    def count_refusal(self, organisation: str, reason: str) -> None:
        """Count a request that was refused before it ran."""
        name = self._bound_organisation(organisation)
        self.refused.labels(name, _bound_label(reason, REASONS)).inc()

    def count_platform_call(self, result: str) -> None:
        """Count a call to the platform's object API by its result."""
        self.platform_calls.labels(_bound_label(result, PLATFORM_RESULTS)).inc()

    def count_control_bytes(self, channel: str, size: int) -> None:
        """Count bytes of control traffic with the platform or with peers."""
        self.control_bytes.labels(_bound_label(channel, ("platform", "peer"))).inc(size)

    def _bound_organisation(self, organisation: str) -> str:
        if organisation in self.organisations:
            return organisation
        if len(self.organisations) >= MAX_ORGANISATIONS:
            return OTHER
        self.organisations.add(organisation)
        return organisation


def make_metrics() -> Metrics:
    """Return the metrics of a node, including those of its process."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    PlatformCollector(registry=registry)
    GCCollector(registry=registry)
    return Metrics(
        registry=registry,
        latency=Histogram(
            "radishtrack_statement_seconds",
            "Time from the arrival of a statement to its response",
            ("organisation", "class"),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        ),
        outcomes=Counter(
            "radishtrack_statements",
            "Statements by what is known about their execution",
            ("organisation", "outcome"),
            registry=registry,
        ),
        reads=Counter(
            "radishtrack_reads",
            "Reads by the role of the member that served them",
            ("role",),
            registry=registry,
        ),
        queue_wait=Histogram(
            "radishtrack_queue_wait_seconds",
            "Time that requests waited for a connection",
            ("organisation",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        ),
        refused=Counter(
            "radishtrack_refused",
            "Requests refused as not run",
            ("organisation", "reason"),
            registry=registry,
        ),
        platform_calls=Counter(
            "radishtrack_platform_calls",
            "Calls of the platform's object API",
            ("result",),
            registry=registry,
        ),
        control_bytes=Counter(
            "radishtrack_control_bytes",
            "Bytes of control traffic, sent and received",
            ("channel",),
            registry=registry,
        ),
        client_connections=Gauge(
            "radishtrack_client_connections",
            "Client connections that are open",
            registry=registry,
        ),
        configuration_revision=Gauge(
            "radishtrack_configuration_revision",
            "Revision of the configuration that is in force",
            registry=registry,
        ),
    )


def _bound_label(value: str, allowed: tuple[str, ...]) -> str:
    return value if value in allowed else OTHER
