"""Implementation of the pooler's control store on the platform's object store."""

from __future__ import annotations

from typing import Final

import attrs

from radishtrack.events import Event, log_event
from radishtrack.platform.documents import (
    MAX_NAME_LENGTH,
    DocumentError,
    parse_catalog,
    parse_member,
    parse_node,
    parse_replica_set,
    parse_valid,
    render_node,
    render_replica_set,
)
from radishtrack.platform.object_store import ObjectStoreClient, StoredObject
from radishtrack.pooler.catalog import Catalog, Member, NodeRecord
from radishtrack.pooler.duties import NO_HOLDER
from radishtrack.pooler.order_mark import PromotionOrder, name_order
from radishtrack.pooler.ports import (
    Duty,
    FleetListing,
    ReplicaSet,
    StoredOrder,
    StoredReplicaSet,
    StoreUnavailable,
)
from radishtrack.revision import get_era, get_number, make_revision

CONFIG_KIND: Final = "config"
CONFIG_NAME: Final = "main"
MEMBERS_KIND: Final = "servers"
EVACUATIONS_KIND: Final = "evacuations"
FLEET_KIND: Final = "radishtrack"
"""Kind of all objects of the pooler itself, so that one call lists them."""
REPLICA_SETS_KIND: Final = "radishtrack-replicas"
"""Kind of the groups' replica sets, which only promotions and their writer read."""
NODE_PREFIX: Final = "node."
DUTY_PREFIX: Final = "duty."
TERM_PREFIX: Final = "term."
SECRET_NAME: Final = "secret"
ERA_NAME: Final = "era"
MAX_REPORTED_ENTRIES: Final = 1_000
"""Limit of the invalid objects that are remembered in order to log each only once."""
MAX_REASON_LENGTH: Final = 200
"""Length at which the reason in a log line is cut; it may quote an object."""
MAX_TERM: Final = 2**32
"""Terms rise by one with each promotion; a larger one is no term."""


@attrs.define(eq=False)
class PlatformControlStore:
    """Implements `ControlStore`.

    Parameters
    ----------
    client : ObjectStoreClient
        Client of the platform's object store.
    has_evacuations : bool
        Whether operators of this platform can evacuate availability zones.
    """

    client: ObjectStoreClient
    has_evacuations: bool = False
    reported: set[tuple[str, str]] = attrs.field(factory=set)

    async def list_fleet(self) -> FleetListing:
        """Return the registered nodes, the duties and the announced terms."""
        listing = await self.client.list_objects(FLEET_KIND)
        nodes = parse_valid(
            (item for item in listing.objects if item.name.startswith(NODE_PREFIX)),
            _parse_own_node,
            self._report,
        )
        era = get_era(listing.revision)
        duties = {
            item.name.removeprefix(DUTY_PREFIX): _parse_duty(item, era)
            for item in listing.objects
            if item.name.startswith(DUTY_PREFIX)
        }
        terms = dict(
            parse_valid(
                (item for item in listing.objects if item.name.startswith(TERM_PREFIX)),
                _parse_term,
                self._report,
            )
        )
        settled_era = max(
            (_parse_number(o, "era") for o in listing.objects if o.name == ERA_NAME),
            default=0,
        )
        return FleetListing(tuple(nodes), duties, terms, listing.revision, settled_era)

    async def register_node(self, node: NodeRecord) -> None:
        """Create or replace a node's record."""
        await self._write(NODE_PREFIX + node.name, render_node(node))

    async def remove_node(self, name: str) -> None:
        """Delete a node's record."""
        await self.client.delete(FLEET_KIND, NODE_PREFIX + name)

    async def read_catalog(self) -> Catalog | None:
        """Return the current configuration; None if there is none."""
        stored = await self.client.get(CONFIG_KIND, CONFIG_NAME)
        if stored is None:
            return None
        try:
            return await parse_catalog(stored)
        except DocumentError as error:
            self._report(f"{CONFIG_KIND}/{CONFIG_NAME}@{stored.revision}", error)
            raise StoreUnavailable(
                "configuration", str(error), is_effect_unknown=False
            ) from error

    async def list_members(self) -> tuple[Member, ...]:
        """Return the registered members whose entries are valid."""
        listing = await self.client.list_objects(MEMBERS_KIND)
        return tuple(parse_valid(iter(listing.objects), parse_member, self._report))

    async def list_evacuations(self) -> frozenset[str]:
        """Return the evacuated zones; their objects have no content."""
        if not self.has_evacuations:
            return frozenset()
        listing = await self.client.list_objects(EVACUATIONS_KIND)
        return frozenset(item.name for item in listing.objects)

    async def claim_duty(
        self, name: str, duty: Duty, holder: str, claim: str
    ) -> Duty | None:
        """Replace a duty's record if it is still `duty`; otherwise return None.

        The record names the era of its claim: its revision alone may be one that a
        claim had which the store has lost.
        """
        stored_name = DUTY_PREFIX + name
        era = self.client.era
        spec = {"holder": holder, "claim": claim, "era": era}
        if duty.revision == 0:
            stored = await self.client.create(FLEET_KIND, stored_name, spec)
        else:
            stored = await self.client.replace(
                FLEET_KIND, stored_name, spec, get_number(duty.revision)
            )
        while stored is not None and era != self.client.era:
            # The store was restored before the write.
            era = self.client.era
            stored = await self.client.replace(
                FLEET_KIND, stored_name, spec | {"era": era}, stored.revision
            )
        if stored is None:
            return None
        return Duty(holder, make_revision(era, stored.revision), claim)

    async def announce_term(self, group: str, term: int) -> None:
        """Announce that a promotion to a term may be ordered from now on."""
        name = TERM_PREFIX + group
        stored = await self.client.get(FLEET_KIND, name)
        if stored is None or _parse_number(stored, "term") < term:
            await self._write(name, {"term": term})

    async def find_order(self, group: str) -> StoredOrder:
        """Return the last promotion order that was announced for a group."""
        stored = await self.client.get(FLEET_KIND, TERM_PREFIX + name_order(group))
        if stored is None:
            return StoredOrder(None, 0)
        mark = _parse_number(stored, "term")
        member = stored.spec.get("member") if isinstance(stored.spec, dict) else None
        order = PromotionOrder(mark, member if isinstance(member, str) else "")
        return StoredOrder(order, stored.revision)

    async def record_order(
        self, group: str, order: PromotionOrder, revision: int
    ) -> StoredOrder | None:
        """Announce an order; return None if the record has another revision."""
        name = TERM_PREFIX + name_order(group)
        spec = {"term": order.mark, "member": order.member}
        if revision:
            stored = await self.client.replace(FLEET_KIND, name, spec, revision)
        else:
            stored = await self.client.create(FLEET_KIND, name, spec)
        return None if stored is None else StoredOrder(order, stored.revision)

    async def find_secret(self) -> bytes | None:
        """Return the secret of the fleet's peers, or None if there is none."""
        stored = await self.client.get(FLEET_KIND, SECRET_NAME)
        return None if stored is None else _parse_secret(stored)

    async def create_secret(self, secret: bytes) -> bytes:
        """Store the peers' secret unless there is one; return the stored one."""
        spec = {"secret": secret.hex()}
        stored = await self.client.create(FLEET_KIND, SECRET_NAME, spec)
        if stored is not None:
            return secret
        existing = await self.find_secret()
        if existing is None:
            raise StoreUnavailable(
                "secret", "deleted after its creation", is_effect_unknown=False
            )
        return existing

    async def list_replica_sets(self) -> dict[str, StoredReplicaSet]:
        """Return the records of all groups' replica sets, by group."""
        listing = await self.client.list_objects(REPLICA_SETS_KIND)
        return {
            item.name: StoredReplicaSet(self._parse_replica_set(item), item.revision)
            for item in listing.objects
        }

    async def find_replica_set(self, group: str) -> ReplicaSet | None:
        """Return a group's replica set, or None if there is no record of it."""
        stored = await self.client.get(REPLICA_SETS_KIND, group)
        if stored is None:
            return None
        replica_set = self._parse_replica_set(stored)
        if replica_set is None:
            raise StoreUnavailable(
                "replica set", "malformed record", is_effect_unknown=False
            )
        return replica_set

    async def write_replica_set(
        self, group: str, replica_set: ReplicaSet, revision: int
    ) -> StoredReplicaSet | None:
        """Replace a group's record if it still has a revision; otherwise return None.

        Revision 0 stands for a group without a record.
        """
        spec = render_replica_set(replica_set)
        if revision:
            stored = await self.client.replace(REPLICA_SETS_KIND, group, spec, revision)
        else:
            stored = await self.client.create(REPLICA_SETS_KIND, group, spec)
        return (
            None if stored is None else StoredReplicaSet(replica_set, stored.revision)
        )

    def _parse_replica_set(self, stored: StoredObject) -> ReplicaSet | None:
        try:
            return parse_replica_set(stored)
        except DocumentError as error:
            self._report(stored.name, error)
            return None

    async def record_settled_era(self, era: int) -> None:
        """Record that the writes which an era's restore lost were made again."""
        await self._write(ERA_NAME, {"era": era})

    async def _write(self, name: str, spec: dict[str, object]) -> None:
        """Create or replace an object that only one node writes at a time."""
        if await self.client.create(FLEET_KIND, name, spec) is not None:
            return
        stored = await self.client.get(FLEET_KIND, name)
        if stored is None or (
            await self.client.replace(FLEET_KIND, name, spec, stored.revision) is None
        ):
            raise StoreUnavailable("write", f"{name} changed", is_effect_unknown=False)

    def _report(self, name: str, error: Exception) -> None:
        report = (name, str(error))
        if report not in self.reported and len(self.reported) < MAX_REPORTED_ENTRIES:
            self.reported.add(report)
            reason = str(error)[:MAX_REASON_LENGTH]
            log_event(
                Event.LISTING_INVALID, object=name[:MAX_NAME_LENGTH], reason=reason
            )


def _parse_secret(stored: StoredObject) -> bytes:
    try:
        return bytes.fromhex(stored.spec["secret"])
    except (KeyError, TypeError, ValueError) as error:
        raise StoreUnavailable(
            "secret", repr(error), is_effect_unknown=False
        ) from error


def _parse_own_node(stored: StoredObject) -> NodeRecord:
    """Return a node's record, which must have the name of that node."""
    node = parse_node(stored)
    if stored.name != NODE_PREFIX + node.name:
        raise DocumentError("node record: written under another name")
    return node


def _parse_term(stored: StoredObject) -> tuple[str, int]:
    """Return a group and its announced term."""
    term = _parse_number(stored, "term")
    if not 0 < term <= MAX_TERM:
        raise DocumentError("announced term: missing or out of range")
    return stored.name.removeprefix(TERM_PREFIX), term


def _parse_number(stored: StoredObject, field: str) -> int:
    """Return a number in an object's content; 0 if there is none."""
    number = stored.spec.get(field) if isinstance(stored.spec, dict) else None
    return number if type(number) is int else 0


def _parse_duty(stored: StoredObject, store_era: int) -> Duty:
    """Return a duty's record; one that can't be read has no holder."""
    spec = stored.spec if isinstance(stored.spec, dict) else {}
    # Records of earlier versions of this program name no era.
    era = min(max(_parse_number(stored, "era"), 0), store_era)
    holder, claim = spec.get("holder"), spec.get("claim")
    return Duty(
        holder if isinstance(holder, str) else NO_HOLDER,
        make_revision(era, stored.revision),
        claim if isinstance(claim, str) else "",
    )
