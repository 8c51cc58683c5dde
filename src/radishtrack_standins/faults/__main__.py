"""Command ``python -m radishtrack_standins.faults``.

Options: ``--seed N``, ``--only GUARANTEE``, ``--scenario NAME`` and ``--json``.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time

from radishtrack_standins.faults.deployment import (
    Deployment,
    close_deployment,
    start_deployment,
)
from radishtrack_standins.faults.report import GUARANTEES, Report
from radishtrack_standins.faults.scenarios import SCENARIOS, Scenario


async def _warm_up_and_run(scenario: Scenario, deployment: Deployment) -> None:
    seconds = await deployment.warm_up()
    if 7 in scenario.guarantees:
        deployment.report.add_figure(7, "start until all are served", seconds, "s")
    await scenario.run(deployment)


def run_scenario(scenario: Scenario, report: Report, seed: int) -> None:
    """Run one scenario in its own deployment; an exception is recorded as a problem."""
    report.scenario = scenario.name
    try:
        deployment = start_deployment(
            scenario.plan,
            report,
            seed,
            needs_relays=scenario.needs_relays,
            needs_paths=scenario.needs_paths,
        )
        try:
            asyncio.run(_warm_up_and_run(scenario, deployment))
            if 7 not in scenario.guarantees and deployment.rate_refusals:
                # The other scenarios stay far within the rates: no refusal is expected.
                count = deployment.rate_refusals.total()
                report.add_figure(7, f"refused in {scenario.name!r}", count, "requests")
        finally:
            close_deployment(deployment)
    except Exception as error:
        for number in scenario.guarantees:
            report.add_requests(number, 0)
            report.add_problem(number, f"scenario failed: {error!r}")


def run_all(seed: int, only: int | None, scenario: str | None) -> Report:
    """Run the scenarios that test guarantee `only` and have the name `scenario`.

    None selects any guarantee or name.
    """
    report = Report()
    for candidate in SCENARIOS:
        if only is not None and only not in candidate.guarantees:
            continue
        if scenario is not None and scenario != candidate.name:
            continue
        started_s = time.monotonic()
        run_scenario(candidate, report, seed)
        elapsed_s = time.monotonic() - started_s
        print(f"# {candidate.name}: {elapsed_s:.1f} s", file=sys.stderr, flush=True)
    return report


def format_json(report: Report, numbers: list[int]) -> str:
    """Format the results of these guarantees as a JSON list."""
    return json.dumps(
        [
            {
                "guarantee": number,
                "text": GUARANTEES[number],
                "driven": report.get(number).scenarios,
                "requests": report.get(number).requests,
                "passed": report.get(number).passed,
                "problems": report.get(number).problems,
                "figures": [str(f) for f in report.get(number).figures.values()],
            }
            for number in numbers
        ],
        indent=1,
    )


def main() -> int:
    """Run the scenarios, print the results and return 0 if all guarantees passed."""
    parser = argparse.ArgumentParser(prog="radishtrack_standins.faults")
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--only", type=int, choices=sorted(GUARANTEES))
    parser.add_argument("--scenario", choices=[each.name for each in SCENARIOS])
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    report = run_all(arguments.seed, arguments.only, arguments.scenario)
    numbers = [arguments.only] if arguments.only else sorted(GUARANTEES)
    if arguments.scenario:
        numbers = sorted(report.results)
    if arguments.json:
        print(format_json(report, numbers))
    else:
        for number in numbers:
            print(report.get(number).format_line())
    return 0 if all(report.get(number).passed for number in numbers) else 1


if __name__ == "__main__":
    sys.exit(main())
