"""Fault switches and call counters of the platform stand-in."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, Final

import attrs
from aiohttp import web

from radishtrack_standins.platform_store import VmList

OUTAGES: Final = ("", "refuse", "error", "silent")
_STEPS_BY_METHOD: Final = {
    "GET": "get",
    "PUT": "put",
    "DELETE": "delete",
    "POST": "announce",
}

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


async def _cannot_refuse(_: bool) -> None:
    return


@attrs.define
class PlatformFaults:
    """Switches of the platform; all off at first.

    Parameters
    ----------
    outage : str
        Empty for none; ``refuse`` closes the listening socket and all connections,
        ``error`` responds with 503, ``silent`` sends no response.
    delay_ms : float
        Delay before each call takes effect.
    lose_answers_probability : float
        Probability that a write is applied but its connection closed without a
        response.
    lose_answers_count : int
        Number of upcoming writes that lose their response, whatever the probability.
    lose_requests_count : int
        Number of upcoming writes whose connection is closed before they take effect.
    """

    outage: str = ""
    delay_ms: float = 0.0
    lose_answers_probability: float = 0.0
    lose_answers_count: int = 0
    lose_requests_count: int = 0
    counts: Counter[str] = attrs.field(factory=Counter)
    """Calls by step; a watch is counted once, on arrival."""
    kinds: Counter[str] = attrs.field(factory=Counter)
    """Calls by step and kind of object, as ``step kind``."""
    pending_watches: int = 0
    random: random.Random = attrs.field(factory=lambda: random.Random(0))
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    refuse: Callable[[bool], Awaitable[None]] = _cannot_refuse

    def release(self) -> None:
        """Wake all calls that wait for a change of the switches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def should_lose_answer(self) -> bool:
        """Return whether the current write loses its response; update the count."""
        if self.lose_answers_count > 0:
            self.lose_answers_count -= 1
            return True
        probability = self.lose_answers_probability
        return probability > 0 and self.random.random() < probability

    def should_lose_request(self) -> bool:
        """Return whether the current write is lost before it runs; update the count."""
        if self.lose_requests_count > 0:
            self.lose_requests_count -= 1
            return True
        return False

    def count(self, request: web.Request) -> None:
        """Count a call by step and by kind of object."""
        step = _STEPS_BY_METHOD.get(request.method, request.method)
        if request.path in ("/watch", "/vms"):
            step = request.path[1:]
        elif request.method == "GET" and "name" not in request.match_info:
            step = "list"
        kinds = request.query.getall("kind", [request.match_info.get("kind", "")])
        self.counts[step] += 1
        for kind in kinds:
            self.kinds[f"{step} {kind}"] += 1


def _drop_connection(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


async def _handle_unless_outage(
    faults: PlatformFaults, request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Handle a call; abort it as soon as an outage begins."""
    changed = faults.changed
    handler_task = asyncio.ensure_future(handler(request))
    while True:
        change_task = asyncio.ensure_future(changed.wait())
        try:
            await asyncio.wait(
                {handler_task, change_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if handler_task.done():
                return handler_task.result()
            if faults.outage:
                handler_task.cancel()
                return await _respond_with_outage(faults, request)
            changed = faults.changed
        except asyncio.CancelledError:
            handler_task.cancel()
            raise
        finally:
            change_task.cancel()


async def _respond_with_outage(
    faults: PlatformFaults, request: web.Request
) -> web.StreamResponse:
    if faults.outage == "error":
        return web.json_response({"error": "outage"}, status=503)
    while faults.outage == "silent":
        await faults.changed.wait()
    return _drop_connection(request)


def make_fault_middleware(faults: PlatformFaults) -> Any:
    """Return the middleware that counts calls and applies the switches."""

    @web.middleware
    async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path.startswith("/control"):
            return await handler(request)
        faults.count(request)
        if faults.outage:
            return await _respond_with_outage(faults, request)
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        is_write = request.method in ("PUT", "DELETE")
        if is_write and faults.should_lose_request():
            return _drop_connection(request)
        if request.path != "/watch":
            response = await handler(request)
            if is_write and faults.should_lose_answer():
                return _drop_connection(request)
            return response
        faults.pending_watches += 1
        try:
            return await _handle_unless_outage(faults, request, handler)
        finally:
            faults.pending_watches -= 1

    return middleware


def make_control(
    application: web.Application, faults: PlatformFaults, vms: VmList
) -> None:
    """Add the routes that set the switches and return the counters.

    ``POST /control`` takes the switches of `PlatformFaults` by name, ``seed`` of the
    random generator, ``vm_list_lag_ms``, ``remove_vm`` (ID of a VM that failed) and
    ``reset_counts``. ``GET /control/counts`` returns the counters.
    """

    async def control(request: web.Request) -> web.Response:
        values = await request.json()
        if "seed" in values:
            faults.random.seed(values.pop("seed"))
        if "vm_list_lag_ms" in values:
            vms.lag_ms = float(values.pop("vm_list_lag_ms"))
        if "remove_vm" in values:
            vms.set(values.pop("remove_vm"), None)
        if values.pop("reset_counts", False):
            faults.counts.clear()
            faults.kinds.clear()
        await apply_switches(faults, values)
        return web.json_response({})

    async def counts(_: web.Request) -> web.Response:
        return web.json_response(
            {
                "counts": dict(faults.counts),
                "kinds": dict(faults.kinds),
                "pending_watches": faults.pending_watches,
                "total": sum(faults.counts.values()),
            }
        )

    application.router.add_post("/control", control)
    application.router.add_get("/control/counts", counts)


async def apply_switches(faults: PlatformFaults, values: dict[str, Any]) -> None:
    """Set switches by name.

    Raises
    ------
    aiohttp.web.HTTPBadRequest
        If a switch or an outage is unknown.
    """
    switches = {"outage", "delay_ms", "lose_answers_probability", "lose_answers_count"}
    unknown = set(values) - switches - {"lose_requests_count"}
    if unknown or values.get("outage", "") not in OUTAGES:
        raise web.HTTPBadRequest(text=f"unknown switch or outage: {values}")
    previous_outage = faults.outage
    for name, value in values.items():
        setattr(faults, name, value)
    faults.release()
    if (previous_outage == "refuse") != (faults.outage == "refuse"):
        await faults.refuse(faults.outage == "refuse")
