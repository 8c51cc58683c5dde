"""Applies a node's allowance to its connections to one member."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from radishtrack.pooler.connections.allowance import (
    Allowance,
    ConnectionReport,
    MemberCapacity,
)
from radishtrack.pooler.connections.idle import (
    SHORT_IDLE_MS,
    IdleConnection,
    OrganisationUse,
    decide_idle_time_ms,
    find_expired,
    find_rarest,
)

if TYPE_CHECKING:
    from radishtrack.pooler.evidence import Observation
    from radishtrack.pooler.member_pool import MemberPool


@attrs.define(eq=False)
class ConnectionSharing:
    """Connection limit and idle connections of one pool in a scarce group.

    In other groups, `allowance` is None and each method does what the pool did without
    this class.
    """

    allowance: Allowance | None = None
    use: OrganisationUse = attrs.field(factory=OrganisationUse)
    refusals: int = 0
    """Number of connections refused because the member had no free one."""

    def configure(
        self, pool: MemberPool, node: str, capacity: MemberCapacity | None
    ) -> None:
        """Apply the group's settings; `capacity` is None if it is not scarce.

        The caller then sets the pool's limit to the equal share.
        """
        if capacity is None:
            self.allowance = None
        elif self.allowance is None:
            self.allowance = Allowance(f"{node}/{pool.member.name}", capacity)
        else:
            self.allowance.set_capacity(capacity)
        if self.allowance is not None:
            pool.set_limit(self.allowance.limit)

    def request(self, pool: MemberPool, organisation: str) -> None:
        """Add a connection, if permitted, for work that would have to wait."""
        if self.allowance is None:
            return
        now_ms = pool.clock.now_ms()
        self.use.record(organisation, now_ms)
        queue = pool.gate.queue
        if queue.running + queue.waiting >= queue.connections:
            self.allowance.grow(1, now_ms)
            pool.set_limit(self.allowance.limit)

    def adjust(self, pool: MemberPool, observation: Observation | None) -> None:
        """Apply the last report: close idle connections and change the limit."""
        allowance = self.allowance
        if allowance is None:
            return
        now_ms = pool.clock.now_ms()
        pool.idle = [pooled for pooled in pool.idle if not pooled.link.is_closed]
        if observation is not None:
            allowance.observe_report(
                ConnectionReport(
                    observation.report.connections, observation.requested_ms
                ),
                now_ms,
            )
        connections = allowance.report.connections
        if connections is not None and allowance.has_valid_report(now_ms):
            self._close_expired(pool, allowance.capacity, connections, now_ms)
        queue = pool.gate.queue
        allowance.shrink(max(pool.open_count, queue.running))
        allowance.grow(queue.waiting, now_ms)
        pool.set_limit(allowance.limit)

    def keep_idle(self, pool: MemberPool) -> bool:
        """Return whether a connection may be opened without closing an idle one."""
        allowance = self.allowance
        if allowance is None:
            return False
        now_ms = pool.clock.now_ms()
        connections = allowance.report.connections
        if connections is not None:
            idle_ms = decide_idle_time_ms(allowance.capacity, connections)
            rarest = pool.idle[self.choose_idle(pool)].organisation
            if idle_ms > SHORT_IDLE_MS and self.use.is_worth_keeping(
                rarest, idle_ms, now_ms
            ):
                allowance.grow(1, now_ms)
                pool.set_limit(allowance.limit)
        return pool.open_count < allowance.limit

    def choose_idle(self, pool: MemberPool) -> int:
        """Return the index of the idle connection to close first."""
        if self.allowance is None:
            return 0
        return find_rarest(_list_idle(pool), self.use, pool.clock.now_ms())

    def record_refusal(self, pool: MemberPool) -> None:
        """Reduce the connections after the member had no free one."""
        self.refusals += 1
        if self.allowance is None:
            pool.drop_idle()
            return
        now_ms = pool.clock.now_ms()
        self.allowance.record_refusal(now_ms)
        pool.set_limit(self.allowance.limit)
        # A member that counts its connections is running, so it is not unreachable.
        pool.last_response_ms = now_ms

    def _close_expired(
        self,
        pool: MemberPool,
        capacity: MemberCapacity,
        connections: int,
        now_ms: float,
    ) -> None:
        expired = find_expired(
            _list_idle(pool),
            self.use,
            idle_ms=decide_idle_time_ms(capacity, connections),
            kept=max(0, capacity.kept_idle - len(pool.busy) - pool.opening),
            now_ms=now_ms,
        )
        for index in sorted(expired, reverse=True):
            pool.idle.pop(index).link.close()


def _list_idle(pool: MemberPool) -> list[IdleConnection]:
    return [
        IdleConnection(pooled.organisation, pooled.idle_since_ms)
        for pooled in pool.idle
    ]
