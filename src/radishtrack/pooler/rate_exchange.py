"""Exchanges shares of rates with the rates' holder, or is that holder."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.peer.messages import SharesGranted, SharesWanted
from radishtrack.pooler.catalog import NodeRecord
from radishtrack.pooler.control import NOBODY, Control
from radishtrack.pooler.peers import Peers
from radishtrack.pooler.ports import StoreUnavailable
from radishtrack.pooler.rank import rank_node
from radishtrack.pooler.rate_limit import RateLimiter
from radishtrack.pooler.shares import (
    GRANT_MS,
    NOTHING_LENT,
    ShareHolder,
    make_share_holder,
)

RATES_DUTY: Final = "rates"
"""Name of the duty's record in the store."""
HOLDER_LEASE_MS: Final = 2_500.0
"""A holder grants only while its last look at the duty's record is younger; a new one
waits as long. The store is read every 0.8 s, so two lost calls don't interrupt it."""
EXCHANGE_INTERVAL_MS: Final = 300.0
"""Pause between exchanges without a need: three fit into the time of a loan."""
EXCHANGE_TIMEOUT_MS: Final = 300.0
"""An answer takes one round trip."""
LOST_AFTER_MS: Final = 700.0
"""A holder that has not answered for so long is replaced."""
JOIN_MS: Final = 1_000.0
"""All nodes have read the record of a new one by then."""
SILENT_NODE_MS: Final = 4_000.0
"""A node that has not asked for so long is taken as gone: a restart takes up to 2 s."""
RANK_DELAY_MS: Final = 200.0
"""Head start of each node over the next one."""


@attrs.define(eq=False)
class RateExchange:
    """State of one node; `run` never returns."""

    name: str
    clock: Clock
    control: Control
    peers: Peers
    limiter: RateLimiter = attrs.field(factory=RateLimiter)
    holder: ShareHolder | None = None
    """This node's state as holder, while it is that."""
    epoch: int = 0
    reply: int = 0
    """The last answer of the present holder."""
    answered_ms: float = 0.0
    heard_ms: dict[str, float] = attrs.field(factory=dict)
    """When each node last asked this one."""
    is_stopping: bool = False
    replaces_holder: bool = False
    """Whether this node's claim ended the time of another holder."""
    wanted: asyncio.Event = attrs.field(factory=asyncio.Event)
    exchanged: asyncio.Event = attrs.field(factory=asyncio.Event)

    def configure(self) -> None:
        """Apply the present configuration and number of nodes."""
        now_ms = self.clock.now_ms()
        if not self.limiter.demands:
            # The other nodes divide the rates without this one until they know of it.
            self.limiter.start_later(now_ms + JOIN_MS)
        nodes = max(1, len(self.control.nodes))
        organisations = self.control.catalog.organisations
        self.limiter.configure(organisations, nodes, now_ms)
        self._follow_duty(now_ms)
        if self.holder is not None:
            self.holder.configure(organisations, nodes, now_ms)

    async def admit(self, organisation: str, wait_ms: float) -> bool:
        """Use one token of an organisation, and wait for it up to `wait_ms`."""
        now_ms = self.clock.now_ms()
        if self.limiter.take(organisation, now_ms):
            return True
        until_ms = now_ms + wait_ms
        self.limiter.want(organisation, 1)
        try:
            while (asks_ms := self.limiter.asks_from_ms(organisation)) < until_ms:
                await self._await_exchange(asks_ms, until_ms)
                now_ms = self.clock.now_ms()
                if self.limiter.take(organisation, now_ms):
                    return True
                if now_ms >= until_ms:
                    return False
            return False
        finally:
            self.limiter.want(organisation, -1)

    def grant(self, node: str, message: SharesWanted) -> SharesGranted:
        """Answer a node, as holder."""
        now_ms = self.clock.now_ms()
        self.heard_ms[node] = now_ms
        holder = self.holder
        is_confirmed = self.control.age_ms() < HOLDER_LEASE_MS
        # Until it may grant, the nodes are better off with their own shares.
        if holder is None or now_ms < holder.starts_ms:
            return SharesGranted(message.request, 0, 0, ())
        if self.is_stopping or not is_confirmed:
            # The node may use its shares again at once, instead of when its promise
            # ends; this holder has to count them as returned for good.
            holder.forget(node)
            return SharesGranted(message.request, holder.epoch, NOTHING_LENT, ())
        reply = message.reply if message.epoch == holder.epoch else NOTHING_LENT
        number, granted = holder.exchange(node, reply, message.wanted, now_ms)
        return SharesGranted(message.request, holder.epoch, number, granted)

    def is_holder(self) -> bool:
        """Tell whether this node is the holder."""
        return self.holder is not None

    def find_holder(self) -> NodeRecord | None:
        """Return the record of the holder, if it is another node that answers."""
        if self.clock.now_ms() - self.answered_ms > LOST_AFTER_MS:
            return None
        holder = self.control.find_duty(RATES_DUTY).duty.holder
        return self._find_node(holder) if holder != self.name else None

    def list_silent_nodes(self) -> tuple[str, ...]:
        """Return the registered nodes that this holder has not heard of for long."""
        # A holder that was out of touch may have been replaced without knowing it.
        if self.holder is None or self.control.age_ms() >= HOLDER_LEASE_MS:
            return ()
        before_ms = self.clock.now_ms() - SILENT_NODE_MS
        return tuple(
            node.name
            for node in self.control.registered
            if node.name != self.name
            and max(self.holder.starts_ms, self.heard_ms.get(node.name, 0.0))
            < before_ms
        )

    async def run(self) -> None:
        """Exchange whenever tokens are needed, and regularly."""
        self.answered_ms = self.clock.now_ms()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(EXCHANGE_INTERVAL_MS / 1000):
                    await self.wanted.wait()
            self.wanted.clear()
            if self.control.confirmed_ms is None:
                await asyncio.sleep(EXCHANGE_INTERVAL_MS / 1000)
                continue
            if not await self._exchange():
                await self._replace_holder()
                await asyncio.sleep(EXCHANGE_INTERVAL_MS / 1000)
            self.exchanged.set()
            self.exchanged = asyncio.Event()

    async def _await_exchange(self, asks_ms: float, until_ms: float) -> None:
        """Wait for the next exchange that is sent from `asks_ms` on."""
        delay_ms = asks_ms - self.clock.now_ms()
        if delay_ms > 0:
            await asyncio.sleep(delay_ms / 1000)
        self.wanted.set()
        exchanged = self.exchanged
        with contextlib.suppress(TimeoutError):
            remaining_ms = max(0.0, until_ms - self.clock.now_ms())
            async with asyncio.timeout(remaining_ms / 1000):
                await exchanged.wait()

    async def release(self) -> None:
        """Give the duty up before this node stops."""
        self.is_stopping = True
        try:
            await self.control.release_duty(RATES_DUTY)
            self._follow_duty(self.clock.now_ms())
        except StoreUnavailable as error:
            log_event(Event.PLATFORM_UNAVAILABLE, step=error.step, reason=error.reason)

    async def _exchange(self) -> bool:
        """Ask the holder once; return whether it answered."""
        holder = self.control.find_duty(RATES_DUTY).duty.holder
        asked_ms = self.clock.now_ms()
        wanted = self.limiter.list_wanted(asked_ms)
        if holder == self.name:
            answer = self.grant(
                self.name, SharesWanted(0, self.epoch, self.reply, wanted)
            )
        else:
            record = self._find_node(holder)
            if record is None:
                return False
            received = await self.peers.ask(
                record,
                lambda request: SharesWanted(request, self.epoch, self.reply, wanted),
                EXCHANGE_TIMEOUT_MS,
            )
            if not isinstance(received, SharesGranted):
                return False
            answer = received
        if answer.epoch == 0:
            return False
        now_ms = self.clock.now_ms()
        if answer.reply == NOTHING_LENT:
            if answer.epoch == self.epoch:
                self.limiter.end_promise(now_ms)
            return False
        if answer.epoch != self.epoch and now_ms < self.limiter.lent_until_ms:
            # The shares are still lent to the earlier holder.
            return True
        if answer.epoch != self.epoch:
            # The loan counts only once the holder knows that its answer has arrived.
            self.wanted.set()
        self.epoch, self.reply = answer.epoch, answer.reply
        self.answered_ms = now_ms
        self.limiter.note_granted(answer.granted, asked_ms, now_ms)
        return True

    async def _replace_holder(self) -> None:
        """Become the holder if the present one has not answered for too long."""
        if self.is_stopping:
            return
        known = self.control.find_duty(RATES_DUTY)
        # The holder may have released its duty a moment ago.
        await self.control.refresh(known.duty)
        now_ms = self.clock.now_ms()
        known = self.control.find_duty(RATES_DUTY)
        if known.duty.holder == self.name:
            return
        self.replaces_holder = known.duty.holder != NOBODY
        due_ms = known.seen_ms
        if self.replaces_holder:
            # A new holder grants nothing before the time of the earlier one has ended.
            due_ms = max(self.answered_ms, known.seen_ms + HOLDER_LEASE_MS)
            due_ms += LOST_AFTER_MS
        if now_ms < due_ms + self._rank() * RANK_DELAY_MS:
            return
        try:
            duty = await self.control.claim_duty(RATES_DUTY)
        except StoreUnavailable:
            # The record shows at the next confirmation whether the claim took effect.
            return
        if duty is not None:
            log_event(
                Event.RATES_HELD,
                node=self.name,
                epoch=duty.revision,
                earlier=known.duty.holder,
            )
            self.configure()

    def _follow_duty(self, now_ms: float) -> None:
        known = self.control.find_duty(RATES_DUTY)
        if known.duty.holder == NOBODY and known.duty.revision > self.epoch:
            self.limiter.end_promise(now_ms)
        if known.duty.holder != self.name:
            self.holder = None
        elif self.holder is None or self.holder.epoch != known.duty.revision:
            # An earlier holder may go on until its last look at the record is too old.
            # An earlier process of this node has ended, but for the tokens it granted.
            wait_ms = HOLDER_LEASE_MS if self.replaces_holder else GRANT_MS
            self.holder = make_share_holder(known.duty.revision, now_ms + wait_ms)

    def _find_node(self, name: str) -> NodeRecord | None:
        return next((node for node in self.control.nodes if node.name == name), None)

    def _rank(self) -> int:
        return rank_node(self.name, RATES_DUTY, self.control.nodes)
