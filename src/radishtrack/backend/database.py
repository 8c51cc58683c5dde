"""Resources that a holder keeps for one database."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Final

import attrs

from radishtrack.admission.fair_queue import FairQueue
from radishtrack.admission.gate import Gate
from radishtrack.admission.retry_budget import RetryBudget
from radishtrack.backend.connection import MemberConnection
from radishtrack.backend.monitor import Monitor
from radishtrack.backend.pool import ConnectionPool
from radishtrack.clock import Clock
from radishtrack.errors import make_not_run
from radishtrack.group.status import Group, MemberStatus

MAX_STATUS_AGE_MS: Final = 1_500.0
"""Age limit of the statuses by which a member is chosen for a read."""

RETRY_PAUSE_MS: Final = 25.0

ObserveWait = Callable[[str, float], None]


@attrs.define
class DatabaseBackend:
    """Monitor, connections and permits of one database on a holder.

    Parameters
    ----------
    name : str
        Name of the database.
    zone : str
        Availability zone of this node.
    monitor : Monitor
        Status of the members and confirmation of commits.
    pool : ConnectionPool
        Connections to the members.
    gate : Gate
        Permits for the connections, shared fairly among organisations.
    retries : RetryBudget
        Limits retries.
    clock : Clock
        Clock of deadlines.
    list_leaving_members : callable
        Returns the members that are being taken out of service; reads avoid them.
    observe_wait : callable
        Takes the organisation and its wait for a permit, in milliseconds.
    """

    name: str
    zone: str
    monitor: Monitor
    pool: ConnectionPool
    gate: Gate[FairQueue]
    retries: RetryBudget
    clock: Clock
    list_leaving_members: Callable[[], frozenset[str]]
    observe_wait: ObserveWait
    active_requests: int = 0
    """Includes commits that wait for confirmation without a connection."""

    @property
    def group(self) -> Group:
        """The group's latest record."""
        return self.monitor.group

    def remaining_s(self, deadline_ms: float) -> float:
        """Return the seconds left until a deadline, at least 0."""
        return max(0.0, (deadline_ms - self.clock.now_ms()) / 1000)

    def list_recent_statuses(self) -> dict[str, MemberStatus]:
        """Return the statuses that are at most `MAX_STATUS_AGE_MS` old, by member."""
        oldest_ms = self.clock.now_ms() - MAX_STATUS_AGE_MS
        return {
            member: status
            for member, status in self.monitor.latest_statuses.items()
            if self.monitor.answered_poll_sent_ms(member) >= oldest_ms
        }

    def has_later_term(self, group: Group) -> bool:
        """Return whether a member reports a later term than the record."""
        statuses = self.monitor.latest_statuses.values()
        return any(status.term > group.term for status in statuses)

    def list_zones(self) -> dict[str, str]:
        """Return the availability zone of each member."""
        return {name: point.zone for name, point in self.pool.endpoints.items()}

    @asynccontextmanager
    async def connect(
        self, member: str, organisation: str, deadline_ms: float
    ) -> AsyncIterator[MemberConnection]:
        """Wait for a permit, then use a connection to a member.

        Raises
        ------
        RequestError
            Not run, if there is no permit in time.
        ConnectFailed
            If no connection could be made.
        """
        requested_ms = self.clock.now_ms()
        async with self.gate.connection(organisation, deadline_ms):
            self.observe_wait(organisation, self.clock.now_ms() - requested_ms)
            async with self.pool.connection(member) as connection:
                yield connection

    async def wait_before_retry(self, step: str, deadline_ms: float) -> None:
        """Wait before another attempt.

        Raises
        ------
        RequestError
            Not run, if the deadline has passed.
        """
        if self.remaining_s(deadline_ms) <= RETRY_PAUSE_MS / 1000:
            raise make_not_run(step, "deadline passed", peer=self.group.primary)
        await asyncio.sleep(RETRY_PAUSE_MS / 1000)
