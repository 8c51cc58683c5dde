"""The planned stop of a node, as a state machine without sockets or tasks."""

from __future__ import annotations

import enum
import math
from typing import Final

import attrs
from transitions import Machine

MIN_DRAIN_MS: Final = 1_000.0
"""Time for peers and the load balancer to learn that the node is leaving, before it
closes idle connections on which a statement may be in flight."""

FINISH_FRACTION: Final = 0.9
"""Fraction of the timeout after which open transactions get no further statements, so
that those that run can still be answered."""

BEGIN: Final = "stop_accepting"
STOP_STATEMENTS: Final = "stop_statements"
CLOSE: Final = "close_connections"
END: Final = "finish"


class DrainState(enum.Enum):
    """Stages of a planned stop."""

    SERVING = "serving"
    DRAINING = "draining"
    FINISHING = "finishing"
    """Running statements end; no others are accepted, not even in transactions."""
    CLOSING = "closing"
    STOPPED = "stopped"


class DrainDecision(enum.Enum):
    """What to do with a connection or statement."""

    ACCEPT = "accept"
    REFUSE = "refuse"
    """Nothing was run; the client should reconnect (error 9006)."""


_TRANSITIONS: Final = [
    {"trigger": BEGIN, "source": DrainState.SERVING, "dest": DrainState.DRAINING},
    {
        "trigger": STOP_STATEMENTS,
        "source": DrainState.DRAINING,
        "dest": DrainState.FINISHING,
    },
    {
        "trigger": CLOSE,
        "source": [DrainState.DRAINING, DrainState.FINISHING],
        "dest": DrainState.CLOSING,
    },
    {"trigger": END, "source": DrainState.CLOSING, "dest": DrainState.STOPPED},
]


@attrs.define(slots=False)
class Drain:
    """A planned stop.

    Parameters
    ----------
    timeout_ms : float
        How long running statements and transactions may take, in milliseconds.
    """

    timeout_ms: float
    state: DrainState = DrainState.SERVING
    started_ms: float = math.inf
    machine: Machine = attrs.field(init=False, repr=False, eq=False)

    def begin(self, now_ms: float) -> bool:
        """Start the drain; return False if it was started before."""
        if self.state is not DrainState.SERVING:
            return False
        self.started_ms = now_ms
        return self._fire(BEGIN)

    def advance(self, now_ms: float, statements: int, transactions: int) -> DrainState:
        """Enter the next state if the work is finished or the deadline has passed.

        Parameters
        ----------
        now_ms : float
            The time, in milliseconds.
        statements : int
            Number of statements being executed.
        transactions : int
            Number of open transactions.

        Returns
        -------
        DrainState
            The current state. In CLOSING, the caller closes all connections, rolls
            back open transactions and then calls `end`.
        """
        waited_ms = now_ms - self.started_ms
        is_late = waited_ms >= FINISH_FRACTION * self.timeout_ms
        if self.state is DrainState.DRAINING and is_late:
            self._fire(STOP_STATEMENTS)
        if self.is_waiting:
            is_idle = statements == 0 and transactions == 0
            is_finished = is_idle and waited_ms >= min(MIN_DRAIN_MS, self.timeout_ms)
            if is_finished or waited_ms >= self.timeout_ms:
                self._fire(CLOSE)
        return self.state

    @property
    def is_waiting(self) -> bool:
        """Whether work may still run."""
        return self.state in (DrainState.DRAINING, DrainState.FINISHING)

    def end(self) -> bool:
        """Record that all connections are closed."""
        return self._fire(END) if self.state is DrainState.CLOSING else False

    def decide_connection(self) -> DrainDecision:
        """Decide on a new connection of a client or peer."""
        if self.state is DrainState.SERVING:
            return DrainDecision.ACCEPT
        return DrainDecision.REFUSE

    def decide_statement(self, *, in_transaction: bool) -> DrainDecision:
        """Decide on a statement that has just arrived from a client or peer."""
        if self.state is DrainState.SERVING:
            return DrainDecision.ACCEPT
        if self.state is DrainState.DRAINING and in_transaction:
            return DrainDecision.ACCEPT
        return DrainDecision.REFUSE

    def _fire(self, trigger: str) -> bool:
        return bool(self.machine.events[trigger].trigger(self))


def make_drain(timeout_ms: float) -> Drain:
    """Return the drain state of a serving node."""
    drain = Drain(timeout_ms)
    drain.machine = Machine(
        model=drain,
        states=DrainState,
        transitions=_TRANSITIONS,
        initial=DrainState.SERVING,
        auto_transitions=False,
    )
    return drain
