"""Steps and state of a promotion attempt."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any, Final

import attrs

from radishtrack.group.detection import VoteTally
from radishtrack.group.status import Group, MemberStatus
from radishtrack.session.position import Position

STEP_TIMEOUT_MS: Final = 500.0
"""Timeout for the responses of one step. Every step can use it twice within the limit
of 7 s for a change of primary."""

MINIMUM_BACKOFF_MS: Final = 100.0
"""First pause after a platform call without a response."""

MAXIMUM_BACKOFF_MS: Final = 1_000.0
"""Longest pause between platform calls, so that a promotion resumes within a second."""

TRY_LIMIT: Final = 3
"""Number of times that a step queries voters or members before the attempt ends."""


class Step(enum.Enum):
    """Steps of a promotion attempt."""

    SUSPECT = "suspect"
    VOTING = "voting"
    READING = "reading"
    FENCING = "fencing"
    RECORDING = "recording"
    INSTALLING = "installing"
    DONE = "done"
    LOST = "lost"
    FAILED = "failed"


FINAL_STEPS: Final = frozenset({Step.DONE, Step.LOST, Step.FAILED})

TRANSITIONS: Final[tuple[tuple[Any, ...], ...]] = (
    ("suspected", Step.SUSPECT, Step.VOTING),
    ("took_over", Step.SUSPECT, Step.READING),
    ("agreed", Step.VOTING, Step.READING),
    ("votes_expired", Step.READING, Step.VOTING),
    ("read", Step.READING, Step.FENCING),
    ("elected", Step.FENCING, Step.RECORDING),
    ("recorded", Step.RECORDING, Step.INSTALLING),
    ("installed", Step.INSTALLING, Step.DONE),
    (
        "superseded",
        (Step.READING, Step.FENCING, Step.RECORDING, Step.INSTALLING),
        Step.LOST,
    ),
    (
        "gave_up",
        (Step.SUSPECT, Step.VOTING, Step.READING, Step.FENCING, Step.INSTALLING),
        Step.FAILED,
    ),
)
"""An attempt never gives up while recording: its update may still be applied, and only
the platform knows whether it was."""


@attrs.define(slots=False, eq=False)
class AttemptState:
    """State of one attempt.

    The record is read before members are fenced, to check that the platform responds:
    fencing during an outage of the platform would end strict reads without a promotion.

    Parameters
    ----------
    group : Group
        The latest known record.
    attempt_id : str
        Unique identifier, written into the record.
    tally : VoteTally
        Votes of the database's voters.
    leaving : frozenset of str
        Members that are being taken out of service.
    """

    group: Group
    attempt_id: str
    tally: VoteTally
    leaving: frozenset[str]
    trigger: Callable[[str], bool] = attrs.field(init=False)
    state: Step = attrs.field(init=False)
    deadline_ms: float | None = None
    """Time at which the attempt expects `DeadlinePassed`."""
    reason: str = ""
    """Why the attempt was lost or failed."""
    is_takeover: bool = False
    tries: int = 0
    backoff_ms: float = MINIMUM_BACKOFF_MS
    fenced: dict[str, MemberStatus] = attrs.field(factory=dict)
    pending_members: set[str] = attrs.field(factory=set)
    confirmed: Position | None = None
    """Up to where voters know commits to be confirmed; None before they responded."""
    has_asked_confirmed: bool = False
    new_group: Group | None = None
    is_promoted: bool = False
    followers: set[str] = attrs.field(factory=set)

    @property
    def is_over(self) -> bool:
        """Whether the attempt ignores further messages."""
        return self.state in FINAL_STEPS

    @property
    def new_term(self) -> int:
        """The term that the attempt tries to start."""
        return self.group.term + 1

    def end(self, trigger: str, reason: str) -> None:
        """End without a promotion by this attempt."""
        self.reason = reason
        self.trigger(trigger)

    def enter_step(self, trigger: str, now_ms: float) -> None:
        """Enter the next step and start its timeout."""
        self.trigger(trigger)
        self.tries = 1
        self.backoff_ms = MINIMUM_BACKOFF_MS
        self.restart_timeout(now_ms)

    def restart_timeout(self, now_ms: float) -> None:
        """Restart the timeout of the current step."""
        self.deadline_ms = now_ms + STEP_TIMEOUT_MS

    def back_off(self, now_ms: float) -> None:
        """Pause before the next call to the platform."""
        self.deadline_ms = now_ms + self.backoff_ms
        self.backoff_ms = min(2 * self.backoff_ms, MAXIMUM_BACKOFF_MS)
