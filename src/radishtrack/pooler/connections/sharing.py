"""Applies a node's allowance to its connections to one member."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from radishtrack.pooler.connections.allowance import (
    Allowance,
    ConnectionBudget,
    ConnectionReport,
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

POLL_DUE_MS: Final = 800.0
"""Age of the last report from which a status poll may take a right; the interval of
polls is 900 ms. Polls that statements request earlier do not add connections."""


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
        self, pool: MemberPool, node: str, capacity: ConnectionBudget | None
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
        self._grow_if_all_used(pool, self.allowance, now_ms)

    def request_poll(self, pool: MemberPool) -> None:
        """Add a connection, if permitted, for a poll that is due and would wait."""
        allowance = self.allowance
        now_ms = pool.clock.now_ms()
        if allowance is not None and (
            now_ms - allowance.report.requested_ms >= POLL_DUE_MS
        ):
            self._grow_if_all_used(pool, allowance, now_ms)

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
        if connections is not None:
            # Without a recent report, the member may be nearly full.
            idle_ms = SHORT_IDLE_MS
            if allowance.has_valid_report(now_ms):
                idle_ms = decide_idle_time_ms(allowance.capacity, connections)
            self._close_expired(pool, allowance.capacity, idle_ms, now_ms)
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
        if connections is not None and allowance.has_valid_report(now_ms):
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

    @staticmethod
    def _grow_if_all_used(
        pool: MemberPool, allowance: Allowance, now_ms: float
    ) -> None:
        queue = pool.gate.queue
        if queue.running + queue.waiting >= queue.connections:
            allowance.grow(1, now_ms)
            pool.set_limit(allowance.limit)

    def _close_expired(
        self,
        pool: MemberPool,
        capacity: ConnectionBudget,
        idle_ms: float,
        now_ms: float,
    ) -> None:
        expired = find_expired(
            _list_idle(pool),
            self.use,
            idle_ms=idle_ms,
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
