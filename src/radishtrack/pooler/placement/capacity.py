"""What one node has learned about a member: its speed, failures and capacity.

Response times are compared as logarithms of their ratio to what was expected, because
service times spread by a factor: a statement that takes five times as long as usual
then moves an average no more than one that takes a fifth.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

from radishtrack.pooler.catalog import ReadClass
from radishtrack.pooler.placement.service_times import (
    MAX_SURPRISE,
    SPEED_KINDS,
    ServiceTimes,
    StatementClass,
    StatementKind,
)
from radishtrack.pooler.statements import Refusal

MAX_WEIGHT: Final = 5.0
"""Samples that a member's slowness averages. With a spread of 0.7 in the logarithm, its
standard error is 0.31; a node gets this many samples in about 5 s. With 8 samples, a
member that slows suddenly is noticed later and more reads miss the objective."""
PRIOR_WEIGHT: Final = 1.0
"""Samples for which the assumption counts that a member is as fast as the others."""
SAMPLE_AGE_MS: Final = 20_000.0
"""Age at which a sample's weight has fallen to 1/e. A member that was slow and gets no
work is assumed to be like the others again after about twice this time."""
LIMIT_GAIN: Final = 0.1
"""Part of a difference by which the limit changes. The limit then fluctuates by 16% at
a spread of 0.7, and follows a change within about ten samples under load."""
LOADED_SLOWNESS_GAIN: Final = 0.5
"""Factor of a sample's weight in the slowness under load, when the limit follows."""
LOADED_FROM: Final = 0.5
"""Load in parts of the limit from which responses show whether the limit is right."""
MAX_LIMIT_SLOTS: Final = 2.0
"""Largest limit in parts of the member's slots."""
LIMIT_AGE_MS: Final = 60_000.0
"""Time in which a limit without samples under load approaches the slots by 1 - 1/e."""
MAX_OUTCOMES: Final = 16.0
"""Outcomes that the failure rate averages."""
PRIOR_OUTCOMES: Final = 3.0
PRIOR_FAILURES: Final = 0.06
"""Outcomes and failures that are assumed of a member without any."""
MAX_FAILURE_RATE: Final = 0.95
LOAD_GAIN: Final = 0.2
"""Weight of the newest report in the mean load. A report shows one moment of a load
that changes within tens of milliseconds, so one report alone predicts little. With 0.5,
all nodes follow the same old reports and the load oscillates between members."""
FRESH_REPORT_MS: Final = 300.0
"""Age at which a report counts 1/e against the mean of earlier ones."""
UNSEEN_MS: Final = 4_000.0
"""Time without a report after which a member is unknown; reports arrive every 2 s."""
UNKNOWN_BELOW_WEIGHT: Final = 0.3
"""Weight of samples below which a member is unknown: one sample 24 s ago."""
STRICT_AGE_MS: Final = 10_000.0
"""Age at which a statement's weight in the strict work has fallen to 1/e."""
CHANGE_FACTOR: Final = 2.0
"""Factor by which slowness or limit must have changed to be reported as an event. With
1.6, chance alone caused 74 events per hour at a steady member; with 2, three."""
CHANGE_WEIGHT: Final = 4.0
"""Recent samples below which a change isn't reported."""
CHANGE_SPACING_MS: Final = 1_000.0
"""Smallest interval between two reported changes of a member."""
MIN_RESPONSE_MS: Final = 0.1
"""Shortest response time that counts; bounds the logarithm."""


FAILURES: Final = frozenset({Refusal.BUSY, Refusal.EXECUTION_FAILED, Refusal.TIMED_OUT})
"""Refusals that count as a member's failure. Others depend on the statement's position,
on the connection or on the member's role."""


def queue_factor(load: float, limit: float) -> float:
    """Return the expected wait at a member, in service times.

    It grows with the square of the load up to the limit, since the load fluctuates
    between reports, and by one service time for each further load of one limit.
    """
    used = load / limit if limit > 1.0 else load
    return used * used / 2 if used <= 1.0 else used - 0.5


@attrs.define(eq=False)
class MemberCapacity:
    """State learned about one member; construct it with `make_member_capacity`.

    Parameters
    ----------
    slots : int
        Statements that the member runs at once.
    times : ServiceTimes
        Usual response times, shared by the members of a group.
    """

    slots: int
    times: ServiceTimes
    log_slowness: float = 0.0
    weight: float = 0.0
    """Samples that the slowness stands for, at `sampled_ms`."""
    sampled_ms: float = 0.0
    log_limit: float = 0.0
    limited_ms: float = 0.0
    """When the limit last had a sample."""
    failures: float = 0.0
    outcomes: float = 0.0
    outcome_ms: float = 0.0
    abandoned: int = 0
    """Statements in a row without a response in time."""
    report_ms: float | None = None
    """When the last report with a load was requested."""
    has_load: bool = False
    """Whether the last report contained the load."""
    reported_load: float = 0.0
    mean_load: float = 0.0
    strict: float = 0.0
    strict_ms: float = 0.0
    is_primary: bool = False
    reported_slowness: float = 0.0
    """Logarithm of the slowness that was last reported as an event."""
    reported_limit: float = 0.0
    """Logarithm of the limit that was last reported as an event."""
    change_ms: float = -math.inf
    """When a change was last reported."""

    def record_response(
        self,
        statement_class: StatementClass,
        elapsed_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Record the duration of a statement that succeeded.

        Parameters
        ----------
        statement_class : tuple
            Kind and read class.
        elapsed_ms : float
            Duration in milliseconds.
        in_flight : int
            Statements of this node at the member.
        now_ms : float
            Current time in milliseconds.
        """
        self.abandoned = 0
        self._count_outcome(0.0, now_ms)
        log_ms = math.log(max(MIN_RESPONSE_MS, elapsed_ms))
        is_speed = statement_class[0] in SPEED_KINDS
        expected = self._expected_log(in_flight, now_ms) if is_speed else 0.0
        whole_kind = self.times.find((statement_class[0], None))
        whole_kind.add(whole_kind.bound(log_ms - expected - whole_kind.log_ms))
        mean = self.times.find(statement_class)
        surprise = mean.bound(log_ms - expected - mean.log_ms)
        is_first = mean.weight == 0.0
        mean.add(surprise)
        if is_speed:
            self._learn(0.0 if is_first else surprise, in_flight, now_ms)

    def record_failure(
        self,
        statement_class: StatementClass,
        now_ms: float,
        *,
        in_flight: int = 0,
        silent_ms: float | None = None,
    ) -> None:
        """Record a statement that failed.

        Its duration doesn't count, except that a statement without a response shows
        that the member is at least as slow as the time waited, if that is longer than
        expected.

        Parameters
        ----------
        statement_class : tuple
            Kind and read class.
        now_ms : float
            Current time in milliseconds.
        in_flight : int
            Statements of this node at the member.
        silent_ms : float or None
            Time in milliseconds without a response until the statement was abandoned;
            None if it failed otherwise.
        """
        self._count_outcome(1.0, now_ms)
        if silent_ms is None:
            return
        self.abandoned += 1
        if statement_class[0] not in SPEED_KINDS:
            return
        mean = self.times.find(statement_class)
        expected = mean.log_ms + self._expected_log(in_flight, now_ms)
        surprise = math.log(max(MIN_RESPONSE_MS, silent_ms)) - expected
        if mean.weight and surprise > 0.0:
            self._learn(min(MAX_SURPRISE, surprise), in_flight, now_ms)

    def record_strict(self, now_ms: float) -> None:
        """Count a statement that only the primary can run."""
        self.strict = 1.0 + self.strict_work(now_ms)
        self.strict_ms = now_ms

    def observe_load(self, busy: int | None, requested_ms: float) -> None:
        """Apply a report's load; does nothing if the report is known already."""
        if self.report_ms is not None and requested_ms <= self.report_ms:
            return
        is_first = not self.has_load
        self.report_ms = requested_ms
        self.has_load = busy is not None
        if busy is None:
            return
        self.reported_load = float(busy)
        gain = 1.0 if is_first else LOAD_GAIN
        self.mean_load += gain * (busy - self.mean_load)

    def observe_role(self, is_primary: bool) -> None:
        """Forget the member's speed when it becomes the primary."""
        if is_primary and not self.is_primary:
            self.forget()
        self.is_primary = is_primary

    def forget(self) -> None:
        """Forget speed and limit, which belonged to other circumstances."""
        self.log_slowness = self.weight = 0.0
        self.log_limit = math.log(max(1, self.slots))
        self.abandoned = 0

    def take_change(self, now_ms: float) -> bool:
        """Return whether a change is to be reported, and note it as reported."""
        is_early = now_ms - self.change_ms < CHANGE_SPACING_MS
        if is_early or self.known_weight(now_ms) < CHANGE_WEIGHT:
            return False
        slowness, limit = self._log_slowness(now_ms), self._log_limit(now_ms)
        changed = max(
            abs(slowness - self.reported_slowness), abs(limit - self.reported_limit)
        )
        if changed < math.log(CHANGE_FACTOR):
            return False
        self.reported_slowness, self.reported_limit = slowness, limit
        self.change_ms = now_ms
        return True

    def known_weight(self, now_ms: float) -> float:
        """Return the number of samples that the slowness still stands for."""
        return self.weight * _decay(now_ms - self.sampled_ms, SAMPLE_AGE_MS)

    def is_unknown(self, now_ms: float) -> bool:
        """Return whether there is no recent report or sample of the member's speed."""
        is_unseen = self.report_age_ms(now_ms) > UNSEEN_MS
        return is_unseen or self.known_weight(now_ms) < UNKNOWN_BELOW_WEIGHT

    def slowness(self, now_ms: float) -> float:
        """Return the response time without a queue, relative to the usual one."""
        return math.exp(self._log_slowness(now_ms))

    def limit(self, now_ms: float) -> float:
        """Return how many statements the member runs well at once."""
        return math.exp(self._log_limit(now_ms))

    def failure_rate(self, now_ms: float) -> float:
        """Return the fraction of statements that are expected to fail."""
        decay = _decay(now_ms - self.outcome_ms, SAMPLE_AGE_MS)
        rate = (self.failures * decay + PRIOR_FAILURES) / (
            self.outcomes * decay + PRIOR_OUTCOMES
        )
        return rate if rate < MAX_FAILURE_RATE else MAX_FAILURE_RATE

    def load(self, in_flight: int, now_ms: float) -> float:
        """Return the expected statements of all nodes at the member."""
        if self.report_ms is None or not self.has_load:
            return float(in_flight)
        fresh = _decay(now_ms - self.report_ms, FRESH_REPORT_MS)
        expected = self.mean_load + fresh * (self.reported_load - self.mean_load)
        return max(float(in_flight), expected)

    def report_age_ms(self, now_ms: float) -> float:
        """Return the age of the last report in milliseconds; infinite without one."""
        return math.inf if self.report_ms is None else now_ms - self.report_ms

    def strict_work(self, now_ms: float) -> float:
        """Return the recent number of this node's statements for the primary only."""
        return self.strict * _decay(now_ms - self.strict_ms, STRICT_AGE_MS)

    def expected_ms(
        self,
        kind: StatementKind,
        now_ms: float,
        read_class: ReadClass | None = None,
        in_flight: int = 0,
    ) -> float:
        """Return the expected response time of a statement in milliseconds."""
        usual_ms = self.times.usual_ms((kind, read_class))
        if kind not in SPEED_KINDS:
            return usual_ms
        return usual_ms * math.exp(self._expected_log(in_flight, now_ms))

    def _log_slowness(self, now_ms: float) -> float:
        weight = self.known_weight(now_ms)
        return self.log_slowness * weight / (weight + PRIOR_WEIGHT)

    def _log_limit(self, now_ms: float) -> float:
        log_slots = math.log(max(1, self.slots))
        decay = _decay(now_ms - self.limited_ms, LIMIT_AGE_MS)
        return log_slots + decay * (self.log_limit - log_slots)

    def _expected_log(self, in_flight: int, now_ms: float) -> float:
        """Return the logarithm of the factor that slowness and queue cause."""
        wait = queue_factor(self.load(in_flight, now_ms), self.limit(now_ms))
        return self._log_slowness(now_ms) + math.log1p(wait)

    def _learn(self, surprise: float, in_flight: int, now_ms: float) -> None:
        """Move slowness and limit by the difference of a response from expectation."""
        used = self.load(in_flight, now_ms) / self.limit(now_ms)
        loaded = min(1.0, max(0.0, (used - LOADED_FROM) / (1.0 - LOADED_FROM)))
        current = self._log_slowness(now_ms)
        self.weight = min(MAX_WEIGHT, self.known_weight(now_ms) + 1.0)
        self.sampled_ms = now_ms
        gain = (1.0 - LOADED_SLOWNESS_GAIN * loaded) / self.weight
        # The sample is relative to the shrunk value, which is what was expected.
        self.log_slowness += gain * (current + surprise - self.log_slowness)
        if loaded > 0.0:
            log_limit = self._log_limit(now_ms) - LIMIT_GAIN * loaded * surprise
            largest = math.log(MAX_LIMIT_SLOTS * max(1, self.slots))
            self.log_limit = min(largest, max(0.0, log_limit))
            self.limited_ms = now_ms

    def _count_outcome(self, failed: float, now_ms: float) -> None:
        decay = _decay(now_ms - self.outcome_ms, SAMPLE_AGE_MS)
        kept = min(decay, (MAX_OUTCOMES - 1.0) / max(1.0, self.outcomes))
        self.failures = self.failures * kept + failed
        self.outcomes = self.outcomes * kept + 1.0
        self.outcome_ms = now_ms


def _decay(age_ms: float, time_ms: float) -> float:
    return math.exp(-age_ms / time_ms) if age_ms > 0.0 else 1.0


def make_member_capacity(
    slots: int, times: ServiceTimes | None = None
) -> MemberCapacity:
    """Return the state of a member of which nothing is known."""
    capacity = MemberCapacity(slots, times or ServiceTimes())
    capacity.forget()
    capacity.reported_limit = capacity.log_limit
    return capacity
