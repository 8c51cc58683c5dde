"""Context of a promoter: its rank, the voters and the leaving members."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping

import attrs

from radishtrack.session.position import Position

RequestVotes = Callable[[str, str], Awaitable[Mapping[str, bool]]]
"""Takes database and member; returns, for each voter that responded, whether the member
is unreachable from it."""

RequestConfirmed = Callable[[str], Awaitable[Iterable[Position]]]
"""Takes a database; returns the position up to which each other voter that responded
knows commits to be confirmed."""


@attrs.define(frozen=True)
class PromoterContext:
    """A node's view of the voters and members of a database.

    Parameters
    ----------
    node : str
        Name of the node.
    get_rank : callable
        Returns the node's rank in the placement order; rank 0 starts a promotion first.
    list_voters : callable
        Returns the names of all voters.
    list_leaving_members : callable
        Returns the members that are being taken out of service.
    """

    node: str
    get_rank: Callable[[], int]
    list_voters: Callable[[], tuple[str, ...]]
    list_leaving_members: Callable[[], frozenset[str]]
