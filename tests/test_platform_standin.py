"""Tests that the platform stand-in keeps the platform's contract under faults."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest

from radishtrack_standins.launch import start_standin
from radishtrack_standins.platform import RunningPlatform, start_platform

VM = {"zone": "oslo-a", "region": "norge-ost", "state": "live", "peer_address": "h:1"}


@pytest.fixture
async def platform() -> AsyncIterator[RunningPlatform]:
    running = await start_platform(vm_list_lag_ms=60)
    yield running
    await running.close()


@pytest.fixture
async def http() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


async def call(
    http: aiohttp.ClientSession, method: str, url: str, body: Any = None
) -> tuple[int, Any]:
    async with http.request(method, url, json=body) as response:
        return response.status, await response.json()


async def put(
    http: aiohttp.ClientSession, platform: RunningPlatform, name: str, version: int
) -> tuple[int, int]:
    url = f"{platform.url}/objects/groups/{name}"
    body = {"value": {"name": name}, "expected_version": version}
    status, response = await call(http, "PUT", url, body)
    return status, response["version"]


async def test_writes_are_conditional_and_versions_are_never_reused(
    platform: RunningPlatform, http: aiohttp.ClientSession
) -> None:
    url = f"{platform.url}/objects/groups/a"
    assert (await call(http, "GET", url))[0] == 404
    status, first = await put(http, platform, "a", 0)
    assert status == 200
    assert await put(http, platform, "a", 0) == (409, first)
    assert await put(http, platform, "a", first + 1) == (409, first)
    _, stored = await call(http, "GET", url)
    assert stored == {
        "kind": "groups",
        "name": "a",
        "version": first,
        "value": {"name": "a"},
    }
    assert (await call(http, "DELETE", url, {"expected_version": first + 1}))[0] == 409
    assert (await call(http, "DELETE", url, {"expected_version": first}))[0] == 200
    assert (await call(http, "GET", url))[0] == 404
    status, recreated = await put(http, platform, "a", 0)
    assert status == 200
    assert recreated > first


async def test_a_watch_waits_for_a_change_of_its_kinds(
    platform: RunningPlatform, http: aiohttp.ClientSession
) -> None:
    url = f"{platform.url}/watch?kind=groups&kind=keys&timeout_ms=%d&after=%d"
    _, version = await put(http, platform, "a", 0)
    _, start = await call(http, "GET", url % (5000, 0))
    assert [item["name"] for item in start["objects"]] == ["a"]
    pending_watch = asyncio.create_task(
        call(http, "GET", url % (5000, start["revision"]))
    )
    other_url = f"{platform.url}/objects/usage/n"
    await call(http, "PUT", other_url, {"value": {}, "expected_version": 0})
    done, _ = await asyncio.wait({pending_watch}, timeout=0.05)
    assert not done
    deleted_url = f"{platform.url}/objects/groups/a"
    await call(http, "DELETE", deleted_url, {"expected_version": version})
    _, response = await pending_watch
    assert [item["value"] for item in response["objects"]] == [None]
    _, idle = await call(http, "GET", url % (20, response["revision"]))
    assert idle["objects"] == []
    counts = (await call(http, "GET", f"{platform.url}/control/counts"))[1]
    assert counts["counts"] == {"put": 2, "watch": 3, "delete": 1}
    assert counts["pending_watches"] == 0


async def test_values_are_limited_to_one_megabyte(
    platform: RunningPlatform, http: aiohttp.ClientSession
) -> None:
    url = f"{platform.url}/objects/config/a"
    body = {"value": {"text": "x" * 999_000}, "expected_version": 0}
    assert (await call(http, "PUT", url, body))[0] == 200
    body["value"] = {"text": "x" * 1_000_001}
    assert (await call(http, "PUT", url, body))[0] == 413


async def test_the_vm_list_shows_changes_after_its_lag(
    platform: RunningPlatform, http: aiohttp.ClientSession
) -> None:
    url = f"{platform.url}/vms"
    await call(http, "POST", f"{url}/v1", VM)
    assert (await call(http, "GET", url))[1] == {"vms": []}
    await asyncio.sleep(0.08)
    await call(http, "POST", f"{url}/v1", {**VM, "state": "leaving"})
    assert (await call(http, "GET", url))[1] == {"vms": [{**VM, "id": "v1"}]}
    await asyncio.sleep(0.08)
    assert (await call(http, "GET", url))[1]["vms"][0]["state"] == "leaving"
    await call(http, "POST", f"{platform.url}/control", {"remove_vm": "v1"})
    await asyncio.sleep(0.08)
    assert (await call(http, "GET", url))[1] == {"vms": []}


@pytest.mark.parametrize(
    ("switches", "applied"),
    [({"lose_answers_count": 1}, True), ({"lose_requests_count": 1}, False)],
)
async def test_a_lost_write_is_applied_as_the_switch_says(
    platform: RunningPlatform,
    http: aiohttp.ClientSession,
    switches: dict[str, int],
    applied: bool,
) -> None:
    await call(http, "POST", f"{platform.url}/control", switches)
    url = f"{platform.url}/objects/groups/a"
    with pytest.raises(aiohttp.ClientError):
        await put_once(url)
    assert (await call(http, "GET", url))[0] == (200 if applied else 404)


async def put_once(url: str) -> None:
    """Send a streamed body, which aiohttp cannot send again after a lost connection."""

    async def body() -> AsyncIterator[bytes]:
        yield b'{"value": {}, "expected_version": 0}'

    async with aiohttp.ClientSession() as session, session.put(url, data=body()):
        pass


async def test_lost_responses_are_determined_by_the_seed(
    platform: RunningPlatform, http: aiohttp.ClientSession
) -> None:
    outcomes = []
    for run in range(2):
        switches = {"lose_answers_probability": 0.5, "seed": 7}
        await call(http, "POST", f"{platform.url}/control", switches)
        lost = []
        for number in range(12):
            try:
                await put_once(f"{platform.url}/objects/run{run}/{number}")
                lost.append(False)
            except aiohttp.ClientError:
                lost.append(True)
        outcomes.append(lost)
    assert outcomes[0] == outcomes[1]
    assert len(set(outcomes[0])) == 2


@pytest.mark.parametrize("outage", ["error", "silent", "refuse"])
async def test_an_outage_affects_pending_watches_and_can_end(
    platform: RunningPlatform, http: aiohttp.ClientSession, outage: str
) -> None:
    _, version = await put(http, platform, "a", 0)
    control = f"{platform.control_url}/control"
    url = f"{platform.url}/watch?kind=groups&after={version}&timeout_ms=5000"
    pending_watch = asyncio.create_task(call(http, "GET", url))
    await asyncio.sleep(0.05)
    await call(http, "POST", control, {"outage": outage})
    if outage == "silent":
        done, _ = await asyncio.wait({pending_watch}, timeout=0.1)
        assert not done
        pending_watch.cancel()
    elif outage == "error":
        assert (await pending_watch)[0] == 503
    else:
        with pytest.raises(aiohttp.ClientError):
            await pending_watch
    await call(http, "POST", control, {"outage": ""})
    assert (await call(http, "GET", f"{platform.url}/objects/groups/a"))[0] == 200


async def test_the_platform_runs_as_a_process(http: aiohttp.ClientSession) -> None:
    process = start_standin("platform", "--vm-list-lag-ms", "0")
    try:
        url = f"http://127.0.0.1:{process.ports['port']}"
        assert await call(http, "GET", f"{url}/vms") == (200, {"vms": []})
    finally:
        process.stop()
    assert process.process.returncode == 0
