"""What the pooler needs from the platform it runs on; adapters implement these."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

import attrs

from radishtrack.pooler.catalog import Catalog, Member, NodeRecord
from radishtrack.pooler.statements import MemberResponse, MemberStatement
from radishtrack.session.position import Position


class LinkLost(Exception):
    """Raised when a member connection ends, or does not answer in time.

    Parameters
    ----------
    reason : str
        What happened.
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
        What happened.
    is_dead : bool
        Whether the host answered that nothing listens there.
    is_wrong_member : bool
        Whether another member or service has the address.
    is_full : bool
        Whether the member accepts no more connections.
    """

    def __init__(
        self,
        reason: str,
        *,
        is_dead: bool = False,
        is_wrong_member: bool = False,
        is_full: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_dead = is_dead
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
        """Run a statement and return its complete answer.

        Parameters
        ----------
        statement : MemberStatement
            The statement.
        min_position : Position or None
            For reads and `Begin`: the member refuses if its log lacks this position.
        timeout_ms : float
            Longest wait for the answer in milliseconds.

        Raises
        ------
        LinkLost
            If the connection ended, answered out of order, or did not answer in time;
            the link is closed then.
        """

    def watch_end(self, on_end: Callable[[], None]) -> None:
        """Call back once if the connection ends without `close`."""

    def close(self) -> None:
        """Close the connection; the member rolls back."""


OpenLink = Callable[[Member, str, float], Awaitable[MemberLink]]
"""Connects to a member for an organisation within a number of milliseconds.

Raises `LinkRefused`."""


class StoreUnavailable(Exception):
    """Raised when the store gave no usable answer.

    Parameters
    ----------
    step : str
        What was asked.
    reason : str
        What happened.
    is_effect_unknown : bool
        Whether a write may have taken effect, or may still do so.
    """

    def __init__(self, step: str, reason: str, *, is_effect_unknown: bool) -> None:
        super().__init__(f"{step}: {reason}")
        self.step = step
        self.reason = reason
        self.is_effect_unknown = is_effect_unknown


@attrs.frozen
class Duty:
    """The record of which node holds a duty that only one may have at a time.

    Parameters
    ----------
    holder : str
        Node that holds the duty; empty if nobody ever did.
    revision : int
        Of the record's last change; unique, and grows with each claim. 0 if absent.
    claim : str
        Identifies the claim, so that a lost answer can be resolved.
    """

    holder: str
    revision: int
    claim: str


@attrs.frozen
class FleetListing:
    """The system's own records, with the store's revision at which they were read.

    Parameters
    ----------
    nodes : tuple of NodeRecord
        All registered nodes.
    duties : mapping
        Who holds which duty; names without a record are absent.
    terms : mapping
        The newest term of which a promotion was announced, by group.
    revision : int
        The store's revision; grows with each change of any object.
    """

    nodes: tuple[NodeRecord, ...]
    duties: Mapping[str, Duty]
    terms: Mapping[str, int]
    revision: int


class ControlStore(Protocol):
    """The platform's durable store. Every call raises `StoreUnavailable`."""

    async def list_fleet(self) -> FleetListing:
        """Return the registered nodes and the duties; the answer is linearizable."""

    async def register_node(self, node: NodeRecord) -> None:
        """Create or replace a node's record."""

    async def remove_node(self, name: str) -> None:
        """Delete a node's record."""

    async def read_catalog(self) -> Catalog | None:
        """Return the present configuration; None if there is none yet."""

    async def list_members(self) -> tuple[Member, ...]:
        """Return the registered members whose entries are valid."""

    async def claim_duty(
        self, name: str, duty: Duty, holder: str, claim: str
    ) -> Duty | None:
        """Replace the record if it is still `duty`; None if it is not."""

    async def announce_term(self, group: str, term: int) -> None:
        """Tell all nodes that a promotion to a term may be ordered from now on."""

    async def read_secret(self) -> bytes:
        """Return the secret of the fleet's peers, creating it if there is none."""


class PromotionResult(enum.Enum):
    """What became of a promotion order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """The member does not run, or the platform rejects the order."""
    UNKNOWN = "unknown"
    """No answer; the order may take effect."""


PromoteMember = Callable[[str, str, str, int], Awaitable[PromotionResult]]
"""Orders a promotion: takes group, member, name of the node that holds the duty, and
its fencing token."""
