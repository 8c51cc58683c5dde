"""Exchanges copies of keys and configuration with peers while the platform is down."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.config.state import ConfigurationState
from radishtrack.keys.contact import ContactState
from radishtrack.keys.copy import apply_copy, compute_digest, open_keys, seal_keys
from radishtrack.keys.keyring import Keyring, RevokedKey, make_keyring
from radishtrack.membership.nodes import Membership
from radishtrack.objects.client import PlatformClient
from radishtrack.peer.link import LinkClosed, PeerLink
from radishtrack.peer.messages import Copy, CopyRequest, KeysChanged
from radishtrack.proxy.fleet_copy import open_fleet, seal_fleet
from radishtrack.proxy.router import Router
from radishtrack.proxy.slots import Slots
from radishtrack.settings import Address

CHECK_INTERVAL_S: Final = 0.5
UNREACHABLE_AFTER_MS: Final = 3_500.0
"""Longer than a watch of the platform waits for a change."""

REQUEST_INTERVAL_MS: Final = 1_000.0
INTERVAL_PER_PEER_MS: Final = 34.0
"""Keeps the traffic below 2 KB/s in an outage with 590 peers."""

RESPONSE_TIMEOUT_S: Final = 1.0
NEVER_MS: Final = 1e12
"""Age that stands for "never" in a message: nodes can't compare an infinite one."""


@attrs.define
class Copies:
    """Requests copies from peers, and returns this node's copies to them.

    Parameters
    ----------
    clock : Clock
        Clock of contacts.
    secret : str
        Authenticates copies.
    keyring, configuration : Keyring, ConfigurationState
        Source and destination of the copies.
    contacts : ContactState
        Last contacts with the platform and the peers.
    membership : Membership
        The other nodes.
    router : Router
        Connections to them.
    slots : Slots
        The group records.
    platform : PlatformClient
        Client of the platform.
    seeds : tuple of Address
        Peers from the settings, for a start while the platform is down.
    on_revoked : callable
        Takes each key that a copy revokes.
    on_configured : callable
        Called after a copy has brought a newer configuration.
    """

    clock: Clock
    secret: str
    keyring: Keyring
    configuration: ConfigurationState
    contacts: ContactState
    membership: Membership
    router: Router
    slots: Slots
    platform: PlatformClient
    seeds: tuple[Address, ...]
    on_revoked: Callable[[RevokedKey], None]
    on_configured: Callable[[], None]
    last_request_ms: float = 0.0
    seed_links: dict[str, PeerLink] = attrs.field(factory=dict)
    """Open links to seeds that the platform's list lacks, by address."""
    numbers: itertools.count[int] = attrs.field(
        factory=lambda: itertools.count(-2_000_000_000, step=-1)
    )
    """Disjoint from the numbers of all other messages on a link."""

    def handle_copy_request(self, request: CopyRequest) -> Copy:
        """Return this node's copies for a peer.

        Group records and nodes are included for a peer without a configuration.
        """
        age_ms = self.clock.now_ms() - self.contacts.platform_contact_ms
        objects = [
            seal_keys(
                self.keyring,
                min(age_ms, NEVER_MS),
                self.secret,
                known_digest=request.keys_digest,
            )
        ]
        if self.configuration.revision > request.revision:
            objects.append(self.configuration.seal_copy(self.secret))
        if request.revision == 0:
            nodes = self.membership.list_nodes(self.clock.now_ms())
            records = self.slots.records.values()
            objects.append(seal_fleet(records, nodes, self.secret))
        return Copy(request.request, min(age_ms, NEVER_MS), tuple(objects))

    async def announce_revoked(self, organisations: frozenset[str]) -> None:
        """Send the keys of organisations with a revoked key to connected peers.

        A peer may be unable to read them from the platform.
        """
        changed = make_keyring()
        changed.organisations = {
            name: keys
            for name, keys in self.keyring.organisations.items()
            if name in organisations
        }
        message = KeysChanged(seal_keys(changed, 0.0, self.secret))
        for link in tuple(self.router.links.values()):
            try:
                await link.send(message)
            except LinkClosed:
                continue

    def apply_changed_keys(self, message: KeysChanged) -> None:
        """Apply keys that a peer reports as changed; they don't confirm the others."""
        copy = open_keys(message.objects, self.secret)
        if copy is not None:
            for revoked in apply_copy(self.keyring, copy):
                self.on_revoked(revoked)

    async def run(self) -> None:
        """Request copies from all peers while the platform is unreachable."""
        while True:
            now_ms = self.clock.now_ms()
            nodes = self.membership.list_nodes(now_ms)
            others = frozenset(node.id for node in nodes) - {self.router.node.id}
            # Only peers of this region count towards the majority: a partition between
            # regions can last an hour, in which the smaller one would otherwise refuse
            # all requests. Copies from other regions are still used.
            region = self.router.node.region
            same_region = frozenset(node.id for node in nodes if node.region == region)
            self.contacts.set_peers(
                others | self._list_linked(), same_region - {self.router.node.id}
            )
            interval_ms = max(REQUEST_INTERVAL_MS, INTERVAL_PER_PEER_MS * len(others))
            is_due = now_ms - self.last_request_ms >= interval_ms
            if is_due and self.contacts.is_platform_unreachable(
                now_ms, UNREACHABLE_AFTER_MS
            ):
                self.last_request_ms = now_ms
                await asyncio.gather(
                    *(self._request_copy(name) for name in others),
                    *(self._request_seed(seed) for seed in self._list_unlisted_seeds()),
                )
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _list_linked(self) -> frozenset[str]:
        # Nodes reached by a seed address are peers before the platform's list has them.
        return frozenset(self.router.links) - {self.router.node.id}

    def _list_unlisted_seeds(self) -> tuple[Address, ...]:
        nodes = self.membership.list_nodes(self.clock.now_ms())
        listed = {node.peer_address for node in nodes}
        return tuple(seed for seed in self.seeds if str(seed) not in listed)

    async def _request_copy(self, name: str) -> None:
        try:
            link = await self.router.get_link(name)
        except LinkClosed:
            return
        await self._request_over_link(link)

    async def _request_seed(self, seed: Address) -> None:
        link = self.seed_links.get(str(seed))
        if link is None or link.closed:
            try:
                link = await self.router.open_link(str(seed))
            except LinkClosed:
                return
            self.seed_links[str(seed)] = link
        current = self.router.links.get(link.node)
        if current is None or current.closed:
            self.router.links[link.node] = link
        await self._request_over_link(link)

    async def _request_over_link(self, link: PeerLink) -> None:
        number = next(self.numbers)
        request = CopyRequest(
            number, compute_digest(self.keyring), self.configuration.revision
        )
        sent_ms = self.clock.now_ms()
        try:
            response = await link.call(request, number, RESPONSE_TIMEOUT_S)
        except LinkClosed:
            return
        if isinstance(response, Copy):
            self._apply_response(link.node, response, sent_ms)

    def _apply_response(self, peer: str, response: Copy, sent_ms: float) -> None:
        if not response.objects:
            return
        copy = open_keys(response.objects[0], self.secret)
        if copy is None:
            return
        for revoked in apply_copy(self.keyring, copy):
            self.on_revoked(revoked)
        self.contacts.record_peer_contact(
            peer,
            sent_ms,
            is_platform_down=response.contact_age_ms > UNREACHABLE_AFTER_MS,
            copy_age_ms=copy.age_ms,
        )
        old_revision = self.configuration.revision
        if old_revision == 0 and len(response.objects) > 1:
            self._apply_fleet(response.objects[-1])
        self.configuration.accept_copies(response.objects[1:2], self.secret)
        if self.configuration.revision != old_revision:
            self.on_configured()

    def _apply_fleet(self, data: bytes) -> None:
        fleet = open_fleet(data, self.secret)
        if fleet is None:
            return
        for record in fleet.records:
            self.slots.update_record(record)
        if not self.membership.listed:
            self.membership.apply_list(fleet.nodes)
