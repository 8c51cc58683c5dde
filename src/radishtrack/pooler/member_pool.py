"""The connections of one node to one member, shared by all organisations."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Final

import attrs

from radishtrack.admission.fair_queue import make_fair_queue
from radishtrack.admission.gate import Gate
from radishtrack.admission.permit_queue import PermitQueue
from radishtrack.clock import Clock
from radishtrack.errors import RequestError
from radishtrack.pooler.catalog import Address, Member
from radishtrack.pooler.connections.sharing import ConnectionSharing
from radishtrack.pooler.placement.capacity import MemberCapacity, make_member_capacity
from radishtrack.pooler.ports import LinkLost, LinkRefused, MemberLink, OpenLink
from radishtrack.pooler.scheduling.scheduling_log import SchedulingLog
from radishtrack.pooler.scheduling.work import Work
from radishtrack.pooler.scheduling.work_queue import WorkQueue, make_work_queue
from radishtrack.pooler.statements import (
    Discard,
    MemberResponse,
    MemberStatement,
    Prepare,
    SetValue,
    TransactionState,
)
from radishtrack.session.position import Position

CONNECT_TIMEOUT_MS: Final = 400.0
"""Connecting takes about 12 ms and two round trips; a member that does not respond in
this time is treated as unreachable."""
PREPARATION_TIMEOUT_MS: Final = 400.0
"""Time limit for setting a value or preparing, which need no slot of the member."""
SERVICE_SMOOTHING: Final = 0.1
"""Weight of the newest statement in the moving average of the service time."""
REPLACED_REASON: Final = "the member was replaced while it was connected to"


def _do_nothing() -> None:
    return


def _ignore_wrong_member(_member: Member, _reason: str) -> None:
    return


@attrs.define(eq=False)
class PooledLink:
    """A connection with the state that the member keeps for it."""

    link: MemberLink
    organisation: str
    values: dict[str, str] = attrs.field(factory=dict)
    prepared: set[str] = attrs.field(factory=set)
    is_in_transaction: bool = False
    idle_since_ms: float = 0.0
    is_running: bool = False
    """Whether the response to a statement is outstanding."""

    async def run(
        self,
        statement: MemberStatement,
        *,
        min_position: Position | None,
        timeout_ms: float,
    ) -> MemberResponse:
        """Run a statement and record whether a transaction is open."""
        self.is_running = True
        try:
            response = await self.link.run(
                statement, min_position=min_position, timeout_ms=timeout_ms
            )
        finally:
            self.is_running = False
        self.is_in_transaction = response.state is not TransactionState.IDLE
        return response

    async def apply_values(self, client_values: dict[str, str]) -> None:
        """Set exactly the session values of a client.

        Raises
        ------
        LinkLost
            If the member refuses one of them; the connection is closed then.
        """
        if not self.values.keys() <= client_values.keys():
            await self._require(Discard())
            self.values.clear()
            self.prepared.clear()
        for name, value in client_values.items():
            if self.values.get(name) != value:
                await self._require(SetValue(name, value))
                self.values[name] = value

    async def ensure_prepared(self, prepare: Prepare) -> None:
        """Prepare a statement unless the connection already has it."""
        if prepare.name not in self.prepared:
            await self._require(prepare)
            self.prepared.add(prepare.name)

    async def _require(self, statement: MemberStatement) -> None:
        response = await self.link.run(
            statement, min_position=None, timeout_ms=PREPARATION_TIMEOUT_MS
        )
        if response.refusal is not None:
            self.link.close()
            raise LinkLost(f"preparation refused: {response.detail}", is_sent=False)


@attrs.define(eq=False)
class MemberPool:
    """Connections to one member; construct it with `make_member_pool`.

    Parameters
    ----------
    member : Member
        The member.
    open_link : callable
        Opens a connection.
    clock : Clock
        Time in milliseconds.
    gate : Gate
        Admits requests up to this node's number of connections.
    """

    member: Member
    open_link: OpenLink
    clock: Clock
    gate: Gate[PermitQueue]
    idle: list[PooledLink] = attrs.field(factory=list)
    busy: set[PooledLink] = attrs.field(factory=set)
    service_ms: float = 10.0
    last_response_ms: float = 0.0
    """When the member last responded or accepted a connection."""
    is_reachable: bool = True
    refused_ms: float | None = None
    """Since when the member's address refuses connections or has another member; None
    if it does not. Its process may run behind a cut."""
    polled_ms: float = 0.0
    """When this node last polled the member."""
    failures: int = 0
    """Consecutive failed polls."""
    on_link_end: Callable[[], None] = _do_nothing
    """Called when the member ends a connection."""
    on_wrong_member: Callable[[Member, str], None] = _ignore_wrong_member
    """Called if another member answers at this one's address, with its answer."""
    confirmed_address: Address | None = None
    """Address at which the process has accepted a connection under its name."""
    opening: int = 0
    """Connections that are being opened."""
    sharing: ConnectionSharing = attrs.field(factory=ConnectionSharing)
    """Changes the limit with demand if the group is scarce."""
    capacity: MemberCapacity = attrs.field(
        default=attrs.Factory(
            lambda pool: make_member_capacity(pool.member.slots), takes_self=True
        )
    )
    """What this node has learned about the member in a scarce group."""
    scheduling_log: SchedulingLog | None = None

    @asynccontextmanager
    async def lease(
        self,
        organisation: str,
        values: dict[str, str],
        deadline_ms: float,
        work: Work | None = None,
    ) -> AsyncIterator[PooledLink]:
        """Lease a connection of an organisation.

        Parameters
        ----------
        organisation : str
            Organisation name that is sent to the member.
        values : dict
            Session values; an idle connection that has them is preferred.
        deadline_ms : float
            When the wait for a connection ends.
        work : Work or None
            What the connection is needed for; None for the node's own statements.

        Raises
        ------
        RequestError
            If no connection is free in time; nothing has run.
        LinkRefused
            If a new connection was needed and the member refused it.
        """
        self.sharing.request(self, organisation)
        async with self._lease(organisation, values, deadline_ms, work) as pooled:
            yield pooled

    @asynccontextmanager
    async def _lease(
        self,
        organisation: str,
        values: dict[str, str],
        deadline_ms: float,
        work: Work | None = None,
    ) -> AsyncIterator[PooledLink]:
        async with self._permit(organisation, deadline_ms, work):
            pooled = self._find_idle(organisation, values)
            if pooled is None:
                pooled = await self._open(organisation)
            self.busy.add(pooled)
            try:
                yield pooled
            except BaseException:
                # A response may be outstanding; the next user must not receive it.
                pooled.link.close()
                raise
            finally:
                self._return_link(pooled)

    @asynccontextmanager
    async def _permit(
        self, organisation: str, deadline_ms: float, work: Work | None
    ) -> AsyncIterator[None]:
        """Hold a permit of the gate, and record the wait in a scarce group."""
        log = self.scheduling_log if isinstance(self.gate.queue, WorkQueue) else None
        offered_ms = self.clock.now_ms()
        is_granted = False
        try:
            async with self.gate.connection(organisation, deadline_ms, work):
                is_granted = True
                if log is not None and work is not None:
                    log.observe_wait(work, self.clock.now_ms() - offered_ms)
                yield
        except RequestError as error:
            if log is not None and work is not None and not is_granted:
                log.observe_refusal(self.member.name, work, error.failure.message)
            raise

    @asynccontextmanager
    async def lease_any(
        self, organisation: str, deadline_ms: float
    ) -> AsyncIterator[PooledLink]:
        """Lease a connection of any organisation, for the node's own statements.

        Parameters
        ----------
        organisation : str
            Organisation to open a connection for if none is idle.
        deadline_ms : float
            When the wait for a connection ends.
        """
        self.sharing.request_poll(self)
        idle = next((pooled for pooled in reversed(self.idle)), None)
        link_organisation = idle.organisation if idle is not None else organisation
        async with self._lease(link_organisation, {}, deadline_ms) as pooled:
            yield pooled

    @property
    def in_flight(self) -> int:
        """Number of connections in use and of requests that wait for one."""
        return len(self.busy) + self.gate.queue.waiting

    def has_idle(self, organisation: str) -> bool:
        """Return whether an organisation has an idle connection."""
        return any(
            pooled.organisation == organisation and not pooled.link.is_closed
            for pooled in self.idle
        )

    def record_response(self, started_ms: float, now_ms: float) -> None:
        """Record a response and the duration of its statement."""
        self.last_response_ms = now_ms
        self.service_ms += SERVICE_SMOOTHING * (now_ms - started_ms - self.service_ms)

    def set_limit(self, connections: int) -> None:
        """Set how many connections this node may have."""
        if connections != self.gate.queue.connections:
            self.gate.set_connections(connections)
            while self.idle and self.open_count > connections:
                self._close_one_idle()

    def set_scarce(self, is_scarce: bool) -> None:
        """Choose the order of waiting work; see `GroupAccess.is_scarce`."""
        if isinstance(self.gate.queue, WorkQueue) != is_scarce:
            connections = self.gate.queue.connections
            self.gate.replace_queue(
                make_work_queue(connections)
                if is_scarce
                else make_fair_queue(connections)
            )

    def drop_idle(self) -> None:
        """Close the idle connections."""
        for pooled in self.idle:
            pooled.link.close()
        self.idle.clear()

    def drop_all(self) -> None:
        """Close all connections; statements on them end with `LinkLost`."""
        self.drop_idle()
        for pooled in self.busy:
            pooled.link.close()

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self.idle) + len(self.busy) + self.opening

    async def _open(self, organisation: str) -> PooledLink:
        is_at_limit = self.open_count >= self.gate.queue.connections
        if is_at_limit and self.idle and not self.sharing.keep_idle(self):
            self._close_one_idle()
        self.opening += 1
        member = self.member
        try:
            link = await self.open_link(member, organisation, CONNECT_TIMEOUT_MS)
        except LinkRefused as error:
            if not self._is_same_process(member):
                # It says nothing about the later process.
                raise LinkRefused(REPLACED_REASON) from error
            if error.is_full:
                self.sharing.record_refusal(self)
            if error.is_wrong_member:
                self.on_wrong_member(member, error.reason)
            raise
        finally:
            self.opening -= 1
        if not self._is_same_process(member):
            link.close()
            raise LinkRefused(REPLACED_REASON)
        link.watch_end(self.on_link_end)
        self.confirmed_address = member.address
        self.last_response_ms = self.clock.now_ms()
        return PooledLink(link, organisation)

    def _is_same_process(self, member: Member) -> bool:
        present = self.member
        return (present.process, present.address) == (member.process, member.address)

    def _close_one_idle(self) -> None:
        self.idle.pop(self.sharing.choose_idle(self)).link.close()

    def _find_idle(
        self, organisation: str, values: dict[str, str]
    ) -> PooledLink | None:
        self.idle = [pooled for pooled in self.idle if not pooled.link.is_closed]
        own = [pooled for pooled in self.idle if pooled.organisation == organisation]
        if not own:
            return None
        with_same_values = (
            pooled for pooled in reversed(own) if pooled.values == values
        )
        reusable = next(with_same_values, own[-1])
        self.idle.remove(reusable)
        return reusable

    def _return_link(self, pooled: PooledLink) -> None:
        self.busy.discard(pooled)
        if pooled.is_in_transaction:
            pooled.link.close()
        if pooled.link.is_closed:
            return
        if self.open_count >= self.gate.queue.connections:
            pooled.link.close()
            return
        pooled.idle_since_ms = self.clock.now_ms()
        self.idle.append(pooled)


def make_member_pool(
    member: Member, open_link: OpenLink, clock: Clock, connections: int
) -> MemberPool:
    """Return a pool without connections."""
    gate = Gate[PermitQueue](clock, make_fair_queue(connections))
    pool = MemberPool(member, open_link, clock, gate)
    pool.last_response_ms = clock.now_ms()
    return pool
