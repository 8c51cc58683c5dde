"""The allocators that are placed on this node, each of one organisation's rate."""

from __future__ import annotations

import math
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.config.document import Document
from radishtrack.events import Event, log_event
from radishtrack.membership.placement import Placement
from radishtrack.objects.client import PlatformClient
from radishtrack.objects.records import PlatformRefusal, PlatformUnavailable, Written
from radishtrack.rates.allocator import Allocator, make_allocator
from radishtrack.rates.lease import LeaseWrite
from radishtrack.rates.messages import (
    LeaseRecord,
    RateLimit,
    TokenGrant,
    TokenRequest,
    make_rate_limit,
)
from radishtrack.rates.record import LeaseRecordError, decode_lease, encode_lease

ALLOCATORS_KIND: Final = "allocators"
IDLE_MS: Final = 60_000.0
"""An allocator or share that was unused for this time is dropped."""

LEASE_READ_INTERVAL_MS: Final = 250.0
"""Time between reads of a lease that another node holds."""

PLAN_INTERVAL_MS: Final = 1_000.0
"""Time between two writes of a lease record that only add standing shares."""


@attrs.define
class PlacedAllocator:
    """An allocator on this node, with the times and state of its maintenance."""

    state: Allocator
    last_used_ms: float
    is_busy: bool = False
    last_read_ms: float = -math.inf


@attrs.define
class Allocators:
    """Grants tokens, and maintains the leases that this requires.

    Parameters
    ----------
    node, region : str
        This node and its region.
    identity : str
        Name of this process, unique for each start.
    clock : Clock
        Clock of all decisions.
    placement : Placement
        Determines the node of each allocator.
    platform : PlatformClient
        Stores the lease records.
    """

    node: str
    region: str
    identity: str
    clock: Clock
    placement: Placement
    platform: PlatformClient
    document: Document | None = None
    placed: dict[str, PlacedAllocator] = attrs.field(factory=dict)

    def update_document(self, document: Document) -> None:
        """Apply the limits of a configuration; drop allocators without one."""
        self.document = document
        now_ms = self.clock.now_ms()
        for name, placed in tuple(self.placed.items()):
            limit = self.find_limit(name)
            if limit is None:
                del self.placed[name]
            else:
                placed.state.set_limit(limit, now_ms)

    def find_limit(self, organisation: str) -> RateLimit | None:
        """Return the configured limit of an organisation, or None if it is unknown."""
        if self.document is None:
            return None
        configured = self.document.organisations.get(organisation)
        return (
            None
            if configured is None
            else make_rate_limit(configured.rate, configured.burst)
        )

    def find_allocator_node(self, organisation: str) -> str:
        """Return the node of an organisation's allocator; empty if it is unknown."""
        if self.document is None or organisation not in self.document.organisations:
            return ""
        owner = self.document.organisations[organisation].owner
        regions = sorted(
            database.region
            for database in self.document.databases.values()
            if database.owner == owner
        )
        region = regions[0] if regions else self.region
        nodes = self.placement.place_slots(f"allocator/{organisation}", region, 1)
        return nodes[0] if nodes else ""

    def find_lease_node(self, organisation: str) -> str:
        """Return the last known holder of the lease; empty if none."""
        placed = self.placed.get(organisation)
        record = placed.state.lease.record if placed else None
        if record is None or record.released is not None:
            return ""
        # The record names a process as "<node>.<incarnation>".
        return record.holder_node.rpartition(".")[0]

    def grant(self, request: TokenRequest) -> TokenGrant | None:
        """Return the grant for a request, or None if this node lacks the lease."""
        limit = self.find_limit(request.organisation)
        if limit is None:
            return None
        now_ms = self.clock.now_ms()
        placed = self.placed.get(request.organisation)
        if placed is None:
            if self.find_allocator_node(request.organisation) != self.node:
                return None
            placed = self.placed[request.organisation] = PlacedAllocator(
                make_allocator(request.organisation, self.identity, limit), now_ms
            )
        placed.last_used_ms = now_ms
        result = placed.state.on_request(request, now_ms)
        return result if isinstance(result, TokenGrant) else None

    def list_not_busy(self) -> list[str]:
        """Return the organisations whose allocator has no maintenance under way."""
        return [name for name, placed in self.placed.items() if not placed.is_busy]

    async def maintain(self, name: str) -> None:
        """Read, acquire, renew or release the lease of one allocator."""
        placed = self.placed[name]
        placed.is_busy = True
        try:
            await self._maintain_lease(name, placed)
        except (PlatformUnavailable, PlatformRefusal):
            # The lease stays valid until it expires; the next step tries again.
            return
        finally:
            placed.is_busy = False

    async def _maintain_lease(self, name: str, placed: PlacedAllocator) -> None:
        state, now_ms = placed.state, self.clock.now_ms()
        is_placed = self.find_allocator_node(name) == self.node
        if not is_placed or now_ms - placed.last_used_ms > IDLE_MS:
            write = state.prepare_release(now_ms)
            if write is None:
                self.placed.pop(name, None)
            else:
                await self._write(name, state, write)
            return
        if (
            not state.lease.is_own
            and now_ms - placed.last_read_ms >= LEASE_READ_INTERVAL_MS
        ):
            # The holder of the lease releases it once it learns that the allocator is
            # placed here.
            placed.last_read_ms = now_ms
            await self._read(name, state)
            now_ms = self.clock.now_ms()
        if state.should_acquire(now_ms):
            # Another node may have changed the record since it was read.
            await self._read(name, state)
            now_ms = self.clock.now_ms()
        is_due = state.should_acquire(now_ms) or state.should_renew(now_ms)
        if is_due or _needs_plan(state, now_ms):
            await self._write(name, state, state.prepare_write(now_ms))

    async def _read(self, name: str, state: Allocator) -> None:
        record, version = await self.fetch(name)
        state.observe(record, version, self.clock.now_ms())

    async def _write(self, name: str, state: Allocator, write: LeaseWrite) -> None:
        try:
            result = await self.platform.put(
                ALLOCATORS_KIND,
                name,
                encode_lease(write.record),
                write.expected_version,
            )
        except (PlatformUnavailable, PlatformRefusal):
            return
        if isinstance(result, Written):
            state.on_lease_written(
                write.record.revision, result.version, self.clock.now_ms()
            )
        else:
            await self._read(name, state)

    async def fetch(self, name: str) -> tuple[LeaseRecord | None, int]:
        """Read a lease record and its version from the platform.

        The record is None if there is none or it is invalid. The version of an object
        that does not exist is that of `PlatformClient.missing_version`.
        """
        stored = await self.platform.get(ALLOCATORS_KIND, name)
        if stored is None:
            return None, self.platform.missing_version()
        if stored.value is None:
            return None, stored.version
        try:
            return decode_lease(stored.value), stored.version
        except LeaseRecordError as error:
            log_event(Event.LEASE_RECORD_INVALID, organisation=name, reason=error)
            return None, stored.version

    async def release_all(self) -> None:
        """Release all leases before the process ends."""
        for name, placed in self.placed.items():
            write = placed.state.prepare_release(self.clock.now_ms())
            if write is not None:
                await self._write(name, placed.state, write)


def _needs_plan(state: Allocator, now_ms: float) -> bool:
    """Return whether a holder still lacks its standing share, needed in an outage."""
    record = state.lease.record
    if not state.lease.is_held(now_ms) or record is None:
        return False
    if now_ms - state.lease.last_sent_ms < PLAN_INTERVAL_MS:
        return False
    planned = {share.holder for share in record.standing_shares}
    return any(
        view.needs_standing_share() and name not in planned
        for name, view in state.holders.items()
    )
