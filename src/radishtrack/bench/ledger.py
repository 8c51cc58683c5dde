"""What callers were told, judged against the rows of the database."""

from __future__ import annotations

import enum
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from radishtrack.bench.schedule import Operation
from radishtrack.errors import ErrorCode, Outcome

KEPT_ACKNOWLEDGED: Final = 4096


class Told(enum.Enum):
    """What the caller learned about one request."""

    OK = "ok"
    REFUSED = "refused"
    OVER_RATE = "over rate"
    INVALID = "invalid option"
    NO_SERVICE = "no service"
    DENIED = "access denied"
    DRAINING = "draining"
    UNKNOWN = "outcome unknown"
    DATABASE_ERROR = "error of the database"
    CONNECTION_LOST = "connection lost"
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "no connection"
    NOT_SENT = "queue of the load tool full"

    @property
    def outcome(self) -> Outcome:
        """What follows for the execution of a write."""
        if self is Told.OK:
            return Outcome.RAN
        unknown = (Told.UNKNOWN, Told.CONNECTION_LOST, Told.TIMED_OUT)
        return Outcome.UNKNOWN if self in unknown else Outcome.NOT_RUN


_TOLD_BY_CODE: Final[dict[int, Told]] = {
    ErrorCode.ACCESS_DENIED: Told.DENIED,
    ErrorCode.REFUSED: Told.REFUSED,
    ErrorCode.OUTCOME_UNKNOWN: Told.UNKNOWN,
    ErrorCode.OVER_RATE: Told.OVER_RATE,
    ErrorCode.INVALID_OPTION: Told.INVALID,
    ErrorCode.NO_SERVICE: Told.NO_SERVICE,
    ErrorCode.DRAINING: Told.DRAINING,
}
CLIENT_ERRORS: Final = range(2000, 3000)
"""Numbers that the client library gives to failures of the connection."""


def classify_error(code: int) -> Told:
    """Return what a MySQL error number tells the caller about a sent request."""
    if code in CLIENT_ERRORS or code == 0:
        return Told.CONNECTION_LOST
    return _TOLD_BY_CODE.get(code, Told.DATABASE_ERROR)


@attrs.define(frozen=True)
class Write:
    """One write and what its caller was told.

    Parameters
    ----------
    marker : str
        Value that only the row of this write has.
    operation : Operation
        Booking or receipt.
    organisation : str
        Whose write it is.
    told : Told
        The last answer, or what became of the connection.
    has_unknown_attempt : bool
        Whether an earlier attempt ended without an answer.
    """

    marker: str
    operation: Operation
    organisation: str
    told: Told
    has_unknown_attempt: bool = False

    @property
    def outcome(self) -> Outcome:
        """What the caller knows about the write after all its attempts."""
        outcome = self.told.outcome
        if outcome is Outcome.NOT_RUN and self.has_unknown_attempt:
            return Outcome.UNKNOWN
        return outcome


@attrs.define(frozen=True)
class MissedRow:
    """A read that should have returned an acknowledged row and did not."""

    operation: Operation
    organisation: str
    marker: str
    is_own_write: bool
    sent_ms: float


@attrs.define(frozen=True)
class Acknowledged:
    """A booking whose caller was told that it ran."""

    marker: str
    at_ms: float


@attrs.define
class Ledger:
    """Everything that callers were told."""

    writes: list[Write] = attrs.field(factory=list)
    missed: list[MissedRow] = attrs.field(factory=list)
    rows_expected: int = 0
    """Rows that reads were checked for."""
    recent: deque[Acknowledged] = attrs.field(
        factory=lambda: deque(maxlen=KEPT_ACKNOWLEDGED)
    )

    def add_write(self, write: Write, now_ms: float) -> None:
        """Record a write after its last attempt."""
        self.writes.append(write)
        if write.told is Told.OK and write.operation is Operation.BOOKING:
            self.recent.append(Acknowledged(write.marker, now_ms))

    def latest_before(self, at_ms: float) -> str | None:
        """Return a booking acknowledged no later than `at_ms`, the latest known."""
        found = (entry for entry in reversed(self.recent) if entry.at_ms <= at_ms)
        entry = next(found, None)
        return None if entry is None else entry.marker


@attrs.define(frozen=True)
class Judgement:
    """What the ledger and the rows say together.

    Parameters
    ----------
    acknowledged, not_run, unknown : int
        Writes by what their callers know.
    lost : tuple of str
        Acknowledged and not in the database.
    duplicated : tuple of str
        In the database more than once.
    ran_although_refused : tuple of str
        Reported as not run, and in the database.
    unknown_present : int
        Unknown writes that are in the database.
    own_writes_missed : int
        Reads that did not return the session's own acknowledged write.
    stale_strict_reads, stale_aged_reads : int
        Reads without a row that was acknowledged before they were sent, or earlier
        than the accepted age.
    rows_expected : int
        Rows that reads were checked for.
    """

    acknowledged: int
    not_run: int
    unknown: int
    lost: tuple[str, ...]
    duplicated: tuple[str, ...]
    ran_although_refused: tuple[str, ...]
    unknown_present: int
    own_writes_missed: int
    stale_strict_reads: int
    stale_aged_reads: int
    rows_expected: int

    @property
    def is_clean(self) -> bool:
        """Whether no guarantee was broken."""
        return not (
            self.lost
            or self.duplicated
            or self.ran_although_refused
            or self.own_writes_missed
            or self.stale_strict_reads
            or self.stale_aged_reads
        )


def judge(ledger: Ledger, rows: Mapping[Operation, Iterable[str]]) -> Judgement:
    """Compare the ledger with the rows of the database.

    Parameters
    ----------
    ledger : Ledger
        What callers were told.
    rows : mapping of Operation to iterable of str
        Markers in the tables of bookings and receipts.

    Returns
    -------
    Judgement
        Counts, and the markers of every broken promise.
    """
    held = {operation: Counter(markers) for operation, markers in rows.items()}
    outcomes = Counter(write.outcome for write in ledger.writes)

    def select(outcome: Outcome, is_present: bool) -> tuple[str, ...]:
        return tuple(
            write.marker
            for write in ledger.writes
            if write.outcome is outcome
            and (held[write.operation][write.marker] > 0) is is_present
        )

    own = sum(missed.is_own_write for missed in ledger.missed)
    others = Counter(
        missed.operation for missed in ledger.missed if not missed.is_own_write
    )
    return Judgement(
        acknowledged=outcomes[Outcome.RAN],
        not_run=outcomes[Outcome.NOT_RUN],
        unknown=outcomes[Outcome.UNKNOWN],
        lost=select(Outcome.RAN, False),
        duplicated=tuple(
            write.marker
            for write in ledger.writes
            if held[write.operation][write.marker] > 1
        ),
        ran_although_refused=select(Outcome.NOT_RUN, True),
        unknown_present=len(select(Outcome.UNKNOWN, True)),
        own_writes_missed=own,
        stale_strict_reads=others[Operation.STATUS],
        stale_aged_reads=others[Operation.AGED],
        rows_expected=ledger.rows_expected,
    )
