"""Command on usage: the bill that the owners split."""

from __future__ import annotations

import argparse
import importlib
from typing import Any, Final

from radishtrack.cli._arguments import (
    add_command,
    add_json_argument,
    add_platform_arguments,
    find_platform_url,
)
from radishtrack.cli._context import Context, ExitCode

BILL_MODULE: Final = "radishtrack.usage.bill"


def add_usage_command(commands: Any) -> None:
    """Add ``usage``."""
    parser = add_command(
        commands,
        "usage",
        run_usage,
        summary="show usage by owner and organisation",
        text="""
        Shows the usage that all nodes reported, by owner and organisation, and each
        owner's share of the bill.

        examples:
          radishtrack usage --settings node.toml
          radishtrack usage --json --platform http://127.0.0.1:8500
        """,
    )
    add_platform_arguments(parser)
    add_json_argument(parser)


async def run_usage(arguments: argparse.Namespace, context: Context) -> ExitCode:
    """Show usage."""
    async with context.open_platform(find_platform_url(arguments)) as platform:
        reports = await platform.list_objects("usage")
    bill = importlib.import_module(BILL_MODULE)
    context.write(str(bill) + str(reports))
    return ExitCode.OK
