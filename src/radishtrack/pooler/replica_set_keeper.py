"""Keeps the record of each group's replica set in the store up to date."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Mapping
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.pooler.catalog import MemberProcess
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.ports import ReplicaSet, StoredReplicaSet, StoreUnavailable
from radishtrack.pooler.replica_set import Departure, ReplicaSetTracker
from radishtrack.pooler.store_copy import StoreCopy

CHECK_INTERVAL_MS: Final = 250.0
"""Pause between checks of all groups."""
STALE_COPY_MS: Final = 3_000.0
"""Age from which on the copy says nothing about members that are not in it."""
MAX_WRITES: Final = 5
"""Records written in one check. The first start of a fleet writes one for each group;
later ones are needed only when members or the primary have changed."""

NO_RECORD: Final = StoredReplicaSet(None, 0)


@attrs.define(eq=False)
class ReplicaSetKeeper:
    """One node's part in keeping the records; `run` never returns.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    store_copy : StoreCopy
        Copy of the store.
    groups : mapping
        Access to the groups by name.
    is_coordinator : callable
        Returns whether this node writes for the fleet.
    """

    clock: Clock
    store_copy: StoreCopy
    groups: Mapping[str, GroupAccess]
    is_coordinator: Callable[[], bool]
    records: dict[str, StoredReplicaSet] | None = None
    """The records in the store; None if they have to be read."""
    read_ms: float = 0.0
    """When they were last read."""
    read_era: int = 0
    lost: set[str] = attrs.field(factory=set)
    """Groups whose records a restored store has in an earlier state."""
    trackers: dict[str, ReplicaSetTracker] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Check all groups periodically."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            try:
                await self.update()
            except StoreUnavailable as error:
                # A write may have taken effect without a response.
                self.records = None
                log_event(
                    Event.PLATFORM_UNAVAILABLE, step=error.step, reason=error.reason
                )

    async def update(self) -> None:
        """Write the records that are outdated.

        Raises
        ------
        StoreUnavailable
            If a call failed.
        """
        if not self.is_coordinator():
            self.records = None
            self.trackers.clear()
            return
        if self.store_copy.age_ms() > STALE_COPY_MS:
            # Entries that expire in an outage of the store return after it.
            for tracker in self.trackers.values():
                tracker.absent_ms.clear()
            return
        if self.records is None or self.read_era != self.store_copy.era:
            await self._read()
        confirmed_ms = self.store_copy.confirmed_ms
        if confirmed_ms is None or confirmed_ms < self.read_ms:
            # A record may name processes that started after the copy was read.
            return
        changes = list(self._list_changes())
        for name, replica_set in changes[:MAX_WRITES]:
            if not await self._write(name, replica_set):
                self.records = None
                return

    async def _read(self) -> None:
        """Read all records; those that a restored store has lost are kept."""
        self.read_ms, self.read_era = self.clock.now_ms(), self.store_copy.era
        known = self.records or {}
        stored = dict(await self.store_copy.store.list_replica_sets())
        # A restored store may lack holders that were recorded in the last seconds.
        self.records = stored | {
            name: _merge(stored.get(name, NO_RECORD), record)
            for name, record in known.items()
        }
        self.lost = {
            name
            for name, record in self.records.items()
            if record != stored.get(name, NO_RECORD)
        }

    def _list_changes(self) -> Iterator[tuple[str, ReplicaSet]]:
        now_ms = self.clock.now_ms()
        assert self.records is not None
        for name, access in self.groups.items():
            tracker = self.trackers.setdefault(name, ReplicaSetTracker())
            recorded = self.records.get(name, NO_RECORD).replica_set
            replica_set = tracker.update(recorded, access, now_ms)
            if replica_set is None:
                continue
            if replica_set != recorded or name in self.lost:
                yield name, replica_set

    async def _write(self, name: str, replica_set: ReplicaSet) -> bool:
        """Write a record; return False if another node has changed it."""
        assert self.records is not None
        revision = self.records.get(name, NO_RECORD).revision
        written = await self.store_copy.store.write_replica_set(
            name, replica_set, revision
        )
        if written is None:
            return False
        dropped = _list_dropped(self.records.get(name, NO_RECORD), replica_set)
        departures = self.trackers[name].departures
        self.records[name] = written
        self.lost.discard(name)
        log_event(
            Event.REPLICA_SET_CHANGED,
            group=name,
            term=replica_set.term,
            primary=replica_set.primary or "none",
            holders=",".join(p.name for p in sorted(replica_set.holders)),
            dropped=",".join(
                f"{process.name}/{process.started_ms}"
                + _format_position(departures.get(process))
                for process in dropped
            ),
        )
        return True


def _list_dropped(
    stored: StoredReplicaSet, replica_set: ReplicaSet
) -> list[MemberProcess]:
    """Return the holders of a record that a later one does not have."""
    known = stored.replica_set
    return [] if known is None else sorted(known.holders - replica_set.holders)


def _format_position(departure: Departure | None) -> str:
    """Return the position that others have received, as a suffix."""
    if departure is None or departure.position is None:
        return ""
    return f"@{departure.position.term}.{departure.position.sequence}"


def _merge(stored: StoredReplicaSet, known: StoredReplicaSet) -> StoredReplicaSet:
    """Return a stored record with the holders of one that the store has lost."""
    replica_set = known.replica_set
    if replica_set is not None and stored.replica_set is not None:
        holders = stored.replica_set.holders | replica_set.holders
        replica_set = attrs.evolve(stored.replica_set, holders=holders)
    return attrs.evolve(stored, replica_set=replica_set or stored.replica_set)
