"""What a promoter asks its surroundings: placement, voters and leaving members."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

import attrs

RequestVotes = Callable[[str, str], Awaitable[Mapping[str, bool]]]
"""Takes database and member; returns, for each voter that answered, whether the member
is unreachable for it."""


@attrs.define(frozen=True)
class PromoterContext:
    """Place of a node among the voters of a database.

    Parameters
    ----------
    node : str
        Name of the node.
    rank : callable
        Returns the node's place in the placement order; 0 starts first.
    voters : callable
        Returns the names of all voters.
    leaving : callable
        Returns the members that are being taken out of service.
    """

    node: str
    rank: Callable[[], int]
    voters: Callable[[], tuple[str, ...]]
    leaving: Callable[[], frozenset[str]]
