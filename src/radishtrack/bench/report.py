"""Measures of one run and of a series of repeated runs, as JSON and text tables."""

from __future__ import annotations

import enum
import itertools
import json
import math
import statistics
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, Final

import attrs
from hdrh.histogram import HdrHistogram

from radishtrack.bench.experiment import OrganisationLoad
from radishtrack.bench.ledger import ClientOutcome, Judgement
from radishtrack.bench.load import RunResult, Sample
from radishtrack.bench.observe import FaultRecord
from radishtrack.bench.schedule import Operation

MICROSECONDS_PER_MILLISECOND: Final = 1000
MICROSECONDS_PER_SECOND: Final = 1_000_000
MAX_LATENCY_US: Final = 3_600_000_000
SIGNIFICANT_FIGURES: Final = 3
MAX_SHOWN_MARKERS: Final = 10
REFUSALS: Final = frozenset(
    {
        ClientOutcome.REFUSED,
        ClientOutcome.OVER_RATE,
        ClientOutcome.NO_SERVICE,
        ClientOutcome.DRAINING,
    }
)


@attrs.define(frozen=True)
class Latency:
    """Latency from the intended send time, in milliseconds."""

    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


@attrs.define(frozen=True)
class OrganisationService:
    """The service that one organisation received.

    Parameters
    ----------
    name : str
        The organisation.
    offered : int
        Requests that it sent.
    due : int
        Requests that its rate and burst admit.
    served : int
        Requests that succeeded.
    share : float
        Ratio of served to due requests, at most 1.
    refused : int
        Requests that were refused.
    refused_within_rate : int
        Refused requests, up to the number by which fewer were served than due.
    excess : int
        Served requests beyond its burst and its rate over the whole run.
    p99_ms : float
        Latency of its successful requests, in milliseconds.
    """

    name: str
    offered: int
    due: int
    served: int
    share: float
    refused: int
    refused_within_rate: int
    excess: int
    p99_ms: float


@attrs.define(frozen=True)
class RunReport:
    """The measures of one run."""

    experiment: str
    seed: int
    duration_s: float
    requests: int
    answers: dict[str, dict[str, int]]
    """Number of requests by operation and client outcome."""
    latencies: dict[str, Latency]
    """Latency of successful requests by operation."""
    service_gap_s: float | None
    """Longest time without a successful booking."""
    organisations: tuple[OrganisationService, ...]
    unknown_outcomes: int
    replica_share: float | None
    cpu_us_per_request: float | None
    """CPU time of the measured processes, less their idle CPU time."""
    idle_cores: float
    """Number of cores that the measured processes use without load."""
    judgement: Judgement | None
    faults: tuple[FaultRecord, ...]
    moves: int
    lost_connections: int
    latest_send_ms: float

    @property
    def worst_served(self) -> OrganisationService:
        """The organisation with the lowest share."""
        return min(self.organisations, key=lambda service: service.share)

    @property
    def refused_within_rate(self) -> int:
        """Refused requests of all organisations within their rates."""
        return sum(service.refused_within_rate for service in self.organisations)

    @property
    def excess(self) -> int:
        """Served requests of all organisations beyond their limits."""
        return sum(service.excess for service in self.organisations)


def make_histogram(samples: Iterable[Sample]) -> Any:
    """Return an HdrHistogram of the latencies in microseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
    for sample in samples:
        latency_us = round(sample.latency_ms * MICROSECONDS_PER_MILLISECOND)
        histogram.record_value(max(1, min(latency_us, MAX_LATENCY_US)))
    return histogram


def make_report(result: RunResult, replica_share: float | None = None) -> RunReport:
    """Return the measures of one run.

    Parameters
    ----------
    result : RunResult
        The run.
    replica_share : float or None
        Share of reads that replicas served; None to use the share from the metrics.

    Returns
    -------
    RunReport
        The measures.
    """
    experiment, samples = result.experiment, result.samples
    answers = {
        operation.value: dict(
            Counter(
                s.client_outcome.value
                for s in samples
                if s.arrival.operation is operation
            )
        )
        for operation in Operation
    }
    measured_share = result.reads.replica_share if result.reads else None
    return RunReport(
        experiment=experiment.name,
        seed=experiment.seed,
        duration_s=experiment.duration_s,
        requests=len(samples),
        answers={name: counts for name, counts in answers.items() if counts},
        latencies=dict(_iterate_latencies(samples)),
        service_gap_s=find_service_gap_s(samples, experiment.duration_s),
        organisations=tuple(
            _make_service(load, samples) for load in experiment.organisations
        ),
        unknown_outcomes=sum(_is_unknown_write(sample) for sample in samples),
        replica_share=measured_share if replica_share is None else replica_share,
        cpu_us_per_request=(
            max(0.0, result.cpu_s - result.idle_cpu_s)
            * (MICROSECONDS_PER_SECOND / len(samples))
            if result.cpu_s and samples
            else None
        ),
        idle_cores=result.idle_cpu_s / result.elapsed_s if result.elapsed_s else 0.0,
        judgement=result.judgement,
        faults=tuple(result.faults),
        moves=result.moves,
        lost_connections=result.lost_connections,
        latest_send_ms=result.latest_send_ms,
    )


def find_service_gap_s(samples: Iterable[Sample], duration_s: float) -> float | None:
    """Return the longest time without a successful booking, in seconds.

    The start and the end of the load count as bookings. None without booking requests.
    """
    bookings = [s for s in samples if s.arrival.operation is Operation.BOOKING]
    if not bookings:
        return None
    ended_s = (
        s.ended_ms / 1000 for s in bookings if s.client_outcome is ClientOutcome.OK
    )
    inside = [at_s for at_s in ended_s if at_s < duration_s]
    times = [0.0, *sorted(inside), duration_s]
    return max(later - earlier for earlier, later in itertools.pairwise(times))


def _is_unknown_write(sample: Sample) -> bool:
    unknown = (
        ClientOutcome.UNKNOWN,
        ClientOutcome.CONNECTION_LOST,
        ClientOutcome.TIMED_OUT,
    )
    return sample.arrival.operation.is_write and sample.client_outcome in unknown


def _iterate_latencies(samples: Sequence[Sample]) -> Iterator[tuple[str, Latency]]:
    for operation in Operation:
        histogram = make_histogram(
            s
            for s in samples
            if s.arrival.operation is operation and s.client_outcome is ClientOutcome.OK
        )
        if histogram.get_total_count():
            yield operation.value, _make_latency(histogram)


def _make_latency(histogram: Any) -> Latency:
    def at(percentile: float) -> float:
        value_us: float = histogram.get_value_at_percentile(percentile)
        return value_us / MICROSECONDS_PER_MILLISECOND

    return Latency(
        count=histogram.get_total_count(),
        p50_ms=at(50.0),
        p90_ms=at(90.0),
        p99_ms=at(99.0),
        p999_ms=at(99.9),
        max_ms=histogram.get_max_value() / MICROSECONDS_PER_MILLISECOND,
    )


def _make_service(
    load: OrganisationLoad, samples: Sequence[Sample]
) -> OrganisationService:
    own = [sample for sample in samples if sample.arrival.organisation == load.name]
    served = [sample for sample in own if sample.client_outcome is ClientOutcome.OK]
    due = sum(sample.arrival.is_within_rate for sample in own)
    refused = sum(sample.client_outcome in REFUSALS for sample in own)
    histogram = make_histogram(served)
    p99_us = histogram.get_value_at_percentile(99.0) if served else 0
    return OrganisationService(
        name=load.name,
        offered=len(own),
        due=due,
        served=len(served),
        share=min(1.0, len(served) / due) if due else 1.0,
        refused=refused,
        # The proxy's bucket decides which requests of an overload are within the
        # rate, so only their number is compared.
        refused_within_rate=min(refused, max(0, due - len(served))),
        excess=_find_excess(load, served),
        p99_ms=p99_us / MICROSECONDS_PER_MILLISECOND,
    )


def _find_excess(load: OrganisationLoad, served: Sequence[Sample]) -> int:
    if load.limit_per_s == 0 or not served:
        return 0
    elapsed_s = max(sample.ended_ms for sample in served) / 1000
    return max(0, len(served) - math.ceil(load.burst + load.limit_per_s * elapsed_s))


@attrs.define(frozen=True)
class SeriesReport:
    """Measures over all runs of an experiment."""

    experiment: str
    repeats: int
    service_gap_median_s: float | None
    service_gap_worst_s: float | None
    replica_share_median: float | None
    worst_share: float
    worst_organisation: str
    refused_within_rate: int
    excess: int
    unknown_outcomes: int
    lost: int
    duplicated: int
    ran_although_refused: int
    own_writes_missed: int
    stale_strict_reads: int
    stale_aged_reads: int
    runs_without_judgement: int
    runs: tuple[RunReport, ...]


def make_series(runs: Sequence[RunReport]) -> SeriesReport:
    """Return the measures over all runs."""
    gaps = [run.service_gap_s for run in runs if run.service_gap_s is not None]
    shares = [run.replica_share for run in runs if run.replica_share is not None]
    worst = min((run.worst_served for run in runs), key=lambda service: service.share)
    judgements = [run.judgement for run in runs if run.judgement is not None]

    def total(measure: Callable[[Judgement], int]) -> int:
        return sum(measure(judgement) for judgement in judgements)

    return SeriesReport(
        experiment=runs[0].experiment,
        repeats=len(runs),
        service_gap_median_s=statistics.median(gaps) if gaps else None,
        service_gap_worst_s=max(gaps, default=None),
        replica_share_median=statistics.median(shares) if shares else None,
        worst_share=worst.share,
        worst_organisation=worst.name,
        refused_within_rate=sum(run.refused_within_rate for run in runs),
        excess=sum(run.excess for run in runs),
        unknown_outcomes=sum(run.unknown_outcomes for run in runs),
        lost=total(lambda judgement: len(judgement.lost)),
        duplicated=total(lambda judgement: len(judgement.duplicated)),
        ran_although_refused=total(
            lambda judgement: len(judgement.ran_although_refused)
        ),
        own_writes_missed=total(lambda judgement: judgement.own_writes_missed),
        stale_strict_reads=total(lambda judgement: judgement.stale_strict_reads),
        stale_aged_reads=total(lambda judgement: judgement.stale_aged_reads),
        runs_without_judgement=len(runs) - len(judgements),
        runs=tuple(runs),
    )


def to_json(series: SeriesReport) -> str:
    """Return the report as JSON."""

    def serialize(_: type, __: Any, value: Any) -> Any:
        return value.value if isinstance(value, enum.Enum) else value

    return json.dumps(attrs.asdict(series, value_serializer=serialize), indent=2)


def to_text(series: SeriesReport) -> str:
    """Return the report as text tables."""
    return "\n".join(_iterate_lines(series)) + "\n"


def _iterate_lines(series: SeriesReport) -> Iterator[str]:
    yield f"{series.experiment}: {series.repeats} run(s)"
    names = [field.name for field in attrs.fields(SeriesReport)]
    for name in names[2:-1]:
        yield f"  {name:<26} {_format_value(getattr(series, name))}"
    for number, run in enumerate(series.runs):
        yield f"run {number}: seed {run.seed}, {run.requests} requests"
        for operation, counts in run.answers.items():
            shown = ", ".join(
                f"{client_outcome}: {count}" for client_outcome, count in counts.items()
            )
            yield f"  {operation:<13} {shown}"
        yield f"  {'latency (ms)':<13} {'p50':>9} {'p90':>9} {'p99':>9} {'max':>9}"
        for operation, latency in run.latencies.items():
            columns = (latency.p50_ms, latency.p90_ms, latency.p99_ms, latency.max_ms)
            shown = " ".join(f"{value:>9.2f}" for value in columns)
            yield f"  {operation:<13} {shown}"
        yield from _iterate_service_lines(run)


def _iterate_service_lines(run: RunReport) -> Iterator[str]:
    yield f"  {'organisation':<24} offered    due served  share refused  in rate excess"
    for service in run.organisations:
        yield (
            f"  {service.name:<24} {service.offered:>7} {service.due:>6} "
            f"{service.served:>6} {service.share:>6.3f} {service.refused:>7} "
            f"{service.refused_within_rate:>8} {service.excess:>6}"
        )
    if run.judgement is not None:
        verdict = run.judgement
        yield (
            f"  writes: {verdict.acknowledged} acknowledged, {verdict.not_run} not run,"
            f" {verdict.unknown} unknown ({verdict.unknown_present} of them present); "
            f"{verdict.rows_expected} rows expected by reads"
        )
        violations = (*verdict.lost, *verdict.duplicated, *verdict.ran_although_refused)
        if violations:
            yield f"  violations: {', '.join(violations[:MAX_SHOWN_MARKERS])}"
    for fault in run.faults:
        error = f" ({fault.error})" if fault.error else ""
        yield f"  fault at {fault.at_ms / 1000:.2f} s: {fault.name}{error}"
    cpu = _format_value(run.cpu_us_per_request)
    yield (
        f"  cpu us/request {cpu}, idle cores {run.idle_cores:.3f}, "
        f"moves {run.moves}, lost connections {run.lost_connections}"
    )


def _format_value(value: object) -> str:
    if value is None:
        return "-"
    return f"{value:.3f}" if isinstance(value, float) else str(value)
