"""Tests commands with the platform's client, also while the platform is down."""

from __future__ import annotations

import io

import attrs

from radishtrack.cli._context import Context, ExitCode
from radishtrack.cli._platform import open_platform
from radishtrack.cli.main import make_parser, run_command
from radishtrack.usage.compaction import UsageSummary, encode_summary, fold_sealed
from radishtrack.usage.counter import UsageKey, make_usage_counter
from radishtrack.usage.report import encode_report, make_reporter
from radishtrack_standins.platform import start_platform
from test_cli import FJELLSKO, PLATFORM, CliRunner, apply_examples


async def run_all(url: str, *commands: str) -> list[tuple[ExitCode, str]]:
    results = []
    for command in commands:
        out = io.StringIO()
        context = Context(open_platform, out, out)
        arguments = make_parser().parse_args([*command.split(), "--platform", url])
        results.append((await run_command(arguments, context), out.getvalue()))
    return results


async def test_commands_for_configuration_keys_and_status_over_http() -> None:
    platform = await start_platform()
    platform.vms.set(
        "n1",
        {
            "id": "n1",
            "zone": "z",
            "region": "r",
            "state": "live",
            "peer_address": "127.0.0.1:1",
        },
    )
    try:
        results = await run_all(
            platform.url,
            f"config apply {FJELLSKO} --revision 0 --author kari",
            f"config diff {FJELLSKO}",
            f"config apply {FJELLSKO} --revision 0",
            "keys issue verksted",
            "keys list",
            "drain n1",
            "status",
        )
    finally:
        await platform.close()
    (closed,) = await run_all(platform.url, "status")
    codes = [code for code, _ in (*results, closed)]
    assert codes == [0, 0, ExitCode.CONFLICT, 0, 0, 0, 0, ExitCode.UNAVAILABLE]
    assert results[1][1] == "no differences\n"
    assert results[6][1].splitlines() == [
        "configuration revision 1 kari",
        "node n1 r z leaving",
    ]


def store_usage(runner: CliRunner, node: str, owner: str, statements: int) -> None:
    counter = make_usage_counter()
    counter.add(UsageKey("some-organisation", owner), statements=statements)
    report = attrs.evolve(make_reporter(node, "1", counter).make_report(0), sequence=1)
    runner.platform.write("usage", report.object_name, encode_report(report), 0)


async def test_the_bill_counts_each_report_once() -> None:
    runner = CliRunner()
    await apply_examples(runner)
    store_usage(runner, "n1", "fjellsko", 10)
    store_usage(runner, "n2", "fjellsko", 20)
    store_usage(runner, "n2b", "kalmistute-amet", 10)
    argv = ["usage", "--amount", "1000", *PLATFORM]
    bill = await runner.run_json(*argv)
    assert [share["amount"] for share in bill["shares"]] == [750, 250]
    counter = make_usage_counter()
    counter.add(UsageKey("some-organisation", "fjellsko"), statements=10)
    sealed = attrs.evolve(
        make_reporter("n1", "1", counter).make_report(0), is_sealed=True
    )
    summary = encode_summary(fold_sealed(UsageSummary(), [sealed]))
    runner.platform.write("usage", "summary", summary, 0)
    assert await runner.run(*argv) is ExitCode.OK
    assert [line.split()[-1] for line in runner.out.splitlines()[1:]] == [
        "750",
        "250",
        "1000",
    ]


async def test_usage_of_an_owner_who_is_not_configured_is_an_error() -> None:
    runner = CliRunner()
    await apply_examples(runner)
    store_usage(runner, "n1", "nobody", 10)
    assert await runner.run("usage", *PLATFORM) is ExitCode.FAILED
    assert "unknown owners: ['nobody']" in runner.err
