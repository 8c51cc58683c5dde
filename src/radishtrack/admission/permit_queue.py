"""Interface of a queue that decides in which order requests get connections."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import Protocol

from radishtrack.admission.fair_queue import (
    QueueDecision,
    QueueRefused,
    Waiter,
)


class QueuedWork(Protocol):
    """What a queue may know of a request besides its organisation and deadline."""

    @property
    def priority(self) -> int:
        """Priority; 0 is the most urgent."""

    @property
    def objective_until_ms(self) -> float:
        """Time until which the request can meet its latency objective."""

    @property
    def kind(self) -> enum.Enum:
        """What the connection is needed for."""


class PermitQueue(Protocol):
    """Queue of a `Gate`; all times are in milliseconds on the gate's clock."""

    @property
    def connections(self) -> int:
        """Number of connections."""

    @property
    def running(self) -> int:
        """Number of started requests."""

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""

    @property
    def quanta(self) -> dict[str, int]:
        """Requests that each organisation may start in one round."""

    @property
    def check_interval_ms(self) -> float | None:
        """Pause between calls of `remove_hopeless`; None if it removes nothing."""

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the organisations' weights."""

    def set_connections(self, connections: int) -> None:
        """Change the number of connections."""

    def offer(
        self,
        organisation: str,
        now_ms: float,
        deadline_ms: float,
        work: QueuedWork | None = None,
    ) -> QueueDecision:
        """Start, queue or refuse a request."""

    def resume(self, organisation: str, now_ms: float, work: QueuedWork | None) -> int:
        """Count a request that another queue has started; return its ticket."""

    def next_waiter(self, now_ms: float) -> Waiter | None:
        """Start the next waiting request if a connection is free, and return it."""

    def cancel(self, waiter: Waiter) -> bool:
        """Remove a waiting request; return False if it no longer waits."""

    def finish(
        self, organisation: str, service_ms: float | None, ticket: int = 0
    ) -> None:
        """Release the connection of a started request."""

    def refuse_waiting(self, work: QueuedWork | None, now_ms: float) -> QueueRefused:
        """Return the refusal of a request that has waited until its deadline."""

    def remove_hopeless(self, now_ms: float) -> Iterable[tuple[Waiter, QueueRefused]]:
        """Remove and return the waiting requests that are refused before they ran."""
