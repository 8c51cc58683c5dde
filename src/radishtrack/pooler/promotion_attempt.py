"""One attempt to replace a group's primary, from the votes to the order.

A member is ordered only if its log is proven to have every acknowledged commit; see
`log_proof`. Where its end proves that, fewer fenced members suffice, so an attempt goes
on with those. While the old primary serves, the successor may receive what it lacks.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Iterable, Iterator, Mapping
from typing import TYPE_CHECKING, Final

import attrs

from radishtrack.events import Event, log_event
from radishtrack.group.status import Role
from radishtrack.peer.messages import Vote, VoteRequest
from radishtrack.pooler.acknowledgements import (
    AcknowledgedRange,
    FleetAcknowledgements,
)
from radishtrack.pooler.catalog import MemberProcess, MemberReport
from radishtrack.pooler.evacuation.succession import (
    list_evacuated_members,
    order_fences,
)
from radishtrack.pooler.evidence_withdrawal import withdraw_evidence
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.log_proof import (
    UNLISTED_WAIT_MS,
    Proof,
    find_position_proof,
    may_lack_commits,
)
from radishtrack.pooler.monitor import request_report
from radishtrack.pooler.order_mark import (
    ORDER_WINDOW_MS,
    PromotionOrder,
    get_order_term,
    make_next_mark,
    make_void_mark,
)
from radishtrack.pooler.ports import (
    PromotionResult,
    ReplicaSet,
    StoredOrder,
    StoreUnavailable,
)
from radishtrack.pooler.promotion import (
    PromotionReason,
    choose_successor,
    count_required_fences,
    needs_outside_successor,
)
from radishtrack.pooler.promotion_duty import DUTY_LEASE_MS, Claim
from radishtrack.pooler.replica_set import (
    find_term_primary,
    list_missing_holders,
    may_lack_members,
)
from radishtrack.pooler.statements import Fence, GetStatus, MemberStatement, Unfence
from radishtrack.session.position import Position

if TYPE_CHECKING:
    from radishtrack.pooler.promoter import GroupMembers, Promoter

VOTE_TIMEOUT_MS: Final = 400.0
"""Time limit for a peer's vote, longer than the peer's own poll of the primary. Later
votes are not counted."""
FENCE_ROUNDS: Final = 3
"""Attempts to fence enough members, since some may not respond to the first."""
FENCE_PAUSE_MS: Final = 100.0
"""Pause between these attempts."""
CONFIRM_PROMOTION_MS: Final = 2_000.0
"""Longest wait until the promoted member is the primary; usually it takes some hundred
milliseconds."""
CONFIRM_POLL_MS: Final = 40.0
"""Interval of polls whether the promoted member is the primary."""
CATCH_UP_MS: Final = 300.0
"""Longest wait until a successor has received what a serving primary has; replicas
receive within milliseconds."""
CATCH_UP_POLL_MS: Final = 20.0
"""Interval of polls of its position."""


MAX_LIST_WAIT_MS: Final = 2_200.0
"""Longest wait with fenced members until the list of members counts. With the time
until nodes' evidence has expired, it ends within that for an order."""

LIST_WAIT_POLL_MS: Final = 40.0
"""Interval of checks whether the old primary responds in that time."""

UNCONFIRMED_LIST: Final = "the store can't confirm the list of members"
UNSETTLED_LIST: Final = "the store may not list all members yet"
"""Outcome of an attempt soon after an outage of the store."""
UNKNOWN_COMMITS: Final = "a member that is not listed yet may have acknowledged commits"
"""Outcome of an attempt if not all nodes can tell what they have acknowledged."""


@attrs.define(eq=False)
class PromotionAttempt:
    """One attempt of a node; call `run` once.

    Parameters
    ----------
    promoter : Promoter
        The node's promoter.
    access : GroupAccess
        The group.
    reason : PromotionReason
        Why its primary is replaced.
    since_ms : float
        Since when there is a reason, in milliseconds.
    """

    promoter: Promoter
    access: GroupAccess
    reason: PromotionReason
    since_ms: float
    started_ms: float = 0.0
    claim: Claim | None = None
    term: int = 0
    """Term that the successor will lead."""
    old_primary: str = ""
    replica_set: ReplicaSet | None = None
    acknowledged: FleetAcknowledgements = attrs.field(
        factory=lambda: FleetAcknowledgements(AcknowledgedRange(), math.inf)
    )
    members: GroupMembers | None = None
    """The group's members when the attempt began; None before."""
    listed_ms: float = -math.inf
    """When the list of members was last requested."""
    is_fence_complete: bool = False
    """Whether so many members were fenced that no node obtains new evidence."""
    is_withdrawn: bool = False
    """Whether all nodes have confirmed that they acknowledge no more commits."""
    final_position: Position | None = None
    """Position of the old primary after that; None if it is not known."""
    missing: tuple[MemberProcess, ...] = ()
    """Processes without which the promotion was withheld."""
    proof: Proof | None = None
    """Proof for the chosen successor; None if there is none."""
    is_ordered: bool = False
    """Whether an order was sent and not refused."""
    is_withheld: bool = False
    """Whether acknowledged commits may be in logs that this attempt could not read."""
    retry_ms: float = math.inf
    """When to try again if it was withheld; infinite without a certain time."""

    async def run(self) -> str:
        """Replace the primary; return why it failed, or an empty string.

        Raises
        ------
        StoreUnavailable
            If a call of the store failed.
        """
        self.started_ms = self.promoter.clock.now_ms()
        if self.reason.needs_votes and not await self._is_confirmed_by_peers():
            return "another node reaches the primary"
        # Members that have just joined may have acknowledged commits.
        if not await self._read_members():
            return UNCONFIRMED_LIST
        self.members = self.promoter.list_members(self.access)
        await self._read_replica_set()
        if self._serves_at_present() and not self._knows_all_members():
            if self.access.evidence.fenced_members():
                await self._end_abandoned_fences()
            # A list that may be short is complete within seconds.
            return self._withhold() if self._list_missing() else UNSETTLED_LIST
        claim = self.claim = await self.promoter.duty.claim()
        if claim is None:
            return "another node holds the duty"
        self.term = self.access.evidence.term + 1
        await self._announce(claim)
        fenced_ms = await self.fence()
        if fenced_ms is None:
            await self._unfence(self.old_primary)
            return "too few members could be fenced"
        if not await self.promoter.duty.renew(claim):
            return await self.give_up(claim)
        try:
            return await self._order_successor(claim, fenced_ms)
        except StoreUnavailable:
            await self._unfence(self.old_primary)
            raise

    async def _end_abandoned_fences(self) -> None:
        """Unfence replicas that a lost node has fenced, so that they receive again."""
        self.claim = await self.promoter.duty.claim()
        self.term = self.access.evidence.term + 1
        last = await self.promoter.store_copy.store.find_order(self.access.name)
        if self._find_pending(last.order) is None:
            await self._unfence(self.old_primary)

    async def _order_successor(self, claim: Claim, fenced_ms: float) -> str:
        """Choose a successor among the fenced members, and order its promotion."""
        last = await self.promoter.store_copy.store.find_order(self.access.name)
        pending = self._find_pending(last.order)
        # The fenced logs don't grow, so the later choice is usually the same.
        candidate = self._choose_by_position(
            dict(self._list_fenced()),
            needed=1,
            preferred="" if pending is None else pending.member,
        )
        if candidate is None:
            await self._unfence(self.old_primary)
            return "no fenced member may be promoted"
        if pending is not None and candidate.member != pending.member:
            await self._unfence(self.old_primary)
            name = pending.member or "another member"
            return f"an earlier order to promote {name} may still take effect"
        # Nodes that confirm their copy of the store from now on read the mark.
        marked_ms = self.promoter.clock.now_ms()
        stored = await self._record_order(candidate.member, last)
        if stored is None:
            await self._unfence(self.old_primary)
            return "another node has marked an order"
        try:
            expires_ms = marked_ms + ORDER_WINDOW_MS
            return await self._order_marked(
                claim, fenced_ms, candidate.member, expires_ms
            )
        finally:
            if not self.is_ordered and pending is None:
                await self._void_order(stored)

    async def _order_marked(
        self, claim: Claim, fenced_ms: float, candidate: str, expires_ms: float
    ) -> str:
        """Order the candidate, for which the store has a mark, before that expires."""
        withdrawal = await withdraw_evidence(self.promoter, self.access, fenced_ms)
        self.acknowledged = withdrawal.acknowledged
        self.is_withdrawn = withdrawal.is_confirmed
        if not await self.promoter.duty.renew(claim):
            return await self.give_up(claim)
        # A member may have joined before all were fenced.
        await self._read_replica_set()
        fenced: Mapping[str, MemberReport] = await self._read_fenced()
        if self._may_receive_more(fenced, candidate):
            fenced = await self._let_catch_up(fenced, candidate)
        if self._needs_list(fenced, candidate):
            await self._await_list()
            if not await self._read_members():
                await self._unfence(self.old_primary)
                return UNCONFIRMED_LIST
            if not await self.promoter.duty.renew(claim):
                return await self.give_up(claim)
            fenced = await self._read_fenced()
            if self._may_receive_more(fenced, candidate):
                fenced = await self._let_catch_up(fenced, candidate)
        successor = self._choose(fenced, candidate)
        self._log_decision(fenced, successor)
        if self.access.evidence.term >= self.term:
            return "another promotion was faster"
        if successor is None:
            await self._unfence(self.old_primary)
            return self._withhold()
        if successor.member != candidate:
            # The store names the member of an order before it is given.
            await self._unfence(self.old_primary)
            return f"{candidate} has lost its fence or its log"
        is_marked = self.promoter.clock.now_ms() < expires_ms
        if not (is_marked and self.promoter.duty.may_order(claim)):
            await self._unfence(self.old_primary)
            return "the claim or the mark is too old to order the promotion"
        return await self._order(successor, claim)

    def _needs_list(self, fenced: Mapping[str, MemberReport], candidate: str) -> bool:
        """Return whether nothing but the list of members can prove a log now."""
        if not self.access.evidence.synchronous_replicas:
            return False
        report = fenced.get(candidate)
        return report is not None and self._find_proof(report.position) is None

    async def _await_list(self) -> None:
        """Wait until the list counts as complete, unless that takes too long.

        A primary that responds again may tell what it has acknowledged.
        """
        clock, due_ms = self.promoter.clock, self.since_ms + UNLISTED_WAIT_MS
        if due_ms - clock.now_ms() > MAX_LIST_WAIT_MS or self._serves_at_present():
            return
        while clock.now_ms() < due_ms and not self._serves_at_present():
            await asyncio.sleep(LIST_WAIT_POLL_MS / 1000)

    async def _record_order(self, member: str, last: StoredOrder) -> StoredOrder | None:
        """Mark an order in the store; return None if another node has marked one."""
        # A restored store may have lost the last mark.
        last_mark = self.access.evidence.order_mark
        if last.order is not None:
            last_mark = max(last_mark, last.order.mark)
        order = PromotionOrder(make_next_mark(self.term, last_mark), member)
        return await self.promoter.store_copy.store.record_order(
            self.access.name, order, last.revision
        )

    async def _void_order(self, stored: StoredOrder) -> None:
        """Record that a marked order was not given, so that others may be."""
        assert stored.order is not None
        order = PromotionOrder(make_void_mark(stored.order.mark), "")
        try:
            await self.promoter.store_copy.store.record_order(
                self.access.name, order, stored.revision
            )
        except StoreUnavailable as error:
            # The mark expires by itself.
            log_event(Event.PLATFORM_UNAVAILABLE, step=error.step, reason=error.reason)

    async def _order(self, successor: MemberReport, claim: Claim) -> str:
        age_ms = self.promoter.clock.now_ms() - claim.requested_ms
        self.is_ordered = True
        result = await self.promoter.promote(
            self.access.name,
            successor.member,
            self.promoter.name,
            claim.duty.revision,
        )
        log_event(
            Event.PROMOTION_ORDERED,
            group=self.access.name,
            member=successor.member,
            position=f"{successor.position.term}.{successor.position.sequence}",
            token=claim.duty.revision,
            claim_age_ms=round(age_ms),
            result=result.value,
        )
        if result is PromotionResult.REFUSED:
            self.is_ordered = False
            return f"the order to promote {successor.member} was refused"
        if not await self._await_primary(successor.member):
            return f"{successor.member} is not the primary yet"
        await self._unfence(successor.member)
        return ""

    async def give_up(self, claim: Claim) -> str:
        """End an attempt whose claim was lost; return why."""
        self.claim, duty = claim, self.promoter.duty
        if duty.is_outdated(claim) and not duty.is_taken_over():
            # No node takes over before the lease of a lost claim has ended.
            await self._unfence(self.old_primary)
            return "the store was restored after the claim"
        # A node that has taken over the duty fences members itself, so they are not
        # unfenced here.
        return "another node has taken the duty over"

    def _withhold(self) -> str:
        self.is_withheld = True
        self.missing = self._list_missing()
        if self.missing:
            names = ", ".join(process.name for process in self.missing)
            return f"acknowledged commits may exist at {names} alone"
        if not self._knows_all_members():
            return UNSETTLED_LIST
        due_ms = self.since_ms + UNLISTED_WAIT_MS
        if self.listed_ms < due_ms:
            # The next attempt is likely to take as long.
            elapsed_ms = self.promoter.clock.now_ms() - self.started_ms
            self.retry_ms = due_ms - elapsed_ms
            return UNKNOWN_COMMITS
        most = _format_position(self.acknowledged.commits.most)
        return f"the members that respond may lack commits up to {most}"

    async def _is_confirmed_by_peers(self) -> bool:
        primary = self.access.presumed_primary()
        responses = await self.promoter.peers.request_all(
            lambda request: VoteRequest(request, self.access.name, primary),
            VOTE_TIMEOUT_MS,
        )
        votes = [
            response for response in responses.values() if isinstance(response, Vote)
        ]
        return all(vote.unreachable for vote in votes)

    async def _read_members(self) -> bool:
        """Read the list of members; return whether the store has confirmed it."""
        requested_ms = self.promoter.clock.now_ms()
        if not await self.promoter.store_copy.read_records():
            return False
        self.listed_ms = requested_ms
        return True

    async def _read_replica_set(self) -> None:
        store = self.promoter.store_copy.store
        self.replica_set = await store.find_replica_set(self.access.name)
        self.old_primary = find_term_primary(self.access, self.replica_set)

    def _serves_at_present(self) -> bool:
        """Return whether the primary responds, so that fences interrupt its work."""
        pool = self.access.pools.get(self.old_primary)
        return pool is not None and pool.is_reachable

    def _knows_all_members(self) -> bool:
        """Return whether every member that may have received commits is known."""
        slack = max(0, self.access.evidence.synchronous_replicas - 1)
        if len(self._list_missing()) > slack:
            return False
        return self.promoter.has_settled_list() or not may_lack_members(
            self.replica_set, self.access, self.old_primary
        )

    def _list_missing(self) -> tuple[MemberProcess, ...]:
        return list_missing_holders(self.replica_set, self.access, self.old_primary)

    async def _announce(self, claim: Claim) -> None:
        store = self.promoter.store_copy.store
        await store.announce_term(self.access.name, self.term)
        self.promoter.record_announced(self.access.name, self.term)
        log_event(
            Event.PROMOTION_STARTED,
            group=self.access.name,
            term=self.term,
            token=claim.duty.revision,
            reason=self.reason.value,
        )

    async def fence(self) -> float | None:
        """Fence the members; return the time of completion, or None on failure.

        Fewer members than usual suffice if the others refuse connections or the primary
        does not respond: the nodes may know that one of these has all commits.
        """
        names = [name for name in self.access.pools if name != self.old_primary]
        for _ in range(FENCE_ROUNDS):
            for group in order_fences(self.access, names):
                await self._request_reports(group, Fence(self.term))
            fenced = dict(self._list_fenced())
            if len(fenced) >= self._count_required():
                self.is_fence_complete = True
                return self.promoter.clock.now_ms()
            if self._refuse_connections(name for name in names if name not in fenced):
                return self.promoter.clock.now_ms() if fenced else None
            await asyncio.sleep(FENCE_PAUSE_MS / 1000)
        if not fenced or self._serves_at_present():
            return None
        return self.promoter.clock.now_ms()

    def _refuse_connections(self, names: Iterable[str]) -> bool:
        pools = (self.access.pools.get(name) for name in names)
        return all(pool is None or pool.refused_ms is not None for pool in pools)

    def _count_required(self) -> int:
        return count_required_fences(
            self.access.evidence,
            self.old_primary,
            missing=len(self._list_missing()),
        )

    def _find_pending(self, order: PromotionOrder | None) -> PromotionOrder | None:
        """Return the last order if it may still take effect."""
        if order is None or get_order_term(order.mark) != self.term:
            return None
        evidence, now_ms = self.access.evidence, self.promoter.clock.now_ms()
        evidence.observe_order(order.mark, now_ms)
        return None if now_ms >= evidence.order_expires_ms() else order

    def _choose(
        self, fenced: Mapping[str, MemberReport], preferred: str
    ) -> MemberReport | None:
        """Return a member whose log has every acknowledged commit, or None."""
        has_replicas = self.access.evidence.synchronous_replicas > 0
        successor = self._choose_by_position(fenced, needed=1, preferred=preferred)
        if successor is not None and has_replicas:
            self.proof = self._find_proof(successor.position)
            if self.proof is not None:
                return successor
        if not self._knows_all_members():
            return None
        successor = self._choose_by_position(fenced, preferred=preferred)
        if successor is None or (
            has_replicas and self._may_lack_commits(successor.position)
        ):
            return None
        self.proof = Proof.MEMBERS
        return successor

    def _find_proof(self, position: Position) -> Proof | None:
        return find_position_proof(
            position,
            self.acknowledged,
            self.access.evidence.find_contained_ms(position),
            self.final_position,
        )

    def _may_lack_commits(self, position: Position) -> bool:
        waited_ms = self.listed_ms - self.since_ms
        return may_lack_commits(position, self.acknowledged, waited_ms)

    def _may_receive_more(
        self, fenced: Mapping[str, MemberReport], candidate: str
    ) -> bool:
        """Return whether a candidate may lack commits that it can still receive.

        No node acknowledges more of them: all have confirmed it, or their evidence has
        expired and the fences keep them from new evidence.
        """
        is_final = self.is_withdrawn or self.is_fence_complete
        can_receive = is_final and self._serves_at_present()
        return can_receive and self._needs_list(fenced, candidate)

    async def _let_catch_up(
        self, fenced: Mapping[str, MemberReport], candidate: str
    ) -> Mapping[str, MemberReport]:
        """Let a candidate receive what the old primary has; return the fenced members.

        Between the fence and the withdrawal, nodes may acknowledge commits that only a
        member has received which is on no list.
        """
        target = await self._read_final_position()
        if target is None:
            return fenced
        self.final_position = target
        if fenced[candidate].position >= target:
            return fenced
        await self._request_reports([candidate], Unfence())
        until_ms = self.promoter.clock.now_ms() + CATCH_UP_MS
        while self.promoter.clock.now_ms() < until_ms:
            (report,) = await self._request_reports([candidate], GetStatus()) or (None,)
            if report is not None and report.position >= target:
                break
            await asyncio.sleep(CATCH_UP_POLL_MS / 1000)
        await self._request_reports([candidate], Fence(self.term))
        return await self._read_fenced()

    async def _read_final_position(self) -> Position | None:
        """Return the position of the old primary if it still leads its term."""
        until_ms = self.promoter.clock.now_ms() + CATCH_UP_MS
        while self.promoter.clock.now_ms() < until_ms:
            reports = await self._request_reports([self.old_primary], GetStatus())
            if reports:
                (report,) = reports
                is_primary = report.role is Role.PRIMARY
                is_in_term = report.term == self.access.evidence.term
                return report.position if is_primary and is_in_term else None
            # Only the connection may have ended.
            await asyncio.sleep(CATCH_UP_POLL_MS / 1000)
        return None

    def _choose_by_position(
        self,
        fenced: Mapping[str, MemberReport],
        *,
        needed: int | None = None,
        preferred: str = "",
    ) -> MemberReport | None:
        leaving = frozenset(
            name for name, pool in self.access.pools.items() if pool.member.is_leaving
        )
        return choose_successor(
            fenced,
            self.access.evidence,
            self.old_primary,
            leaving,
            self.acknowledged.commits.least.term,
            list_evacuated_members(self.access),
            needs_outside=needs_outside_successor(self.access, self.reason),
            missing=len(self._list_missing()),
            needed=needed,
            preferred=preferred,
        )

    def _log_decision(
        self, fenced: Mapping[str, MemberReport], successor: MemberReport | None
    ) -> None:
        commits = self.acknowledged.commits
        now_ms = self.promoter.clock.now_ms()
        final = self.final_position
        log_event(
            Event.PROMOTION_DECIDED,
            group=self.access.name,
            term=self.term,
            successor=successor.member if successor is not None else "none",
            fenced=",".join(
                f"{name}@{_format_position(report.position)}"
                for name, report in sorted(fenced.items())
            ),
            members=",".join(sorted(self.access.pools)),
            missing=",".join(f"{p.name}/{p.started_ms}" for p in self._list_missing()),
            proof="none" if self.proof is None else self.proof.value,
            required=self._count_required(),
            knows_all_members=self._knows_all_members(),
            acknowledged_least=_format_position(commits.least),
            acknowledged_most=_format_position(commits.most),
            acknowledged_age_ms=round(min(now_ms - self.acknowledged.since_ms, now_ms))
            if math.isfinite(self.acknowledged.since_ms)
            else "unknown",
            is_withdrawn=self.is_withdrawn,
            primary=self.old_primary or "none",
            primary_position="unknown" if final is None else _format_position(final),
        )

    async def _read_fenced(self) -> dict[str, MemberReport]:
        """Return new reports of fenced members; a restart removes a member's fence."""
        names = [name for name in self.access.pools if name != self.old_primary]
        reports = await self._request_reports(names, GetStatus())
        return {
            report.member: report
            for report in reports
            if report.fenced_term >= self.term
        }

    async def _unfence(self, except_member: str) -> None:
        """Unfence the members before another node may claim the duty and fence them."""
        if self.claim is None:
            return
        names = [name for name in self.access.pools if name != except_member]
        lease_end_ms = self.claim.requested_ms + DUTY_LEASE_MS
        remaining_ms = lease_end_ms - self.promoter.clock.now_ms()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000):
                await self._request_reports(names, Unfence())

    async def _await_primary(self, member: str) -> bool:
        clock, evidence = self.promoter.clock, self.access.evidence
        until_ms = clock.now_ms() + CONFIRM_PROMOTION_MS
        while clock.now_ms() < until_ms:
            (report,) = await self._request_reports([member], GetStatus()) or (None,)
            is_primary = report is not None and report.role is Role.PRIMARY
            if is_primary and report is not None and report.term >= self.term:
                return True
            if evidence.term >= self.term and evidence.primary:
                return True
            await asyncio.sleep(CONFIRM_POLL_MS / 1000)
        return False

    async def _request_reports(
        self, names: Iterable[str], statement: MemberStatement
    ) -> list[MemberReport]:
        promoter, access = self.promoter, self.access
        requests: list[Awaitable[MemberReport | None]] = [
            request_report(
                access, pool, statement, promoter.organisation(), promoter.clock
            )
            for name in names
            if (pool := access.pools.get(name)) is not None
        ]
        return [
            report for report in await asyncio.gather(*requests) if report is not None
        ]

    def _list_fenced(self) -> Iterator[tuple[str, MemberReport]]:
        """Yield the fenced members and their last reports."""
        for name in self.access.pools:
            report = self.access.evidence.find_report(name)
            if (
                name != self.old_primary
                and report is not None
                and report.fenced_term >= self.term
            ):
                yield name, report


def _format_position(position: Position) -> str:
    return f"{position.term}.{position.sequence}"
