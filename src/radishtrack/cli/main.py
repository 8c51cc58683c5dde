"""Entry point of the command line."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Sequence
from typing import Final

import uvloop

from radishtrack import __version__
from radishtrack.cli._arguments import EXIT_CODES
from radishtrack.cli._config import add_config_commands
from radishtrack.cli._context import CommandError, Context, ExitCode
from radishtrack.cli._keys import add_keys_commands
from radishtrack.cli._node import add_node_commands
from radishtrack.cli._usage import add_usage_command
from radishtrack.config.chunk import ChunkError
from radishtrack.config.store import ApplyMismatch, StoreUnavailable

DESCRIPTION: Final = """\
Database proxy with session consistency for owners who share one proxy layer.

Operators keep the configuration in TOML files, which they check, compare with the
stored one and apply. Clients log in with keys, which are issued and revoked here.
"""

EPILOG: Final = f"""\
first steps:
  radishtrack config check examples/fjellsko.toml
  radishtrack config apply examples/fjellsko.toml --revision 0 --platform URL
  radishtrack keys issue verksted --platform URL
  radishtrack proxy --settings examples/node.toml

`radishtrack COMMAND --help` explains each command with examples.

{EXIT_CODES}"""


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="radishtrack",
        description=DESCRIPTION,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(title="commands", required=True, metavar="COMMAND")
    add_node_commands(commands)
    add_config_commands(commands)
    add_keys_commands(commands)
    add_usage_command(commands)
    return parser


async def run_command(arguments: argparse.Namespace, context: Context) -> ExitCode:
    """Run a parsed command; a failure is reported on standard error."""
    try:
        code: ExitCode = await arguments.handler(arguments, context)
        return code
    except CommandError as error:
        context.write_message(f"radishtrack: {error}")
        return error.code
    except StoreUnavailable as error:
        context.write_message(f"radishtrack: {error}")
        return ExitCode.UNAVAILABLE
    except ApplyMismatch as error:
        context.write_message(f"radishtrack: not applied: {error}")
        return ExitCode.FAILED
    except ChunkError as error:
        context.write_message(
            f"radishtrack: the stored configuration is damaged: {error}"
        )
        return ExitCode.FAILED


def run(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    from radishtrack.cli._platform import open_platform

    arguments = make_parser().parse_args(argv)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return int(runner.run(run_command(arguments, Context(open_platform))))
    except KeyboardInterrupt:
        return int(ExitCode.FAILED)


if __name__ == "__main__":
    sys.exit(run())
