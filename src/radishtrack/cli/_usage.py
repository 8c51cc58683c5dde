"""Command that splits a bill between owners by usage."""

from __future__ import annotations

import argparse
import json
from typing import TYPE_CHECKING, Any, Final

from radishtrack.cli._arguments import (
    add_command,
    add_json_argument,
    add_platform_arguments,
    find_platform_url,
)
from radishtrack.cli._context import (
    CommandError,
    Context,
    ExitCode,
    NamedObject,
    PlatformAccess,
)
from radishtrack.config.store import fetch_revision

if TYPE_CHECKING:
    from radishtrack.usage.report import UsageEntry

USAGE_KIND: Final = "usage"
DEFAULT_AMOUNT: Final = 10_000


def add_usage_command(commands: Any) -> None:
    """Add ``usage``."""
    parser = add_command(
        commands,
        "usage",
        run_usage,
        summary="split a bill between the owners by usage",
        text="""
        Adds up the usage that all nodes reported and splits a bill between the
        owners. The JSON output contains the usage of every organisation and the
        weights, so that each owner can verify the bill.

        examples:
          radishtrack usage --amount 250000 --settings node.toml
          radishtrack usage --json --platform http://127.0.0.1:8500
        """,
    )
    parser.add_argument(
        "--amount",
        type=int,
        default=DEFAULT_AMOUNT,
        metavar="N",
        help="bill in its smallest unit, such as cents (default: %(default)s)",
    )
    add_platform_arguments(parser)
    add_json_argument(parser)


async def run_usage(arguments: argparse.Namespace, context: Context) -> ExitCode:
    """Split a bill."""
    # Imported here, because no other command needs the usage package.
    from radishtrack.usage.bill import bill_to_json, bill_to_text, make_bill

    if arguments.amount < 0:
        raise CommandError("--amount must not be negative", ExitCode.USAGE)
    async with context.open_platform(find_platform_url(arguments)) as platform:
        entries = await _fetch_usage(platform)
        owners = (await fetch_revision(platform.store)).document.owners
    try:
        bill = make_bill(arguments.amount, owners, entries)
    except ValueError as error:
        raise CommandError(str(error)) from error
    if arguments.json:
        context.write_json(json.loads(bill_to_json(bill)))
    else:
        context.write(bill_to_text(bill))
    return ExitCode.OK


async def _fetch_usage(platform: PlatformAccess) -> tuple[UsageEntry, ...]:
    from radishtrack.usage.compaction import (
        SUMMARY_NAME,
        UsageSummary,
        decode_summary,
        total_usage,
    )
    from radishtrack.usage.report import decode_report

    objects: tuple[NamedObject, ...] = await platform.list_objects(USAGE_KIND)
    # Read after the reports, so that a report that is folded into the summary meanwhile
    # is not missing from both; `total_usage` counts it once.
    stored = await platform.store.get(USAGE_KIND, SUMMARY_NAME)
    summary = decode_summary(stored.value) if stored else UsageSummary()
    reports = [
        decode_report(item.value) for item in objects if item.name != SUMMARY_NAME
    ]
    return total_usage(summary, reports)
