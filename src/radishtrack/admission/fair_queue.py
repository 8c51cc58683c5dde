"""Weighted deficit round robin over organisations for one database's connections."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Final

import attrs

MAX_QUANTUM: Final = 8
"""Most requests that an organisation may start in one round."""
DEFAULT_QUEUE_LENGTH: Final = 64
MAX_CHARGE: Final = 8
"""One use of a connection is charged as at most this many further requests."""
SERVICE_TIME_SMOOTHING: Final = 0.05
INITIAL_SERVICE_MS: Final = 2.0
MIN_SERVICE_MS: Final = 0.01
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
        Latest start of the request.
    """

    ticket: int
    organisation: str
    deadline_ms: float


@attrs.define(frozen=True)
class Started:
    """The request got a free connection and starts now.

    Parameters
    ----------
    ticket : int
        Number of the request in queues that need it in `finish`.
    """

    ticket: int = 0


@attrs.define(frozen=True)
class Queued:
    """The request waits until `next_waiter` returns it."""

    waiter: Waiter


@attrs.define(frozen=True)
class QueueRefused:
    """The request cannot start in time.

    Parameters
    ----------
    reason : str
        Reason that the client gets.
    estimated_wait_ms : float
        Estimated wait for a connection.
    retry_after_ms : int or None
        When a retry is likely to be served; None if unknown.
    """

    reason: str
    estimated_wait_ms: float
    retry_after_ms: int | None = None


QueueDecision = Started | Queued | QueueRefused


@attrs.define
class OrganisationQueue:
    """Deficit round robin state of one organisation."""

    quantum: int
    waiting: OrderedDict[int, Waiter] = attrs.field(factory=OrderedDict)
    deficit: int = 0
    running: int = 0


@attrs.define
class FairQueue:
    """Weighted deficit round robin scheduler of a database's connections.

    Parameters
    ----------
    connections : int
        Connections of this holder to the database.
    max_queue_length : int
        Most waiting requests of one organisation.
    """

    connections: int
    max_queue_length: int = DEFAULT_QUEUE_LENGTH
    quanta: dict[str, int] = attrs.field(factory=dict)
    queues: dict[str, OrganisationQueue] = attrs.field(factory=dict)
    """Organisations with waiting or running requests."""
    ring: OrderedDict[str, OrganisationQueue] = attrs.field(factory=OrderedDict)
    """Organisations with a waiting request that may start, in service order."""
    running: int = 0
    waiting: int = 0
    waiting_quanta: int = 0
    """Sum of the quanta of the organisations with waiting requests."""
    service_ms: float = INITIAL_SERVICE_MS
    next_ticket: int = 1

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set each quantum from the configured rate, relative to the smallest rate."""
        self.quanta = make_quanta(weights)
        for organisation, queue in self.queues.items():
            queue.quantum = self.quanta.get(organisation, 1)
        self.waiting_quanta = sum(
            queue.quantum for queue in self.queues.values() if queue.waiting
        )

    def set_connections(self, connections: int) -> None:
        """Change the number of connections."""
        self.connections = connections
        for organisation, queue in self.queues.items():
            self._update_ring(organisation, queue)

    def check(
        self, organisation: str, now_ms: float, deadline_ms: float
    ) -> QueueRefused | None:
        """Return the refusal that a request would get, without changing the queue."""
        if deadline_ms <= now_ms:
            return QueueRefused("deadline has passed", 0.0)
        queue = self.queues.get(organisation)
        if self._may_start(queue):
            return None
        own_waiting = len(queue.waiting) if queue is not None else 0
        estimated_ms = self._estimate_ms(organisation, own_waiting)
        if own_waiting >= self.max_queue_length:
            return QueueRefused("queue of the organisation is full", estimated_ms)
        if now_ms + estimated_ms > deadline_ms:
            return QueueRefused("wait would exceed the deadline", estimated_ms)
        return None

    @property
    def check_interval_ms(self) -> float | None:
        """None: only timers end a wait, so nothing has to be checked."""
        return None

    def offer(
        self,
        organisation: str,
        now_ms: float,
        deadline_ms: float,
        work: object = None,
    ) -> QueueDecision:
        """Start, queue or refuse a request; `work` does not change the order."""
        refused = self.check(organisation, now_ms, deadline_ms)
        if refused is not None:
            return refused
        queue = self.queues.get(organisation)
        if queue is None:
            queue = OrganisationQueue(self.quanta.get(organisation, 1))
            self.queues[organisation] = queue
        if self._may_start(queue):
            self._start(queue)
            return Started()
        waiter = Waiter(self.next_ticket, organisation, deadline_ms)
        self.next_ticket += 1
        if not queue.waiting:
            self.waiting_quanta += queue.quantum
        queue.waiting[waiter.ticket] = waiter
        self.waiting += 1
        self._update_ring(organisation, queue)
        return Queued(waiter)

    def resume(self, organisation: str, now_ms: float, work: object) -> int:
        """Count a request that another queue has started; return its ticket."""
        queue = self.queues.get(organisation)
        if queue is None:
            queue = OrganisationQueue(self.quanta.get(organisation, 1))
            self.queues[organisation] = queue
        self._start(queue)
        self._update_ring(organisation, queue)
        return 0

    def next_waiter(self, now_ms: float) -> Waiter | None:
        """Start the next waiting request if a connection is free, and return it.

        Requests whose deadline has passed are dropped. The cost is amortised O(1): each
        step starts a request, drops one or pays off a part of an earlier charge.
        """
        while self.running < self.connections and self.ring:
            organisation, queue = next(iter(self.ring.items()))
            if queue.deficit < 1:
                queue.deficit += queue.quantum
                if queue.deficit < 1:
                    self.ring.move_to_end(organisation)
                    continue
            waiter = self._pop(queue)
            is_expired = waiter.deadline_ms <= now_ms
            if not is_expired:
                queue.deficit -= 1
                self._start(queue)
            self._update_ring(organisation, queue)
            if queue.deficit < 1 and organisation in self.ring:
                self.ring.move_to_end(organisation)
            if not is_expired:
                return waiter
        return None

    def cancel(self, waiter: Waiter) -> bool:
        """Remove a waiting request; return False if it no longer waits."""
        queue = self.queues.get(waiter.organisation)
        if queue is None or queue.waiting.pop(waiter.ticket, None) is None:
            return False
        self._count_removed(queue)
        self._update_ring(waiter.organisation, queue)
        return True

    def finish(
        self, organisation: str, service_ms: float | None, ticket: int = 0
    ) -> None:
        """Release the connection of a started request.

        Parameters
        ----------
        organisation : str
            Organisation of the request.
        service_ms : float or None
            How long the connection was held; None if it was not used.
        ticket : int
            Not needed by this queue.
        """
        queue = self.queues[organisation]
        queue.running -= 1
        self.running -= 1
        if service_ms is not None:
            if queue.waiting:
                # Connection time is to be shared fairly, so long uses cost more.
                extra = int(service_ms / max(self.service_ms, MIN_SERVICE_MS)) - 1
                queue.deficit -= max(0, min(MAX_CHARGE, extra))
                queue.deficit = max(-MAX_CHARGE, queue.deficit)
            self.service_ms += SERVICE_TIME_SMOOTHING * (service_ms - self.service_ms)
        self._update_ring(organisation, queue)

    def refuse_waiting(self, work: object, now_ms: float) -> QueueRefused:
        """Return the refusal of a request that has waited until its deadline."""
        return QueueRefused("no connection by the deadline", 0.0)

    def remove_hopeless(self, now_ms: float) -> tuple[()]:
        """Return nothing: a queued request stays until its deadline."""
        return ()

    def limit_per_organisation(self) -> int:
        """Return the most connections that one organisation may hold."""
        if self.connections >= RESERVE_FROM_CONNECTIONS:
            return self.connections - 1
        return self.connections

    def _may_start(self, queue: OrganisationQueue | None) -> bool:
        if self.running >= self.connections or self.ring:
            return False
        return queue is None or (
            not queue.waiting and queue.running < self.limit_per_organisation()
        )

    def _start(self, queue: OrganisationQueue) -> None:
        queue.running += 1
        self.running += 1

    def _pop(self, queue: OrganisationQueue) -> Waiter:
        _, waiter = queue.waiting.popitem(last=False)
        self._count_removed(queue)
        return waiter

    def _count_removed(self, queue: OrganisationQueue) -> None:
        self.waiting -= 1
        if not queue.waiting:
            self.waiting_quanta -= queue.quantum
            queue.deficit = 0

    def _update_ring(self, organisation: str, queue: OrganisationQueue) -> None:
        if queue.waiting and queue.running < self.limit_per_organisation():
            if organisation not in self.ring:
                self.ring[organisation] = queue
            return
        self.ring.pop(organisation, None)
        if not queue.waiting and not queue.running:
            self.queues.pop(organisation, None)

    def _estimate_ms(self, organisation: str, own_waiting: int) -> float:
        quantum = self.quanta.get(organisation, 1)
        position = own_waiting + 1
        rounds = math.ceil(position / quantum)
        other_quanta = self.waiting_quanta - (quantum if own_waiting else 0)
        others = min(self.waiting - own_waiting, rounds * other_quanta)
        all_connections = max(1, self.connections)
        own_connections = max(1, self.limit_per_organisation())
        return self.service_ms * max(
            (position + others) / all_connections, position / own_connections
        )


def make_quanta(weights: dict[str, float]) -> dict[str, int]:
    """Return the requests that each organisation may start in one round."""
    smallest = min((weight for weight in weights.values() if weight > 0), default=1)
    return {
        organisation: max(1, min(MAX_QUANTUM, int(weight / smallest)))
        for organisation, weight in weights.items()
    }


def make_fair_queue(
    connections: int, *, max_queue_length: int = DEFAULT_QUEUE_LENGTH
) -> FairQueue:
    """Return an idle queue for `connections` connections."""
    return FairQueue(connections, max_queue_length)
