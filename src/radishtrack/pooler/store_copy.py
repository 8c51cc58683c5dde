"""A node's cached copy of the store, and its age.

One small linearizable call returns the registered nodes and the store's revision. The
configuration and the members are read again only if the revision has changed, so that
an idle fleet costs one call per interval, and correctness does not depend on a watch.
One node reads for all: it confirms the revision to the others and sends digests of what
it has read, so that they read only what has changed.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable, Mapping
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.peer.messages import Content
from radishtrack.pooler.catalog import EMPTY_CATALOG, Catalog, Member, NodeRecord
from radishtrack.pooler.content_codec import ContentError
from radishtrack.pooler.content_difference import (
    EMPTY_LISTING,
    StoreContent,
    merge_catalog,
)
from radishtrack.pooler.content_history import ContentHistory
from radishtrack.pooler.content_transfer import ReceivedContent, decode_content
from radishtrack.pooler.duties import DutyRecords
from radishtrack.pooler.evacuation.zones import EvacuatedZones
from radishtrack.pooler.ports import (
    ControlStore,
    FleetListing,
    StoreUnavailable,
)
from radishtrack.pooler.settling import Settling
from radishtrack.pooler.store_content import (
    CopyContent,
    digest_fleet,
    digest_members,
)
from radishtrack.pooler.store_reading import LATE_RESPONSE_MS, StoreReading
from radishtrack.pooler.unknown_names import UnknownNames
from radishtrack.revision import NO_REVISION, get_era, get_number

CONFIRM_INTERVAL_MS: Final = 700.0
"""Pause between calls. A change of the configuration must be in force within 3 s, even
if one call is lost and times out."""
PEER_CONFIRMATION_MS: Final = 1_300.0
"""Age of the copy at which a node reads the store itself. The coordinator reads it
every 0.7 s, and a confirmation passes two pauses of 0.25 s, so the copy reaches this
age only if a node in between does not respond."""
OWN_READ_INTERVAL_MS: Final = 20_000.0
"""Pause after which a node reads the store itself in any case, so that it reports the
loss of its own path to the store."""
RETRY_INTERVAL_MS: Final = 250.0
"""Pause after a call without a response."""
DEPARTURE_MS: Final = 4_500.0
"""Time for which a removed node still counts. It either sees within 1.3 s that its
record is missing, or refuses all keys once its copy is 3 s old; the rest is margin."""
STEADY_PAUSE_MS: Final = 2_500.0
"""Pause between reads of the records that counts as an outage of the store, in which
entries of members may expire and nodes come and go."""
LOOKUP_WAIT_MS: Final = 400.0
"""Longest wait of a client for the first read of a starting node, or for a lookup;
clients come back after a refusal in about this time."""


def _read_always() -> bool:
    return True


async def _confirm_nothing() -> bool:
    return False


async def _take_nothing(_wanted: CopyContent) -> ReceivedContent | Content | None:
    return None


@attrs.frozen
class Departure:
    """A node whose record was removed, and when this node observed that."""

    node: NodeRecord
    at_ms: float


@attrs.define(eq=False)
class StoreCopy:
    """A node's cached copy of the store; `run` keeps it up to date.

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
    """Returns whether the other nodes rely on this one to confirm their copies."""
    request_confirmation: Callable[[], Awaitable[bool]] = _confirm_nothing
    """Requests a confirmation from the node that reads for the fleet; returns whether
    it came."""
    request_content: Callable[
        [CopyContent], Awaitable[ReceivedContent | Content | None]
    ] = _take_nothing
    """Requests changed content from another node; None if the store must be read."""
    catalog: Catalog = EMPTY_CATALOG
    members: tuple[Member, ...] = ()
    listed_before_ms: float | None = None
    """Latest time at which the list of members before the present one was confirmed."""
    evacuated: EvacuatedZones = attrs.field(factory=EvacuatedZones)
    registered: tuple[NodeRecord, ...] = ()
    registered_ms: float = -math.inf
    """When this node last registered itself; promoters may not have known it before."""
    departed: dict[str, Departure] = attrs.field(factory=dict)
    """Nodes whose records were removed recently, by name."""
    duties: DutyRecords = attrs.field(init=False)
    settling: Settling = attrs.field(init=False)
    reading: StoreReading = attrs.field(init=False)
    terms: Mapping[str, int] = attrs.field(factory=dict)
    failed_ms: float | None = None
    """When a call last failed or was late."""
    revision: int = NO_REVISION
    """Store revision up to which the copy is complete."""
    records_revision: int = NO_REVISION
    """Store revision up to which members and the fleet's records are complete."""
    confirmed_ms: float | None = None
    """Latest time at which the copy is known to have equalled the store; None before
    the first confirmation."""
    announcements_ms: float | None = None
    """The same for the announced terms, which need no new configuration."""
    steady_since_ms: float = math.inf
    """Since when the records have been read without a long pause."""
    is_available: bool = True
    is_outdated: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set when the store has a later revision than the copy."""
    has_copy: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set by the first confirmation."""
    pending: asyncio.Task[bool] | None = None
    lookup: asyncio.Task[bool] | None = None
    """Lookup of a missing name that is under way."""
    unknown: UnknownNames = attrs.field(factory=UnknownNames)
    has_dropped_confirmation: bool = False
    """Whether the last confirmation of another node was dropped."""
    peer_confirmation: tuple[CopyContent, float] | None = None
    """Content confirmed by another node that this copy lacks, and the time at which it
    was current."""
    announced: CopyContent | None = None
    """Latest content that another node has confirmed, also if this copy lacks it."""
    fleet: FleetListing = EMPTY_LISTING
    """The listing that the digest of the fleet describes."""
    fleet_digest: int = 0
    members_digest: int = 0
    catalog_digest: int = 0
    """Digest of the configuration's rows."""
    history: ContentHistory = attrs.field(factory=ContentHistory)
    """Earlier parts of the copy, from which differences are sent."""

    def __attrs_post_init__(self) -> None:
        self.settling = Settling(self.clock)
        self.reading = StoreReading(self)
        self.duties = DutyRecords(
            self.store,
            self.clock,
            self.node,
            lambda: self.fleet.duties,
            lambda: self.era,
        )

    async def run(self) -> None:
        """Confirm the copy periodically; never returns."""
        while True:
            requested_ms = self.clock.now_ms()
            self.is_outdated.clear()
            confirmation, self.peer_confirmation = self.peer_confirmation, None
            if not await self.confirm(confirmation):
                await asyncio.sleep(RETRY_INTERVAL_MS / 1000)
                if self._must_retry():
                    continue
            while (pause_ms := self._pause_ms(requested_ms)) > 0:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(pause_ms / 1000):
                        await self.is_outdated.wait()
                        break

    @property
    def era(self) -> int:
        """Era of the copy's records; it rises when the store is restored."""
        return get_era(self.records_revision)

    @property
    def has_content(self) -> bool:
        """Whether the store was read, even if the copy is not confirmed yet."""
        return self.revision != NO_REVISION

    @property
    def content(self) -> CopyContent:
        """Revision, version and digests of the copy."""
        return CopyContent(
            self.revision, self.catalog.version, self.members_digest, self.fleet_digest
        )

    @property
    def parts(self) -> StoreContent:
        """The parts of the copy themselves."""
        return StoreContent(
            self.catalog, self.members, self.evacuated.names, self.fleet
        )

    @property
    def known_version(self) -> int:
        """Latest version of the configuration that the store is known to have."""
        announced = self.announced
        if announced is None or announced.revision <= self.revision:
            # A later read may lack an announced version only if the store has lost it.
            return self.catalog.version
        return max(self.catalog.version, announced.catalog)

    @property
    def is_superseded(self) -> bool:
        """Whether the store is known to have a later configuration than the copy."""
        return self.known_version > self.catalog.version

    def accept_confirmation(self, content: CopyContent, confirmed_ms: float) -> None:
        """Accept another node's confirmation that the store had this content at a time.

        Content that the copy lacks is taken from another node, or read from the store,
        by `run`.
        """
        if not self.has_content:
            return
        if content.revision < self.revision:
            self._record_dropped(content)
            return
        self.has_dropped_confirmation = False
        if content.fleet == self.fleet_digest:
            self.record_announcements(confirmed_ms)
        if self.announced is None or content.revision >= self.announced.revision:
            self.announced = content
        if self.has_parts(content):
            # Objects of other kinds have changed, or objects were rewritten unchanged.
            self.advance(content.revision)
            self.record_confirmation(confirmed_ms)
            return
        self.peer_confirmation = (content, confirmed_ms)
        self.is_outdated.set()

    def _record_dropped(self, content: CopyContent) -> None:
        if not self.has_dropped_confirmation:
            self.has_dropped_confirmation = True
            log_event(
                Event.CONFIRMATION_DROPPED,
                era=self.era,
                copy_revision=get_number(self.revision),
                peer_era=get_era(content.revision),
                peer_revision=get_number(content.revision),
            )

    def _must_retry(self) -> bool:
        """Return whether to read the store again after a call without a response.

        While the store rejects some nodes, the others confirm their copies. Each call
        costs, also a rejected one, so these nodes do not repeat theirs continually.
        """
        return self.reads_for_fleet() or self.age_ms() >= PEER_CONFIRMATION_MS

    def _pause_ms(self, requested_ms: float) -> float:
        """Return the time until this node must read the store itself."""
        settled_ms = self.settling.settled_ms
        if self.reads_for_fleet():
            due_ms = requested_ms + CONFIRM_INTERVAL_MS
            if requested_ms < settled_ms:
                earliest_ms = requested_ms + RETRY_INTERVAL_MS
                due_ms = min(due_ms, max(settled_ms, earliest_ms))
        elif requested_ms < settled_ms:
            # A read does not confirm the copy, so the node would read continually.
            due_ms = requested_ms + PEER_CONFIRMATION_MS
        else:
            confirmed_ms = (
                requested_ms if self.confirmed_ms is None else self.confirmed_ms
            )
            due_ms = min(
                requested_ms + OWN_READ_INTERVAL_MS, confirmed_ms + PEER_CONFIRMATION_MS
            )
            due_ms = max(due_ms, requested_ms + RETRY_INTERVAL_MS)
        return due_ms - self.clock.now_ms()

    async def confirm(
        self, confirmation: tuple[CopyContent, float] | None = None
    ) -> bool:
        """Bring the copy up to date; return whether the store responded.

        Parameters
        ----------
        confirmation : tuple, optional
            The store's content as read by another node, and the time at which it was
            current. Parts that are equal in this copy are not read again.
        """
        if confirmation is not None and await self.take_from_peer(*confirmation):
            return True
        return await self._read_shared(confirmation)

    async def read_records(self) -> bool:
        """Read members and records now; see `StoreReading.read_records`."""
        return await self.reading.read_records()

    def has_parts(self, content: CopyContent) -> bool:
        """Return whether the copy has this content, whatever its revision is."""
        return content == attrs.evolve(self.content, revision=content.revision)

    async def read_content(self, content: CopyContent) -> None:
        """Read content from the store that another node was told of."""
        confirmed_ms = -math.inf if self.confirmed_ms is None else self.confirmed_ms
        await self._read_shared((content, confirmed_ms))

    async def _read_shared(
        self, confirmation: tuple[CopyContent, float] | None
    ) -> bool:
        """Read the store after this call, together with concurrent callers.

        A read under way has started before the call, so it suffices only if the copy
        then has the confirmed content.
        """
        earlier = self.pending
        if earlier is not None and not earlier.done():
            await asyncio.wait((earlier,))
            if confirmation is not None and self.has_parts(confirmation[0]):
                self.accept_confirmation(*confirmation)
                return True
        if self.pending is earlier:
            self.pending = asyncio.create_task(
                self.reading.read(confirmation, self.clock.now_ms())
            )
        assert self.pending is not None
        return await asyncio.shield(self.pending)

    async def take_from_peer(self, content: CopyContent, confirmed_ms: float) -> bool:
        """Take changed content from another node; return whether the copy has it now.

        The content counts only if it equals the confirmed digests.
        """
        if not self.has_content:
            return False
        response = await self.request_content(content)
        if isinstance(response, Content):
            response = await self._decode_whole(response, content, confirmed_ms)
        if response is None:
            return False
        if response.content.revision < self.records_revision:
            # The copy has become newer meanwhile; older parts must not replace it.
            return True
        self._apply_received(response)
        content = response.content
        is_complete = (
            self.catalog.version >= content.catalog
            and self.members_digest == content.members
            and self.fleet_digest == content.fleet
        )
        if is_complete:
            self.advance(content.revision)
            self.record_confirmation(max(confirmed_ms, response.confirmed_ms))
        self.on_change()
        return is_complete

    async def _decode_whole(
        self, message: Content, content: CopyContent, confirmed_ms: float
    ) -> ReceivedContent | None:
        """Return the parts that a node of an earlier version has sent whole."""
        try:
            parts = decode_content(message, self.parts)
        except ContentError as error:
            log_event(Event.LISTING_INVALID, object="content", reason=error)
            return None
        catalog, digest = await self.share_rows(parts.catalog)
        return ReceivedContent(
            content, attrs.evolve(parts, catalog=catalog), digest, confirmed_ms
        )

    def _apply_received(self, received: ReceivedContent) -> None:
        """Apply the parts that equal what the sender was confirmed to have."""
        content, parts = received.content, received.parts
        self.update_catalog(parts.catalog, received.catalog_digest, content.revision)
        if (
            content.members != self.members_digest
            and digest_members(parts.members, parts.zones) == content.members
        ):
            self.update_members(parts.members, parts.zones, content.revision)
        if (
            content.fleet != self.fleet_digest
            and digest_fleet(parts.fleet) == content.fleet
            and any(node == self.node for node in parts.fleet.nodes)
        ):
            self.update_fleet(parts.fleet)

    async def refresh(self, database: str, key_digest: bytes | None) -> bool:
        """Confirm the copy on demand, since a name is missing in it.

        The node that reads for the fleet is asked, and the store only if that node does
        not respond or is this one. Before the first read it waits for that one. No
        wait exceeds `LOOKUP_WAIT_MS`.

        Parameters
        ----------
        database : str
            Name of the database that a client asks for.
        key_digest : bytes or None
            Digest of its key.

        Returns
        -------
        bool
            False if a lookup that was due has given no answer.
        """
        if self.confirmed_ms is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOOKUP_WAIT_MS / 1000):
                    await self.has_copy.wait()
            return self.confirmed_ms is not None
        name = (database, key_digest)
        is_pending = self.lookup is not None and not self.lookup.done()
        if not is_pending:
            now_ms = self.clock.now_ms()
            if not self.unknown.start_lookup(name, self.catalog.version, now_ms):
                return True
            self.lookup = asyncio.create_task(self._look_up())
        assert self.lookup is not None
        is_answered = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LOOKUP_WAIT_MS / 1000):
                is_answered = await asyncio.shield(self.lookup)
        if is_answered and not self.is_superseded:
            self.unknown.record(name, self.catalog.version)
        return is_answered

    async def _look_up(self) -> bool:
        """Confirm the copy now; return whether that succeeded."""
        if not await self.request_confirmation():
            return await self.confirm()
        confirmation, self.peer_confirmation = self.peer_confirmation, None
        return confirmation is None or await self.confirm(confirmation)

    def has_failed_within(self, age_ms: float) -> bool:
        """Return whether a call of the store has failed or was late that recently."""
        if self.failed_ms is None:
            return False
        return self.clock.now_ms() - self.failed_ms < age_ms

    @property
    def nodes(self) -> tuple[NodeRecord, ...]:
        """Nodes that may still use their shares of rates or have evidence of a term.

        A node whose record was removed may still run without knowing it. It is included
        until it must have stopped or registered again.
        """
        after_ms = self.clock.now_ms() - DEPARTURE_MS
        recent = (d.node for d in self.departed.values() if d.at_ms > after_ms)
        return (*self.registered, *recent)

    def record_nodes(self, registered: tuple[NodeRecord, ...]) -> None:
        """Replace the registered nodes; those that are missing have departed."""
        names = {node.name for node in registered}
        now_ms = self.clock.now_ms()
        for node in self.registered:
            if node.name not in names:
                self.departed[node.name] = Departure(node, now_ms)
        for name in names & self.departed.keys():
            del self.departed[name]
        self.registered = registered

    def age_ms(self) -> float:
        """Return an upper bound of the copy's age; infinite before the first read."""
        if self.confirmed_ms is None:
            return float("inf")
        return self.clock.now_ms() - self.confirmed_ms

    def steady_ms(self) -> float:
        """Return for how long the records have been read without a long pause."""
        now_ms, last_ms = self.clock.now_ms(), self.announcements_ms
        if last_ms is None or now_ms - last_ms > STEADY_PAUSE_MS:
            return -math.inf
        return now_ms - self.steady_since_ms

    def record_own_read(self, requested_ms: float) -> None:
        """Count a read of the store as confirmation, unless it may lack writes."""
        if requested_ms < self.settling.settled_ms:
            # Announced promotions may be lost as well, so the members' reports count.
            self.failed_ms = self.clock.now_ms()
        else:
            self.record_confirmation(requested_ms)

    async def share_rows(self, catalog: Catalog) -> tuple[Catalog, int]:
        """Return a configuration with the copy's unchanged rows, and its digest."""
        if catalog.version <= self.catalog.version:
            return self.catalog, self.catalog_digest
        return await merge_catalog(self.catalog, self.catalog_digest, catalog)

    def advance(self, revision: int) -> None:
        """Record that the copy is complete up to a revision."""
        if self.has_content and get_era(revision) > self.era:
            self.settling.record_restore()
        self.revision = max(self.revision, revision)
        self.records_revision = max(self.records_revision, revision)

    def update_catalog(self, catalog: Catalog, digest: int, revision: int) -> None:
        """Replace the configuration if this version is later."""
        if catalog.version <= self.catalog.version:
            return
        log_event(
            Event.CONFIGURATION_ACCEPTED,
            revision=catalog.version,
            store_revision=get_number(revision),
            routes=len(catalog.routes),
        )
        self.unknown.apply(self.catalog, catalog)
        self.catalog, self.catalog_digest = catalog, digest
        self.history.add_catalog(catalog)

    def update_members(
        self, members: tuple[Member, ...], zones: frozenset[str], revision: int
    ) -> None:
        """Replace the members and the evacuated zones."""
        self.members = members
        self.listed_before_ms = self.confirmed_ms
        self.evacuated.replace(
            zones, era=get_era(revision), absent_ms=self.confirmed_ms
        )
        self.members_digest = digest_members(members, zones)
        self.history.add_members(self.members_digest, members, zones)

    def update_fleet(self, listing: FleetListing) -> None:
        """Replace the fleet's records."""
        self.record_nodes(listing.nodes)
        # A restored store may lack the announcement of a promotion under way.
        self.terms = {
            group: max(self.terms.get(group, 0), listing.terms.get(group, 0))
            for group in self.terms.keys() | listing.terms.keys()
        }
        for name, duty in listing.duties.items():
            self.duties.record(name, duty)
        self.fleet = listing
        self.fleet_digest = digest_fleet(listing)
        self.history.add_fleet(self.fleet_digest, listing)

    def record_announcements(self, requested_ms: float) -> None:
        """Record that the announced terms equalled the store's at a time."""
        last_ms = self.announcements_ms
        if last_ms is None or requested_ms > last_ms:
            if last_ms is None or requested_ms - last_ms > STEADY_PAUSE_MS:
                self.steady_since_ms = requested_ms
            self.announcements_ms = requested_ms

    def record_confirmation(self, requested_ms: float) -> None:
        """Record that the copy equalled the store at a time."""
        self.record_announcements(requested_ms)
        if self.confirmed_ms is None or requested_ms > self.confirmed_ms:
            self.confirmed_ms = requested_ms
            self.has_copy.set()
            if requested_ms >= self.settling.settled_ms and self.evacuated.release():
                self.on_change()

    def record_late(self, requested_ms: float) -> None:
        """Record that a call has no response yet."""
        # After a suspension the timer is overdue, and says nothing about the store.
        if self.clock.now_ms() - requested_ms < 2 * LATE_RESPONSE_MS:
            self.failed_ms = self.clock.now_ms()

    def record_unavailable(self, error: StoreUnavailable, requested_ms: float) -> None:
        """Record that a call failed."""
        self.failed_ms = self.clock.now_ms()
        if self.is_available:
            self.is_available = False
            log_event(
                Event.PLATFORM_UNAVAILABLE,
                step=error.step,
                reason=error.reason,
                elapsed_ms=self.clock.now_ms() - requested_ms,
                received_bytes=error.received_bytes,
                copy_age_ms=self.age_ms(),
                known_version=self.known_version,
            )

    def record_available(self) -> None:
        """Record that the store has responded."""
        if not self.is_available:
            self.is_available = True
            log_event(
                Event.PLATFORM_AVAILABLE,
                era=self.era,
                store_revision=get_number(self.revision),
            )
