"""Cumulative usage reports: one platform object for each node and incarnation.

A report holds the totals since the start of its incarnation, so a repeated report
counts once and one with a lower sequence is ignored. A process that dies loses at
most the usage since its last report.

An object of a dead incarnation is sealed before it is compacted. A process that was
wrongly presumed dead finds its object sealed, adds the sealed totals to its baseline
and continues as a new incarnation.
"""

from __future__ import annotations

import math
from typing import Any, Final

import attrs

from radishtrack.usage.counter import UsageCounter, UsageKey, UsageTotals

REPORT_INTERVAL_MS: Final = 30_000.0


@attrs.define(frozen=True)
class UsageEntry:
    """Totals of one key in a report."""

    key: UsageKey
    totals: UsageTotals


@attrs.define(frozen=True)
class UsageReport:
    """Cumulative usage of one incarnation of a node.

    Parameters
    ----------
    node : str
        Node that counted.
    incarnation : str
        Unique for each process start and each continuation after a seal.
    sequence : int
        Increases with every report of the incarnation.
    totals : tuple of UsageEntry
        Totals since the start of the incarnation, sorted by key.
    is_sealed : bool
        The report is final and can be compacted.
    """

    node: str
    incarnation: str
    sequence: int
    totals: tuple[UsageEntry, ...]
    is_sealed: bool = False

    @property
    def object_name(self) -> str:
        """Name of the platform object of kind ``usage``."""
        return f"{self.node}-{self.incarnation}"


@attrs.define
class Reporter:
    """Makes the reports of one process.

    Parameters
    ----------
    node : str
        This node.
    incarnation : str
        Unique for each process start.
    counter : UsageCounter
        Totals of this process.
    """

    node: str
    incarnation: str
    counter: UsageCounter
    continuation: int = 0
    sequence: int = 0
    baseline: dict[UsageKey, UsageTotals] = attrs.field(factory=dict)
    """Totals that earlier, sealed incarnations of this process reported."""
    last_ms: float = -math.inf

    def is_due(self, now_ms: float) -> bool:
        """Return whether the next report is due."""
        return now_ms - self.last_ms >= REPORT_INTERVAL_MS

    def make_report(self, now_ms: float) -> UsageReport:
        """Return the next report."""
        self.last_ms = now_ms
        self.sequence += 1
        incarnation = self.incarnation
        if self.continuation:
            incarnation = f"{incarnation}.{self.continuation}"
        entries = (
            UsageEntry(key, totals - self.baseline.get(key, UsageTotals()))
            for key, totals in self.counter.snapshot().items()
        )
        return UsageReport(
            self.node,
            incarnation,
            self.sequence,
            tuple(entry for entry in entries if entry.totals != UsageTotals()),
        )

    def on_sealed(self, stored: UsageReport) -> None:
        """Continue as a new incarnation after a write found the object sealed.

        The caller passes the object that it read after the conflict. The object of a
        live process is not deleted before that; see `DELETION_DELAY_GENERATIONS`.
        """
        for entry in stored.totals:
            current = self.baseline.get(entry.key, UsageTotals())
            self.baseline[entry.key] = current + entry.totals
        self.continuation += 1
        self.sequence = 0
        self.last_ms = -math.inf


def make_reporter(node: str, incarnation: str, counter: UsageCounter) -> Reporter:
    """Return the reporter of a process without earlier reports."""
    return Reporter(node, incarnation, counter)


def choose_latest(current: UsageReport | None, received: UsageReport) -> UsageReport:
    """Return the later report of an incarnation; of equal ones, the sealed one."""
    if current is None or received.sequence > current.sequence:
        return received
    if received.sequence == current.sequence and received.is_sealed:
        return received
    return current


def encode_entries(entries: tuple[UsageEntry, ...]) -> list[dict[str, Any]]:
    """Return `entries` as JSON values."""
    return [
        {
            "organisation": entry.key.organisation,
            "owner": entry.key.owner,
            **attrs.asdict(entry.totals),
        }
        for entry in entries
    ]


def decode_entries(values: list[dict[str, Any]]) -> tuple[UsageEntry, ...]:
    """Return the entries encoded by `encode_entries`."""
    return tuple(
        UsageEntry(
            UsageKey(value["organisation"], value["owner"]),
            UsageTotals(
                value["statements"],
                value["rows"],
                value["bytes_in"],
                value["bytes_out"],
                value["connection_ms"],
            ),
        )
        for value in values
    )


def encode_report(report: UsageReport) -> dict[str, Any]:
    """Return the JSON value of the platform object."""
    return {
        "node": report.node,
        "incarnation": report.incarnation,
        "sequence": report.sequence,
        "is_sealed": report.is_sealed,
        "totals": encode_entries(report.totals),
    }


def decode_report(value: dict[str, Any]) -> UsageReport:
    """Return the report of a platform object."""
    return UsageReport(
        value["node"],
        value["incarnation"],
        value["sequence"],
        decode_entries(value["totals"]),
        value["is_sealed"],
    )
