"""Commands for nodes: run a node, show the fleet, drain a node."""

from __future__ import annotations

import argparse
import importlib
import inspect
from typing import Any, Final

import attrs

from radishtrack._validation import suggest_name
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
from radishtrack.cli._logging import configure_logging
from radishtrack.config.chunk import EMPTY_MANIFEST, Manifest, decode_manifest
from radishtrack.config.store import MANIFEST_KIND, MANIFEST_NAME
from radishtrack.settings import load_settings

PROXY_MODULE: Final = "radishtrack.proxy.proxy"


def add_node_commands(commands: Any) -> None:
    """Add ``proxy``, ``status`` and ``drain``."""
    proxy = add_command(
        commands,
        "proxy",
        run_proxy,
        summary="run a node",
        text="""
        Runs a node until it receives SIGTERM or SIGINT; it then finishes requests and
        transactions within drain_timeout_ms and exits with 0. Log lines go to
        standard error.

        examples:
          radishtrack proxy --settings examples/node.toml
        """,
    )
    proxy.add_argument("--settings", metavar="FILE", required=True, help="TOML file")
    status = add_command(
        commands,
        "status",
        run_status,
        summary="show nodes, primaries and the configuration's revision",
        text="""
        Shows the state of the fleet as the platform stores it. The list of nodes may
        be seconds old.

        examples:
          radishtrack status --platform http://127.0.0.1:8500
          radishtrack status --settings node.toml --json
        """,
    )
    drain = add_command(
        commands,
        "drain",
        run_drain,
        summary="mark a node as leaving",
        text="""
        Marks a node as leaving in the platform. Within seconds it receives no new work;
        it completes its present work and stops. To bring it back, start it again.

        examples:
          radishtrack drain node-3 --settings node.toml
        """,
    )
    drain.add_argument("node", metavar="NODE", help="identifier of the node")
    for parser in (status, drain):
        add_platform_arguments(parser)
        add_json_argument(parser)


async def run_proxy(arguments: argparse.Namespace, context: Context) -> ExitCode:
    """Run a node."""
    result = load_settings(arguments.settings)
    if result.is_error():
        raise CommandError("\n".join(str(error) for error in result.error))
    configure_logging(as_json=result.ok.log.format == "json")
    # Imported here, because the proxy needs modules that no other command needs.
    outcome = importlib.import_module(PROXY_MODULE).run(result.ok)
    if inspect.isawaitable(outcome):
        outcome = await outcome
    return ExitCode(outcome) if isinstance(outcome, int) else ExitCode.OK


async def run_status(arguments: argparse.Namespace, context: Context) -> ExitCode:
    """Show the fleet."""
    async with context.open_platform(find_platform_url(arguments)) as platform:
        vms = sorted(await platform.list_vms(), key=lambda vm: vm.id)
        groups = await platform.list_objects("groups")
        manifest = await _fetch_manifest(platform)
    if arguments.json:
        context.write_json(
            {
                "revision": manifest.revision,
                "author": manifest.author,
                "nodes": [attrs.asdict(vm) for vm in vms],
                "databases": [_summarise_group(group) for group in groups],
            }
        )
        return ExitCode.OK
    context.write(f"configuration revision {manifest.revision} {manifest.author}")
    for vm in vms:
        context.write(f"node {vm.id} {vm.region} {vm.zone} {vm.state}")
    for group in groups:
        summary = _summarise_group(group)
        context.write(
            f"database {group.name} term {summary['term']} primary {summary['primary']}"
        )
    return ExitCode.OK


async def run_drain(arguments: argparse.Namespace, context: Context) -> ExitCode:
    """Mark a node as leaving."""
    async with context.open_platform(find_platform_url(arguments)) as platform:
        vms = {vm.id: vm for vm in await platform.list_vms()}
        vm = vms.get(arguments.node)
        if vm is None:
            hint = suggest_name(arguments.node, vms)
            raise CommandError(f"the platform lists no node {arguments.node!r}{hint}")
        await platform.announce_leaving(vm)
    if arguments.json:
        context.write_json({"node": vm.id, "state": "leaving"})
    else:
        context.write(f"node {vm.id} is marked as leaving")
    return ExitCode.OK


async def _fetch_manifest(platform: PlatformAccess) -> Manifest:
    stored = await platform.store.get(MANIFEST_KIND, MANIFEST_NAME)
    return decode_manifest(stored.value) if stored else EMPTY_MANIFEST


def _summarise_group(group: NamedObject) -> dict[str, Any]:
    value = group.value if isinstance(group.value, dict) else {}
    return {
        "database": group.name,
        "term": value.get("term"),
        "primary": value.get("primary"),
    }
