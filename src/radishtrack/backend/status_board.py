"""The latest answers of a group's members and when their polls were sent."""

from __future__ import annotations

import attrs

from radishtrack.group.evidence import StatusRound
from radishtrack.group.status import MemberStatus


@attrs.define(frozen=True)
class PolledStatus:
    """An answer and the time at which its poll was sent, in milliseconds."""

    status: MemberStatus
    sent_ms: float


@attrs.define
class StatusBoard:
    """Latest answer of each member that ever answered."""

    polled: dict[str, PolledStatus] = attrs.field(factory=dict)
    latest: dict[str, MemberStatus] = attrs.field(factory=dict)
    """The statuses of `polled`, for callers that need no times."""

    def note(self, answer: PolledStatus) -> None:
        """Replace the answer of one member."""
        self.polled[answer.status.member] = answer
        self.latest[answer.status.member] = answer.status

    def forget(self, member: str) -> None:
        """Drop the answer of a member that moved or left the group."""
        self.polled.pop(member, None)
        self.latest.pop(member, None)

    def collect(self, started_ms: float) -> StatusRound:
        """Return the answers to polls sent at or after a time.

        Parameters
        ----------
        started_ms : float
            The time in milliseconds.
        """
        statuses = {
            member: polled.status
            for member, polled in self.polled.items()
            if polled.sent_ms >= started_ms
        }
        return StatusRound(started_ms, statuses)

    def collect_recent(self, oldest_ms: float) -> StatusRound:
        """Return the answers since a time as a round that starts with the oldest.

        Parameters
        ----------
        oldest_ms : float
            Earlier answers are left out, so that a silent member does not make the
            round old; in milliseconds.
        """
        recent = self.collect(oldest_ms)
        sent = (self.polled[member].sent_ms for member in recent.statuses)
        return StatusRound(min(sent, default=oldest_ms), recent.statuses)
