"""Kinds of statements, and their usual response times in a group."""

from __future__ import annotations

import enum
import math
from typing import Final

import attrs

from radishtrack.pooler.catalog import ReadClass
from radishtrack.pooler.statements import Begin, Commit, Prepare, Run, RunPrepared

MAX_CLASS_WEIGHT: Final = 40.0
"""Samples that the usual response time of a class of statements averages."""
MAX_SURPRISE: Final = 1.5
"""Largest difference of a logarithm from its expected value that counts."""
MEAN_PER_MEDIAN: Final = 1.28
"""Mean of a lognormal distribution with spread 0.7, in medians."""
DEFAULT_RESPONSE_MS: Final = 15.0
"""Response time of a class of statements without samples."""


class StatementKind(enum.Enum):
    """Kind of a statement by what the member does for it."""

    READ = "read"
    BEGIN = "begin"
    WRITE = "write"
    COMMIT = "commit"


StatementClass = tuple[StatementKind, ReadClass | None]
"""Statements with similar service time; without a read class, all of a kind."""
SPEED_KINDS: Final = frozenset({StatementKind.READ, StatementKind.WRITE})
"""Kinds whose time shows the member's speed. A begin takes little but the network, and
a commit waits for replicas."""


def find_kind(
    statement: Run | RunPrepared | Commit | Begin, prepare: Prepare | None
) -> StatementKind:
    """Return the kind of a statement; `prepare` defines a prepared one."""
    match statement:
        case Begin():
            return StatementKind.BEGIN
        case Commit():
            return StatementKind.COMMIT
        case Run(is_write=is_write):
            pass
        case _:
            is_write = prepare is not None and prepare.is_write
    return StatementKind.WRITE if is_write else StatementKind.READ


@attrs.define
class LogMean:
    """Mean of logarithms of durations, with the number of samples it stands for."""

    log_ms: float = math.log(DEFAULT_RESPONSE_MS)
    weight: float = 0.0

    def bound(self, difference: float) -> float:
        """Bound a difference from the mean; the first sample sets the mean."""
        if self.weight == 0.0:
            return difference
        return min(MAX_SURPRISE, max(-MAX_SURPRISE, difference))

    def add(self, difference: float) -> None:
        """Add a sample by its difference from the mean."""
        self.weight = min(MAX_CLASS_WEIGHT, self.weight + 1.0)
        self.log_ms += difference / self.weight


@attrs.define(eq=False)
class ServiceTimes:
    """Usual response times of a group's members without a queue, by class."""

    means: dict[StatementClass, LogMean] = attrs.field(factory=dict)

    def find(self, statement_class: StatementClass) -> LogMean:
        """Return the mean of a class; a class without samples starts at a default."""
        return self.means.setdefault(statement_class, LogMean())

    def usual_ms(self, statement_class: StatementClass) -> float:
        """Return the mean response time in milliseconds of a member without a queue."""
        return MEAN_PER_MEDIAN * math.exp(self.find(statement_class).log_ms)
