"""Background tasks whose unexpected errors are logged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Final

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event

MIN_RESTART_DELAY_MS: Final = 50.0
"""Pause before a failed task starts again; doubled with each failure."""
MAX_RESTART_DELAY_MS: Final = 2_000.0
"""Longest such pause."""
STABLE_MS: Final = 10_000.0
"""Running time after which a failure counts as the first one again."""


def start_task(coroutine: Coroutine[None, None, None], name: str) -> asyncio.Task[None]:
    """Start a background task and log the error if it fails."""
    task = asyncio.create_task(coroutine, name=name)
    task.add_done_callback(_log_error)
    return task


async def supervise(
    run: Callable[[], Coroutine[None, None, None]], name: str, clock: Clock
) -> None:
    """Run a long-lived task, and start it again after an unexpected error.

    One malformed message must neither end the process nor leave it without one of its
    tasks.

    Parameters
    ----------
    run : callable
        Starts the task; when it returns, so does this function.
    name : str
        Name of the task in the log.
    clock : Clock
        Time in milliseconds.
    """
    delay_ms = MIN_RESTART_DELAY_MS
    while True:
        started_ms = clock.now_ms()
        try:
            await run()
        except Exception as error:
            log_event(Event.BACKGROUND_FAILED, task=name, reason=repr(error))
            if clock.now_ms() - started_ms >= STABLE_MS:
                delay_ms = MIN_RESTART_DELAY_MS
            await asyncio.sleep(delay_ms / 1000)
            delay_ms = min(2 * delay_ms, MAX_RESTART_DELAY_MS)
        else:
            return


def _log_error(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        log_event(Event.BACKGROUND_FAILED, task=task.get_name(), reason=repr(error))
