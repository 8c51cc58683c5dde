"""An in-memory platform with faults on chosen writes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from radishtrack.config.store import (
    ObjectStore,
    StoredObject,
    StoreUnavailable,
    WriteResult,
)


class MemoryPlatform:
    """Objects with versions; faults are taken one by one for manifest writes.

    Faults: ``ok``, ``lost request`` (no effect, no answer), ``lost answer`` (effect, no
    answer), ``late`` (no answer, effect before the next call).
    """

    def __init__(self, faults: Iterable[str] = ()) -> None:
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.faults = list(faults)
        self.late: list[Callable[[], object]] = []
        self.written_kinds: list[str] = []
        self.is_down = False

    def write(self, kind: str, name: str, value: Any, expected: int) -> bool:
        """Write if the version is the expected one."""
        found = self.objects.get((kind, name))
        if (found.version if found else 0) != expected:
            return False
        version = 1 + max((item.version for item in self.objects.values()), default=0)
        self.objects[kind, name] = StoredObject(version, value)
        self.written_kinds.append(kind)
        return True

    def make_store(self) -> ObjectStore:
        """Return the operations that the product uses."""
        return ObjectStore(self._get, self._put, retry_pause_ms=0.0)

    def _settle(self) -> None:
        while self.late:
            self.late.pop(0)()

    async def _get(self, kind: str, name: str) -> StoredObject | None:
        self._settle()
        if self.is_down:
            raise StoreUnavailable("the platform is down")
        return self.objects.get((kind, name))

    async def _put(
        self, kind: str, name: str, value: Any, expected: int
    ) -> WriteResult:
        fault = self.faults.pop(0) if self.faults and kind != "config-chunk" else "ok"
        if fault == "late":
            self.late.append(lambda: self.write(kind, name, value, expected))
            return WriteResult.UNKNOWN
        self._settle()
        if self.is_down or fault == "lost request":
            return WriteResult.UNKNOWN
        written = self.write(kind, name, value, expected)
        if fault == "lost answer":
            return WriteResult.UNKNOWN
        return WriteResult.WRITTEN if written else WriteResult.CONFLICT
