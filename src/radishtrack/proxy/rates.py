"""Runs the rate limits of a node: its shares, and the allocators placed here."""

from __future__ import annotations

import asyncio
import itertools
import math
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
from radishtrack.membership.placement import Placement
from radishtrack.peer.codec import CodecError
from radishtrack.peer.link import LinkClosed
from radishtrack.peer.messages import Tokens, TokensWanted
from radishtrack.peer.token_codec import (
    decode_grant,
    decode_request,
    encode_grant,
    encode_request,
)
from radishtrack.platform.client import PlatformClient
from radishtrack.platform.records import (
    PlatformRefusal,
    PlatformUnavailable,
    Written,
)
from radishtrack.proxy.client_state import OPEN_ORGANISATION
from radishtrack.proxy.router import NOT_HELD_STEP, Router
from radishtrack.rates.allocator import Allocator, make_allocator
from radishtrack.rates.lease import LeaseWrite
from radishtrack.rates.messages import (
    LeaseRecord,
    RateLimit,
    TokenGrant,
    TokenRequest,
    make_rate_limit,
)
from radishtrack.rates.record import LeaseRecordError, decode_lease, encode_lease
from radishtrack.rates.share import (
    FAILURE_RETRY_MS,
    REQUEST_TIMEOUT_MS,
    NeedTokens,
    ShareState,
    make_share_state,
)

ALLOCATORS_KIND: Final = "allocators"
STEP_S: Final = 0.05
MAX_FAILED_ASKS: Final = 10
"""After this many a holder without a standing share refuses at once, for about a
second's worth of unanswered requests."""

IDLE_MS: Final = 60_000.0
"""A share or allocator that was not used for this long is given up."""

LEASE_READ_MS: Final = 250.0
"""Time between reads of a lease that another allocator holds."""

PLAN_INTERVAL_MS: Final = 1_000.0
"""Time between two writes of a lease record that only plan standing shares."""

FIRST_RECORD_READ_MS: Final = 1_500.0
"""Time between reads of the lease record by a holder without a standing share."""

RECORD_READ_INTERVAL_MS: Final = 120_000.0


@attrs.define
class HeldShare:
    """An organisation's share at this node, and those who wait for tokens."""

    state: ShareState
    used_ms: float
    next_read_ms: float
    waiting: int = 0
    failed_asks: int = 0
    """Token requests in a row that no allocator answered."""
    granted: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.define
class PlacedAllocator:
    """An allocator of this node and its reads and writes of the lease."""

    state: Allocator
    used_ms: float
    is_busy: bool = False
    read_ms: float = -math.inf


@attrs.define
class Rates:
    """Admission of this node.

    Parameters
    ----------
    identity : str
        Name of this process, unique for each start.
    clock : Clock
        Time of all decisions.
    router : Router
        Connections to the allocators.
    placement : Placement
        Which node is an organisation's allocator.
    platform : PlatformClient
        Holds the lease records.
    """

    identity: str
    clock: Clock
    router: Router
    placement: Placement
    platform: PlatformClient
    document: Document | None = None
    shares: dict[str, HeldShare] = attrs.field(factory=dict)
    allocators: dict[str, PlacedAllocator] = attrs.field(factory=dict)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    numbers: itertools.count[int] = attrs.field(
        factory=lambda: itertools.count(-1_000_000_000, step=-1)
    )
    """Distinct from the numbers of statements and votes on a link."""

    def update_document(self, document: Document) -> None:
        """Apply the limits of a configuration."""
        if document is self.document:
            return
        self.document = document
        now_ms = self.clock.now_ms()
        for name in self.shares.keys() | self.allocators.keys():
            limit = self._find_limit(name)
            if limit is None:
                self.shares.pop(name, None)
                self.allocators.pop(name, None)
                continue
            if name in self.shares:
                self.shares[name].state.set_limit(limit, now_ms)
            if name in self.allocators:
                self.allocators[name].state.set_limit(limit, now_ms)

    async def admit(
        self, backend: DatabaseBackend, organisation: str, deadline_ms: float
    ) -> None:
        """Take one token for a request, waiting for it if that can be in time.

        Raises
        ------
        RequestError
            Not run, if the organisation is over its rate or the queue is full.
        """
        if organisation == OPEN_ORGANISATION:
            # Requests without a key have no rate; the gate's queue bounds them, with a
            # weight of their own.
            return
        held = self._get_share(organisation)
        is_retry = False
        while True:
            now_ms = self.clock.now_ms()
            held.used_ms = now_ms
            if _has_no_allowance(held):
                # Asking goes on, but requests don't wait for it.
                self._ask_again(held, now_ms)
                raise RequestError(_make_no_allowance(organisation))
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

    async def answer(self, message: TokensWanted) -> Tokens:
        """Answer a holder's request as allocator."""
        try:
            request = decode_request(message.payload)
        except CodecError:
            return Tokens(message.request, b"", "")
        grant = self._grant(request)
        lease_node = "" if grant else self._find_lease_node(request.organisation)
        return Tokens(message.request, encode_grant(grant), lease_node)

    async def run(self) -> None:
        """Renew leases, return unused tokens and read lease records, forever."""
        while True:
            now_ms = self.clock.now_ms()
            for name, placed in tuple(self.allocators.items()):
                if not placed.is_busy:
                    placed.is_busy = True
                    self._spawn(self._maintain(name, placed))
            for name, held in tuple(self.shares.items()):
                self._tick_share(name, held, now_ms)
            await asyncio.sleep(STEP_S)

    async def leave(self) -> None:
        """Give back tokens and leases before the process ends."""
        now_ms = self.clock.now_ms()
        for held in self.shares.values():
            await self._send(held, held.state.leave(now_ms))
        for name, placed in self.allocators.items():
            write = placed.state.prepare_release(self.clock.now_ms())
            if write is not None:
                await self._write(name, placed.state, write)

    async def stop(self) -> None:
        """Cancel what is under way."""
        for task in tuple(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._forget_task)

    def _forget_task(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(Event.TASK_FAILED, error=repr(task.exception()))

    def _find_limit(self, organisation: str) -> RateLimit | None:
        if self.document is None:
            return None
        found = self.document.organisations.get(organisation)
        return None if found is None else make_rate_limit(found.rate, found.burst)

    def _get_share(self, organisation: str) -> HeldShare:
        held = self.shares.get(organisation)
        if held is None:
            limit = self._find_limit(organisation)
            if limit is None:
                raise make_not_run("admit", f"unknown organisation {organisation!r}")
            now_ms = self.clock.now_ms()
            held = self.shares[organisation] = HeldShare(
                make_share_state(organisation, self.identity, limit, now_ms),
                now_ms,
                now_ms + FIRST_RECORD_READ_MS,
            )
        return held

    def _ask_again(self, held: HeldShare, now_ms: float) -> None:
        decision = held.state.try_admit(now_ms)
        if isinstance(decision, NeedTokens) and decision.request is not None:
            self._spawn(self._send(held, decision.request))

    async def _wait(self, held: HeldShare, retry_at_ms: float) -> None:
        held.waiting += 1
        try:
            async with asyncio.timeout((retry_at_ms - self.clock.now_ms()) / 1000):
                await held.granted.wait()
        except TimeoutError:
            pass
        finally:
            held.waiting -= 1

    def _find_allocator(self, organisation: str) -> str:
        if self.document is None:
            return ""
        owner = self.document.organisations[organisation].owner
        regions = sorted(
            database.region
            for database in self.document.databases.values()
            if database.owner == owner
        )
        region = regions[0] if regions else self.router.node.region
        places = self.placement.place_slots(f"allocator/{organisation}", region, 1)
        return places[0] if places else ""

    async def _send(self, held: HeldShare, request: TokenRequest) -> None:
        grant = await self._ask(request)
        now_ms = self.clock.now_ms()
        if grant is None:
            held.failed_asks += 1
            held.state.on_request_failed(request.request_id, now_ms)
        else:
            held.failed_asks = 0
            held.state.on_grant(grant, now_ms)
        held.granted.set()
        held.granted.clear()

    async def _ask(self, request: TokenRequest) -> TokenGrant | None:
        """Ask the node where the allocator is placed, then the lease's present holder.

        They differ for some seconds after a node joined or left.
        """
        name = self._find_allocator(request.organisation)
        grant, lease_node = await self._ask_at(name, request)
        if grant is None and lease_node not in ("", name):
            grant, _ = await self._ask_at(lease_node, request)
        return grant

    async def _ask_at(
        self, name: str, request: TokenRequest
    ) -> tuple[TokenGrant | None, str]:
        if name == self.router.node.id:
            grant = self._grant(request)
            return grant, "" if grant else self._find_lease_node(request.organisation)
        number = next(self.numbers)
        message = TokensWanted(number, encode_request(request))
        try:
            link = await self.router.get_link(name)
            answer = await link.call(message, number, REQUEST_TIMEOUT_MS / 1000)
            if isinstance(answer, Tokens):
                return decode_grant(answer.payload), answer.lease_node
        except (LinkClosed, CodecError):
            pass
        return None, ""

    def _find_lease_node(self, organisation: str) -> str:
        placed = self.allocators.get(organisation)
        record = placed.state.lease.record if placed else None
        if record is None or record.released is not None:
            return ""
        # The record names a process: the node and its incarnation.
        return record.holder_node.rpartition(".")[0]

    def _grant(self, request: TokenRequest) -> TokenGrant | None:
        limit = self._find_limit(request.organisation)
        if limit is None:
            return None
        now_ms = self.clock.now_ms()
        placed = self.allocators.get(request.organisation)
        if placed is None:
            if self._find_allocator(request.organisation) != self.router.node.id:
                return None
            placed = self.allocators[request.organisation] = PlacedAllocator(
                make_allocator(request.organisation, self.identity, limit), now_ms
            )
        placed.used_ms = now_ms
        answer = placed.state.on_request(request, now_ms)
        return answer if isinstance(answer, TokenGrant) else None

    async def _maintain(self, name: str, placed: PlacedAllocator) -> None:
        try:
            await self._maintain_lease(name, placed)
        except (PlatformUnavailable, PlatformRefusal):
            # The lease goes on until its end; the next step tries again.
            return
        finally:
            placed.is_busy = False

    async def _maintain_lease(self, name: str, placed: PlacedAllocator) -> None:
        state, now_ms = placed.state, self.clock.now_ms()
        is_placed = self._find_allocator(name) == self.router.node.id
        if not is_placed or now_ms - placed.used_ms > IDLE_MS:
            write = state.prepare_release(now_ms)
            if write is None:
                self.allocators.pop(name, None)
            else:
                await self._write(name, state, write)
            return
        if not state.lease.is_mine and now_ms - placed.read_ms >= LEASE_READ_MS:
            # Another allocator gives the lease up when it learns that the organisation
            # is placed here.
            placed.read_ms = now_ms
            await self._read(name, state)
            now_ms = self.clock.now_ms()
        if state.should_acquire(now_ms):
            # Another node may have changed the record since it was read.
            await self._read(name, state)
            now_ms = self.clock.now_ms()
        is_due = state.should_acquire(now_ms) or state.should_renew(now_ms)
        if is_due or _needs_plan(state, now_ms):
            await self._write(name, state, state.prepare_write(now_ms))

    async def _read(self, name: str, state: Allocator) -> None:
        record, version = await self._fetch(name)
        state.observe(record, version, self.clock.now_ms())

    async def _write(self, name: str, state: Allocator, write: LeaseWrite) -> None:
        try:
            answer = await self.platform.put(
                ALLOCATORS_KIND,
                name,
                encode_lease(write.record),
                write.expected_version,
            )
        except (PlatformUnavailable, PlatformRefusal):
            return
        if isinstance(answer, Written):
            state.on_lease_written(
                write.record.revision, answer.version, self.clock.now_ms()
            )
        else:
            await self._read(name, state)

    async def _fetch(self, name: str) -> tuple[LeaseRecord | None, int]:
        found = await self.platform.get(ALLOCATORS_KIND, name)
        if found is None or found.value is None:
            return None, 0 if found is None else found.version
        try:
            return decode_lease(found.value), found.version
        except LeaseRecordError as error:
            log_event(Event.LEASE_RECORD_INVALID, organisation=name, reason=error)
            return None, found.version

    def _tick_share(self, name: str, held: HeldShare, now_ms: float) -> None:
        if now_ms - held.used_ms > IDLE_MS and not held.waiting:
            del self.shares[name]
            self._spawn(self._send(held, held.state.leave(now_ms)))
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
            record, _ = await self._fetch(name)
        except (PlatformUnavailable, PlatformRefusal):
            return
        if record is not None:
            held.state.on_record(record, sent_ms, self.clock.now_ms())


def _needs_plan(state: Allocator, now_ms: float) -> bool:
    """Tell whether a holder waits for its standing share, which outages need."""
    record = state.lease.record
    if not state.lease.is_held(now_ms) or record is None:
        return False
    if now_ms - state.lease.last_sent_ms < PLAN_INTERVAL_MS:
        return False
    planned = {share.holder for share in record.standing_shares}
    return any(
        view.is_wanted() and name not in planned for name, view in state.holders.items()
    )


def _has_no_allowance(held: HeldShare) -> bool:
    return (
        held.failed_asks >= MAX_FAILED_ASKS
        and held.state.standing.share is None
        and held.state.held_tokens() == 0
    )


def _make_no_allowance(organisation: str) -> Failure:
    # The step makes the entry try another holder, which may have a standing share.
    return Failure(
        NOT_HELD_STEP,
        "",
        Outcome.NOT_RUN,
        ErrorCode.REFUSED,
        f"no allowance of {organisation} is known here: its allocator does not answer",
        FAILURE_RETRY_MS,
    )
