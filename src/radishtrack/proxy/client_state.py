"""An entry's state of a client connection, and its requests and replies."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Final

import attrs

from radishtrack.peer.messages import Done, ResultHead, Rows
from radishtrack.routing.options import RequestOptions
from radishtrack.routing.statement import Kind, Statement
from radishtrack.session.position import Position

OPEN_ORGANISATION: Final = "open"
"""User name of clients without a key, which may only read on open routes."""


@attrs.define
class ClientState:
    """State of one client connection at the entry.

    Parameters
    ----------
    number : int
        Session number, unique at this node.
    organisation : str
        The organisation that the key belongs to.
    key_id : str
        The key with which the client logged in.
    """

    number: int
    organisation: str = ""
    key_id: str = ""
    database: str = ""
    positions: dict[str, Position] = attrs.field(factory=dict)
    autocommit: bool = True
    in_transaction: bool = False
    holder: str = ""
    """The holder of the open or lost transaction; empty if none."""
    transaction_database: str = ""
    transaction_lost: bool = False
    """Whether the holder, or the connection to it, failed in a transaction that the
    client has not ended yet."""
    token_refused: bool = False
    """Whether the last session token was invalid."""
    last_insert_id: int = 0
    statement_class: str = ""
    """Label of the running statement in the metrics."""


@attrs.define(frozen=True)
class Reply:
    """Reply to one statement.

    Parameters
    ----------
    head : ResultHead or None
        Columns; None for a statement without a result set.
    rows : async iterator or None
        Chunks of rows; raises `RequestError` if the result is incomplete.
    done : Done or None
        Final message of a statement without a result set.
    """

    head: ResultHead | None = None
    rows: AsyncIterator[Rows] | None = None
    done: Done | None = None


@attrs.define(frozen=True)
class PreparedRequest:
    """A statement with its options and classification."""

    options: RequestOptions
    statement: Statement
    text: str


COMMIT_REQUEST: Final = PreparedRequest(
    RequestOptions(), Statement(Kind.COMMIT), "COMMIT"
)


def advance_position(state: ClientState, database: str, position: Position) -> None:
    """Advance the session's position in a database; an earlier position is ignored."""
    current = state.positions.get(database)
    if current is None or position > current:
        state.positions[database] = position
