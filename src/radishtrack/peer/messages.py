"""Messages between nodes; each is one CBOR array in one WebSocket frame."""

from __future__ import annotations

from typing import Final

import attrs

PROTOCOL_VERSION: Final = 1
MAX_FRAME_BYTES: Final = 1 << 20

Row = tuple[str | bytes | None, ...]


@attrs.define(frozen=True)
class Hello:
    """Opens a connection."""

    version: int
    node: str
    nonce: bytes


@attrs.define(frozen=True)
class Challenge:
    """Answers `Hello` with proof that the server knows the fleet secret."""

    version: int
    node: str
    nonce: bytes
    proof: bytes


@attrs.define(frozen=True)
class Proof:
    """Proves that the connecting node knows the fleet secret."""

    proof: bytes


@attrs.define(frozen=True)
class Welcome:
    """Ends the handshake.

    Parameters
    ----------
    node : str
        The node that accepted.
    incarnation : int
        Higher after each start of the node's process.
    """

    node: str
    incarnation: int


@attrs.define(frozen=True)
class Execute:
    """Asks a holder to execute one statement.

    Parameters
    ----------
    request : int
        Identifies the request on this connection.
    session : int
        Identifies the client's session on this connection; transactions belong to it.
    organisation : str
        The organisation whose key came with the request.
    database : str
        The database to use.
    statement : str
        SQL text without options.
    kind : str
        A `StatementKind` value.
    read_class : str
        ``"strict"``, ``"session"`` or ``"aged"``; ignored for other statements.
    max_age_ms : float
        Accepted age of the data in milliseconds, for aged reads.
    term, sequence : int
        The session's position in the database; both 0 if it has none.
    request_id : str
        Idempotency identifier given by the client; empty if none.
    timeout_ms : float
        Time left for the request in milliseconds. Relative, because the clocks of
        two nodes have no common origin.
    dirties_session : bool
        Whether the connection must not be reused afterwards.
    """

    request: int
    session: int
    organisation: str
    database: str
    statement: str
    kind: str
    read_class: str
    max_age_ms: float
    term: int
    sequence: int
    request_id: str
    timeout_ms: float
    dirties_session: bool


@attrs.define(frozen=True)
class ResultHead:
    """Starts a result set: names and MySQL type codes of its columns."""

    request: int
    names: tuple[str, ...]
    types: tuple[int, ...]


@attrs.define(frozen=True)
class Rows:
    """A chunk of rows of a result set."""

    request: int
    rows: tuple[Row, ...]


@attrs.define(frozen=True)
class Credit:
    """Permits the holder to send further `Rows` messages."""

    request: int
    chunks: int


@attrs.define(frozen=True)
class Done:
    """Ends a request that ran.

    Parameters
    ----------
    request : int
        The request.
    affected_rows, insert_id : int
        As in MySQL's OK packet.
    term, sequence : int
        Position that the session has now seen; both 0 if unchanged.
    served_by : str
        The member that executed the statement.
    role : str
        Role of that member.
    in_transaction : bool
        Whether the session has an open transaction afterwards.
    """

    request: int
    affected_rows: int
    insert_id: int
    term: int
    sequence: int
    served_by: str
    role: str
    in_transaction: bool


@attrs.define(frozen=True)
class Failed:
    """Ends a request that failed; carries a `Failure`."""

    request: int
    step: str
    peer: str
    outcome: str
    code: int
    message: str
    retry_after_ms: float
    transaction_lost: bool


@attrs.define(frozen=True)
class Cancel:
    """The client went away; the holder stops the request."""

    request: int


@attrs.define(frozen=True)
class EndSession:
    """The client's session ended; the holder rolls back its transaction."""

    session: int


@attrs.define(frozen=True)
class VoteRequest:
    """Asks whether the receiver can reach a member."""

    request: int
    database: str
    member: str


@attrs.define(frozen=True)
class Vote:
    """Answers `VoteRequest`."""

    request: int
    unreachable: bool


@attrs.define(frozen=True)
class TokensWanted:
    """Asks the allocator of an organisation for rate tokens; see `token_codec`."""

    request: int
    payload: bytes


@attrs.define(frozen=True)
class Tokens:
    """Answers `TokensWanted`.

    Parameters
    ----------
    request : int
        The request.
    payload : bytes
        A grant; empty if the node does not hold the lease.
    lease_node : str
        The node that does, as far as the sender knows; else empty.
    """

    request: int
    payload: bytes
    lease_node: str


@attrs.define(frozen=True)
class Leaving:
    """The sender stops accepting work."""

    node: str
    incarnation: int


@attrs.define(frozen=True)
class CopyRequest:
    """Asks a peer for its copies of keys and configuration.

    Parameters
    ----------
    request : int
        The request.
    keys_digest : str
        Identifies the keys that the sender has.
    revision : int
        The configuration that the sender has.
    """

    request: int
    keys_digest: str
    revision: int


@attrs.define(frozen=True)
class Copy:
    """Answers `CopyRequest`.

    Parameters
    ----------
    request : int
        The request.
    contact_age_ms : float
        Milliseconds since the sender last heard from the platform.
    objects : tuple of bytes
        The sealed copy of the keys, then that of the configuration if it is newer.
    """

    request: int
    contact_age_ms: float
    objects: tuple[bytes, ...]


@attrs.define(frozen=True)
class KeysChanged:
    """Tells that keys were revoked, for a peer that is cut off from the platform.

    Parameters
    ----------
    objects : bytes
        Sealed copy of the organisations' keys that changed.
    """

    objects: bytes


@attrs.define(frozen=True)
class RecordRequest:
    """Asks a peer for its record of a database group."""

    request: int
    database: str


@attrs.define(frozen=True)
class Record:
    """Answers `RecordRequest`.

    Parameters
    ----------
    request : int
        The request.
    version : int
        Version of the platform's object; 0 if the sender has none.
    value : bytes
        The object's value as CBOR.
    """

    request: int
    version: int
    value: bytes


@attrs.define(frozen=True)
class WithdrawBelief:
    """Asks the receiver to drop its evidence of who leads a group.

    The sender has fenced the group's members, so the receiver can't gather new evidence
    until a promotion has taken effect or was given up.
    """

    request: int
    database: str


@attrs.define(frozen=True)
class BeliefWithdrawn:
    """Answers `WithdrawBelief` once it is in force."""

    request: int


@attrs.define(frozen=True)
class SharesWanted:
    """Lends the sender's shares of all rates and asks for tokens.

    Parameters
    ----------
    request : int
        The request.
    epoch : int
        The receiver's period as holder of the rates.
    reply : int
        Number of the last `SharesGranted` of this period that the sender has received.
    nodes : int
        Nodes among which the sender divides the rates; it lends one part of so many.
    wanted : tuple
        Pairs of organisation and number of tokens.
    """

    request: int
    epoch: int
    reply: int
    nodes: int
    wanted: tuple[tuple[str, int], ...]


@attrs.define(frozen=True)
class SharesGranted:
    """Answers `SharesWanted`.

    Parameters
    ----------
    request : int
        The request.
    epoch : int
        The sender's period as holder of the rates; 0 if it is not the holder.
    reply : int
        Number of this answer in the period; 0 if the receiver's shares are returned.
    granted : tuple
        Organisation, number of tokens, and milliseconds until there may be more.
    copy_age_ms : float
        Age of the sender's copy of the store.
    """

    request: int
    epoch: int
    reply: int
    granted: tuple[tuple[str, int, float], ...]
    copy_age_ms: float


@attrs.define(frozen=True)
class SharesReturned:
    """Ends the sender's loan; answered by `SharesGranted` with reply 0."""

    request: int


@attrs.define(frozen=True)
class HolderAsked:
    """Asks when the receiver last had an answer of the rates' holder."""

    request: int


@attrs.define(frozen=True)
class HolderHeard:
    """Answers `HolderAsked`; the age is in milliseconds."""

    request: int
    age_ms: float


@attrs.define(frozen=True)
class DutyChanged:
    """Tells that the sender has written a duty's record; see `Duty`."""

    request: int
    name: str
    holder: str
    revision: int
    claim: str


@attrs.define(frozen=True)
class DutyNoted:
    """Answers `DutyChanged`."""

    request: int


@attrs.define(frozen=True)
class ReportsWanted:
    """Asks a node for the members' reports that it has and has not yet passed on.

    Parameters
    ----------
    request : int
        The request.
    newer_than : int
        Number of the last `Reports` that the sender has received; 0 for none.
    """

    request: int
    newer_than: int


PackedReport = tuple[str, str, bool, int, int, int, int, int, int, float, float]
"""A member's report in `Reports`."""


@attrs.define(frozen=True)
class Reports:
    """Answers `ReportsWanted`.

    Parameters
    ----------
    request : int
        The request.
    number : int
        Number of this answer; 0 if the sender does not poll for others.
    revision : int
        Revision of the platform's store up to which the sender's copy is complete.
    catalog : int
        Version of the configuration in that copy.
    members : int
        Digest of the members in that copy.
    fleet : int
        Digest of the nodes, duties and terms in that copy.
    confirmed_age_ms : float
        Milliseconds since the sender asked the store for that revision.
    reports : tuple
        For each member: group, name, whether it leads, term, term and sequence of the
        received and of the applied position, fenced term, lag, and the age of the
        report, the last two in milliseconds. An age counts up to this answer.
    """

    request: int
    number: int
    revision: int
    catalog: int
    members: int
    fleet: int
    confirmed_age_ms: float
    reports: tuple[PackedReport, ...]


Message = (
    Hello
    | Challenge
    | Proof
    | Welcome
    | Execute
    | ResultHead
    | Rows
    | Credit
    | Done
    | Failed
    | Cancel
    | EndSession
    | VoteRequest
    | Vote
    | TokensWanted
    | Tokens
    | Leaving
    | CopyRequest
    | Copy
    | RecordRequest
    | Record
    | KeysChanged
    | WithdrawBelief
    | BeliefWithdrawn
    | SharesWanted
    | SharesGranted
    | SharesReturned
    | HolderAsked
    | HolderHeard
    | DutyChanged
    | DutyNoted
    | ReportsWanted
    | Reports
)

MESSAGE_TYPES: Final[tuple[type[Message], ...]] = (
    Hello,
    Challenge,
    Proof,
    Welcome,
    Execute,
    ResultHead,
    Rows,
    Credit,
    Done,
    Failed,
    Cancel,
    EndSession,
    VoteRequest,
    Vote,
    TokensWanted,
    Tokens,
    Leaving,
    CopyRequest,
    Copy,
    RecordRequest,
    Record,
    KeysChanged,
    WithdrawBelief,
    BeliefWithdrawn,
    SharesWanted,
    SharesGranted,
    SharesReturned,
    HolderAsked,
    HolderHeard,
    DutyChanged,
    DutyNoted,
    ReportsWanted,
    Reports,
)
"""The place in this tuple is the type number on the wire; only append."""
