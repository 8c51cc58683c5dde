"""Command line entry point of a node on the platform."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import uvloop

from radishtrack.clock import Clock, make_boot_clock
from radishtrack.early_signals import received_signals
from radishtrack.events import Event, log_event
from radishtrack.log_output import configure_stdout_logging
from radishtrack.platform.control_store import PlatformControlStore
from radishtrack.platform.endpoints import start_metrics_endpoint, start_ready_endpoint
from radishtrack.platform.frontend import Frontend, start_frontend
from radishtrack.platform.member_link import open_wire_link
from radishtrack.platform.object_store import ObjectStoreClient
from radishtrack.platform.promotion_order import make_promote_member
from radishtrack.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    SettingsError,
    read_settings,
)
from radishtrack.pooler.catalog import NodeRecord
from radishtrack.pooler.connections.metrics import register_connection_metrics
from radishtrack.pooler.evacuation.reports import register_evacuation_metrics
from radishtrack.pooler.node import Node, NodeOptions, make_node
from radishtrack.pooler.placement.metrics import register_capacity_metrics
from radishtrack.pooler.promotion_metrics import register_promotion_metrics
from radishtrack.pooler.request_log import make_request_log
from radishtrack.pooler.store_metrics import register_store_metrics

SETTINGS_POLL_S: Final = 2.0
"""Interval of checks of the settings file, which may change without a signal."""
STOP_POLL_S: Final = 0.1
"""Interval at which a stopping node checks whether it may exit."""
EXIT_CODE_SETTINGS: Final = 2


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="radishtrack-node",
        description="Session pooler on the users' platform; the settings file is "
        f"named by {SETTINGS_VARIABLE}.",
    )
    parser.add_argument("role", choices=["edge"], help="the role of this process")
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and exit"
    )
    return parser


def run(
    argv: Sequence[str] | None = None, process_started_ms: float | None = None
) -> int:
    """Run a node until it is stopped; return the exit code.

    Parameters
    ----------
    argv : sequence of str, optional
        The arguments; those of the process by default.
    process_started_ms : float, optional
        Start of the process on the boot clock, before the imports of this package; the
        current time by default.
    """
    clock = make_boot_clock()
    if process_started_ms is None:
        process_started_ms = clock.now_ms()
    arguments = make_parser().parse_args(argv)
    configure_stdout_logging()
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = read_settings(path)
    except SettingsError as error:
        log_event(Event.SETTINGS_INVALID, path=path, reason=error)
        return EXIT_CODE_SETTINGS
    if arguments.check:
        return 0
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(settings, path, clock, process_started_ms))
    return 0


async def serve(
    settings: PlatformSettings, path: Path, clock: Clock, process_started_ms: float
) -> None:
    """Run a node until SIGTERM."""
    reload_requested, stop_requested = asyncio.Event(), asyncio.Event()
    _handle_signal(signal.SIGHUP, reload_requested)
    _handle_signal(signal.SIGTERM, stop_requested)
    record = NodeRecord(
        name=settings.node,
        host=settings.ip,
        port=settings.peer_port,
        zone=settings.zone,
        started_ms=time.time_ns() // 1_000_000,
        cores=settings.cores,
    )
    log = make_request_log(clock)
    node = make_node(
        _make_options(settings, record, process_started_ms),
        clock,
        PlatformControlStore(
            ObjectStoreClient(settings.store),
            has_evacuations=settings.evacuation_ms is not None,
        ),
        open_wire_link,
        make_promote_member(settings.orders),
        log,
    )
    if settings.evacuation_ms is not None:
        node.store_copy.evacuated.bound_ms = settings.evacuation_ms
    await start_ready_endpoint(*settings.ready, node.is_ready)
    register_store_metrics(log.registry, node.store_copy)
    register_evacuation_metrics(log.registry, node.evacuations)
    register_connection_metrics(log.registry, node.groups)
    register_capacity_metrics(log.registry, lambda: tuple(node.groups.values()))
    register_promotion_metrics(log.registry, node.promoter)
    await start_metrics_endpoint(settings.ip, log.registry)
    frontend = await start_frontend(node, *settings.frontend)
    log_event(
        Event.NODE_STARTED,
        node=settings.node,
        zone=settings.zone,
        frontend=settings.frontend,
        store=settings.store,
    )
    node_task = asyncio.create_task(node.run())
    reload_task = asyncio.create_task(_follow_settings(node, path, reload_requested))
    stop_task = asyncio.create_task(stop_requested.wait())
    await asyncio.wait((node_task, stop_task), return_when=asyncio.FIRST_COMPLETED)
    if node_task.done():
        error = node_task.exception()
        log_event(Event.TASK_FAILED, reason=repr(error))
        sys.exit(1)
    await stop_node(node, frontend)
    reload_task.cancel()
    log_event(Event.NODE_STOPPED, node=settings.node, sessions=len(node.sessions))
    sys.stdout.flush()
    # Waiting for the tasks of open connections could exceed the grace period.
    os._exit(0)


def _handle_signal(number: signal.Signals, event: asyncio.Event) -> None:
    """Set an event when a signal arrives, also if it did so during the start."""
    asyncio.get_running_loop().add_signal_handler(number, event.set)
    if number in received_signals:
        event.set()


async def stop_node(node: Node, frontend: Frontend) -> None:
    """Stop accepting clients, let requests end and return when the process may exit."""
    plan = node.begin_stop()
    while (now_ms := node.clock.now_ms()) < plan.exit_ms:
        if now_ms >= plan.accept_until_ms:
            frontend.stop_accepting()
            frontend.close_idle()
        if now_ms >= plan.close_ms:
            frontend.close_waiting()
        if now_ms >= plan.answer_ms:
            frontend.answer_running()
        if now_ms >= plan.accept_until_ms and not frontend.clients:
            return
        await asyncio.sleep(STOP_POLL_S)


async def _follow_settings(
    node: Node, path: Path, reload_requested: asyncio.Event
) -> None:
    """Reload the settings on SIGHUP and after changes of the file."""
    loaded_version = _read_file_version(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await reload_requested.wait()
        except TimeoutError:
            if _read_file_version(path) == loaded_version:
                continue
        reload_requested.clear()
        try:
            settings = read_settings(path)
        except SettingsError as error:
            # The file may be half written; the next check reads it again.
            log_event(Event.SETTINGS_INVALID, path=path, reason=error)
            continue
        loaded_version = _read_file_version(path)
        node.options = _make_options(
            settings, node.options.node, node.options.process_started_ms
        )
        log_event(Event.SETTINGS_READ, grace_ms=settings.grace_ms, store=settings.store)


def _read_file_version(path: Path) -> tuple[int, int]:
    try:
        status = path.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)


def _make_options(
    settings: PlatformSettings, record: NodeRecord, process_started_ms: float
) -> NodeOptions:
    return NodeOptions(
        record,
        settings.grace_ms,
        settings.key_age_limit_ms,
        process_started_ms,
        settings.configuration_age_limit_ms,
    )


if __name__ == "__main__":
    sys.exit(run())
