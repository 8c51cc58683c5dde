"""Admission of requests by this node's shares of the organisations' rates."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Coroutine
from typing import Any, Final

import attrs

from radishtrack.admission.admit import (
    AwaitTokens,
    Proceed,
    Reject,
    decide_admission,
)
from radishtrack.backend.database import DatabaseBackend
from radishtrack.clock import Clock
from radishtrack.config.document import Document
from radishtrack.errors import (
    ErrorCode,
    Failure,
    Outcome,
    RequestError,
    make_not_run,
)
from radishtrack.events import Event, log_event
from radishtrack.objects.records import (
    PlatformRefusal,
    PlatformUnavailable,
)
from radishtrack.peer.codec import CodecError
from radishtrack.peer.link import LinkClosed
from radishtrack.peer.messages import Tokens, TokensWanted
from radishtrack.peer.token_codec import (
    decode_grant,
    decode_request,
    encode_grant,
    encode_request,
)
from radishtrack.proxy.allocators import IDLE_MS, Allocators
from radishtrack.proxy.client_state import OPEN_ORGANISATION
from radishtrack.proxy.router import NOT_HELD_STEP, Router
from radishtrack.rates.messages import (
    RateLimit,
    TokenGrant,
    TokenRequest,
)
from radishtrack.rates.share import (
    FAILURE_RETRY_MS,
    REQUEST_TIMEOUT_MS,
    NeedTokens,
    ShareState,
    make_share_state,
)

TICK_INTERVAL_S: Final = 0.05
MAX_FAILED_REQUESTS: Final = 10
"""After so many token requests without response, which take about a second, a holder
without a standing share refuses at once."""

FIRST_RECORD_READ_MS: Final = 1_500.0
"""Time between reads of the lease record by a holder without a standing share, that is,
the fixed share that a node may use without the allocator."""

RECORD_READ_INTERVAL_MS: Final = 120_000.0


@attrs.define
class HeldShare:
    """An organisation's share at this node, and the requests that wait for tokens."""

    state: ShareState
    last_used_ms: float
    next_read_ms: float
    waiting: int = 0
    failed_requests: int = 0
    """Consecutive token requests to which no allocator responded."""
    updated: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set and cleared after each token request, which wakes all waiting requests."""


@attrs.define
class Rates:
    """Admits the requests that this node executes as holder.

    Parameters
    ----------
    clock : Clock
        Clock of all decisions.
    router : Router
        Connections to the allocators.
    allocators : Allocators
        The allocators on this node, and the nodes of the others.
    """

    clock: Clock
    router: Router
    allocators: Allocators
    shares: dict[str, HeldShare] = attrs.field(factory=dict)
    next_request_ids: dict[str, int] = attrs.field(factory=dict)
    """Next request ID by organisation whose share was dropped. The IDs must continue,
    since an allocator ignores those that it has already received from this process."""
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    numbers: itertools.count[int] = attrs.field(
        factory=lambda: itertools.count(-1_000_000_000, step=-1)
    )
    """Disjoint from the numbers of statements and votes on a link."""

    def update_document(self, document: Document) -> None:
        """Apply the limits of a configuration."""
        if document is self.allocators.document:
            return
        self.allocators.update_document(document)
        now_ms = self.clock.now_ms()
        for name, held in tuple(self.shares.items()):
            limit = self.allocators.find_limit(name)
            if limit is None:
                del self.shares[name]
            else:
                held.state.set_limit(limit, now_ms)

    async def admit(
        self, backend: DatabaseBackend, organisation: str, deadline_ms: float
    ) -> None:
        """Consume one token for a request; wait for one if it can come in time.

        Raises
        ------
        RequestError
            Not run, if the organisation is over its rate or the queue is full.
        """
        if organisation == OPEN_ORGANISATION:
            # Requests without a key have no rate; they are limited by the gate's queue,
            # in which they have a weight of their own.
            return
        held = self._get_share(organisation)
        is_retry = False
        while True:
            now_ms = self.clock.now_ms()
            held.last_used_ms = now_ms
            if _has_no_tokens(held):
                # The node keeps requesting tokens, but no client waits for them.
                self._request_tokens(held, now_ms)
                raise RequestError(_make_no_tokens(organisation))
            decision = decide_admission(
                held.state,
                backend.gate.queue,
                now_ms,
                deadline_ms,
                waiting=held.waiting,
                is_retry=is_retry,
            )
            match decision:
                case Proceed(request=request):
                    if request is not None:
                        self._spawn(self._send(held, request))
                    return
                case Reject(failure=failure):
                    raise RequestError(failure)
                case AwaitTokens(request=request, retry_at_ms=retry_at_ms):
                    if request is not None:
                        self._spawn(self._send(held, request))
                    await self._wait(held, retry_at_ms)
            is_retry = True

    async def handle_token_request(self, message: TokensWanted) -> Tokens:
        """Return the response of this node's allocator to a holder."""
        try:
            request = decode_request(message.payload)
        except CodecError:
            return Tokens(message.request, b"", "")
        grant, lease_node = self._grant_locally(request)
        return Tokens(message.request, encode_grant(grant), lease_node)

    async def run(self) -> None:
        """Renew leases, return unused tokens and read lease records until cancelled."""
        while True:
            now_ms = self.clock.now_ms()
            for name in self.allocators.list_not_busy():
                self._spawn(self.allocators.maintain(name))
            for name, held in tuple(self.shares.items()):
                self._tick_share(name, held, now_ms)
            await asyncio.sleep(TICK_INTERVAL_S)

    async def leave(self) -> None:
        """Return tokens and release leases before the process ends."""
        now_ms = self.clock.now_ms()
        for held in self.shares.values():
            await self._send(held, held.state.leave(now_ms))
        await self.allocators.release_all()

    async def stop(self) -> None:
        """Cancel all tasks."""
        for task in tuple(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._remove_task)

    def _remove_task(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(Event.TASK_FAILED, error=repr(task.exception()))

    def _get_share(self, organisation: str) -> HeldShare:
        held = self.shares.get(organisation)
        if held is None:
            limit = self.allocators.find_limit(organisation)
            if limit is None:
                raise make_not_run("admit", f"unknown organisation {organisation!r}")
            now_ms = self.clock.now_ms()
            held = self.shares[organisation] = HeldShare(
                self._make_state(organisation, limit),
                now_ms,
                now_ms + FIRST_RECORD_READ_MS,
            )
        return held

    def _make_state(self, organisation: str, limit: RateLimit) -> ShareState:
        state = make_share_state(
            organisation, self.allocators.identity, limit, self.clock.now_ms()
        )
        state.next_request_id = self.next_request_ids.pop(organisation, 1)
        return state

    def _request_tokens(self, held: HeldShare, now_ms: float) -> None:
        decision = held.state.try_admit(now_ms)
        if isinstance(decision, NeedTokens) and decision.request is not None:
            self._spawn(self._send(held, decision.request))

    async def _wait(self, held: HeldShare, retry_at_ms: float) -> None:
        held.waiting += 1
        try:
            async with asyncio.timeout((retry_at_ms - self.clock.now_ms()) / 1000):
                await held.updated.wait()
        except TimeoutError:
            pass
        finally:
            held.waiting -= 1

    async def _send(self, held: HeldShare, request: TokenRequest) -> None:
        grant = await self._request_grant(request)
        now_ms = self.clock.now_ms()
        if grant is None:
            held.failed_requests += 1
            held.state.on_request_failed(request.request_id, now_ms)
        else:
            held.failed_requests = 0
            held.state.on_grant(grant, now_ms)
        held.updated.set()
        held.updated.clear()

    async def _request_grant(self, request: TokenRequest) -> TokenGrant | None:
        """Try the node where the allocator is placed, then the node with the lease.

        They differ for some seconds after a node joined or left.
        """
        name = self.allocators.find_allocator_node(request.organisation)
        grant, lease_node = await self._request_grant_at(name, request)
        if grant is None and lease_node not in ("", name):
            grant, _ = await self._request_grant_at(lease_node, request)
        return grant

    def _grant_locally(self, request: TokenRequest) -> tuple[TokenGrant | None, str]:
        grant = self.allocators.grant(request)
        if grant is not None:
            return grant, ""
        return None, self.allocators.find_lease_node(request.organisation)

    async def _request_grant_at(
        self, name: str, request: TokenRequest
    ) -> tuple[TokenGrant | None, str]:
        if name == self.router.node.id:
            return self._grant_locally(request)
        number = next(self.numbers)
        message = TokensWanted(number, encode_request(request))
        try:
            link = await self.router.get_link(name)
            response = await link.call(message, number, REQUEST_TIMEOUT_MS / 1000)
            if isinstance(response, Tokens):
                return decode_grant(response.payload), response.lease_node
        except (LinkClosed, CodecError):
            pass
        return None, ""

    def _tick_share(self, name: str, held: HeldShare, now_ms: float) -> None:
        if now_ms - held.last_used_ms > IDLE_MS and not held.waiting:
            del self.shares[name]
            self._spawn(self._send(held, held.state.leave(now_ms)))
            self.next_request_ids[name] = held.state.next_request_id
            return
        request = held.state.tick(now_ms)
        if request is not None:
            self._spawn(self._send(held, request))
        if now_ms >= held.next_read_ms:
            has_share = held.state.standing.share is not None
            held.next_read_ms = now_ms + (
                RECORD_READ_INTERVAL_MS if has_share else FIRST_RECORD_READ_MS
            )
            self._spawn(self._read_record(name, held))

    async def _read_record(self, name: str, held: HeldShare) -> None:
        sent_ms = self.clock.now_ms()
        try:
            record, _ = await self.allocators.fetch(name)
        except (PlatformUnavailable, PlatformRefusal):
            return
        if record is not None:
            held.state.on_record(record, sent_ms, self.clock.now_ms())


def _has_no_tokens(held: HeldShare) -> bool:
    return (
        held.failed_requests >= MAX_FAILED_REQUESTS
        and held.state.standing.share is None
        and held.state.held_tokens() == 0
    )


def _make_no_tokens(organisation: str) -> Failure:
    # With this step the entry tries another holder, which may have a standing share.
    return Failure(
        NOT_HELD_STEP,
        "",
        Outcome.NOT_RUN,
        ErrorCode.REFUSED,
        f"no tokens of {organisation} on this node: its allocator does not respond",
        FAILURE_RETRY_MS,
    )
