"""Guards what nodes know when the platform of the MySQL side is restored from a backup.

The platform then lacks what it acknowledged in the lost seconds, and gives out their
versions again.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

import pytest

from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.objects.budget import CallBudget
from radishtrack.objects.client import (
    RESTORE_SETTLE_MS,
    PlatformClient,
    make_platform_client,
)
from radishtrack.objects.era import ERA_KIND, record_era
from radishtrack.objects.records import Conflict, PlatformUnavailable, Written
from radishtrack.objects.watch import follow_objects
from radishtrack_standins.platform import RunningPlatform, start_platform


@pytest.fixture
async def platform() -> AsyncIterator[RunningPlatform]:
    running = await start_platform()
    yield running
    await running.close()


@pytest.fixture
def time() -> ManualTime:
    return ManualTime(1_000.0)


@pytest.fixture
async def client(
    platform: RunningPlatform, time: ManualTime
) -> AsyncIterator[PlatformClient]:
    platform_client = make_platform_client(
        platform.url,
        make_manual_clock(time),
        budget=CallBudget(rate_per_s=10_000, burst_calls=1000),
        random=random.Random(1).random,
        timeout_ms=500,
    )
    yield platform_client
    await platform_client.close()


async def restore(
    platform: RunningPlatform, client: PlatformClient, time: ManualTime, backup: object
) -> None:
    """Restore the platform, let the client notice, and wait until it has settled."""
    platform.store.restore(backup)  # type: ignore[arg-type]
    with pytest.raises(PlatformUnavailable, match="restored"):
        await client.get("groups", "a")
    time.advance(RESTORE_SETTLE_MS)


async def test_a_version_that_was_given_out_before_is_a_later_one(
    platform: RunningPlatform, client: PlatformClient, time: ManualTime
) -> None:
    """An object at a version that a node had already was not applied."""
    backup = platform.store.back_up()
    lost = await client.put("groups", "a", {"term": 1}, 0)
    await restore(platform, client, time, backup)
    platform.store.write("groups", "a", {"term": 2}, 0)
    stored = await client.get("groups", "a")
    assert stored is not None and stored.version > lost.version


async def test_a_conditional_write_does_not_match_a_version_of_an_earlier_era(
    platform: RunningPlatform, client: PlatformClient, time: ManualTime
) -> None:
    """The write replaced an object that its caller had never read."""
    backup = platform.store.back_up()
    lost = await client.put("groups", "a", {"term": 1}, 0)
    await restore(platform, client, time, backup)
    platform.store.write("groups", "a", {"term": 2}, 0)
    result = await client.put("groups", "a", {"term": 3}, lost.version)
    assert isinstance(result, Conflict)
    stored = await client.get("groups", "a")
    assert stored is not None and stored.value == {"term": 2}
    assert result.version == stored.version
    written = await client.put("groups", "a", {"term": 3}, stored.version)
    assert isinstance(written, Written)


async def test_a_watch_of_an_earlier_era_returns_all_objects(
    platform: RunningPlatform, client: PlatformClient, time: ManualTime
) -> None:
    """A change at a version below the watch's revision never arrived."""
    backup = platform.store.back_up()
    for version in range(5):
        platform.store.write("groups", f"g{version}", {"term": 1}, 0)
    response = await client.watch(["groups"], 0, 100)
    await restore(platform, client, time, backup)
    platform.store.write("groups", "new", {"term": 1}, 0)
    after = await client.watch(["groups"], response.revision, 100)
    assert [item.name for item in after.objects] == ["new"]
    assert after.revision > response.revision


async def test_a_restored_platform_is_not_read_before_writes_are_made_again(
    platform: RunningPlatform, client: PlatformClient, time: ManualTime
) -> None:
    """Keys that were withdrawn in the lost seconds counted as confirmed."""
    await client.put("keys", "verksted", {"keys": []}, 0)
    contact_ms = client.last_contact_ms
    platform.store.restore(platform.store.back_up())
    for _ in range(4):
        time.advance(RESTORE_SETTLE_MS / 4 - 1.0)
        with pytest.raises(PlatformUnavailable, match="restored"):
            await client.watch(["keys"], 0, 100)
    assert client.last_contact_ms == contact_ms
    time.advance(RESTORE_SETTLE_MS)
    assert len((await client.watch(["keys"], 0, 100)).objects) == 1


async def test_following_objects_goes_on_after_a_restore(
    platform: RunningPlatform, client: PlatformClient, time: ManualTime
) -> None:
    """A node followed the revisions of the earlier era and missed every change."""
    names: list[str] = []
    backup = platform.store.back_up()
    platform.store.write("groups", "lost", {"term": 1}, 0)
    task = asyncio.create_task(
        follow_objects(
            client,
            ["groups"],
            lambda response: names.extend(item.name for item in response.objects),
            timeout_ms=50,
        )
    )
    await wait_until_in("lost", names)
    platform.store.restore(backup)
    await asyncio.sleep(0.1)
    platform.store.write("groups", "next", {"term": 1}, 0)
    time.advance(RESTORE_SETTLE_MS)
    await wait_until_in("next", names)
    task.cancel()


async def wait_until_in(name: str, names: list[str]) -> None:
    async with asyncio.timeout(8.0):
        while name not in names:
            await asyncio.sleep(0.01)


async def test_a_process_that_starts_after_a_restore_waits_until_it_has_settled(
    platform: RunningPlatform, client: PlatformClient, time: ManualTime
) -> None:
    """It accepted the keys of the backup, of which some had been withdrawn."""
    await client.get("groups", "a")
    await record_era(client)
    await client.put("keys", "verksted", {"keys": []}, 0)
    platform.store.restore(platform.store.back_up())
    starting = make_platform_client(platform.url, make_manual_clock(time))
    names: list[str] = []
    task = asyncio.create_task(
        follow_objects(
            starting,
            ["keys", ERA_KIND],
            lambda response: names.extend(item.name for item in response.objects),
            timeout_ms=50,
        )
    )
    await asyncio.sleep(0.3)
    assert names == [] and starting.era == platform.store.era
    time.advance(RESTORE_SETTLE_MS)
    await wait_until_in("verksted", names)
    task.cancel()
    # Once a node has recorded the era, later processes start at once.
    await record_era(starting)
    stored = await starting.get(ERA_KIND, "era")
    assert stored is not None and stored.value == {"era": platform.store.era}
    await starting.close()
