"""Commands for the operators' configuration."""

from __future__ import annotations

import argparse
import getpass
import re
import uuid
from pathlib import Path
from typing import Any, Final

import attrs

from radishtrack.cli._arguments import (
    add_command,
    add_json_argument,
    add_platform_arguments,
    find_platform_url,
)
from radishtrack.cli._context import CommandError, Context, ExitCode
from radishtrack.config.change import diff_documents, render_changes
from radishtrack.config.chunk import AppliedChange
from radishtrack.config.document import Document, Source, parse_sources
from radishtrack.config.render import render_document
from radishtrack.config.store import (
    Applied,
    LostRace,
    Unchanged,
    Unresolved,
    apply_document,
    fetch_revision,
)

REVISION_HEADER: Final = "# radishtrack revision"

_REVISION: Final = re.compile(rf"^{REVISION_HEADER} (\d+)\s*$", re.MULTILINE)


def add_config_commands(commands: Any) -> None:
    """Add ``config`` and its subcommands."""
    parser = commands.add_parser("config", help="check, show, compare and apply")
    actions = parser.add_subparsers(title="commands", required=True, metavar="COMMAND")
    _add_check(actions)
    _add_show(actions)
    _add_diff(actions)
    _add_apply(actions)


def _add_check(actions: Any) -> None:
    parser = add_command(
        actions,
        "check",
        run_check,
        summary="validate files without the platform",
        text="""
        Validates files that together form one configuration. Every error is
        reported with file, line and reason.

        examples:
          radishtrack config check fjellsko.toml kalmistu.toml
        """,
    )
    _add_files(parser)
    add_json_argument(parser)


def _add_show(actions: Any) -> None:
    parser = add_command(
        actions,
        "show",
        run_show,
        summary="write the configuration in force",
        text="""
        Writes the stored configuration as text that can be edited and applied. The
        first line names its revision, which `apply` compares with the stored one.

        examples:
          radishtrack config show --platform http://127.0.0.1:8500 > fleet.toml
        """,
    )
    add_platform_arguments(parser)
    add_json_argument(parser)


def _add_diff(actions: Any) -> None:
    parser = add_command(
        actions,
        "diff",
        run_diff,
        summary="show what applying files would change",
        text="""
        Compares files with the stored configuration, entry by entry. Exits with 0
        whether or not there are differences.

        examples:
          radishtrack config diff fleet.toml --platform http://127.0.0.1:8500
        """,
    )
    _add_files(parser)
    add_platform_arguments(parser)
    add_json_argument(parser)


def _add_apply(actions: Any) -> None:
    parser = add_command(
        actions,
        "apply",
        run_apply,
        summary="store files as the next revision",
        text="""
        Stores files as the next revision, which every node puts into force within
        seconds. It is stored only if the present revision is still the one that the
        files are based on; otherwise nothing changes and the command reports who
        changed what. If the platform stops answering, run the same command with the
        printed --apply-id: the files are applied at most once.

        examples:
          radishtrack config apply fleet.toml --settings node.toml
          radishtrack config apply a.toml b.toml --revision 0 --settings node.toml
        """,
    )
    _add_files(parser)
    add_platform_arguments(parser)
    parser.add_argument(
        "--revision",
        type=int,
        metavar="N",
        help="revision that the files are based on; 0 for the first one (default: "
        f"from the line '{REVISION_HEADER} N' that `show` writes)",
    )
    parser.add_argument(
        "--author", help="author of the change (default: the login name)"
    )
    parser.add_argument(
        "--apply-id", help="identifier printed by an attempt whose outcome is unknown"
    )
    add_json_argument(parser)


def _add_files(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("files", nargs="+", metavar="FILE", help="TOML files")


async def run_check(arguments: argparse.Namespace, context: Context) -> ExitCode:
    """Validate files."""
    sources = _read_sources(arguments.files)
    result = parse_sources(sources)
    if arguments.json:
        errors = result.error if result.is_error() else ()
        context.write_json({"errors": [attrs.asdict(error) for error in errors]})
        return ExitCode.FAILED if errors else ExitCode.OK
    document = _require_document(sources)
    context.write(
        f"valid: {len(document.owners)} owners, {len(document.organisations)} "
        f"organisations, {len(document.databases)} databases, "
        f"{len(document.services)} services"
    )
    return ExitCode.OK


async def run_show(arguments: argparse.Namespace, context: Context) -> ExitCode:
    """Write the stored configuration."""
    async with context.open_platform(find_platform_url(arguments)) as platform:
        revision = await fetch_revision(platform.store)
    text = render_document(revision.document)
    if arguments.json:
        context.write_json(
            {
                "revision": revision.manifest.revision,
                "author": revision.manifest.author,
                "text": text,
            }
        )
    else:
        context.write(f"{REVISION_HEADER} {revision.manifest.revision}\n\n{text}")
    return ExitCode.OK


async def run_diff(arguments: argparse.Namespace, context: Context) -> ExitCode:
    """Compare files with the stored configuration."""
    document = _require_document(_read_sources(arguments.files))
    async with context.open_platform(find_platform_url(arguments)) as platform:
        revision = await fetch_revision(platform.store)
    changes = diff_documents(revision.document, document)
    lines = render_changes(changes)
    if arguments.json:
        context.write_json(
            {"revision": revision.manifest.revision, "changes": list(lines)}
        )
    else:
        context.write("\n".join(lines) or "no differences")
    return ExitCode.OK


async def run_apply(arguments: argparse.Namespace, context: Context) -> ExitCode:
    """Store files as the next revision."""
    sources = _read_sources(arguments.files)
    document = _require_document(sources)
    base_revision = arguments.revision
    if base_revision is None:
        base_revision = _read_base_revision(sources)
    apply_id = arguments.apply_id or uuid.uuid4().hex
    async with context.open_platform(find_platform_url(arguments)) as platform:
        result = await apply_document(
            platform.store,
            document,
            seen=base_revision,
            author=arguments.author or getpass.getuser(),
            apply_id=apply_id,
        )
    if arguments.json:
        context.write_json({"result": type(result).__name__, **attrs.asdict(result)})
    if isinstance(result, Applied):
        if not arguments.json:
            context.write("\n".join((f"revision {result.revision}", *result.changes)))
        return ExitCode.OK
    if isinstance(result, Unchanged):
        context.write_message(f"revision {result.revision} already has this content")
        return ExitCode.OK
    if isinstance(result, LostRace):
        raise CommandError(_describe_conflict(result), ExitCode.CONFLICT)
    raise CommandError(_describe_unresolved(result), ExitCode.UNAVAILABLE)


def _read_sources(files: list[str]) -> list[Source]:
    try:
        return [Source(file, Path(file).read_text(encoding="utf-8")) for file in files]
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(str(error)) from error


def _require_document(sources: list[Source]) -> Document:
    result = parse_sources(sources)
    if result.is_error():
        raise CommandError("\n".join(str(error) for error in result.error))
    return result.ok


def _read_base_revision(sources: list[Source]) -> int:
    revisions = {
        int(match[1]) for source in sources for match in _REVISION.finditer(source.text)
    }
    if len(revisions) == 1:
        return revisions.pop()
    reason = "name different revisions" if revisions else "do not name a revision"
    raise CommandError(
        f"the files {reason}: edit the output of `radishtrack config show`, or give "
        "--revision N (0 for the first one)",
        ExitCode.USAGE,
    )


def _describe_conflict(result: LostRace) -> str:
    lines = [
        f"not applied: the files are based on revision {result.seen}, and the present "
        f"one is {result.present}"
    ]
    for applied in result.winners:
        lines += _describe_change(applied)
    if len(result.winners) < result.present - result.seen:
        lines.append("earlier changes are no longer listed")
    return "\n".join(lines)


def _describe_change(applied: AppliedChange) -> list[str]:
    heading = f"revision {applied.revision} by {applied.author}:"
    return [heading, *(f"  {change}" for change in applied.changes)]


def _describe_unresolved(result: Unresolved) -> str:
    return (
        "the platform stopped answering, so it is not known whether the files were "
        f"applied; run the same command with --apply-id {result.apply_id}"
    )
