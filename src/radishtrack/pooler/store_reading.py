"""Reads the platform's store into a node's copy of it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from radishtrack.events import Event, log_event
from radishtrack.pooler.catalog import EMPTY_CATALOG, Catalog, Member
from radishtrack.pooler.content_transfer import ReceivedContent
from radishtrack.pooler.ports import FleetListing, StoreUnavailable
from radishtrack.pooler.store_content import CopyContent, digest_fleet
from radishtrack.revision import get_era, get_number

if TYPE_CHECKING:
    from radishtrack.pooler.store_copy import StoreCopy

LATE_RESPONSE_MS: Final = 500.0
"""Time after which a call without a response counts as a failure to reach the store, so
that the members' reports suffice as evidence before the copy is too old."""
PEER_REQUEST_MS: Final = 250.0
"""Pause between requests for the configuration while it is read from the store."""
UNKNOWN_PART: Final = 0
"""Stands for the version or digest of a part that a listing does not tell."""


@attrs.define(eq=False)
class StoreReading:
    """Reads of one node; what they find is applied to its copy.

    Parameters
    ----------
    copy : StoreCopy
        The copy, with the store and the node that it belongs to.
    """

    copy: StoreCopy

    async def read(
        self, confirmation: tuple[CopyContent, float] | None, requested_ms: float
    ) -> bool:
        """Bring the copy up to date; return whether the store responded.

        Parameters
        ----------
        confirmation : tuple or None
            Content that another node has confirmed, and when it was current.
        requested_ms : float
            Time in milliseconds of the request for this read.
        """
        try:
            if (
                confirmation is not None
                and confirmation[0].fleet == self.copy.fleet_digest
            ):
                await self._read_differences(*confirmation)
            else:
                content = confirmation[0] if confirmation is not None else None
                await self._read_listing(requested_ms, content)
        except StoreUnavailable as error:
            self.copy.record_unavailable(error, requested_ms)
            return False
        self.copy.record_available()
        return True

    async def _read_listing(
        self, requested_ms: float, peer_content: CopyContent | None
    ) -> None:
        """Read the fleet's records, and the rest if the store revision has changed."""
        listing = await self._list_fleet(requested_ms)
        if listing.revision == self.copy.revision:
            self.copy.record_own_read(requested_ms)
            return
        if await self._take_listed(listing, requested_ms):
            return
        if not self.copy.has_content:
            # The other nodes can be asked from now on.
            self.copy.record_nodes(listing.nodes)
        is_catalog_current = is_member_list_current = False
        if peer_content is not None and peer_content.revision == listing.revision:
            is_catalog_current = peer_content.catalog == self.copy.catalog.version
            is_member_list_current = peer_content.members == self.copy.members_digest
        # Both reads start after the listing, so the copy is at least as new as it.
        catalog, (members, zones) = await asyncio.gather(
            self._read_catalog(
                is_catalog_current, listing.revision, digest_fleet(listing)
            ),
            self._read_members(is_member_list_current),
        )
        if catalog is not None:
            self.copy.update_catalog(*catalog, listing.revision)
        if listing.revision >= self.copy.records_revision:
            self._log_read(listing, "all")
            self.copy.update_members(members, zones, listing.revision)
            self.copy.update_fleet(listing)
            self.copy.advance(listing.revision)
        else:
            self._log_read(listing, "configuration")
        if catalog is not None:
            self.copy.record_own_read(requested_ms)
        self.copy.on_change()

    async def _list_fleet(self, requested_ms: float) -> FleetListing:
        """List the fleet's records, and register this node if its own is missing."""
        with self._expect_response(requested_ms):
            listing = await self.copy.store.list_fleet()
        if not any(node == self.copy.node for node in listing.nodes):
            await self.copy.store.register_node(self.copy.node)
            self.copy.registered_ms = self.copy.clock.now_ms()
        self._observe_era(listing)
        await self._record_settled(listing)
        is_settled = requested_ms >= self.copy.settling.settled_ms
        if is_settled and digest_fleet(listing) == self.copy.fleet_digest:
            self.copy.record_announcements(requested_ms)
        return listing

    async def read_records(self) -> bool:
        """Read members and the fleet's records now; return whether the store responded.

        The configuration is left out: claims and promotions can't wait for a large one.
        """
        requested_ms = self.copy.clock.now_ms()
        try:
            listing = await self._list_fleet(requested_ms)
            if listing.revision == self.copy.revision:
                self.copy.record_own_read(requested_ms)
            else:
                members, zones = await self._read_members(is_unchanged=False)
                if listing.revision >= self.copy.records_revision:
                    self._apply_records(listing, members, zones, requested_ms)
        except StoreUnavailable as error:
            self.copy.record_unavailable(error, requested_ms)
            return False
        self.copy.record_available()
        return True

    def _apply_records(
        self,
        listing: FleetListing,
        members: tuple[Member, ...],
        zones: frozenset[str],
        requested_ms: float,
    ) -> None:
        self._log_read(listing, "records")
        self.copy.update_members(members, zones, listing.revision)
        self.copy.update_fleet(listing)
        self.copy.records_revision = listing.revision
        if requested_ms >= self.copy.settling.settled_ms:
            self.copy.record_announcements(requested_ms)
        self.copy.on_change()

    async def _take_listed(self, listing: FleetListing, requested_ms: float) -> bool:
        """Take what a listing shows to have changed from another node.

        All nodes list the fleet if the one that reads for them takes long, and should
        not all read a large configuration then.
        """
        if self.copy.reads_for_fleet() or requested_ms < self.copy.settling.settled_ms:
            return False
        wanted = CopyContent(
            listing.revision, UNKNOWN_PART, UNKNOWN_PART, digest_fleet(listing)
        )
        return await self.copy.take_from_peer(wanted, requested_ms)

    def _observe_era(self, listing: FleetListing) -> None:
        """Record that the store was restored, according to a listing.

        A process that starts knows no earlier era, but finds that nobody has recorded
        this one as settled.
        """
        era = get_era(listing.revision)
        if era > self.copy.era and (self.copy.has_content or listing.settled_era < era):
            self.copy.settling.record_restore()

    async def _record_settled(self, listing: FleetListing) -> None:
        era = get_era(listing.revision)
        if (
            listing.settled_era < era
            and not self.copy.settling.has_unsettled_records()
            and self.copy.reads_for_fleet()
        ):
            await self.copy.store.record_settled_era(era)

    def _log_read(self, listing: FleetListing, applied: str) -> None:
        log_event(
            Event.COPY_READ,
            era=get_era(listing.revision),
            store_revision=get_number(listing.revision),
            copy_era=self.copy.era,
            copy_revision=get_number(self.copy.revision),
            version=self.copy.catalog.version,
            applied=applied,
        )

    async def _read_differences(
        self, peer_content: CopyContent, confirmed_ms: float
    ) -> None:
        """Read the parts of the copy that differ from another node's content."""
        if peer_content.catalog != self.copy.catalog.version:
            catalog = await self._read_catalog(
                False, peer_content.revision, peer_content.fleet
            )
            if catalog is not None:
                self.copy.update_catalog(*catalog, peer_content.revision)
        if peer_content.members != self.copy.members_digest:
            members, zones = await self._read_members(is_unchanged=False)
            self.copy.update_members(members, zones, peer_content.revision)
        if self.copy.catalog.version >= peer_content.catalog:
            self.copy.advance(peer_content.revision)
            self.copy.record_confirmation(confirmed_ms)
        self.copy.on_change()

    async def _read_catalog(
        self, is_unchanged: bool, revision: int, fleet_digest: int
    ) -> tuple[Catalog, int] | None:
        """Read the configuration from the store or another node, whichever is faster.

        Over a small link, a large one arrives sooner from a node that has it, even if
        that node was late at first. When the whole fleet starts, only the store has it.

        Returns
        -------
        Catalog and int, or None
            The configuration of this store revision or a later one, and the digest of
            its rows; None if there is none yet.
        """
        copy = self.copy
        if is_unchanged:
            return copy.catalog, copy.catalog_digest
        if copy.reads_for_fleet():
            return await self._read_stored_catalog()
        wanted = CopyContent(revision, UNKNOWN_PART, UNKNOWN_PART, fleet_digest)
        from_store = asyncio.create_task(self._read_stored_catalog())
        from_peer = asyncio.create_task(self._request_catalog(wanted))
        try:
            await asyncio.wait(
                (from_store, from_peer), return_when=asyncio.FIRST_COMPLETED
            )
            task = from_peer if from_peer.done() else from_store
            return await task
        finally:
            from_store.cancel()
            from_peer.cancel()
            await asyncio.gather(from_store, from_peer, return_exceptions=True)

    async def _read_stored_catalog(self) -> tuple[Catalog, int] | None:
        catalog = await self.copy.store.read_catalog()
        return None if catalog is None else await self.copy.share_rows(catalog)

    async def _request_catalog(self, wanted: CopyContent) -> tuple[Catalog, int] | None:
        """Request the configuration until another node sends it."""
        while True:
            received = await self.copy.request_content(wanted)
            if isinstance(received, ReceivedContent):
                catalog = received.parts.catalog
                is_missing = catalog.version == EMPTY_CATALOG.version
                return None if is_missing else (catalog, received.catalog_digest)
            await asyncio.sleep(PEER_REQUEST_MS / 1000)

    async def _read_members(
        self, is_unchanged: bool
    ) -> tuple[tuple[Member, ...], frozenset[str]]:
        """Return the members and the evacuated zones."""
        if is_unchanged:
            return self.copy.members, self.copy.evacuated.names
        members, zones = await asyncio.gather(
            self.copy.store.list_members(), self.copy.store.list_evacuations()
        )
        return members, zones

    @contextlib.contextmanager
    def _expect_response(self, requested_ms: float) -> Iterator[None]:
        """Count a call whose response is late as a failure to reach the store.

        Only a listing of the fleet tells: other responses are late because they are
        large.
        """
        timer = asyncio.get_running_loop().call_later(
            LATE_RESPONSE_MS / 1000, self.copy.record_late, requested_ms
        )
        try:
            yield
        finally:
            timer.cancel()
