"""Background tasks whose unexpected errors are logged."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from radishtrack.events import Event, log_event


def start_task(coroutine: Coroutine[None, None, None], name: str) -> asyncio.Task[None]:
    """Start a background task and log the error if it fails."""
    task = asyncio.create_task(coroutine, name=name)
    task.add_done_callback(_log_error)
    return task


def _log_error(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        log_event(Event.BACKGROUND_FAILED, task=task.get_name(), reason=repr(error))
