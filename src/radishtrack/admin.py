"""HTTP server for metrics, health and readiness."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs
from aiohttp import web
from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from radishtrack.events import Event, log_event
from radishtrack.metrics import Metrics

SHUTDOWN_TIMEOUT_S: Final = 1.0


@attrs.define(frozen=True)
class Readiness:
    """Whether a load balancer should send new connections to this node."""

    ready: bool
    reason: str = ""


ReadinessCheck = Callable[[], Readiness]


@attrs.define(frozen=True)
class AdminServer:
    """The running HTTP server and the address that it listens on."""

    runner: web.AppRunner
    host: str
    port: int

    async def close(self) -> None:
        """Close the server and its connections."""
        await self.runner.cleanup()


async def start_admin(
    host: str, port: int, metrics: Metrics, check: ReadinessCheck
) -> AdminServer:
    """Start the HTTP server.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 lets the system choose a port.
    metrics : Metrics
        The metrics returned by ``/metrics``.
    check : callable
        Called by ``/readyz``, which returns 503 with the reason if the node is not
        ready. ``/healthz`` returns 200 while the event loop runs.

    Returns
    -------
    AdminServer
        The server, with the port that it listens on.
    """
    runner = web.AppRunner(
        make_app(metrics, check), access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    bound_port = int(runner.addresses[0][1])
    log_event(Event.ADMIN_STARTED, host=host, port=bound_port)
    return AdminServer(runner, host, bound_port)


def make_app(metrics: Metrics, check: ReadinessCheck) -> web.Application:
    """Return the web application with the three endpoints."""

    async def get_metrics(request: web.Request) -> web.Response:
        content = generate_latest(metrics.registry)
        return web.Response(body=content, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def get_health(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def get_readiness(request: web.Request) -> web.Response:
        readiness = check()
        if readiness.ready:
            return web.Response(text="ready\n")
        return web.Response(status=503, text=f"not ready: {readiness.reason}\n")

    app = web.Application()
    app.router.add_get("/metrics", get_metrics)
    app.router.add_get("/healthz", get_health)
    app.router.add_get("/readyz", get_readiness)
    return app
