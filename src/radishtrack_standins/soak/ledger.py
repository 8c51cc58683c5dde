"""Outcomes reported to clients, statements run by members, and checks of both."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Final

import attrs

RATE_WINDOW_MS: Final = 5_000.0
RATE_TOLERANCE: Final = 0.1
RATE_MARGIN_STATEMENTS: Final = 20
REVOKE_MS: Final = 5_000.0
"""Bounds stated by the users: rates in any window, and use of a revoked key."""


@attrs.define(eq=False)
class Ledger:
    """Record of a run, with the violations found so far."""

    violations: list[str] = attrs.field(factory=list)
    acknowledged: dict[str, float] = attrs.field(factory=dict)
    """Times in milliseconds at which writes were acknowledged, by identifier."""
    refused: set[str] = attrs.field(factory=set)
    """Writes that were reported as not run."""
    runs: dict[str, list[float]] = attrs.field(factory=lambda: defaultdict(list))
    """Times in milliseconds at which statements ran, by organisation."""
    revoked_ms: dict[str, float] = attrs.field(factory=dict)
    """Times at which keys were revoked, by organisation."""
    continuations: set[str] = attrs.field(factory=set)
    """Statements of a transaction after its first one; rates count operations."""
    sent_ms: dict[str, float] = attrs.field(factory=dict)
    """When clients sent their statements, by identifier."""
    outcomes: Counter[str] = attrs.field(factory=Counter)
    """Counts of responses and errors that clients received."""

    def record_run(
        self, organisation: str, now_ms: float, statement_id: str = ""
    ) -> None:
        """Record that a member ran a statement.

        It is a violation if the client sent it more than `REVOKE_MS` after the key was
        revoked. A cut link delivers a statement late that was sent in time.
        """
        if statement_id not in self.continuations:
            self.runs[organisation].append(now_ms)
        sent_ms = self.sent_ms.get(statement_id, now_ms)
        revoked_ms = self.revoked_ms.get(organisation)
        if revoked_ms is not None and sent_ms > revoked_ms + REVOKE_MS:
            late_ms = sent_ms - revoked_ms
            self.violations.append(
                f"{organisation} ran {statement_id}, sent {late_ms:.0f} ms after its "
                "key was revoked"
            )

    def record_write(self, statement_id: str, response: str, now_ms: float) -> None:
        """Record the reported outcome of a write."""
        if response.startswith("COMPLETE"):
            self.acknowledged[statement_id] = now_ms
        elif response.startswith("ERROR BUSY"):
            self.refused.add(statement_id)

    def check_read(
        self, kind: str, row: str, log: list[str], required: set[str]
    ) -> None:
        """Check that a read saw all required writes.

        Parameters
        ----------
        kind : str
            Kind of the read, for the message.
        row : str
            Result row, ``member@term.sequence``: the position of the read.
        log : list of str
            Writes in the member's log.
        required : set of str
            Writes that the read must see.
        """
        sequence = int(row.rpartition(".")[2])
        missing = required - set(log[:sequence])
        if missing:
            self.violations.append(
                f"{kind} read {row!r} lacks {len(missing)} of {len(required)} writes"
            )

    def check_logs(self, log: list[str]) -> None:
        """Check the log of the last primary against the reported outcomes."""
        counts = Counter(log)
        lost = [name for name in self.acknowledged if not counts[name]]
        duplicated = [name for name, count in counts.items() if count > 1]
        ran_although_refused = [name for name in self.refused if counts[name]]
        for description, names in (
            ("acknowledged writes are lost", lost),
            ("writes ran twice", duplicated),
            ("writes ran that were refused", ran_although_refused),
        ):
            if names:
                self.violations.append(f"{len(names)} {description}: {names[:3]}")

    def check_rate(self, organisation: str, rate_per_s: float, burst: float) -> None:
        """Check the rate of an organisation in every window of `RATE_WINDOW_MS`."""
        allowed = rate_per_s * RATE_WINDOW_MS / 1000 + burst
        limit = allowed * (1.0 + RATE_TOLERANCE) + RATE_MARGIN_STATEMENTS
        run_times_ms = self.runs[organisation]
        start = 0
        for index, at_ms in enumerate(run_times_ms):
            while run_times_ms[start] <= at_ms - RATE_WINDOW_MS:
                start += 1
            if index - start + 1 > limit:
                self.violations.append(
                    f"{organisation} ran {index - start + 1} operations in "
                    f"{RATE_WINDOW_MS:.0f} ms, allowed are {limit:.0f}"
                )
                return
