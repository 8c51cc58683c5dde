"""Granted tokens that their holders may still use."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

import attrs

from radishtrack.rates.messages import Settlement


@attrs.define(order=True)
class Reservation:
    """Tokens of one grant.

    Parameters
    ----------
    expires_ms : float
        Time on the allocator's clock from which the holder can't use them.
    holder : str
        Holder of the grant.
    request_id : int
        Request that was granted.
    tokens : int
        Tokens that may still be used.
    """

    expires_ms: float
    holder: str
    request_id: int
    tokens: int


@attrs.define
class Reservations:
    """Reservations by holder and request, and by expiry."""

    by_request: dict[tuple[str, int], Reservation] = attrs.field(factory=dict)
    by_expiry: list[Reservation] = attrs.field(factory=list)

    def add(self, holder: str, request_id: int, tokens: int, expires_ms: float) -> None:
        """Reserve `tokens` until `expires_ms`."""
        reservation = Reservation(expires_ms, holder, request_id, tokens)
        self.by_request[holder, request_id] = reservation
        heapq.heappush(self.by_expiry, reservation)

    def settle(self, holder: str, settlement: Settlement) -> int:
        """Apply `settlement`; return how many tokens it frees, 0 if it is repeated."""
        reservation = self.by_request.get((holder, settlement.request_id))
        if reservation is None or settlement.remaining >= reservation.tokens:
            return 0
        freed = reservation.tokens - settlement.remaining
        reservation.tokens = settlement.remaining
        if reservation.tokens == 0:
            del self.by_request[holder, settlement.request_id]
        return freed

    def pop_expired(self, now_ms: float) -> Iterator[Reservation]:
        """Remove the expired reservations and yield those with tokens, oldest first."""
        while self.by_expiry and self.by_expiry[0].expires_ms <= now_ms:
            reservation = heapq.heappop(self.by_expiry)
            self.by_request.pop((reservation.holder, reservation.request_id), None)
            if reservation.tokens > 0:
                yield reservation


def make_reservations() -> Reservations:
    """Return an empty set of reservations."""
    return Reservations()
