"""Records of the operators' configuration, the members and the nodes."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Mapping

import attrs

from radishtrack.group.status import MemberStatus, Role

Address = tuple[str, int]
"""Host and port."""


class ReadClass(enum.Enum):
    """How current the data of a read must be."""

    STRICT = "strict"
    """Contains every acknowledged commit."""
    SESSION = "session"
    """Contains the session's own commits, and all others older than a stated age."""
    AGED = "aged"
    """Contains all commits older than a stated age."""


@attrs.frozen
class Route:
    """Maps a database name to a group, with the rules for its statements.

    Parameters
    ----------
    database : str
        Name that clients connect to.
    group : str
        Database group that serves it.
    read_class : ReadClass
        How current reads must be.
    max_age_ms : float
        For `SESSION` and `AGED`: age in milliseconds from which commits must be
        visible.
    statement_timeout_ms : float
        Time limit of one statement.
    objective_ms : float
        Latency objective of a whole operation.
    priority : int
        0 is the most urgent.
    is_open : bool
        Whether clients need no key.
    """

    database: str
    group: str
    read_class: ReadClass
    max_age_ms: float
    statement_timeout_ms: float
    objective_ms: float
    priority: int
    is_open: bool


@attrs.frozen
class Organisation:
    """A customer with keys and a rate.

    Parameters
    ----------
    name : str
        Name that is sent to members.
    rate_per_s : float
        Operations per second, over all nodes.
    burst : float
        Operations that may arrive at once beyond the rate.
    """

    name: str
    rate_per_s: float
    burst: float


@attrs.frozen
class GroupSettings:
    """Limits of a database group.

    Parameters
    ----------
    name : str
        Name of the group.
    max_connections : int
        Connections that one member accepts from all nodes together.
    synchronous_replicas : int
        Number of replicas that must receive a commit before it is acknowledged.
    """

    name: str
    max_connections: int
    synchronous_replicas: int


@attrs.frozen
class Catalog:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Grows with each change.
    routes : mapping
        Routes by database name.
    organisations : mapping
        Organisations by name.
    key_owners : mapping
        Organisation by digest of a key.
    groups : mapping
        Group settings by name.
    idle_transaction_ms : float
        Idle time in milliseconds after which a transaction may be rolled back.
    """

    version: int
    routes: Mapping[str, Route]
    organisations: Mapping[str, Organisation]
    key_owners: Mapping[bytes, Organisation]
    groups: Mapping[str, GroupSettings]
    idle_transaction_ms: float


@attrs.frozen(order=True)
class MemberProcess:
    """One process of a member; a later one of the same name may lack its log.

    Parameters
    ----------
    name : str
        Name of the member.
    started_ms : int
        Unix time of the process's start.
    """

    name: str
    started_ms: int


@attrs.frozen
class Member:
    """A member of a database group, as listed by the store.

    Parameters
    ----------
    name : str
        Unique identifier; addresses can be reused by other members.
    group : str
        Database group.
    host, port : str, int
        Address.
    zone : str
        Availability zone.
    slots : int
        Statements that it runs at once.
    is_leaving : bool
        Whether it is about to stop.
    role : Role
        Role that its entry states.
    started_ms : int
        Unix time of its start; differs after a restart under the same name.
    """

    name: str
    group: str
    host: str
    port: int
    zone: str
    slots: int
    is_leaving: bool
    role: Role
    started_ms: int

    @property
    def process(self) -> MemberProcess:
        """The member's present process."""
        return MemberProcess(self.name, self.started_ms)

    @property
    def address(self) -> Address:
        """Host and port."""
        return (self.host, self.port)


@attrs.frozen
class NodeRecord:
    """A node of the fleet, as it registered itself in the store.

    Parameters
    ----------
    name : str
        Name of the node.
    host, port : str, int
        Address for peers.
    zone : str
        Availability zone.
    started_ms : int
        Unix time of the start of the process that registered it. Records that differ
        in it alone are equal, so a restart at the same address changes no record: each
        change is read by all zones.
    cores : float
        Processor cores that the node may use, less if its link can't keep them busy; 0
        if unknown.
    """

    name: str
    host: str
    port: int
    zone: str
    started_ms: int = attrs.field(eq=False)
    cores: float = 0.0


@attrs.frozen
class MemberReport(MemberStatus):
    """A member's own report of its state; its position is the end of what it received.

    Parameters
    ----------
    lag_ms : float
        Delay in milliseconds with which it applies its log.
    busy : int or None
        Statements that run or wait at the member, from all nodes; None if unknown.
    connections : int or None
        Open connections of all nodes; None if unknown.
    """

    lag_ms: float
    busy: int | None = None
    connections: int | None = None


def digest_key(key: str) -> bytes:
    """Return the digest by which a key is looked up; keys themselves are not stored."""
    return hashlib.sha256(key.encode()).digest()


EMPTY_CATALOG = Catalog(0, {}, {}, {}, {}, 3_000.0)
