"""Watches objects of the platform with one pending call."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from radishtrack.events import Event, log_event
from radishtrack.objects.budget import backoff_ms
from radishtrack.objects.client import PlatformClient
from radishtrack.objects.era import find_recorded_era
from radishtrack.objects.records import (
    PlatformRefusal,
    PlatformUnavailable,
    WatchResponse,
)

DEFAULT_WATCH_MS: Final = 2000.0

OnChange = Callable[[WatchResponse], None]
OnContact = Callable[[bool], None]


def _ignore_contact(_: bool) -> None:
    return


async def follow_objects(
    client: PlatformClient,
    kinds: Sequence[str],
    on_change: OnChange,
    *,
    on_contact: OnContact = _ignore_contact,
    timeout_ms: float = DEFAULT_WATCH_MS,
) -> None:
    """Report all objects of some kinds and then their changes, forever.

    If the kinds contain `ERA_KIND`, a process that starts after a restore of the
    platform waits until that has settled.

    Parameters
    ----------
    client : PlatformClient
        The client; its `last_contact_ms` shows how recent the reported state is.
    kinds : sequence of str
        The kinds to watch.
    on_change : callable
        Called with each response that contains objects, and with the first one.
    on_contact : callable
        Called after each call with whether the platform responded.
    timeout_ms : float
        Time in milliseconds that the platform waits for a change. A pending call
        does not update `last_contact_ms`, so this bounds its age.
    """
    revision = failures = 0
    is_first = is_unchecked = True
    while True:
        try:
            response = await client.watch(kinds, revision, timeout_ms)
        except (PlatformUnavailable, PlatformRefusal) as error:
            failures += 1
            on_contact(False)
            if failures == 1:
                log_event(Event.PLATFORM_UNAVAILABLE, reason=str(error))
            await asyncio.sleep(backoff_ms(failures, client.random) / 1000)
            continue
        if failures:
            log_event(Event.PLATFORM_AVAILABLE, failures=failures)
        failures = 0
        recorded_era = find_recorded_era(response.objects) if is_unchecked else None
        is_unchecked = False
        if recorded_era is not None and recorded_era < client.era:
            # The platform was restored shortly before this process started.
            log_event(Event.STORE_RESTORED, era=client.era, earlier_era=recorded_era)
            client.begin_settling()
            continue
        revision = response.revision
        if response.objects or is_first:
            on_change(response)
        is_first = False
        on_contact(True)
