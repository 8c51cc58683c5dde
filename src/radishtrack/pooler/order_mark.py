"""Marks of promotion orders, which the store keeps for each group.

A mark is written before the order is given. It grows with each order, so that nodes can
tell a new order for the same term from one that has expired, and once more if the order
was not given after all.
"""

from __future__ import annotations

from typing import Final

import attrs

ORDER_WINDOW_MS: Final = 5_000.0
"""Time after its mark within which an order may be given."""
ORDER_EXPIRY_MS: Final = 7_000.0
"""Time after its mark from which on an order takes no effect any more. The platform
needs some hundred milliseconds, and an unanswered order is reset after 0.8 s."""
ORDER_PREFIX: Final = "order:"
"""Marks share the mapping of announced terms, which earlier versions of this program
pass on unchanged."""
MARKS_IN_TERM: Final = 100_000
"""Number of marks for one term; terms up to 42,949 have some."""


@attrs.frozen
class PromotionOrder:
    """The last order for a group.

    Parameters
    ----------
    mark : int
        Its mark.
    member : str
        Member that it makes the primary; empty if that is unknown.
    """

    mark: int
    member: str


def name_order(group: str) -> str:
    """Return the name under which listings contain a group's mark."""
    return ORDER_PREFIX + group


def get_order_term(mark: int) -> int:
    """Return the term that the ordered member leads."""
    return mark // MARKS_IN_TERM


def is_order_given(mark: int) -> bool:
    """Return whether the order may have been given."""
    return mark % 2 == 1


def make_next_mark(term: int, last_mark: int) -> int:
    """Return the mark of an order for a term, after the last one of the group."""
    mark = term * MARKS_IN_TERM + 1
    return max(mark, last_mark + (1 if last_mark % 2 == 0 else 2))


def make_void_mark(mark: int) -> int:
    """Return the mark that follows if an order was not given."""
    return mark + 1
