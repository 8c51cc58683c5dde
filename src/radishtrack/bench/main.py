"""Command line: ``python -m radishtrack.bench EXPERIMENT --targets FILE``."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

import attrs
import uvloop
from expression import Error, Ok, Result

from radishtrack.bench.experiment import (
    Experiment,
    Problem,
    Targets,
    iterate_missing_targets,
    parse_experiment,
    parse_targets,
)
from radishtrack.bench.load import RunResult, run_experiment
from radishtrack.bench.observe import ReadCounts, make_tables_sql, run_on_primary
from radishtrack.bench.plots import plot_run
from radishtrack.bench.report import (
    SeriesReport,
    make_report,
    make_series,
    to_json,
    to_text,
)

EXIT_OK = 0
EXIT_VIOLATION = 1
EXIT_INVALID_INPUT = 2


@attrs.define(frozen=True)
class Job:
    """A validated experiment and its targets."""

    experiment: Experiment
    targets: Targets


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="radishtrack.bench", description=__doc__)
    parser.add_argument("experiment", type=Path, help="TOML file of the experiment")
    parser.add_argument("--targets", type=Path, required=True, help="TOML file")
    parser.add_argument("--out", type=Path, default=Path("out"), help="directory")
    parser.add_argument("--repeat", type=int, default=1, help="number of runs")
    parser.add_argument("--seed", type=int, help="overrides the experiment's seed")
    parser.add_argument(
        "--create-tables",
        action="store_true",
        help="create the tables on the primary among the dump members",
    )
    parser.add_argument(
        "--reads-table",
        type=Path,
        help='JSON file {"replica": N, "primary": N} to use instead of the metrics',
    )
    parser.add_argument("--no-plots", action="store_true")
    return parser


def run(arguments: Sequence[str] | None = None) -> int:
    """Run the command line.

    Returns
    -------
    int
        0; 1 if a guarantee or a rate limit was violated, or if the rows of members
        to dump could not be read; 2 for invalid input.
    """
    options = make_parser().parse_args(arguments)
    job = parse_job(options.experiment.read_text(), options.targets.read_text())
    if job.is_error():
        for problem in job.error:
            print(problem, file=sys.stderr)
        return EXIT_INVALID_INPUT
    series = uvloop.run(_run_all(job.ok, options))
    (options.out / f"{series.experiment}.json").write_text(to_json(series))
    text = to_text(series)
    (options.out / f"{series.experiment}.txt").write_text(text)
    print(text, end="")
    return _choose_exit_code(series, job.ok.targets)


def parse_job(
    experiment_text: str, targets_text: str
) -> Result[Job, tuple[Problem, ...]]:
    """Parse and validate an experiment together with its targets."""
    experiment = parse_experiment(experiment_text)
    targets = parse_targets(targets_text)
    if experiment.is_error() or targets.is_error():
        problems = [
            *(experiment.error if experiment.is_error() else ()),
            *(targets.error if targets.is_error() else ()),
        ]
        return Error(tuple(problems))
    missing = tuple(iterate_missing_targets(experiment.ok, targets.ok))
    return Error(missing) if missing else Ok(Job(experiment.ok, targets.ok))


async def _run_all(job: Job, options: argparse.Namespace) -> SeriesReport:
    options.out.mkdir(parents=True, exist_ok=True)
    if options.create_tables:
        await run_on_primary(job.targets, make_tables_sql(job.experiment))
    share = _read_replica_share(options.reads_table)
    reports = []
    for number, experiment in enumerate(_iterate_repeats(job.experiment, options)):
        result = await run_experiment(experiment, job.targets)
        _plot_result(result, options, number)
        reports.append(make_report(result, share))
    return make_series(reports)


def _iterate_repeats(
    experiment: Experiment, options: argparse.Namespace
) -> Iterator[Experiment]:
    seed = experiment.seed if options.seed is None else options.seed
    for number in range(options.repeat):
        yield attrs.evolve(experiment, seed=seed + number)


def _plot_result(result: RunResult, options: argparse.Namespace, number: int) -> None:
    if not options.no_plots:
        plot_run(result, options.out, f"{result.experiment.name}-{number}")


def _read_replica_share(path: Path | None) -> float | None:
    if path is None:
        return None
    counts = json.loads(path.read_text())
    return ReadCounts(counts["replica"], counts["primary"]).replica_share


def _choose_exit_code(series: SeriesReport, targets: Targets) -> int:
    violated = any(run.judgement and not run.judgement.is_clean for run in series.runs)
    unjudged = bool(targets.dump) and series.runs_without_judgement > 0
    return EXIT_VIOLATION if violated or unjudged or series.excess else EXIT_OK
