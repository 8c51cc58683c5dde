"""Replaces primaries: claims the duty, fences members, orders the promotion."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.group.status import Role
from radishtrack.peer.messages import BeliefWithdrawn, Vote, VoteRequest, WithdrawBelief
from radishtrack.pooler.catalog import MemberReport
from radishtrack.pooler.control import DEPARTURE_MS, Control
from radishtrack.pooler.evidence import BELIEF_MS
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.holder_succession import RATES_DUTY
from radishtrack.pooler.monitor import ask_member
from radishtrack.pooler.peers import NotRunning, Peers
from radishtrack.pooler.ports import PromoteMember, PromotionResult, StoreUnavailable
from radishtrack.pooler.promotion import (
    Reason,
    ReplicationProgress,
    choose_successor,
    count_needed,
    find_reason,
    is_leaderless,
)
from radishtrack.pooler.promotion_duty import PromotionDuty
from radishtrack.pooler.rank import rank_node
from radishtrack.pooler.statements import Fence, GetStatus, MemberStatement, Unfence
from radishtrack.pooler.tasks import start_task

CHECK_INTERVAL_MS: Final = 100.0
"""Pause between checks of all groups; small against the time to notice a failure."""
RANK_DELAY_MS: Final = 150.0
"""Head start of each node over the next one, longer than a claim takes, so that nodes
seldom fence the same members."""
VOTE_TIMEOUT_MS: Final = 400.0
"""A peer that takes longer than its own question to the member can't be asked."""
VOTE_POLL_MS: Final = 300.0
"""Wait for the primary's answer to a peer that votes."""
VOTE_SILENCE_MS: Final = 200.0
"""A member that has answered within this time is alive; else it is asked."""
FENCE_ROUNDS: Final = 3
"""Rounds in which members that did not answer are asked again."""
FENCE_PAUSE_MS: Final = 100.0
"""Pause between these rounds."""
CONFIRM_PROMOTION_MS: Final = 2_000.0
"""Longest wait until the promoted member leads; it takes some hundred milliseconds."""
CONFIRM_POLL_MS: Final = 40.0
"""Pause between questions whether the promoted member leads."""
RETRY_MS: Final = 250.0
"""Pause after a failed attempt."""
WITHDRAW_TIMEOUT_MS: Final = 200.0
"""Nodes that do not confirm by then are waited for until their belief ends."""

MakeOrganisation = Callable[[], str]


@attrs.define(eq=False)
class Watched:
    """What the promoter remembers of one group."""

    progress: ReplicationProgress = attrs.field(factory=ReplicationProgress)
    leaderless_since_ms: float | None = None
    reason_since_ms: float | None = None
    not_before_ms: float = 0.0
    task: asyncio.Task[None] | None = None


@attrs.define(eq=False)
class Promoter:
    """Watches all groups of a node; `run` never returns."""

    name: str
    clock: Clock
    control: Control
    duty: PromotionDuty
    peers: Peers
    promote: PromoteMember
    list_groups: Callable[[], tuple[GroupAccess, ...]]
    organisation: MakeOrganisation
    watched: dict[str, Watched] = attrs.field(factory=dict)
    started_ms: float = 0.0

    async def run(self) -> None:
        """Check all groups again and again."""
        self.started_ms = self.clock.now_ms()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            for access in self.list_groups():
                self.check(access)

    def check(self, access: GroupAccess) -> None:
        """Start an attempt if the group's primary has to be replaced."""
        now_ms = self.clock.now_ms()
        watched = self.watched.setdefault(access.name, Watched())
        watched.progress.observe(access.evidence, now_ms)
        if not is_leaderless(access.evidence):
            watched.leaderless_since_ms = None
        elif watched.leaderless_since_ms is None:
            watched.leaderless_since_ms = now_ms
        if watched.task is not None and not watched.task.done():
            return
        reason = find_reason(
            access, watched.progress, watched.leaderless_since_ms, now_ms
        )
        if reason is None:
            watched.reason_since_ms = None
            return
        if watched.reason_since_ms is None:
            watched.reason_since_ms = now_ms
        start_ms = watched.reason_since_ms + self._rank(access.name) * RANK_DELAY_MS
        if now_ms < max(start_ms, watched.not_before_ms) or self.duty.is_taken():
            return
        if not self.control.is_available:
            return
        watched.task = start_task(
            self._attempt(access, watched, reason), f"promotion in {access.name}"
        )

    async def vote(self, group: str, member: str) -> bool:
        """Answer a peer: whether this node finds that a primary can't serve."""
        access = next((a for a in self.list_groups() if a.name == group), None)
        if access is None:
            return True
        watched = self.watched.get(group)
        pool = access.pools.get(member)
        if pool is None or not pool.is_reachable or access.evidence.primary != member:
            return True
        if watched is not None and watched.reason_since_ms is not None:
            return True
        if self.clock.now_ms() - pool.last_response_ms <= VOTE_SILENCE_MS:
            return False
        # An idle member is not heard of; only a question tells whether it lives.
        try:
            async with asyncio.timeout(VOTE_POLL_MS / 1000):
                (report,) = await self._ask_all(access, [member], GetStatus()) or (
                    None,
                )
        except TimeoutError:
            return True
        return report is None

    def _rank(self, group: str) -> int:
        """Return this node's place in the group's order of promoting nodes."""
        # The node that polls for all notices a failure first.
        poller = self.control.find_duty(RATES_DUTY).duty.holder
        return rank_node(self.name, group, self.control.nodes, poller)

    async def _attempt(
        self, access: GroupAccess, watched: Watched, reason: Reason
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
            outcome = await self._replace(access, reason)
        except StoreUnavailable as error:
            outcome = f"store: {error}"
        finally:
            watched.not_before_ms = self.clock.now_ms() + RETRY_MS
        event = Event.PROMOTION_FAILED if outcome else Event.PROMOTION_WON
        log_event(
            event,
            group=access.name,
            primary=evidence.primary or "none",
            term=evidence.term,
            detail=outcome or "promoted",
            elapsed_ms=round(self.clock.now_ms() - started_ms),
        )

    async def _replace(self, access: GroupAccess, reason: Reason) -> str:
        """Run one attempt; return why it failed, or nothing."""
        old_primary = access.presumed_primary()
        if reason.needs_votes and not await self._is_agreed(access, old_primary):
            return "another node reaches the primary"
        # Members that have just joined may hold acknowledged commits.
        if not await self.control.confirm():
            return "the store can't confirm the list of members"
        claim = await self.duty.claim()
        if claim is None:
            return "another node has the duty"
        term = access.evidence.term + 1
        await self.control.store.announce_term(access.name, term)
        log_event(
            Event.PROMOTION_STARTED,
            group=access.name,
            term=term,
            token=claim.duty.revision,
            reason=reason.value,
        )
        fenced_ms = await self._fence(access, term, old_primary)
        if fenced_ms is None:
            await self._unfence(access, old_primary)
            return "too few members could be fenced"
        # A node that has taken over fences by itself; its members are left alone.
        if not await self.duty.renew(claim):
            return "another node has taken the duty over"
        await self._await_withdrawal(access, fenced_ms)
        if not await self.duty.renew(claim):
            return "another node has taken the duty over"
        fenced = await self._read_fenced(access, term, old_primary)
        leaving = frozenset(
            name for name, pool in access.pools.items() if pool.member.is_leaving
        )
        successor = choose_successor(fenced, access.evidence, old_primary, leaving)
        if access.evidence.term >= term:
            return "another promotion was faster"
        if successor is None:
            await self._unfence(access, old_primary)
            return "members did not stay fenced"
        if not self.duty.may_order(claim):
            await self._unfence(access, old_primary)
            return "the last step took longer than a claim lasts"
        age_ms = self.clock.now_ms() - claim.asked_ms
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
            return f"{successor.member} does not lead yet"
        await self._unfence(access, successor.member)
        return ""

    async def _is_agreed(self, access: GroupAccess, primary: str) -> bool:
        answers = await self.peers.ask_all(
            lambda request: VoteRequest(request, access.name, primary), VOTE_TIMEOUT_MS
        )
        votes = [answer for answer in answers.values() if isinstance(answer, Vote)]
        return all(vote.unreachable for vote in votes)

    async def _fence(
        self, access: GroupAccess, term: int, old_primary: str
    ) -> float | None:
        """Fence enough members; return when that was complete, or None."""
        for _ in range(FENCE_ROUNDS):
            names = [name for name in access.pools if name != old_primary]
            await self._ask_all(access, names, Fence(term))
            needed = count_needed(access.evidence, old_primary)
            if self._count_fenced(access, term, old_primary) >= needed:
                return self.clock.now_ms()
            await asyncio.sleep(FENCE_PAUSE_MS / 1000)
        return None

    async def _await_withdrawal(self, access: GroupAccess, fenced_ms: float) -> None:
        """Wait until no node believes in the old term any more.

        The list of nodes has to be read after the members were fenced: a node that
        registers later can't gather evidence of the old term.
        """
        access.evidence.withdraw_belief(self.clock.now_ms())
        is_complete = await self.control.confirm()
        answers = await self.peers.ask_all(
            lambda request: WithdrawBelief(request, access.name),
            WITHDRAW_TIMEOUT_MS,
        )
        # A process that is not running believes nothing, and one that starts gathers
        # its evidence after it listens. A young node may not know who has just left.
        age_ms = self.clock.now_ms() - self.started_ms
        if (
            is_complete
            and age_ms > DEPARTURE_MS
            and all(
                isinstance(answer, BeliefWithdrawn | NotRunning)
                for answer in answers.values()
            )
        ):
            return
        remaining_ms = fenced_ms + BELIEF_MS - self.clock.now_ms()
        await asyncio.sleep(max(0.0, remaining_ms) / 1000)

    async def _read_fenced(
        self, access: GroupAccess, term: int, old_primary: str
    ) -> dict[str, MemberReport]:
        """Ask again, because a member that restarts forgets that it is fenced."""
        names = [name for name in access.pools if name != old_primary]
        reports = await self._ask_all(access, names, GetStatus())
        return {
            report.member: report for report in reports if report.fenced_term >= term
        }

    async def _unfence(self, access: GroupAccess, except_member: str) -> None:
        names = [name for name in access.pools if name != except_member]
        await self._ask_all(access, names, Unfence())

    async def _await_primary(self, access: GroupAccess, member: str, term: int) -> bool:
        until_ms = self.clock.now_ms() + CONFIRM_PROMOTION_MS
        while self.clock.now_ms() < until_ms:
            (report,) = await self._ask_all(access, [member], GetStatus()) or (None,)
            leads = report is not None and report.role is Role.PRIMARY
            if leads and report is not None and report.term >= term:
                return True
            if access.evidence.term >= term and access.evidence.primary:
                return True
            await asyncio.sleep(CONFIRM_POLL_MS / 1000)
        return False

    async def _ask_all(
        self, access: GroupAccess, names: list[str], statement: MemberStatement
    ) -> list[MemberReport]:
        asked: list[Awaitable[MemberReport | None]] = [
            ask_member(access, pool, statement, self.organisation(), self.clock)
            for name in names
            if (pool := access.pools.get(name)) is not None
        ]
        return [report for report in await asyncio.gather(*asked) if report is not None]

    def _count_fenced(self, access: GroupAccess, term: int, old_primary: str) -> int:
        return sum(
            report.fenced_term >= term
            for name in access.pools
            if name != old_primary
            and (report := access.evidence.find_report(name)) is not None
        )
