"""Takes changed content of the store from a node of the same availability zone.

Calls of the store are shared by the whole fleet and bytes between availability zones
cost, so one node of each zone reads a change and hands it to the others of its zone.
The content itself proves nothing about its age: a node uses it only if it equals the
digests that the coordinator confirmed, and its age is that confirmation's.
"""

from __future__ import annotations

from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.peer.messages import Content, ContentWanted
from radishtrack.pooler.catalog import NodeRecord
from radishtrack.pooler.content_codec import (
    encode_catalog,
    encode_fleet,
    encode_members,
)
from radishtrack.pooler.peers import Peers
from radishtrack.pooler.rank import find_first
from radishtrack.pooler.store_content import CopyContent
from radishtrack.pooler.store_copy import PEER_CONFIRMATION_MS, StoreCopy

READER_DUTY: Final = "content"
"""Name that determines the order of a zone's nodes for reading changes."""
CONTENT_TIMEOUT_MS: Final = 400.0
"""Time limit of a request: one round trip, and the reads of the other node."""
AVOID_MS: Final = 5_000.0
"""Time for which a node that did not respond is not asked again."""


@attrs.define(eq=False)
class ContentExchange:
    """One node's requests to its zone's reader, and its responses as reader."""

    node: NodeRecord
    clock: Clock
    store_copy: StoreCopy
    peers: Peers
    avoided_until_ms: dict[str, float] = attrs.field(factory=dict)
    """Until when a node is not asked, by name."""

    def find_reader(self) -> NodeRecord | None:
        """Return the node that reads changes for this zone; None for this node."""
        now_ms = self.clock.now_ms()
        first = find_first(
            READER_DUTY,
            (
                node
                for node in self.store_copy.registered
                if node.zone == self.node.zone
                and self.avoided_until_ms.get(node.name, 0.0) <= now_ms
            ),
        )
        return None if first is None or first.name == self.node.name else first

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

    async def request(self, wanted: CopyContent) -> Content | None:
        """Return the parts that this node lacks; None if it has to read the store."""
        reader = self.find_reader()
        if reader is None:
            return None
        present = self.store_copy.content
        requested_ms = self.clock.now_ms()
        response = await self.peers.send_request(
            reader,
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
        if isinstance(response, Content):
            return response
        log_event(
            Event.CONTENT_MISSED,
            reader=reader.name,
            elapsed_ms=self.clock.now_ms() - requested_ms,
            present_version=present.catalog,
            wanted_version=wanted.catalog,
        )
        self.avoid(reader.name)
        return None

    async def respond(self, message: ContentWanted) -> Content:
        """Return the parts that the sender lacks, after reading what it names."""
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
