"""Statements of clients and of the pooler itself, and the responses to them."""

from __future__ import annotations

import enum

import attrs

from radishtrack.pooler.catalog import MemberReport
from radishtrack.session.position import Position


class TransactionState(enum.Enum):
    """Transaction state of a session or member connection after a response."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Refusal(enum.Enum):
    """Why a statement has no result."""

    NO_DATABASE = "no such database"
    NO_ACCESS = "key is not accepted"
    BUSY = "no capacity"
    ABORTED = "transaction aborted"
    LAGGING = "log lacks the position"
    READ_ONLY = "member is not the primary"
    WRONG_MEMBER = "another member answered"
    CONNECTION_LIMIT = "member accepts no more connections"
    NO_STATEMENT = "no such prepared statement"
    EXECUTION_FAILED = "statement ran and failed"
    TIMED_OUT = "statement ran too long"
    OUTCOME_UNKNOWN = "outcome unknown"
    MALFORMED = "statement can't be accepted"


NOT_RUN = frozenset(
    {
        Refusal.BUSY,
        Refusal.LAGGING,
        Refusal.READ_ONLY,
        Refusal.WRONG_MEMBER,
        Refusal.CONNECTION_LIMIT,
        Refusal.NO_STATEMENT,
    }
)
"""Refusals of a member which mean that the statement did not run."""


@attrs.frozen
class Begin:
    """Starts a transaction."""

    is_read_only: bool


@attrs.frozen
class Commit:
    """Ends a transaction and keeps its writes."""

    statement_id: str


@attrs.frozen
class Rollback:
    """Ends a transaction and discards its writes."""


@attrs.frozen
class Run:
    """A read or write; members get its text unchanged."""

    statement_id: str
    text: str
    is_write: bool


@attrs.frozen
class RunPrepared:
    """Runs a prepared statement.

    Parameters
    ----------
    statement_id : str
        Identifier given by the client.
    name : str
        Name of the prepared statement.
    arguments : str
        Rest of the statement; members get it unchanged.
    """

    statement_id: str
    name: str
    arguments: str


@attrs.frozen
class SetValue:
    """Sets a session value."""

    name: str
    value: str


@attrs.frozen
class Prepare:
    """Prepares a statement under a name.

    Parameters
    ----------
    name : str
        Name for `RunPrepared`.
    is_write : bool
        Whether it writes.
    shape : str
        Shape of the query; members get it unchanged.
    """

    name: str
    is_write: bool
    shape: str


@attrs.frozen
class Deallocate:
    """Removes a prepared statement."""

    name: str


@attrs.frozen
class Discard:
    """Removes all values and prepared statements of a member connection."""


@attrs.frozen
class GetStatus:
    """Requests a member's report."""


@attrs.frozen
class Fence:
    """Stops a replica from receiving the log until a promotion to `term`."""

    term: int


@attrs.frozen
class Unfence:
    """Lets a fenced replica receive the log again."""


@attrs.frozen
class StepDown:
    """Demotes a primary of a lower term than `term` to a replica."""

    term: int


@attrs.frozen
class InvalidStatement:
    """A statement of a client that can't be parsed."""

    reason: str


ClientStatement = (
    Begin
    | Commit
    | Rollback
    | Run
    | RunPrepared
    | SetValue
    | Prepare
    | Deallocate
    | InvalidStatement
)
MemberStatement = (
    Begin
    | Commit
    | Rollback
    | Run
    | RunPrepared
    | SetValue
    | Prepare
    | Discard
    | GetStatus
    | Fence
    | Unfence
    | StepDown
)


@attrs.frozen
class MemberResponse:
    """A member's complete response to one statement.

    Parameters
    ----------
    rows : tuple of str
        Result rows, as sent.
    signature : str
        The member's signature of the result.
    refusal : Refusal or None
        Why there is no result.
    detail : str
        The member's explanation of the refusal.
    state : TransactionState
        State of the connection after the statement.
    position : Position or None
        End of the member's log.
    report : MemberReport or None
        For `GetStatus`, `Fence`, `Unfence` and `StepDown`.
    """

    rows: tuple[str, ...] = ()
    signature: str = ""
    refusal: Refusal | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None
    report: MemberReport | None = None


@attrs.frozen
class ClientResponse:
    """The response to a client's statement."""

    state: TransactionState
    rows: tuple[str, ...] = ()
    signature: str = ""
    refusal: Refusal | None = None
    detail: str = ""
