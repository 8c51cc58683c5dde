"""Guards acknowledged commits and strict reads against any order of events.

Several promoters and holders work on a model of the members. Every statement and
response may be lost, delayed, repeated or reordered, members stop and restart, and
nodes use outdated records.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import ClassVar

import attrs
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from group_model import ModelMember, ModelPlatform, RefusedStatement, make_model
from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack.group import promotion_messages as messages
from radishtrack.group.detection import was_promoted
from radishtrack.group.evidence import (
    ServePrimary,
    ServeReplicas,
    ServeReplicasAtLeast,
    StatusRound,
    choose_strict,
    is_in_service,
)
from radishtrack.group.member_steps import (
    Statement,
    Steps,
    fence_steps,
    follow_steps,
    promote_steps,
)
from radishtrack.group.outcome import (
    Confirmed,
    DidNotRun,
    RanInHistory,
    StillUnknown,
    position_of_commit,
    position_of_read,
    resolve_commit,
    sequence_before,
)
from radishtrack.group.promotion import PromotionAttempt, make_promotion_attempt
from radishtrack.group.record import GroupRecord, format_record, parse_record
from radishtrack.group.status import Group, MemberStatus, Role
from radishtrack.session.position import Position, is_contained

DELIVERIES = (
    "carried out",
    "carried out",
    "carried out",
    "response lost",
    "lost",
    "repeated",
)
SEEDS = st.integers(0, 2**16)
MIX_STEPS = 80
MIX = {
    "replicate": 8,
    "write": 4,
    "read_strictly": 4,
    "continue_request": 4,
    "refresh": 4,
    "stop_or_restart": 1,
    "mark_leaving": 1,
    "start_attempt": 1,
    "continue_jobs": 3,
    "replace_primary": 2,
    "repair": 2,
    "pass_time": 1,
}
VOTERS = ("p", "q", "r")
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=30,
    stateful_step_count=20,
    database=None,
    # Shrinking a schedule takes minutes and would outlast the whole test run.
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


@attrs.define(eq=False)
class Job:
    """A call in flight; `finish` receives how it is delivered."""

    member: str
    finish: Callable[[str], None]


@attrs.define
class Promoter:
    """A node that promotes, with its cached record of the group."""

    group: Group
    attempt: PromotionAttempt | None = None
    jobs: list[Job] = attrs.field(factory=list)
    """Calls in flight."""

    def add(self, member: str, finish: Callable[[str], None]) -> None:
        """Start a call; an empty member means the platform."""
        self.jobs.append(Job(member, finish))


@attrs.define(eq=False)
class Request:
    """A commit or a strict read at a holder."""

    group: Group
    required_commits: set[int]
    """Commits acknowledged before the request began."""
    number: int = 0
    primary: str = ""
    is_read: bool = False
    commit_numbers: set[int] | None = None
    position: Position | None = None
    before: int = 0
    statuses: dict[str, MemberStatus] = attrs.field(factory=dict)


class GroupMachine(RuleBasedStateMachine):
    """Random schedules of one group; subclasses set the number of members."""

    size: ClassVar[int] = 3
    spares: ClassVar[int] = 0
    """Members that are not in the first list."""
    mix: ClassVar[dict[str, int]] = MIX

    @initialize()
    def _set_up(self) -> None:
        self.now_ms = 0.0
        self.members: dict[str, ModelMember]
        self.platform: ModelPlatform
        self.members, self.platform = make_model(self.size, self.spares)
        self.promoters = [Promoter(self.platform.group) for _ in range(2)]
        self.holder_groups = [self.platform.group for _ in range(2)]
        self.requests: list[Request] = []
        self.acknowledged: set[int] = set()
        self.discarded: set[int] = set()
        self.leaving: frozenset[str] = frozenset()
        self.confirmed = Position(0, 0)
        self.next_number = 1
        self.attempts = 0
        self.steps = 0
        self.names = sorted(self.members)

    def _make_random(self, seed: int) -> Random:
        # Draws the small steps of a schedule: if hypothesis drew them, most schedules
        # would end before a promotion does.
        self.steps += 1
        return Random(f"{seed} {self.steps}")

    @rule(seed=SEEDS)
    def _mix(self, seed: int) -> None:
        """Run many small steps: most faults need more than one rule can reach."""
        random = self._make_random(seed)
        for name in random.choices(
            list(self.mix), list(self.mix.values()), k=MIX_STEPS
        ):
            getattr(self, f"_{name}")(random.randrange(2), random)

    @rule(name=st.sampled_from(sorted(MIX)), index=st.integers(0, 1), seed=SEEDS)
    def _step(self, name: str, index: int, seed: int) -> None:
        getattr(self, f"_{name}")(index, self._make_random(seed))

    # Members and the platform

    def _replicate(self, _: int, random: Random) -> None:
        for name in random.sample(self.names, random.choice((1, 2, self.size))):
            member = self.members[name]
            source = self.members.get(member.source)
            if source is not None and member.is_up and source.is_up:
                member.replicate(source, random.choice((1, 2, 100)))

    def _stop_or_restart(self, _: int, random: Random) -> None:
        for member in self.members.values():
            member.is_up = random.random() < 0.8
        self.platform.is_up = random.random() < 0.8

    def _mark_leaving(self, _: int, random: Random) -> None:
        count = random.choice((0, 0, 1, 2))
        self.leaving = frozenset(random.sample(self.names, count))

    def _refresh(self, index: int, random: Random) -> None:
        if random.random() < 0.5:
            self.holder_groups[index] = self.platform.group
        elif self.promoters[index].attempt is None:
            self.promoters[index].group = self.platform.group

    # Promotions

    def _start_attempt(self, index: int, random: Random) -> None:
        first = random.choice(
            (messages.FencingAbandoned(), messages.PrimarySuspected())
        )
        self._start(self.promoters[index], first)
        self._run_jobs(self.promoters[index], random)

    def _continue_jobs(self, index: int, random: Random) -> None:
        self._run_jobs(self.promoters[index], random)

    def _pass_time(self, _: int, random: Random) -> None:
        self.now_ms += random.choice((100.0, 600.0))
        for promoter in self.promoters:
            if promoter.attempt is not None:
                self._deliver(promoter, promoter.attempt, messages.DeadlinePassed())

    def _repair(self, index: int, random: Random) -> None:
        promoter = self.promoters[index]
        if promoter.attempt is None and random.random() < 0.7:
            promoter.group = self.platform.group
        for name in promoter.group.all_members:
            steps = follow_steps(promoter.group)
            if name == promoter.group.primary:
                statuses = (member.status() for member in self.members.values())
                if was_promoted(statuses, promoter.group):
                    continue
                steps = promote_steps(promoter.group)
            self._command(promoter, name, steps, lambda message: None)
        self._run_jobs(promoter, random)

    def _replace_primary(self, index: int, random: Random) -> None:
        """Promote as if only this node could not reach some members."""
        promoter = self.promoters[index]
        promoter.group = self.platform.group
        promoter.jobs.clear()
        # Cuts off as many members as a fence quorum allows, mostly with the primary.
        missing = len(promoter.group.members) - promoter.group.fence_quorum
        others = [name for name in self.names if name != promoter.group.primary]
        random.shuffle(others)
        order = [promoter.group.primary, *others]
        cut_off = set(order[:missing] if random.random() < 0.8 else others[:missing])
        self._start(promoter, messages.FencingAbandoned())
        for _ in range(random.choice((12, 20, 60))):
            if promoter.jobs:
                job = promoter.jobs.pop(0)
                job.finish("lost" if job.member in cut_off else "carried out")
        if random.random() < 0.5:
            self.holder_groups[index] = self.platform.group

    def _start(self, promoter: Promoter, first: messages.Message) -> None:
        self.attempts += 1
        promoter.attempt = make_promotion_attempt(
            promoter.group, f"attempt {self.attempts}", VOTERS, self.leaving
        )
        self._deliver(promoter, promoter.attempt, first)

    def _run_jobs(self, promoter: Promoter, random: Random) -> None:
        """Finish some calls in random order; some runs lose or repeat many of them."""
        reliable = random.random() < 0.6
        cut_off = set(random.sample(self.names, random.choice((0, 1, 1, 2))))
        for _ in range(random.choice((1, 3, 10, 60))):
            if not promoter.jobs:
                return
            job = promoter.jobs.pop(random.randrange(len(promoter.jobs)))
            delivery = "carried out" if reliable else random.choice(DELIVERIES)
            job.finish("lost" if job.member in cut_off else delivery)

    def _deliver(
        self, promoter: Promoter, attempt: PromotionAttempt, message: messages.Message
    ) -> None:
        if promoter.attempt is not attempt:
            return
        for action in attempt.handle(message, self.now_ms):
            self._perform(promoter, attempt, action)
        if attempt.is_over:
            promoter.attempt = None

    def _perform(
        self, promoter: Promoter, attempt: PromotionAttempt, action: messages.Action
    ) -> None:
        def deliver(message: messages.Message) -> None:
            self._deliver(promoter, attempt, message)

        match action:
            case messages.CollectVotes():
                deliver(messages.VotesReceived(dict.fromkeys(VOTERS, True)))
            case messages.CollectConfirmed():
                deliver(messages.ConfirmedReceived(self._find_confirmed()))
            case messages.ReadGroup():
                promoter.add("", lambda delivery: self._read(deliver, delivery))
            case messages.RecordGroup(group, version):
                promoter.add(
                    "",
                    lambda delivery: self._record(
                        promoter, deliver, group, version, delivery
                    ),
                )
            case messages.FenceMembers(names, group, term):
                for name in names:
                    self._command(promoter, name, fence_steps(group, term), deliver)
            case messages.PromoteMember(name, group):
                self._command(promoter, name, promote_steps(group), deliver)
            case messages.FollowMember(name, group):
                self._command(promoter, name, follow_steps(group), deliver)
            case messages.AdoptGroup(group):
                promoter.group = group

    def _find_confirmed(self) -> Position:
        """Return what voters report: nothing, since members that keep logs suffice."""
        return Position(0, 0)

    def _read(self, deliver: Callable[[messages.Message], None], delivery: str) -> None:
        if not self.platform.is_up or delivery in ("lost", "response lost"):
            deliver(messages.PlatformDidNotRespond())
        else:
            deliver(messages.GroupRead(self.platform.group))

    def _record(
        self,
        promoter: Promoter,
        deliver: Callable[[messages.Message], None],
        group: Group,
        version: int,
        delivery: str,
    ) -> None:
        if delivery == "repeated":
            # The first copy is still in flight when the platform does not respond.
            promoter.add(
                "",
                lambda later_delivery: self._record(
                    promoter, deliver, group, version, later_delivery
                ),
            )
        if not self.platform.is_up or delivery in ("lost", "repeated"):
            deliver(messages.PlatformDidNotRespond())
            return
        written = self.platform.write(group, version)
        if written is not None:
            self._check_record()
        if delivery == "response lost":
            deliver(messages.PlatformDidNotRespond())
        else:
            deliver(
                messages.RecordConflicted()
                if written is None
                else messages.GroupRecorded(written)
            )

    def _command(
        self,
        promoter: Promoter,
        name: str,
        steps: Steps,
        deliver: Callable[[messages.Message], None],
    ) -> None:
        responses: dict[str, Callable[[MemberStatus], messages.Message]] = {
            "fence_steps": messages.MemberFenced,
            "follow_steps": lambda status: messages.MemberFollowed(name),
            "promote_steps": lambda status: (
                messages.MemberPromoted(name)
                if status.role is Role.PRIMARY
                else messages.MemberRefused(name, "not primary")
            ),
        }
        make_response = responses[steps.__name__]

        def send(statement: Statement) -> None:
            promoter.add(name, lambda delivery: execute(statement, delivery))

        def execute(statement: Statement, delivery: str) -> None:
            member = self.members[name]
            if not member.is_up or delivery == "lost":
                deliver(messages.MemberUnreachable(name))
                return
            try:
                status = member.run(statement)
            except RefusedStatement:
                deliver(messages.MemberRefused(name, "stale term"))
                return
            if delivery == "repeated":
                promoter.add(
                    name,
                    lambda later_delivery: self._repeat(
                        name, statement, later_delivery
                    ),
                )
            if delivery == "response lost":
                deliver(messages.MemberUnreachable(name))
                return
            try:
                send(steps.send(status))
            except StopIteration as stop:
                deliver(make_response(stop.value))

        send(next(steps))

    def _repeat(self, name: str, statement: Statement, delivery: str) -> None:
        member = self.members[name]
        if member.is_up and delivery != "lost":
            try:
                member.run(statement)
            except RefusedStatement:
                return

    # Requests at holders

    def _write(self, index: int, random: Random) -> None:
        group = self.holder_groups[index]
        member = self.members[group.primary]
        before = sequence_before(member.status(), group)
        if member.is_up and member.commit(self.next_number):
            request = Request(group, set(), self.next_number, group.primary)
            request.before = before
            self.next_number += 1
            self._begin(request, index, random)

    def _read_strictly(self, index: int, random: Random) -> None:
        request = Request(
            self.holder_groups[index], set(self.acknowledged), is_read=True
        )
        self._begin(request, index, random)

    def _continue_request(self, index: int, random: Random) -> None:
        for request in random.sample(self.requests, len(self.requests)):
            self._advance(request, index, random)

    def _begin(self, request: Request, index: int, random: Random) -> None:
        # Few open requests, so that most of them are continued.
        self.requests = [*self.requests[-5:], request]
        for _ in range(random.choice((0, 1, 4))):
            self._advance(request, index, random)
            self._replicate(index, random)

    def _advance(self, request: Request, index: int, random: Random) -> None:
        if request not in self.requests:
            return
        if request.primary and request.position is None:
            self._read_position(request)
            return
        for name in random.sample(
            self.names, random.choice((1, 2, self.size, self.size))
        ):
            if self.members[name].is_up:
                request.statuses[name] = self.members[name].status()
        if request.position is not None:
            self._resolve(request, self.holder_groups[index])
        else:
            self._choose(request)

    def _read_position(self, request: Request) -> None:
        if not self.members[request.primary].is_up:
            return
        status = self.members[request.primary].status()
        find_position = position_of_read if request.is_read else position_of_commit
        request.position = find_position(status, request.group)
        if request.position is None:
            self.requests.remove(request)

    def _resolve(self, request: Request, group: Group) -> None:
        status_round = StatusRound(0.0, request.statuses)
        assert request.position is not None
        outcome = resolve_commit(
            request.position, request.group.term, status_round, group, request.before
        )
        match outcome:
            case StillUnknown():
                return
            case Confirmed() if request.is_read:
                self._check_read(request, request.commit_numbers)
            case Confirmed():
                self._check_current(request)
                self._acknowledge(request)
            case RanInHistory() if not request.is_read:
                self._acknowledge(request)
            case DidNotRun() if not request.is_read:
                self.discarded.add(request.number)
        self.requests.remove(request)

    def _acknowledge(self, request: Request) -> None:
        assert request.position is not None
        self.acknowledged.add(request.number)
        self.confirmed = Position(
            max(self.confirmed.term, request.group.term),
            max(self.confirmed.sequence, request.position.sequence),
        )

    def _choose(self, request: Request) -> None:
        status_round = StatusRound(0.0, request.statuses)
        names: tuple[str, ...] = ()
        match choose_strict(status_round, request.group):
            case ServeReplicas(members, _):
                names = members
            case ServeReplicasAtLeast(position):
                names = tuple(
                    status.member
                    for status in request.statuses.values()
                    if is_in_service(status, request.group)
                    and status.position.sequence >= position.sequence
                )
            case ServePrimary():
                request.primary = request.group.primary
                request.commit_numbers = self.members[request.primary].commit_numbers()
                request.statuses = {}
        for name in names:
            self._check_read(request, self.members[name].commit_numbers())
        if names:
            self.requests.remove(request)

    # Checks

    def _check_read(self, request: Request, commit_numbers: set[int] | None) -> None:
        assert commit_numbers is not None
        assert request.required_commits <= commit_numbers, (
            "a strict read missed an acknowledged commit"
        )

    def _check_current(self, request: Request) -> None:
        group = self.platform.group
        position = Position(request.group.term, request.position.sequence)
        assert is_contained(position, group.term, group.history), (
            "a commit of a replaced primary was acknowledged"
        )

    def _check_record(self) -> None:
        group = self.platform.group
        kept = self.members[group.primary].log[: group.history[-1].sequence]
        commit_numbers = {number for _, number in kept}
        assert self.acknowledged <= commit_numbers, (
            "a promotion lost an acknowledged commit"
        )
        assert not self.discarded & commit_numbers, (
            "a commit that did not run came back"
        )

    @invariant()
    def _one_primary_for_each_term(self) -> None:
        primaries = {
            term: names for term, names in self.platform.primaries.items() if names
        }
        assert all(len(names) == 1 for names in primaries.values())

    @invariant()
    def _discarded_commits_are_in_no_current_log(self) -> None:
        term = self.platform.group.term
        for member in self.members.values():
            if member.term == term:
                assert not self.discarded & member.commit_numbers()

    def teardown(self) -> None:
        """Restart everything; a promotion must then complete without a loss."""
        if not hasattr(self, "members"):
            return
        for member in self.members.values():
            member.is_up = True
        self.platform.is_up = True
        group = self.platform.group
        promoter = Promoter(group)
        attempt = make_promotion_attempt(group, "last", VOTERS)
        promoter.attempt = attempt
        self._deliver(promoter, attempt, messages.FencingAbandoned())
        while promoter.jobs:
            promoter.jobs.pop(0).finish("carried out")
        assert self.platform.group.term == group.term + 1
        group = self.platform.group
        for member in map(self.members.__getitem__, group.members):
            if member.source in self.members:
                member.replicate(self.members[member.source], 1_000)
            assert member.term == group.term
            assert self.acknowledged <= member.commit_numbers()
            assert not self.discarded & member.commit_numbers()


class ChangingMembersMachine(GroupMachine):
    """Operators replace members one after the other."""

    spares = 2
    mix: ClassVar[dict[str, int]] = MIX | {"change_members": 1}

    def _change_members(self, _: int, random: Random) -> None:
        group = self.platform.group
        endpoints = {
            name: MemberEndpoint(name, "host", 3306, 33062, "oslo-a")
            for name in self.names
        }
        value = format_record(GroupRecord(group, endpoints))
        listed = sorted(value["members"])
        listed.remove(random.choice(listed))
        listed.append(
            random.choice([name for name in self.names if name not in listed])
        )
        value["members"] = {
            name: {"host": "host", "port": 3306, "admin_port": 33062, "zone": "oslo-a"}
            for name in listed
        }
        changed = parse_record(group.database, group.version + 1, value)
        self.platform.group = changed.group


class LostLogMachine(GroupMachine):
    """Members start again without their logs while another one has all commits.

    Not covered: a member that loses its fence with its log while a promotion counts it
    or a node with an outdated record sends it statements, and strict reads.
    """

    mix: ClassVar[dict[str, int]] = MIX | {"lose_log": 1, "read_strictly": 0}

    def _lose_log(self, _: int, random: Random) -> None:
        name = random.choice(self.names)
        is_copied = any(
            self.acknowledged <= other.commit_numbers()
            and len(other.log) >= self.confirmed.sequence
            for other in self.members.values()
            if other.name != name
        )
        is_used = self.members[name].status().is_fenced or any(
            job.member == name for promoter in self.promoters for job in promoter.jobs
        )
        is_counted = any(
            name in promoter.attempt.fenced
            for promoter in self.promoters
            if promoter.attempt is not None
        )
        if is_copied and not is_used and not is_counted:
            self.members[name].restart_without_data()

    def _repair(self, index: int, random: Random) -> None:
        if self.promoters[index].attempt is None:
            self.promoters[index].group = self.platform.group
            super()._repair(index, random)

    def _find_confirmed(self) -> Position:
        return self.confirmed


class FiveMemberMachine(GroupMachine):
    """Five members, of which the primary and one replica are no quorum."""

    size = 5


@pytest.mark.parametrize(
    "machine", [GroupMachine, FiveMemberMachine, ChangingMembersMachine, LostLogMachine]
)
def test_no_schedule_loses_an_acknowledged_commit(
    machine: type[GroupMachine],
) -> None:
    run_state_machine_as_test(machine, settings=SETTINGS)
