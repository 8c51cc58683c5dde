"""Polls the members of a group and tells waiting requests what the answers prove."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable, Mapping
from typing import Final

from radishtrack.backend._waiters import CommitWaiter, RoundWaiter
from radishtrack.backend.admin_connection import (
    MEMBER_ERRORS,
    AdminConnection,
    Connect,
)
from radishtrack.backend.endpoint import MemberEndpoint
from radishtrack.backend.status_board import PolledStatus, StatusBoard
from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.group.detection import (
    POLL_INTERVAL_MS,
    Suspicion,
    is_healthy_status,
)
from radishtrack.group.evidence import ServeReplicas, StatusRound, choose_strict
from radishtrack.group.freshness import FreshnessSamples, make_freshness_samples
from radishtrack.group.outcome import CommitOutcome, StillUnknown, resolve_commit
from radishtrack.group.status import Group, MemberStatus
from radishtrack.session.position import Position

ROUND_TIMEOUT_MS: Final = 100.0
"""Time that a round waits for members that are not suspected."""

PRIMARY_POLL_DELAY_MS: Final = 10.0
"""Time that a round waits for all replicas before it polls the primary too."""

CONFIRMATION_INTERVAL_MS: Final = 5.0
"""Time between two polls of a replica while commits wait for confirmation."""

MINIMUM_INTERVAL_MS: Final = 1.0
"""Shortest time between two polls of a member; limits the cost of many rounds."""

SAMPLE_WINDOW_MS: Final = 2 * POLL_INTERVAL_MS
"""Age of the oldest answer that counts for a freshness sample."""

POLL_TIMEOUT_MS: Final = 1_000.0
"""Time after which an unanswered poll is cancelled and its connection closed."""


class Monitor:
    """Status of one group's members; see `make_monitor`."""

    def __init__(
        self,
        group: Group,
        endpoints: Mapping[str, MemberEndpoint],
        clock: Clock,
        connect: Connect,
    ) -> None:
        self.group = group
        self.endpoints = dict(endpoints)
        self.clock = clock
        self.connect = connect
        self.board = StatusBoard()
        self.suspicion = Suspicion()
        self.freshness: FreshnessSamples = make_freshness_samples()
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.wakes: dict[str, asyncio.Event] = {}
        self.commit_waiters: set[CommitWaiter] = set()
        self.round_waiters: set[RoundWaiter] = set()
        self.next_started: asyncio.Future[StatusRound] | None = None
        self.unreachable: set[str] = set()
        self.is_running = False

    @property
    def latest(self) -> dict[str, MemberStatus]:
        """The last status of each member that ever answered."""
        return self.board.latest

    def answered_poll_sent_ms(self, member: str) -> float:
        """Return when the poll behind `latest` was sent; -inf without an answer."""
        polled = self.board.polled.get(member)
        return -math.inf if polled is None else polled.sent_ms

    def start(self) -> None:
        """Start one polling task for each member."""
        self.is_running = True
        self._match_tasks()

    async def stop(self) -> None:
        """Cancel all polls; their connections are closed."""
        self.is_running = False
        tasks = tuple(self.tasks.values())
        self.tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_group(
        self, group: Group, endpoints: Mapping[str, MemberEndpoint] | None = None
    ) -> None:
        """Use a newer record; an older version is ignored.

        Parameters
        ----------
        group : Group
            The record.
        endpoints : mapping of str to MemberEndpoint, optional
            Addresses of its members, if they changed.
        """
        if group.version < self.group.version or group.term < self.group.term:
            return
        if group.term > self.group.term:
            # The new primary gets the full time to be installed.
            self.suspicion.reset(group.primary, self.clock.now_ms())
        self.group = group
        if endpoints is not None:
            self._replace_endpoints(endpoints)
        if self.is_running:
            self._match_tasks()
        for waiter in tuple(self.commit_waiters):
            self._settle_commit(waiter)

    def is_suspected(self, member: str) -> bool:
        """Tell whether the member gave no good answer for `SUSPICION_MS`."""
        return self.suspicion.is_suspected(member, self.clock.now_ms())

    async def next_round(self, deadline_ms: float) -> StatusRound:
        """Return a round of polls that were all sent after the call.

        Concurrent callers share a round. It ends when the replicas decide a strict read
        (otherwise the primary is polled too), when all members that are not suspected
        have answered, after `ROUND_TIMEOUT_MS`, or at the deadline.

        Parameters
        ----------
        deadline_ms : float
            Latest time to return, on the monitor's clock, in milliseconds.

        Returns
        -------
        StatusRound
            With the members that answered.
        """
        asked_ms = self.clock.now_ms()
        if self.next_started is None:
            self.next_started = asyncio.Future()
            loop = asyncio.get_running_loop()
            loop.call_soon(self._start_round, self.next_started)
        shared = self.next_started
        try:
            async with asyncio.timeout((deadline_ms - asked_ms) / 1000):
                return await asyncio.shield(shared)
        except TimeoutError:
            return self.board.collect(asked_ms)

    async def wait_confirmed(
        self,
        position: Position,
        term: int,
        deadline_ms: float,
        sequence_before: int = 0,
    ) -> CommitOutcome:
        """Wait for the outcome of a commit or for the position of a read.

        Only answers to polls that were sent after the call count, so that a read on
        the primary learns whether the term was still current when it ran.

        Parameters
        ----------
        position : Position
            The primary's position after the commit or read.
        term : int
            The primary's term, reported with the position.
        deadline_ms : float
            Latest time to return, on the monitor's clock, in milliseconds.
        sequence_before : int, optional
            Lower bound of the commit's place in the log, see `resolve_commit`.

        Returns
        -------
        Confirmed, StillUnknown, RanInHistory or DidNotRun
            `StillUnknown` only at the deadline. A read may be returned only after
            `Confirmed`, see `resolve_commit`.
        """
        asked_ms = self.clock.now_ms()
        result: asyncio.Future[CommitOutcome] = asyncio.Future()
        waiter = CommitWaiter(position, term, sequence_before, asked_ms, result)
        if not self.commit_waiters:
            self._wake(self._confirming_members())
        self.commit_waiters.add(waiter)
        self._settle_commit(waiter)
        try:
            async with asyncio.timeout((deadline_ms - asked_ms) / 1000):
                return await result
        except TimeoutError:
            return StillUnknown("not confirmed before the deadline")
        finally:
            self.commit_waiters.discard(waiter)

    def _start_round(self, shared: asyncio.Future[StatusRound]) -> None:
        # Includes callers of the same turn: the polls are sent after they asked.
        loop = asyncio.get_running_loop()
        self.next_started = None
        waiter = RoundWaiter(self.clock.now_ms(), shared)
        self.round_waiters.add(waiter)
        self._wake(self.endpoints.keys() - {self.group.primary} or self.endpoints)
        primary = (self.group.primary,)
        first = loop.call_later(PRIMARY_POLL_DELAY_MS / 1000, self._wake, primary)
        last = loop.call_later(ROUND_TIMEOUT_MS / 1000, self._finish_round, waiter)

        def cancel_timers(_: asyncio.Future[StatusRound]) -> None:
            first.cancel()
            last.cancel()

        shared.add_done_callback(cancel_timers)
        self._settle_rounds()

    def _finish_round(self, waiter: RoundWaiter) -> None:
        self.round_waiters.discard(waiter)
        if not waiter.result.done():
            waiter.result.set_result(self.board.collect(waiter.started_ms))

    def _settle_rounds(self) -> None:
        if not self.round_waiters:
            return
        now_ms = self.clock.now_ms()
        expected = {
            member
            for member in self.endpoints
            if not self.suspicion.is_suspected(member, now_ms)
        }
        primary = self.group.primary
        for waiter in tuple(self.round_waiters):
            answered = self.board.collect(waiter.started_ms)
            missing = expected - answered.statuses.keys()
            if missing == {primary}:
                choice = choose_strict(answered, self.group)
                missing -= {primary} if isinstance(choice, ServeReplicas) else set()
            if expected and not missing:
                self._finish_round(waiter)
            elif missing == {primary}:
                self._wake((primary,))

    def _settle_commits(self, answer: PolledStatus) -> None:
        sequence = answer.status.position.sequence
        for waiter in tuple(self.commit_waiters):
            # Cheap tests first: this runs for every waiter and every answer.
            if (
                waiter.position.sequence <= sequence
                and waiter.asked_ms <= answer.sent_ms
            ):
                self._settle_commit(waiter)

    def _settle_commit(self, waiter: CommitWaiter) -> None:
        outcome = resolve_commit(
            waiter.position,
            waiter.term,
            self.board.collect(waiter.asked_ms),
            self.group,
            waiter.sequence_before,
        )
        if not isinstance(outcome, StillUnknown) and not waiter.result.done():
            self.commit_waiters.discard(waiter)
            waiter.result.set_result(outcome)

    def _confirming_members(self) -> frozenset[str]:
        if len(self.group.members) == 1:
            return frozenset(self.group.members)
        return frozenset(self.group.members) - {self.group.primary}

    def _replace_endpoints(self, endpoints: Mapping[str, MemberEndpoint]) -> None:
        moved = {
            member
            for member, endpoint in self.endpoints.items()
            if endpoints.get(member) != endpoint
        }
        self.endpoints = dict(endpoints)
        for member in moved:
            self.board.forget(member)
            task = self.tasks.pop(member, None)
            if task is not None:
                task.cancel()

    def _match_tasks(self) -> None:
        self.suspicion.set_members(self.endpoints, self.clock.now_ms())
        for member in self.endpoints.keys() - self.tasks.keys():
            self.wakes[member] = asyncio.Event()
            self.tasks[member] = asyncio.create_task(
                self._poll_member(self.endpoints[member], self.wakes[member])
            )

    def _wake(self, members: Iterable[str]) -> None:
        for member in members:
            if member in self.wakes:
                self.wakes[member].set()

    async def _poll_member(self, endpoint: MemberEndpoint, wake: asyncio.Event) -> None:
        connection: AdminConnection | None = None
        try:
            while True:
                wake.clear()
                sent_ms = self.clock.now_ms()
                try:
                    async with asyncio.timeout(POLL_TIMEOUT_MS / 1000):
                        if connection is None:
                            connection = await self.connect(endpoint)
                            sent_ms = self.clock.now_ms()
                        status = await connection.read_status()
                except MEMBER_ERRORS as error:
                    if connection is not None:
                        connection.close()
                        connection = None
                    if isinstance(error.__cause__, ConnectionRefusedError):
                        now_ms = self.clock.now_ms()
                        self.suspicion.refused(endpoint.member, now_ms)
                    else:
                        self.suspicion.unresponsive(endpoint.member)
                    self._note_failure(endpoint.member, error)
                else:
                    self._note_answer(endpoint.member, status, sent_ms)
                if connection is None:
                    # A silent member is not asked more often for waiting requests.
                    await asyncio.sleep(POLL_INTERVAL_MS / 1000)
                else:
                    await self._pause(endpoint.member, wake, sent_ms)
        finally:
            if connection is not None:
                connection.close()

    async def _pause(self, member: str, wake: asyncio.Event, sent_ms: float) -> None:
        confirms = self.commit_waiters and member in self._confirming_members()
        interval_ms = CONFIRMATION_INTERVAL_MS if confirms else POLL_INTERVAL_MS
        elapsed_ms = self.clock.now_ms() - sent_ms
        if not wake.is_set():
            await _wait_event(wake, interval_ms - elapsed_ms)
        remaining_ms = sent_ms + MINIMUM_INTERVAL_MS - self.clock.now_ms()
        if remaining_ms > 0:
            await asyncio.sleep(remaining_ms / 1000)

    def _note_answer(self, member: str, status: MemberStatus, sent_ms: float) -> None:
        if status.member != member:
            self._note_failure(member, ValueError(f"answered as {status.member}"))
            return
        now_ms = self.clock.now_ms()
        answer = PolledStatus(status, sent_ms)
        self.board.note(answer)
        if is_healthy_status(status, self.group):
            self.suspicion.answered(member, now_ms)
        if member == self.group.primary:
            recent = self.board.collect_recent(now_ms - SAMPLE_WINDOW_MS)
            self.freshness.record(recent, self.group)
        if member in self.unreachable:
            self.unreachable.discard(member)
            log_event(
                Event.MEMBER_REACHABLE, database=self.group.database, member=member
            )
        self._settle_rounds()
        self._settle_commits(answer)

    def _note_failure(self, member: str, error: BaseException) -> None:
        if member not in self.unreachable and self.is_suspected(member):
            self.unreachable.add(member)
            log_event(
                Event.MEMBER_UNREACHABLE,
                database=self.group.database,
                member=member,
                error=repr(error),
            )
        self._settle_rounds()


async def _wait_event(event: asyncio.Event, timeout_ms: float) -> None:
    # Setting the event costs less than a timeout, which expires at most polls.
    delay_s = max(0.0, timeout_ms) / 1000
    timer = asyncio.get_running_loop().call_later(delay_s, event.set)
    try:
        await event.wait()
    finally:
        timer.cancel()


def make_monitor(
    group: Group,
    endpoints: Mapping[str, MemberEndpoint],
    clock: Clock,
    connect: Connect,
) -> Monitor:
    """Return a monitor that has not been started; see `Monitor`.

    Parameters
    ----------
    group : Group
        The latest known record.
    endpoints : mapping of str to MemberEndpoint
        Where its members are reached.
    clock : Clock
        Source of time.
    connect : callable
        Opens an administrative connection to a member, see `make_connect`.
    """
    return Monitor(group, endpoints, clock, connect)
