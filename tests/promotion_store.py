"""The platform's store in virtual time, with members that register themselves."""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Callable, Mapping
from typing import Final, TypeVar

import attrs

from radishtrack.group.status import Role
from radishtrack.pooler.catalog import (
    Catalog,
    GroupSettings,
    Member,
    NodeRecord,
    ReadClass,
    Route,
)
from radishtrack.pooler.order_mark import PromotionOrder, name_order
from radishtrack.pooler.ports import (
    Duty,
    FleetListing,
    ReplicaSet,
    StoredOrder,
    StoredReplicaSet,
    StoreUnavailable,
)
from radishtrack.revision import make_revision
from tests.promotion_members import GROUP, STORE, FleetMember, Network
from tests.virtual_time import get_virtual_loop

T = TypeVar("T")

DATABASE: Final = "shop"
HEARTBEAT_MS: Final = 1_200.0
EXPIRY_MS: Final = 3 * HEARTBEAT_MS
RETURN_MS: Final = 2_000.0
"""Time within which members register again after an outage of the store."""
CALL_TIMEOUT_MS: Final = 800.0
LATE_WRITE_MS: Final = 3_000.0

ROUTE: Final = Route(
    DATABASE, GROUP, ReadClass.STRICT, 0.0, 2_000.0, 400.0, 0, is_open=True
)


def make_catalog(synchronous_replicas: int) -> Catalog:
    """Return a configuration with one group and one route."""
    settings = GroupSettings(GROUP, 32, synchronous_replicas)
    return Catalog(1, {DATABASE: ROUTE}, {}, {}, {GROUP: settings}, 3_000.0)


@attrs.define(eq=False)
class ModelStore:
    """Objects and members' entries; nodes use it by `NodeStore`."""

    random: random.Random
    network: Network
    catalog: Catalog = attrs.field(factory=lambda: make_catalog(1))
    revision: int = 1
    is_down: bool = False
    expires_while_down: bool = False
    is_silent: bool = False
    """Whether it does not respond at all while it is down."""
    slow_ms: float = 0.0
    """Longest additional delay of a response."""
    lossy: float = 0.0
    """Probability that a write gets no response; it may take effect, also later."""
    entries: dict[str, Member] = attrs.field(factory=dict)
    heard_ms: dict[str, float] = attrs.field(factory=dict)
    due_ms: dict[str, float] = attrs.field(factory=dict)
    nodes: dict[str, NodeRecord] = attrs.field(factory=dict)
    duties: dict[str, Duty] = attrs.field(factory=dict)
    terms: dict[str, int] = attrs.field(factory=dict)
    orders: dict[str, StoredOrder] = attrs.field(factory=dict)
    replica_sets: dict[str, StoredReplicaSet] = attrs.field(factory=dict)
    was_down: bool = False

    def advance(self) -> int:
        """Return the revision of a change."""
        self.revision += 1
        return self.revision

    def _now_ms(self) -> float:
        return get_virtual_loop().time() * 1000.0

    async def run(self, members: Mapping[str, FleetMember]) -> None:
        """Receive heartbeats and remove expired entries; never returns."""
        while True:
            await asyncio.sleep(0.05)
            now_ms = self._now_ms()
            if self.was_down and not self.is_down:
                for name in members:
                    self.due_ms[name] = now_ms + self.random.uniform(50.0, RETURN_MS)
            self.was_down = self.is_down
            for member in members.values():
                if now_ms >= self.due_ms.get(member.name, 0.0):
                    self.register(member)
            if self.is_down and not self.expires_while_down:
                continue
            for name, heard_ms in tuple(self.heard_ms.items()):
                if now_ms - heard_ms >= EXPIRY_MS:
                    self.remove(name)

    def register(self, member: FleetMember) -> None:
        """Write a member's entry if it reaches the store."""
        now_ms = self._now_ms()
        jitter = self.random.uniform(0.9, 1.0)
        self.due_ms[member.name] = now_ms + jitter * HEARTBEAT_MS
        if self.is_down or not member.is_up:
            return
        if not self.network.reaches(member.name, STORE):
            return
        entry = Member(
            member.name,
            GROUP,
            member.name,
            1,
            member.zone,
            4,
            member.is_leaving,
            Role.PRIMARY if member.is_primary else Role.REPLICA,
            started_ms=member.process,
        )
        self.heard_ms[member.name] = now_ms
        if self.entries.get(member.name) != entry:
            self.entries[member.name] = entry
            self.advance()

    def remove(self, name: str) -> None:
        """Remove a member's entry."""
        self.heard_ms.pop(name, None)
        if self.entries.pop(name, None) is not None:
            self.advance()


@attrs.define(eq=False)
class NodeStore:
    """The store as one node reaches it; implements `ControlStore`."""

    store: ModelStore
    node: str

    async def _call(self, step: str, effect: Callable[[], T]) -> T:
        store = self.store
        delay_ms = store.random.uniform(2.0, 15.0)
        delay_ms += store.random.uniform(0.0, store.slow_ms)
        await asyncio.sleep(delay_ms / 1000)
        is_reached = store.network.reaches(self.node, STORE)
        if not is_reached or store.is_down:
            is_refused = store.network.refuses(self.node, STORE)
            if not is_refused and (store.is_silent or not is_reached):
                await asyncio.sleep(CALL_TIMEOUT_MS / 1000)
            raise StoreUnavailable(step, "no response", is_effect_unknown=True)
        return effect()

    async def _write(self, step: str, effect: Callable[[], T]) -> T:
        store = self.store
        if store.random.random() >= store.lossy:
            return await self._call(step, effect)
        kind = store.random.choice(("lost request", "lost answer", "late"))
        if kind == "lost answer":
            await self._call(step, effect)
        elif kind == "late":
            get_virtual_loop().call_later(
                store.random.uniform(0.1, LATE_WRITE_MS / 1000),
                effect,
                context=contextvars.Context(),
            )
        await asyncio.sleep(CALL_TIMEOUT_MS / 1000)
        raise StoreUnavailable(step, kind, is_effect_unknown=True)

    async def list_fleet(self) -> FleetListing:
        """Return the nodes, duties and terms."""
        store = self.store

        def effect() -> FleetListing:
            marks = {
                name_order(group): stored.order.mark
                for group, stored in store.orders.items()
                if stored.order is not None
            }
            return FleetListing(
                tuple(store.nodes.values()),
                dict(store.duties),
                store.terms | marks,
                make_revision(0, store.revision),
            )

        return await self._call("fleet", effect)

    async def register_node(self, node: NodeRecord) -> None:
        """Create or replace a node's record."""

        def effect() -> None:
            self.store.nodes[node.name] = node
            self.store.advance()

        await self._write("register", effect)

    async def remove_node(self, name: str) -> None:
        """Delete a node's record."""

        def effect() -> None:
            if self.store.nodes.pop(name, None) is not None:
                self.store.advance()

        await self._write("remove", effect)

    async def read_catalog(self) -> Catalog | None:
        """Return the configuration."""
        return await self._call("configuration", lambda: self.store.catalog)

    async def list_members(self) -> tuple[Member, ...]:
        """Return the members' entries."""
        return await self._call("members", lambda: tuple(self.store.entries.values()))

    async def list_evacuations(self) -> frozenset[str]:
        """Return no zones."""
        return frozenset()

    async def claim_duty(
        self, name: str, duty: Duty, holder: str, claim: str
    ) -> Duty | None:
        """Replace a duty's record if it is still `duty`."""
        store = self.store

        def effect() -> Duty | None:
            stored = store.duties.get(name)
            if (stored.revision if stored else 0) != duty.revision:
                return None
            claimed = Duty(holder, make_revision(0, store.advance()), claim)
            store.duties[name] = claimed
            return claimed

        return await self._write("duty", effect)

    async def announce_term(self, group: str, term: int) -> None:
        """Announce a term."""
        store = self.store

        def effect() -> None:
            if store.terms.get(group, 0) < term:
                store.terms[group] = term
                store.advance()

        await self._write("term", effect)

    async def find_order(self, group: str) -> StoredOrder:
        """Return the last order."""
        none = StoredOrder(None, 0)
        return await self._call("order", lambda: self.store.orders.get(group, none))

    async def record_order(
        self, group: str, order: PromotionOrder, revision: int
    ) -> StoredOrder | None:
        """Announce an order if the record has a revision."""
        store = self.store

        def effect() -> StoredOrder | None:
            stored = store.orders.get(group)
            if (stored.revision if stored else 0) != revision:
                return None
            store.orders[group] = StoredOrder(order, store.advance())
            return store.orders[group]

        return await self._write("order", effect)

    async def list_replica_sets(self) -> Mapping[str, StoredReplicaSet]:
        """Return all records."""
        return await self._call("replica sets", lambda: dict(self.store.replica_sets))

    async def find_replica_set(self, group: str) -> ReplicaSet | None:
        """Return a group's record."""

        def effect() -> ReplicaSet | None:
            stored = self.store.replica_sets.get(group)
            return None if stored is None else stored.replica_set

        return await self._call("replica set", effect)

    async def write_replica_set(
        self, group: str, replica_set: ReplicaSet, revision: int
    ) -> StoredReplicaSet | None:
        """Replace a group's record if it has a revision."""
        store = self.store

        def effect() -> StoredReplicaSet | None:
            stored = store.replica_sets.get(group)
            if (stored.revision if stored else 0) != revision:
                return None
            store.replica_sets[group] = StoredReplicaSet(replica_set, store.advance())
            return store.replica_sets[group]

        return await self._write("replica set", effect)

    async def record_settled_era(self, era: int) -> None:
        """Do nothing: this store is never restored."""

    async def find_secret(self) -> bytes | None:
        """Return the peers' secret."""
        return await self._call("secret", lambda: b"secret")

    async def create_secret(self, secret: bytes) -> bytes:
        """Return the peers' secret."""
        return await self._call("secret", lambda: b"secret")
