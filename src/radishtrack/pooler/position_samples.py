"""Positions of a group's log with the time up to which they are complete.

They are the primary's. Replicas that are known can't tell what one that isn't has
received: a member receives commits before any list names it.
"""

from __future__ import annotations

import bisect
import math
from collections import deque
from typing import Final

import attrs

from radishtrack.session.position import Position

SAMPLE_KEEP_MS: Final = 10_000.0
"""Age at which samples are dropped; routes are unlikely to accept a larger age."""
SAMPLE_SPACING_MS: Final = 50.0
"""Smallest interval between two samples; it bounds their number."""


@attrs.frozen
class Sample:
    """A position that contains all commits acknowledged before a time.

    Parameters
    ----------
    position : Position
        End of the log.
    at_ms : float
        The position contains every commit acknowledged before this time.
    """

    position: Position
    at_ms: float


@attrs.define
class PositionSamples:
    """The recent samples of one term, in the order of their times and positions."""

    samples: deque[Sample] = attrs.field(factory=deque)

    @property
    def latest(self) -> Position | None:
        """Position of the newest sample."""
        return self.samples[-1].position if self.samples else None

    def add(self, sample: Sample) -> None:
        """Add a sample unless a sample of about its time is known."""
        if self.samples and sample.at_ms < self.samples[-1].at_ms + SAMPLE_SPACING_MS:
            return
        # A newer sample with a lower or equal position replaces older ones: it meets
        # every age that they meet.
        while self.samples and self.samples[-1].position >= sample.position:
            self.samples.pop()
        self.samples.append(sample)
        while self.samples[0].at_ms < sample.at_ms - SAMPLE_KEEP_MS:
            self.samples.popleft()

    def find(self, max_age_ms: float, now_ms: float) -> Sample | None:
        """Return the lowest sample that contains all commits older than an age.

        Returns
        -------
        Sample or None
            None if no sample is recent enough.
        """
        oldest = bisect.bisect_left(
            self.samples, now_ms - max_age_ms, key=lambda sample: sample.at_ms
        )
        return self.samples[oldest] if oldest < len(self.samples) else None

    def clear(self) -> None:
        """Drop all samples, as a later term may lack their positions."""
        self.samples.clear()

    def find_contained_ms(self, position: Position) -> float:
        """Return the time before which all acknowledged commits are in a log."""
        return max(
            (s.at_ms for s in self.samples if s.position <= position),
            default=-math.inf,
        )
