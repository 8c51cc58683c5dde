"""Errors of requests: the failed step, the peer and the outcome."""

from __future__ import annotations

import enum

import attrs


class Outcome(enum.Enum):
    """Whether a request was executed, as far as this node can tell."""

    RAN = "ran"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class ErrorCode(enum.IntEnum):
    """Error codes in MySQL error packets sent to clients."""

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
    """A failed step of a request.

    Parameters
    ----------
    step : str
        The step that failed, for example ``"admit"`` or ``"confirm"``.
    peer : str
        The node, member or client at which the step failed; empty for this node.
    outcome : Outcome
        Whether the request was executed.
    code : int
        Error code for the client.
    message : str
        Explanation for the client, without secrets.
    retry_after_ms : float
        Shortest useful delay before a retry, in milliseconds; 0 if unknown.
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
    """Return the error of a request that was refused before it ran."""
    return RequestError(
        Failure(step, peer, Outcome.NOT_RUN, ErrorCode.REFUSED, message)
    )


def make_unknown(step: str, message: str, *, peer: str = "") -> RequestError:
    """Return the error of a request that may or may not have run."""
    return RequestError(
        Failure(step, peer, Outcome.UNKNOWN, ErrorCode.OUTCOME_UNKNOWN, message)
    )
