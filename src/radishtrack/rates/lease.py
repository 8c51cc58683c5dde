"""The lease of an organisation's allocator: who may grant tokens, and until when.

The clocks of two nodes have no common origin. The allocator measures its lease from
before it sent the write; an observer measures it from when it first read that version,
with a margin for clock drift.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

from radishtrack.rates.messages import (
    DRIFT_MARGIN,
    MAX_GRANT_VALIDITY_MS,
    LeaseRecord,
)
from radishtrack.revision import get_era, make_revision

LEASE_MS: Final = 15_000.0
RENEW_AFTER_MS: Final = 6_000.0
WRITE_RETRY_MS: Final = 1_000.0
"""Pause before retrying a write whose outcome is unknown."""


@attrs.define(frozen=True)
class LeaseWrite:
    """A conditional update of ``allocators/<organisation>``.

    Parameters
    ----------
    record : LeaseRecord
        New value.
    expected_version : int
        Version that the write replaces; 0 if the object must not exist.
    """

    record: LeaseRecord
    expected_version: int


@attrs.define(frozen=True)
class PendingWrite:
    """A write whose outcome is unknown."""

    write: LeaseWrite
    sent_ms: float
    replaced: LeaseRecord | None


@attrs.define
class LeaseState:
    """One node's view of the lease of one organisation.

    Parameters
    ----------
    node : str
        This node, unique for each process start.
    """

    node: str
    version: int = -1
    """Highest version read or written; -1 before the first read."""
    record: LeaseRecord | None = None
    first_seen_ms: float = math.inf
    """When this node first read that version, or its write of it was confirmed."""
    pending: dict[int, PendingWrite] = attrs.field(factory=dict)
    """Writes with an unknown outcome, by revision."""
    is_uncertain: bool = False
    """Whether a restored platform may have lost a later record than `record`."""
    was_own: bool = False
    """Whether this node held the lease until the platform was restored."""
    is_own: bool = False
    expires_ms: float = -math.inf
    """End of this node's lease."""
    last_sent_ms: float = -math.inf

    def is_held(self, now_ms: float) -> bool:
        """Return whether this node may grant tokens."""
        return self.is_own and now_ms < self.expires_ms

    def observe(self, record: LeaseRecord | None, version: int, now_ms: float) -> None:
        """Apply a version that this node did not write."""
        if version <= self.version:
            return
        is_restored = self.version >= 0 and get_era(version) > get_era(self.version)
        self.was_own = is_restored and self.is_held(now_ms)
        if record is None:
            self.is_uncertain = is_restored
        else:
            self.is_uncertain = get_era(record.epoch) < get_era(version)
        self.version = version
        self.record = record
        self.first_seen_ms = now_ms
        # Pending writes expected an older version: they failed or were replaced.
        self.pending.clear()
        self.is_own = False
        self.expires_ms = -math.inf

    def find_own_write(self, record: LeaseRecord | None) -> PendingWrite | None:
        """Return the pending write of this node that produced `record`, if any."""
        if record is None or record.holder_node != self.node:
            return None
        pending = self.pending.get(record.revision)
        return pending if pending and pending.write.record == record else None

    def confirm(self, pending: PendingWrite, version: int, now_ms: float) -> None:
        """Apply a write of this node that took effect as `version`."""
        if version <= self.version:
            return
        self.version = version
        self.record = pending.write.record
        self.is_uncertain = self.was_own = False
        self.first_seen_ms = now_ms
        # The other pending writes expected an older version and can't succeed.
        self.pending.clear()
        self.is_own = self.record.released is None
        if self.is_own:
            self.expires_ms = max(
                self.expires_ms, pending.sent_ms + self.record.expires_after_ms
            )

    def should_acquire(self, now_ms: float) -> bool:
        """Return whether the lease is free and this node may try to acquire it."""
        if self.is_own or self.version < 0:
            return False
        if now_ms - self.last_sent_ms < WRITE_RETRY_MS:
            return False
        if self.was_own:
            # Any later record would be this node's.
            return True
        is_free = self.record is None or self.record.released is not None
        if is_free and not self.is_uncertain:
            return True
        lease_ms = LEASE_MS if self.record is None else self.record.expires_after_ms
        # Grants of the old allocator may outlive its lease by their full validity.
        wait_ms = lease_ms + MAX_GRANT_VALIDITY_MS
        return now_ms - self.first_seen_ms >= wait_ms * DRIFT_MARGIN

    def should_renew(self, now_ms: float) -> bool:
        """Return whether this node should extend its lease."""
        if not self.is_own or now_ms - self.last_sent_ms < WRITE_RETRY_MS:
            return False
        return now_ms >= self.expires_ms - LEASE_MS + RENEW_AFTER_MS

    def next_epoch(self) -> int:
        """Return the epoch of this node's next record.

        It rises over all holders, those included whose records are lost: it starts
        above all epochs of earlier eras of the platform.
        """
        if self.is_own and self.record is not None:
            return self.record.epoch
        latest = 0 if self.record is None else self.record.epoch
        return max(latest, make_revision(max(0, get_era(self.version)), 0)) + 1

    def next_revision(self) -> int:
        """Return a revision above those of the record and of all pending writes."""
        latest = self.record.revision if self.record is not None else 0
        return max(latest, *self.pending, 0) + 1

    def begin_write(self, record: LeaseRecord, now_ms: float) -> LeaseWrite:
        """Register `record` as a pending write and return the write to send."""
        write = LeaseWrite(record, self.version)
        # A lost record may have used the tokens that an uncertain one hands over.
        replaced = None if self.is_uncertain else self.record
        self.pending[record.revision] = PendingWrite(write, now_ms, replaced)
        self.last_sent_ms = now_ms
        return write

    def relinquish(self) -> None:
        """Stop granting before the release is written.

        Pending renewals are dropped, so that reading one later does not make this node
        grant tokens that it has handed over.
        """
        self.pending.clear()
        self.is_own = False
        self.expires_ms = -math.inf


def make_lease_state(node: str) -> LeaseState:
    """Return the state of a node before its first read."""
    return LeaseState(node)
