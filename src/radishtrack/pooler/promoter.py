"""Replaces primaries: claims the duty, fences members and orders the promotion."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.group.status import Role
from radishtrack.peer.messages import BeliefWithdrawn, Vote, VoteRequest, WithdrawBelief
from radishtrack.pooler.catalog import MemberProcess, MemberReport
from radishtrack.pooler.coordinator_failover import RATES_DUTY
from radishtrack.pooler.evacuation.succession import (
    list_evacuated_members,
    may_start_evacuation,
    order_fences,
)
from radishtrack.pooler.evidence import EVIDENCE_VALID_MS
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.monitor import request_report
from radishtrack.pooler.peers import NotRunning, Peers
from radishtrack.pooler.ports import (
    PromoteMember,
    PromotionResult,
    ReplicaSet,
    StoreUnavailable,
)
from radishtrack.pooler.promotion import (
    PromotionReason,
    ReplicationProgress,
    choose_successor,
    count_required_fences,
    find_promotion_reason,
    is_promotion_unfinished,
    needs_outside_successor,
)
from radishtrack.pooler.promotion_duty import PROMOTION_DUTY, Claim, PromotionDuty
from radishtrack.pooler.rank import rank_node
from radishtrack.pooler.replica_set import (
    find_term_primary,
    list_ended_members,
    list_missing_holders,
)
from radishtrack.pooler.statements import Fence, GetStatus, MemberStatement, Unfence
from radishtrack.pooler.store_copy import DEPARTURE_MS, StoreCopy
from radishtrack.pooler.tasks import start_task

CHECK_INTERVAL_MS: Final = 100.0
"""Pause between checks of all groups; short against the time to detect a failure."""
RANK_DELAY_MS: Final = 150.0
"""Delay per rank before a node starts a promotion; longer than a claim takes, so that
nodes seldom fence the same members."""
VOTE_TIMEOUT_MS: Final = 400.0
"""Time limit for a peer's vote, longer than the peer's own poll of the primary. Later
votes are not counted."""
VOTE_POLL_MS: Final = 300.0
"""Time limit for the poll of the primary by a peer that votes."""
VOTE_RECENT_RESPONSE_MS: Final = 200.0
"""A member with a response within this time counts as alive; otherwise it is polled."""
FENCE_ROUNDS: Final = 3
"""Attempts to fence enough members, since some may not respond to the first."""
FENCE_PAUSE_MS: Final = 100.0
"""Pause between these attempts."""
CONFIRM_PROMOTION_MS: Final = 2_000.0
"""Longest wait until the promoted member is the primary; usually it takes some hundred
milliseconds."""
CONFIRM_POLL_MS: Final = 40.0
"""Interval of polls whether the promoted member is the primary."""
RETRY_MS: Final = 250.0
"""Pause after a failed attempt."""
WITHHELD_RETRY_MS: Final = 3_000.0
"""Pause while members are missing that may alone hold acknowledged commits, unless one
of them comes back. Each attempt claims the duty, which is a write."""
INVALIDATE_TIMEOUT_MS: Final = 200.0
"""Time limit for nodes to confirm; without a confirmation the promoter waits until the
node's evidence has expired."""

MakeOrganisation = Callable[[], str]


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
    task: asyncio.Task[None] | None = None


@attrs.define(eq=False)
class Promoter:
    """Monitors all groups of a node and starts promotions; `run` never returns."""

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
            state.reason_since_ms, state.missing = None, ()
            return
        if state.reason_since_ms is None:
            state.reason_since_ms = now_ms
        present = {pool.member.process for pool in access.pools.values()}
        if not present.isdisjoint(state.missing):
            state.missing, state.not_before_ms = (), now_ms
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
                (report,) = await self._request_reports(
                    access, [member], GetStatus()
                ) or (None,)
        except TimeoutError:
            return True
        return report is None

    def _rank(self, group: str) -> int:
        """Return this node's rank in the order in which nodes promote in the group."""
        # The node that polls for the fleet detects a failure first.
        poller = self.store_copy.duties.find(RATES_DUTY).duty.holder
        return rank_node(self.name, group, self.store_copy.nodes, poller)

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
        try:
            outcome = await self._replace_primary(access, state, reason)
        except StoreUnavailable as error:
            outcome = f"store: {error}"
        finally:
            pause_ms = WITHHELD_RETRY_MS if state.missing else RETRY_MS
            state.not_before_ms = self.clock.now_ms() + pause_ms
        event = Event.PROMOTION_FAILED if outcome else Event.PROMOTION_WON
        if state.missing:
            event = Event.PROMOTION_WITHHELD
        log_event(
            event,
            group=access.name,
            primary=evidence.primary or "none",
            term=evidence.term,
            detail=outcome or "promoted",
            elapsed_ms=round(self.clock.now_ms() - started_ms),
        )

    async def _replace_primary(
        self, access: GroupAccess, state: PromotionState, reason: PromotionReason
    ) -> str:
        """Run one promotion; return why it failed, or an empty string."""
        state.missing = ()
        if reason.needs_votes and not await self._is_confirmed_by_peers(
            access, access.presumed_primary()
        ):
            return "another node reaches the primary"
        # Members that have just joined may have acknowledged commits.
        if not await self.store_copy.read_records():
            return "the store can't confirm the list of members"
        claim = await self.duty.claim()
        if claim is None:
            return "another node holds the duty"
        replica_set = await self.store_copy.store.find_replica_set(access.name)
        old_primary = find_term_primary(access, replica_set)
        missing = list_missing_holders(replica_set, access, old_primary)
        if len(missing) > max(0, access.evidence.synchronous_replicas - 1):
            state.missing = missing
            names = ", ".join(process.name for process in missing)
            return f"acknowledged commits may exist at {names} alone"
        term = access.evidence.term + 1
        await self.store_copy.store.announce_term(access.name, term)
        state.announced_term, state.announced_ms = term, self.clock.now_ms()
        log_event(
            Event.PROMOTION_STARTED,
            group=access.name,
            term=term,
            token=claim.duty.revision,
            reason=reason.value,
        )
        fenced_ms = await self._fence(access, term, old_primary, replica_set)
        if fenced_ms is None:
            await self._unfence(access, old_primary)
            return "too few members could be fenced"
        if not await self.duty.renew(claim):
            return await self._give_up(access, claim, old_primary)
        acknowledged_term = await self._await_invalidation(access, fenced_ms)
        if not await self.duty.renew(claim):
            return await self._give_up(access, claim, old_primary)
        try:
            # A member may have joined before all were fenced.
            replica_set = await self.store_copy.store.find_replica_set(access.name)
        except StoreUnavailable:
            await self._unfence(access, old_primary)
            raise
        fenced = await self._read_fenced(access, term, old_primary)
        leaving = frozenset(
            name for name, pool in access.pools.items() if pool.member.is_leaving
        )
        successor = choose_successor(
            fenced,
            access.evidence,
            old_primary,
            leaving,
            acknowledged_term,
            list_evacuated_members(access),
            needs_outside=needs_outside_successor(access, reason),
            missing=len(list_missing_holders(replica_set, access, old_primary)),
            ended=list_ended_members(replica_set, access),
        )
        log_event(
            Event.PROMOTION_DECIDED,
            group=access.name,
            term=term,
            successor=successor.member if successor is not None else "none",
            fenced=_format_positions(fenced.values()),
            members=",".join(sorted(access.pools)),
            missing=_format_processes(
                list_missing_holders(replica_set, access, old_primary)
            ),
            ended=",".join(sorted(list_ended_members(replica_set, access))),
            acknowledged_term=acknowledged_term,
            primary=old_primary or "none",
        )
        if access.evidence.term >= term:
            return "another promotion was faster"
        if successor is None:
            await self._unfence(access, old_primary)
            return (
                "too few members remained fenced, or they lack the commits of term "
                f"{acknowledged_term}"
            )
        if not self.duty.may_order(claim):
            await self._unfence(access, old_primary)
            return "the claim is too old to order the promotion"
        age_ms = self.clock.now_ms() - claim.requested_ms
        result = await self.promote(
            access.name, successor.member, self.name, claim.duty.revision
        )
        log_event(
            Event.PROMOTION_ORDERED,
            group=access.name,
            member=successor.member,
            position=f"{successor.position.term}.{successor.position.sequence}",
            token=claim.duty.revision,
            claim_age_ms=round(age_ms),
            result=result.value,
        )
        if result is PromotionResult.REFUSED:
            return f"the order to promote {successor.member} was refused"
        if not await self._await_primary(access, successor.member, term):
            return f"{successor.member} is not the primary yet"
        await self._unfence(access, successor.member)
        return ""

    async def _give_up(
        self, access: GroupAccess, claim: Claim, old_primary: str
    ) -> str:
        """End an attempt whose claim was lost; return why."""
        if self.duty.is_outdated(claim) and not self.duty.is_taken_over():
            # No node takes over before the lease of a lost claim has ended.
            await self._unfence(access, old_primary)
            return "the store was restored after the claim"
        # A node that has taken over the duty fences members itself, so they are not
        # unfenced here.
        return "another node has taken the duty over"

    async def _is_confirmed_by_peers(self, access: GroupAccess, primary: str) -> bool:
        responses = await self.peers.request_all(
            lambda request: VoteRequest(request, access.name, primary), VOTE_TIMEOUT_MS
        )
        votes = [
            response for response in responses.values() if isinstance(response, Vote)
        ]
        return all(vote.unreachable for vote in votes)

    async def _fence(
        self,
        access: GroupAccess,
        term: int,
        old_primary: str,
        replica_set: ReplicaSet | None = None,
    ) -> float | None:
        """Fence enough members; return the time of completion, or None on failure."""
        for _ in range(FENCE_ROUNDS):
            names = [name for name in access.pools if name != old_primary]
            for group in order_fences(access, names):
                await self._request_reports(access, group, Fence(term))
            fenced = self._list_fenced(access, term, old_primary)
            needed = count_required_fences(
                access.evidence,
                old_primary,
                missing=len(list_missing_holders(replica_set, access, old_primary)),
                ended=list_ended_members(replica_set, access) - fenced,
            )
            if len(fenced) >= needed:
                return self.clock.now_ms()
            await asyncio.sleep(FENCE_PAUSE_MS / 1000)
        return None

    async def _await_invalidation(self, access: GroupAccess, fenced_ms: float) -> int:
        """Wait until no node has valid evidence of the old term.

        Returns the newest term in which a node that responded has acknowledged a
        commit.

        The list of nodes must be read after the members were fenced: a node that
        registers later can't obtain evidence of the old term.
        """
        access.evidence.withdraw(self.clock.now_ms())
        is_complete = await self.store_copy.read_records()
        responses = await self.peers.request_all(
            lambda request: WithdrawBelief(request, access.name),
            INVALIDATE_TIMEOUT_MS,
        )
        acknowledged_term = max(
            (
                response.acknowledged_term
                for response in responses.values()
                if isinstance(response, BeliefWithdrawn)
            ),
            default=0,
        )
        acknowledged_term = max(acknowledged_term, access.evidence.acknowledged_term)
        # A process that is not running has no evidence, and one that starts discards
        # what it had when it begins to listen. If this node started recently, it may
        # not know nodes that were removed shortly before.
        age_ms = self.clock.now_ms() - self.started_ms
        if (
            is_complete
            and age_ms > DEPARTURE_MS
            and all(
                isinstance(response, BeliefWithdrawn | NotRunning)
                for response in responses.values()
            )
        ):
            return acknowledged_term
        remaining_ms = fenced_ms + EVIDENCE_VALID_MS - self.clock.now_ms()
        await asyncio.sleep(max(0.0, remaining_ms) / 1000)
        return acknowledged_term

    async def _read_fenced(
        self, access: GroupAccess, term: int, old_primary: str
    ) -> dict[str, MemberReport]:
        """Return new reports of fenced members; a restart removes a member's fence."""
        names = [name for name in access.pools if name != old_primary]
        reports = await self._request_reports(access, names, GetStatus())
        return {
            report.member: report for report in reports if report.fenced_term >= term
        }

    async def _unfence(self, access: GroupAccess, except_member: str) -> None:
        names = [name for name in access.pools if name != except_member]
        await self._request_reports(access, names, Unfence())

    async def _await_primary(self, access: GroupAccess, member: str, term: int) -> bool:
        until_ms = self.clock.now_ms() + CONFIRM_PROMOTION_MS
        while self.clock.now_ms() < until_ms:
            (report,) = await self._request_reports(access, [member], GetStatus()) or (
                None,
            )
            is_primary = report is not None and report.role is Role.PRIMARY
            if is_primary and report is not None and report.term >= term:
                return True
            if access.evidence.term >= term and access.evidence.primary:
                return True
            await asyncio.sleep(CONFIRM_POLL_MS / 1000)
        return False

    async def _request_reports(
        self, access: GroupAccess, names: list[str], statement: MemberStatement
    ) -> list[MemberReport]:
        requests: list[Awaitable[MemberReport | None]] = [
            request_report(access, pool, statement, self.organisation(), self.clock)
            for name in names
            if (pool := access.pools.get(name)) is not None
        ]
        return [
            report for report in await asyncio.gather(*requests) if report is not None
        ]

    def _list_fenced(
        self, access: GroupAccess, term: int, old_primary: str
    ) -> frozenset[str]:
        return frozenset(
            name
            for name in access.pools
            if name != old_primary
            and (report := access.evidence.find_report(name)) is not None
            and report.fenced_term >= term
        )


def _format_positions(reports: Iterable[MemberReport]) -> str:
    return ",".join(
        f"{report.member}@{report.position.term}.{report.position.sequence}"
        for report in sorted(reports, key=lambda report: report.member)
    )


def _format_processes(processes: Iterable[MemberProcess]) -> str:
    return ",".join(f"{p.name}/{p.started_ms}" for p in sorted(processes))
