"""Metrics of a node's copy of the store."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Gauge

from radishtrack.pooler.store_copy import StoreCopy
from radishtrack.revision import get_number


def register_store_metrics(registry: CollectorRegistry, store_copy: StoreCopy) -> None:
    """Add gauges of the copy's era, revision, version and age to a registry.

    The age is infinite before the first read of the store.
    """
    gauges = (
        ("era", "Era of the copy", lambda: store_copy.era),
        (
            "revision",
            "The store's own revision of the copy",
            lambda: get_number(store_copy.revision),
        ),
        (
            "configuration_version",
            "Version of the configuration in force",
            lambda: store_copy.catalog.version,
        ),
        (
            "known_configuration_version",
            "Latest version of the configuration that is known to exist",
            lambda: store_copy.known_version,
        ),
        (
            "copy_age_seconds",
            "Upper bound of the copy's age",
            lambda: store_copy.age_ms() / 1000,
        ),
    )
    for name, documentation, read in gauges:
        gauge = Gauge(
            f"radishtrack_pooler_store_{name}", documentation, registry=registry
        )
        gauge.set_function(read)
