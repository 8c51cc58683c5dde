"""Messages between nodes; each is a CBOR array in a WebSocket frame of its own."""

from __future__ import annotations

from typing import Final

import attrs

PROTOCOL_VERSION: Final = 1
MAX_FRAME_BYTES: Final = 1 << 20

Row = tuple[str | bytes | None, ...]


@attrs.define(frozen=True)
class Hello:
    """Starts the handshake; sent by the connecting node."""

    version: int
    node: str
    nonce: bytes


@attrs.define(frozen=True)
class Challenge:
    """Response to `Hello`; proves that the accepting node knows the fleet secret."""

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
        The node that accepted the connection.
    incarnation : int
        Number that increases with each start of the node's process.
    """

    node: str
    incarnation: int


@attrs.define(frozen=True)
class Execute:
    """Requests a holder to execute a statement.

    Parameters
    ----------
    request : int
        Identifies the request on this connection.
    session : int
        Identifies the client's session on this connection; sessions own transactions.
    organisation : str
        The organisation that the client's key belongs to.
    database : str
        The database to use.
    statement : str
        SQL text without proxy options.
    kind : str
        A value of `radishtrack.routing.statement.Kind`.
    read_class : str
        ``"strict"``, ``"session"`` or ``"aged"``; used for reads only.
    max_age_ms : float
        Maximum age of the data in milliseconds, for aged reads.
    term, sequence : int
        The session's position in the database; both 0 if it has none.
    request_id : str
        Idempotency key given by the client; empty if none.
    timeout_ms : float
        Remaining time for the request in milliseconds; relative, because the clocks of
        two nodes have no common origin.
    dirties_session : bool
        Whether the statement leaves state in its database connection, which then must
        not be reused.
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
    """Starts a result set with the names and MySQL type codes of its columns."""

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
    """Permits the holder to send further `Rows` messages (flow control)."""

    request: int
    chunks: int


@attrs.define(frozen=True)
class Done:
    """Ends a request that was executed.

    Parameters
    ----------
    request : int
        The request.
    affected_rows, insert_id : int
        As in MySQL's OK packet.
    term, sequence : int
        New position of the session; both 0 if unchanged.
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
    """Ends a request that failed; contains the fields of a `Failure`."""

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
    """Requests the holder to stop a request whose client has disconnected."""

    request: int


@attrs.define(frozen=True)
class EndSession:
    """Requests the holder to roll back the transaction of a session that ended."""

    session: int


@attrs.define(frozen=True)
class VoteRequest:
    """Requests a vote on whether a member is unreachable for the receiver."""

    request: int
    database: str
    member: str


@attrs.define(frozen=True)
class Vote:
    """Response to `VoteRequest`."""

    request: int
    unreachable: bool


@attrs.define(frozen=True)
class TokensWanted:
    """Requests rate tokens from an organisation's allocator; see `token_codec`."""

    request: int
    payload: bytes


@attrs.define(frozen=True)
class Tokens:
    """Response to `TokensWanted`.

    Parameters
    ----------
    request : int
        The request.
    payload : bytes
        A grant; empty if the node does not hold the lease.
    lease_node : str
        The node that holds the lease, if the sender knows it; else empty.
    """

    request: int
    payload: bytes
    lease_node: str


@attrs.define(frozen=True)
class Leaving:
    """Announces that the sender stops accepting work."""

    node: str
    incarnation: int


@attrs.define(frozen=True)
class CopyRequest:
    """Requests a peer's copies of keys and configuration.

    Parameters
    ----------
    request : int
        The request.
    keys_digest : str
        Digest of the sender's keys.
    revision : int
        Revision of the sender's configuration.
    """

    request: int
    keys_digest: str
    revision: int


@attrs.define(frozen=True)
class Copy:
    """Response to `CopyRequest`.

    Parameters
    ----------
    request : int
        The request.
    contact_age_ms : float
        Milliseconds since the sender's last contact with the platform.
    objects : tuple of bytes
        The sealed copy of the keys, followed by that of the configuration if it is
        newer than the receiver's.
    """

    request: int
    contact_age_ms: float
    objects: tuple[bytes, ...]


@attrs.define(frozen=True)
class KeysChanged:
    """Announces revoked keys, for peers that cannot reach the platform.

    Parameters
    ----------
    objects : bytes
        Sealed copy of the changed organisations' keys.
    """

    objects: bytes


@attrs.define(frozen=True)
class RecordRequest:
    """Requests a peer's record of a database group."""

    request: int
    database: str


@attrs.define(frozen=True)
class Record:
    """Response to `RecordRequest`.

    Parameters
    ----------
    request : int
        The request.
    version : int
        Version of the platform's object; 0 if the sender has no record.
    value : bytes
        Value of the platform's object as CBOR.
    """

    request: int
    version: int
    value: bytes


@attrs.define(frozen=True)
class WithdrawBelief:
    """Requests the receiver to invalidate its evidence of a group's primary.

    The sender has fenced the group's members, so the receiver cannot collect new
    evidence until a promotion has completed or was abandoned.
    """

    request: int
    database: str


@attrs.define(frozen=True)
class BeliefWithdrawn:
    """Response to `WithdrawBelief`, after the evidence was invalidated.

    Parameters
    ----------
    request : int
        The request.
    acknowledged_term : int
        Newest term in which the sender has acknowledged a commit of the group; 0 if it
        has acknowledged none.
    """

    request: int
    acknowledged_term: int


@attrs.define(frozen=True)
class WithdrawEvidence:
    """Requests the same as `WithdrawBelief`, and what the receiver has acknowledged.

    Earlier versions of this program close the connection on this message.
    """

    request: int
    database: str


@attrs.define(frozen=True)
class EvidenceWithdrawn:
    """Response to `WithdrawEvidence`, after the evidence was invalidated.

    Parameters
    ----------
    request : int
        The request.
    least_term, least_sequence : int
        Position that the newest commit acknowledged by the sender has at least; zeros
        if it has acknowledged none.
    most_term, most_sequence : int
        Position that contains all commits acknowledged by the sender.
    running_ms : float
        Time in milliseconds since the start of the sender's process.
    """

    request: int
    least_term: int
    least_sequence: int
    most_term: int
    most_sequence: int
    running_ms: float


@attrs.define(frozen=True)
class SharesWanted:
    """Delegates the sender's shares of all rates and requests tokens.

    Parameters
    ----------
    request : int
        The request.
    epoch : int
        Identifies the receiver's period as rate coordinator.
    reply : int
        Number of the last `SharesGranted` of this period that the sender has received.
    nodes : int
        Number of nodes among which the sender divides the rates; it delegates one such
        share of each rate.
    wanted : tuple
        Pairs of organisation and requested number of tokens.
    unused_ms : float
        Time in milliseconds for which the sender's shares were neither used nor
        delegated before its first delegation; 0 later.
    """

    request: int
    epoch: int
    reply: int
    nodes: int
    wanted: tuple[tuple[str, int], ...]
    unused_ms: float


@attrs.define(frozen=True)
class SharesGranted:
    """Response to `SharesWanted`.

    Parameters
    ----------
    request : int
        The request.
    epoch : int
        Identifies the sender's period as rate coordinator; 0 if it is not the
        coordinator.
    reply : int
        Number of this response in the period; 0 if the receiver's shares are returned.
    granted : tuple
        For each organisation: its name, number of tokens, and milliseconds until more
        may be available.
    copy_age_ms : float
        Age of the sender's copy of the store in milliseconds.
    """

    request: int
    epoch: int
    reply: int
    granted: tuple[tuple[str, int, float], ...]
    copy_age_ms: float


@attrs.define(frozen=True)
class SharesReturned:
    """Ends the sender's delegation; the response is `SharesGranted` with reply 0."""

    request: int


@attrs.define(frozen=True)
class HolderAsked:
    """Requests the age of the rate coordinator's last response to the receiver."""

    request: int


@attrs.define(frozen=True)
class HolderHeard:
    """Response to `HolderAsked`; the age is in milliseconds."""

    request: int
    age_ms: float


@attrs.define(frozen=True)
class DutyChanged:
    """Announces that the sender has written a duty's record; see `Duty`."""

    request: int
    name: str
    holder: str
    revision: int
    claim: str


@attrs.define(frozen=True)
class DutyNoted:
    """Response to `DutyChanged`."""

    request: int


@attrs.define(frozen=True)
class ReportsWanted:
    """Requests the members' reports that the receiver has not yet sent to the sender.

    Parameters
    ----------
    request : int
        The request.
    newer_than : int
        Number of the last `Reports` that the sender has received; 0 for none.
    """

    request: int
    newer_than: int


PackedReport = tuple[
    str, str, bool, int, int, int, int, int, int, float, float, int, int
]
"""A member's report in `Reports`."""


@attrs.define(frozen=True)
class Reports:
    """Response to `ReportsWanted`.

    Parameters
    ----------
    request : int
        The request.
    number : int
        Number of this response; 0 if the sender does not poll for other nodes.
    revision : int
        Revision of the platform's store up to which the sender's copy is complete.
    catalog : int
        Version of the configuration in that copy.
    members : int
        Digest of the members in that copy.
    fleet : int
        Digest of the nodes, duties and terms in that copy.
    confirmed_age_ms : float
        Milliseconds since the sender requested that revision from the store.
    reports : tuple
        For each member: group, name, whether it is the primary, term, term and sequence
        of the received and of the applied position, fenced term, replication lag, and
        age of the report when this response was sent. The last two are in milliseconds.
    """

    request: int
    number: int
    revision: int
    catalog: int
    members: int
    fleet: int
    confirmed_age_ms: float
    reports: tuple[PackedReport, ...]


@attrs.define(frozen=True)
class ContentWanted:
    """Requests the parts of the store's content that the sender lacks.

    Parameters
    ----------
    request : int
        The request.
    revision, catalog, members, fleet : int
        The content that was confirmed to the sender, as in `Reports`.
    present_catalog, present_members, present_fleet : int
        Version and digests of the sender's own copy.
    """

    request: int
    revision: int
    catalog: int
    members: int
    fleet: int
    present_catalog: int
    present_members: int
    present_fleet: int


@attrs.define(frozen=True)
class Content:
    """Response to `ContentWanted`; parts that the receiver has already are empty."""

    request: int
    catalog: bytes
    members: bytes
    fleet: bytes


@attrs.define(frozen=True)
class ContentPageWanted:
    """Requests a page of the difference between the sender's content and another.

    Nodes of versions before this message close the connection on it.

    Parameters
    ----------
    request : int
        The request.
    revision, catalog, members, fleet : int
        The content that was confirmed to the sender, as in `Reports`.
    present_catalog, present_members, present_fleet : int
        Version and digests of the sender's own copy; 0 for a part that the receiver
        shall send whole.
    transfer : int
        Transfer of which the sender has pages, as in `ContentPage`; 0 for none.
    offset : int
        Size of these pages in bytes.
    """

    request: int
    revision: int
    catalog: int
    members: int
    fleet: int
    present_catalog: int
    present_members: int
    present_fleet: int
    transfer: int
    offset: int


@attrs.define(frozen=True)
class ContentPage:
    """Response to `ContentPageWanted`.

    Parameters
    ----------
    request : int
        The request.
    state : str
        ``"data"``; ``"pending"`` if the sender has not got the content yet, or
        ``"unavailable"`` if it does not reach the store either.
    transfer : int
        Names the bytes that the pages make up.
    size : int
        Their number.
    offset : int
        Where the page begins; 0 if the sender has no transfer as requested.
    data : bytes
        The page.
    confirmed_age_ms : float
        Milliseconds since the sender's copy, which has this content, is known to have
        equalled the store; negative if the copy has other content by now.
    """

    request: int
    state: str
    transfer: int
    size: int
    offset: int
    data: bytes
    confirmed_age_ms: float


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
    | ContentWanted
    | Content
    | ContentPageWanted
    | ContentPage
    | WithdrawEvidence
    | EvidenceWithdrawn
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
    ContentWanted,
    Content,
    ContentPageWanted,
    ContentPage,
    WithdrawEvidence,
    EvidenceWithdrawn,
)
"""The index in this tuple is the type number on the wire; only append to it."""
