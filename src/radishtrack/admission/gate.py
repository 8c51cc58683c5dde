"""Asyncio access to a fair queue: ``async with gate.connection(...)``."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs

from radishtrack.admission.fair_queue import (
    FairQueue,
    Queued,
    QueueRefused,
    Waiter,
    make_fair_queue,
)
from radishtrack.clock import Clock
from radishtrack.errors import make_not_run


@attrs.define
class Gate:
    """Permits for the connections of one database at one holder.

    Parameters
    ----------
    clock : Clock
        Clock of the deadlines.
    queue : FairQueue
        Decides the order in which waiting requests start.
    """

    clock: Clock
    queue: FairQueue
    futures: dict[int, asyncio.Future[None]] = attrs.field(factory=dict)
    """Futures of the waiting requests, by ticket."""

    @asynccontextmanager
    async def connection(
        self, organisation: str, deadline_ms: float
    ) -> AsyncIterator[None]:
        """Hold one connection permit.

        Parameters
        ----------
        organisation : str
            Organisation of the request.
        deadline_ms : float
            Latest start of the request, on the gate's clock.

        Raises
        ------
        RequestError
            With outcome NOT_RUN if the request cannot start in time.
        """
        decision = self.queue.offer(organisation, self.clock.now_ms(), deadline_ms)
        if isinstance(decision, QueueRefused):
            raise make_not_run("admit", decision.reason)
        if isinstance(decision, Queued):
            await self._wait(decision.waiter)
        started_ms = self.clock.now_ms()
        try:
            yield
        finally:
            self._release(organisation, self.clock.now_ms() - started_ms)

    def set_connections(self, connections: int) -> None:
        """Change the number of connections; running requests are not interrupted."""
        self.queue.set_connections(connections)
        self._start_waiters()

    def set_weights(self, weights: dict[str, float]) -> None:
        """Apply the configured rates as weights."""
        self.queue.set_weights(weights)

    async def _wait(self, waiter: Waiter) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.futures[waiter.ticket] = future
        delay_ms = max(0.0, waiter.deadline_ms - self.clock.now_ms())
        try:
            async with asyncio.timeout(delay_ms / 1000.0):
                await future
        except BaseException as error:
            self._cancel_wait(waiter, future)
            if isinstance(error, TimeoutError):
                raise make_not_run("admit", "no connection by the deadline") from None
            raise

    def _cancel_wait(self, waiter: Waiter, future: asyncio.Future[None]) -> None:
        self.futures.pop(waiter.ticket, None)
        if future.done() and not future.cancelled():
            # The permit was granted just before the cancellation.
            self._release(waiter.organisation, None)
            return
        self.queue.cancel(waiter)
        self._start_waiters()

    def _release(self, organisation: str, service_ms: float | None) -> None:
        self.queue.finish(organisation, service_ms)
        self._start_waiters()

    def _start_waiters(self) -> None:
        while (waiter := self.queue.next_waiter(self.clock.now_ms())) is not None:
            future = self.futures.pop(waiter.ticket, None)
            if future is None or future.done():
                self.queue.finish(waiter.organisation, None)
            else:
                future.set_result(None)


def make_gate(clock: Clock, connections: int) -> Gate:
    """Return a gate with `connections` free permits."""
    return Gate(clock, make_fair_queue(connections))
