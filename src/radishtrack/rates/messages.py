"""Messages between holders and the allocator, and the stored lease record."""

from __future__ import annotations

from typing import Final

import attrs

MICRO: Final = 1_000_000
CLOCK_DRIFT: Final = 0.001
"""Largest relative difference between a clock's rate and true time."""
DRIFT_MARGIN: Final = 1.0021
"""At least (1 + drift) / (1 - drift), to convert a time limit between two clocks."""
MAX_GRANT_VALIDITY_MS: Final = 500.0
MIN_GRANT_VALIDITY_MS: Final = 10.0
"""Below this a grant would expire on its way to the holder."""
DELEGATION_MS: Final = 10_000.0
"""Time for which a holder delegates its standing share on receipt of a grant."""
STANDING_VALIDITY_MS: Final = 3_600_000.0


@attrs.define(frozen=True)
class RateLimit:
    """Configured limit of an organisation.

    Parameters
    ----------
    rate_micro : int
        Rate in millionths of a request per second.
    burst : int
        Requests admitted at once after a pause; at least 1.
    """

    rate_micro: int = attrs.field(validator=attrs.validators.ge(0))
    burst: int = attrs.field(validator=attrs.validators.ge(1))

    @property
    def rate_per_second(self) -> float:
        """Rate in requests per second."""
        return self.rate_micro / MICRO


def make_rate_limit(rate_per_second: float, burst: int) -> RateLimit:
    """Return the limit of `rate_per_second` requests a second and `burst` at once."""
    return RateLimit(int(rate_per_second * MICRO), burst)


@attrs.define(frozen=True, order=True)
class Stamp:
    """Identifies a grant; orders the grants of one organisation.

    Parameters
    ----------
    epoch : int
        Epoch of the allocator that sent the grant.
    sequence : int
        Number of the grant within that epoch.
    sent_ms : float
        When the grant was made, on that allocator's clock.
    """

    epoch: int
    sequence: int
    sent_ms: float


@attrs.define(frozen=True)
class Settlement:
    """State of one earlier grant at its holder.

    Parameters
    ----------
    request_id : int
        Request that was granted.
    remaining : int
        Tokens of the grant that may still be used.
    returned : int
        Tokens returned unused; the holder will not use them.
    """

    request_id: int
    remaining: int
    returned: int = 0


@attrs.define(frozen=True)
class TokenRequest:
    """Request from a holder to its organisation's allocator.

    Parameters
    ----------
    organisation : str
        Organisation whose tokens are requested.
    holder : str
        Name of the holder, unique for each process start.
    request_id : int
        Increases with every request of this holder and organisation.
    token_count : int
        Tokens requested; 0 for a message that only settles or delegates.
    demand_per_second : float
        Recent arrivals at the holder.
    settlements : tuple of Settlement
        State of the grants that changed since the last request.
    echo : Stamp or None
        Stamp of the latest grant that renewed the delegation: the standing share is
        unused for `DELEGATION_MS` from its receipt.
    standing_revision : int
        Revision of the lease record whose standing share the holder applies.
    leaving : bool
        The holder is draining and needs no standing share.
    """

    organisation: str
    holder: str
    request_id: int
    token_count: int
    demand_per_second: float = 0.0
    settlements: tuple[Settlement, ...] = ()
    echo: Stamp | None = None
    standing_revision: int = 0
    leaving: bool = False


@attrs.define(frozen=True)
class TokenGrant:
    """Response of an allocator to a token request.

    Parameters
    ----------
    organisation : str
        Organisation of the request.
    holder : str
        Holder of the request.
    request_id : int
        Request that this responds to.
    stamp : Stamp
        Epoch and number of this grant.
    tokens : int
        Tokens granted.
    valid_ms : float
        Validity from the time the holder sent the request, in milliseconds.
    retry_after_ms : float
        Time after receipt from which another request is useful; set if fewer tokens
        were granted than requested.
    settle_at_once : bool
        Whether to report the use of this grant without waiting for the next request.
    is_delegation : bool
        Whether the holder delegates its standing share to the allocator on receipt; if
        false, it may use the share at once.
    """

    organisation: str
    holder: str
    request_id: int
    stamp: Stamp
    tokens: int
    valid_ms: float
    retry_after_ms: float = 0.0
    settle_at_once: bool = False
    is_delegation: bool = True


@attrs.define(frozen=True)
class NotAllocator:
    """Response of a node that does not hold the organisation's lease."""

    organisation: str


@attrs.define(frozen=True)
class StandingShare:
    """Fixed part of the limit that one holder may use without an allocator.

    Parameters
    ----------
    holder : str
        Holder to which the share belongs.
    rate_micro : int
        Rate in millionths of a request per second.
    burst : int
        Requests admitted at once after a pause.
    since_revision : int
        Revision of the lease record that set this rate and burst.
    held_rate_micro : int
        Rate that the holder may still use under an older record; at least
        `rate_micro`.
    held_burst : int
        Burst that the holder may still use under an older record; at least `burst`.
    """

    holder: str
    rate_micro: int
    burst: int
    since_revision: int
    held_rate_micro: int
    held_burst: int


@attrs.define(frozen=True)
class ReleasedLevel:
    """Bucket of an allocator that released its lease.

    Parameters
    ----------
    level_units : int
        Tokens left, in units of 1 / `UNITS_PER_TOKEN` token.
    outstanding : int
        Granted tokens that may still be in use.
    """

    level_units: int
    outstanding: int


@attrs.define(frozen=True)
class LeaseRecord:
    """Value of the platform object ``allocators/<organisation>``.

    Parameters
    ----------
    organisation : str
        Organisation whose tokens are allocated.
    holder_node : str
        Name of the allocator's node, unique for each process start.
    epoch : int
        Increases with every change of allocator.
    revision : int
        Increases with every write.
    expires_after_ms : float
        Duration of the lease.
    limit : RateLimit
        Limit from which the standing shares were computed.
    standing_shares : tuple of StandingShare
        Shares of the holders; their held parts add up to at most half of the limit.
    released : ReleasedLevel or None
        Set by an allocator that gave up the lease.
    """

    organisation: str
    holder_node: str
    epoch: int
    revision: int
    expires_after_ms: float
    limit: RateLimit
    standing_shares: tuple[StandingShare, ...] = ()
    released: ReleasedLevel | None = None
