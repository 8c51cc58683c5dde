"""Ledger of client outcomes, and its comparison with the rows of the database."""

from __future__ import annotations

import enum
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from radishtrack.bench.schedule import Operation
from radishtrack.errors import ErrorCode, Outcome

MAX_RECENT_BOOKINGS: Final = 4096


class ClientOutcome(enum.Enum):
    """Result of one request as the client sees it."""

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
        """Whether a write with this result ran."""
        if self is ClientOutcome.OK:
            return Outcome.RAN
        unknown = (
            ClientOutcome.UNKNOWN,
            ClientOutcome.CONNECTION_LOST,
            ClientOutcome.TIMED_OUT,
        )
        return Outcome.UNKNOWN if self in unknown else Outcome.NOT_RUN


_OUTCOME_BY_CODE: Final[dict[int, ClientOutcome]] = {
    ErrorCode.ACCESS_DENIED: ClientOutcome.DENIED,
    ErrorCode.REFUSED: ClientOutcome.REFUSED,
    ErrorCode.OUTCOME_UNKNOWN: ClientOutcome.UNKNOWN,
    ErrorCode.OVER_RATE: ClientOutcome.OVER_RATE,
    ErrorCode.INVALID_OPTION: ClientOutcome.INVALID,
    ErrorCode.NO_SERVICE: ClientOutcome.NO_SERVICE,
    ErrorCode.DRAINING: ClientOutcome.DRAINING,
}
CLIENT_ERRORS: Final = range(2000, 3000)
"""Error numbers of the client library for connection failures."""


def classify_error(code: int) -> ClientOutcome:
    """Return the client outcome of a request that failed with a MySQL error number."""
    if code in CLIENT_ERRORS or code == 0:
        return ClientOutcome.CONNECTION_LOST
    return _OUTCOME_BY_CODE.get(code, ClientOutcome.DATABASE_ERROR)


@attrs.define(frozen=True)
class Write:
    """One write and its client outcome.

    Parameters
    ----------
    marker : str
        Value that is unique to the row of this write.
    operation : Operation
        Booking or receipt.
    organisation : str
        Organisation that sent it.
    client_outcome : ClientOutcome
        Result of the last attempt.
    has_unknown_attempt : bool
        Whether the outcome of an earlier attempt is unknown.
    """

    marker: str
    operation: Operation
    organisation: str
    client_outcome: ClientOutcome
    has_unknown_attempt: bool = False

    @property
    def outcome(self) -> Outcome:
        """Whether the write ran, as far as the client can tell after all attempts."""
        outcome = self.client_outcome.outcome
        if outcome is Outcome.NOT_RUN and self.has_unknown_attempt:
            return Outcome.UNKNOWN
        return outcome


@attrs.define(frozen=True)
class MissedRow:
    """An acknowledged row that a read failed to return."""

    operation: Operation
    organisation: str
    marker: str
    is_own_write: bool
    sent_ms: float


@attrs.define(frozen=True)
class AcknowledgedBooking:
    """A booking that was acknowledged to its client."""

    marker: str
    at_ms: float


@attrs.define
class Ledger:
    """Client outcomes of all writes, and the rows that reads missed."""

    writes: list[Write] = attrs.field(factory=list)
    missed: list[MissedRow] = attrs.field(factory=list)
    rows_expected: int = 0
    """Number of rows that reads had to return."""
    recent_bookings: deque[AcknowledgedBooking] = attrs.field(
        factory=lambda: deque(maxlen=MAX_RECENT_BOOKINGS)
    )

    def add_write(self, write: Write, now_ms: float) -> None:
        """Record a write after its last attempt."""
        self.writes.append(write)
        if (
            write.client_outcome is ClientOutcome.OK
            and write.operation is Operation.BOOKING
        ):
            self.recent_bookings.append(AcknowledgedBooking(write.marker, now_ms))

    def find_latest_before(self, at_ms: float) -> str | None:
        """Return the marker of the last booking acknowledged by `at_ms`."""
        bookings = (
            booking
            for booking in reversed(self.recent_bookings)
            if booking.at_ms <= at_ms
        )
        booking = next(bookings, None)
        return None if booking is None else booking.marker


@attrs.define(frozen=True)
class Judgement:
    """Result of comparing the ledger with the rows of the database.

    Parameters
    ----------
    acknowledged, not_run, unknown : int
        Number of writes by outcome at the client.
    lost : tuple of str
        Markers of acknowledged writes that are not in the database.
    duplicated : tuple of str
        Markers that are in the database more than once.
    ran_although_refused : tuple of str
        Markers of writes reported as not run that are in the database.
    unknown_present : int
        Writes of unknown outcome that are in the database.
    own_writes_missed : int
        Reads that did not return the session's own acknowledged write.
    stale_strict_reads, stale_aged_reads : int
        Reads without a row that was acknowledged before they were sent, or earlier
        than the accepted age.
    rows_expected : int
        Number of rows that reads had to return.
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
        """Whether no guarantee was violated."""
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
        Client outcomes.
    rows : mapping of Operation to iterable of str
        Markers in the tables of bookings and receipts.

    Returns
    -------
    Judgement
        Counts, and the markers of all violations.
    """
    marker_counts = {operation: Counter(markers) for operation, markers in rows.items()}
    outcomes = Counter(write.outcome for write in ledger.writes)

    def select(outcome: Outcome, is_present: bool) -> tuple[str, ...]:
        return tuple(
            write.marker
            for write in ledger.writes
            if write.outcome is outcome
            and (marker_counts[write.operation][write.marker] > 0) is is_present
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
            if marker_counts[write.operation][write.marker] > 1
        ),
        ran_although_refused=select(Outcome.NOT_RUN, True),
        unknown_present=len(select(Outcome.UNKNOWN, True)),
        own_writes_missed=own,
        stale_strict_reads=others[Operation.STATUS],
        stale_aged_reads=others[Operation.AGED],
        rows_expected=ledger.rows_expected,
    )
