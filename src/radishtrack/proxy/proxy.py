"""Entry point of the daemon."""

from __future__ import annotations

import asyncio

import uvloop

from radishtrack.events import use_json_lines
from radishtrack.proxy.node import serve
from radishtrack.settings import Settings


def run(settings: Settings) -> int:
    """Run a node until it is told to stop; return the exit code."""
    use_json_lines(settings.log.format == "json")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(settings))
    return 0
