"""Entry point of the daemon."""

from __future__ import annotations

from radishtrack.events import use_json_lines
from radishtrack.proxy.assembly import serve
from radishtrack.settings import Settings


async def run(settings: Settings) -> int:
    """Run a node until a stop is requested; return the exit code."""
    use_json_lines(settings.log.format == "json")
    await serve(settings)
    return 0
