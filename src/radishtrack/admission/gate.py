"""Asyncio access to a queue of permits: ``async with gate.connection(...)``."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Generic, TypeVar

import attrs

from radishtrack.admission.fair_queue import (
    FairQueue,
    Queued,
    QueueRefused,
    Started,
    Waiter,
    make_fair_queue,
)
from radishtrack.admission.permit_queue import PermitQueue, QueuedWork
from radishtrack.clock import Clock
from radishtrack.errors import RequestError, make_not_run

QueueT = TypeVar("QueueT", bound=PermitQueue)


@attrs.define(eq=False)
class Permit:
    """A request that holds a connection or waits for one.

    Parameters
    ----------
    organisation : str
        Organisation of the request.
    work : QueuedWork or None
        What the queue may know besides.
    ticket : int
        Number of the request in the queue.
    waiter : Waiter or None
        Entry in the queue while the request waits.
    future : Future or None
        Result of the wait, if the request did not start at once.
    """

    organisation: str
    work: QueuedWork | None
    ticket: int = 0
    waiter: Waiter | None = None
    future: asyncio.Future[None] | None = None

    @property
    def is_waiting(self) -> bool:
        """Return whether the queue has not decided yet."""
        return self.future is not None and not self.future.done()

    @property
    def is_granted(self) -> bool:
        """Return whether the request has a connection."""
        future = self.future
        return future is None or (
            future.done() and not future.cancelled() and future.exception() is None
        )


@attrs.define
class Gate(Generic[QueueT]):
    """Permits for the connections of one database at one holder.

    Parameters
    ----------
    clock : Clock
        Clock of the deadlines.
    queue : PermitQueue
        Decides the order in which waiting requests start.
    """

    clock: Clock
    queue: QueueT
    futures: dict[int, asyncio.Future[None]] = attrs.field(factory=dict)
    """Futures of the waiting requests, by ticket."""
    permits: set[Permit] = attrs.field(factory=set)
    check: asyncio.TimerHandle | None = None
    """Timer of the next check for requests that can't start in time."""

    @asynccontextmanager
    async def connection(
        self, organisation: str, deadline_ms: float, work: QueuedWork | None = None
    ) -> AsyncIterator[None]:
        """Hold one connection permit.

        Parameters
        ----------
        organisation : str
            Organisation of the request.
        deadline_ms : float
            Latest start of the request, on the gate's clock.
        work : QueuedWork or None
            What the queue's order may depend on besides.

        Raises
        ------
        RequestError
            With outcome NOT_RUN if the request cannot start in time.
        """
        permit = Permit(organisation, work)
        decision = self.queue.offer(
            organisation, self.clock.now_ms(), deadline_ms, work
        )
        if isinstance(decision, QueueRefused):
            raise _make_refusal(decision)
        self.permits.add(permit)
        try:
            if isinstance(decision, Started):
                permit.ticket = decision.ticket
            else:
                await self._wait(permit, decision.waiter)
            started_ms = self.clock.now_ms()
            try:
                yield
            finally:
                self._release(permit, self.clock.now_ms() - started_ms)
        finally:
            self.permits.discard(permit)

    def set_connections(self, connections: int) -> None:
        """Change the number of connections; running requests are not interrupted."""
        self.queue.set_connections(connections)
        self._start_waiters()

    def set_weights(self, weights: dict[str, float]) -> None:
        """Apply the configured rates as weights."""
        self.queue.set_weights(weights)

    def replace_queue(self, queue: QueueT) -> None:
        """Move all requests to an idle queue, which decides from now on."""
        now_ms = self.clock.now_ms()
        earlier, self.queue = self.queue, queue
        queue.quanta.update(earlier.quanta)
        waiting = [permit for permit in self.permits if permit.is_waiting]
        for permit in self.permits:
            if permit.is_granted:
                permit.ticket = queue.resume(permit.organisation, now_ms, permit.work)
        self.futures = {}
        for permit in sorted(waiting, key=lambda permit: permit.ticket):
            future = permit.future
            assert permit.waiter is not None and future is not None
            decision = queue.offer(
                permit.organisation, now_ms, permit.waiter.deadline_ms, permit.work
            )
            match decision:
                case Started(ticket):
                    permit.ticket, permit.waiter = ticket, None
                    future.set_result(None)
                case Queued(waiter):
                    permit.ticket, permit.waiter = waiter.ticket, waiter
                    self.futures[waiter.ticket] = future
                case QueueRefused():
                    permit.waiter = None
                    future.set_exception(_make_refusal(decision))
        self._remove_hopeless()

    async def _wait(self, permit: Permit, waiter: Waiter) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        permit.ticket, permit.waiter, permit.future = waiter.ticket, waiter, future
        self.futures[waiter.ticket] = future
        self._remove_hopeless()
        delay_ms = max(0.0, waiter.deadline_ms - self.clock.now_ms())
        try:
            async with asyncio.timeout(delay_ms / 1000.0):
                await future
        except BaseException as error:
            refused: QueueRefused | None = None
            if isinstance(error, TimeoutError):
                refused = self.queue.refuse_waiting(permit.work, self.clock.now_ms())
            self._cancel_wait(permit)
            if refused is not None:
                # The queue may have refused the request in the same iteration of the
                # loop, for a reason that it knew.
                is_refused = future.done() and not future.cancelled()
                refusal = future.exception() if is_refused else None
                raise refusal or _make_refusal(refused) from None
            raise

    def _cancel_wait(self, permit: Permit) -> None:
        self.futures.pop(permit.ticket, None)
        if permit.is_granted:
            # The permit was granted just before the cancellation.
            self._release(permit, None)
            return
        if permit.waiter is not None:
            self.queue.cancel(permit.waiter)
        self._start_waiters()

    def _release(self, permit: Permit, service_ms: float | None) -> None:
        self.queue.finish(permit.organisation, service_ms, permit.ticket)
        self._start_waiters()

    def _start_waiters(self) -> None:
        while (waiter := self.queue.next_waiter(self.clock.now_ms())) is not None:
            future = self.futures.pop(waiter.ticket, None)
            if future is None or future.done():
                self.queue.finish(waiter.organisation, None, waiter.ticket)
            else:
                future.set_result(None)

    def _remove_hopeless(self) -> None:
        """Refuse waiting requests that can't start in time, and check again later."""
        interval_ms = self.queue.check_interval_ms
        if interval_ms is None:
            return
        self._start_waiters()
        for waiter, refused in self.queue.remove_hopeless(self.clock.now_ms()):
            future = self.futures.pop(waiter.ticket, None)
            if future is not None and not future.done():
                future.set_exception(_make_refusal(refused))
        if self.queue.waiting and self.check is None:
            loop = asyncio.get_running_loop()
            self.check = loop.call_later(interval_ms / 1000.0, self._run_check)

    def _run_check(self) -> None:
        self.check = None
        self._remove_hopeless()


def _make_refusal(refused: QueueRefused) -> RequestError:
    detail = refused.reason
    if refused.retry_after_ms is not None:
        # The clients' protocol has no field for the hint.
        detail = f"{detail}; retry after {refused.retry_after_ms} ms"
    return make_not_run("admit", detail)


def make_gate(clock: Clock, connections: int) -> Gate[FairQueue]:
    """Return a gate with `connections` free permits."""
    return Gate(clock, make_fair_queue(connections))
