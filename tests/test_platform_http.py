"""Tests the HTTP client and endpoints of a platform node.

A call without a response may have taken effect, and its connection must not be used
again: the next call would read the late response as its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from prometheus_client import CollectorRegistry, Counter

from radishtrack.platform import endpoints
from radishtrack.platform.http_client import HttpClient, HttpError

TIMEOUT_MS = 200.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def serve(script: Script) -> AsyncIterator[HttpClient]:
    """Run a server whose connections follow `script`, and return a client of it."""

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await script(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = HttpClient(f"127.0.0.1:{port}")
    try:
        yield client
    finally:
        await client.close()
        server.close()


async def test_connection_is_used_again_after_a_complete_response() -> None:
    connections = 0

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal connections
        connections += 1
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(ANSWER)

    async with serve(script) as client:
        for _ in range(3):
            response = await client.request("GET", "/a", timeout_ms=TIMEOUT_MS)
            assert (response.status, response.body) == (200, b"{}")
        assert connections == 1


async def test_late_response_does_not_reach_the_next_call() -> None:
    calls = 0

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal calls
        while await reader.readuntil(b"\r\n\r\n"):
            calls += 1
            if calls == 1:
                await asyncio.sleep(0.3)
            body = str(calls).encode()
            writer.write(ANSWER.replace(b"{}", b"%02d" % int(body)))

    async with serve(script) as client:
        with pytest.raises(HttpError) as error:
            await client.request("GET", "/a", timeout_ms=100.0)
        assert error.value.is_sent
        response = await client.request("GET", "/b", timeout_ms=TIMEOUT_MS)
        assert response.body == b"02"


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"\x00\xff\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    ],
)
async def test_incomplete_or_malformed_response_is_an_error_after_sending(
    answer: bytes,
) -> None:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)

    async with serve(script) as client:
        with pytest.raises(HttpError) as error:
            await client.request("POST", "/a", timeout_ms=TIMEOUT_MS, body=b"{}")
        assert error.value.is_sent
        assert client.idle == []


async def test_refused_connection_shows_that_nothing_was_sent() -> None:
    server = await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    with pytest.raises(HttpError) as error:
        await HttpClient(f"127.0.0.1:{port}").request("POST", "/", timeout_ms=500.0)
    assert not error.value.is_sent


async def test_connection_that_the_server_closed_is_not_used_again() -> None:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)

    async with serve(script) as client:
        for _ in range(3):
            await client.request("GET", "/a", timeout_ms=TIMEOUT_MS)
            await asyncio.sleep(0.02)


async def fetch(port: int, request: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    writer.write_eof()
    async with asyncio.timeout(2):
        response = await reader.read()
    writer.close()
    return response


async def test_probe_tells_whether_the_node_is_ready() -> None:
    states = [False, True, False]
    server = await endpoints.start_ready_endpoint("127.0.0.1", 0, states.pop)
    port = server.sockets[0].getsockname()[1]
    client = HttpClient(f"127.0.0.1:{port}")
    for status in (503, 200, 503):
        response = await client.request("GET", "/-/readyz", timeout_ms=TIMEOUT_MS)
        assert response.status == status
    other = await client.request("GET", "/other", timeout_ms=TIMEOUT_MS)
    assert other.status == 404
    await client.close()
    server.close()


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"",
        b"\x00\x01\x02\r\n\r\n",
        b"GET\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + b"x" * 99_999,
    ],
)
async def test_malformed_probe_ends_only_its_own_connection(
    request_bytes: bytes,
) -> None:
    server = await endpoints.start_ready_endpoint("127.0.0.1", 0, lambda: True)
    port = server.sockets[0].getsockname()[1]
    response = await fetch(port, request_bytes)
    assert response == b"" or response.startswith(b"HTTP/1.1 400 ")
    good = await fetch(port, b"GET /-/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
    assert good.startswith(b"HTTP/1.1 200 ")
    server.close()


async def test_metrics_are_served_as_text(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoints, "METRICS_PORT", 0)
    registry = CollectorRegistry()
    Counter("radishtrack_example", "An example", registry=registry).inc()
    server = await endpoints.start_metrics_endpoint("127.0.0.1", registry)
    port = server.sockets[0].getsockname()[1]
    response = await fetch(port, b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
    assert b"radishtrack_example_total 1.0" in response
    head = await fetch(port, b"HEAD /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ") and b"radishtrack" not in head
    server.close()
