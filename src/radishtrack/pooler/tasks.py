"""Tasks whose unexpected errors show in the log."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from radishtrack.events import Event, log_event


def start_task(work: Coroutine[None, None, None], name: str) -> asyncio.Task[None]:
    """Start a task that nobody waits for; an error ends it and is logged."""
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(_log_error)
    return task


def _log_error(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        log_event(Event.BACKGROUND_FAILED, task=task.get_name(), reason=repr(error))
