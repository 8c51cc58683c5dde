"""Arguments and help texts shared by commands."""

from __future__ import annotations

import argparse
import textwrap
from collections.abc import Awaitable, Callable
from typing import Any, Final

from radishtrack.cli._context import CommandError, Context, ExitCode
from radishtrack.settings import load_settings

Handler = Callable[[argparse.Namespace, Context], Awaitable[ExitCode]]

EXIT_CODES: Final = """\
exit codes:
  0  done
  1  refused or failed; the reason is on standard error
  2  the command line is wrong
  3  a concurrent change was stored first; nothing was changed
  4  the platform does not answer
"""


def add_command(
    commands: Any, name: str, handler: Handler, *, summary: str, text: str
) -> argparse.ArgumentParser:
    """Add a command to the parser.

    Parameters
    ----------
    commands : object
        The object that `ArgumentParser.add_subparsers` returned.
    name : str
        Name of the command.
    handler : callable
        Coroutine function that runs the command.
    summary : str
        One line for the list of commands.
    text : str
        Paragraphs and examples for the help of the command.
    """
    description, _, examples = textwrap.dedent(text).strip().partition("examples:")
    parser: argparse.ArgumentParser = commands.add_parser(
        name,
        help=summary,
        description=description.strip() or summary,
        epilog=f"examples:{examples}\n\n{EXIT_CODES}" if examples else EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(handler=handler)
    return parser


def add_platform_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that select the platform: its URL or a settings file."""
    group = parser.add_mutually_exclusive_group(required=True)
    group.add_argument("--platform", metavar="URL", help="base URL of the platform")
    group.add_argument(
        "--settings", metavar="FILE", help="read the URL from a node's settings"
    )


def add_json_argument(parser: argparse.ArgumentParser) -> None:
    """Add the option for JSON output."""
    parser.add_argument(
        "--json", action="store_true", help="write one JSON value for scripts"
    )


def find_platform_url(arguments: argparse.Namespace) -> str:
    """Return the platform's URL from the arguments or the settings file.

    Raises
    ------
    CommandError
        If the settings file is invalid.
    """
    if arguments.platform:
        return str(arguments.platform)
    result = load_settings(arguments.settings)
    if result.is_error():
        raise CommandError("\n".join(str(error) for error in result.error))
    return result.ok.platform.url
