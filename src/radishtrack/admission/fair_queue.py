"""Weighted deficit round robin over organisations for one database's connections."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import attrs

MAX_QUANTUM: Final = 8
"""Most requests that an organisation may start in one round."""
DEFAULT_QUEUE_LENGTH: Final = 64
SERVICE_TIME_SMOOTHING: Final = 0.05
INITIAL_SERVICE_MS: Final = 2.0
RESERVE_FROM_CONNECTIONS: Final = 4
"""From this number of connections on, no organisation may hold all of them."""


@attrs.define(frozen=True)
class Waiter:
    """A request that waits for a connection.

    Parameters
    ----------
    ticket : int
        Number of the request in this queue.
    organisation : str
        Organisation of the request.
    deadline_ms : float
        Time after which the request is of no use.
    """

    ticket: int
    organisation: str
    deadline_ms: float


@attrs.define(frozen=True)
class Started:
    """A connection is free: the request runs now."""


@attrs.define(frozen=True)
class Queued:
    """The request waits; `next_waiter` will return it."""

    waiter: Waiter


@attrs.define(frozen=True)
class QueueRefused:
    """The request cannot be served in time.

    Parameters
    ----------
    reason : str
        Why, for the client.
    estimated_wait_ms : float
        Estimated wait for a connection.
    """

    reason: str
    estimated_wait_ms: float


QueueDecision = Started | Queued | QueueRefused


@attrs.define
class OrganisationQueue:
    """Waiting and running requests of one organisation."""

    quantum: int
    waiting: OrderedDict[int, Waiter] = attrs.field(factory=OrderedDict)
    deficit: int = 0
    running: int = 0


@attrs.define
class FairQueue:
    """Scheduler of `connections` connections.

    Parameters
    ----------
    connections : int
        Connections of this holder to the database.
    max_queue_length : int
        Waiting requests per organisation.
    """

    connections: int
    max_queue_length: int = DEFAULT_QUEUE_LENGTH
    quanta: dict[str, int] = attrs.field(factory=dict)
    queues: dict[str, OrganisationQueue] = attrs.field(factory=dict)
    ring: OrderedDict[str, OrganisationQueue] = attrs.field(factory=OrderedDict)
    """Organisations that wait and may start a request, in service order."""
    running: int = 0
    waiting: int = 0
    waiting_quanta: int = 0
    service_ms: float = INITIAL_SERVICE_MS
    next_ticket: int = 1

    def set_weights(self, weights: dict[str, float]) -> None:
        """Apply the configured rates as weights."""
        raise NotImplementedError

    def check(
        self, organisation: str, now_ms: float, deadline_ms: float
    ) -> QueueRefused | None:
        """Return why a request would be refused, without changing the queue."""
        raise NotImplementedError

    def offer(
        self, organisation: str, now_ms: float, deadline_ms: float
    ) -> QueueDecision:
        """Start, queue or refuse a request."""
        raise NotImplementedError

    def next_waiter(self, now_ms: float) -> Waiter | None:
        """Start the next waiting request if a connection is free."""
        raise NotImplementedError

    def cancel(self, waiter: Waiter) -> bool:
        """Remove a waiting request; return False if it does not wait any more."""
        raise NotImplementedError

    def finish(self, organisation: str, service_ms: float) -> None:
        """Note that a started request has released its connection."""
        raise NotImplementedError


def make_fair_queue(
    connections: int, *, max_queue_length: int = DEFAULT_QUEUE_LENGTH
) -> FairQueue:
    """Return an idle queue for `connections` connections."""
    return FairQueue(connections, max_queue_length)
