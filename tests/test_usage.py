"""Checks that usage is counted once despite repeats and losses, and billed exactly."""

from __future__ import annotations

import json
import random
from fractions import Fraction

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtrack.usage.bill import (
    apportion,
    bill_to_json,
    bill_to_text,
    make_bill,
)
from radishtrack.usage.compaction import (
    SUMMARY_NAME,
    UsageSummary,
    decode_summary,
    encode_summary,
    fold_sealed,
    names_to_delete,
    seal,
    total_usage,
)
from radishtrack.usage.counter import UsageKey, UsageTotals, make_usage_counter
from radishtrack.usage.report import (
    Reporter,
    UsageEntry,
    UsageReport,
    choose_latest,
    decode_report,
    encode_report,
    make_reporter,
)

KEY = UsageKey("shop", "fjellsko")
OTHER = UsageKey("office", "tallinna")


class Store:
    """Versioned objects with conditional updates; responses can be lost."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, object]] = {}

    def put(self, name: str, value: object, expected_version: int) -> bool:
        """Write if the version is the expected one."""
        version = self.objects.get(name, (0, None))[0]
        if version != expected_version:
            return False
        self.objects[name] = (version + 1, value)
        return True

    def version(self, name: str) -> int:
        """Return the version, 0 if there is no object."""
        return self.objects.get(name, (0, None))[0]

    def reports(self) -> list[UsageReport]:
        """Return all reports."""
        return [v for _, v in self.objects.values() if isinstance(v, UsageReport)]

    def summary(self) -> UsageSummary:
        """Return the summary."""
        value = self.objects.get(SUMMARY_NAME, (0, UsageSummary()))[1]
        assert isinstance(value, UsageSummary)
        return value


def write_report(store: Store, reporter: Reporter, now_ms: float) -> None:
    report = reporter.make_report(now_ms)
    stored = store.objects.get(report.object_name, (0, None))[1]
    if isinstance(stored, UsageReport) and stored.is_sealed:
        reporter.on_sealed(stored)
        report = reporter.make_report(now_ms)
    store.put(report.object_name, report, store.version(report.object_name))


def test_reports_are_cumulative_and_a_repeated_or_older_one_changes_nothing() -> None:
    counter = make_usage_counter()
    reporter = make_reporter("n1", "i1", counter)
    counter.add(KEY, statements=1, rows=2, bytes_in=3, bytes_out=4, connection_ms=5.5)
    first = reporter.make_report(0.0)
    assert not reporter.is_due(29_999.0)
    assert reporter.is_due(30_000.0)
    counter.add(KEY, statements=1, connection_ms=5.5)
    second = reporter.make_report(30_000.0)
    latest = None
    for report in [first, second, first]:
        latest = choose_latest(latest, report)
    assert latest == second
    assert second.totals == (UsageEntry(KEY, UsageTotals(2, 2, 3, 4, 11)),)
    assert decode_report(json.loads(json.dumps(encode_report(second)))) == second


@pytest.mark.parametrize("seed", range(40))
def test_compaction_keeps_the_total_with_lost_and_repeated_writes(seed: int) -> None:
    """Live and dead nodes are sealed, folded and deleted, also after stale reads."""
    store = Store()
    reporters = [make_reporter(f"n{i}", "0", make_usage_counter()) for i in range(3)]
    reported: list[int] = [0, 0, 0]
    lost_with_nodes = 0
    old_summary = (0, UsageSummary())
    source = random.Random(seed)
    kinds = ["use", "report", "die", "seal", "fold", "delete"]
    steps = [(source.choice(kinds), source.randrange(3)) for _ in range(150)]
    for number, (kind, index) in enumerate(steps):
        reporter = reporters[index]
        if kind == "use":
            reporter.counter.add(KEY, statements=1 + index)
        elif kind == "report":
            write_report(store, reporter, float(number))
            reported[index] = (
                reporter.counter.snapshot().get(KEY, UsageTotals()).statements
            )
        elif kind == "die":
            lost_with_nodes += reported[index]
            reported[index] = 0
            reporters[index] = make_reporter(
                f"n{index}", str(number), make_usage_counter()
            )
        elif kind == "seal":
            for report in store.reports()[index:]:
                version = store.version(report.object_name)
                store.put(report.object_name, seal(report), version)
        elif kind == "fold":
            # Index 0 repeats the write from an older read: the version rejects it.
            if index != 0:
                version = store.version(SUMMARY_NAME)
                old_summary = (version, store.summary())
            folded = fold_sealed(old_summary[1], store.reports())
            store.put(SUMMARY_NAME, folded, old_summary[0])
        else:
            for name in names_to_delete(store.summary(), store.reports())[index:]:
                live = [
                    f"{r.node}-{r.incarnation}"
                    + (f".{r.continuation}" * bool(r.continuation))
                    for r in reporters
                ]
                # A live process notices the seal long before the deletion.
                if name not in live:
                    del store.objects[name]
        total = total_usage(store.summary(), store.reports())
        counted = sum(entry.totals.statements for entry in total)
        assert counted == sum(reported) + lost_with_nodes
    summary = store.summary()
    assert decode_summary(json.loads(json.dumps(encode_summary(summary)))) == summary


def test_the_shares_of_a_bill_add_up_and_do_not_depend_on_order() -> None:
    entries = [
        UsageEntry(KEY, UsageTotals(200, 0, 0, 0, 0)),
        UsageEntry(OTHER, UsageTotals(100, 0, 0, 0, 0)),
    ]
    bill = make_bill(1000, ["fjellsko", "tallinna"], entries)
    reordered = make_bill(1000, ["tallinna", "fjellsko"], list(reversed(entries)))
    assert [(s.owner, s.fraction, s.amount) for s in bill.shares] == [
        ("fjellsko", Fraction(2, 3), 667),
        ("tallinna", Fraction(1, 3), 333),
    ]
    assert bill_to_json(bill) == bill_to_json(reordered)
    assert json.loads(bill_to_json(bill))["shares"][0]["fraction"] == "2/3"
    lines = bill_to_text(bill).splitlines()
    assert lines[1].split() == ["fjellsko", "200", "0", "0", "0", "0", "66.6667", "667"]
    assert lines[-1].split() == ["total", "1000"]


@settings(max_examples=100, derandomize=True, deadline=None)
@given(
    st.integers(0, 10**9),
    st.lists(st.integers(0, 10**12), min_size=1, max_size=6),
)
def test_apportioned_amounts_differ_from_exact_ones_by_less_than_one_unit(
    amount: int, weights: list[int]
) -> None:
    total = sum(weights)
    parts = {
        f"o{i}": Fraction(weight, total) if total else Fraction(1, len(weights))
        for i, weight in enumerate(weights)
    }
    amounts = apportion(amount, parts)
    assert sum(amounts.values()) == amount
    assert all(abs(amounts[name] - amount * parts[name]) < 1 for name in parts)


def test_usage_of_an_unlisted_owner_is_an_error() -> None:
    """Otherwise nobody would pay for this usage."""
    entries = [UsageEntry(OTHER, UsageTotals(1))]
    with pytest.raises(ValueError, match="tallinna"):
        make_bill(100, ["fjellsko"], entries)
