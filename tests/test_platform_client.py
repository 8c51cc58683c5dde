"""Tests that the client reports whether a write took effect, did not or may have."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest

from radishtrack.clock import ManualTime, make_manual_clock, make_system_clock
from radishtrack.objects.budget import (
    CallBudget,
    Priority,
    acquire_call,
    backoff_ms,
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
    WriteResult,
    Written,
)
from radishtrack.objects.watch import follow_objects
from radishtrack.revision import make_revision
from radishtrack_standins.platform import RunningPlatform, start_platform
from radishtrack_standins.platform_faults import apply_switches

OWN_VALUE = {"primary": "M2", "attempt": "mine"}
OTHER_VALUE = {"primary": "M3", "attempt": "other"}


@pytest.fixture
async def platform() -> AsyncIterator[RunningPlatform]:
    running = await start_platform()
    yield running
    await running.close()


@pytest.fixture
async def client(platform: RunningPlatform) -> AsyncIterator[PlatformClient]:
    platform_client = make_platform_client(
        platform.url,
        make_system_clock(),
        budget=CallBudget(rate_per_s=10_000, burst_calls=1000),
        random=random.Random(1).random,
        timeout_ms=200,
    )
    yield platform_client
    await platform_client.close()


async def open_slow_store(pause_s: float, parts: int) -> asyncio.Server:
    """Start a store whose responses arrive in parts; the last one may be missing."""
    body = json.dumps({"objects": [], "padding": "x" * 1_000}).encode()

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode())
        size = -(-len(body) // 10)
        for start in range(0, parts * size, size):
            writer.write(body[start : start + size])
            await asyncio.sleep(pause_s)
        await asyncio.sleep(5.0 if parts < 10 else 0.0)

    return await asyncio.start_server(respond, "127.0.0.1", 0)


@pytest.mark.parametrize(("pause_s", "parts"), [(0.05, 10), (0.0, 5)])
async def test_a_read_is_bounded_by_its_progress(pause_s: float, parts: int) -> None:
    """A large list over a small link was aborted each time, and began anew."""
    server = await open_slow_store(pause_s, parts)
    port = server.sockets[0].getsockname()[1]
    client = make_platform_client(
        f"http://127.0.0.1:{port}", make_system_clock(), timeout_ms=200
    )
    try:
        async with asyncio.timeout(2.0):
            if parts == 10:
                assert await client.list_objects("groups") == ()
            else:
                with pytest.raises(PlatformUnavailable):
                    await client.list_objects("groups")
    finally:
        await client.close()
        server.close()


async def test_calls_return_typed_results(client: PlatformClient) -> None:
    assert await client.get("groups", "a/b") is None
    written = await client.put("groups", "a/b", OWN_VALUE, 0)
    assert isinstance(written, Written)
    version = written.version
    stored = PlatformObject("groups", "a/b", version, OWN_VALUE)
    assert await client.get("groups", "a/b") == stored
    assert await client.list_objects("groups") == (stored,)
    assert await client.put("groups", "a/b", OTHER_VALUE, 0) == Conflict(version)
    assert await client.watch(["groups"], 0, 1000) == WatchResponse(version, (stored,))
    assert await client.delete("groups", "a/b", version + 5) == Conflict(version)
    deleted = await client.delete("groups", "a/b", version)
    response = await client.watch(["keys", "groups"], version, 1000)
    deleted_object = PlatformObject("groups", "a/b", deleted.version, None)
    assert response == WatchResponse(deleted.version, (deleted_object,))
    vm = VmRecord("v1", "oslo-a", "norge-ost", VmState.LEAVING, "h:1")
    await client.announce(vm)
    assert await client.vms() == (vm,)


@pytest.mark.parametrize(
    ("switches", "is_effect_unknown"),
    [
        ({"outage": "refuse"}, False),
        ({"outage": "error"}, True),
        ({"outage": "silent"}, True),
        ({"delay_ms": 400}, True),
        ({"lose_answers_count": 1}, True),
        ({"lose_requests_count": 1}, True),
    ],
)
async def test_faults_of_single_calls(
    platform: RunningPlatform,
    client: PlatformClient,
    switches: dict[str, Any],
    is_effect_unknown: bool,
) -> None:
    await apply_switches(platform.faults, switches)
    with pytest.raises(PlatformUnavailable) as caught:
        await client.put("groups", "a", OWN_VALUE, 0)
    assert caught.value.step == "put"
    assert caught.value.peer == platform.url
    assert caught.value.is_effect_unknown is is_effect_unknown
    if "outage" in switches or "delay_ms" in switches:
        with pytest.raises(PlatformUnavailable) as caught:
            await client.get("groups", "a")
        assert not caught.value.is_effect_unknown
        assert client.last_contact_ms is None


async def test_a_lost_connection_does_not_repeat_a_write(
    platform: RunningPlatform, client: PlatformClient
) -> None:
    """The HTTP library retries PUT itself, which would return a false conflict."""
    await apply_switches(platform.faults, {"lose_answers_count": 1})
    with pytest.raises(PlatformUnavailable):
        await client.put("groups", "a", OWN_VALUE, 0)
    assert platform.faults.counts["put"] == 1


Interfere = Callable[[RunningPlatform, PlatformClient], Awaitable[None]]


async def no_interference(_: RunningPlatform, __: PlatformClient) -> None:
    return


async def other_writes_before(platform: RunningPlatform, _: PlatformClient) -> None:
    platform.store.write("groups", "a", OTHER_VALUE, 0)


async def other_replaces_own(platform: RunningPlatform, _: PlatformClient) -> None:
    async def replace() -> None:
        while (stored := platform.store.get("groups", "a")) is None:
            await asyncio.sleep(0)
        platform.store.write("groups", "a", OTHER_VALUE, stored.version)

    task = asyncio.create_task(replace())
    task.add_done_callback(lambda done: done.result())


@pytest.mark.parametrize(
    ("switches", "interfere", "expected", "put_count"),
    [
        ({}, no_interference, Written, 1),
        ({}, other_writes_before, Conflict, 1),
        ({"lose_answers_count": 1}, no_interference, Written, 1),
        ({"lose_answers_count": 1}, other_writes_before, Conflict, 1),
        ({"lose_answers_count": 1}, other_replaces_own, Conflict, 1),
        ({"lose_requests_count": 1}, no_interference, Written, 2),
        ({"lose_requests_count": 3}, no_interference, Written, 4),
        ({"lose_requests_count": 1}, other_writes_before, Conflict, 1),
    ],
)
async def test_faults_of_resolved_writes(
    platform: RunningPlatform,
    client: PlatformClient,
    switches: dict[str, int],
    interfere: Interfere,
    expected: type[WriteResult],
    put_count: int,
) -> None:
    await apply_switches(platform.faults, switches)
    await interfere(platform, client)
    result = await client.put_resolving("groups", "a", OWN_VALUE, 0, "mine")
    assert type(result) is expected
    assert platform.faults.counts["put"] == put_count
    stored = platform.store.get("groups", "a")
    assert stored is not None
    assert result.version == make_revision(platform.store.era, stored.version)
    assert (stored.value == OWN_VALUE) == isinstance(result, Written)


async def test_a_late_write_of_the_client_between_read_and_retry(
    platform: RunningPlatform,
    client: PlatformClient,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client's own late write must not be reported as a conflict."""
    read = client.get

    async def read_before_late_write(kind: str, name: str, **options: Any) -> Any:
        stored = await read(kind, name, **options)
        platform.store.write(kind, name, OWN_VALUE, 0)
        return stored

    monkeypatch.setattr(client, "get", read_before_late_write)
    await apply_switches(platform.faults, {"lose_requests_count": 1})
    result = await client.put_resolving("groups", "a", OWN_VALUE, 0, "mine")
    stored = platform.store.get("groups", "a")
    assert stored is not None
    assert result == Written(make_revision(platform.store.era, stored.version))
    assert platform.faults.counts["put"] == 2


async def test_a_malformed_response_is_reported_as_unavailable(
    platform: RunningPlatform, client: PlatformClient
) -> None:
    """A load balancer may respond instead of the platform; watching must go on."""
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
        await client.put_resolving("groups", "a", OWN_VALUE, 0, "mine", max_failures=2)
    assert caught.value.is_effect_unknown
    with pytest.raises(ValueError, match="attempt"):
        await client.put_resolving("groups", "a", OTHER_VALUE, 0, "mine")


async def test_an_oversized_value_is_refused(client: PlatformClient) -> None:
    with pytest.raises(PlatformRefusal) as caught:
        await client.put("config", "a", {"text": "x" * 1_000_001}, 0)
    assert caught.value.status == 413


async def test_contact_time_is_that_of_the_request_not_of_a_late_response(
    platform: RunningPlatform,
) -> None:
    time = ManualTime(1000.0)
    client = make_platform_client(platform.url, make_manual_clock(time))
    await client.put("groups", "a", OWN_VALUE, 0)
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
    responses: list[WatchResponse] = []
    contacts: list[bool] = []
    following = asyncio.create_task(
        follow_objects(
            client,
            ["groups", "keys"],
            responses.append,
            on_contact=contacts.append,
            timeout_ms=100,
        )
    )

    async def wait_until(condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)

    await wait_until(lambda: len(responses) == 1)
    assert responses[0].objects == ()
    platform.store.write("keys", "a", OWN_VALUE, 0)
    await wait_until(lambda: len(responses) == 2)
    await apply_switches(platform.faults, {"outage": "refuse"})
    await wait_until(lambda: contacts.count(False) >= 2)
    platform.store.write("groups", "b", OTHER_VALUE, 0)
    await apply_switches(platform.faults, {"outage": ""})
    await wait_until(lambda: len(responses) == 3)
    assert [item.name for response in responses for item in response.objects] == [
        "a",
        "b",
    ]
    assert platform.faults.pending_watches <= 1
    assert platform.faults.counts["watch"] < 40
    following.cancel()


def test_the_budget_limits_calls_and_promotion_may_overdraw_it() -> None:
    budget = CallBudget(rate_per_s=10, burst_calls=4)
    assert [acquire_call(budget, Priority.BACKGROUND, 0) for _ in range(2)] == [0, 0]
    assert acquire_call(budget, Priority.BACKGROUND, 0) > 0
    assert [acquire_call(budget, Priority.NORMAL, 0) for _ in range(2)] == [0, 0]
    assert acquire_call(budget, Priority.NORMAL, 0) == pytest.approx(100)
    assert [acquire_call(budget, Priority.PROMOTION, 0) for _ in range(4)] == [0] * 4
    assert acquire_call(budget, Priority.PROMOTION, 0) == pytest.approx(100)
    assert acquire_call(budget, Priority.NORMAL, 0) == pytest.approx(500)
    assert acquire_call(budget, Priority.NORMAL, 500) == 0


def test_the_budget_bounds_calls_over_a_long_time() -> None:
    budget = CallBudget(rate_per_s=10, burst_calls=4)
    acquired_calls = sum(
        acquire_call(budget, Priority.NORMAL, now_ms) == 0
        for now_ms in range(0, 10_000)
    )
    assert 103 <= acquired_calls <= 104


def test_backoff_doubles_with_jitter_and_has_a_limit() -> None:
    assert [backoff_ms(n, lambda: 0.0) for n in (1, 2, 3)] == [25, 50, 100]
    assert backoff_ms(1, lambda: 1.0) == 50
    assert backoff_ms(1000, lambda: 1.0) == 10_000
