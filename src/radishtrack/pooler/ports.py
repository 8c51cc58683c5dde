"""Interfaces of the pooler to its platform, implemented by adapters."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

import attrs

from radishtrack.pooler.catalog import Catalog, Member, MemberProcess, NodeRecord
from radishtrack.pooler.order_mark import PromotionOrder
from radishtrack.pooler.statements import MemberResponse, MemberStatement
from radishtrack.session.position import Position


class LinkLost(Exception):
    """Raised when a member connection ends, or the response is late.

    Parameters
    ----------
    reason : str
        Cause of the failure.
    is_sent : bool
        Whether the statement may have reached the member.
    """

    def __init__(self, reason: str, *, is_sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_sent = is_sent


class LinkRefused(Exception):
    """Raised when a member does not accept a connection.

    Parameters
    ----------
    reason : str
        Cause of the failure.
    has_no_listener : bool
        Whether the host reported that no process listens on the port.
    is_wrong_member : bool
        Whether another member or service has the address.
    is_full : bool
        Whether the member accepts no more connections.
    """

    def __init__(
        self,
        reason: str,
        *,
        has_no_listener: bool = False,
        is_wrong_member: bool = False,
        is_full: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.has_no_listener = has_no_listener
        self.is_wrong_member = is_wrong_member
        self.is_full = is_full


class MemberLink(Protocol):
    """One connection to a member; runs one statement at a time."""

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""

    async def run(
        self,
        statement: MemberStatement,
        *,
        min_position: Position | None,
        timeout_ms: float,
    ) -> MemberResponse:
        """Run a statement and return its complete response.

        Parameters
        ----------
        statement : MemberStatement
            The statement.
        min_position : Position or None
            For reads and `Begin`: the member refuses if its log lacks this position.
        timeout_ms : float
            Longest wait for the response in milliseconds.

        Raises
        ------
        LinkLost
            If the connection ended, or the response was out of order or late. The link
            is then closed.
        """

    def watch_end(self, on_end: Callable[[], None]) -> None:
        """Call `on_end` once if the connection ends without `close`."""

    def close(self) -> None:
        """Close the connection; the member rolls back."""


OpenLink = Callable[[Member, str, float], Awaitable[MemberLink]]
"""Connects to a member for an organisation within a number of milliseconds.

Raises `LinkRefused`."""


class StoreUnavailable(Exception):
    """Raised when the store gave no usable response.

    Parameters
    ----------
    step : str
        Name of the call.
    reason : str
        Cause of the failure.
    is_effect_unknown : bool
        Whether a write may have taken effect or may still take effect.
    received_bytes : int
        Size of what was received of an incomplete response.
    """

    def __init__(
        self,
        step: str,
        reason: str,
        *,
        is_effect_unknown: bool,
        received_bytes: int = 0,
    ) -> None:
        super().__init__(f"{step}: {reason}")
        self.step = step
        self.reason = reason
        self.is_effect_unknown = is_effect_unknown
        self.received_bytes = received_bytes


@attrs.frozen
class Duty:
    """Record of the node that holds a duty; only one node holds it at a time.

    Parameters
    ----------
    holder : str
        Node that holds the duty; empty if it was released or never claimed.
    revision : int
        Revision of the record's last change in the era that it names, 0 if there is no
        record; see `radishtrack.revision`. It is unique and grows with each
        claim, also if the store has lost claims.
    claim : str
        Identifies the claim, so that a lost response can be resolved.
    """

    holder: str
    revision: int
    claim: str


@attrs.frozen
class FleetListing:
    """Records of the fleet, with the store revision at which they were read.

    Parameters
    ----------
    nodes : tuple of NodeRecord
        All registered nodes.
    duties : mapping
        Duties by name; names without a record are absent.
    terms : mapping
        Newest term for which a promotion was announced, by group; marks of promotion
        orders by `name_order`.
    revision : int
        Store revision, see `radishtrack.revision`; grows with each change of any
        object and when the store comes back from a backup.
    settled_era : int
        Latest era in which the lost writes are known to have been made again, 0 if
        there is no record of one.
    """

    nodes: tuple[NodeRecord, ...]
    duties: Mapping[str, Duty]
    terms: Mapping[str, int]
    revision: int
    settled_era: int = 0


@attrs.frozen
class ReplicaSet:
    """Members of a group whose logs together contain every acknowledged commit.

    Parameters
    ----------
    term : int
        Newest term whose primary was known when it was written.
    primary : str
        Primary of that term; empty if it was not known.
    holders : frozenset of MemberProcess
        The processes. One that has ended stays until the others are known to have
        received everything that was acknowledged with its help.
    size : int
        Number of members that the group has if none is missing; 0 if unknown.
    """

    term: int
    primary: str
    holders: frozenset[MemberProcess]
    size: int = 0


@attrs.frozen
class StoredReplicaSet:
    """A group's record in the store.

    Parameters
    ----------
    replica_set : ReplicaSet or None
        Its content; None if that is malformed.
    revision : int
        Revision of its last change, without the store's era; 0 if there is no record.
    """

    replica_set: ReplicaSet | None
    revision: int


@attrs.frozen
class StoredOrder:
    """A group's record of its last promotion order.

    Parameters
    ----------
    order : PromotionOrder or None
        The order; None if there is none.
    revision : int
        Revision of the record's last change, without the store's era; 0 if there is no
        record.
    """

    order: PromotionOrder | None
    revision: int


class ControlStore(Protocol):
    """The platform's durable store. Every call raises `StoreUnavailable`."""

    async def list_fleet(self) -> FleetListing:
        """Return nodes, duties and announced terms by a linearizable read."""

    async def register_node(self, node: NodeRecord) -> None:
        """Create or replace a node's record."""

    async def remove_node(self, name: str) -> None:
        """Delete a node's record."""

    async def read_catalog(self) -> Catalog | None:
        """Return the current configuration, or None if there is none yet."""

    async def list_members(self) -> tuple[Member, ...]:
        """Return the registered members whose entries are valid."""

    async def list_evacuations(self) -> frozenset[str]:
        """Return the availability zones that operators evacuate.

        Makes no call where the settings state no bound for evacuations.
        """

    async def claim_duty(
        self, name: str, duty: Duty, holder: str, claim: str
    ) -> Duty | None:
        """Replace a duty's record if it still equals `duty`; otherwise return None."""

    async def announce_term(self, group: str, term: int) -> None:
        """Announce that a promotion to a term may be ordered from now on.

        An announcement of a later term stays.
        """

    async def find_order(self, group: str) -> StoredOrder:
        """Return the last promotion order that was announced for a group."""

    async def record_order(
        self, group: str, order: PromotionOrder, revision: int
    ) -> StoredOrder | None:
        """Announce an order; return None if the record has another revision.

        Revision 0 stands for a group without a record. Listings contain the order's
        mark among the terms, under `name_order`.
        """

    async def list_replica_sets(self) -> Mapping[str, StoredReplicaSet]:
        """Return the records of all groups' replica sets, by group."""

    async def find_replica_set(self, group: str) -> ReplicaSet | None:
        """Return a group's replica set, or None if there is no record of it.

        A malformed record counts as unavailable.
        """

    async def write_replica_set(
        self, group: str, replica_set: ReplicaSet, revision: int
    ) -> StoredReplicaSet | None:
        """Replace a group's record if it still has a revision; otherwise return None.

        Revision 0 stands for a group without a record.
        """

    async def record_settled_era(self, era: int) -> None:
        """Record that the writes which an era's restore lost were made again."""

    async def find_secret(self) -> bytes | None:
        """Return the secret of the fleet's peers, or None if there is none."""

    async def create_secret(self, secret: bytes) -> bytes:
        """Store the peers' secret unless there is one; return the stored one."""


class PromotionResult(enum.Enum):
    """Result of a promotion order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """The member does not run, or the platform rejects the order."""
    UNKNOWN = "unknown"
    """No response; the order may take effect."""


PromoteMember = Callable[[str, str, str, int], Awaitable[PromotionResult]]
"""Orders a promotion. The arguments are the group, the member, the node that holds the
duty and its fencing token."""
