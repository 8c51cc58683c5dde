"""Latest status of each member of a group and when its poll was sent."""

from __future__ import annotations

import attrs

from radishtrack.group.evidence import StatusRound
from radishtrack.group.status import MemberStatus


@attrs.define(frozen=True)
class PolledStatus:
    """A member's status and the time at which its poll was sent, in milliseconds."""

    status: MemberStatus
    sent_ms: float


@attrs.define
class StatusBoard:
    """Latest status of each member that has ever responded."""

    polled: dict[str, PolledStatus] = attrs.field(factory=dict)
    latest_statuses: dict[str, MemberStatus] = attrs.field(factory=dict)
    """The statuses of `polled` without their times."""

    def record(self, polled_status: PolledStatus) -> None:
        """Replace the status of one member."""
        self.polled[polled_status.status.member] = polled_status
        self.latest_statuses[polled_status.status.member] = polled_status.status

    def remove(self, member: str) -> None:
        """Drop the status of a member that moved or left the group."""
        self.polled.pop(member, None)
        self.latest_statuses.pop(member, None)

    def collect(self, started_ms: float) -> StatusRound:
        """Return the statuses from polls sent at or after a time.

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
        """Return the statuses since a time as a round that starts with the oldest.

        Parameters
        ----------
        oldest_ms : float
            Time in milliseconds. Earlier statuses are left out, so that an unresponsive
            member does not set the start of the round.
        """
        recent = self.collect(oldest_ms)
        sent = (self.polled[member].sent_ms for member in recent.statuses)
        return StatusRound(min(sent, default=oldest_ms), recent.statuses)
