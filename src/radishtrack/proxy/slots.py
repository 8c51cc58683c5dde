"""Opens and closes databases as slots and group records change."""

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
from radishtrack.group.record import GroupRecord
from radishtrack.membership.nodes import Node
from radishtrack.membership.placement import Placement
from radishtrack.proxy.holder import Holder
from radishtrack.proxy.promoter import Promoter
from radishtrack.settings import DatabaseLogin

MakePromoter = Callable[[Database, GroupRecord, Monitor], Promoter]


@attrs.define
class Slots:
    """Keeps a holder's databases equal to the slots that placement gives it.

    Parameters
    ----------
    node : Node
        This node.
    clock : Clock
        Time for the databases' parts.
    login : DatabaseLogin
        The proxy's own login at the members.
    holder : Holder
        Whose databases are opened and closed.
    placement : Placement
        Who holds which slots.
    observe_wait : callable
        Takes organisation and the wait for a connection, in milliseconds.
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
    """Set once the node's parts exist; without it nothing is promoted from here."""
    promoters: dict[str, Promoter] = attrs.field(factory=dict)
    records: dict[str, GroupRecord] = attrs.field(factory=dict)
    known: dict[str, Database] = attrs.field(factory=dict)
    """The databases held here, as configured."""
    marked: dict[str, frozenset[str]] = attrs.field(factory=dict)
    """Members that the platform marks as leaving, by database."""
    closing: set[asyncio.Task[None]] = attrs.field(factory=set)

    def update_record(self, record: GroupRecord) -> None:
        """Take a group record; an older version is ignored."""
        name = record.group.database
        known = self.records.get(name)
        if known is not None and record.group.version <= known.group.version:
            return
        self.records[name] = record
        backend = self.holder.databases.get(name)
        if backend is not None:
            backend.monitor.update_group(record.group, record.endpoints)
            backend.pool.replace_endpoints(record.endpoints)
        promoter = self.promoters.get(name)
        if promoter is not None:
            promoter.update_record(record)

    def is_behind(self, database: str) -> bool:
        """Tell whether a member belongs to a later term than the known record."""
        backend = self.holder.databases.get(database)
        return backend is not None and backend.has_later_term(backend.group)

    def list_voters(self, database: str) -> tuple[str, ...]:
        """Return the voters of a database that is held here."""
        known = self.known.get(database)
        if known is None:
            return ()
        return self.placement.rank_voters(known.name, known.region, known.slots)

    def mark_leaving(self, database: str, members: frozenset[str]) -> None:
        """Take the platform's word on members that are leaving."""
        self.marked[database] = members

    def reconcile(self, document: Document, *, is_leaving: bool = False) -> None:
        """Open databases whose slot is held here, and close the others."""
        wanted = {
            database.name: database
            for database in document.databases.values()
            if not is_leaving and self._is_held(database)
        }
        self.known = wanted
        for name in self.holder.databases.keys() - wanted.keys():
            self._close(name)
        weights = {part.name: part.rate for part in document.organisations.values()}
        for database in wanted.values():
            backend = self.holder.databases.get(database.name)
            record = self.records.get(database.name)
            if backend is None and record is not None:
                backend = self._open(database, record, document)
            if backend is not None:
                backend.pool.limit = database.connections_per_slot
                backend.gate.set_connections(database.connections_per_slot)
                backend.gate.set_weights(weights)
                backend.leaving = partial(self._list_leaving, database)

    async def close(self) -> None:
        """Close all databases."""
        for name in tuple(self.holder.databases):
            self._close(name)
        if self.closing:
            await asyncio.wait(self.closing)

    def _list_leaving(self, database: Database) -> frozenset[str]:
        configured = (member.name for member in database.members if member.leaving)
        return frozenset(configured) | self.marked.get(database.name, frozenset())

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
            partial(self._list_leaving, database),
            self.observe_wait,
        )
        self.holder.databases[database.name] = backend
        if self.make_promoter is not None:
            promoter = self.make_promoter(database, record, monitor)
            promoter.start()
            if promoter.loop_task is not None:
                promoter.loop_task.add_done_callback(_report_end)
            self.promoters[database.name] = promoter
        return backend

    def _close(self, name: str) -> None:
        backend = self.holder.databases.pop(name)
        promoter = self.promoters.pop(name, None)
        task = asyncio.create_task(self._finish(backend, promoter))
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    async def _finish(
        self, backend: DatabaseBackend, promoter: Promoter | None
    ) -> None:
        if promoter is not None:
            await promoter.stop()
        # Running requests and transactions keep the database until they end.
        while self._is_used(backend):
            await asyncio.sleep(0.1)
        await backend.monitor.stop()
        backend.pool.close()

    def _is_used(self, backend: DatabaseBackend) -> bool:
        return backend.active > 0 or any(
            transaction.backend is backend
            for transaction in self.holder.transactions.values()
        )


def _report_end(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log_event(Event.TASK_FAILED, error=repr(task.exception()))
