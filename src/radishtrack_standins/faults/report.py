"""Results of the scenarios, by guarantee."""

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
MAX_SHOWN_PROBLEMS: Final = 3


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
class GuaranteeResult:
    """Requests, problems and figures of one guarantee in all scenarios."""

    number: int
    scenarios: list[str] = attrs.field(factory=list)
    """Names of the scenarios that tested the guarantee."""
    requests: int = 0
    problems: list[str] = attrs.field(factory=list)
    figures: dict[str, Figure] = attrs.field(factory=dict)

    @property
    def passed(self) -> bool:
        """Whether requests tested it, without a problem or a figure over its limit."""
        is_over_limit = any(figure.is_over_limit for figure in self.figures.values())
        return (
            bool(self.scenarios and self.requests)
            and not self.problems
            and not is_over_limit
        )

    def format_line(self) -> str:
        """Return one line with scenarios, verdict, problems and figures."""
        reasons = [str(f) for f in self.figures.values() if f.is_over_limit]
        reasons += self.problems[:MAX_SHOWN_PROBLEMS]
        hidden_count = len(self.problems) - MAX_SHOWN_PROBLEMS
        if hidden_count > 0:
            reasons.append(f"and {hidden_count} more")
        if not self.scenarios or not self.requests:
            reasons.append("no request tested it")
        verdict = "PASS" if self.passed else f"FAIL ({'; '.join(reasons)})"
        figures = ", ".join(
            str(f) for f in self.figures.values() if not f.is_over_limit
        )
        return (
            f"{self.number:2} {GUARANTEES[self.number]}: {', '.join(self.scenarios)}; "
            f"{self.requests} requests; {verdict}" + (f"; {figures}" if figures else "")
        )


@attrs.define
class Report:
    """Collects results under the name of the current scenario."""

    results: dict[int, GuaranteeResult] = attrs.field(factory=dict)
    scenario: str = ""
    selected_guarantees: frozenset[int] = frozenset(GUARANTEES)

    def get(self, guarantee: int) -> GuaranteeResult:
        """Return the result of one guarantee, empty at first."""
        return self.results.setdefault(guarantee, GuaranteeResult(guarantee))

    def add_requests(self, guarantee: int, count: int) -> None:
        """Count requests that could have broken the guarantee."""
        result = self.get(guarantee)
        if self.scenario not in result.scenarios:
            result.scenarios.append(self.scenario)
        result.requests += count

    def add_problem(self, guarantee: int, text: str) -> None:
        """Record a violation of the guarantee."""
        self.get(guarantee).problems.append(f"{self.scenario}: {text}")

    def require(self, guarantee: int, condition: object, text: str) -> None:
        """Record a problem unless the condition holds."""
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
        """Keep the highest value of a figure."""
        figures = self.get(guarantee).figures
        previous = figures.get(name)
        if previous is None or value > previous.value:
            figures[name] = Figure(name, value, unit, limit)


@attrs.define
class Summary:
    """Number of requests by outcome, for the log of a scenario."""

    outcomes: Counter[str] = attrs.field(factory=Counter)
