"""Commands for organisations' keys."""

from __future__ import annotations

import argparse
import secrets
from datetime import UTC, datetime
from typing import Any

from radishtrack._validation import suggest_name
from radishtrack.cli._arguments import (
    add_command,
    add_json_argument,
    add_platform_arguments,
    find_platform_url,
)
from radishtrack.cli._context import CommandError, Context, ExitCode
from radishtrack.config.store import ObjectStore, fetch_revision
from radishtrack.keys.key import issue_key
from radishtrack.keys.keyring import KIND
from radishtrack.keys.store import (
    Entries,
    KeyNotFound,
    add_key,
    fetch_keys,
    read_entries,
    revoke_key,
)


def add_keys_commands(commands: Any) -> None:
    """Add ``keys`` and its subcommands."""
    parser = commands.add_parser("keys", help="issue, revoke and list keys")
    actions = parser.add_subparsers(title="commands", required=True, metavar="COMMAND")
    issue = add_command(
        actions,
        "issue",
        run_issue,
        summary="issue a key for an organisation",
        text="""
        Issues a key and writes its text to standard output, once: the platform only
        stores a digest. Clients use the organisation as user name and the key as
        password. An organisation may have several keys, so that a new one can be
        distributed before the old one is revoked.

        examples:
          radishtrack keys issue verksted --settings node.toml > verksted.key
        """,
    )
    revoke = add_command(
        actions,
        "revoke",
        run_revoke,
        summary="revoke a key",
        text="""
        Revokes a key. Within seconds all nodes reject it, also on open connections.
        Revoking it again has no effect.

        examples:
          radishtrack keys revoke verksted k3ab7xzq --settings node.toml
        """,
    )
    listing = add_command(
        actions,
        "list",
        run_list,
        summary="list keys without their texts",
        text="""
        Lists the keys of one organisation, or of all.

        examples:
          radishtrack keys list --settings node.toml
          radishtrack keys list verksted --json --platform http://127.0.0.1:8500
        """,
    )
    issue.add_argument("organisation")
    revoke.add_argument("organisation")
    revoke.add_argument("key_id", help="the part of the key between the underscores")
    listing.add_argument("organisation", nargs="?")
    for action in (issue, revoke, listing):
        add_platform_arguments(action)
        add_json_argument(action)


async def run_issue(arguments: argparse.Namespace, context: Context) -> ExitCode:
    """Issue a key."""
    organisation = arguments.organisation
    issued = issue_key(organisation, secrets.token_bytes)
    async with context.open_platform(find_platform_url(arguments)) as platform:
        await _check_organisation(platform.store, organisation)
        await add_key(platform.store, issued, _format_now())
    if arguments.json:
        context.write_json(
            {"organisation": organisation, "id": issued.key_id, "key": issued.text}
        )
    else:
        context.write(issued.text)
        context.write_message(
            f"issued key {issued.key_id} of {organisation}; it is shown once"
        )
    return ExitCode.OK


async def run_revoke(arguments: argparse.Namespace, context: Context) -> ExitCode:
    """Revoke a key."""
    organisation, key_id = arguments.organisation, arguments.key_id
    async with context.open_platform(find_platform_url(arguments)) as platform:
        try:
            await revoke_key(platform.store, organisation, key_id, _format_now())
        except KeyNotFound as error:
            present = await fetch_keys(platform.store, organisation)
            hint = suggest_name(key_id, [entry.id for entry in present])
            message = f"{organisation} has no key {key_id!r}{hint}"
            raise CommandError(message) from error
    if arguments.json:
        context.write_json({"organisation": organisation, "revoked": key_id})
    else:
        context.write(f"revoked key {key_id} of {organisation}")
    return ExitCode.OK


async def run_list(arguments: argparse.Namespace, context: Context) -> ExitCode:
    """List keys."""
    async with context.open_platform(find_platform_url(arguments)) as platform:
        objects = await platform.list_objects(KIND)
    keys: dict[str, Entries] = {
        item.name: read_entries(item.value)
        for item in sorted(objects, key=lambda item: item.name)
        if arguments.organisation in (None, item.name)
    }
    if arguments.json:
        context.write_json(
            [
                {
                    "organisation": organisation,
                    "id": entry.id,
                    "created": entry.created,
                    "revoked": entry.revoked,
                }
                for organisation, entries in keys.items()
                for entry in entries
            ]
        )
        return ExitCode.OK
    for organisation, entries in keys.items():
        for entry in entries:
            state = f"revoked {entry.revoked}" if entry.revoked else "active"
            context.write(f"{organisation} {entry.id} created {entry.created} {state}")
    return ExitCode.OK


async def _check_organisation(store: ObjectStore, organisation: str) -> None:
    configured = (await fetch_revision(store)).document.organisations
    if organisation not in configured:
        hint = suggest_name(organisation, configured)
        raise CommandError(f"no organisation {organisation!r} is configured{hint}")


def _format_now() -> str:
    return datetime.now(UTC).isoformat(timespec="seconds")
