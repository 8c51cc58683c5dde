"""Splits a bill between the owners by usage, with exact and reproducible results."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable
from fractions import Fraction
from typing import Any, Final

import attrs

from radishtrack.usage.counter import UsageTotals
from radishtrack.usage.report import UsageEntry, encode_entries

PERCENT_DIGITS: Final = 4


@attrs.define(frozen=True)
class UnitWeights:
    """Relative cost of each kind of usage; whole numbers."""

    statement: int = 100
    row: int = 1
    kilobyte_in: int = 1
    kilobyte_out: int = 1
    connection_ms: int = 50


DEFAULT_WEIGHTS: Final = UnitWeights()


@attrs.define(frozen=True)
class OwnerShare:
    """One owner's share of a bill.

    Parameters
    ----------
    owner : str
        Owner.
    usage : UsageTotals
        Usage of the owner.
    fraction : Fraction
        Exact fraction of the weighted usage.
    amount : int
        Share of the bill in its smallest unit, for example cents.
    """

    owner: str
    usage: UsageTotals
    fraction: Fraction
    amount: int


@attrs.define(frozen=True)
class Bill:
    """A bill with all data needed to recompute it."""

    amount: int
    weights: UnitWeights
    entries: tuple[UsageEntry, ...]
    shares: tuple[OwnerShare, ...]


def compute_weighted_usage(usage: UsageTotals, weights: UnitWeights) -> Fraction:
    """Return the weighted usage, exactly."""
    return (
        Fraction(usage.statements * weights.statement)
        + usage.rows * weights.row
        + Fraction(usage.bytes_in * weights.kilobyte_in, 1024)
        + Fraction(usage.bytes_out * weights.kilobyte_out, 1024)
        + usage.connection_ms * weights.connection_ms
    )


def make_bill(
    amount: int,
    owners: Iterable[str],
    entries: Iterable[UsageEntry],
    weights: UnitWeights = DEFAULT_WEIGHTS,
) -> Bill:
    """Split `amount` between `owners` by their usage.

    Parameters
    ----------
    amount : int
        Bill in its smallest unit, for example cents.
    owners : iterable of str
        All owners; those without usage pay nothing.
    entries : iterable of UsageEntry
        Usage of the fleet.
    weights : UnitWeights
        Relative cost of each kind of usage.

    Returns
    -------
    Bill
        Bill whose shares add up to `amount`; they are equal if there is no usage.

    Raises
    ------
    ValueError
        If `owners` is empty or lacks the owner of some usage.
    """
    sorted_entries = tuple(sorted(entries, key=_entry_key))
    usage: defaultdict[str, UsageTotals] = defaultdict(UsageTotals)
    for entry in sorted_entries:
        usage[entry.key.owner] += entry.totals
    names = sorted(set(owners))
    unknown = sorted(set(usage) - set(names))
    if unknown or not names:
        raise ValueError(f"usage of unknown owners: {unknown}; owners: {names}")
    weighted = {name: compute_weighted_usage(usage[name], weights) for name in names}
    total = sum(weighted.values(), Fraction(0))
    fractions = {
        name: weighted[name] / total if total else Fraction(1, len(names))
        for name in names
    }
    amounts = apportion(amount, fractions)
    shares = tuple(
        OwnerShare(name, usage[name], fractions[name], amounts[name]) for name in names
    )
    return Bill(amount, weights, sorted_entries, shares)


def apportion(amount: int, fractions: dict[str, Fraction]) -> dict[str, int]:
    """Divide an integer amount by the largest remainder method; ties go by name."""
    exact = {name: amount * fraction for name, fraction in fractions.items()}
    amounts = {name: int(part // 1) for name, part in exact.items()}
    remaining = amount - sum(amounts.values())
    by_remainder = sorted(exact, key=lambda name: (amounts[name] - exact[name], name))
    for name in by_remainder[:remaining]:
        amounts[name] += 1
    return amounts


def bill_to_text(bill: Bill) -> str:
    """Return the bill as a table."""
    header = ("owner", "statements", "rows", "bytes in", "bytes out", "conn ms")
    rows: list[tuple[str, ...]] = [(*header, "part %", "amount")]
    rows += [
        (
            share.owner,
            *(str(value) for value in attrs.astuple(share.usage)),
            f"{float(share.fraction * 100):.{PERCENT_DIGITS}f}",
            str(share.amount),
        )
        for share in bill.shares
    ]
    rows.append(("total", "", "", "", "", "", "", str(bill.amount)))
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if column == 0 else cell.rjust(width)
            for column, (cell, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in rows
    )


def bill_to_json(bill: Bill) -> str:
    """Return the bill as JSON; fractions are exact, as ``numerator/denominator``."""
    value: dict[str, Any] = {
        "amount": bill.amount,
        "weights": attrs.asdict(bill.weights),
        "usage": encode_entries(bill.entries),
        "shares": [
            {
                "owner": share.owner,
                "fraction": str(share.fraction),
                "amount": share.amount,
            }
            for share in bill.shares
        ],
    }
    return json.dumps(value, sort_keys=True, indent=2)


def _entry_key(entry: UsageEntry) -> tuple[str, str]:
    return entry.key.organisation, entry.key.owner
