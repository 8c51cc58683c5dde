"""Writes the pooler's records again that a restored store has lost.

Nodes register again by themselves, and holders of duties claim them again. The rest is
written by the rate coordinator alone, so that the fleet does not write it at once.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final

import attrs

from radishtrack.events import Event, log_event
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.peers import Peers
from radishtrack.pooler.store_copy import StoreCopy

FIRST_TERM: Final = 1
"""Term of a group's first primary, which no promotion has announced."""


@attrs.define(eq=False)
class StoreRecovery:
    """One node's part in completing a restored store.

    Parameters
    ----------
    store_copy : StoreCopy
        Copy of the store; knows when the store was restored.
    peers : Peers
        Has the secret of the fleet's peers.
    groups : mapping
        Access to the groups by name.
    is_coordinator : callable
        Returns whether this node writes for the fleet.
    """

    store_copy: StoreCopy
    peers: Peers
    groups: Mapping[str, GroupAccess]
    is_coordinator: Callable[[], bool]
    written_era: int = 0
    """Era in which this node has written the secret."""
    checked_era: int = 0
    """Era in which this node has compared its secret with the store's."""

    async def write_missing(self) -> None:
        """Write what the store lacks, until it has settled after a restore.

        Raises
        ------
        StoreUnavailable
            If a call failed; the next one goes on.
        """
        if (
            not self.store_copy.settling.has_unsettled_records()
            or not self.is_coordinator()
        ):
            return
        era = self.store_copy.era
        if self.written_era < era and self.peers.secret:
            await self.store_copy.store.create_secret(self.peers.secret)
            self.written_era = era
        for group, term in self._list_lost_terms():
            log_event(Event.RECORD_RESTORED, object=f"term of {group}", term=term)
            await self.store_copy.store.announce_term(group, term)

    async def find_replaced_secret(self) -> bool:
        """Return whether the settled store has another secret than this node.

        A process that started without the coordinator may have created one.

        Raises
        ------
        StoreUnavailable
            If the store did not respond.
        """
        era = self.store_copy.era
        settling = self.store_copy.settling
        if not settling.has_seen_restore() or settling.has_unsettled_records():
            return False
        if self.checked_era >= era:
            return False
        secret = await self.store_copy.store.find_secret()
        self.checked_era = era
        return secret is not None and secret != self.peers.secret

    def _list_lost_terms(self) -> tuple[tuple[str, int], ...]:
        """Return the announced terms that the store lacks, by group."""
        listed = self.store_copy.fleet.terms
        known = dict(self.store_copy.terms)
        for name, access in self.groups.items():
            if access.evidence.term > FIRST_TERM:
                known[name] = max(known.get(name, 0), access.evidence.term)
        return tuple(
            (name, term) for name, term in known.items() if listed.get(name, 0) < term
        )
