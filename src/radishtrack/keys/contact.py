"""Keeps a node's contacts with platform and peers, and the decision on its keys."""

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
"""In an outage, a decision over 590 peers takes longer than a statement may."""

NOT_REACHED: Final = "this node has not reached the platform yet"


@attrs.define
class ContactState:
    """What this node knows about the age of its keys; times are on its clock."""

    platform_ms: float = -math.inf
    """When the platform last answered."""
    peers: dict[str, PeerContact] = attrs.field(factory=dict)
    peer_count: int = 0
    """Number of other nodes of which more than half must be heard."""
    decision: Freshness = attrs.field(factory=lambda: Refuse(NOT_REACHED))
    decided_ms: float = -math.inf

    def record_platform_contact(self, contact_ms: float) -> None:
        """Record an answer of the platform; an older one changes nothing."""
        self.platform_ms = max(self.platform_ms, contact_ms)

    def record_peer_contact(
        self,
        peer: str,
        asked_ms: float,
        *,
        platform_down: bool,
        copy_age_ms: float | None = None,
    ) -> None:
        """Record a peer's answer.

        Parameters
        ----------
        peer : str
            The peer.
        asked_ms : float
            When the peer was asked; the answer is at least as recent.
        platform_down : bool
            Whether the peer does not reach the platform.
        copy_age_ms : float, optional
            Age of the peer's copy when it answered, if the copy was taken or is equal.
        """
        present = self.peers.get(peer)
        if present is not None and asked_ms < present.heard_ms:
            return
        copy_ms = present.copy_date_ms if present else -math.inf
        if copy_age_ms is not None:
            copy_ms = max(copy_ms, asked_ms - copy_age_ms)
        self.peers[peer] = PeerContact(peer, asked_ms, platform_down, copy_ms)

    def set_peers(
        self, peers: frozenset[str], counted: frozenset[str] | None = None
    ) -> None:
        """Use the other nodes of the membership view; words of others do not count.

        Parameters
        ----------
        peers : frozenset of str
            Nodes whose words are used.
        counted : frozenset of str, optional
            Those of which more than half must be heard; all of `peers` by default.
        """
        self.peer_count = len(peers if counted is None else counted)
        self.peers = {
            name: contact for name, contact in self.peers.items() if name in peers
        }

    def is_platform_unreachable(self, now_ms: float, limit_ms: float) -> bool:
        """Tell whether the platform has not answered this node for `limit_ms`."""
        return now_ms - self.platform_ms > limit_ms

    def check(self, now_ms: float) -> Refuse | None:
        """Return why requests that need a key are refused, or None if they are not.

        Called for every statement; the decision is made again after 250 ms.
        """
        if now_ms - self.decided_ms >= DECISION_VALID_MS:
            self._decide(now_ms)
        return self.decision if isinstance(self.decision, Refuse) else None

    def _decide(self, now_ms: float) -> None:
        before = self.decision
        self.decided_ms = now_ms
        self.decision = decide_freshness(
            now_ms, self.platform_ms, self.peers.values(), self.peer_count
        )
        was_refused = isinstance(before, Refuse)
        if isinstance(self.decision, Refuse) and not was_refused:
            log_event(Event.KEYS_REFUSED, reason=self.decision.reason)
        elif was_refused and not isinstance(self.decision, Refuse):
            log_event(Event.KEYS_ACCEPTED, decision=type(self.decision).__name__)


def make_contact_state() -> ContactState:
    """Return the state of a node that has no contacts yet; it refuses."""
    return ContactState()
