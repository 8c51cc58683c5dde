"""Object store and VM list of the platform stand-in."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Collection, Set
from typing import Any

import attrs


@attrs.define(frozen=True)
class StoredObject:
    """One object; a deleted one is kept with the value None for watches."""

    kind: str
    name: str
    version: int
    value: Any

    def as_json(self) -> dict[str, Any]:
        """Return the object as in responses of the API."""
        return attrs.asdict(self, recurse=False)


@attrs.frozen
class StoreBackup:
    """Objects and revision of the store at some time."""

    objects: dict[tuple[str, str], StoredObject]
    revision: int


class ObjectStore:
    """Objects with versions.

    The version of an object is the store's revision at its last write. So a version is
    never used twice, even if the object is deleted and created again.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.revision = 1
        """Starts at 1, since a watch after revision 0 returns at once."""
        self.era = 1
        """Rises by one with each restore."""
        self.changed = asyncio.Event()
        """Replaced after every write."""

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, deleted or not."""
        return self.objects.get((kind, name))

    def write(
        self, kind: str, name: str, value: Any, expected_version: int
    ) -> tuple[bool, int]:
        """Write if the version is the expected one; return success and the version.

        An object that does not exist has version 0; the value None deletes.
        """
        stored = self.get(kind, name)
        exists = stored is not None and stored.value is not None
        version = stored.version if stored is not None and exists else 0
        if version != expected_version or (value is None and not exists):
            return False, version
        self.revision += 1
        self.objects[kind, name] = StoredObject(kind, name, self.revision, value)
        self.changed.set()
        self.changed = asyncio.Event()
        return True, self.revision

    def back_up(self) -> StoreBackup:
        """Return a copy of the objects, to which the store can be restored."""
        return StoreBackup(dict(self.objects), self.revision)

    def restore(self, backup: StoreBackup, written_again: Collection[str] = ()) -> None:
        """Lose what was written since a backup; revisions are given out again.

        Parameters
        ----------
        backup : StoreBackup
            The state that the store comes back with.
        written_again : collection of str
            Kinds of which lost writes are made again at once, with new versions.
        """
        lost = self.objects
        self.objects = dict(backup.objects)
        self.revision = backup.revision
        self.era += 1
        for (kind, name), stored in sorted(lost.items()):
            present = self.get(kind, name)
            value = present.value if present is not None else None
            if kind in written_again and stored.value != value:
                version = present.version if present and value is not None else 0
                self.write(kind, name, stored.value, version)
        self.changed.set()
        self.changed = asyncio.Event()

    def list_changes(self, kinds: Set[str], after: int) -> list[StoredObject]:
        """Return the objects changed after a revision; after 0, all that exist."""
        changed = [
            item
            for item in self.objects.values()
            if item.kind in kinds
            and item.version > after
            and (after > 0 or item.value is not None)
        ]
        return sorted(changed, key=lambda item: item.version)

    async def watch(
        self, kinds: Set[str], after: int, timeout_ms: float
    ) -> tuple[int, list[StoredObject]]:
        """Return the revision and the changes after a revision.

        Waits up to `timeout_ms` for a change if there is none.
        """
        if after > self.revision:
            # The revision is from before a restart, which lost all objects.
            after = 0
        deadline = time.monotonic() + timeout_ms / 1000
        while True:
            changed = self.changed
            changes = self.list_changes(kinds, after)
            remaining_s = deadline - time.monotonic()
            if changes or remaining_s <= 0 or after == 0:
                return self.revision, changes
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                return self.revision, self.list_changes(kinds, after)


class VmList:
    """List of VMs in which changes become visible after a lag in milliseconds."""

    def __init__(self, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self.visible: dict[str, dict[str, Any]] = {}
        self.pending: list[tuple[float, str, dict[str, Any] | None]] = []
        """Due time in seconds, VM ID and new entry of each change."""

    def set(self, vm_id: str, record: dict[str, Any] | None) -> None:
        """Change an entry; None removes it."""
        due_s = time.monotonic() + self.lag_ms / 1000
        self.pending.append((due_s, vm_id, record))

    def list_visible(self) -> list[dict[str, Any]]:
        """Return the entries after applying the changes that are due."""
        now_s = time.monotonic()
        while self.pending and self.pending[0][0] <= now_s:
            _, vm_id, record = self.pending.pop(0)
            self.visible.pop(vm_id, None)
            if record is not None:
                self.visible[vm_id] = record
        return list(self.visible.values())
