"""Guards that the client tells apart writes with, without and with unknown effect."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest

from radishtrack.clock import ManualTime, make_manual_clock, make_system_clock
from radishtrack.objects.budget import (
    CallBudget,
    Priority,
    backoff_ms,
    take_call,
)
from radishtrack.objects.client import PlatformClient, make_platform_client
from radishtrack.objects.records import (
    Conflict,
    PlatformObject,
    PlatformRefusal,
    PlatformUnavailable,
    VmRecord,
    VmState,
    WatchResponse,
    WriteAnswer,
    Written,
)
from radishtrack.objects.watch import follow_objects
from radishtrack_standins.platform import RunningPlatform, start_platform
from radishtrack_standins.platform_faults import apply_switches

MINE = {"primary": "M2", "attempt": "mine"}
OTHER = {"primary": "M3", "attempt": "other"}


@pytest.fixture
async def platform() -> AsyncIterator[RunningPlatform]:
    running = await start_platform()
    yield running
    await running.close()


@pytest.fixture
async def client(platform: RunningPlatform) -> AsyncIterator[PlatformClient]:
    made = make_platform_client(
        platform.url,
        make_system_clock(),
        budget=CallBudget(rate_per_s=10_000, burst_calls=1000),
        random=random.Random(1).random,
        timeout_ms=200,
    )
    yield made
    await made.close()


async def test_calls_return_typed_answers(client: PlatformClient) -> None:
    assert await client.get("groups", "a/b") is None
    written = await client.put("groups", "a/b", MINE, 0)
    assert isinstance(written, Written)
    version = written.version
    stored = PlatformObject("groups", "a/b", version, MINE)
    assert await client.get("groups", "a/b") == stored
    assert await client.list_objects("groups") == (stored,)
    assert await client.put("groups", "a/b", OTHER, 0) == Conflict(version)
    assert await client.watch(["groups"], 0, 1000) == WatchResponse(version, (stored,))
    assert await client.delete("groups", "a/b", version + 5) == Conflict(version)
    deleted = await client.delete("groups", "a/b", version)
    answer = await client.watch(["keys", "groups"], version, 1000)
    gone = PlatformObject("groups", "a/b", deleted.version, None)
    assert answer == WatchResponse(deleted.version, (gone,))
    vm = VmRecord("v1", "oslo-a", "norge-ost", VmState.LEAVING, "h:1")
    await client.announce(vm)
    assert await client.vms() == (vm,)


@pytest.mark.parametrize(
    ("switches", "write_unknown"),
    [
        ({"outage": "refuse"}, False),
        ({"outage": "error"}, True),
        ({"outage": "silent"}, True),
        ({"delay_ms": 400}, True),
        ({"lose_answers_count": 1}, True),
        ({"lose_requests_count": 1}, True),
    ],
)
async def test_fault_table_of_single_calls(
    platform: RunningPlatform,
    client: PlatformClient,
    switches: dict[str, Any],
    write_unknown: bool,
) -> None:
    await apply_switches(platform.faults, switches)
    with pytest.raises(PlatformUnavailable) as caught:
        await client.put("groups", "a", MINE, 0)
    assert caught.value.step == "put"
    assert caught.value.peer == platform.url
    assert caught.value.effect_unknown is write_unknown
    if "outage" in switches or "delay_ms" in switches:
        with pytest.raises(PlatformUnavailable) as caught:
            await client.get("groups", "a")
        assert not caught.value.effect_unknown
        assert client.last_contact_ms is None


async def test_a_lost_connection_does_not_repeat_a_write(
    platform: RunningPlatform, client: PlatformClient
) -> None:
    """The HTTP library repeats PUT by itself and would return a false conflict."""
    await apply_switches(platform.faults, {"lose_answers_count": 1})
    with pytest.raises(PlatformUnavailable):
        await client.put("groups", "a", MINE, 0)
    assert platform.faults.counts["put"] == 1


Meddle = Callable[[RunningPlatform, PlatformClient], Awaitable[None]]


async def nothing(_: RunningPlatform, __: PlatformClient) -> None:
    return


async def other_writes_first(platform: RunningPlatform, _: PlatformClient) -> None:
    platform.store.write("groups", "a", OTHER, 0)


async def other_replaces_mine(platform: RunningPlatform, _: PlatformClient) -> None:
    async def replace() -> None:
        while (found := platform.store.get("groups", "a")) is None:
            await asyncio.sleep(0)
        platform.store.write("groups", "a", OTHER, found.version)

    task = asyncio.create_task(replace())
    task.add_done_callback(lambda done: done.result())


@pytest.mark.parametrize(
    ("switches", "meddle", "expected", "puts"),
    [
        ({}, nothing, Written, 1),
        ({}, other_writes_first, Conflict, 1),
        ({"lose_answers_count": 1}, nothing, Written, 1),
        ({"lose_answers_count": 1}, other_writes_first, Conflict, 1),
        ({"lose_answers_count": 1}, other_replaces_mine, Conflict, 1),
        ({"lose_requests_count": 1}, nothing, Written, 2),
        ({"lose_requests_count": 3}, nothing, Written, 4),
        ({"lose_requests_count": 1}, other_writes_first, Conflict, 1),
    ],
)
async def test_fault_table_of_resolved_writes(
    platform: RunningPlatform,
    client: PlatformClient,
    switches: dict[str, int],
    meddle: Meddle,
    expected: type[WriteAnswer],
    puts: int,
) -> None:
    await apply_switches(platform.faults, switches)
    await meddle(platform, client)
    answer = await client.put_resolving("groups", "a", MINE, 0, "mine")
    assert type(answer) is expected
    assert platform.faults.counts["put"] == puts
    stored = platform.store.get("groups", "a")
    assert stored is not None
    assert stored.version == answer.version
    assert (stored.value == MINE) == isinstance(answer, Written)


async def test_a_write_that_arrives_between_reading_and_repeating(
    platform: RunningPlatform,
    client: PlatformClient,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The conflict with the own late write must not be reported as a conflict."""
    read = client.get

    async def read_then_arrive(kind: str, name: str, **options: Any) -> Any:
        found = await read(kind, name, **options)
        platform.store.write(kind, name, MINE, 0)
        return found

    monkeypatch.setattr(client, "get", read_then_arrive)
    await apply_switches(platform.faults, {"lose_requests_count": 1})
    answer = await client.put_resolving("groups", "a", MINE, 0, "mine")
    stored = platform.store.get("groups", "a")
    assert stored is not None
    assert answer == Written(stored.version)
    assert platform.faults.counts["put"] == 2


async def test_a_malformed_answer_is_an_unavailable_platform(
    platform: RunningPlatform, client: PlatformClient
) -> None:
    """A load balancer can answer for the platform; following must not end then."""
    client.url = f"{platform.url}/control/counts?"
    for call in (
        client.watch(["groups"], 3, 50),
        client.list_objects("groups"),
        client.vms(),
        client.get("groups", "a"),
    ):
        with pytest.raises(PlatformUnavailable, match="malformed"):
            await call


async def test_an_unresolved_write_is_reported_as_unknown(
    platform: RunningPlatform, client: PlatformClient
) -> None:
    await apply_switches(platform.faults, {"outage": "error"})
    with pytest.raises(PlatformUnavailable) as caught:
        await client.put_resolving("groups", "a", MINE, 0, "mine", tries=2)
    assert caught.value.effect_unknown
    with pytest.raises(ValueError, match="attempt"):
        await client.put_resolving("groups", "a", OTHER, 0, "mine")


async def test_an_oversized_value_is_refused_for_good(client: PlatformClient) -> None:
    with pytest.raises(PlatformRefusal) as caught:
        await client.put("config", "a", {"text": "x" * 1_000_001}, 0)
    assert caught.value.status == 413


async def test_contact_is_dated_by_the_request_and_not_by_a_late_answer(
    platform: RunningPlatform,
) -> None:
    time = ManualTime(1000.0)
    client = make_platform_client(platform.url, make_manual_clock(time))
    await client.put("groups", "a", MINE, 0)
    assert client.last_contact_ms == 1000.0
    await apply_switches(platform.faults, {"delay_ms": 60})
    time.advance(100.0)
    reading = asyncio.create_task(client.get("groups", "a"))
    await asyncio.sleep(0.03)
    time.advance(5000.0)
    await reading
    assert client.last_contact_ms == 1100.0
    await client.close()


async def test_follow_objects_reports_changes_and_contact_through_an_outage(
    platform: RunningPlatform, client: PlatformClient
) -> None:
    answers: list[WatchResponse] = []
    contacts: list[bool] = []
    following = asyncio.create_task(
        follow_objects(
            client,
            ["groups", "keys"],
            answers.append,
            on_contact=contacts.append,
            timeout_ms=100,
        )
    )

    async def until(condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)

    await until(lambda: len(answers) == 1)
    assert answers[0].objects == ()
    platform.store.write("keys", "a", MINE, 0)
    await until(lambda: len(answers) == 2)
    await apply_switches(platform.faults, {"outage": "refuse"})
    await until(lambda: contacts.count(False) >= 2)
    platform.store.write("groups", "b", OTHER, 0)
    await apply_switches(platform.faults, {"outage": ""})
    await until(lambda: len(answers) == 3)
    assert [item.name for answer in answers for item in answer.objects] == ["a", "b"]
    assert platform.faults.pending_watches <= 1
    assert platform.faults.counts["watch"] < 40
    following.cancel()


def test_the_budget_limits_calls_and_promotion_goes_first() -> None:
    budget = CallBudget(rate_per_s=10, burst_calls=4)
    assert [take_call(budget, Priority.BACKGROUND, 0) for _ in range(2)] == [0, 0]
    assert take_call(budget, Priority.BACKGROUND, 0) > 0
    assert [take_call(budget, Priority.NORMAL, 0) for _ in range(2)] == [0, 0]
    assert take_call(budget, Priority.NORMAL, 0) == pytest.approx(100)
    assert [take_call(budget, Priority.PROMOTION, 0) for _ in range(4)] == [0] * 4
    assert take_call(budget, Priority.PROMOTION, 0) == pytest.approx(100)
    assert take_call(budget, Priority.NORMAL, 0) == pytest.approx(500)
    assert take_call(budget, Priority.NORMAL, 500) == 0


def test_the_budget_bounds_calls_over_a_long_time() -> None:
    budget = CallBudget(rate_per_s=10, burst_calls=4)
    taken = sum(
        take_call(budget, Priority.NORMAL, now_ms) == 0 for now_ms in range(0, 10_000)
    )
    assert 103 <= taken <= 104


def test_backoff_doubles_with_jitter_and_has_a_limit() -> None:
    assert [backoff_ms(n, lambda: 0.0) for n in (1, 2, 3)] == [25, 50, 100]
    assert backoff_ms(1, lambda: 1.0) == 50
    assert backoff_ms(1000, lambda: 1.0) == 10_000
