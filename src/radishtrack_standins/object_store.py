"""The users' object store and promotion service, with settable faults."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import Callable, Collection
from typing import Any, Final

import attrs
from aiohttp import web

ShowObject = Callable[[str, dict[str, Any]], dict[str, Any]]
ERA_HEADER: Final = "Store-Era"
WRITTEN_AGAIN: Final = ("config", "servers")
"""Kinds whose writers, the operator and the members, notice that their writes are gone
and write them again."""
SHOW_KEY: Final[web.AppKey[Any]] = web.AppKey("show")


def _show_unchanged(_kind: str, stored: dict[str, Any]) -> dict[str, Any]:
    return stored


@attrs.define
class StoreFaults:
    """Faults that a test sets; none at first."""

    status: int = 0
    """Status with which all calls are refused without effect; 0 for none."""
    is_unresponsive: bool = False
    """Leaves all calls without a response."""
    delay_s: float = 0.0
    """Delay before each call takes effect."""
    lose_writes: int = 0
    """Number of upcoming writes that take effect but lose their response."""


@attrs.frozen
class StoreBackup:
    """Objects and revision of the store at some time."""

    objects: dict[tuple[str, str], dict[str, Any]]
    revision: int


@attrs.define(eq=False)
class StandinStore:
    """Object store with its promotion service; `start` opens the port."""

    objects: dict[tuple[str, str], dict[str, Any]] = attrs.field(factory=dict)
    revision: int = 0
    era: int = 1
    """Rises by one with each restore; sent in all responses."""
    page_size: int = 500
    raw_specs: dict[str, bytes] = attrs.field(factory=dict)
    """JSON texts of specs that are sent as they were written, by mark."""
    faults: StoreFaults = attrs.field(factory=StoreFaults)
    calls: list[str] = attrs.field(factory=list)
    orders: list[tuple[str, str, str, int]] = attrs.field(factory=list)
    """Promotion orders: group, member, duty holder and fencing token."""
    on_order: Callable[[str, str], int] = lambda _group, _member: 200
    """Called with group and member of an order; returns the HTTP status."""
    runners: list[web.AppRunner] = attrs.field(factory=list)
    port: int = 0

    @property
    def address(self) -> str:
        """``host:port`` of the store."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen on the loopback interface."""
        self.port = await self.open_view(_show_unchanged)

    async def open_view(self, show: ShowObject) -> int:
        """Listen on another port, whose readers get objects as `show` returns them.

        Parameters
        ----------
        show : callable
            Takes a kind and a stored object, and returns the object for readers.

        Returns
        -------
        int
            The port.
        """
        application = web.Application()
        application[SHOW_KEY] = show
        application.on_response_prepare.append(self._name_era)
        application.router.add_route("*", "/-/objects/{kind}", self._serve_kind)
        application.router.add_route(
            "*", "/-/objects/{kind}/{name}", self._serve_object
        )
        application.router.add_post("/promotion", self._serve_order)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        self.runners.append(runner)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port: int = runner.addresses[0][1]
        return port

    async def stop(self) -> None:
        """Stop listening on all ports."""
        for runner in self.runners:
            await runner.cleanup()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object unconditionally; return its revision."""
        self.revision += 1
        self.objects[kind, name] = {
            "meta": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": None,
        }
        return self.revision

    def put_raw(self, kind: str, name: str, spec: bytes) -> int:
        """Write an object whose spec is sent byte by byte as given."""
        mark = f"raw spec {len(self.raw_specs)}"
        self.raw_specs[mark] = spec
        return self.put(kind, name, mark)

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.revision += 1
        del self.objects[kind, name]

    def back_up(self) -> StoreBackup:
        """Return a copy of the objects, to which the store can be restored."""
        return StoreBackup(copy.deepcopy(self.objects), self.revision)

    def restore(
        self, backup: StoreBackup, written_again: Collection[str] = WRITTEN_AGAIN
    ) -> None:
        """Lose what was written since a backup; revisions are given out again.

        Parameters
        ----------
        backup : StoreBackup
            The state that the store comes back with.
        written_again : collection of str
            Kinds of which lost writes are made again at once, with new revisions.
        """
        lost = self.objects
        self.objects = copy.deepcopy(backup.objects)
        self.revision = backup.revision
        self.era += 1
        for key in sorted(lost.keys() | self.objects.keys()):
            if key[0] not in written_again:
                continue
            if key not in lost:
                self.remove(*key)
            elif lost[key]["spec"] != self.objects.get(key, {}).get("spec"):
                self.put(*key, lost[key]["spec"])

    async def _name_era(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers[ERA_HEADER] = str(self.era)

    async def _apply_faults(self, request: web.Request) -> web.Response | None:
        self.calls.append(f"{request.method} {request.path}")
        if self.faults.is_unresponsive:
            await asyncio.Event().wait()
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.status:
            return web.Response(status=self.faults.status)
        return None

    async def _serve_kind(self, request: web.Request) -> web.StreamResponse:
        if (fault_response := await self._apply_faults(request)) is not None:
            return fault_response
        kind = request.match_info["kind"]
        if request.method == "POST":
            body = await request.json()
            name = body["meta"]["name"]
            if (kind, name) in self.objects:
                return self._make_response(409, self.objects[kind, name])
            self.put(kind, name, body["spec"])
            return self._respond_to_write(request, self.objects[kind, name])
        after = request.query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        show = request.app[SHOW_KEY]
        page = [
            show(kind, self.objects[kind, name]) for name in names[: self.page_size]
        ]
        has_more = len(names) > self.page_size
        return self._make_response(
            200, {"items": page, "hasMore": has_more, "atRev": self.revision}
        )

    async def _serve_object(self, request: web.Request) -> web.StreamResponse:
        if (fault_response := await self._apply_faults(request)) is not None:
            return fault_response
        kind, name = request.match_info["kind"], request.match_info["name"]
        stored = self.objects.get((kind, name))
        if stored is None:
            return self._make_response(404, None)
        if request.method == "PUT":
            body = await request.json()
            if body["meta"].get("revision") not in (None, stored["meta"]["revision"]):
                return self._make_response(409, stored)
            if body["spec"] != stored["spec"]:
                self.put(kind, name, body["spec"])
            return self._respond_to_write(request, self.objects[kind, name])
        if request.method == "DELETE":
            self.remove(kind, name)
        return self._make_response(200, request.app[SHOW_KEY](kind, stored))

    def _respond_to_write(self, request: web.Request, stored: object) -> web.Response:
        if self.faults.lose_writes:
            self.faults.lose_writes -= 1
            if request.transport is not None:
                request.transport.abort()
        return self._make_response(200, stored)

    async def _serve_order(self, request: web.Request) -> web.StreamResponse:
        if (fault_response := await self._apply_faults(request)) is not None:
            return fault_response
        body = await request.json()
        self.orders.append(
            (
                body["service"],
                body["id"],
                request.headers["X-Duty-Holder"],
                int(request.headers["X-Fencing-Token"]),
            )
        )
        return self._make_response(self.on_order(body["service"], body["id"]), {})

    def _make_response(self, status: int, body: object) -> web.Response:
        data = json.dumps(body).encode()
        for mark, spec in self.raw_specs.items():
            data = data.replace(json.dumps(mark).encode(), spec)
        return web.Response(status=status, body=data, content_type="application/json")
