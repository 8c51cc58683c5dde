"""Compacts usage objects of dead incarnations without changing the total.

Each step is one conditional update: seal the object, fold its totals and name into the
summary object, delete the object, and much later remove the name. Only the state in
the platform decides the next step, so a step that is repeated, or whose response was
lost, counts once: an object whose name is in the summary is not counted.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any, Final

import attrs

from radishtrack.usage.counter import UsageKey, UsageTotals
from radishtrack.usage.report import (
    UsageEntry,
    UsageReport,
    decode_entries,
    encode_entries,
)

SUMMARY_NAME: Final = "summary"
DELETION_DELAY_GENERATIONS: Final = 2
"""Compactions from folding to deletion; a live process finds the seal before that."""
NAME_RETENTION_GENERATIONS: Final = 8
"""Compactions after which no delayed write can recreate a deleted object."""


@attrs.define(frozen=True)
class FoldedObject:
    """An object whose totals are part of the summary.

    Parameters
    ----------
    name : str
        Name of the object.
    generation : int
        Compaction that folded it.
    """

    name: str
    generation: int


@attrs.define(frozen=True)
class UsageSummary:
    """Totals of compacted objects: the platform object ``usage/summary``.

    Parameters
    ----------
    generation : int
        Number of the last compaction, about one a day.
    totals : tuple of UsageEntry
        Sum of the folded objects.
    folded : tuple of FoldedObject
        Objects that are in `totals` and may still exist.
    """

    generation: int = 0
    totals: tuple[UsageEntry, ...] = ()
    folded: tuple[FoldedObject, ...] = ()


def seal(report: UsageReport) -> UsageReport:
    """Return the final form of the report of a dead incarnation."""
    return attrs.evolve(report, is_sealed=True)


def fold_sealed(summary: UsageSummary, reports: Iterable[UsageReport]) -> UsageSummary:
    """Return the summary after one more compaction.

    Parameters
    ----------
    summary : UsageSummary
        Summary as read; the caller updates it conditionally on that version.
    reports : iterable of UsageReport
        All objects as read after the summary.

    Returns
    -------
    UsageSummary
        Summary that includes the sealed objects that were not folded yet.
    """
    present = list(reports)
    names = {report.object_name for report in present}
    folded_names = {folded.name for folded in summary.folded}
    generation = summary.generation + 1
    newly_sealed = [
        report
        for report in present
        if report.is_sealed and report.object_name not in folded_names
    ]
    kept = [
        folded
        for folded in summary.folded
        if folded.name in names
        or generation - folded.generation < NAME_RETENTION_GENERATIONS
    ]
    added = [FoldedObject(report.object_name, generation) for report in newly_sealed]
    totals = sum_entries([summary.totals, *(report.totals for report in newly_sealed)])
    return UsageSummary(generation, totals, tuple(kept + added))


def names_to_delete(summary: UsageSummary, reports: Iterable[UsageReport]) -> list[str]:
    """Return the names of the objects that the stored summary makes redundant."""
    ages = {
        folded.name: summary.generation - folded.generation for folded in summary.folded
    }
    return sorted(
        report.object_name
        for report in reports
        if ages.get(report.object_name, -1) >= DELETION_DELAY_GENERATIONS
    )


def total_usage(
    summary: UsageSummary, reports: Iterable[UsageReport]
) -> tuple[UsageEntry, ...]:
    """Return the usage of the whole fleet.

    Parameters
    ----------
    summary : UsageSummary
        Summary; read it after the objects, so that none is missing from both.
    reports : iterable of UsageReport
        Latest report of every incarnation.
    """
    folded = {entry.name for entry in summary.folded}
    counted = (report.totals for report in reports if report.object_name not in folded)
    return sum_entries([summary.totals, *counted])


def sum_entries(parts: Iterable[tuple[UsageEntry, ...]]) -> tuple[UsageEntry, ...]:
    """Return the sum by key, sorted."""
    totals: defaultdict[UsageKey, UsageTotals] = defaultdict(UsageTotals)
    for part in parts:
        for entry in part:
            totals[entry.key] += entry.totals
    return tuple(UsageEntry(key, totals[key]) for key in sorted(totals))


def encode_summary(summary: UsageSummary) -> dict[str, Any]:
    """Return the JSON value of the summary object."""
    return {
        "generation": summary.generation,
        "totals": encode_entries(summary.totals),
        "folded": [attrs.asdict(folded) for folded in summary.folded],
    }


def decode_summary(value: dict[str, Any]) -> UsageSummary:
    """Return the summary of a platform object."""
    return UsageSummary(
        value["generation"],
        decode_entries(value["totals"]),
        tuple(
            FoldedObject(folded["name"], folded["generation"])
            for folded in value["folded"]
        ),
    )
