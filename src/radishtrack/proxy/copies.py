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

STEP_S: Final = 0.5
CUT_OFF_MS: Final = 3_500.0
"""Longer than a quiet watch of the platform waits for a change."""

ASK_INTERVAL_MS: Final = 1_000.0
INTERVAL_PER_PEER_MS: Final = 34.0
"""Keeps the traffic of an outage with 590 peers under 2 KB a second."""

ANSWER_TIMEOUT_S: Final = 1.0
NEVER_MS: Final = 1e12
"""Age that stands for "never" in a message: nodes can't compare an infinite one."""


@attrs.define
class Copies:
    """Asks peers for their copies, and answers them.

    Parameters
    ----------
    clock : Clock
        Dates contacts.
    secret : str
        Authenticates copies.
    keyring, configuration : Keyring, ConfigurationState
        What is copied.
    contacts : ContactState
        Who was heard of when.
    membership : Membership
        The other nodes.
    router : Router
        Connections to them.
    slots : Slots
        The group records.
    platform : PlatformClient
        Dates this node's own contact with the platform.
    seeds : tuple of Address
        Peers from the settings, for a start while the platform is down.
    when_revoked : callable
        Takes a key that a copy revoked.
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
    when_revoked: Callable[[RevokedKey], None]
    when_configured: Callable[[], None]
    asked_ms: float = 0.0
    numbers: itertools.count[int] = attrs.field(
        factory=lambda: itertools.count(-2_000_000_000, step=-1)
    )
    """Distinct from the numbers of all other messages on a link."""

    def answer(self, request: CopyRequest) -> Copy:
        """Return this node's copies for a peer."""
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
        """Tell connected peers about revoked keys, in case they can't learn it."""
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

    def take_changed(self, message: KeysChanged) -> None:
        """Apply a peer's word on changed keys; it does not date the other keys."""
        copy = open_keys(message.objects, self.secret)
        if copy is not None:
            for revoked in apply_copy(self.keyring, copy):
                self.when_revoked(revoked)

    async def run(self) -> None:
        """Ask all peers from time to time while the platform does not answer."""
        while True:
            now_ms = self.clock.now_ms()
            nodes = self.membership.list_nodes(now_ms)
            others = frozenset(node.id for node in nodes) - {self.router.node.id}
            # Only the own region is counted: regions lose each other for an hour, and
            # the smaller one would otherwise stop. Words from elsewhere still help.
            region = self.router.node.region
            own = frozenset(node.id for node in nodes if node.region == region)
            self.contacts.set_peers(
                others | self._known_seeds(), own - {self.router.node.id}
            )
            interval_ms = max(ASK_INTERVAL_MS, INTERVAL_PER_PEER_MS * len(others))
            is_due = now_ms - self.asked_ms >= interval_ms
            if is_due and self.contacts.is_platform_unreachable(now_ms, CUT_OFF_MS):
                self.asked_ms = now_ms
                await asyncio.gather(
                    *(self._ask(name) for name in others),
                    *(self._ask_seed(seed) for seed in self._unlisted_seeds()),
                )
            await asyncio.sleep(STEP_S)

    def _known_seeds(self) -> frozenset[str]:
        # Nodes reached by a seed address count as peers before the list names them.
        return frozenset(self.router.links) - {self.router.node.id}

    def _unlisted_seeds(self) -> tuple[Address, ...]:
        nodes = self.membership.list_nodes(self.clock.now_ms())
        listed = {node.peer_address for node in nodes}
        return tuple(seed for seed in self.seeds if str(seed) not in listed)

    async def _ask(self, name: str) -> None:
        try:
            link = await self.router.get_link(name)
        except LinkClosed:
            return
        await self._ask_link(link)

    async def _ask_seed(self, seed: Address) -> None:
        try:
            link = await self.router.open_link(str(seed))
        except LinkClosed:
            return
        known = self.router.links.get(link.node)
        if known is None or known.closed:
            self.router.links[link.node] = link
        await self._ask_link(link)

    async def _ask_link(self, link: PeerLink) -> None:
        number = next(self.numbers)
        request = CopyRequest(
            number, compute_digest(self.keyring), self.configuration.revision
        )
        asked_ms = self.clock.now_ms()
        try:
            answer = await link.call(request, number, ANSWER_TIMEOUT_S)
        except LinkClosed:
            return
        if isinstance(answer, Copy):
            self._take(link.node, answer, asked_ms)

    def _take(self, peer: str, answer: Copy, asked_ms: float) -> None:
        if not answer.objects:
            return
        copy = open_keys(answer.objects[0], self.secret)
        if copy is None:
            return
        for revoked in apply_copy(self.keyring, copy):
            self.when_revoked(revoked)
        self.contacts.record_peer_contact(
            peer,
            asked_ms,
            is_platform_down=answer.contact_age_ms > CUT_OFF_MS,
            copy_age_ms=copy.age_ms,
        )
        before = self.configuration.revision
        if before == 0 and len(answer.objects) > 1:
            self._take_fleet(answer.objects[-1])
        self.configuration.accept_copies(answer.objects[1:2], self.secret)
        if self.configuration.revision > before:
            self.when_configured()

    def _take_fleet(self, data: bytes) -> None:
        fleet = open_fleet(data, self.secret)
        if fleet is None:
            return
        for record in fleet.records:
            self.slots.update_record(record)
        if not self.membership.listed:
            self.membership.apply_list(fleet.nodes)
