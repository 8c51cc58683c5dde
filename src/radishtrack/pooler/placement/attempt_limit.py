"""Time limit of one read attempt, from what the member plausibly needs.

A read whose response was lost is repeated on another connection, so a short limit helps
it. A read that is cut off while its member still works on it costs the slot twice, so
the limit lies far in the tail of the response times.
"""

from __future__ import annotations

import math
from typing import Final

from radishtrack.pooler.catalog import ReadClass
from radishtrack.pooler.placement.capacity import MemberCapacity
from radishtrack.pooler.placement.service_times import StatementKind

MIN_ATTEMPT_MS: Final = 120.0
"""Smallest limit; below it, a pause of the node or network looks like a loss."""
ATTEMPT_MEANS: Final = 10.0
"""Limit in expected response times. With a spread of 0.7 and 1% of the statements at
five times the mean, fewer than 0.2% of the responses take longer."""
MIN_SAMPLES: Final = 2.5
"""Recent samples of the member, and samples of the class, below which the largest
limit applies. With 4, the limit applied to two thirds of the reads only at one
statement in 3 s; with 2.5, to more than nine tenths."""
SAMPLE_SPREAD: Final = 0.7
"""Spread of the logarithm of one sample; the mean is assumed to be higher by one
standard error."""
ABANDONED_FACTOR: Final = 2.0
"""Factor of the limit for each attempt in a row that was abandoned. The member may have
slowed, in which case each further attempt adds to its load."""
MAX_ABANDONED: Final = 8
"""Number of abandoned attempts that count; bounds the factor."""


def find_attempt_limit(
    capacity: MemberCapacity,
    read_class: ReadClass,
    *,
    in_flight: int,
    largest_ms: float,
    now_ms: float,
) -> float:
    """Return the time limit of a read at a member in milliseconds.

    Parameters
    ----------
    capacity : MemberCapacity
        What is known about the member.
    read_class : ReadClass
        Class of the read.
    in_flight : int
        Statements of this node at the member.
    largest_ms : float
        Limit that applies without sufficient knowledge.
    now_ms : float
        Current time in milliseconds.
    """
    weight = capacity.known_weight(now_ms)
    samples = capacity.times.find((StatementKind.READ, read_class)).weight
    is_load_known = capacity.has_load and not capacity.is_unknown(now_ms)
    if min(weight, samples) < MIN_SAMPLES or not is_load_known:
        return largest_ms
    expected_ms = capacity.expected_ms(
        StatementKind.READ, now_ms, read_class, in_flight
    )
    margin = math.exp(SAMPLE_SPREAD / math.sqrt(weight))
    margin *= ABANDONED_FACTOR ** min(MAX_ABANDONED, capacity.abandoned)
    limit_ms = ATTEMPT_MEANS * expected_ms * margin
    return min(largest_ms, max(MIN_ATTEMPT_MS, limit_ms))
