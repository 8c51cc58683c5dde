"""Counts a node's usage in memory, for each organisation and owner."""

from __future__ import annotations

import attrs


@attrs.define(frozen=True, order=True)
class UsageKey:
    """The organisation whose usage it is, and the owner of the database."""

    organisation: str
    owner: str


@attrs.define(frozen=True)
class UsageTotals:
    """Usage of one key.

    Parameters
    ----------
    statements, rows : int
        Statements run and rows returned.
    bytes_in, bytes_out : int
        Bytes received from and sent to clients.
    connection_ms : int
        Time for which database connections were held, in whole milliseconds.
    """

    statements: int = 0
    rows: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    connection_ms: int = 0

    def __add__(self, other: UsageTotals) -> UsageTotals:
        return UsageTotals(
            self.statements + other.statements,
            self.rows + other.rows,
            self.bytes_in + other.bytes_in,
            self.bytes_out + other.bytes_out,
            self.connection_ms + other.connection_ms,
        )

    def __sub__(self, other: UsageTotals) -> UsageTotals:
        return UsageTotals(
            self.statements - other.statements,
            self.rows - other.rows,
            self.bytes_in - other.bytes_in,
            self.bytes_out - other.bytes_out,
            self.connection_ms - other.connection_ms,
        )


@attrs.define
class MutableTotals:
    """Running totals of one key; connection time is kept in microseconds."""

    statements: int = 0
    rows: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    connection_us: int = 0


@attrs.define
class UsageCounter:
    """Totals of this process since its start."""

    totals: dict[UsageKey, MutableTotals] = attrs.field(factory=dict)

    def add(
        self,
        key: UsageKey,
        *,
        statements: int = 0,
        rows: int = 0,
        bytes_in: int = 0,
        bytes_out: int = 0,
        connection_ms: float = 0.0,
    ) -> None:
        """Add usage to `key`; all amounts are increments."""
        totals = self.totals.get(key)
        if totals is None:
            totals = self.totals[key] = MutableTotals()
        totals.statements += statements
        totals.rows += rows
        totals.bytes_in += bytes_in
        totals.bytes_out += bytes_out
        totals.connection_us += round(connection_ms * 1000)

    def snapshot(self) -> dict[UsageKey, UsageTotals]:
        """Return the totals since the start of the process."""
        return {
            key: UsageTotals(
                totals.statements,
                totals.rows,
                totals.bytes_in,
                totals.bytes_out,
                totals.connection_us // 1000,
            )
            for key, totals in sorted(self.totals.items())
        }


def make_usage_counter() -> UsageCounter:
    """Return a counter without usage."""
    return UsageCounter()
