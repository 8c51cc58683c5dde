"""Whether a node's copy of the keys is recent enough to serve requests."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

import attrs

PLATFORM_UNREACHABLE_AFTER_MS: Final = 7_500.0
"""A node without contact for so long counts as cut off from the platform; a watch
that ends without a change takes 5 s, and a call that fails 2 s more."""

SILENCE_LIMIT_MS: Final = 30_000.0
"""How long a revocation may go unseen by a node that is cut off from all others."""

OUTAGE_LIMIT_MS: Final = 86_400_000.0
"""How long the fleet works without the platform: 24 h."""


@attrs.define(frozen=True)
class PeerContact:
    """What this node knows from one peer; times are on this node's clock.

    Parameters
    ----------
    peer : str
        The peer.
    heard_ms : float
        When the peer last answered.
    platform_down : bool
        Whether the peer said then that it does not reach the platform.
    copy_date_ms : float
        When the copy of the keys that this node took from the peer was last known to
        equal the platform's; minus infinity if it took none.
    """

    peer: str
    heard_ms: float
    platform_down: bool
    copy_date_ms: float = -math.inf


@attrs.define(frozen=True)
class Serve:
    """Requests are served on this node's own contact with the platform."""

    date_ms: float
    """When the copy last equalled the platform's."""


@attrs.define(frozen=True)
class ServeOnPeersWord:
    """Requests are served on what peers say."""

    date_ms: float
    """When the copy last equalled the platform's."""
    platform_down: bool
    """Whether the peers agree that the platform is down; otherwise they reach it."""


@attrs.define(frozen=True)
class Refuse:
    """Every request that needs a key is refused."""

    reason: str


Freshness = Serve | ServeOnPeersWord | Refuse


def decide_freshness(
    now_ms: float,
    platform_contact: float,
    peer_contacts: Iterable[PeerContact],
    peer_count: int,
) -> Freshness:
    """Decide whether a copy of the keys may be used.

    Parameters
    ----------
    now_ms : float
        The time, in milliseconds.
    platform_contact : float
        When the platform last answered this node, in milliseconds; minus infinity if
        it never did.
    peer_contacts : iterable of PeerContact
        The last contact with each peer.
    peer_count : int
        Number of peers, heard of or not. Without peers, an outage of the platform
        cannot be told from being cut off, so the node refuses after 30 s.
    """
    contacts = tuple(peer_contacts)
    if now_ms - platform_contact <= PLATFORM_UNREACHABLE_AFTER_MS:
        return Serve(platform_contact)
    copy_ms = max((contact.copy_date_ms for contact in contacts), default=-math.inf)
    if copy_ms > platform_contact and now_ms - copy_ms <= SILENCE_LIMIT_MS:
        return ServeOnPeersWord(copy_ms, platform_down=False)
    if now_ms - platform_contact <= SILENCE_LIMIT_MS:
        return Serve(platform_contact)
    heard = [
        contact for contact in contacts if now_ms - contact.heard_ms <= SILENCE_LIMIT_MS
    ]
    if not _is_majority(len(heard), peer_count):
        return Refuse(
            f"this node is cut off from the platform and heard from {len(heard)} of "
            f"{peer_count} peers in the last 30 s"
        )
    if not _is_majority(sum(contact.platform_down for contact in heard), peer_count):
        return Refuse(
            "this node is cut off from the platform, some peers reach it, and no copy "
            "of theirs has arrived in the last 30 s"
        )
    date_ms = max(platform_contact, copy_ms)
    if now_ms - date_ms > OUTAGE_LIMIT_MS:
        return Refuse("the copy of the keys is older than 24 h")
    return ServeOnPeersWord(date_ms, platform_down=True)


def _is_majority(number: int, total: int) -> bool:
    return number * 2 > total
