"""Tests of the load tool: its requests, its measures and its fault detection."""

from __future__ import annotations

import json
from pathlib import Path

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtrack.bench.experiment import (
    Experiment,
    Mix,
    OrganisationLoad,
    Overload,
    parse_experiment,
    parse_targets,
)
from radishtrack.bench.ledger import (
    ClientOutcome,
    Judgement,
    Ledger,
    MissedRow,
    Write,
    classify_error,
    judge,
)
from radishtrack.bench.load import RunResult, Sample
from radishtrack.bench.main import parse_job
from radishtrack.bench.plots import plot_run
from radishtrack.bench.report import (
    find_service_gap_s,
    make_report,
    make_series,
    to_json,
    to_text,
)
from radishtrack.bench.schedule import Arrival, Operation, make_schedule
from radishtrack.errors import Outcome

EXPERIMENTS = sorted((Path(__file__).parent.parent / "experiments").glob("*.toml"))
SHOP = OrganisationLoad("shop", 50.0, 60.0, 10.0, 3)
OFFICE = OrganisationLoad("office", 20.0, 30.0, 5.0, 2)
LOAD = Experiment(
    "x", (SHOP, OFFICE), Mix(booking=1, status=1, receipt=1), duration_s=20.0
)
OVERLOADED = attrs.evolve(LOAD, overloads=(Overload("shop", 4.0, 15.0, 5.0),))
VALID = (
    'name = "x"\nduration_s = 5\n[mix]\nbooking = 1\n'
    '[[organisations]]\nname = "a"\noffered_per_s = 1\n'
)


@pytest.mark.parametrize("path", EXPERIMENTS, ids=lambda path: path.stem)
def test_every_experiment_in_the_repository_is_valid(path: Path) -> None:
    result = parse_experiment(path.read_text())
    assert result.is_ok(), result.error
    assert result.ok.name == path.stem


def test_repository_has_six_experiments() -> None:
    assert len(EXPERIMENTS) == 6


@pytest.mark.parametrize(
    ("change", "path"),
    [
        (("duration_s = 5", ""), "duration_s"),
        (("duration_s = 5", "duration_s = -5"), "duration_s"),
        (("duration_s = 5", "duration_s = true"), "duration_s"),
        (("duration_s = 5", 'duration_s = "5"'), "duration_s"),
        (("duration_s = 5", "duration_s = 5\ncolour = 1"), "colour"),
        (("booking = 1", "booking = 0"), "mix"),
        (("booking = 1", "bookings = 1"), "mix.bookings"),
        (("offered_per_s = 1", "offered_per_s = 0"), "organisations[0].offered_per_s"),
        (("duration_s = 5", 'duration_s = 5\nbooking_table = "a; b"'), "tables"),
        (
            ("offered_per_s = 1\n", 'offered_per_s = 1\n[roaming]\ncarrier = "x"'),
            "roaming",
        ),
        (("name =", "name"), "text"),
    ],
)
def test_an_invalid_experiment_is_rejected_with_the_path(
    change: tuple[str, str], path: str
) -> None:
    assert parse_experiment(VALID).is_ok()
    result = parse_experiment(VALID.replace(*change, 1))
    assert path in [problem.path for problem in result.error]


def test_a_fault_without_a_target_is_rejected_before_the_load_starts() -> None:
    fault = '[[faults]]\nat_s = 1\ntarget = "m"\nsignal = "SIGKILL"\n'
    targets = 'addresses = ["127.0.0.1:1"]\n'
    assert parse_job(VALID + fault, targets).is_error()
    assert parse_job(VALID + fault, targets + "[pids]\nm = 77\n").is_ok()
    assert parse_targets(targets + "[pids]\nm = 1\n").is_error()


def test_the_schedule_depends_only_on_the_seed() -> None:
    first = list(make_schedule(LOAD))
    assert first == list(make_schedule(LOAD))
    assert first != list(make_schedule(attrs.evolve(LOAD, seed=2)))
    assert first == sorted(first, key=lambda arrival: arrival.at_ms)


def test_an_overload_changes_only_its_organisation_and_window() -> None:
    def count(experiment: Experiment, name: str, start_s: float, end_s: float) -> int:
        return sum(
            arrival.organisation == name and start_s <= arrival.at_ms / 1000 < end_s
            for arrival in make_schedule(experiment)
        )

    assert count(OVERLOADED, "office", 0, 20) == count(LOAD, "office", 0, 20)
    assert 1700 < count(OVERLOADED, "shop", 5, 15) < 2300
    assert 170 < count(OVERLOADED, "shop", 0, 5) < 330


@settings(derandomize=True, deadline=None, max_examples=25, database=None)
@given(seed=st.integers(0, 999), start=st.integers(0, 15), length=st.integers(1, 10))
def test_requests_within_the_rate_fit_the_rate_in_every_interval(
    seed: int, start: int, length: int
) -> None:
    """Guards against a due that a correct limiter could not serve."""
    arrivals = make_schedule(attrs.evolve(OVERLOADED, seed=seed))
    inside = sum(
        arrival.is_within_rate
        and arrival.organisation == "shop"
        and start <= arrival.at_ms / 1000 < start + length
        for arrival in arrivals
    )
    assert inside <= SHOP.burst + SHOP.limit_per_s * length


@pytest.mark.parametrize(
    ("code", "client_outcome", "outcome"),
    [
        (9001, ClientOutcome.REFUSED, Outcome.NOT_RUN),
        (9002, ClientOutcome.UNKNOWN, Outcome.UNKNOWN),
        (9003, ClientOutcome.OVER_RATE, Outcome.NOT_RUN),
        (9006, ClientOutcome.DRAINING, Outcome.NOT_RUN),
        (1045, ClientOutcome.DENIED, Outcome.NOT_RUN),
        (1062, ClientOutcome.DATABASE_ERROR, Outcome.NOT_RUN),
        (2013, ClientOutcome.CONNECTION_LOST, Outcome.UNKNOWN),
        (0, ClientOutcome.CONNECTION_LOST, Outcome.UNKNOWN),
    ],
)
def test_error_numbers_are_classified(
    code: int, client_outcome: ClientOutcome, outcome: Outcome
) -> None:
    assert classify_error(code) is client_outcome
    assert client_outcome.outcome is outcome


def _judge(
    client_outcome: ClientOutcome, copies: int, has_unknown_attempt: bool = False
) -> Judgement:
    ledger = Ledger()
    write = Write("w", Operation.BOOKING, "shop", client_outcome, has_unknown_attempt)
    ledger.add_write(write, 1.0)
    return judge(ledger, {Operation.BOOKING: ["w"] * copies, Operation.RECEIPT: []})


@pytest.mark.parametrize(
    ("judgement", "violation"),
    [
        (_judge(ClientOutcome.OK, 1), None),
        (_judge(ClientOutcome.OK, 0), "lost"),
        (_judge(ClientOutcome.OK, 2), "duplicated"),
        (_judge(ClientOutcome.REFUSED, 0), None),
        (_judge(ClientOutcome.OVER_RATE, 1), "ran_although_refused"),
        (_judge(ClientOutcome.UNKNOWN, 0), None),
        (_judge(ClientOutcome.CONNECTION_LOST, 1), None),
        (_judge(ClientOutcome.UNKNOWN, 2), "duplicated"),
        (_judge(ClientOutcome.REFUSED, 1, has_unknown_attempt=True), None),
    ],
)
def test_the_ledger_is_compared_with_the_rows(
    judgement: Judgement, violation: str | None
) -> None:
    assert judgement.is_clean is (violation is None)
    for name in ("lost", "duplicated", "ran_although_refused"):
        assert bool(getattr(judgement, name)) is (name == violation)


@pytest.mark.parametrize(
    ("operation", "is_own", "field"),
    [
        (Operation.STATUS, False, "stale_strict_reads"),
        (Operation.AGED, False, "stale_aged_reads"),
        (Operation.SESSION_READ, True, "own_writes_missed"),
        (Operation.AGED, True, "own_writes_missed"),
    ],
)
def test_missed_rows_violate_a_guarantee(
    operation: Operation, is_own: bool, field: str
) -> None:
    ledger = Ledger(missed=[MissedRow(operation, "shop", "w", is_own, 1.0)])
    judgement = judge(ledger, {Operation.BOOKING: [], Operation.RECEIPT: []})
    assert getattr(judgement, field) == 1
    assert not judgement.is_clean


def test_reads_expect_only_rows_acknowledged_before() -> None:
    ledger = Ledger()
    for marker, at_ms in (("a", 10.0), ("b", 20.0)):
        ledger.add_write(
            Write(marker, Operation.BOOKING, "shop", ClientOutcome.OK), at_ms
        )
    ledger.add_write(Write("c", Operation.BOOKING, "shop", ClientOutcome.UNKNOWN), 30.0)
    assert ledger.find_latest_before(25.0) == "b"
    assert ledger.find_latest_before(15.0) == "a"
    assert ledger.find_latest_before(5.0) is None


def _sample(
    at_s: float,
    client_outcome: ClientOutcome = ClientOutcome.OK,
    name: str = "shop",
    is_within_rate: bool = True,
) -> Sample:
    arrival = Arrival(at_s * 1000, name, 0, 0, Operation.BOOKING, is_within_rate)
    return Sample(arrival, client_outcome, at_s * 1000 + 5)


def test_the_service_gap_counts_only_successful_bookings() -> None:
    samples = [_sample(1), _sample(2), _sample(4, ClientOutcome.REFUSED), _sample(7)]
    assert find_service_gap_s(samples, 8.0) == pytest.approx(5.0)
    assert find_service_gap_s([_sample(1, ClientOutcome.UNKNOWN)], 8.0) == 8.0
    assert find_service_gap_s([], 8.0) is None


def test_idle_cpu_time_is_not_charged_to_requests() -> None:
    result = RunResult(LOAD, [_sample(1)] * 10, Ledger())
    result.cpu_s, result.idle_cpu_s, result.elapsed_s = 3.0, 2.0, 20.0
    report = make_report(result)
    assert report.cpu_us_per_request == pytest.approx(100_000)
    assert report.idle_cores == pytest.approx(0.1)


def test_service_beyond_rate_and_burst_is_counted() -> None:
    """The limit is a burst of 10 and 60 requests per second, over one second."""
    served = [_sample(0.995)] * 75
    report = make_report(RunResult(LOAD, served, Ledger()))
    assert report.excess == 5
    assert make_report(RunResult(LOAD, served[:70], Ledger())).excess == 0


def test_the_share_is_relative_to_the_requests_within_the_rate(tmp_path: Path) -> None:
    shop = [_sample(1, ClientOutcome.OK)] * 6 + [
        _sample(1, ClientOutcome.OVER_RATE, "shop", False)
    ] * 9
    office = [_sample(1, ClientOutcome.OK, "office")] * 3 + [
        _sample(2, ClientOutcome.REFUSED, "office"),
        _sample(2, ClientOutcome.UNKNOWN, "office"),
    ]
    result = RunResult(LOAD, shop + office, Ledger())
    report = make_report(result)
    services = {service.name: service for service in report.organisations}
    assert services["shop"].share == 1.0
    assert services["shop"].refused_within_rate == 0
    assert services["office"].share == pytest.approx(0.6)
    assert report.refused_within_rate == 1
    assert report.worst_served.name == "office"
    assert report.unknown_outcomes == 1
    assert report.latencies["booking"].p50_ms == pytest.approx(5.0, rel=0.01)
    series = make_series([report, report])
    assert json.loads(to_json(series))["repeats"] == 2
    assert "office" in to_text(series)
    for path in plot_run(result, tmp_path, "x"):
        assert path.read_bytes().startswith(b"\x89PNG")
