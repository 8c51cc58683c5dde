"""Takes changed content of the store from another node.

Calls of the store are shared by the whole fleet, and links of nodes may be small. So
the node that reads the store for the fleet passes changes on to one node of each
availability zone, and that one to the others of its zone. They are differences, in
pages, so neither a small link nor the size of the configuration delays them.
The content itself proves nothing about its age: a node uses it only if it equals the
digests that the sender was confirmed to have, and its age is that confirmation's.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.peer.messages import (
    Content,
    ContentPage,
    ContentPageWanted,
    ContentWanted,
)
from radishtrack.pooler.catalog import NodeRecord
from radishtrack.pooler.content_codec import (
    ContentError,
    encode_catalog,
    encode_fleet,
    encode_members,
)
from radishtrack.pooler.content_difference import StoreContent
from radishtrack.pooler.content_stream import (
    Bases,
    ContentHeader,
    EncodedContent,
    decode_difference,
    decode_header,
    encode_difference,
)
from radishtrack.pooler.content_transfer import (
    NOT_CURRENT,
    EncodedContents,
    IncomingContent,
    PageState,
    ReceivedContent,
    make_empty_page,
    make_page,
)
from radishtrack.pooler.peers import Peers
from radishtrack.pooler.rank import find_first
from radishtrack.pooler.store_content import CopyContent
from radishtrack.pooler.store_copy import PEER_CONFIRMATION_MS, StoreCopy
from radishtrack.pooler.store_reading import UNKNOWN_PART

READER_DUTY: Final = "content"
"""Name that determines the order of a zone's nodes for reading changes."""
CONTENT_TIMEOUT_MS: Final = 400.0
"""Time limit of a request to a node of an earlier version, which sends all at once."""
PAGE_TIMEOUT_MS: Final = 600.0
"""Time limit of a page: one round trip, beside the traffic of a small link."""
MAX_FAILED_PAGES: Final = 2
"""Number of requests of one page without a response after which it is given up."""
PENDING_LIMIT_MS: Final = 3_000.0
"""Time after which a node that has not got the wanted content is asked no more. It is
asked for so long since its own read of the store may take as long as this node's."""
SOURCES_LIMIT_MS: Final = 1_000.0
"""Time after which no further node is asked in place of one that did not respond."""
PENDING_RETRY_MS: Final = 50.0
AVOID_MS: Final = 5_000.0
"""Time for which a node that did not respond is not asked again."""


def _find_no_coordinator() -> NodeRecord | None:
    return None


@attrs.define(eq=False)
class ContentExchange:
    """One node's requests for content, and its responses to others."""

    node: NodeRecord
    clock: Clock
    store_copy: StoreCopy
    peers: Peers
    find_coordinator: Callable[[], NodeRecord | None] = _find_no_coordinator
    """Returns the node that reads the store for the fleet, if it responds."""
    avoided_until_ms: dict[str, float] = attrs.field(factory=dict)
    """Until when a node is not asked, by name."""
    encoded: EncodedContents = attrs.field(factory=EncodedContents)
    encodings: dict[tuple[Bases, CopyContent], asyncio.Task[EncodedContent]] = (
        attrs.field(factory=dict)
    )
    """Encodings under way."""
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    """Held while content is requested."""
    pages_known: set[str] = attrs.field(factory=set)
    """Nodes that have sent a page."""
    earlier_versions: dict[str, int | None] = attrs.field(factory=dict)
    """Incarnations of nodes that only know `ContentWanted`, by name."""

    def find_reader(self) -> NodeRecord | None:
        """Return the node that reads changes for this zone; None for this node."""
        first = find_first(
            READER_DUTY,
            (
                node
                for node in self.store_copy.registered
                if node.zone == self.node.zone and not self._is_avoided(node)
            ),
        )
        return None if first is None or first.name == self.node.name else first

    def find_source(self) -> NodeRecord | None:
        """Return the node from which this one takes changes; None for the store.

        A node ranks after its source, and the coordinator has none, so that no two
        nodes wait for each other.
        """
        if self.store_copy.reads_for_fleet():
            return None
        reader = self.find_reader()
        if reader is not None:
            return reader
        coordinator = self.find_coordinator()
        if coordinator is None or self._is_avoided(coordinator):
            return None
        return coordinator

    def is_reader(self) -> bool:
        """Return whether this node reads for its zone, with a recent copy."""
        return (
            self.find_reader() is None
            and self.store_copy.age_ms() < PEER_CONFIRMATION_MS
        )

    def has_zone_peers(self) -> bool:
        """Return whether other nodes are registered in this node's zone."""
        return any(
            node.zone == self.node.zone and node.name != self.node.name
            for node in self.store_copy.registered
        )

    def avoid(self, name: str) -> None:
        """Ask a node that did not respond no more for a while."""
        self.avoided_until_ms[name] = self.clock.now_ms() + AVOID_MS

    async def request(self, wanted: CopyContent) -> ReceivedContent | Content | None:
        """Return the content that this node lacks; None if it has to read the store.

        Concurrent requests would transfer the same; a later one gets the little that
        the earlier has left.
        """
        async with self.lock:
            until_ms = self.clock.now_ms() + SOURCES_LIMIT_MS
            while self.clock.now_ms() < until_ms:
                source = self.find_source()
                if source is None:
                    return None
                received = await self._request_from(source, wanted)
                if received is not None or not self._is_avoided(source):
                    return received
            return None

    async def _request_from(
        self, source: NodeRecord, wanted: CopyContent
    ) -> ReceivedContent | Content | None:
        present = self.store_copy.content
        requested_ms = self.clock.now_ms()
        received: ReceivedContent | Content | None = None
        if source.name not in self.earlier_versions:
            received = await self._request_pages(source, wanted)
        is_described = wanted.catalog != UNKNOWN_PART
        if received is None and source.name in self.pages_known:
            if self._is_avoided(source):
                # It may have been replaced by one of an earlier version.
                self.pages_known.discard(source.name)
        elif received is None and is_described:
            received = await self._request_whole(source, wanted)
        log_event(
            Event.CONTENT_MISSED if received is None else Event.CONTENT_TAKEN,
            source=source.name,
            elapsed_ms=self.clock.now_ms() - requested_ms,
            present_version=present.catalog,
            wanted_version=wanted.catalog,
        )
        return received

    async def respond(self, message: ContentWanted) -> Content:
        """Return the whole parts that a node of an earlier version lacks."""
        wanted = CopyContent(
            message.revision, message.catalog, message.members, message.fleet
        )
        store_copy = self.store_copy
        if store_copy.revision < wanted.revision and not store_copy.has_parts(wanted):
            await store_copy.read_content(wanted)
        content = store_copy.content
        catalog = members = fleet = b""
        if content.catalog != message.present_catalog:
            catalog = encode_catalog(store_copy.catalog)
        if content.members != message.present_members:
            members = encode_members(store_copy.members, store_copy.evacuated.names)
        if content.fleet != message.present_fleet:
            fleet = encode_fleet(store_copy.fleet)
        return Content(message.request, catalog, members, fleet)

    async def send_page(self, message: ContentPageWanted) -> ContentPage:
        """Return a page of what the sender lacks.

        This node gets what it lacks itself by its own confirmations, not on request.
        """
        store_copy = self.store_copy
        encoded, offset = self.encoded.find_transfer(message.transfer), message.offset
        if encoded is None:
            wanted = CopyContent(
                message.revision, message.catalog, message.members, message.fleet
            )
            is_behind = store_copy.revision < wanted.revision
            if is_behind and not store_copy.has_parts(wanted):
                has_store = store_copy.is_available and store_copy.has_content
                return make_empty_page(message.request, has_store)
            encoded, offset = await self._encode(_get_bases(message)), 0
        is_current = store_copy.has_parts(encoded.content)
        age_ms = store_copy.age_ms() if is_current else NOT_CURRENT
        return make_page(message.request, encoded, max(0, offset), age_ms)

    def _is_avoided(self, node: NodeRecord) -> bool:
        return self.avoided_until_ms.get(node.name, 0.0) > self.clock.now_ms()

    async def _request_pages(
        self, source: NodeRecord, wanted: CopyContent
    ) -> ReceivedContent | None:
        present = self.store_copy.content
        incoming = IncomingContent()
        failures = 0
        pending_until_ms = self.clock.now_ms() + PENDING_LIMIT_MS

        def make_request(request: int) -> ContentPageWanted:
            return ContentPageWanted(
                request,
                wanted.revision,
                wanted.catalog,
                wanted.members,
                wanted.fleet,
                present.catalog,
                present.members,
                present.fleet,
                incoming.transfer,
                len(incoming.data),
            )

        while not incoming.is_complete:
            requested_ms = self.clock.now_ms()
            page = await self.peers.send_request(source, make_request, PAGE_TIMEOUT_MS)
            if not isinstance(page, ContentPage) or not incoming.accept(
                page, requested_ms
            ):
                failures += 1
                if source.name not in self.pages_known:
                    return None
                if failures >= MAX_FAILED_PAGES or self._is_avoided(source):
                    self.avoid(source.name)
                    return None
                continue
            failures = 0
            self.pages_known.add(source.name)
            if page.state != PageState.DATA.value:
                is_late = self.clock.now_ms() >= pending_until_ms
                if is_late or page.state != PageState.PENDING.value:
                    return None
                await asyncio.sleep(PENDING_RETRY_MS / 1000)
        return await self._decode(incoming, wanted)

    async def _decode(
        self, incoming: IncomingContent, wanted: CopyContent
    ) -> ReceivedContent | None:
        store_copy = self.store_copy
        data = bytes(incoming.data)
        try:
            header = decode_header(data)
            base = _find_base(store_copy, header.bases)
            if base is None:
                return None
            base_digest = store_copy.catalog_digest if header.bases.catalog else 0
            parts, digest = await decode_difference(data, base, base_digest)
            if digest != header.catalog_digest:
                raise ContentError("the configuration has another digest")
        except ContentError as error:
            log_event(Event.LISTING_INVALID, object="content", reason=error)
            return None
        # The sender has checked that these parts are those of the wanted revision.
        content = attrs.evolve(
            header.content, revision=max(header.content.revision, wanted.revision)
        )
        return ReceivedContent(content, parts, digest, incoming.confirmed_ms)

    async def _request_whole(
        self, source: NodeRecord, wanted: CopyContent
    ) -> Content | None:
        """Request the parts from a node of an earlier version."""
        present = self.store_copy.content
        response = await self.peers.send_request(
            source,
            lambda request: ContentWanted(
                request,
                wanted.revision,
                wanted.catalog,
                wanted.members,
                wanted.fleet,
                present.catalog,
                present.members,
                present.fleet,
            ),
            CONTENT_TIMEOUT_MS,
        )
        # A node that has been replaced meanwhile is asked for pages again.
        incarnation = self.peers.find_incarnation(source.name)
        known = self.earlier_versions.pop(source.name, incarnation)
        if not isinstance(response, Content):
            self.avoid(source.name)
            return None
        if known == incarnation:
            self.earlier_versions[source.name] = incarnation
        return response

    async def _encode(self, wanted: Bases) -> EncodedContent:
        """Return the difference from a content to this node's, encoded once for all."""
        store_copy = self.store_copy
        content = store_copy.content
        encoded = self.encoded.find_difference(wanted, content)
        if encoded is not None:
            return encoded
        key = (wanted, content)
        if key not in self.encodings:
            bases, earlier = store_copy.history.find(wanted)
            header = ContentHeader(
                content, bases, store_copy.catalog_digest, store_copy.fleet.revision
            )
            # The copy may change while it is encoded.
            encoding = encode_difference(header, earlier, store_copy.parts, wanted)
            self.encodings[key] = task = asyncio.create_task(encoding)
            task.add_done_callback(lambda _: self.encodings.pop(key))
        encoded = await asyncio.shield(self.encodings[key])
        if self.encoded.find_transfer(encoded.transfer) is None:
            self.encoded.add(encoded)
        return encoded


def _get_bases(message: ContentPageWanted) -> Bases:
    return Bases(
        message.present_catalog, message.present_members, message.present_fleet
    )


def _find_base(store_copy: StoreCopy, bases: Bases) -> StoreContent | None:
    """Return the copy's parts from which a difference starts; None if they changed."""
    present, parts = store_copy.content, store_copy.parts
    if bases.catalog not in (0, present.catalog):
        return None
    if bases.members not in (0, present.members):
        return None
    if bases.fleet not in (0, present.fleet):
        return None
    empty = StoreContent()
    return StoreContent(
        parts.catalog if bases.catalog else empty.catalog,
        parts.members if bases.members else empty.members,
        parts.zones if bases.members else empty.zones,
        parts.fleet if bases.fleet else empty.fleet,
    )
