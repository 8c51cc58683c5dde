"""Polls the members of a group and resolves requests that wait for their status."""

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
from radishtrack.group.evidence import (
    ServeReplicas,
    StatusRound,
    choose_strict,
    confirmed_position,
)
from radishtrack.group.freshness import FreshnessSamples, make_freshness_samples
from radishtrack.group.outcome import CommitOutcome, StillUnknown, resolve_commit
from radishtrack.group.status import Group, MemberStatus
from radishtrack.session.position import Position

ROUND_TIMEOUT_MS: Final = 100.0
"""Longest wait of a round for members that are not suspected."""

PRIMARY_POLL_DELAY_MS: Final = 10.0
"""Time after which a round without all replicas polls the primary too."""

CONFIRMATION_POLL_INTERVAL_MS: Final = 5.0
"""Interval of polls to a replica while commits wait for confirmation."""

MIN_POLL_INTERVAL_MS: Final = 1.0
"""Shortest interval of polls to a member; limits the cost of many rounds."""

SAMPLE_WINDOW_MS: Final = 2 * POLL_INTERVAL_MS
"""Age limit of the statuses in a freshness sample."""

POLL_TIMEOUT_MS: Final = 1_000.0
"""Time after which a poll without a response ends and its connection is closed."""


class Monitor:
    """Polls one group's members; construct it with `make_monitor`."""

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
        self.wake_events: dict[str, asyncio.Event] = {}
        self.commit_waiters: set[CommitWaiter] = set()
        self.round_waiters: set[RoundWaiter] = set()
        self.scheduled_round: asyncio.Future[StatusRound] | None = None
        self.unreachable: set[str] = set()
        self.confirmed = Position(0, 0)
        """Term and sequence up to which commits are known to be confirmed."""
        self.is_running = False

    @property
    def latest_statuses(self) -> dict[str, MemberStatus]:
        """The last status of each member that has ever responded."""
        return self.board.latest_statuses

    def answered_poll_sent_ms(self, member: str) -> float:
        """Return when the latest status's poll was sent; -inf without a response."""
        polled = self.board.polled.get(member)
        return -math.inf if polled is None else polled.sent_ms

    def start(self) -> None:
        """Start one polling task for each member."""
        self.is_running = True
        self._start_missing_polls()

    async def stop(self) -> None:
        """Cancel all polls and close their connections."""
        self.is_running = False
        tasks = tuple(self.tasks.values())
        self.tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_group(
        self, group: Group, endpoints: Mapping[str, MemberEndpoint] | None = None
    ) -> None:
        """Replace the group's record; older versions are ignored.

        Parameters
        ----------
        group : Group
            The record.
        endpoints : mapping of str to MemberEndpoint, optional
            Addresses of the members, if they changed.
        """
        if group.version < self.group.version or group.term < self.group.term:
            return
        if group.term > self.group.term:
            # Gives the new primary the full suspicion time to be installed.
            self.suspicion.reset(group.primary, self.clock.now_ms())
        self.group = group
        if endpoints is not None:
            self._replace_endpoints(endpoints)
        if self.is_running:
            self._start_missing_polls()
        for waiter in tuple(self.commit_waiters):
            self._settle_commit(waiter)

    def is_suspected(self, member: str) -> bool:
        """Return whether the member is suspected to have failed; see `Suspicion`."""
        return self.suspicion.is_suspected(member, self.clock.now_ms())

    async def next_round(self, deadline_ms: float) -> StatusRound:
        """Return a round of polls that were all sent after the call.

        Concurrent callers share a round. It ends when the replicas suffice for a strict
        read (otherwise the primary is polled too), when all members that are not
        suspected have responded, after `ROUND_TIMEOUT_MS`, or at the deadline.

        Parameters
        ----------
        deadline_ms : float
            Latest time to return, on the monitor's clock, in milliseconds.

        Returns
        -------
        StatusRound
            The members that responded.
        """
        requested_ms = self.clock.now_ms()
        if self.scheduled_round is None:
            self.scheduled_round = asyncio.Future()
            loop = asyncio.get_running_loop()
            loop.call_soon(self._start_round, self.scheduled_round)
        shared = self.scheduled_round
        try:
            async with asyncio.timeout((deadline_ms - requested_ms) / 1000):
                return await asyncio.shield(shared)
        except TimeoutError:
            return self.board.collect(requested_ms)

    async def wait_confirmed(
        self,
        position: Position,
        term: int,
        deadline_ms: float,
        sequence_before: int = 0,
    ) -> CommitOutcome:
        """Wait until a commit's outcome or a read's position is confirmed.

        Only responses to polls sent after the call count. They show whether the term
        was still current when a read ran on the primary.

        Parameters
        ----------
        position : Position
            The primary's position after the commit or read.
        term : int
            The primary's term, reported with the position.
        deadline_ms : float
            Latest time to return, on the monitor's clock, in milliseconds.
        sequence_before : int, optional
            Lower bound of the commit's sequence in the log, see `resolve_commit`.

        Returns
        -------
        Confirmed, StillUnknown, RanInHistory or DidNotRun
            `StillUnknown` only at the deadline. The result of a read is valid only
            after `Confirmed`, see `resolve_commit`.
        """
        requested_ms = self.clock.now_ms()
        result: asyncio.Future[CommitOutcome] = asyncio.Future()
        waiter = CommitWaiter(position, term, sequence_before, requested_ms, result)
        if not self.commit_waiters:
            self._wake(self._confirming_members())
        self.commit_waiters.add(waiter)
        self._settle_commit(waiter)
        try:
            async with asyncio.timeout((deadline_ms - requested_ms) / 1000):
                return await result
        except TimeoutError:
            return StillUnknown("not confirmed before the deadline")
        finally:
            self.commit_waiters.discard(waiter)

    def _start_round(self, shared: asyncio.Future[StatusRound]) -> None:
        # Callers in the same iteration of the event loop share the round, since its
        # polls are sent after all of their calls.
        loop = asyncio.get_running_loop()
        self.scheduled_round = None
        waiter = RoundWaiter(self.clock.now_ms(), shared)
        self.round_waiters.add(waiter)
        self._wake(self.endpoints.keys() - {self.group.primary} or self.endpoints)
        primary = (self.group.primary,)
        primary_timer = loop.call_later(
            PRIMARY_POLL_DELAY_MS / 1000, self._wake, primary
        )
        round_timer = loop.call_later(
            ROUND_TIMEOUT_MS / 1000, self._finish_round, waiter
        )

        def cancel_timers(_: asyncio.Future[StatusRound]) -> None:
            primary_timer.cancel()
            round_timer.cancel()

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
            responses = self.board.collect(waiter.started_ms)
            missing = expected - responses.statuses.keys()
            if missing == {primary}:
                choice = choose_strict(responses, self.group)
                missing -= {primary} if isinstance(choice, ServeReplicas) else set()
            if expected and not missing:
                self._finish_round(waiter)
            elif missing == {primary}:
                self._wake((primary,))

    def _settle_commits(self, polled: PolledStatus) -> None:
        sequence = polled.status.position.sequence
        for waiter in tuple(self.commit_waiters):
            # Cheap checks first: this runs for every waiter and every response.
            if (
                waiter.position.sequence <= sequence
                and waiter.requested_ms <= polled.sent_ms
            ):
                self._settle_commit(waiter)

    def _settle_commit(self, waiter: CommitWaiter) -> None:
        outcome = resolve_commit(
            waiter.position,
            waiter.term,
            self.board.collect(waiter.requested_ms),
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
            self.board.remove(member)
            task = self.tasks.pop(member, None)
            if task is not None:
                task.cancel()

    def _start_missing_polls(self) -> None:
        self.suspicion.set_members(self.endpoints, self.clock.now_ms())
        for member in self.endpoints.keys() - self.tasks.keys():
            self.wake_events[member] = asyncio.Event()
            self.tasks[member] = asyncio.create_task(
                self._poll_member(self.endpoints[member], self.wake_events[member])
            )

    def _wake(self, members: Iterable[str]) -> None:
        for member in members:
            if member in self.wake_events:
                self.wake_events[member].set()

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
                        self.suspicion.record_refusal(endpoint.member, now_ms)
                    else:
                        self.suspicion.record_no_response(endpoint.member)
                    self._record_failure(endpoint.member, error)
                else:
                    self._record_status(endpoint.member, status, sent_ms)
                if connection is None:
                    # Waiting requests do not speed up polls to an unreachable member.
                    await asyncio.sleep(POLL_INTERVAL_MS / 1000)
                else:
                    await self._wait_for_next_poll(endpoint.member, wake, sent_ms)
        finally:
            if connection is not None:
                connection.close()

    async def _wait_for_next_poll(
        self, member: str, wake: asyncio.Event, sent_ms: float
    ) -> None:
        is_confirming = self.commit_waiters and member in self._confirming_members()
        interval_ms = (
            CONFIRMATION_POLL_INTERVAL_MS if is_confirming else POLL_INTERVAL_MS
        )
        elapsed_ms = self.clock.now_ms() - sent_ms
        if not wake.is_set():
            await _wait_for_event(wake, interval_ms - elapsed_ms)
        remaining_ms = sent_ms + MIN_POLL_INTERVAL_MS - self.clock.now_ms()
        if remaining_ms > 0:
            await asyncio.sleep(remaining_ms / 1000)

    def _record_status(self, member: str, status: MemberStatus, sent_ms: float) -> None:
        if status.member != member:
            self._record_failure(
                member, ValueError(f"member reports its name as {status.member}")
            )
            return
        now_ms = self.clock.now_ms()
        polled = PolledStatus(status, sent_ms)
        self.board.record(polled)
        self._record_confirmed(status)
        if is_healthy_status(status, self.group):
            self.suspicion.record_healthy_status(member, now_ms)
        if member == self.group.primary:
            recent = self.board.collect_recent(now_ms - SAMPLE_WINDOW_MS)
            self.freshness.record(recent, self.group)
        if member in self.unreachable:
            self.unreachable.discard(member)
            log_event(
                Event.MEMBER_REACHABLE, database=self.group.database, member=member
            )
        self._settle_rounds()
        self._settle_commits(polled)

    def _record_confirmed(self, status: MemberStatus) -> None:
        if status.position.sequence <= self.confirmed.sequence:
            return
        position = confirmed_position(self.board.collect(-math.inf), self.group)
        if position is not None and position.sequence > self.confirmed.sequence:
            self.confirmed = Position(self.group.term, position.sequence)

    def _record_failure(self, member: str, error: BaseException) -> None:
        if member not in self.unreachable and self.is_suspected(member):
            self.unreachable.add(member)
            log_event(
                Event.MEMBER_UNREACHABLE,
                database=self.group.database,
                member=member,
                error=repr(error),
            )
        self._settle_rounds()


async def _wait_for_event(event: asyncio.Event, timeout_ms: float) -> None:
    # Most waits end by the timer; setting the event is cheaper than `asyncio.timeout`.
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
    """Return a monitor that has not been started.

    Parameters
    ----------
    group : Group
        The latest record.
    endpoints : mapping of str to MemberEndpoint
        Addresses of its members.
    clock : Clock
        Clock of deadlines and poll times.
    connect : callable
        Opens an administrative connection to a member, see `make_connect`.
    """
    return Monitor(group, endpoints, clock, connect)
