"""Plots of one run as PNG files."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Final

import matplotlib
from matplotlib.figure import Figure

from radishtrack.bench.ledger import ClientOutcome
from radishtrack.bench.load import RunResult
from radishtrack.bench.report import make_histogram
from radishtrack.bench.schedule import Operation

matplotlib.use("Agg")

PERCENTILES: Final = (1, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99)
BIN_S: Final = 0.5


def plot_run(result: RunResult, directory: Path, name: str) -> tuple[Path, ...]:
    """Plot the client outcomes over time and the latency distribution.

    Parameters
    ----------
    result : RunResult
        The run.
    directory : Path
        Directory of the files.
    name : str
        Prefix of the file names.

    Returns
    -------
    tuple of Path
        Paths of the files.
    """
    outcomes = directory / f"{name}-answers.png"
    latency = directory / f"{name}-latency.png"
    _plot_outcomes(result).savefig(outcomes, dpi=110)
    _plot_latency(result).savefig(latency, dpi=110)
    return outcomes, latency


def _plot_outcomes(result: RunResult) -> Figure:
    figure = Figure(figsize=(9, 4.5), layout="constrained")
    axes = figure.subplots()
    bins = int(result.experiment.duration_s / BIN_S) + 1
    edges = [index * BIN_S for index in range(bins + 1)]
    series = dict(_iterate_end_times(result))
    axes.hist(
        list(series.values()),
        bins=edges,
        stacked=True,
        label=list(series),
        weights=[[1 / BIN_S] * len(times) for times in series.values()],
    )
    for fault in result.faults:
        axes.axvline(fault.at_ms / 1000, color="black", linestyle="--", linewidth=1)
    axes.set_xlabel("time of the result (s)")
    axes.set_ylabel("requests per second")
    axes.set_title(f"{result.experiment.name}: client outcomes (dashed: faults)")
    if series:
        axes.legend(fontsize="small")
    return figure


def _iterate_end_times(result: RunResult) -> Iterator[tuple[str, list[float]]]:
    for client_outcome in ClientOutcome:
        times = [
            s.ended_ms / 1000
            for s in result.samples
            if s.client_outcome is client_outcome
        ]
        if times:
            yield client_outcome.value, times


def _plot_latency(result: RunResult) -> Figure:
    figure = Figure(figsize=(9, 4.5), layout="constrained")
    axes = figure.subplots()
    for operation in Operation:
        histogram = make_histogram(
            sample
            for sample in result.samples
            if sample.arrival.operation is operation
            and sample.client_outcome is ClientOutcome.OK
        )
        if histogram.get_total_count() == 0:
            continue
        values = [
            histogram.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        ]
        inverse_tails = [1 / (1 - percentile / 100) for percentile in PERCENTILES]
        axes.plot(inverse_tails, values, marker=".", label=operation.value)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xticks([2, 10, 100, 1000], ["50%", "90%", "99%", "99.9%"])
    axes.set_xlabel("percentile")
    axes.set_ylabel("latency from intended send time (ms)")
    axes.set_title(f"{result.experiment.name}: latency of successful requests")
    if axes.lines:
        axes.legend(fontsize="small")
    return figure
