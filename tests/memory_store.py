"""An in-memory platform that injects faults into writes."""

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
    """Versioned objects; each write that is not of a chunk consumes one of the faults.

    Faults: ``ok``, ``lost request`` (no effect, no response), ``lost answer`` (effect,
    no response), ``late`` (no response, effect before the next call).
    """

    def __init__(self, faults: Iterable[str] = ()) -> None:
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.faults = list(faults)
        self.late_writes: list[Callable[[], object]] = []
        self.written_kinds: list[str] = []
        self.is_down = False

    def write(self, kind: str, name: str, value: Any, expected: int) -> bool:
        """Write if the object has the expected version."""
        stored = self.objects.get((kind, name))
        if (stored.version if stored else 0) != expected:
            return False
        version = 1 + max((item.version for item in self.objects.values()), default=0)
        self.objects[kind, name] = StoredObject(version, value)
        self.written_kinds.append(kind)
        return True

    def make_store(self) -> ObjectStore:
        """Return the store operations on this platform."""
        return ObjectStore(self._get, self._put, retry_pause_ms=0.0)

    def _apply_late_writes(self) -> None:
        while self.late_writes:
            self.late_writes.pop(0)()

    async def _get(self, kind: str, name: str) -> StoredObject | None:
        self._apply_late_writes()
        if self.is_down:
            raise StoreUnavailable("the platform is down")
        return self.objects.get((kind, name))

    async def _put(
        self, kind: str, name: str, value: Any, expected: int
    ) -> WriteResult:
        fault = self.faults.pop(0) if self.faults and kind != "config-chunk" else "ok"
        if fault == "late":
            self.late_writes.append(lambda: self.write(kind, name, value, expected))
            return WriteResult.UNKNOWN
        self._apply_late_writes()
        if self.is_down or fault == "lost request":
            return WriteResult.UNKNOWN
        written = self.write(kind, name, value, expected)
        if fault == "lost answer":
            return WriteResult.UNKNOWN
        return WriteResult.WRITTEN if written else WriteResult.CONFLICT
