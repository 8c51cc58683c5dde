"""A node's access to one database group: connections to members, and evidence."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterator
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.group.status import Role
from radishtrack.pooler.catalog import (
    Address,
    GroupSettings,
    Member,
    MemberProcess,
    ReadClass,
    Route,
)
from radishtrack.pooler.connections.allowance import MIN_CONNECTIONS, ConnectionBudget
from radishtrack.pooler.evacuation.zones import EvacuatedZones
from radishtrack.pooler.evidence import EVIDENCE_VALID_MS, GroupEvidence
from radishtrack.pooler.member_pool import MemberPool, make_member_pool
from radishtrack.pooler.member_ranking import Candidate, rank_candidates
from radishtrack.pooler.placement.choice import Placement
from radishtrack.pooler.ports import OpenLink
from radishtrack.pooler.scheduling.primary_wait import PrimaryWait
from radishtrack.pooler.scheduling.retry_limit import RetryLimit
from radishtrack.pooler.scheduling.scheduling_log import SchedulingLog
from radishtrack.session.position import Position

MIN_EVEN_CONNECTIONS: Final = 2
"""A group is scarce if a node's even part of a member's connections is smaller. With a
single connection, one open transaction keeps all other work from the member."""
MAX_USEFUL_LAG_MS: Final = 250.0
"""Lag above which a replica is tried last for positions that it is not known to have
applied; the usual lag is some tens of milliseconds."""
RESERVED_FRACTION: Final = 0.25
"""Fraction of a member's connections that is kept free. Members keep the connections of
nodes that lost power for 3 s, and restarted nodes need connections in that time."""
LEAVING_USE_MS: Final = 6_000.0
"""Time for which a member is used after the last confirmation of a list in which it was
not leaving. It may get no new work 7 s after the store's entry has changed."""
STARTED_USE_MS: Final = 3_500.0
"""Time for which a member is used that was leaving in the first list that this node has
read, and may have been for long. A process counts as in touch with the store from 4 s
after its start."""
UNLISTED_USE_MS: Final = 4_500.0
"""Time for which a member is used after this node found it unlisted. Entries that
expired in an outage of the store return about 2 s after it."""
UNLISTED_EXPIRY_MS: Final = 5_000.0
"""Members that the store has not listed for this long count as gone: 2 s longer than
entries take to return after an outage, and 2 s less than the limit of 7 s."""
MAX_LEFT_MEMBERS: Final = 1_000
"""Number of members that have left or were replaced and are remembered."""
DEFAULT_CONNECTION_LIMIT: Final = 4
"""Connections for each member until the group's settings are known."""


@attrs.frozen
class ReadPlan:
    """Members that may run a read, in order, and the position that they must have.

    Parameters
    ----------
    members : tuple of str
        Names of the members.
    min_position : Position or None
        Position that the member's log must contain.
    """

    members: tuple[str, ...]
    min_position: Position | None


@attrs.frozen
class LeavingMember:
    """A member's process that has announced its stop.

    Parameters
    ----------
    started_ms : int
        Unix time of its start, by which a later process of the name is told apart.
    since_ms : float
        Latest time at which it is known not to have been leaving.
    has_left : bool
        Whether the store has stopped listing it, so that it has ended.
    """

    started_ms: int
    since_ms: float
    has_left: bool = False


@attrs.frozen
class Replacement:
    """When another process was found at the address of an earlier one.

    Parameters
    ----------
    at_ms : float
        Time in milliseconds.
    address : tuple of str and int
        Host and port of both.
    """

    at_ms: float
    address: Address


@attrs.define(eq=False)
class GroupAccess:
    """State of one group; construct it with `make_group_access`.

    Parameters
    ----------
    name : str
        Name of the group.
    zone : str
        Availability zone of this node.
    clock : Clock
        Time in milliseconds.
    open_link : callable
        Opens a connection to a member.
    evidence : GroupEvidence
        Evidence of the primary and of the current positions.
    """

    name: str
    zone: str
    clock: Clock
    open_link: OpenLink
    evidence: GroupEvidence
    node: str = ""
    """Name of this node."""
    evacuated: EvacuatedZones = attrs.field(factory=EvacuatedZones)
    """Availability zones whose members get no work; shared with the node's copy of the
    store."""
    settings: GroupSettings | None = None
    nodes: int = 1
    """Number of nodes that share the members' connections."""
    is_scarce: bool = False
    """Whether members' connections are too few for each node to have some of its own;
    see `MIN_EVEN_CONNECTIONS`."""
    placement: Placement = attrs.field(factory=Placement)
    """Chooses the members for reads if the group is scarce."""
    primary_wait: PrimaryWait = attrs.field(factory=PrimaryWait)
    """How long the primary has been absent; used in scarce groups."""
    retry_limit: RetryLimit = attrs.field(factory=RetryLimit)
    """Limit of this node's retries; used in scarce groups."""
    scheduling_log: SchedulingLog | None = None
    pools: dict[str, MemberPool] = attrs.field(factory=dict)
    unlisted_ms: dict[str, float] = attrs.field(factory=dict)
    """When a member disappeared from the store's list, by name."""
    last_listed_ms: dict[str, float] = attrs.field(factory=dict)
    """Latest confirmation of a list with each member that is not listed now."""
    leaving: dict[str, LeavingMember] = attrs.field(factory=dict)
    """Members that are leaving or have left, by name."""
    replaced: dict[MemberProcess, Replacement] = attrs.field(factory=dict)
    """Processes at whose address another one has answered."""
    corrections: set[asyncio.Task[object]] = attrs.field(factory=set)
    """Statements to members that missed a promotion, as long as they run."""
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set and replaced whenever a report arrives."""
    poll_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set and replaced when a report is needed before the next poll."""

    def configure(self, settings: GroupSettings, nodes: int) -> None:
        """Apply the group's settings and the number of nodes."""
        self.settings = settings
        self.nodes = max(1, nodes)
        self.is_scarce = self._usable_connections(settings) < (
            MIN_EVEN_CONNECTIONS * self.nodes
        )
        self.evidence.synchronous_replicas = settings.synchronous_replicas
        for pool in self.pools.values():
            pool.set_scarce(self.is_scarce)
            self._limit_connections(pool)

    def set_members(
        self,
        members: tuple[Member, ...],
        now_ms: float,
        listed_before_ms: float | None = None,
    ) -> None:
        """Apply the store's list of this group's members.

        A member that is no longer listed stays in use until `expire_members`. One that
        is leaving or has left stays so until its process is replaced: a store that
        comes back from a backup lists it as it was before.

        Parameters
        ----------
        members : tuple of Member
            The members.
        now_ms : float
            Current time in milliseconds.
        listed_before_ms : float or None
            Latest time at which the list before this one was confirmed; None if this is
            the first.
        """
        is_first = listed_before_ms is None
        if listed_before_ms is None:
            listed_before_ms = now_ms - LEAVING_USE_MS + STARTED_USE_MS
        for member in members:
            # Its entry may have expired and come back in an outage of the store.
            since_ms = self.last_listed_ms.pop(member.name, listed_before_ms)
            self._record_leaving(member, since_ms)
        listed = {
            member.name: member
            for member in members
            if not self._is_replaced(member)
            and not (member.name in self.leaving and self.leaving[member.name].has_left)
        }
        for member in listed.values():
            self.unlisted_ms.pop(member.name, None)
            is_leaving = member.name in self.leaving
            if member.name not in self.pools and not is_first:
                # An earlier process may have had its name, and be polled elsewhere.
                self.evidence.discard_member(member.name, now_ms)
            self._set_member(attrs.evolve(member, is_leaving=is_leaving))
        for name in self.pools.keys() - listed.keys():
            self.unlisted_ms.setdefault(name, now_ms)
            self.last_listed_ms.setdefault(name, listed_before_ms)
        for name in tuple(self.last_listed_ms)[:-MAX_LEFT_MEMBERS]:
            del self.last_listed_ms[name]
        self.evidence.set_members(frozenset(self.pools))

    def record_replaced(self, member: Member, reason: str) -> None:
        """Remove a member at whose address another process has answered.

        A process keeps its address, so it does not run any more, or never ran there.
        An entry of the store proves neither: any writer can name any address.

        Parameters
        ----------
        member : Member
            The member as it was connected to.
        reason : str
            The other process's answer.
        """
        pool = self.pools.get(member.name)
        if pool is None or pool.member.process != member.process:
            return
        if pool.confirmed_address not in (None, member.address):
            # Its entry names an address that is not its own.
            return
        self.replaced[member.process] = Replacement(self.clock.now_ms(), member.address)
        for process in tuple(self.replaced)[:-MAX_LEFT_MEMBERS]:
            del self.replaced[process]
        self.remove_member(member.name)
        log_event(
            Event.MEMBER_ENDED,
            group=self.name,
            member=member.name,
            started_ms=member.started_ms,
            reason=reason,
        )

    def _is_replaced(self, member: Member) -> bool:
        """Return whether another process runs at a listed member's address."""
        replacement = self.replaced.get(member.process)
        if replacement is None:
            return False
        if replacement.address == member.address:
            return True
        # It was listed at an address of another member by mistake.
        del self.replaced[member.process]
        return False

    def expire_members(self, before_ms: float) -> tuple[str, ...]:
        """Remove the members that have been unlisted since `before_ms`.

        One that still responds stays, since it may still receive commits.
        """
        expired = tuple(
            name
            for name, at in self.unlisted_ms.items()
            if at <= before_ms and not self._is_responding(name)
        )
        for name in expired:
            self.remove_member(name)
        return expired

    def _is_responding(self, name: str) -> bool:
        observation = self.evidence.observations.get(name)
        if observation is None or not self.pools[name].is_reachable:
            return False
        return self.clock.now_ms() - observation.requested_ms < EVIDENCE_VALID_MS

    def remove_member(self, name: str) -> None:
        """Close a member's connections and remove it."""
        self.unlisted_ms.pop(name, None)
        if name in self.leaving:
            self.leaving[name] = attrs.evolve(self.leaving[name], has_left=True)
        pool = self.pools.pop(name)
        pool.drop_all()
        self.evidence.set_members(frozenset(self.pools))
        if pool.member.process in self.replaced:
            self.evidence.record_end(name)

    @property
    def primary_pool(self) -> MemberPool | None:
        """Pool of the primary, by this node's evidence."""
        return self.pools.get(self.evidence.primary)

    def usable_primary(self) -> MemberPool | None:
        """Return the primary's pool if it may run statements of clients."""
        pool = self.primary_pool
        if pool is None or not pool.is_reachable:
            return None
        return pool if self.may_use(pool.member.name, for_primary=True) else None

    def may_use(self, name: str, *, for_primary: bool = False) -> bool:
        """Return whether a member may get new work, even if leaving or unlisted.

        Parameters
        ----------
        name : str
            The member.
        for_primary : bool
            Whether only the group's primary can run the work. In an evacuated zone it
            may do so until its successor is promoted, within the bound.
        """
        pool = self.pools.get(name)
        if pool is not None and self.evacuated.includes(pool.member.zone):
            if not for_primary or name != self.evidence.primary:
                return False
            # Commits that a planned promotion meets would have unknown outcomes.
            may_finish = self.evacuated.may_finish(
                pool.member.zone, self.clock.now_ms()
            )
            if not may_finish or not self.is_current():
                return False
        now_ms = self.clock.now_ms()
        leaving = self.leaving.get(name)
        if leaving is not None and now_ms - leaving.since_ms >= LEAVING_USE_MS:
            return False
        unlisted_ms = self.unlisted_ms.get(name, float("inf"))
        return now_ms - unlisted_ms < UNLISTED_USE_MS

    def may_send(self, member: Member, *, is_in_transaction: bool) -> bool:
        """Return whether the evacuation of a member's zone permits a request now.

        Parameters
        ----------
        member : Member
            The member; it may have been removed from the group.
        is_in_transaction : bool
            Whether the request belongs to a transaction that is open there.
        """
        zone = member.zone
        if not self.evacuated.includes(zone):
            return True
        if not is_in_transaction and member.name != self.evidence.primary:
            return False
        return self.evacuated.may_finish(zone, self.clock.now_ms())

    def may_send_commit(self) -> bool:
        """Return whether a commit may be sent to the primary.

        Without synchronous replicas, a replaced primary acknowledges commits alone, so
        the commit needs evidence of the term before it is sent. In any case it needs
        evidence afterwards; see `confirm_term`. Without the store that may not come as
        long as a member is down, nor during a promotion, whose fenced replicas don't
        receive it, nor soon at a node that has just started. A commit that was not sent
        is refused then, and has no unknown outcome.
        """
        evidence = self.evidence
        is_likely = evidence.synchronous_replicas > 0 and not (
            evidence.has_lost_store()
            or evidence.is_term_contested()
            or evidence.find_known_ms() == -math.inf
        )
        return is_likely or self.is_current()

    async def confirm_term(self, member: str, term: int, until_ms: float) -> bool:
        """Wait for evidence; return whether a member is still the primary of a term.

        A replaced primary can still acknowledge commits together with a replica that
        the store no longer lists and that the promotion has therefore not fenced.
        """

        def is_still_primary() -> bool:
            return self.evidence.primary == member and self.evidence.term == term

        return (
            await self.wait_for(
                lambda: self.is_current() or not is_still_primary(), until_ms
            )
            and is_still_primary()
        )

    def is_current(self) -> bool:
        """Return whether evidence proves that the primary is still current."""
        return self.evidence.is_current(self.clock.now_ms())

    def presumed_primary(self) -> str:
        """Return the primary by evidence, or else the one that the store lists."""
        if self.evidence.primary:
            return self.evidence.primary
        listed = (
            name
            for name, pool in self.pools.items()
            if pool.member.role is Role.PRIMARY
        )
        return next(listed, "")

    def plan_read(
        self, route: Route, session_position: Position | None, organisation: str
    ) -> ReadPlan | None:
        """Return where a read may run, or None if no evidence is recent enough."""
        now_ms = self.clock.now_ms()
        if route.read_class is ReadClass.STRICT:
            return self._plan_at_primary(now_ms)
        if self._is_superseded(session_position):
            # A later primary has every acknowledged commit, but may lack
            # unacknowledged commits of others that the position includes.
            return self._plan_at_primary(now_ms)
        min_position = self._find_min_position(route, session_position, now_ms)
        if min_position is None:
            return None
        candidates = self._candidates(organisation, min_position)
        if self.is_scarce:
            members = self.placement.order(
                candidates, self.pools, self.evidence, route.read_class, now_ms
            )
        else:
            members = rank_candidates(candidates)
        return ReadPlan(members, min_position)

    def plan_primary(
        self, route: Route, session_position: Position | None
    ) -> ReadPlan | None:
        """Return the plan for the start of a transaction that may write.

        Returns
        -------
        ReadPlan or None
            None if no evidence is recent enough.
        """
        now_ms = self.clock.now_ms()
        if self.is_current() or self._is_superseded(session_position):
            return self._plan_at_primary(now_ms)
        if route.read_class is ReadClass.STRICT or self.primary_pool is None:
            return None
        min_position = self._find_min_position(route, session_position, now_ms)
        return (
            ReadPlan((self.evidence.primary,), min_position)
            if min_position is not None
            else None
        )

    async def wait_for(self, is_met: Callable[[], bool], until_ms: float) -> bool:
        """Request polls until a condition holds; return False if time is up before."""
        while not is_met():
            remaining_ms = until_ms - self.clock.now_ms()
            if remaining_ms <= 0:
                return False
            self.request_poll()
            try:
                async with asyncio.timeout(remaining_ms / 1000):
                    await self.changed.wait()
            except TimeoutError:
                return is_met()
        return True

    async def await_plan(
        self, find_plan: Callable[[], ReadPlan | None], until_ms: float
    ) -> ReadPlan | None:
        """Return a plan as soon as there is evidence for one; None if time is up.

        Parameters
        ----------
        find_plan : callable
            Returns the plan by the current evidence, or None.
        until_ms : float
            Time until which to wait.
        """
        plan = find_plan()
        if plan is None and await self.wait_for(
            lambda: find_plan() is not None, until_ms
        ):
            plan = find_plan()
        return plan

    def withdraw_evidence(self) -> None:
        """Invalidate the evidence for a promotion that has fenced the members.

        A correction that is under way could lift these fences.
        """
        self.evidence.withdraw(self.clock.now_ms())
        for task in self.corrections:
            task.cancel()

    def request_poll(self) -> None:
        """Make the monitors poll now."""
        self.poll_requested.set()
        self.poll_requested = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait for a report."""
        self.changed.set()
        self.changed = asyncio.Event()
        for name, pool in self.pools.items():
            pool.sharing.adjust(pool, self.evidence.observations.get(name))

    def _plan_at_primary(self, now_ms: float) -> ReadPlan | None:
        """Return a plan at the primary; None without evidence that it is current."""
        pool = self.usable_primary()
        if not self.is_current():
            return None
        members = (pool.member.name,) if pool is not None else ()
        return ReadPlan(members, self.evidence.latest_position())

    def _find_min_position(
        self, route: Route, session_position: Position | None, now_ms: float
    ) -> Position | None:
        min_position = self.evidence.find_min_position(route.max_age_ms, now_ms)
        if min_position is None or session_position is None:
            return min_position
        return max(min_position, session_position)

    def _is_superseded(self, position: Position | None) -> bool:
        return position is not None and position.term < self.evidence.term

    def _candidates(
        self, organisation: str, min_position: Position
    ) -> Iterator[Candidate]:
        for name, pool in self.pools.items():
            report = self.evidence.find_report(name)
            is_usable = not pool.member.is_leaving and self.may_use(name)
            if not pool.is_reachable or not is_usable or report is None:
                continue
            is_behind = not self.evidence.has_applied(name, min_position)
            is_far = report.position < min_position or report.lag_ms > MAX_USEFUL_LAG_MS
            yield Candidate(
                member=name,
                is_local=pool.member.zone == self.zone,
                is_primary=name == self.evidence.primary,
                has_connection=pool.has_idle(organisation),
                in_flight=pool.in_flight,
                slots=pool.member.slots,
                service_ms=pool.service_ms,
                is_behind=is_behind,
                is_far_behind=is_behind and is_far,
            )

    def _set_member(self, member: Member) -> None:
        pool = self.pools.get(member.name)
        if pool is None:
            pool = make_member_pool(
                member, self.open_link, self.clock, self._connection_limit()
            )
            pool.set_scarce(self.is_scarce)
            pool.scheduling_log = self.scheduling_log
            # A crash ends the member's connections long before the next poll.
            pool.on_link_end = self.request_poll
            pool.on_wrong_member = self.record_replaced
            pool.capacity = self.placement.make_capacity(member.slots)
            self.pools[member.name] = pool
            self._limit_connections(pool)
            return
        if pool.member.started_ms != member.started_ms or (
            pool.member.address != member.address
        ):
            pool.drop_all()
            pool.refused_ms = None
            if pool.member.process != member.process:
                pool.confirmed_address = None
                self.evidence.record_restart(member.name, self.clock.now_ms())
            else:
                self.evidence.discard_member(member.name, self.clock.now_ms())
            pool.capacity = self.placement.make_capacity(member.slots)
        pool.member = member

    def _record_leaving(self, member: Member, since_ms: float) -> None:
        known = self.leaving.get(member.name)
        if known is not None and known.started_ms != member.started_ms:
            del self.leaving[member.name]
            known = None
        if member.is_leaving and known is None:
            self.leaving[member.name] = LeavingMember(member.started_ms, since_ms)
            left = [name for name in self.leaving if name not in self.pools]
            for name in left[:-MAX_LEFT_MEMBERS]:
                del self.leaving[name]

    def _limit_connections(self, pool: MemberPool) -> None:
        capacity = None
        if self.is_scarce and self.settings is not None:
            usable = self._usable_connections(self.settings)
            capacity = ConnectionBudget(
                self.settings.max_connections, usable, self.nodes
            )
        pool.sharing.configure(pool, self.node, capacity)
        if capacity is None:
            pool.set_limit(self._connection_limit())

    def _connection_limit(self) -> int:
        if self.settings is None:
            return DEFAULT_CONNECTION_LIMIT
        usable = self._usable_connections(self.settings)
        return max(MIN_CONNECTIONS, usable // self.nodes)

    @staticmethod
    def _usable_connections(settings: GroupSettings) -> int:
        return int(settings.max_connections * (1.0 - RESERVED_FRACTION))


def make_group_access(
    name: str, zone: str, clock: Clock, open_link: OpenLink
) -> GroupAccess:
    """Return a group without members or evidence."""
    return GroupAccess(name, zone, clock, open_link, GroupEvidence(name))
