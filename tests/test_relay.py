"""Tests that the relay injects partitions without closing or corrupting streams."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest

from radishtrack_standins.launch import start_standin
from radishtrack_standins.relay import Relay, start_relay

HOST = "127.0.0.1"
Link = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@pytest.fixture
async def target() -> AsyncIterator[int]:
    """Port of a server that echoes lines."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            writer.write(line)
        writer.close()

    server = await asyncio.start_server(echo, HOST, 0)
    yield server.sockets[0].getsockname()[1]
    server.close()


@pytest.fixture
async def relay(target: int) -> AsyncIterator[Relay]:
    running = await start_relay(HOST, target)
    yield running
    await running.close()


async def receives_nothing(reader: asyncio.StreamReader) -> bool:
    try:
        await asyncio.wait_for(reader.read(1), 0.1)
    except TimeoutError:
        return True
    return False


@pytest.mark.parametrize(
    "cut",
    [
        {"cut_to_target": True},
        {"cut_from_target": True},
        {"cut_to_target": True, "cut_from_target": True},
    ],
)
async def test_a_cut_holds_data_back_until_it_heals(
    relay: Relay, cut: dict[str, bool]
) -> None:
    reader, writer = await asyncio.open_connection(HOST, relay.port)
    writer.write(b"one\n")
    assert await reader.readline() == b"one\n"
    await relay.set(**cut)
    writer.write(b"two\n")
    assert await receives_nothing(reader)
    assert not reader.at_eof()
    await relay.heal()
    assert await reader.readline() == b"two\n"
    writer.close()


async def test_a_connection_opened_during_a_cut_waits_until_it_heals(
    relay: Relay,
) -> None:
    await relay.cut()
    reader, writer = await asyncio.open_connection(HOST, relay.port)
    writer.write(b"one\n")
    assert await receives_nothing(reader)
    await relay.heal()
    assert await reader.readline() == b"one\n"
    writer.close()


async def test_refusal_resets_connections_and_heals_on_the_same_port(
    relay: Relay,
) -> None:
    reader, writer = await asyncio.open_connection(HOST, relay.port)
    writer.write(b"one\n")
    await reader.readline()
    await relay.set(refuse=True)
    with pytest.raises(ConnectionError):
        await asyncio.wait_for(reader.read(1), 2)
        await asyncio.open_connection(HOST, relay.port)
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(HOST, relay.port)
    writer.close()
    await relay.heal()
    reader, writer = await asyncio.open_connection(HOST, relay.port)
    writer.write(b"two\n")
    assert await reader.readline() == b"two\n"
    writer.close()


async def test_a_delay_keeps_the_order_and_does_not_accumulate(relay: Relay) -> None:
    await relay.set(delay_ms=40)
    reader, writer = await asyncio.open_connection(HOST, relay.port)
    loop = asyncio.get_running_loop()
    started = loop.time()
    for number in range(20):
        writer.write(b"%d\n" % number)
        await asyncio.sleep(0.002)
    lines = [int(await reader.readline()) for _ in range(20)]
    assert lines == list(range(20))
    assert loop.time() - started >= 0.08
    writer.close()


async def test_the_end_of_a_stream_is_forwarded(relay: Relay) -> None:
    reader, writer = await asyncio.open_connection(HOST, relay.port)
    writer.write(b"one\n")
    writer.write_eof()
    assert await asyncio.wait_for(reader.read(), 2) == b"one\n"
    writer.close()


async def test_the_relay_runs_as_a_process(target: int) -> None:
    process = start_standin("relay", "--target", f"{HOST}:{target}")
    try:
        url = f"http://{HOST}:{process.ports['control_port']}/control"
        reader, writer = await asyncio.open_connection(HOST, process.ports["port"])
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json={"cut_to_target": True}) as response:
                assert response.status == 200
            writer.write(b"one\n")
            assert await receives_nothing(reader)
            async with session.post(url, json={"cut_to_target": False}) as response:
                assert response.status == 200
            assert await reader.readline() == b"one\n"
            async with session.post(url, json={"unknown": 1}) as response:
                assert response.status == 400
        writer.close()
    finally:
        process.stop()
