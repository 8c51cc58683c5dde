"""Asyncio access to a fair queue: ``async with gate.connection(...)``."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs

from radishtrack.admission.fair_queue import (
    FairQueue,
    make_fair_queue,
)
from radishtrack.clock import Clock


@attrs.define
class Gate:
    """Permits for the connections of one database at one holder."""

    clock: Clock
    queue: FairQueue
    futures: dict[int, asyncio.Future[None]] = attrs.field(factory=dict)

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
            With outcome NOT_RUN if the request cannot be served in time.
        """
        raise NotImplementedError
        yield

    def set_connections(self, connections: int) -> None:
        """Change the number of connections; running requests are not interrupted."""
        raise NotImplementedError

    def set_weights(self, weights: dict[str, float]) -> None:
        """Apply the configured rates as weights."""
        self.queue.set_weights(weights)


def make_gate(clock: Clock, connections: int) -> Gate:
    """Return a gate with `connections` free permits."""
    return Gate(clock, make_fair_queue(connections))
