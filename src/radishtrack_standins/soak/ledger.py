"""What clients were told and what members ran, and the promises that both must keep."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Final

import attrs

RATE_WINDOW_MS: Final = 5_000.0
RATE_EXCESS: Final = 0.1
RATE_MARGIN: Final = 20
REVOKE_MS: Final = 5_000.0
"""Bounds of the users' pages: rates in any window, and when a revoked key has ended."""


@attrs.define(eq=False)
class Ledger:
    """Collects what happens and the violations that show at once."""

    violations: list[str] = attrs.field(factory=list)
    acknowledged: dict[str, float] = attrs.field(factory=dict)
    """Writes that clients were told to be kept, and when."""
    refused: set[str] = attrs.field(factory=set)
    """Writes that clients were told not to have run."""
    runs: dict[str, list[float]] = attrs.field(factory=lambda: defaultdict(list))
    """When statements of an organisation ran."""
    revoked_ms: dict[str, float] = attrs.field(factory=dict)
    outcomes: Counter[str] = attrs.field(factory=Counter)

    def note_run(self, organisation: str, now_ms: float) -> None:
        """Record that a member has run a statement."""
        self.runs[organisation].append(now_ms)
        revoked_ms = self.revoked_ms.get(organisation)
        if revoked_ms is not None and now_ms > revoked_ms + REVOKE_MS:
            late_ms = now_ms - revoked_ms
            self.violations.append(
                f"{organisation} ran {late_ms:.0f} ms after its key was revoked"
            )

    def note_write(self, statement_id: str, answer: str, now_ms: float) -> None:
        """Record the answer to a write."""
        if answer.startswith("COMPLETE"):
            self.acknowledged[statement_id] = now_ms
        elif answer.startswith("ERROR BUSY"):
            self.refused.add(statement_id)

    def check_read(self, kind: str, row: str, log: list[str], needed: set[str]) -> None:
        """Check that a read has seen all writes that it must see.

        Parameters
        ----------
        kind : str
            Kind of the read.
        row : str
            Row that ends with the position, ``member@term.sequence``.
        log : list of str
            Writes in the member's log.
        needed : set of str
            Writes that the read must see.
        """
        sequence = int(row.rpartition(".")[2])
        missing = needed - set(log[:sequence])
        if missing:
            self.violations.append(
                f"{kind} read {row!r} lacks {len(missing)} of {len(needed)} writes"
            )

    def check_logs(self, log: list[str]) -> None:
        """Check the log of the last primary against what clients were told."""
        counts = Counter(log)
        lost = [name for name in self.acknowledged if not counts[name]]
        doubled = [name for name, count in counts.items() if count > 1]
        false = [name for name in self.refused if counts[name]]
        for what, names in (
            ("acknowledged writes are lost", lost),
            ("writes ran twice", doubled),
            ("writes ran that were refused", false),
        ):
            if names:
                self.violations.append(f"{len(names)} {what}: {names[:3]}")

    def check_rate(self, organisation: str, rate_per_s: float, burst: float) -> None:
        """Check an organisation's rate over every window."""
        most = rate_per_s * RATE_WINDOW_MS / 1000 + burst
        limit = most * (1.0 + RATE_EXCESS) + RATE_MARGIN
        times = self.runs[organisation]
        start = 0
        for index, at_ms in enumerate(times):
            while times[start] <= at_ms - RATE_WINDOW_MS:
                start += 1
            if index - start + 1 > limit:
                self.violations.append(
                    f"{organisation} ran {index - start + 1} statements in "
                    f"{RATE_WINDOW_MS:.0f} ms, allowed are {limit:.0f}"
                )
                return
