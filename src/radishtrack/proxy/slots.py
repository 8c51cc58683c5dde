"""Opens and closes databases when slots or group records change."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

import attrs

from radishtrack.admission.gate import make_gate
from radishtrack.admission.retry_budget import make_retry_budget
from radishtrack.backend.admin_connection import make_connect
from radishtrack.backend.connection import open_connection
from radishtrack.backend.database import DatabaseBackend, ObserveWait
from radishtrack.backend.monitor import Monitor, make_monitor
from radishtrack.backend.pool import make_pool
from radishtrack.clock import Clock
from radishtrack.config.document import Document
from radishtrack.config.model import Database
from radishtrack.events import Event, log_event
from radishtrack.group.record import GroupRecord, keep_term_members
from radishtrack.membership.nodes import Node
from radishtrack.membership.placement import Placement
from radishtrack.proxy.holder import Holder
from radishtrack.proxy.promoter import Promoter
from radishtrack.settings import DatabaseLogin

MakePromoter = Callable[[Database, GroupRecord, Monitor], Promoter]


@attrs.define
class Slots:
    """Keeps a holder's open databases equal to the slots placed on its node.

    Parameters
    ----------
    node : Node
        This node.
    clock : Clock
        Clock of the databases' components.
    login : DatabaseLogin
        The proxy's own login at the members.
    holder : Holder
        The holder whose databases are opened and closed.
    placement : Placement
        Determines the nodes of each slot.
    observe_wait : callable
        Takes the organisation and its wait for a permit, in milliseconds.
    records : dict of str to GroupRecord
        The platform's group records, by database.
    """

    node: Node
    clock: Clock
    login: DatabaseLogin
    holder: Holder
    placement: Placement
    observe_wait: ObserveWait
    make_promoter: MakePromoter | None = None
    """Set once the node's components exist; without it this node promotes no member."""
    promoters: dict[str, Promoter] = attrs.field(factory=dict)
    records: dict[str, GroupRecord] = attrs.field(factory=dict)
    configured: dict[str, Database] = attrs.field(factory=dict)
    """Configuration of the databases that this node holds, by name."""
    leaving_members: dict[str, frozenset[str]] = attrs.field(factory=dict)
    """Members that the platform marks as leaving, by database."""
    closing: set[asyncio.Task[None]] = attrs.field(factory=set)

    def update_record(self, record: GroupRecord) -> None:
        """Set a database's group record; only a newer version replaces it.

        A platform that was restored from a backup may list an earlier term with a newer
        version. The known term stays, and a promoter writes it again.
        """
        name = record.group.database
        current = self.records.get(name)
        promoter = self.promoters.get(name)
        if current is not None:
            if record.group.version <= current.group.version:
                return
            if record.group.term < current.group.term:
                if promoter is not None:
                    promoter.restore_record(record.group.version)
                return
            record = keep_term_members(record, current)
        self.records[name] = record
        backend = self.holder.databases.get(name)
        if backend is not None:
            backend.monitor.update_group(record.group, record.endpoints)
            backend.pool.replace_endpoints(record.endpoints)
        if promoter is not None:
            promoter.update_record(record)

    def is_record_outdated(self, database: str) -> bool:
        """Return whether a member is in a later term than the known record."""
        backend = self.holder.databases.get(database)
        return backend is not None and backend.has_later_term(backend.group)

    def list_voters(self, database: str) -> tuple[str, ...]:
        """Return the voters of a database; empty if this node does not hold it."""
        configured = self.configured.get(database)
        if configured is None:
            return ()
        return self.placement.rank_voters(
            configured.name, configured.region, configured.slots
        )

    def set_leaving_members(self, database: str, members: frozenset[str]) -> None:
        """Set the members that the platform marks as leaving."""
        self.leaving_members[database] = members

    def reconcile(self, document: Document, *, is_leaving: bool = False) -> None:
        """Open the databases that this node holds and close all others.

        Parameters
        ----------
        document : Document
            The configuration in force.
        is_leaving : bool
            Whether the node drains and thus holds none.
        """
        held = {
            database.name: database
            for database in document.databases.values()
            if not is_leaving and self._is_held(database)
        }
        self.configured = held
        for name in self.holder.databases.keys() - held.keys():
            self._close(name)
        weights = {
            organisation.name: organisation.rate
            for organisation in document.organisations.values()
        }
        for database in held.values():
            backend = self.holder.databases.get(database.name)
            record = self.records.get(database.name)
            if backend is None and record is not None:
                backend = self._open(database, record, document)
            if backend is not None:
                backend.pool.limit = database.connections_per_slot
                backend.gate.set_connections(database.connections_per_slot)
                backend.gate.set_weights(weights)
                backend.list_leaving_members = partial(
                    self._list_leaving_members, database
                )

    async def close(self) -> None:
        """Close all databases."""
        for name in tuple(self.holder.databases):
            self._close(name)
        if self.closing:
            await asyncio.wait(self.closing)

    def _list_leaving_members(self, database: Database) -> frozenset[str]:
        configured = (member.name for member in database.members if member.leaving)
        return frozenset(configured) | self.leaving_members.get(
            database.name, frozenset()
        )

    def _is_held(self, database: Database) -> bool:
        if database.region != self.node.region:
            return False
        nodes = self.placement.place_slots(
            database.name, database.region, database.slots
        )
        return self.node.id in nodes

    def _open(
        self, database: Database, record: GroupRecord, document: Document
    ) -> DatabaseBackend:
        connect = partial(
            open_connection, user=self.login.user, password=self.login.password
        )
        monitor = make_monitor(
            record.group,
            record.endpoints,
            self.clock,
            make_connect(self.login.password),
        )
        monitor.start()
        limit = database.connections_per_slot
        backend = DatabaseBackend(
            database.name,
            self.node.zone,
            monitor,
            make_pool(record.endpoints, limit, connect, self.clock),
            make_gate(self.clock, limit),
            make_retry_budget(),
            self.clock,
            partial(self._list_leaving_members, database),
            self.observe_wait,
        )
        self.holder.databases[database.name] = backend
        if self.make_promoter is not None:
            promoter = self.make_promoter(database, record, monitor)
            promoter.start()
            if promoter.loop_task is not None:
                promoter.loop_task.add_done_callback(_log_failure)
            self.promoters[database.name] = promoter
        return backend

    def _close(self, name: str) -> None:
        backend = self.holder.databases.pop(name)
        promoter = self.promoters.pop(name, None)
        task = asyncio.create_task(self._shut_down(backend, promoter))
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    async def _shut_down(
        self, backend: DatabaseBackend, promoter: Promoter | None
    ) -> None:
        if promoter is not None:
            await promoter.stop()
        # Running requests and transactions need monitor and pool until they end.
        while self._is_used(backend):
            await asyncio.sleep(0.1)
        await backend.monitor.stop()
        backend.pool.close()

    def _is_used(self, backend: DatabaseBackend) -> bool:
        return backend.active_requests > 0 or any(
            transaction.backend is backend
            for transaction in self.holder.transactions.values()
        )


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log_event(Event.TASK_FAILED, error=repr(task.exception()))
