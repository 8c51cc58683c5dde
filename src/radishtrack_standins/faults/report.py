"""What the scenarios found, by guarantee."""

from __future__ import annotations

from collections import Counter
from typing import Final

import attrs

GUARANTEES: Final = {
    1: "read-your-writes within a session",
    2: "no acknowledgement by a replaced primary",
    3: "transactions are never mixed",
    4: "requests run for the key's organisation",
    5: "no database sees a key",
    6: "a revoked key stops within seconds",
    7: "rate and burst hold across the fleet",
    8: "complete response to the own request",
    9: "refused as not run means not run",
    10: "a posting runs at most once",
    11: "a leaving member gets no new work",
    12: "a planned stop interrupts no request",
    13: "configuration in force, never rolled back",
}
SHOWN_PROBLEMS: Final = 3


@attrs.define(frozen=True)
class Figure:
    """A measured figure and the limit that the requirements set."""

    name: str
    value: float
    unit: str
    limit: float | None = None

    @property
    def is_over_limit(self) -> bool:
        """Whether the figure is over its limit."""
        return self.limit is not None and self.value > self.limit

    def __str__(self) -> str:
        limit = "" if self.limit is None else f" (limit {self.limit:g})"
        return f"{self.name} {self.value:.4g} {self.unit}{limit}".replace("  ", " ")


@attrs.define
class Evidence:
    """Everything that was found about one guarantee."""

    number: int
    driven: list[str] = attrs.field(factory=list)
    requests: int = 0
    problems: list[str] = attrs.field(factory=list)
    figures: dict[str, Figure] = attrs.field(factory=dict)

    @property
    def passed(self) -> bool:
        """Whether something was driven and nothing spoke against the guarantee."""
        is_over_limit = any(figure.is_over_limit for figure in self.figures.values())
        return (
            bool(self.driven and self.requests)
            and not self.problems
            and not is_over_limit
        )

    def describe(self) -> str:
        """Return the line that is printed."""
        reasons = [str(f) for f in self.figures.values() if f.is_over_limit]
        reasons += self.problems[:SHOWN_PROBLEMS]
        hidden = len(self.problems) - SHOWN_PROBLEMS
        if hidden > 0:
            reasons.append(f"and {hidden} more")
        if not self.driven or not self.requests:
            reasons.append("nothing was driven")
        verdict = "PASS" if self.passed else f"FAIL ({'; '.join(reasons)})"
        figures = ", ".join(
            str(f) for f in self.figures.values() if not f.is_over_limit
        )
        return (
            f"{self.number:2} {GUARANTEES[self.number]}: {', '.join(self.driven)}; "
            f"{self.requests} requests; {verdict}" + (f"; {figures}" if figures else "")
        )


@attrs.define
class Report:
    """Collects evidence; scenarios add to it under their own name."""

    evidence: dict[int, Evidence] = attrs.field(factory=dict)
    scenario: str = ""
    wanted: frozenset[int] = frozenset(GUARANTEES)

    def get(self, guarantee: int) -> Evidence:
        """Return the evidence of one guarantee."""
        return self.evidence.setdefault(guarantee, Evidence(guarantee))

    def add_requests(self, guarantee: int, count: int) -> None:
        """Count requests that could have broken the guarantee."""
        found = self.get(guarantee)
        if self.scenario not in found.driven:
            found.driven.append(self.scenario)
        found.requests += count

    def add_problem(self, guarantee: int, text: str) -> None:
        """Note something that breaks the guarantee."""
        self.get(guarantee).problems.append(f"{self.scenario}: {text}")

    def require(self, guarantee: int, condition: object, text: str) -> None:
        """Note a problem unless the condition holds."""
        if not condition:
            self.add_problem(guarantee, text)

    def add_figure(
        self,
        guarantee: int,
        name: str,
        value: float,
        unit: str,
        limit: float | None = None,
    ) -> None:
        """Keep the worst value of a figure."""
        figures = self.get(guarantee).figures
        known = figures.get(name)
        if known is None or value > known.value:
            figures[name] = Figure(name, value, unit, limit)


@attrs.define
class Summary:
    """Counts of outcomes, for the log of a scenario."""

    outcomes: Counter[str] = attrs.field(factory=Counter)
