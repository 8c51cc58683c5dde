"""Runs the load experiments and their baselines, each on a new deployment.

``python -m radishtrack_standins.bench [--factor 0.5] [--out out/bench]`` writes a
report and plots for each run, and a table of all runs.
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from typing import Any, Final

import attrs

from radishtrack_standins.cluster import (
    HOST,
    Cluster,
    ClusterPlan,
    find_free_ports,
    start_cluster,
)

PROXIES: Final = "proxies"
DIRECT: Final = "direct to the primary"
PASS_THROUGH: Final = "plain pass-through"
EXPERIMENTS: Final = Path("experiments")
SETTLE_S: Final = 4.0
_TIME_SETTING: Final = re.compile(
    r"^(duration_s|at_s|start_s|end_s) = ([0-9.]+)$", re.M
)
_ZONES: Final = ("oslo-a", "oslo-b", "hamar-c", "oslo-a")


@attrs.define(frozen=True)
class Run:
    """One experiment with one way of access to the database."""

    experiment: str
    access: str


RUNS: Final = (
    Run("ski-season", PROXIES),
    Run("ski-season", PASS_THROUGH),
    Run("counter-failover", PROXIES),
    Run("counter-failover", DIRECT),
    Run("platform-outage", PROXIES),
    Run("roaming-sessions", PROXIES),
)


@attrs.define
class Options:
    """Options of the command line, and the processes started for a run."""

    factor: float
    out: Path
    only: str
    repeat: int
    processes: list[subprocess.Popen[bytes]] = attrs.field(factory=list)


def run_one(run: Run, options: Options) -> dict[str, Any]:
    """Run an experiment on a new deployment and return its measures."""
    text = (EXPERIMENTS / f"{run.experiment}.toml").read_text()
    text = _TIME_SETTING.sub(
        lambda match: f"{match[1]} = {float(match[2]) * options.factor:.1f}", text
    )
    experiment = tomllib.loads(text)
    cluster = start_cluster(make_plan(experiment))
    out = options.out / f"{run.experiment}-{run.access.replace(' ', '-')}"
    out.mkdir(parents=True, exist_ok=True)
    try:
        time.sleep(SETTLE_S)
        (out / "experiment.toml").write_text(text)
        (out / "targets.toml").write_text(make_targets(cluster, run, options))
        return run_tool(out, run)
    finally:
        for process in options.processes:
            process.kill()
            process.wait(5)
        options.processes.clear()
        cluster.close()


def run_tool(out: Path, run: Run) -> dict[str, Any]:
    """Run the load tool in a new process and return its measures."""
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "radishtrack.bench",
            str(out / "experiment.toml"),
            "--targets",
            str(out / "targets.toml"),
            "--out",
            str(out),
            "--create-tables",
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    (out / "log.txt").write_text(result.stdout + result.stderr)
    report = out / f"{run.experiment}.json"
    if not report.exists():
        raise RuntimeError(f"{run}: {result.stderr[-2000:]}")
    measures: dict[str, Any] = json.loads(report.read_text())
    measures["exit_code"] = result.returncode
    return measures


def make_plan(experiment: dict[str, Any]) -> ClusterPlan:
    """Return a plan with the experiment's organisations and four proxies."""
    return ClusterPlan(
        zones=_ZONES,
        database=experiment["database"],
        organisations=tuple(
            (organisation["name"], organisation["limit_per_s"], organisation["burst"])
            for organisation in experiment["organisations"]
        ),
    )


def make_targets(cluster: Cluster, run: Run, options: Options) -> str:
    """Return the targets of the load tool for one run as TOML."""
    primary = cluster.members[cluster.primary()].ports["port"]
    names = list(cluster.members)
    pids = {name: member.process.pid for name, member in cluster.members.items()}
    pids |= {
        proxy.name: proxy.process.pid for proxy in cluster.proxies if proxy.process
    }
    lines = [
        f"dump = {json.dumps([_admin_address(cluster, name) for name in names])}",
        f"dump_names = {json.dumps(names)}",
        'dump_user = "radishtrack_admin"',
        "idle_s = 2.0",
    ]
    if run.access == PROXIES:
        addresses = [f"{HOST}:{proxy.client_port}" for proxy in cluster.proxies]
        measured = [pids[proxy.name] for proxy in cluster.proxies]
        metrics = [
            f"http://{HOST}:{proxy.admin_port}/metrics" for proxy in cluster.proxies
        ]
        lines.append(f"metrics = {json.dumps(metrics)}")
    else:
        addresses, measured = [f"{HOST}:{primary}"], []
        lines.append('user = "radishtrack"')
        if run.access == PASS_THROUGH:
            process, address = start_pass_through(primary)
            options.processes.append(process)
            addresses, measured = [address], [process.pid]
    lines += [
        f"addresses = {json.dumps(addresses)}",
        f"measured_pids = {measured}",
        "[keys]",
        *(
            f"{json.dumps(name)} = {json.dumps(key)}"
            for name, key in cluster.keys.items()
            if run.access == PROXIES
        ),
        "[controls]",
        f'platform = "{cluster.platform_url}/control"',
        *(
            f'{name} = "http://{HOST}:{member.ports["control_port"]}/control"'
            for name, member in cluster.members.items()
        ),
        "[pids]",
        *(f"{name} = {pid}" for name, pid in pids.items()),
    ]
    return "\n".join(lines) + "\n"


def start_pass_through(port: int) -> tuple[subprocess.Popen[bytes], str]:
    """Start the pass-through for one member; return its process and address."""
    (listen,) = find_free_ports(1)
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "radishtrack.bench.passthrough",
            "--listen",
            str(listen),
            "--target",
            f"{HOST}:{port}",
        ]
    )
    time.sleep(1.0)
    return process, f"{HOST}:{listen}"


def _admin_address(cluster: Cluster, member: str) -> str:
    return f"{HOST}:{cluster.members[member].ports['admin_port']}"


def format_table(results: list[tuple[Run, dict[str, Any]]]) -> str:
    """Return the measures of all runs as a Markdown table."""
    lines = [
        "| experiment | access | reads by replicas | longest gap s | worst share of due"
        " | refused within rate | beyond rate | unknown | lost | doubled | stale |",
        "|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for run, measures in results:
        stale = measures["stale_strict_reads"] + measures["own_writes_missed"]
        cells = [
            run.experiment,
            run.access,
            _format(measures["replica_share_median"]),
            _format(measures["service_gap_worst_s"]),
            f"{measures['worst_share']:.2f} ({measures['worst_organisation']})",
            measures["refused_within_rate"],
            measures["excess"],
            measures["unknown_outcomes"],
            measures["lost"],
            measures["duplicated"],
            stale,
        ]
        lines.append("| " + " | ".join(map(str, cells)) + " |")
    return "\n".join(lines) + "\n"


def _format(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"


def main() -> int:
    """Run the experiments and write the table; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--factor", type=float, default=0.4, help="scales all times")
    parser.add_argument("--out", type=Path, default=Path("out/bench"))
    parser.add_argument("--only", default="", help="name of one experiment")
    arguments = parser.parse_args()
    options = Options(arguments.factor, arguments.out, arguments.only, 1)
    results = []
    for run in RUNS:
        if options.only and options.only != run.experiment:
            continue
        started = time.monotonic()
        results.append((run, run_one(run, options)))
        print(f"{run.experiment}, {run.access}: {time.monotonic() - started:.0f} s")
    table = format_table(results)
    (options.out / "table.md").write_text(table)
    print(table)
    failed = [
        run
        for run, measures in results
        if run.access == PROXIES and measures["exit_code"]
    ]
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
