"""Guards that commands work with the platform's client, faults included."""

from __future__ import annotations

import io

from radishtrack_standins.platform import start_platform

from radishtrack.cli._context import Context, ExitCode
from radishtrack.cli._platform import open_platform
from radishtrack.cli.main import make_parser, run_command
from test_cli import FJELLSKO


async def run_all(url: str, *commands: str) -> list[tuple[ExitCode, str]]:
    results = []
    for command in commands:
        out = io.StringIO()
        context = Context(open_platform, out, out)
        arguments = make_parser().parse_args([*command.split(), "--platform", url])
        results.append((await run_command(arguments, context), out.getvalue()))
    return results


async def test_configuration_keys_and_status_through_http() -> None:
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
