"""HTTP endpoints for the load balancer's probe and for metrics."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

READY_PATH: Final = "/-/readyz"
METRICS_PATH: Final = "/metrics"
METRICS_PORT: Final = 9464
"""Port of the metrics endpoint; must match `deploy/system.toml`."""
READY: Final = 200
NOT_READY: Final = 503


async def start_ready_endpoint(
    host: str, port: int, is_ready: Callable[[], bool]
) -> web.AppRunner:
    """Serve the load balancer's readiness probe."""

    async def handler(_request: web.Request) -> web.Response:
        return web.Response(status=READY if is_ready() else NOT_READY)

    return await _start(host, port, READY_PATH, handler)


async def start_metrics_endpoint(
    host: str, registry: CollectorRegistry
) -> web.AppRunner:
    """Serve the metrics in the Prometheus text format."""

    async def handler(_request: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )

    return await _start(host, METRICS_PORT, METRICS_PATH, handler)


async def _start(
    host: str,
    port: int,
    path: str,
    handler: Callable[[web.Request], object],
) -> web.AppRunner:
    application = web.Application()
    application.router.add_get(path, handler)  # type: ignore[arg-type]
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner
