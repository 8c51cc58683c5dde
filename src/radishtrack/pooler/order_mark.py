"""Marks of promotion orders, which the store keeps for each group.

A mark is written before the order is given. It grows with each order, so that nodes can
tell a new order for the same term from one that has expired.
"""

from __future__ import annotations

from typing import Final

import attrs

ORDER_EXPIRY_MS: Final = 5_000.0
"""Time after which an order that has not taken effect never will. The platform takes
some hundred milliseconds, and the connection of an unanswered order is reset."""
ORDER_PREFIX: Final = "order:"
"""Marks share the mapping of announced terms, which earlier versions of this program
pass on unchanged."""
MAX_ORDERS: Final = 1_000
"""Number of orders for one term; later ones share the last mark."""


@attrs.frozen
class PromotionOrder:
    """An order that may have been given.

    Parameters
    ----------
    mark : int
        Its mark.
    member : str
        Member that it makes the primary; empty if that is unknown.
    """

    mark: int
    member: str

    @property
    def term(self) -> int:
        """Term that the member will lead."""
        return get_order_term(self.mark)


def name_order(group: str) -> str:
    """Return the name under which listings contain a group's mark."""
    return ORDER_PREFIX + group


def make_order_mark(term: int, number: int) -> int:
    """Return the mark of an order.

    Parameters
    ----------
    term : int
        Term that the ordered member will lead.
    number : int
        Number of the order among those for this term, from 1.
    """
    return term * MAX_ORDERS + min(number, MAX_ORDERS - 1)


def get_order_term(mark: int) -> int:
    """Return the term of a mark."""
    return mark // MAX_ORDERS


def make_next_mark(term: int, last: PromotionOrder | None) -> int:
    """Return the mark of the order that follows the last one of a group."""
    if last is None or last.term != term:
        return make_order_mark(term, 1)
    return make_order_mark(term, last.mark % MAX_ORDERS + 1)
