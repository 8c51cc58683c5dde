"""A node's copy of what the store holds, and how old it is.

One small linearizable call lists the registered nodes and tells the store's revision.
Only if the revision has moved are the configuration and the members read again, so a
quiet fleet costs one call a node and interval, and no watch has to be trusted.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Hashable, Mapping
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.pooler.catalog import EMPTY_CATALOG, Catalog, Member, NodeRecord
from radishtrack.pooler.ports import ControlStore, Duty, FleetListing, StoreUnavailable

CONFIRM_INTERVAL_MS: Final = 800.0
"""Pause between calls: a change of the configuration must be in force within 3 s, and
one call may be lost and time out meanwhile."""
LATE_ANSWER_MS: Final = 500.0
"""A call without an answer for so long counts as a failure to reach the store, so that
the members' word is enough before the copy is too old."""
VOUCHED_MS: Final = 1_300.0
"""Age of the copy at which a node asks itself. Another node reads every 0.8 s and is
asked every 0.45 s, so this comes about only when that node does not answer."""
OWN_INTERVAL_MS: Final = 4_000.0
"""Pause after which a node asks itself in any case, so that it notices when its own
path to the store is lost."""
RETRY_INTERVAL_MS: Final = 250.0
"""Pause after a call without an answer."""
DEPARTURE_MS: Final = 4_500.0
"""A removed node either sees that its record is missing, within 0.8 s, or refuses all
keys once its copy is 3 s old; the rest is margin."""
REFRESH_SPACING_MS: Final = 100.0
"""Sessions with unknown names cause at most one call in this time."""
MAX_UNKNOWN: Final = 1_000
"""Unknown names that are remembered."""


def _read_always() -> bool:
    return True


@attrs.frozen
class Departure:
    """A node whose record was removed, and when this node saw that."""

    node: NodeRecord
    at_ms: float


@attrs.frozen
class KnownDuty:
    """A duty's record and when this node first saw it."""

    duty: Duty
    seen_ms: float


NOBODY: Final = ""
"""Holder of a duty that was released, or that nobody ever had."""
NO_DUTY: Final = KnownDuty(Duty(NOBODY, 0, ""), 0.0)


@attrs.define(eq=False)
class Control:
    """State of the copy; `run` keeps it up to date.

    Parameters
    ----------
    store : ControlStore
        The platform's store.
    clock : Clock
        Time in milliseconds.
    node : NodeRecord
        This node's own record.
    on_change : callable
        Called after the catalog, the members or the nodes have changed.
    """

    store: ControlStore
    clock: Clock
    node: NodeRecord
    on_change: Callable[[], None]
    reads_for_fleet: Callable[[], bool] = _read_always
    """Whether the other nodes rely on this one for the age of their copies."""
    catalog: Catalog = EMPTY_CATALOG
    members: tuple[Member, ...] = ()
    registered: tuple[NodeRecord, ...] = ()
    departed: dict[str, Departure] = attrs.field(factory=dict)
    """Nodes whose records were removed a moment ago."""
    duties: dict[str, KnownDuty] = attrs.field(factory=dict)
    terms: Mapping[str, int] = attrs.field(factory=dict)
    failed_ms: float | None = None
    """When the store last gave no answer, or none soon enough."""
    revision: int = -1
    """The store's revision up to which the copy is complete."""
    confirmed_ms: float | None = None
    """A time at which the copy equalled the store; None before the first read."""
    claims: int = 0
    is_available: bool = True
    is_outdated: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set when the store has a later revision than the copy."""
    pending: asyncio.Task[None] | None = None
    unknown: dict[Hashable, int] = attrs.field(factory=dict)
    """Names that were missing, and the revision at which the store was asked."""
    refreshed_ms: float = -REFRESH_SPACING_MS

    async def run(self) -> None:
        """Confirm the copy again and again; never returns."""
        while True:
            asked_ms = self.clock.now_ms()
            self.is_outdated.clear()
            if not await self.confirm():
                await asyncio.sleep(RETRY_INTERVAL_MS / 1000)
                continue
            while (pause_ms := self._pause_ms(asked_ms)) > 0:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(pause_ms / 1000):
                        await self.is_outdated.wait()
                        break

    def vouch(self, revision: int, confirmed_ms: float) -> None:
        """Take in that the store had a revision at a time, as another node has read.

        Only the age of the copy changes; what has changed is read from the store.
        """
        if revision == self.revision:
            self._note_confirmed(confirmed_ms)
        elif revision > self.revision:
            self.is_outdated.set()

    def _pause_ms(self, asked_ms: float) -> float:
        """Return the time until this node has to ask the store itself."""
        if self.reads_for_fleet():
            due_ms = asked_ms + CONFIRM_INTERVAL_MS
        else:
            confirmed_ms = asked_ms if self.confirmed_ms is None else self.confirmed_ms
            due_ms = min(asked_ms + OWN_INTERVAL_MS, confirmed_ms + VOUCHED_MS)
        return due_ms - self.clock.now_ms()

    async def confirm(self) -> bool:
        """Bring the copy up to date; return whether the store answered."""
        asked_ms = self.clock.now_ms()
        late = asyncio.get_running_loop().call_later(
            LATE_ANSWER_MS / 1000, self._note_late
        )
        try:
            listing = await self.store.list_fleet()
            if not any(node == self.node for node in listing.nodes):
                await self.store.register_node(self.node)
            if listing.revision != self.revision:
                await self._read_changes(listing, asked_ms)
            else:
                self._note_confirmed(asked_ms)
        except StoreUnavailable as error:
            self._note_unavailable(error)
            return False
        finally:
            late.cancel()
        self._note_available()
        return True

    async def refresh(self, name: Hashable) -> None:
        """Confirm the copy on demand; calls at the same time share one.

        Parameters
        ----------
        name : hashable
            What is missing in the copy.
        """
        now_ms = self.clock.now_ms()
        if self.unknown.get(name) == self.revision:
            # Clients with a revoked key try again and again; the store was asked for it
            # at this revision.
            return
        if self.pending is None or self.pending.done():
            if now_ms - self.refreshed_ms < REFRESH_SPACING_MS:
                return
            if len(self.unknown) >= MAX_UNKNOWN:
                self.unknown.clear()
            self.refreshed_ms = now_ms
            self.pending = asyncio.create_task(self._confirm_once())
        await asyncio.shield(self.pending)
        self.unknown[name] = self.revision

    def knows_announcements(self, max_age_ms: float) -> bool:
        """Tell whether no announced promotion can be unknown here.

        Promotions need the store, so a node that fails to reach it has to go by the
        members alone. A node that was suspended has neither a recent copy nor a recent
        failure, and has to ask first.
        """
        if self.age_ms() < max_age_ms:
            return True
        if self.failed_ms is None:
            return False
        return self.clock.now_ms() - self.failed_ms < max_age_ms

    @property
    def nodes(self) -> tuple[NodeRecord, ...]:
        """The nodes that may still use their shares or believe in a term.

        A node whose record was removed may run and not know it; it has stopped or
        registered again by the time it is left out here.
        """
        after_ms = self.clock.now_ms() - DEPARTURE_MS
        recent = (d.node for d in self.departed.values() if d.at_ms > after_ms)
        return (*self.registered, *recent)

    def _note_nodes(self, registered: tuple[NodeRecord, ...]) -> None:
        names = {node.name for node in registered}
        now_ms = self.clock.now_ms()
        for node in self.registered:
            if node.name not in names:
                self.departed[node.name] = Departure(node, now_ms)
        for name in names & self.departed.keys():
            del self.departed[name]
        self.registered = registered

    def find_duty(self, name: str) -> KnownDuty:
        """Return what is known of a duty."""
        return self.duties.get(name, NO_DUTY)

    async def claim_duty(self, name: str) -> Duty | None:
        """Become the holder of a duty unless its record has changed meanwhile.

        Returns
        -------
        Duty or None
            The record; its revision is greater than that of every earlier holder.

        Raises
        ------
        StoreUnavailable
            If it is not known whether the claim has succeeded.
        """
        return await self._write_duty(name, self.node.name)

    async def release_duty(self, name: str) -> None:
        """Let another node become the holder of a duty without a wait.

        Raises
        ------
        StoreUnavailable
            If it is not known whether the record was written.
        """
        if self.find_duty(name).duty.holder == self.node.name:
            await self._write_duty(name, NOBODY)

    async def _write_duty(self, name: str, holder: str) -> Duty | None:
        self.claims += 1
        claim = f"{self.node.name}/{self.node.started_ms}/{self.claims}"
        known = self.find_duty(name).duty
        claimed = await self.store.claim_duty(name, known, holder, claim)
        if claimed is not None:
            self.note_duty(name, claimed)
        return claimed

    def note_duty(self, name: str, duty: Duty) -> None:
        """Take in a duty's record, as read here or as another node has written it."""
        if duty.revision > self.find_duty(name).duty.revision:
            self.duties[name] = KnownDuty(duty, self.clock.now_ms())

    def age_ms(self) -> float:
        """Return how old the copy may be."""
        if self.confirmed_ms is None:
            return float("inf")
        return self.clock.now_ms() - self.confirmed_ms

    async def _confirm_once(self) -> None:
        await self.confirm()

    async def _read_changes(self, listing: FleetListing, asked_ms: float) -> None:
        # Both reads start after the listing, so the copy is at least as new as it.
        catalog, members = await asyncio.gather(
            self.store.read_catalog(), self.store.list_members()
        )
        is_newer = listing.revision > self.revision
        if catalog is not None and catalog.version > self.catalog.version:
            log_event(
                Event.CONFIGURATION_ACCEPTED,
                revision=catalog.version,
                store_revision=listing.revision,
                routes=len(catalog.routes),
            )
            self.catalog = catalog
        if is_newer:
            self.members = members
            self._note_nodes(listing.nodes)
            self.terms = listing.terms
            for name, duty in listing.duties.items():
                self.note_duty(name, duty)
            self.revision = listing.revision
        if catalog is not None:
            self._note_confirmed(asked_ms)
        self.on_change()

    def _note_confirmed(self, asked_ms: float) -> None:
        if self.confirmed_ms is None or asked_ms > self.confirmed_ms:
            self.confirmed_ms = asked_ms

    def _note_late(self) -> None:
        self.failed_ms = self.clock.now_ms()

    def _note_unavailable(self, error: StoreUnavailable) -> None:
        self.failed_ms = self.clock.now_ms()
        if self.is_available:
            self.is_available = False
            log_event(
                Event.PLATFORM_UNAVAILABLE,
                step=error.step,
                reason=error.reason,
                confirmed_ms=self.confirmed_ms,
            )

    def _note_available(self) -> None:
        if not self.is_available:
            self.is_available = True
            log_event(Event.PLATFORM_AVAILABLE, store_revision=self.revision)
