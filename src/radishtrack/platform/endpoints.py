"""HTTP endpoints for the load balancer's probe and for metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import attrs
import h11
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

READY_PATH: Final = "/-/readyz"
METRICS_PATH: Final = "/metrics"
METRICS_PORT: Final = 9464
"""Port of the metrics endpoint; must match `deploy/system.toml`."""
READY: Final = 200
NOT_READY: Final = 503
NOT_FOUND: Final = 404
BAD_REQUEST: Final = 400
IDLE_TIMEOUT_S: Final = 30.0
"""Time without a request after which a connection is closed."""
READ_BYTES: Final = 16_384


@attrs.frozen
class Reply:
    """A response: status, body and its media type."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


Respond = Callable[[], Reply]


async def start_ready_endpoint(
    host: str, port: int, is_ready: Callable[[], bool]
) -> asyncio.Server:
    """Serve the load balancer's readiness probe."""
    return await _start(
        host, port, READY_PATH, lambda: Reply(READY if is_ready() else NOT_READY)
    )


async def start_metrics_endpoint(
    host: str, registry: CollectorRegistry
) -> asyncio.Server:
    """Serve the metrics in the Prometheus text format."""
    return await _start(
        host,
        METRICS_PORT,
        METRICS_PATH,
        lambda: Reply(READY, generate_latest(registry), CONTENT_TYPE_LATEST),
    )


async def _start(host: str, port: int, path: str, respond: Respond) -> asyncio.Server:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S) as limit:
                await _serve(reader, writer, path, respond, limit)
        except (TimeoutError, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port)


async def _serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    path: str,
    respond: Respond,
    limit: asyncio.Timeout,
) -> None:
    """Answer the requests of one connection until it ends or a request is malformed."""
    protocol = h11.Connection(our_role=h11.SERVER)
    reply = Reply(NOT_FOUND)
    method = b""
    while True:
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError:
            if protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await _send(protocol, writer, Reply(BAD_REQUEST), is_head=False)
            return
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            method = event.method
            target = event.target.partition(b"?")[0].decode("ascii")
            reply = respond() if target == path else Reply(NOT_FOUND)
        elif isinstance(event, h11.EndOfMessage):
            await _send(protocol, writer, reply, is_head=method == b"HEAD")
            if protocol.our_state is not h11.DONE:
                return
            protocol.start_next_cycle()
            limit.reschedule(asyncio.get_running_loop().time() + IDLE_TIMEOUT_S)
        elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            return


async def _send(
    protocol: h11.Connection,
    writer: asyncio.StreamWriter,
    reply: Reply,
    *,
    is_head: bool,
) -> None:
    headers = [
        ("Content-Type", reply.content_type),
        ("Content-Length", str(len(reply.body))),
    ]
    data = protocol.send(h11.Response(status_code=reply.status, headers=headers)) or b""
    if reply.body and not is_head:
        data += protocol.send(h11.Data(data=reply.body)) or b""
    data += protocol.send(h11.EndOfMessage()) or b""
    writer.write(data)
    await writer.drain()
