"""Asynchronous client of the platform's object API and VM list."""

from __future__ import annotations

import asyncio
import json
import math
import random as random_module
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from typing import Any, Final, TypeVar
from urllib.parse import quote

import aiohttp
import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.objects.budget import (
    CallBudget,
    Priority,
    Random,
    acquire_call,
    backoff_ms,
)
from radishtrack.objects.records import (
    Conflict,
    PlatformObject,
    PlatformRefusal,
    PlatformUnavailable,
    Value,
    VmRecord,
    WatchResponse,
    WriteResult,
    Written,
    parse_object,
    parse_vm,
)
from radishtrack.revision import get_era, get_number, make_revision

DEFAULT_TIMEOUT_MS: Final = 2000.0
MAX_RESOLVE_FAILURES: Final = 8
OBJECT_STEPS: Final = frozenset({"get", "list", "put", "delete", "watch"})
RESTORED: Final = "the store was restored"
READ_METHODS: Final = frozenset({"GET"})
ERA_HEADER: Final = "Store-Era"
"""Header of all responses; rises by one each time the store comes back from a backup. A
platform without it loses nothing."""
NO_ERA: Final = 0
"""Era of a platform that does not send the header."""
RESTORE_SETTLE_MS: Final = 2000.0
"""Time after a restore in which the operators write again what the store has lost.
Objects are neither read nor written then, as if the platform were still down."""

_T = TypeVar("_T")


@attrs.define(frozen=True)
class _Response:
    status: int
    data: Any
    size: int = 0
    era: int | None = None
    """Era that the response names, if any."""


ObserveCall = Callable[[str, int], None]
"""Called with the result of a call and the length of its response in bytes."""


def _ignore_call(_result: str, _size: int) -> None:
    return


class PlatformClient:
    """Client of one process; construct it with `make_platform_client`."""

    def __init__(
        self,
        url: str,
        clock: Clock,
        budget: CallBudget,
        random: Random,
        timeout_ms: float,
    ) -> None:
        self.url = url.rstrip("/")
        self.clock = clock
        self.budget = budget
        self.random = random
        self.timeout_ms = timeout_ms
        self.observe: ObserveCall = _ignore_call
        """Called after each call, for metrics."""
        self.session: aiohttp.ClientSession | None = None
        self.last_contact_ms: float | None = None
        """Lower bound of the time at which the platform produced its last response;
        None before the first one. Shows how old data from the platform can be."""
        self.era = NO_ERA
        """Latest era that a response has named."""
        self.settled_ms = -math.inf
        """Time from which a restored store is used again."""

    async def get(
        self, kind: str, name: str, *, priority: Priority = Priority.NORMAL
    ) -> PlatformObject | None:
        """Return an object, or None if it does not exist."""
        response = await self._call("get", "GET", _object_path(kind, name), priority)
        if response.status != 200:
            return None
        return self._parse("get", self._parse_object, response.data)

    async def list_objects(
        self, kind: str, *, priority: Priority = Priority.NORMAL
    ) -> tuple[PlatformObject, ...]:
        """Return all objects of a kind."""
        path = f"/objects/{quote(kind, safe='')}"
        response = await self._call("list", "GET", path, priority)
        return self._parse("list", self._parse_objects, response.data)

    async def put(
        self,
        kind: str,
        name: str,
        value: Value,
        expected_version: int,
        *,
        priority: Priority = Priority.NORMAL,
    ) -> WriteResult:
        """Write an object if it has the expected version (0: does not exist).

        Raises
        ------
        PlatformUnavailable
            If there was no usable response; `is_effect_unknown` tells whether the write
            may have taken effect.
        PlatformRefusal
            If the platform rejects the value.
        """
        body = {"value": value}
        return await self._write(
            "put", "PUT", kind, name, body, expected_version, priority
        )

    async def delete(
        self,
        kind: str,
        name: str,
        expected_version: int,
        *,
        priority: Priority = Priority.NORMAL,
    ) -> WriteResult:
        """Delete an object if it has the expected version; raises like `put`."""
        return await self._write(
            "delete", "DELETE", kind, name, {}, expected_version, priority
        )

    async def put_resolving(
        self,
        kind: str,
        name: str,
        value: Value,
        expected_version: int,
        attempt: str,
        *,
        priority: Priority = Priority.NORMAL,
        max_failures: int = MAX_RESOLVE_FAILURES,
    ) -> WriteResult:
        """Write like `put`; after a lost response, read to resolve the outcome.

        A write whose response was lost may still arrive later. It is therefore repeated
        with the same expected version, so that at most one of the two takes effect.

        Parameters
        ----------
        value : mapping
            The value; its field ``attempt`` must be `attempt`.
        attempt : str
            Identifies this write among all writes of the object.
        max_failures : int
            Number of failed calls after which to raise.

        Returns
        -------
        Written or Conflict
            `Conflict` also if this write took effect and has been replaced since.

        Raises
        ------
        PlatformUnavailable
            If the outcome was not resolved within `max_failures` failed calls.
        ValueError
            If the value's field ``attempt`` is not `attempt`.
        """
        if value.get("attempt") != attempt:
            raise ValueError("the value's field 'attempt' is not this attempt")
        is_effect_unknown = False
        for failures in range(1, max_failures + 1):
            try:
                if is_effect_unknown:
                    stored = await self.get(kind, name, priority=priority)
                    if stored is not None and _has_attempt(stored, attempt):
                        return Written(stored.version)
                    version = stored.version if stored is not None else 0
                    if version != expected_version:
                        return Conflict(version)
                result = await self.put(
                    kind, name, value, expected_version, priority=priority
                )
                if isinstance(result, Written) or not is_effect_unknown:
                    return result
                # A conflict with the late first write or with another one; the next
                # read shows which.
            except PlatformUnavailable as error:
                is_effect_unknown = is_effect_unknown or error.is_effect_unknown
                if failures == max_failures:
                    raise PlatformUnavailable(
                        "put_resolving", self.url, is_effect_unknown, error.reason
                    ) from error
                await asyncio.sleep(backoff_ms(failures, self.random) / 1000)
        raise PlatformUnavailable(
            "put_resolving", self.url, True, "conflict not resolved"
        )

    async def watch(
        self,
        kinds: Iterable[str],
        after: int,
        timeout_ms: float,
        *,
        priority: Priority = Priority.NORMAL,
    ) -> WatchResponse:
        """Return the changes of some kinds after a revision.

        Parameters
        ----------
        kinds : iterable of str
            The kinds to watch.
        after : int
            Revision of the last response; 0, and one of an earlier era, return all
            objects.
        timeout_ms : float
            Time in milliseconds that the platform waits for a change.
        """
        after = get_number(after) if get_era(after) == self.era else 0
        kind_fields = "".join(f"kind={quote(kind, safe='')}&" for kind in kinds)
        path = f"/watch?{kind_fields}after={after}&timeout_ms={timeout_ms:.0f}"
        # The platform responds to a request for all objects without waiting.
        wait_ms = timeout_ms if after > 0 else 0.0
        response = await self._call("watch", "GET", path, priority, wait_ms=wait_ms)
        return self._parse("watch", self._parse_watch, response.data)

    async def vms(
        self, *, priority: Priority = Priority.NORMAL
    ) -> tuple[VmRecord, ...]:
        """Return the platform's list of VMs, which lags behind."""
        response = await self._call("vms", "GET", "/vms", priority)
        return self._parse("vms", _parse_vms, response.data)

    async def announce(
        self, vm: VmRecord, *, priority: Priority = Priority.NORMAL
    ) -> None:
        """Tell the platform that a VM is live or leaving."""
        body = {**attrs.asdict(vm), "state": vm.state.value}
        path = f"/vms/{quote(vm.id, safe='')}"
        await self._call("announce", "POST", path, priority, body)

    async def close(self) -> None:
        """Close all connections."""
        if self.session is not None:
            await self.session.close()
            self.session = None

    async def _write(
        self,
        step: str,
        method: str,
        kind: str,
        name: str,
        body: Mapping[str, object],
        expected_version: int,
        priority: Priority,
    ) -> WriteResult:
        if expected_version and get_era(expected_version) != self.era:
            # A restored store may have given the same version to another write.
            stored = await self.get(kind, name, priority=priority)
            return Conflict(0 if stored is None else stored.version)
        body = {**body, "expected_version": get_number(expected_version)}
        path = _object_path(kind, name)
        response = await self._call(step, method, path, priority, body)
        version = self._parse(step, self._parse_version, response.data, is_write=True)
        return Conflict(version) if response.status == 409 else Written(version)

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        priority: Priority,
        body: Mapping[str, object] | None = None,
        wait_ms: float = 0.0,
    ) -> _Response:
        while (
            pause_ms := acquire_call(self.budget, priority, self.clock.now_ms())
        ) > 0:
            await asyncio.sleep(pause_ms / 1000)
        sent_ms = self.clock.now_ms()
        if step in OBJECT_STEPS and sent_ms < self.settled_ms:
            raise PlatformUnavailable(step, self.url, False, RESTORED)
        try:
            response = await self._send(step, method, path, body, wait_ms)
            self._check_era(step, response, is_write=method not in READ_METHODS)
        except PlatformUnavailable:
            self.observe("unavailable", 0)
            raise
        result = "conflict" if response.status == 409 else "ok"
        self.observe(result, response.size)
        self._record_contact(sent_ms, wait_ms, response)
        if response.status in (200, 404, 409):
            return response
        raise PlatformRefusal(step, self.url, response.status, str(response.data))

    async def _send(
        self,
        step: str,
        method: str,
        path: str,
        body: Mapping[str, object] | None,
        wait_ms: float,
    ) -> _Response:
        is_write = method not in READ_METHODS
        timeout_s = (self.timeout_ms + wait_ms) / 1000
        # A list grows with the deployment, so what bounds a read is its progress.
        timeout = (
            aiohttp.ClientTimeout(total=timeout_s)
            if is_write
            else aiohttp.ClientTimeout(connect=timeout_s, sock_read=timeout_s)
        )
        try:
            async with self._open_session().request(
                method,
                self.url + path,
                data=_stream_body(body) if body is not None else None,
                timeout=timeout,
            ) as response:
                if response.status >= 500 or response.status == 429:
                    raise PlatformUnavailable(
                        step, self.url, is_write, f"status {response.status}"
                    )
                body_bytes = await response.read()
                era = response.headers.get(ERA_HEADER)
                return _Response(
                    response.status,
                    _decode(body_bytes.decode()),
                    len(body_bytes),
                    None if era is None else int(era),
                )
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailable(step, self.url, False, str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise PlatformUnavailable(step, self.url, is_write, reason) from error

    def _check_era(self, step: str, response: _Response, *, is_write: bool) -> None:
        """Record the era of a response.

        Raises
        ------
        PlatformUnavailable
            If the store was restored since the last response, or before it: what either
            of the two reports may be lost.
        """
        era = self.era if response.era is None else response.era
        if era == self.era or self.era == NO_ERA:
            self.era = era
            return
        if era > self.era:
            log_event(Event.STORE_RESTORED, era=era, earlier_era=self.era)
            self.era = era
            self.begin_settling()
        raise PlatformUnavailable(step, self.url, is_write, RESTORED)

    def _parse_object(self, data: Any) -> PlatformObject:
        item = parse_object(data)
        return attrs.evolve(item, version=self._make_version(item.version))

    def _parse_objects(self, data: Any) -> tuple[PlatformObject, ...]:
        return tuple(self._parse_object(item) for item in data["objects"])

    def _parse_watch(self, data: Any) -> WatchResponse:
        revision = self._make_version(int(data["revision"]))
        return WatchResponse(revision, self._parse_objects(data))

    def _parse_version(self, data: Any) -> int:
        return self._make_version(int(data["version"]))

    def begin_settling(self) -> None:
        """Treat the platform as down until lost writes can have been made again."""
        self.settled_ms = self.clock.now_ms() + RESTORE_SETTLE_MS

    def missing_version(self) -> int:
        """Return the version of an object that does not exist in the present era.

        It is later than all versions of earlier eras, and writes expect it like 0.
        """
        return make_revision(self.era, 0)

    def _make_version(self, number: int) -> int:
        return make_revision(self.era, number) if number else 0

    def _parse(
        self,
        step: str,
        parse: Callable[[Any], _T],
        data: Any,
        *,
        is_write: bool = False,
    ) -> _T:
        try:
            return parse(data)
        except (KeyError, TypeError, ValueError) as error:
            reason = f"malformed response: {error!r}"
            raise PlatformUnavailable(step, self.url, is_write, reason) from error

    def _open_session(self) -> aiohttp.ClientSession:
        if self.session is None:
            self.session = aiohttp.ClientSession()
        return self.session

    def _record_contact(
        self, sent_ms: float, wait_ms: float, response: _Response
    ) -> None:
        """Record the earliest time at which the platform can have produced a response.

        A delayed response must not make its data look fresh. The response of a watch
        without changes was produced after the whole wait.
        """
        produced_ms = sent_ms
        if wait_ms and response.status == 200 and _is_unchanged(response.data):
            produced_ms = min(sent_ms + wait_ms, self.clock.now_ms())
        if self.last_contact_ms is None or produced_ms > self.last_contact_ms:
            self.last_contact_ms = produced_ms


async def _stream_body(body: Mapping[str, object]) -> AsyncIterator[bytes]:
    """Yield the body as a stream.

    aiohttp silently retries PUT and DELETE after a lost connection, and the caller
    would get a conflict with its own write. It does not retry a consumed stream.
    """
    yield json.dumps(body).encode()


def _decode(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


def _parse_vms(data: Any) -> tuple[VmRecord, ...]:
    return tuple(parse_vm(item) for item in data["vms"])


def _is_unchanged(data: Any) -> bool:
    return isinstance(data, dict) and data.get("objects") == []


def _has_attempt(stored: PlatformObject, attempt: str) -> bool:
    return stored.value is not None and stored.value.get("attempt") == attempt


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def make_platform_client(
    url: str,
    clock: Clock,
    *,
    budget: CallBudget | None = None,
    random: Random = random_module.random,
    timeout_ms: float = DEFAULT_TIMEOUT_MS,
) -> PlatformClient:
    """Return a client of the platform at `url`.

    Parameters
    ----------
    url : str
        Base URL.
    clock : Clock
        Clock of the budget and of `last_contact_ms`.
    budget : CallBudget, optional
        Limits the calls of this process.
    random : callable
        Random source of the backoff.
    timeout_ms : float
        Timeout of a call in milliseconds, in addition to the wait of a watch.
    """
    return PlatformClient(url, clock, budget or CallBudget(), random, timeout_ms)
