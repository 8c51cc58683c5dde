"""Records contacts with platform and peers; decides whether the keys may be used."""

from __future__ import annotations

import math
from typing import Final

import attrs

from radishtrack.events import Event, log_event
from radishtrack.keys.freshness import (
    Freshness,
    PeerContact,
    Refuse,
    decide_freshness,
)

DECISION_VALID_MS: Final = 250.0
"""In an outage, a decision over 590 peers takes too long for each statement."""

NO_CONTACT_REASON: Final = "this node has not reached the platform yet"


@attrs.define
class ContactState:
    """Evidence of the age of this node's keys; times are on its clock."""

    platform_contact_ms: float = -math.inf
    """When the platform last responded."""
    peers: dict[str, PeerContact] = attrs.field(factory=dict)
    peer_count: int = 0
    """Number of other nodes, more than half of which must respond."""
    decision: Freshness = attrs.field(factory=lambda: Refuse(NO_CONTACT_REASON))
    decided_ms: float = -math.inf

    def record_platform_contact(self, contact_ms: float) -> None:
        """Record a response of the platform; an older one changes nothing."""
        self.platform_contact_ms = max(self.platform_contact_ms, contact_ms)

    def record_peer_contact(
        self,
        peer: str,
        requested_ms: float,
        *,
        is_platform_down: bool,
        copy_age_ms: float | None = None,
    ) -> None:
        """Record a peer's response.

        Parameters
        ----------
        peer : str
            The peer.
        requested_ms : float
            When the request was sent; the response is at least as recent.
        is_platform_down : bool
            Whether the peer does not reach the platform.
        copy_age_ms : float, optional
            Age of the peer's copy when it responded, if it was applied or is equal.
        """
        previous = self.peers.get(peer)
        if previous is not None and requested_ms < previous.last_response_ms:
            return
        copy_confirmed_ms = previous.copy_confirmed_ms if previous else -math.inf
        if copy_age_ms is not None:
            copy_confirmed_ms = max(copy_confirmed_ms, requested_ms - copy_age_ms)
        self.peers[peer] = PeerContact(
            peer, requested_ms, is_platform_down, copy_confirmed_ms
        )

    def set_peers(
        self, peers: frozenset[str], counted: frozenset[str] | None = None
    ) -> None:
        """Replace the peers by those of the membership view; drop contacts of others.

        Parameters
        ----------
        peers : frozenset of str
            Nodes whose responses are used.
        counted : frozenset of str, optional
            Those of which more than half must respond; all of `peers` by default.
        """
        self.peer_count = len(peers if counted is None else counted)
        self.peers = {
            name: contact for name, contact in self.peers.items() if name in peers
        }

    def is_platform_unreachable(self, now_ms: float, limit_ms: float) -> bool:
        """Return whether the last response of the platform is older than `limit_ms`."""
        return now_ms - self.platform_contact_ms > limit_ms

    def check(self, now_ms: float) -> Refuse | None:
        """Return why requests that need a key are refused, or None if they are not.

        Called for every statement; the decision is cached for 250 ms.
        """
        if now_ms - self.decided_ms >= DECISION_VALID_MS:
            self._decide(now_ms)
        return self.decision if isinstance(self.decision, Refuse) else None

    def _decide(self, now_ms: float) -> None:
        previous = self.decision
        self.decided_ms = now_ms
        self.decision = decide_freshness(
            now_ms, self.platform_contact_ms, self.peers.values(), self.peer_count
        )
        was_refused = isinstance(previous, Refuse)
        if isinstance(self.decision, Refuse) and not was_refused:
            log_event(Event.KEYS_REFUSED, reason=self.decision.reason)
        elif was_refused and not isinstance(self.decision, Refuse):
            log_event(Event.KEYS_ACCEPTED, decision=type(self.decision).__name__)


def make_contact_state() -> ContactState:
    """Return the initial state, which refuses requests until a contact is recorded."""
    return ContactState()
