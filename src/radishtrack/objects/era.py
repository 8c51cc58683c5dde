"""The record of the platform's era, by which a starting process learns of a restore.

A process that starts knows no earlier era. Nodes record each era once the platform has
settled, so a record of an earlier era tells that it may still lack acknowledged writes.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from radishtrack.objects.client import NO_ERA, PlatformClient
from radishtrack.objects.records import PlatformObject

ERA_KIND: Final = "fleet"
ERA_NAME: Final = "era"


def find_recorded_era(objects: Iterable[PlatformObject]) -> int | None:
    """Return the recorded era among objects; None if there is no valid record."""
    for item in objects:
        if (item.kind, item.name) == (ERA_KIND, ERA_NAME) and item.value is not None:
            era = item.value.get("era")
            return era if isinstance(era, int) else None
    return None


async def record_era(client: PlatformClient) -> None:
    """Record that the platform has settled in the client's present era.

    Raises
    ------
    PlatformUnavailable, PlatformRefusal
        If a call failed.
    """
    stored = await client.get(ERA_KIND, ERA_NAME)
    recorded = None if stored is None else find_recorded_era((stored,))
    if client.era == NO_ERA or (recorded is not None and recorded >= client.era):
        return
    version = 0 if stored is None else stored.version
    await client.put(ERA_KIND, ERA_NAME, {"era": client.era}, version)
