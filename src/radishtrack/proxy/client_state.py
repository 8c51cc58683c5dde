"""What the entry keeps for a client, takes from it and answers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Final

import attrs

from radishtrack.peer.messages import Done, ResultHead, Rows
from radishtrack.routing.options import RequestOptions
from radishtrack.routing.statement import Kind, Statement
from radishtrack.session.position import Position

OPEN_ORGANISATION: Final = "open"
"""User name of clients without a key; they only read on open routes."""


@attrs.define
class ClientState:
    """What the entry keeps for one client connection.

    Parameters
    ----------
    number : int
        Session number, unique at this node.
    organisation : str
        The organisation that the key belongs to.
    key_id : str
        The key that was presented.
    """

    number: int
    organisation: str = ""
    key_id: str = ""
    database: str = ""
    positions: dict[str, Position] = attrs.field(factory=dict)
    autocommit: bool = True
    in_transaction: bool = False
    holder: str = ""
    """The holder of the open transaction, or of one that was lost."""
    transaction_database: str = ""
    transaction_lost: bool = False
    """The way to the holder failed inside a transaction that is not ended yet."""
    token_refused: bool = False
    last_insert_id: int = 0
    statement_class: str = ""
    """Label of the running statement in the metrics."""


@attrs.define(frozen=True)
class Reply:
    """Answer to one statement.

    Parameters
    ----------
    head : ResultHead or None
        Columns; None for a statement without a result.
    rows : async iterator or None
        Chunks of rows; raises `RequestError` if the result breaks off.
    done : Done or None
        The end of a statement without a result.
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
    """Record a position that the session has seen, if it is a later one."""
    known = state.positions.get(database)
    if known is None or position > known:
        state.positions[database] = position
