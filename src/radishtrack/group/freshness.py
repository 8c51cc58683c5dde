"""Upper bounds of the age of a replica's data."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

import attrs

from radishtrack.group.evidence import StatusRound, find_primary, has_term_evidence
from radishtrack.group.status import Group, MemberStatus

SAMPLE_LIMIT: Final = 512
"""Number of samples kept: two minutes at four rounds a second."""


@attrs.define(frozen=True)
class PrimarySample:
    """The primary had reached `sequence` in `term` not before `started_ms`."""

    term: int
    sequence: int
    started_ms: float


@attrs.define
class FreshnessSamples:
    """Samples of the primary's position in one term, oldest first."""

    samples: deque[PrimarySample] = attrs.field(
        factory=lambda: deque(maxlen=SAMPLE_LIMIT)
    )

    def record(self, status_round: StatusRound, group: Group) -> None:
        """Add a sample if the round shows that the term is current.

        Without term evidence the primary may have been replaced already, and its
        position would make an outdated replica look fresh.
        """
        if self.samples and self.samples[-1].term > group.term:
            return
        if self.samples and self.samples[-1].term < group.term:
            self.samples.clear()
        primary = find_primary(status_round, group)
        if primary is None or not has_term_evidence(status_round, group):
            return
        if self.samples and self.samples[-1].started_ms >= status_round.started_ms:
            return
        self.samples.append(
            PrimarySample(
                group.term, primary.position.sequence, status_round.started_ms
            )
        )

    def age_ms(self, status: MemberStatus, now_ms: float) -> float:
        """Return an upper bound of the age of a replica's data.

        Parameters
        ----------
        status : MemberStatus
            The replica's last status.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        float
            Milliseconds; infinite if no sample of the replica's term bounds it.
        """
        reached_ms = (
            sample.started_ms
            for sample in reversed(self.samples)
            if sample.term == status.term
            and sample.sequence <= status.position.sequence
        )
        started_ms = next(reached_ms, None)
        return math.inf if started_ms is None else now_ms - started_ms


def make_freshness_samples() -> FreshnessSamples:
    """Return an empty set of samples."""
    return FreshnessSamples()
