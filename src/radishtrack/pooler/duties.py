"""The records of duties, of which one node at a time holds each."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.pooler.catalog import NodeRecord
from radishtrack.pooler.ports import ControlStore, Duty
from radishtrack.revision import get_era

NO_HOLDER: Final = ""
"""Holder of a duty that was released or never claimed."""


@attrs.frozen
class ObservedDuty:
    """A duty's record and when this node first observed it."""

    duty: Duty
    observed_ms: float


NO_DUTY: Final = ObservedDuty(Duty(NO_HOLDER, 0, ""), 0.0)


@attrs.define(eq=False)
class DutyRecords:
    """The latest record of each duty that one node has observed, and its claims.

    Parameters
    ----------
    store : ControlStore
        The platform's store.
    clock : Clock
        Time in milliseconds.
    node : NodeRecord
        This node's own record.
    list_stored : callable
        Returns the records of the last listing of the store, by name.
    get_store_era : callable
        Returns the era of the store, as far as known.
    """

    store: ControlStore
    clock: Clock
    node: NodeRecord
    list_stored: Callable[[], Mapping[str, Duty]]
    get_store_era: Callable[[], int]
    observed: dict[str, ObservedDuty] = attrs.field(factory=dict)
    claim_count: int = 0

    def find(self, name: str) -> ObservedDuty:
        """Return a duty's last observed record."""
        return self.observed.get(name, NO_DUTY)

    def record(self, name: str, duty: Duty) -> None:
        """Record a duty as read from the store or announced by another node."""
        if duty.revision > self.find(name).duty.revision:
            self.observed[name] = ObservedDuty(duty, self.clock.now_ms())

    async def claim(self, name: str) -> Duty | None:
        """Become the holder of a duty unless its record has changed in the store.

        Returns
        -------
        Duty or None
            The record; its revision is greater than that of every earlier holder. None
            if the record has changed.

        Raises
        ------
        StoreUnavailable
            If it is unknown whether the claim has succeeded.
        """
        return await self._write(name, self.node.name)

    async def release(self, name: str) -> None:
        """Release a duty, so that another node can claim it without a wait.

        Raises
        ------
        StoreUnavailable
            If it is unknown whether the record was written.
        """
        if self.find(name).duty.holder == self.node.name:
            await self._write(name, NO_HOLDER)

    def is_own_claim(self, duty: Duty) -> bool:
        """Return whether this process, not an earlier one here, claimed a duty."""
        return duty.holder == self.node.name and duty.claim.startswith(self._claim_mark)

    def has_outdated_claim(self, name: str) -> bool:
        """Return whether this process claimed a duty before the store was restored.

        The record may be lost, so the duty has to be claimed again.
        """
        duty = self.find(name).duty
        return self.is_own_claim(duty) and get_era(duty.revision) < self.get_store_era()

    @property
    def _claim_mark(self) -> str:
        return f"{self.node.name}/{self.node.started_ms}/"

    def _find_stored(self, name: str) -> Duty:
        """Return a duty's record in the store, as far as known.

        It is older than the last observed one if a restored store has lost that.
        """
        duty = self.find(name).duty
        if get_era(duty.revision) >= self.get_store_era():
            return duty
        return self.list_stored().get(name, NO_DUTY.duty)

    async def _write(self, name: str, holder: str) -> Duty | None:
        self.claim_count += 1
        claim = f"{self._claim_mark}{self.claim_count}"
        claimed = await self.store.claim_duty(
            name, self._find_stored(name), holder, claim
        )
        if claimed is not None:
            self.record(name, claimed)
        return claimed
