"""Detects primaries that have to be replaced, and starts attempts to do so."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.pooler.catalog import MemberProcess
from radishtrack.pooler.coordinator_failover import RATES_DUTY
from radishtrack.pooler.evacuation.succession import may_start_evacuation
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.monitor import request_report
from radishtrack.pooler.peers import Peers
from radishtrack.pooler.ports import PromoteMember, StoreUnavailable
from radishtrack.pooler.promotion import (
    PromotionReason,
    ReplicationProgress,
    find_promotion_reason,
    is_promotion_unfinished,
)
from radishtrack.pooler.promotion_attempt import PromotionAttempt
from radishtrack.pooler.promotion_duty import PROMOTION_DUTY, PromotionDuty
from radishtrack.pooler.rank import rank_node
from radishtrack.pooler.statements import GetStatus
from radishtrack.pooler.store_copy import DEPARTURE_MS, StoreCopy
from radishtrack.pooler.tasks import start_task

CHECK_INTERVAL_MS: Final = 100.0
"""Pause between checks of all groups; short against the time to detect a failure."""
RANK_DELAY_MS: Final = 150.0
"""Delay per rank before a node starts a promotion; longer than a claim takes, so that
nodes seldom fence the same members."""
VOTE_POLL_MS: Final = 300.0
"""Time limit for the poll of the primary by a peer that votes."""
VOTE_RECENT_RESPONSE_MS: Final = 200.0
"""A member with a response within this time counts as alive; otherwise it is polled."""
RETRY_MS: Final = 250.0
"""Pause after a failed attempt."""
WITHHELD_RETRY_MS: Final = 3_000.0
"""Pause while acknowledged commits may be in logs that can't be read, unless a member
comes back. Each attempt claims the duty, which is a write."""
LIST_SETTLED_MS: Final = 3_500.0
"""Time for which the store has to respond until its list has all members that run.
Entries return about 2 s after an outage."""

MakeOrganisation = Callable[[], str]


@attrs.frozen
class GroupMembers:
    """Processes of a group's members.

    Parameters
    ----------
    reached : frozenset of MemberProcess
        Those that respond.
    listed : frozenset of MemberProcess
        Those that the store lists.
    is_settled : bool
        Whether the list has all members that run.
    """

    reached: frozenset[MemberProcess]
    listed: frozenset[MemberProcess]
    is_settled: bool


@attrs.define(eq=False)
class PromotionState:
    """Progress of failure detection and promotion in one group."""

    progress: ReplicationProgress = attrs.field(factory=ReplicationProgress)
    unfinished_since_ms: float | None = None
    reason: PromotionReason | None = None
    reason_since_ms: float | None = None
    not_before_ms: float = 0.0
    announced_term: int = 0
    """Term of the last promotion of the group that this node announced."""
    announced_ms: float = 0.0
    """When this node announced it."""
    missing: tuple[MemberProcess, ...] = ()
    """Members for which the last attempt was withheld."""
    withheld_for: GroupMembers | None = None
    """Members that were known for it; None if it was not withheld."""
    task: asyncio.Task[None] | None = None


@attrs.define(eq=False)
class Promoter:
    """Monitors all groups of a node and attempts promotions; `run` never returns."""

    name: str
    clock: Clock
    store_copy: StoreCopy
    duty: PromotionDuty
    peers: Peers
    promote: PromoteMember
    list_groups: Callable[[], tuple[GroupAccess, ...]]
    organisation: MakeOrganisation
    states: dict[str, PromotionState] = attrs.field(factory=dict)
    started_ms: float = 0.0

    async def run(self) -> None:
        """Check all groups periodically."""
        self.started_ms = self.clock.now_ms()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            for access in self.list_groups():
                self.check(access)

    def check(self, access: GroupAccess) -> None:
        """Start a promotion if the group's primary has to be replaced."""
        now_ms = self.clock.now_ms()
        state = self.states.setdefault(access.name, PromotionState())
        state.progress.observe(access.evidence, now_ms)
        if not is_promotion_unfinished(access.evidence):
            state.unfinished_since_ms = None
        elif state.unfinished_since_ms is None:
            state.unfinished_since_ms = now_ms
        if state.task is not None and not state.task.done():
            return
        reason = find_promotion_reason(
            access, state.progress, state.unfinished_since_ms, now_ms
        )
        was_planned = state.reason is PromotionReason.EVACUATED
        if was_planned and reason is not state.reason:
            # Nodes may have waited for long, and must not all attempt the next at once.
            state.reason_since_ms = None
        state.reason = reason
        if reason is None:
            state.reason_since_ms, state.missing, state.withheld_for = None, (), None
            return
        if state.reason_since_ms is None:
            state.reason_since_ms = now_ms
        if state.withheld_for not in (None, self.list_members(access)):
            state.withheld_for, state.not_before_ms = None, now_ms
        start_ms = state.reason_since_ms + self._rank(access.name) * RANK_DELAY_MS
        if now_ms < max(start_ms, state.not_before_ms) or self.duty.is_held_by_other():
            return
        if not self.store_copy.is_available or self._is_promoting():
            return
        if reason is PromotionReason.EVACUATED and not self._may_evacuate(
            access, state, now_ms
        ):
            return
        state.task = start_task(
            self._attempt(access, state, reason), f"promotion in {access.name}"
        )

    def _is_promoting(self) -> bool:
        """Return whether this node replaces the primary of some group now.

        All groups share one record of the duty, so a claim for a second group would
        end the promotion of the first, after its members were fenced.
        """
        return any(
            state.task is not None and not state.task.done()
            for state in self.states.values()
        )

    def _may_evacuate(
        self, access: GroupAccess, state: PromotionState, now_ms: float
    ) -> bool:
        """Return whether a promotion out of an evacuated zone may start now."""
        observed_ms = self.store_copy.duties.find(PROMOTION_DUTY).observed_ms
        return may_start_evacuation(
            has_failed_attempt=access.evidence.term
            < max(state.announced_term, access.evidence.announced_term),
            last_claim_ms=max(observed_ms, state.announced_ms),
            rank_delay_ms=self._rank(access.name) * RANK_DELAY_MS,
            now_ms=now_ms,
        )

    def knows_nodes_since_ms(self) -> float:
        """Return the time since which this node knows all nodes with evidence.

        One that was removed from the store before this node read the list, or in an
        outage, may have some for `DEPARTURE_MS`.
        """
        steady_since_ms = self.clock.now_ms() - self.store_copy.steady_ms()
        return max(self.started_ms, steady_since_ms) + DEPARTURE_MS

    def has_settled_list(self) -> bool:
        """Return whether the store's list has all members that run."""
        return self.store_copy.steady_ms() >= LIST_SETTLED_MS

    def record_announced(self, group: str, term: int) -> None:
        """Record that this node has announced a promotion to a term."""
        state = self.states.setdefault(group, PromotionState())
        state.announced_term, state.announced_ms = term, self.clock.now_ms()

    def list_members(self, access: GroupAccess) -> GroupMembers:
        """Return the processes of a group's members as known at present."""
        pools = access.pools.items()
        reached = (pool for _, pool in pools if pool.is_reachable)
        listed = (pool for name, pool in pools if name not in access.unlisted_ms)
        return GroupMembers(
            frozenset(pool.member.process for pool in reached),
            frozenset(pool.member.process for pool in listed),
            self.has_settled_list(),
        )

    async def vote(self, group: str, member: str) -> bool:
        """Return whether this node, too, finds that a primary can't serve.

        Parameters
        ----------
        group : str
            Name of the group.
        member : str
            The primary from the peer's point of view.
        """
        access = next((a for a in self.list_groups() if a.name == group), None)
        if access is None:
            return True
        state = self.states.get(group)
        pool = access.pools.get(member)
        if pool is None or not pool.is_reachable or access.evidence.primary != member:
            return True
        # A planned promotion says nothing about what the primary can do.
        reason = None if state is None else state.reason
        if reason is not None and reason is not PromotionReason.EVACUATED:
            return True
        if self.clock.now_ms() - pool.last_response_ms <= VOTE_RECENT_RESPONSE_MS:
            return False
        # An idle member sends no responses, so a poll has to show whether it is alive.
        try:
            async with asyncio.timeout(VOTE_POLL_MS / 1000):
                report = await request_report(
                    access, pool, GetStatus(), self.organisation(), self.clock
                )
        except TimeoutError:
            return True
        return report is None

    def _rank(self, group: str) -> int:
        """Return this node's rank in the order in which nodes promote in the group."""
        # The node that polls for the fleet detects a failure first.
        poller = self.store_copy.duties.find(RATES_DUTY).duty.holder
        return rank_node(self.name, group, self.store_copy.nodes, poller)

    def _find_considered(
        self, access: GroupAccess, attempt: PromotionAttempt
    ) -> GroupMembers:
        """Return the members that an attempt was withheld for.

        One that came during the attempt may already allow the next.
        """
        present, known = self.list_members(access), attempt.members
        if known is None or (
            present.reached <= known.reached and present.listed <= known.listed
        ):
            return present
        return known

    def _find_retry_ms(self, attempt: PromotionAttempt) -> float:
        """Return the time before which a failed attempt is not repeated."""
        now_ms = self.clock.now_ms()
        retry_ms = now_ms + RETRY_MS
        if not attempt.is_withheld:
            return retry_ms
        return min(max(retry_ms, attempt.retry_ms), now_ms + WITHHELD_RETRY_MS)

    async def _attempt(
        self, access: GroupAccess, state: PromotionState, reason: PromotionReason
    ) -> None:
        started_ms = self.clock.now_ms()
        evidence = access.evidence
        log_event(
            Event.PRIMARY_SUSPECTED,
            group=access.name,
            primary=evidence.primary or "none",
            term=evidence.term,
            reason=reason.value,
        )
        assert state.reason_since_ms is not None
        attempt = PromotionAttempt(self, access, reason, state.reason_since_ms)
        try:
            outcome = await attempt.run()
        except StoreUnavailable as error:
            outcome = f"store: {error}"
        finally:
            state.missing = attempt.missing
            state.withheld_for = None
            if attempt.is_withheld:
                state.withheld_for = self._find_considered(access, attempt)
            state.not_before_ms = self._find_retry_ms(attempt)
        event = Event.PROMOTION_FAILED if outcome else Event.PROMOTION_WON
        if attempt.is_withheld:
            event = Event.PROMOTION_WITHHELD
        log_event(
            event,
            group=access.name,
            primary=evidence.primary or "none",
            term=evidence.term,
            detail=outcome or "promoted",
            elapsed_ms=round(self.clock.now_ms() - started_ms),
        )
