"""Objects and VM list of the platform stand-in."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Set
from typing import Any

import attrs


@attrs.define(frozen=True)
class StoredObject:
    """One object; a deleted one stays with the value None, for watches."""

    kind: str
    name: str
    version: int
    value: Any

    def as_json(self) -> dict[str, Any]:
        """Return the object as the API shows it."""
        return attrs.asdict(self, recurse=False)


class ObjectStore:
    """Versioned objects.

    The version of an object is the revision of the write, so it never returns to an
    earlier value, not even after the object was deleted and created again.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.revision = 1
        """Above 0 even while empty, so that a watch after it waits."""
        self.changed = asyncio.Event()

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, deleted or not."""
        return self.objects.get((kind, name))

    def write(
        self, kind: str, name: str, value: Any, expected_version: int
    ) -> tuple[bool, int]:
        """Write if the version is the expected one; return success and version."""
        found = self.get(kind, name)
        exists = found is not None and found.value is not None
        present = found.version if found is not None and exists else 0
        if present != expected_version or (value is None and not exists):
            return False, present
        self.revision += 1
        self.objects[kind, name] = StoredObject(kind, name, self.revision, value)
        self.changed.set()
        self.changed = asyncio.Event()
        return True, self.revision

    def changes(self, kinds: Set[str], after: int) -> list[StoredObject]:
        """Return objects changed after a revision; with 0, all that exist."""
        found = [
            item
            for item in self.objects.values()
            if item.kind in kinds
            and item.version > after
            and (after > 0 or item.value is not None)
        ]
        return sorted(found, key=lambda item: item.version)

    async def watch(
        self, kinds: Set[str], after: int, timeout_ms: float
    ) -> tuple[int, list[StoredObject]]:
        """Return the revision and the changes; wait for one if there is none."""
        if after > self.revision:
            # The caller's revision is from before a restart that lost the objects.
            after = 0
        deadline = time.monotonic() + timeout_ms / 1000
        while True:
            changed = self.changed
            found = self.changes(kinds, after)
            remaining_s = deadline - time.monotonic()
            if found or remaining_s <= 0 or after == 0:
                return self.revision, found
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                return self.revision, self.changes(kinds, after)


class VmList:
    """List of VMs that shows every change only after a lag in milliseconds."""

    def __init__(self, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self.shown: dict[str, dict[str, Any]] = {}
        self.pending: list[tuple[float, str, dict[str, Any] | None]] = []

    def set(self, vm_id: str, record: dict[str, Any] | None) -> None:
        """Change an entry; None removes it."""
        due = time.monotonic() + self.lag_ms / 1000
        self.pending.append((due, vm_id, record))

    def visible(self) -> list[dict[str, Any]]:
        """Return the entries that are shown by now."""
        now = time.monotonic()
        while self.pending and self.pending[0][0] <= now:
            _, vm_id, record = self.pending.pop(0)
            self.shown.pop(vm_id, None)
            if record is not None:
                self.shown[vm_id] = record
        return list(self.shown.values())
