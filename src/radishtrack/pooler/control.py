"""A node's copy of what the store holds, and how old it is.

One small linearizable call lists the registered nodes and tells the store's revision.
Only if the revision has moved are the configuration and the members read again, so a
quiet fleet costs one call an interval, and no watch has to be trusted. One node reads
for all: it vouches for the revision and tells digests of what it has read, so that the
others read only what has changed.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import Callable, Hashable, Mapping
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.pooler.catalog import EMPTY_CATALOG, Catalog, Member, NodeRecord
from radishtrack.pooler.ports import ControlStore, Duty, StoreUnavailable

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
REFRESH_SPACING_MS: Final = 1_000.0
"""Sessions with unknown names cause at most one call in this time: revoked keys are
tried at all nodes, and a new name is known everywhere after 1.3 s in any case."""
DIGEST_BYTES: Final = 7
"""Digests have to fit into a signed integer of 64 bits."""
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


@attrs.frozen
class CopyContent:
    """What a copy of the store contains.

    Parameters
    ----------
    revision : int
        The store's revision up to which it is complete.
    catalog : int
        Version of the configuration.
    members : int
        Digest of the list of members.
    fleet : int
        Digest of nodes, duties and announced terms.
    """

    revision: int
    catalog: int
    members: int
    fleet: int


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
    """Names that were missing, and the version of the configuration that lacks them."""
    vouched: tuple[CopyContent, float] | None = None
    """Content that this node has to read, and when another node found it current."""
    fleet_digest: int = 0
    members_digest: int = 0
    refreshed_ms: float = -REFRESH_SPACING_MS

    async def run(self) -> None:
        """Confirm the copy again and again; never returns."""
        while True:
            asked_ms = self.clock.now_ms()
            self.is_outdated.clear()
            vouched, self.vouched = self.vouched, None
            if not await self.confirm(vouched):
                await asyncio.sleep(RETRY_INTERVAL_MS / 1000)
                continue
            while (pause_ms := self._pause_ms(asked_ms)) > 0:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(pause_ms / 1000):
                        await self.is_outdated.wait()
                        break

    @property
    def content(self) -> CopyContent:
        """What the present copy contains."""
        return CopyContent(
            self.revision, self.catalog.version, self.members_digest, self.fleet_digest
        )

    def vouch(self, content: CopyContent, confirmed_ms: float) -> None:
        """Take in that the store had some content at a time, as another node has read.

        What this node lacks is read from the store.
        """
        if content.revision < self.revision or self.confirmed_ms is None:
            return
        if content == attrs.evolve(self.content, revision=content.revision):
            # Objects of other kinds have changed, or some were written back.
            self.revision = content.revision
            self._note_confirmed(confirmed_ms)
            return
        self.vouched = (content, confirmed_ms)
        self.is_outdated.set()

    def _pause_ms(self, asked_ms: float) -> float:
        """Return the time until this node has to ask the store itself."""
        if self.reads_for_fleet():
            due_ms = asked_ms + CONFIRM_INTERVAL_MS
        else:
            confirmed_ms = asked_ms if self.confirmed_ms is None else self.confirmed_ms
            due_ms = min(asked_ms + OWN_INTERVAL_MS, confirmed_ms + VOUCHED_MS)
        return due_ms - self.clock.now_ms()

    async def confirm(self, vouched: tuple[CopyContent, float] | None = None) -> bool:
        """Bring the copy up to date; return whether the store answered.

        Parameters
        ----------
        vouched : tuple, optional
            The store's content as another node has read it, and when that was current.
            What is equal in this copy is not read again.
        """
        asked_ms = self.clock.now_ms()
        late = asyncio.get_running_loop().call_later(
            LATE_ANSWER_MS / 1000, self._note_late
        )
        try:
            if vouched is not None and vouched[0].fleet == self.fleet_digest:
                await self._read_vouched(*vouched)
            else:
                content = vouched[0] if vouched is not None else None
                await self._read_listing(asked_ms, content)
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
        if self.unknown.get(name) == self.catalog.version:
            # Clients with a revoked key try again and again.
            return
        if self.pending is None or self.pending.done():
            if now_ms - self.refreshed_ms < REFRESH_SPACING_MS:
                return
            if len(self.unknown) >= MAX_UNKNOWN:
                self.unknown.clear()
            self.refreshed_ms = now_ms
            self.pending = asyncio.create_task(self._confirm_once())
        await asyncio.shield(self.pending)
        self.unknown[name] = self.catalog.version

    def has_all_announcements(self, max_age_ms: float) -> bool:
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
            self.record_duty(name, claimed)
        return claimed

    def record_duty(self, name: str, duty: Duty) -> None:
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

    async def _read_listing(self, asked_ms: float, vouched: CopyContent | None) -> None:
        """Read the fleet's records, and what has changed with the store's revision."""
        listing = await self.store.list_fleet()
        if not any(node == self.node for node in listing.nodes):
            await self.store.register_node(self.node)
        if listing.revision == self.revision:
            self._note_confirmed(asked_ms)
            return
        has_catalog = has_members = False
        if vouched is not None and vouched.revision == listing.revision:
            has_catalog = vouched.catalog == self.catalog.version
            has_members = vouched.members == self.members_digest
        # Both reads start after the listing, so the copy is at least as new as it.
        catalog, members = await asyncio.gather(
            self._read_catalog(has_catalog), self._read_members(has_members)
        )
        self._take_in_catalog(catalog, listing.revision)
        if listing.revision > self.revision:
            self._take_in_members(members)
            self._note_nodes(listing.nodes)
            self.terms = listing.terms
            for name, duty in listing.duties.items():
                self.record_duty(name, duty)
            self.fleet_digest = _digest(
                (
                    sorted(listing.nodes, key=repr),
                    sorted(listing.duties.items()),
                    sorted(listing.terms.items()),
                )
            )
            self.revision = listing.revision
        if catalog is not None:
            self._note_confirmed(asked_ms)
        self.on_change()

    async def _read_vouched(self, vouched: CopyContent, confirmed_ms: float) -> None:
        """Read the parts that differ from what another node has read."""
        if vouched.catalog != self.catalog.version:
            self._take_in_catalog(await self.store.read_catalog(), vouched.revision)
        if vouched.members != self.members_digest:
            self._take_in_members(await self.store.list_members())
        if self.catalog.version >= vouched.catalog:
            self.revision = max(self.revision, vouched.revision)
            self._note_confirmed(confirmed_ms)
        self.on_change()

    async def _read_catalog(self, is_known: bool) -> Catalog | None:
        return self.catalog if is_known else await self.store.read_catalog()

    async def _read_members(self, is_known: bool) -> tuple[Member, ...]:
        return self.members if is_known else await self.store.list_members()

    def _take_in_catalog(self, catalog: Catalog | None, revision: int) -> None:
        if catalog is None or catalog.version <= self.catalog.version:
            return
        log_event(
            Event.CONFIGURATION_ACCEPTED,
            revision=catalog.version,
            store_revision=revision,
            routes=len(catalog.routes),
        )
        self.catalog = catalog

    def _take_in_members(self, members: tuple[Member, ...]) -> None:
        self.members = members
        self.members_digest = _digest(sorted(members, key=repr))

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


def _digest(content: object) -> int:
    """Return a digest of records that is the same at all nodes."""
    text = repr(content).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest())
