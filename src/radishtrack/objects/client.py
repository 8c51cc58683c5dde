"""Asynchronous client of the platform's HTTP API."""

from __future__ import annotations

import asyncio
import json
import random as random_module
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from typing import Any, Final, TypeVar
from urllib.parse import quote

import aiohttp
import attrs

from radishtrack.clock import Clock
from radishtrack.objects.budget import (
    CallBudget,
    Priority,
    Random,
    backoff_ms,
    take_call,
)
from radishtrack.objects.records import (
    Conflict,
    PlatformObject,
    PlatformRefusal,
    PlatformUnavailable,
    Value,
    VmRecord,
    WatchResponse,
    WriteAnswer,
    Written,
    parse_object,
    parse_vm,
)

DEFAULT_TIMEOUT_MS: Final = 2000.0
RESOLVE_TRIES: Final = 8
READS: Final = frozenset({"GET"})

_T = TypeVar("_T")


@attrs.define(frozen=True)
class _Answer:
    status: int
    data: Any
    size: int = 0


ObserveCall = Callable[[str, int], None]
"""Takes the result of a call and the size of its answer in bytes."""


def _ignore_call(_result: str, _size: int) -> None:
    return


class PlatformClient:
    """Calls of one process; construct it with `make_platform_client`."""

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
        """Told of every call, for the metrics."""
        self.session: aiohttp.ClientSession | None = None
        self.last_contact_ms: float | None = None
        """A time by the clock at or after which the platform produced its last answer;
        None before the first one. Dates data that was read from the platform."""

    async def get(
        self, kind: str, name: str, *, priority: Priority = Priority.NORMAL
    ) -> PlatformObject | None:
        """Return an object, or None if it does not exist."""
        answer = await self._call("get", "GET", _path(kind, name), priority)
        if answer.status != 200:
            return None
        return self._parse("get", parse_object, answer.data)

    async def list_objects(
        self, kind: str, *, priority: Priority = Priority.NORMAL
    ) -> tuple[PlatformObject, ...]:
        """Return all objects of a kind."""
        path = f"/objects/{quote(kind, safe='')}"
        answer = await self._call("list", "GET", path, priority)
        return self._parse("list", _parse_objects, answer.data)

    async def put(
        self,
        kind: str,
        name: str,
        value: Value,
        expected_version: int,
        *,
        priority: Priority = Priority.NORMAL,
    ) -> WriteAnswer:
        """Write an object if it has the expected version (0: does not exist).

        Raises
        ------
        PlatformUnavailable
            If there was no answer; `effect_unknown` tells whether the write may have
            taken effect.
        PlatformRefusal
            If the platform rejects the value.
        """
        body = {"value": value, "expected_version": expected_version}
        return await self._write("put", "PUT", _path(kind, name), body, priority)

    async def delete(
        self,
        kind: str,
        name: str,
        expected_version: int,
        *,
        priority: Priority = Priority.NORMAL,
    ) -> WriteAnswer:
        """Delete an object if it has the expected version; raises like `put`."""
        body = {"expected_version": expected_version}
        return await self._write("delete", "DELETE", _path(kind, name), body, priority)

    async def put_resolving(
        self,
        kind: str,
        name: str,
        value: Value,
        expected_version: int,
        attempt: str,
        *,
        priority: Priority = Priority.NORMAL,
        tries: int = RESOLVE_TRIES,
    ) -> WriteAnswer:
        """Write like `put`; after a lost answer, read to find out what happened.

        A write that is still on its way after its answer was lost cannot surprise a
        later reader: it is repeated with the same expected version, and at most one
        of the two takes effect.

        Parameters
        ----------
        value : mapping
            The value; its field ``attempt`` must be `attempt`.
        attempt : str
            Identifies this write among all writes of the object.
        tries : int
            Failed calls after which to give up.

        Returns
        -------
        Written or Conflict
            `Conflict` also if this write took effect and was replaced since.

        Raises
        ------
        PlatformUnavailable
            If the outcome was not found within `tries` failed calls.
        ValueError
            If the value does not carry the attempt.
        """
        if value.get("attempt") != attempt:
            raise ValueError("the value does not carry the attempt")
        unknown = False
        for failures in range(1, tries + 1):
            try:
                if unknown:
                    found = await self.get(kind, name, priority=priority)
                    if found is not None and _carries(found, attempt):
                        return Written(found.version)
                    version = found.version if found is not None else 0
                    if version != expected_version:
                        return Conflict(version)
                answer = await self.put(
                    kind, name, value, expected_version, priority=priority
                )
                if isinstance(answer, Written) or not unknown:
                    return answer
                # The first write arrived late, or another one did: read once more.
            except PlatformUnavailable as error:
                unknown = unknown or error.effect_unknown
                if failures == tries:
                    raise PlatformUnavailable(
                        "put_resolving", self.url, unknown, error.reason
                    ) from error
                await asyncio.sleep(backoff_ms(failures, self.random) / 1000)
        raise PlatformUnavailable("put_resolving", self.url, True, "no result")

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
            Revision of the last answer; 0 returns all objects.
        timeout_ms : float
            Time in milliseconds that the platform waits for a change.
        """
        kind_fields = "".join(f"kind={quote(kind, safe='')}&" for kind in kinds)
        path = f"/watch?{kind_fields}after={after}&timeout_ms={timeout_ms:.0f}"
        # The platform answers at once if it is asked for all objects.
        wait_ms = timeout_ms if after > 0 else 0.0
        answer = await self._call("watch", "GET", path, priority, wait_ms=wait_ms)
        return self._parse("watch", _parse_watch, answer.data)

    async def vms(
        self, *, priority: Priority = Priority.NORMAL
    ) -> tuple[VmRecord, ...]:
        """Return the platform's lagging list of VMs."""
        answer = await self._call("vms", "GET", "/vms", priority)
        return self._parse("vms", _parse_vms, answer.data)

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
        path: str,
        body: Mapping[str, object],
        priority: Priority,
    ) -> WriteAnswer:
        answer = await self._call(step, method, path, priority, body)
        version = self._parse(step, _parse_version, answer.data, is_write=True)
        return Conflict(version) if answer.status == 409 else Written(version)

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        priority: Priority,
        body: Mapping[str, object] | None = None,
        wait_ms: float = 0.0,
    ) -> _Answer:
        while (pause_ms := take_call(self.budget, priority, self.clock.now_ms())) > 0:
            await asyncio.sleep(pause_ms / 1000)
        sent_ms = self.clock.now_ms()
        try:
            answer = await self._send(step, method, path, body, wait_ms)
        except PlatformUnavailable:
            self.observe("unavailable", 0)
            raise
        result = "conflict" if answer.status == 409 else "ok"
        self.observe(result, answer.size)
        self._note_contact(sent_ms, wait_ms, answer)
        if answer.status in (200, 404, 409):
            return answer
        raise PlatformRefusal(step, self.url, answer.status, str(answer.data))

    async def _send(
        self,
        step: str,
        method: str,
        path: str,
        body: Mapping[str, object] | None,
        wait_ms: float,
    ) -> _Answer:
        is_write = method not in READS
        timeout_s = (self.timeout_ms + wait_ms) / 1000
        try:
            async with self._open_session().request(
                method,
                self.url + path,
                data=_send_once(body) if body is not None else None,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                if response.status >= 500 or response.status == 429:
                    raise PlatformUnavailable(
                        step, self.url, is_write, f"status {response.status}"
                    )
                text = await response.text()
                return _Answer(response.status, _decode(text), len(text))
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailable(step, self.url, False, str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise PlatformUnavailable(step, self.url, is_write, reason) from error

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
            reason = f"malformed answer: {error!r}"
            raise PlatformUnavailable(step, self.url, is_write, reason) from error

    def _open_session(self) -> aiohttp.ClientSession:
        if self.session is None:
            self.session = aiohttp.ClientSession()
        return self.session

    def _note_contact(self, sent_ms: float, wait_ms: float, answer: _Answer) -> None:
        """Date the answer by the earliest time at which it can have been produced.

        A late answer must not make its data look fresh. A watch that ended without a
        change was produced after the whole wait.
        """
        produced_ms = sent_ms
        if wait_ms and answer.status == 200 and _is_unchanged(answer.data):
            produced_ms = min(sent_ms + wait_ms, self.clock.now_ms())
        if self.last_contact_ms is None or produced_ms > self.last_contact_ms:
            self.last_contact_ms = produced_ms


async def _send_once(body: Mapping[str, object]) -> AsyncIterator[bytes]:
    """Yield the body as a stream.

    aiohttp silently repeats PUT and DELETE after a lost connection, which would show
    the caller a conflict with its own write. It does not repeat a consumed stream.
    """
    yield json.dumps(body).encode()


def _decode(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


def _parse_objects(data: Any) -> tuple[PlatformObject, ...]:
    return tuple(parse_object(item) for item in data["objects"])


def _parse_watch(data: Any) -> WatchResponse:
    return WatchResponse(int(data["revision"]), _parse_objects(data))


def _parse_vms(data: Any) -> tuple[VmRecord, ...]:
    return tuple(parse_vm(item) for item in data["vms"])


def _parse_version(data: Any) -> int:
    return int(data["version"])


def _is_unchanged(data: Any) -> bool:
    return isinstance(data, dict) and data.get("objects") == []


def _carries(found: PlatformObject, attempt: str) -> bool:
    return found.value is not None and found.value.get("attempt") == attempt


def _path(kind: str, name: str) -> str:
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
        Dates answers and refills the budget.
    budget : CallBudget, optional
        Limit of calls of this process.
    random : callable
        Random source of the backoff.
    timeout_ms : float
        Limit of a call in milliseconds, in addition to the wait of a watch.
    """
    return PlatformClient(url, clock, budget or CallBudget(), random, timeout_ms)
