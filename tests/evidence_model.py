"""A random model of one group's members, a promoter, and one node that reads.

The node is a `GroupAccess` that gets the reports and lists that a node would get. The
model knows which commits were acknowledged, and checks each read that the node permits.
"""

from __future__ import annotations

import itertools
import math
import random
from collections import Counter
from collections.abc import Iterator
from typing import Final

import attrs

from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.pooler.catalog import Member, ReadClass, Route
from radishtrack.pooler.evidence import EVIDENCE_VALID_MS
from radishtrack.pooler.group_access import (
    UNLISTED_EXPIRY_MS,
    GroupAccess,
    make_group_access,
)
from radishtrack.pooler.ports import MemberLink
from radishtrack.session.position import Position
from tests.member_model import Entry, ModelMember, make_listed_member

STEP_MS: Final = 20.0
POLL_MS: Final = 900.0
COPY_MS: Final = 700.0
PROMOTE_MS: Final = 300.0
LISTEN_MS: Final = 100.0
"""Time from the start of the node until its peers reach it."""
ROUTES: Final = (
    Route("strict", "g", ReadClass.STRICT, 0.0, 1e3, 100.0, 1, True),
    Route("aged", "g", ReadClass.AGED, 1_500.0, 1e3, 100.0, 1, True),
)
ENTRY_MS: Final = 3_600.0
"""Silence after which the store removes a member's entry."""


@attrs.define
class Promotion:
    """A promotion under way, by the promoter's steps."""

    term: int
    old_primary: str
    started_ms: float
    fenced_ms: float | None = None
    order_ms: float | None = None
    successor: str = ""
    ordered: bool = False


@attrs.frozen
class ModelOptions:
    """What happens to the node and to the members.

    Parameters
    ----------
    has_store : bool
        Whether the node reaches the store and its peers; if not, its calls fail.
    replaces_members : bool
        Whether members are lost and replaced under new names.
    restarts_node : bool
        Whether the node stops and starts again.
    has_faults : bool
        Whether members fail and promotions happen.
    """

    has_store: bool = False
    replaces_members: bool = False
    restarts_node: bool = False
    has_faults: bool = True


@attrs.define(eq=False)
class EvidenceModel:
    """State of one history; construct it with `make_model`."""

    random: random.Random
    options: ModelOptions
    time: ManualTime
    members: dict[str, ModelMember]
    leader: ModelMember
    """Primary of the newest term, even if it does not run."""
    access: GroupAccess = attrs.field(init=False)
    cuts: set[frozenset[str]] = attrs.field(factory=set)
    """Pairs of members, or of a member and the node, that don't reach each other."""
    cut_until_ms: dict[frozenset[str], float] = attrs.field(factory=dict)
    acknowledged: list[tuple[float, Entry]] = attrs.field(factory=list)
    """Acknowledged commits, and when they were."""
    acknowledged_length: int = 0
    """Length of the leader's log up to the last of them."""
    announced_term: int = 0
    promotion: Promotion | None = None
    next_promotion_ms: float = 1_000.0
    confirmed_ms: float = 0.0
    """When the node's copy of the store was read."""
    starts_ms: float = 0.0
    """When the node has started, or will."""
    numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    names: Iterator[int] = attrs.field(factory=lambda: itertools.count(4))
    reads: Counter[ReadClass] = attrs.field(factory=Counter)
    stale: list[str] = attrs.field(factory=list)
    """Descriptions of reads that lacked an acknowledged commit."""

    def __attrs_post_init__(self) -> None:
        self.access = make_model_access(self)

    @property
    def now_ms(self) -> float:
        return self.time.value_ms

    def run(self, duration_ms: float) -> None:
        """Play a history."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.time.advance(STEP_MS)
            if self.options.has_faults:
                self.disturb()
            self.replicate()
            self.commit()
            if self.options.has_faults:
                self.promote()
            self.replicate()
            self.update_node()
            self.read()

    @property
    def is_node_up(self) -> bool:
        """Whether the node runs; its peers reach it a moment later."""
        return self.now_ms >= self.starts_ms

    @property
    def listening_ms(self) -> float:
        """When the promoter can first reach the node."""
        return self.starts_ms + LISTEN_MS

    def reaches(self, first: str, second: str) -> bool:
        """Return whether two members, or a member and the node, are connected."""
        return frozenset((first, second)) not in self.cuts

    def disturb(self) -> None:
        """Start and end faults at random."""
        now_ms = self.now_ms
        for pair, until_ms in tuple(self.cut_until_ms.items()):
            if now_ms >= until_ms:
                del self.cut_until_ms[pair]
        self.cuts = set(self.cut_until_ms)
        for member in tuple(self.members.values()):
            if not member.is_up and now_ms >= member.up_at_ms:
                keeps_log = member.is_primary or self.random.random() < 0.7
                member.restart(keeps_log=keeps_log)
            elif member.is_up and self._happens(0.15):
                member.is_up = False
                member.up_at_ms = now_ms + self.random.choice((60.0, 300.0, 2_500.0))
            elif self._happens(0.06):
                member.is_deaf = not member.is_deaf and not member.is_primary
        if self._happens(0.4):
            self._cut(*self.random.sample([*self.members, "node"], 2))
        if self.options.replaces_members and self._happens(0.08):
            self._replace_member()

    def _happens(self, per_s: float) -> bool:
        return self.random.random() < per_s * STEP_MS / 1_000.0

    def _cut(self, first: str, second: str) -> None:
        until_ms = self.now_ms + self.random.uniform(300.0, 6_000.0)
        self.cut_until_ms[frozenset((first, second))] = until_ms

    def _replace_member(self) -> None:
        """Replace a replica by a new member that has what a random other one has."""
        lost = self.random.choice(list(self.members.values()))
        others = [m for m in self.members.values() if m is not lost]
        if lost.is_primary or not self._has_all_commits(others):
            return
        del self.members[lost.name]
        donor = self.random.choice(others)
        name = f"m{next(self.names)}"
        self.members[name] = ModelMember(
            name, term=donor.term, log=list(donor.log), listed_ms=self.now_ms
        )

    def _has_all_commits(self, members: list[ModelMember]) -> bool:
        logs = [member.log for member in members]
        return all(
            any(entry.is_in(log) for log in logs)
            for _, entry in self.acknowledged
            if entry.is_in(self.leader.log)
        )

    def replicate(self) -> None:
        """Let replicas follow the newest primary that they reach."""
        primaries = [m for m in self.members.values() if m.is_primary and m.is_up]
        for member in self.members.values():
            if member.is_primary or not member.is_up or member.is_deaf:
                continue
            if member.fenced_term > member.term or self.now_ms < member.resumes_ms:
                continue
            reachable = (
                primary
                for primary in primaries
                if primary.term >= member.term
                and self.reaches(member.name, primary.name)
            )
            followed = max(reachable, key=lambda m: m.term, default=None)
            if followed is not None and self.random.random() < 0.7:
                member.term, member.log = followed.term, followed.log.copy()
        for primary in primaries:
            if primary.term < self.leader.term and self.leader.is_up:
                primary.is_primary = not self.reaches(primary.name, self.leader.name)

    def commit(self) -> None:
        """Let each primary commit; it is acknowledged once one replica has it."""
        leader = self.leader
        for primary in self.members.values():
            if primary.is_primary and primary.is_up and self._happens(8.0):
                place = len(primary.log) + 1
                primary.log.append(Entry(primary.term, place, next(self.numbers)))
        self.replicate()
        if self.promotion is not None:
            # Nodes that know of it have no evidence, so they acknowledge nothing.
            self.acknowledged_length = len(leader.log)
            return
        replicas = [m.log for m in self.members.values() if m is not leader]
        for entry in leader.log[self.acknowledged_length :]:
            if entry.term == leader.term and any(entry.is_in(log) for log in replicas):
                self.acknowledged.append((self.now_ms, entry))
                self.acknowledged_length = entry.sequence

    def promote(self) -> None:
        """Advance the promotion under way, or start one."""
        if self.promotion is None:
            if self.now_ms >= self.next_promotion_ms:
                self._start_promotion()
            return
        promotion = self.promotion
        others = [m for m in self.members.values() if m.name != promotion.old_primary]
        if promotion.fenced_ms is None:
            self._fence(promotion, others)
        elif not promotion.ordered:
            assert promotion.order_ms is not None
            if self.now_ms >= promotion.order_ms:
                self._order(promotion, others)
        elif promotion.order_ms is not None and (
            self.now_ms >= promotion.order_ms + PROMOTE_MS
        ):
            self._complete(promotion, others)

    def _start_promotion(self) -> None:
        leader = self.leader
        if self.random.random() < 0.7:
            for name in self.members:
                self._cut(leader.name, name)
        if self.random.random() < 0.5:
            self._cut("node", self.random.choice(list(self.members)))
        term = leader.term + 1
        self.announced_term = max(self.announced_term, term)
        self.promotion = Promotion(term, leader.name, self.now_ms)

    def _fence(self, promotion: Promotion, others: list[ModelMember]) -> None:
        for member in others:
            if member.is_up and member.term < promotion.term:
                member.fenced_term = max(member.fenced_term, promotion.term)
        if all(member.fenced_term == promotion.term for member in others):
            promotion.fenced_ms = self.now_ms
            promotion.order_ms = self.now_ms + EVIDENCE_VALID_MS
            if self.options.has_store:
                promotion.order_ms = self.now_ms
                if self.now_ms >= self.listening_ms:
                    self.access.evidence.withdraw(self.now_ms)
        elif self.now_ms >= promotion.started_ms + 400.0:
            self._end_promotion(others)

    def _order(self, promotion: Promotion, others: list[ModelMember]) -> None:
        fenced = [m for m in others if m.is_up and m.fenced_term == promotion.term]
        if len(fenced) < len(others):
            self._end_promotion(others)
            return
        successor = max(fenced, key=lambda member: member.position)
        if not self._has_all_commits([successor]):
            # The group's replica set withholds such a promotion.
            self._end_promotion(others)
            return
        promotion.successor, promotion.ordered = successor.name, True
        promotion.order_ms = self.now_ms

    def _complete(self, promotion: Promotion, others: list[ModelMember]) -> None:
        successor = self.members.get(promotion.successor)
        if successor and successor.is_up and successor.fenced_term == promotion.term:
            successor.is_primary, successor.term = True, promotion.term
            successor.fenced_term = 0
            self.leader = successor
        self._end_promotion(others)

    def _end_promotion(self, others: list[ModelMember]) -> None:
        for member in others:
            if member.is_up and member.fenced_term:
                member.fenced_term = 0
                member.resumes_ms = self.now_ms + self.random.uniform(0.0, 200.0)
        self.promotion = None
        self.next_promotion_ms = self.now_ms + self.random.uniform(500.0, 3_000.0)

    def update_node(self) -> None:
        """Give the node the reports and the list that it would get now."""
        now_ms = self.now_ms
        if self.options.restarts_node and self._happens(0.4):
            self.access = make_model_access(self)
            self.starts_ms = now_ms + 200.0
        if not self.is_node_up:
            return
        if now_ms < self.listening_ms + STEP_MS:
            self.access.evidence.invalidate(now_ms)
        if self.options.has_store and (
            now_ms >= self.confirmed_ms + COPY_MS or self.confirmed_ms < self.starts_ms
        ):
            self.read_store()
        for member in list(self.members.values()):
            pool = self.access.pools.get(member.name)
            if pool is None or now_ms < member.polled_ms + POLL_MS:
                continue
            is_reached = member.is_up and self.reaches("node", member.name)
            pool.is_reachable = is_reached
            if is_reached and self.random.random() < 0.4:
                member.polled_ms = now_ms
                report = member.make_report()
                self.access.evidence.observe_report(report, now_ms, now_ms)
        if self.now_ms - self.confirmed_ms < UNLISTED_EXPIRY_MS:
            for name, pool in self.access.pools.items():
                if name not in self.members:
                    pool.is_reachable = False
            self.access.expire_members(now_ms - UNLISTED_EXPIRY_MS)

    def read_store(self) -> None:
        now_ms = self.now_ms
        for member in self.members.values():
            if member.is_up:
                member.listed_ms = now_ms
        listed = tuple(
            make_listed_member(member)
            for member in self.members.values()
            if now_ms - member.listed_ms < ENTRY_MS
        )
        self.access.evidence.announced_term = self.announced_term
        self.access.set_members(listed, now_ms, self.confirmed_ms)
        self.confirmed_ms = now_ms

    def read(self) -> None:
        """Run the reads that the node permits now, and check what they see."""
        if not self.is_node_up:
            return
        for route in ROUTES:
            plan = self.access.plan_read(route, None, "o")
            if plan is not None:
                for name in plan.members:
                    self._read_at(name, plan.min_position, route)

    def _read_at(self, name: str, min_position: Position | None, route: Route) -> None:
        member = self.members.get(name)
        if member is None or not member.is_up or not self.reaches("node", name):
            return
        if min_position is not None and not member.has_position(min_position):
            return
        self.reads[route.read_class] += 1
        for acknowledged_ms, entry in reversed(self.acknowledged):
            if acknowledged_ms > self.now_ms - route.max_age_ms:
                continue
            if not entry.is_in(self.leader.log):
                # A promotion rolled it back.
                continue
            if not entry.is_in(member.log):
                self.stale.append(
                    f"{self.now_ms:.0f} ms: {route.read_class.value} read at {name}, "
                    f"whose log ends at {member.position}, lacks {entry} of "
                    f"{acknowledged_ms:.0f} ms; minimum position {min_position}"
                )
            return


async def _refuse_link(
    _member: Member, _organisation: str, _timeout_ms: float
) -> MemberLink:
    raise NotImplementedError("the model sends no statements")


def make_model_access(model: EvidenceModel) -> GroupAccess:
    """Return a group whose knowledge of the store is the model's."""

    def find_known_ms() -> float:
        is_known = model.now_ms >= model.listening_ms <= model.confirmed_ms
        return model.confirmed_ms if is_known else -math.inf

    def has_lost_store() -> bool:
        return model.now_ms >= model.listening_ms and not model.options.has_store

    clock = make_manual_clock(model.time)
    access = make_group_access("g", "z", clock, _refuse_link)
    access.evidence.find_known_ms = find_known_ms
    access.evidence.has_lost_store = has_lost_store
    return access


def make_model(seed: int, options: ModelOptions) -> EvidenceModel:
    """Return a group of three members in term 1 that the node knows."""
    members = {name: ModelMember(name) for name in ("m1", "m2", "m3")}
    members["m1"].is_primary = True
    model = EvidenceModel(
        random.Random(seed), options, ManualTime(), members, members["m1"]
    )
    model.read_store()
    return model
