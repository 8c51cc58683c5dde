"""Runs promotions of one database and repairs members that missed one."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Coroutine
from typing import Any, Final

import attrs

from radishtrack.backend.member_commands import (
    MemberCommands,
    RefusedError,
    UnreachableError,
)
from radishtrack.backend.monitor import Monitor
from radishtrack.events import Event, log_event
from radishtrack.group.detection import (
    SUSPICION_MS,
    FencingWatch,
    start_delay_ms,
    was_promoted,
)
from radishtrack.group.promotion import PromotionAttempt, make_promotion_attempt
from radishtrack.group.promotion_messages import (
    Action,
    AdoptGroup,
    CollectConfirmed,
    CollectVotes,
    ConfirmedReceived,
    DeadlinePassed,
    FenceMembers,
    FencingAbandoned,
    FollowMember,
    GroupRead,
    GroupRecorded,
    MemberFenced,
    MemberFollowed,
    MemberPromoted,
    MemberRefused,
    MemberUnreachable,
    Message,
    PlatformDidNotRespond,
    PrimaryResponded,
    PrimarySuspected,
    PromoteMember,
    ReadGroup,
    RecordConflicted,
    RecordGroup,
    VotesReceived,
)
from radishtrack.group.promotion_state import Step
from radishtrack.group.record import GroupRecord, keep_term_members
from radishtrack.group.status import Group, MemberStatus, Role
from radishtrack.proxy.group_store import (
    GroupStore,
    StoreConflictError,
    StoreUnavailableError,
)
from radishtrack.proxy.promoter_context import (
    PromoterContext,
    RequestConfirmed,
    RequestVotes,
)
from radishtrack.proxy.switchover import Switchover
from radishtrack.session.position import Position

TICK_MS: Final = 100.0
"""Time between two checks of the members' statuses."""

PAUSE_MS: Final = 1_000.0
"""Time between two attempts, two repairs of a member or two reads of the record."""

PLATFORM_TIMEOUT_MS: Final = 500.0
"""Timeout of a call to the platform, which is one step of an attempt."""

CONFIRMED_TIMEOUT_MS: Final = 250.0
"""Timeout of the request for confirmed positions, which every promotion waits for."""

VOTES_TIMEOUT_MS: Final = 1_500.0
"""Timeout of the request for votes; longer than a step, so that the other votes count
even if one voter is down."""


class Promoter:
    """Promotes members of one database; see `make_promoter`."""

    def __init__(
        self,
        context: PromoterContext,
        record: GroupRecord,
        monitor: Monitor,
        store: GroupStore,
        commands: MemberCommands,
        request_votes: RequestVotes,
        request_confirmed: RequestConfirmed,
    ) -> None:
        self.context = context
        self.record = record
        self.monitor = monitor
        self.store = store
        self.commands = commands
        self.request_votes = request_votes
        self.request_confirmed = request_confirmed
        self.fencing = FencingWatch()
        self.suspected_ms: float | None = None
        self.not_before_ms = 0.0
        self.switchover = Switchover(context, monitor, commands)
        self.repaired_ms: dict[str, float] = {}
        self.record_read_ms = 0.0
        self.members_recorded_ms = 0.0
        self.attempt: PromotionAttempt | None = None
        self.messages: asyncio.Queue[Message] = asyncio.Queue()
        self.tasks: set[asyncio.Task[None]] = set()
        self.loop_task: asyncio.Task[None] | None = None

    @property
    def database(self) -> str:
        """Name of the database."""
        return self.record.group.database

    def start(self) -> None:
        """Start to check the members periodically."""
        self.loop_task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Cancel all tasks; another holder completes an attempt that is under way."""
        tasks = [*self.tasks]
        if self.loop_task is not None:
            tasks.append(self.loop_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_record(self, record: GroupRecord) -> None:
        """Use a newer record, for example from a watch on the platform."""
        current = self.record.group
        if record.group.version <= current.version or record.group.term < current.term:
            return
        record = keep_term_members(record, self.record)
        self.record = record
        self.monitor.update_group(record.group, record.endpoints)

    def restore_record(self, version: int) -> None:
        """Write the record of the known term again, which the platform has lost.

        Parameters
        ----------
        version : int
            Version of the object that contains the earlier term.
        """
        self._spawn(self._write_lost_record(version))

    async def _write_lost_record(self, version: int) -> None:
        group = self.record.group
        try:
            async with asyncio.timeout(PLATFORM_TIMEOUT_MS / 1000):
                written = await self.store.write(self.record, version)
        except (StoreConflictError, StoreUnavailableError, TimeoutError):
            # Another holder has written it, or the next read of the record repeats it.
            return
        log_event(
            Event.RECORD_RESTORED, object=f"groups/{group.database}", term=group.term
        )
        restored = attrs.evolve(group, version=written)
        self.update_record(attrs.evolve(self.record, group=restored))

    def _record_term_members(self, now_ms: float) -> None:
        """Write the members of the term, if the platform's object lacks them."""
        is_due = now_ms - self.members_recorded_ms >= PAUSE_MS
        if self.record.has_term_members or self.context.get_rank() != 0 or not is_due:
            return
        self.members_recorded_ms = now_ms
        self._spawn(self._write_term_members())

    async def _write_term_members(self) -> None:
        try:
            async with asyncio.timeout(PLATFORM_TIMEOUT_MS / 1000):
                await self.store.write(self.record, self.record.group.version)
                record = await self.store.read(self.database)
        except (StoreConflictError, StoreUnavailableError, TimeoutError):
            return
        self.update_record(record)

    async def _run(self) -> None:
        while True:
            trigger = self._find_trigger(self.monitor.clock.now_ms())
            if trigger is None:
                now_ms = self.monitor.clock.now_ms()
                statuses = self._list_recent_statuses(now_ms)
                if await self.switchover.prepare(self.record, statuses):
                    trigger = FencingAbandoned()
            if trigger is None:
                self._repair(self.monitor.clock.now_ms())
                self._record_term_members(self.monitor.clock.now_ms())
                await asyncio.sleep(TICK_MS / 1000)
                continue
            await self._run_attempt(trigger)
            self.not_before_ms = self.monitor.clock.now_ms() + PAUSE_MS

    def _find_trigger(self, now_ms: float) -> Message | None:
        group = self.record.group
        rank = self.context.get_rank()
        self.fencing.observe(self._list_recent_statuses(now_ms), group, now_ms)
        if not self.monitor.is_suspected(group.primary):
            self.suspected_ms = None
        elif self.suspected_ms is None:
            self.suspected_ms = now_ms
        if now_ms < self.not_before_ms:
            return None
        if self.fencing.is_abandoned(now_ms, rank):
            return FencingAbandoned()
        if self.suspected_ms is None:
            return None
        due_ms = self.suspected_ms + start_delay_ms(rank)
        return PrimarySuspected() if now_ms >= due_ms else None

    def _list_recent_statuses(self, now_ms: float) -> list[MemberStatus]:
        return [
            status
            for member, status in self.monitor.latest_statuses.items()
            if now_ms - self.monitor.answered_poll_sent_ms(member) <= SUSPICION_MS
        ]

    async def _run_attempt(self, trigger: Message) -> None:
        attempt = make_promotion_attempt(
            self.record.group,
            f"{self.context.node}-{uuid.uuid4()}",
            self.context.list_voters(),
            self.context.list_leaving_members(),
        )
        self.attempt = attempt
        self.messages = asyncio.Queue()
        primary = self.record.group.primary
        event = (
            Event.PRIMARY_SUSPECTED
            if isinstance(trigger, PrimarySuspected)
            else Event.PROMOTION_STARTED
        )
        log_event(event, database=self.database, primary=primary)
        message = trigger
        while True:
            previous_step = attempt.state
            for action in attempt.handle(message, self.monitor.clock.now_ms()):
                self._perform(action)
            self._log_step(attempt, previous_step)
            if attempt.is_over:
                return
            message = await self._next_message(attempt, primary)

    async def _next_message(self, attempt: PromotionAttempt, primary: str) -> Message:
        while True:
            if not self.messages.empty():
                return self.messages.get_nowait()
            now_ms = self.monitor.clock.now_ms()
            if attempt.deadline_ms is not None and now_ms >= attempt.deadline_ms:
                return DeadlinePassed()
            wait_ms = TICK_MS
            if attempt.deadline_ms is not None:
                wait_ms = min(wait_ms, attempt.deadline_ms - now_ms)
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    return await self.messages.get()
            except TimeoutError:
                can_stop = attempt.state in (Step.VOTING, Step.READING)
                if can_stop and not self.monitor.is_suspected(primary):
                    return PrimaryResponded()

    def _log_step(self, attempt: PromotionAttempt, previous_step: Step) -> None:
        if attempt.state is previous_step:
            return
        event = {
            Step.READING: Event.PROMOTION_STARTED,
            Step.INSTALLING: Event.PROMOTION_WON,
            Step.LOST: Event.PROMOTION_LOST,
            Step.FAILED: Event.PROMOTION_FAILED,
        }.get(attempt.state)
        if event is not None:
            log_event(
                event,
                database=self.database,
                term=attempt.new_term,
                attempt=attempt.attempt_id,
                reason=attempt.reason,
            )

    def _perform(self, action: Action) -> None:
        match action:
            case CollectVotes():
                self._spawn(self._collect_votes(self.record.group.primary))
            case CollectConfirmed():
                self._spawn(self._collect_confirmed())
            case ReadGroup():
                self._spawn(self._read_group())
            case FenceMembers(members, _, term):
                for member in members:
                    self._spawn(self._fence(member, term))
            case RecordGroup(group, expected_version):
                self._spawn(self._write_group(group, expected_version))
            case PromoteMember():
                self._spawn(self._promote())
            case FollowMember(member):
                self._spawn(self._follow(member))
            case AdoptGroup(group):
                self.update_record(
                    GroupRecord(
                        group,
                        {
                            member: endpoint
                            for member, endpoint in self.record.endpoints.items()
                            if member in group.all_members
                        },
                    )
                )

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _collect_votes(self, primary: str) -> None:
        messages = self.messages
        votes: dict[str, bool] = {}
        try:
            async with asyncio.timeout(VOTES_TIMEOUT_MS / 1000):
                votes.update(await self.request_votes(self.database, primary))
        except (OSError, TimeoutError):
            pass
        votes[self.context.node] = self.monitor.is_suspected(primary)
        messages.put_nowait(VotesReceived(votes))

    async def _collect_confirmed(self) -> None:
        messages = self.messages
        positions = [self.monitor.confirmed]
        try:
            async with asyncio.timeout(CONFIRMED_TIMEOUT_MS / 1000):
                positions.extend(await self.request_confirmed(self.database))
        except (OSError, TimeoutError):
            pass
        # Every later term keeps what one confirmed, so the sequences are of one log.
        term = max(position.term for position in positions)
        sequence = max(position.sequence for position in positions)
        messages.put_nowait(ConfirmedReceived(Position(term, sequence)))

    async def _read_group(self) -> None:
        messages = self.messages
        try:
            async with asyncio.timeout(PLATFORM_TIMEOUT_MS / 1000):
                record = await self.store.read(self.database)
        except (StoreUnavailableError, TimeoutError):
            messages.put_nowait(PlatformDidNotRespond())
            return
        current = self.record.group
        is_later = record.group.version > current.version
        if is_later and record.group.term < current.term:
            # The platform has lost the record of the known term.
            self.restore_record(record.group.version)
        self.update_record(record)
        record = keep_term_members(record, self.record)
        messages.put_nowait(GroupRead(record.group))

    async def _write_group(self, group: Group, expected_version: int) -> None:
        messages = self.messages
        record = attrs.evolve(self.record, group=group)
        try:
            async with asyncio.timeout(PLATFORM_TIMEOUT_MS / 1000):
                version = await self.store.write(record, expected_version)
        except StoreConflictError:
            messages.put_nowait(RecordConflicted())
        except (StoreUnavailableError, TimeoutError):
            messages.put_nowait(PlatformDidNotRespond())
        else:
            messages.put_nowait(GroupRecorded(version))

    async def _fence(self, member: str, term: int) -> None:
        messages = self.messages
        try:
            status = await self.commands.fence(member, self.record, term)
        except RefusedError as error:
            messages.put_nowait(MemberRefused(member, str(error)))
        except UnreachableError:
            messages.put_nowait(MemberUnreachable(member))
        else:
            messages.put_nowait(MemberFenced(status))

    async def _promote(self) -> None:
        messages, member = self.messages, self.record.group.primary
        try:
            await self.commands.promote(self.record)
        except RefusedError as error:
            messages.put_nowait(MemberRefused(member, str(error)))
        except UnreachableError:
            messages.put_nowait(MemberUnreachable(member))
        else:
            messages.put_nowait(MemberPromoted(member))

    async def _follow(self, member: str) -> None:
        messages, record = self.messages, self.record
        try:
            await self.commands.follow(member, record)
        except RefusedError as error:
            messages.put_nowait(MemberRefused(member, str(error)))
        except UnreachableError:
            messages.put_nowait(MemberUnreachable(member))
        else:
            log_event(
                Event.MEMBER_FOLLOWS,
                database=self.database,
                member=member,
                primary=record.group.primary,
                term=record.group.term,
            )
            messages.put_nowait(MemberFollowed(member))

    def _repair(self, now_ms: float) -> None:
        group = self.record.group
        for status in self._list_recent_statuses(now_ms):
            if status.member not in self.record.endpoints:
                continue
            if status.term > group.term:
                self._refresh_record(now_ms)
            elif _needs_repair(status, group) and self._claim_repair(
                status.member, now_ms
            ):
                if status.member != group.primary:
                    self._spawn(self._follow(status.member))
                elif not was_promoted(self.monitor.latest_statuses.values(), group):
                    self._spawn(self._promote())

    def _claim_repair(self, member: str, now_ms: float) -> bool:
        """Return whether a repair is due, and record its time if so."""
        if now_ms - self.repaired_ms.get(member, -PAUSE_MS) < PAUSE_MS:
            return False
        self.repaired_ms[member] = now_ms
        return True

    def _refresh_record(self, now_ms: float) -> None:
        if now_ms - self.record_read_ms >= PAUSE_MS:
            self.record_read_ms = now_ms
            self._spawn(self._read_group())


def _needs_repair(status: MemberStatus, group: Group) -> bool:
    if status.fenced_term > group.term:
        # The member waits for a promotion; `FencingWatch` decides when to complete it.
        return False
    if status.term < group.term:
        return True
    return status.member != group.primary and status.role is Role.PRIMARY


def make_promoter(
    context: PromoterContext,
    record: GroupRecord,
    monitor: Monitor,
    store: GroupStore,
    commands: MemberCommands,
    request_votes: RequestVotes,
    request_confirmed: RequestConfirmed,
) -> Promoter:
    """Return a promoter that has not been started.

    Parameters
    ----------
    context : PromoterContext
        This node's rank, the voters and the leaving members.
    record : GroupRecord
        The latest known record.
    monitor : Monitor
        The monitor of the same group, started by the caller.
    store : GroupStore
        Reads and updates the record.
    commands : MemberCommands
        Sends commands to members.
    request_votes : callable
        Takes database and member; returns, for each voter that responded, whether the
        member is unreachable from it.
    request_confirmed : callable
        Takes a database; returns the position up to which each voter that responded
        knows commits to be confirmed.

    Returns
    -------
    Promoter
        Call `start` in a running event loop.
    """
    return Promoter(
        context, record, monitor, store, commands, request_votes, request_confirmed
    )
