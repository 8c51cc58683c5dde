"""Decision whether a node's copy of the keys is recent enough to serve requests."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

import attrs

PLATFORM_UNREACHABLE_AFTER_MS: Final = 7_500.0
"""Must exceed a watch that ends without a change (5 s) plus a failed call (2 s)."""

MAX_CONTACT_AGE_MS: Final = 30_000.0
"""Longest time for which an isolated node may miss a revocation."""

MAX_OUTAGE_MS: Final = 86_400_000.0
"""Longest outage of the platform during which the fleet serves requests: 24 h."""


@attrs.define(frozen=True)
class PeerContact:
    """The last response of a peer; times are on this node's clock.

    Parameters
    ----------
    peer : str
        The peer.
    last_response_ms : float
        Send time of the last request to which the peer responded.
    is_platform_down : bool
        Whether the peer reported that it does not reach the platform.
    copy_confirmed_ms : float
        When the copy of the keys that this node received from the peer was last
        confirmed to equal the platform's; minus infinity if it received none.
    """

    peer: str
    last_response_ms: float
    is_platform_down: bool
    copy_confirmed_ms: float = -math.inf


@attrs.define(frozen=True)
class Serve:
    """Requests are served because of this node's own contact with the platform."""

    confirmed_ms: float
    """When the copy last equalled the platform's."""


@attrs.define(frozen=True)
class ServeOnPeersWord:
    """Requests are served because of reports from peers."""

    confirmed_ms: float
    """When the copy last equalled the platform's."""
    is_platform_down: bool
    """Whether the peers agree that the platform is down; if not, they reach it."""


@attrs.define(frozen=True)
class Refuse:
    """Every request that needs a key is refused."""

    reason: str


Freshness = Serve | ServeOnPeersWord | Refuse


def decide_freshness(
    now_ms: float,
    platform_contact_ms: float,
    peer_contacts: Iterable[PeerContact],
    peer_count: int,
) -> Freshness:
    """Decide whether a copy of the keys may be used.

    Parameters
    ----------
    now_ms : float
        The time, in milliseconds.
    platform_contact_ms : float
        When the platform last responded to this node, in milliseconds; minus infinity
        if it never did.
    peer_contacts : iterable of PeerContact
        The last contact with each peer.
    peer_count : int
        Number of peers, whether or not they responded. Without peers, an outage of the
        platform cannot be distinguished from isolation of the node, so the node refuses
        after 30 s.
    """
    contacts = tuple(peer_contacts)
    if now_ms - platform_contact_ms <= PLATFORM_UNREACHABLE_AFTER_MS:
        return Serve(platform_contact_ms)
    copy_confirmed_ms = max(
        (contact.copy_confirmed_ms for contact in contacts), default=-math.inf
    )
    if (
        copy_confirmed_ms > platform_contact_ms
        and now_ms - copy_confirmed_ms <= MAX_CONTACT_AGE_MS
    ):
        return ServeOnPeersWord(copy_confirmed_ms, is_platform_down=False)
    if now_ms - platform_contact_ms <= MAX_CONTACT_AGE_MS:
        return Serve(platform_contact_ms)
    responsive = [
        contact
        for contact in contacts
        if now_ms - contact.last_response_ms <= MAX_CONTACT_AGE_MS
    ]
    if not _is_majority(len(responsive), peer_count):
        return Refuse(
            f"this node cannot reach the platform and heard from {len(responsive)} of "
            f"{peer_count} peers in the last 30 s"
        )
    if not _is_majority(
        sum(contact.is_platform_down for contact in responsive), peer_count
    ):
        return Refuse(
            "this node cannot reach the platform, but some peers can, and no copy "
            "of the keys has arrived from them in the last 30 s"
        )
    confirmed_ms = max(platform_contact_ms, copy_confirmed_ms)
    if now_ms - confirmed_ms > MAX_OUTAGE_MS:
        return Refuse("the copy of the keys is older than 24 h")
    return ServeOnPeersWord(confirmed_ms, is_platform_down=True)


def _is_majority(number: int, total: int) -> bool:
    return number * 2 > total
