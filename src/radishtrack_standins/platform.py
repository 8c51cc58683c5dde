"""The platform's HTTP API in memory: `python -m radishtrack_standins.platform`."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
from typing import Final

import attrs
from aiohttp import web

from radishtrack_standins.platform_faults import (
    PlatformFaults,
    make_control,
    make_fault_middleware,
)
from radishtrack_standins.platform_store import ObjectStore, VmList

HOST: Final = "127.0.0.1"
MAX_VALUE_BYTES: Final = 1_000_000
MAX_BODY_BYTES: Final = 4_000_000
ERA_HEADER: Final = "Store-Era"


def make_platform(store: ObjectStore, vms: VmList) -> web.Application:
    """Return the HTTP application without fault injection."""
    routes = web.RouteTableDef()

    @routes.get("/objects/{kind}/{name}")
    async def get(request: web.Request) -> web.Response:
        stored = store.get(request.match_info["kind"], request.match_info["name"])
        if stored is None or stored.value is None:
            return web.json_response({"version": 0}, status=404)
        return web.json_response(stored.as_json())

    @routes.get("/objects/{kind}")
    async def list_objects(request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        objects = [item.as_json() for item in store.list_changes({kind}, 0)]
        return web.json_response({"objects": objects})

    @routes.put("/objects/{kind}/{name}")
    @routes.delete("/objects/{kind}/{name}")
    async def write(request: web.Request) -> web.Response:
        body = await request.json()
        value = body["value"] if request.method == "PUT" else None
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            return web.json_response({"error": "value exceeds 1 MB"}, status=413)
        is_written, version = store.write(
            request.match_info["kind"],
            request.match_info["name"],
            value,
            int(body["expected_version"]),
        )
        return web.json_response(
            {"version": version}, status=200 if is_written else 409
        )

    @routes.get("/watch")
    async def watch(request: web.Request) -> web.Response:
        kinds = set(request.query.getall("kind", []))
        after = int(request.query.get("after", "0"))
        timeout_ms = float(request.query.get("timeout_ms", "0"))
        revision, changed = await store.watch(kinds, after, timeout_ms)
        objects = [item.as_json() for item in changed]
        return web.json_response({"revision": revision, "objects": objects})

    @routes.get("/vms")
    async def list_vms(_: web.Request) -> web.Response:
        return web.json_response({"vms": vms.list_visible()})

    @routes.post("/vms/{id}")
    async def announce(request: web.Request) -> web.Response:
        body = await request.json()
        if body.get("state") not in ("live", "leaving"):
            raise web.HTTPBadRequest(text="state must be live or leaving")
        vms.set(request.match_info["id"], {**body, "id": request.match_info["id"]})
        return web.json_response({})

    async def name_era(_request: web.Request, response: web.StreamResponse) -> None:
        response.headers[ERA_HEADER] = str(store.era)

    application = web.Application(client_max_size=MAX_BODY_BYTES)
    application.add_routes(routes)
    application.on_response_prepare.append(name_era)
    return application


@attrs.define
class RunningPlatform:
    """A platform that serves in this process; made by `start_platform`."""

    store: ObjectStore
    vms: VmList
    faults: PlatformFaults
    port: int
    control_port: int
    runners: list[web.AppRunner]

    @property
    def url(self) -> str:
        """Base URL of the API."""
        return f"http://{HOST}:{self.port}"

    @property
    def control_url(self) -> str:
        """Base URL of the fault switches; usable while the API refuses connections."""
        return f"http://{HOST}:{self.control_port}"

    async def close(self) -> None:
        """Stop serving."""
        self.faults.release()
        for runner in self.runners:
            await runner.cleanup()


async def _start_site(runner: web.AppRunner, port: int) -> web.TCPSite:
    await runner.setup()
    site = web.TCPSite(runner, HOST, port, reuse_address=True)
    await site.start()
    return site


async def start_platform(
    *, port: int = 0, control_port: int = 0, vm_list_lag_ms: float = 0.0
) -> RunningPlatform:
    """Start a platform in the running event loop; port 0 selects a free port."""
    store, vms, faults = ObjectStore(), VmList(vm_list_lag_ms), PlatformFaults()
    application = make_platform(store, vms)
    application.middlewares.append(make_fault_middleware(faults))
    make_control(application, faults, vms)
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    site = await _start_site(runner, port)
    bound_port = int(runner.addresses[0][1])

    async def set_refusing(is_refusing: bool) -> None:
        nonlocal site
        if is_refusing:
            await site.stop()
        else:
            site = web.TCPSite(runner, HOST, bound_port, reuse_address=True)
            await site.start()

    faults.refuse = set_refusing
    control = web.Application()
    make_control(control, faults, vms)
    control_runner = web.AppRunner(control, access_log=None, shutdown_timeout=0.1)
    await _start_site(control_runner, control_port)
    return RunningPlatform(
        store=store,
        vms=vms,
        faults=faults,
        port=bound_port,
        control_port=int(control_runner.addresses[0][1]),
        runners=[runner, control_runner],
    )


async def _serve(arguments: argparse.Namespace) -> None:
    running = await start_platform(
        port=arguments.port,
        control_port=arguments.control_port,
        vm_list_lag_ms=arguments.vm_list_lag_ms,
    )
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    print(
        f"platform port={running.port} control_port={running.control_port}", flush=True
    )
    await stopped.wait()
    await running.close()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="radishtrack_standins.platform")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--vm-list-lag-ms", type=float, default=0.0)
    asyncio.run(_serve(parser.parse_args()))
