"""Typed failures: the step, the peer and what is known to have run."""

from __future__ import annotations

import enum

import attrs


class Outcome(enum.Enum):
    """What is known about the execution of a request."""

    RAN = "ran"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class ErrorCode(enum.IntEnum):
    """Error codes that a client sees in a MySQL error packet."""

    ACCESS_DENIED = 1045
    SYNTAX = 1064
    REFUSED = 9001
    OUTCOME_UNKNOWN = 9002
    OVER_RATE = 9003
    INVALID_OPTION = 9004
    NO_SERVICE = 9005
    DRAINING = 9006


@attrs.define(frozen=True)
class Failure:
    """A failed step.

    Parameters
    ----------
    step : str
        The step that failed, for example ``"admit"`` or ``"confirm"``.
    peer : str
        The node, member or client at which it failed; empty for this node.
    outcome : Outcome
        What is known about the execution of the request.
    code : int
        Error code for the client.
    message : str
        Explanation for the client; contains no secret.
    retry_after_ms : float
        Earliest useful time of a retry, in milliseconds from now; 0 if unknown.
    """

    step: str
    peer: str
    outcome: Outcome
    code: int
    message: str
    retry_after_ms: float = 0.0

    def __str__(self) -> str:
        where = f" at {self.peer}" if self.peer else ""
        return (
            f"{self.message} [step={self.step}{where}; outcome: {self.outcome.value}]"
        )


class RequestError(Exception):
    """Raised to end a request with a `Failure`."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


def make_not_run(step: str, message: str, *, peer: str = "") -> RequestError:
    """Return the error of a request that was refused before it could run."""
    return RequestError(
        Failure(step, peer, Outcome.NOT_RUN, ErrorCode.REFUSED, message)
    )


def make_unknown(step: str, message: str, *, peer: str = "") -> RequestError:
    """Return the error of a request that may or may not have run."""
    return RequestError(
        Failure(step, peer, Outcome.UNKNOWN, ErrorCode.OUTCOME_UNKNOWN, message)
    )
